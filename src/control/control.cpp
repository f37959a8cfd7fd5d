#include "control/control.h"

#include "control/internal/controlstate.h"
#include "observe/observe.h"
#include "peer/generated/peer.pb.h"
#include "replication/replication.h"

#include <event2/event.h>

#include <algorithm>
#include <cmath>
#include <csignal>

namespace daisyhaven::control {

namespace {

// Lets the last responses reach their operators.
constexpr Milliseconds ShutdownFlushDelay { 100 };
constexpr Milliseconds VoterUpdateTimeout { 1000 };
constexpr Milliseconds VoterUpdateInterval { 300 };
constexpr Milliseconds ZoneSummaryTimeout { 700 };
// Maximum time for which a write waits for a majority of voters to store it.
constexpr Seconds WriteTimeout { 5 };
// A VM without a heartbeat for longer than this no longer serves routes that need an API key.
constexpr Milliseconds ServingMemberTimeout { 4000 };

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};
struct EventDeleter
{
    void operator()(event *event) const { event_free(event); }
};

consensus::Members initialMembersOf(const settings::VmSettings &settings)
{
    consensus::Members members;
    for (const settings::VmEndpoint &vm : settings.fleet.controlVms) {
        members.push_back(
            { vm.id, replication::initialMemberId(vm.id), vm.peerAddress.toString() });
    }
    return members;
}

// Event loop of a control VM: applies the replicated log, handles operator requests and sends each
// committed configuration to the voters.
class ControlVm
{
public:
    ControlVm(const settings::VmSettings &settings, std::unique_ptr<replication::DiskLog> disk)
        : settings_(settings), base_(event_base_new()), timers_(base_.get()),
          server_(base_.get(), serverCredentials(settings)),
          clients_(base_.get(), timers_, serverCredentials(settings)),
          runner_(timers_, server_, clients_, std::move(disk), settings.peerAddress, {},
                  replicaCallbacks()),
          replica_(runner_.replica()), acknowledgedVersions_(settings.fleet.voters.size()),
          voterUpdates_(settings.fleet.voters.size())
    {
        clients_.setLocalServer(settings.peerAddress, server_);
    }

    Result<void> run()
    {
        registerHandlers();
        BOOST_LEAF_CHECK(runner_.start());
        BOOST_LEAF_CHECK(server_.listen(settings_.peerAddress));
        voterUpdateTimer_ =
            timers_.runEvery(VoterUpdateInterval, [this] { sendUpdatesToVoters(); });
        stopOnSignal(SIGTERM);
        stopOnSignal(SIGINT);
        logEvent(Event::ProcessStarted,
                 { { "vm", settings_.id }, { "identity", runner_.identity().replicaId } });
        event_base_dispatch(base_.get());
        logEvent(Event::ProcessStopped, { { "vm", settings_.id } });
        if (fatalError_) {
            return boost::leaf::new_error(*fatalError_);
        }
        return {};
    }

private:
    using WriteRespond = std::function<void(std::variant<wire::OperatorWriteReply, Failure>)>;

    struct PendingWrite
    {
        std::string operationId;
        WriteRespond respond;
        Instant expiresAt;
        std::optional<OperationOutcome> outcome;
    };

    static peer::Credentials serverCredentials(const settings::VmSettings &settings)
    {
        return { peer::Role::Vm, settings.id, settings.fleet.vmKey, settings.fleet.operatorKey };
    }

    // ---- Message handlers ----

    void registerHandlers()
    {
        using peer::Caller;
        using peer::Method;
        using peer::Role;
        server_.registerTypedHandler<wire::OperatorWrite, wire::OperatorWriteReply>(
            Method::OperatorWrite, Role::Operator,
            [this](const Caller &caller, const wire::OperatorWrite &message, auto respond) {
                handleWrite(caller, message, respond);
            });
        server_.registerTypedHandler<wire::StatusRequest, wire::StatusReply>(
            Method::Status, Role::Operator,
            [this](const Caller &, const wire::StatusRequest &message, auto respond) {
                handleStatus(message, respond);
            });
        server_.registerTypedHandler<wire::AddControlRequest, wire::Empty>(
            Method::ChangeControlMember, Role::Operator,
            [this](const Caller &, const wire::AddControlRequest &message, auto respond) {
                respond(changeReplicaMembers(message));
            });
    }

    // ---- Replicated log ----

    replication::ReplicaCallbacks replicaCallbacks()
    {
        replication::ReplicaCallbacks callbacks;
        callbacks.applyEntry = [this](const consensus::Entry &entry) { applyEntry(entry); };
        callbacks.restoreState = [this](const std::string &state) { return state_.restore(state); };
        callbacks.captureState = [this] { return state_.toSnapshot(); };
        callbacks.onSteppedDown = [this](std::uint64_t) {
            failPendingWrites("the leader changed");
        };
        callbacks.onFatalError = [this](const Failure &failure) {
            fatalError_ = failure;
            event_base_loopbreak(base_.get());
        };
        return callbacks;
    }

    void applyEntry(const consensus::Entry &entry)
    {
        const OperationOutcome outcome = state_.apply(entry.payload);
        recordWriteOutcome(entry.payload, outcome);
        if (outcome.result == ResultCode::Ok) {
            logEvent(Event::ChangeAccepted, { { "version", outcome.version } });
            sendUpdatesToVoters();
        }
    }

    void failPendingWrites(const std::string &cause)
    {
        for (PendingWrite &write : pendingWrites_) {
            write.respond(Failure { ResultCode::OperationOutcomeUnknown,
                                    cause + " before the write completed; retry with --operation "
                                        + write.operationId });
        }
        pendingWrites_.clear();
    }

    // ---- Operator writes ----

    void handleWrite(const peer::Caller &caller, const wire::OperatorWrite &message,
                     const WriteRespond &respond)
    {
        if (exitTimer_.isActive()) {
            respond(Failure { ResultCode::ControlUnavailable, "this control VM stops" });
            return;
        }
        if (!replica_.isLeader()) {
            const auto leader = replica_.leader();
            respond(Failure { ResultCode::NotLeader, leader ? leader->peerAddress : "" });
            return;
        }
        wire::Change change = message.change();
        change.set_author(caller.name);
        const bool takesOutOfService =
            (change.has_availability_zone_state() && change.availability_zone_state().out())
            || (change.has_vm_state() && change.vm_state().out());
        if (takesOutOfService && !message.force()) {
            proposeIfFloorHolds(change, respond);
            return;
        }
        propose(change, respond);
    }

    void propose(const wire::Change &change, const WriteRespond &respond)
    {
        pendingWrites_.push_back(
            { change.operation_id(), respond, timers_.now() + WriteTimeout, std::nullopt });
        const auto proposed = attempt([&] { return runner_.propose(change.SerializeAsString()); });
        if (const auto *failure = std::get_if<Failure>(&proposed)) {
            pendingWrites_.pop_back();
            respond(*failure);
        }
    }

    void recordWriteOutcome(const std::string &payload, const OperationOutcome &outcome)
    {
        wire::Change change;
        change.ParseFromString(payload);
        for (PendingWrite &write : pendingWrites_) {
            if (write.operationId == change.operation_id() && !write.outcome) {
                write.outcome = outcome;
            }
        }
        respondToCompletedWrites();
    }

    // Responds to each write that a majority of voters stores, that was rejected, or that timed
    // out.
    void respondToCompletedWrites()
    {
        const std::uint64_t storedVersion = majorityStoredVersion();
        const Instant now = timers_.now();
        for (auto write = pendingWrites_.begin(); write != pendingWrites_.end();) {
            const bool rejected = write->outcome && write->outcome->result != ResultCode::Ok;
            const bool accepted = write->outcome && storedVersion >= write->outcome->version;
            const bool timedOut = now >= write->expiresAt;
            if (!rejected && !accepted && !timedOut) {
                ++write;
                continue;
            }
            respondToWrite(*write, rejected || accepted);
            write = pendingWrites_.erase(write);
        }
    }

    static void respondToWrite(const PendingWrite &write, bool completed)
    {
        if (!write.outcome) {
            write.respond(Failure {
                ResultCode::OperationOutcomeUnknown,
                "no majority of control replicas committed the write before the timeout" });
            return;
        }
        wire::OperatorWriteReply reply;
        const ResultCode code = completed ? write.outcome->result : ResultCode::NotInForce;
        reply.set_result(static_cast<std::uint32_t>(code));
        reply.set_detail(completed ? write.outcome->detail
                                   : "committed, but not yet stored by a majority of voters");
        reply.set_version(write.outcome->version);
        reply.set_conflict_author(write.outcome->conflictAuthor);
        reply.set_conflict_summary(write.outcome->conflictSummary);
        write.respond(reply);
    }

    // ---- Availability floor ----

    struct ServiceCount
    {
        std::uint32_t knownServers = 0;
        std::uint32_t remainingServers = 0;
    };

    // Requests the zone summaries of every serving VM and proposes `change` if every service
    // remains at or above its floor.
    void proposeIfFloorHolds(const wire::Change &change, const WriteRespond &respond)
    {
        collectSummaries([this, change, respond](const std::vector<wire::ZoneSummary> &zones) {
            const auto failure = findFloorViolation(change, zones);
            if (failure) {
                respond(*failure);
            } else {
                propose(change, respond);
            }
        });
    }

    std::optional<Failure> findFloorViolation(const wire::Change &change,
                                              const std::vector<wire::ZoneSummary> &zones) const
    {
        const auto &configuration = state_.store().current();
        const std::string zone = change.availability_zone_state().availability_zone();
        std::map<std::string, ServiceCount> counts;
        for (const wire::ZoneSummary &summary : zones) {
            ServiceCount &count = counts[summary.service()];
            count.knownServers += summary.known();
            const bool remainsInService = summary.availability_zone() != zone
                && !configuration.isZoneOutOfService(summary.availability_zone());
            const auto ejected = static_cast<std::uint32_t>(summary.ejected_size());
            count.remainingServers +=
                remainsInService ? summary.available() - std::min(ejected, summary.available()) : 0;
        }
        for (const auto &[name, count] : counts) {
            const auto service = configuration.findService(name);
            const double floor = service ? service->floor : 0;
            if (count.remainingServers < std::ceil(floor * count.knownServers - 1e-9)) {
                return Failure {
                    ResultCode::FloorViolated,
                    name + ": only " + std::to_string(count.remainingServers) + " of "
                        + std::to_string(count.knownServers)
                        + " backend servers would remain, below the floor; --force overrides"
                };
            }
        }
        return std::nullopt;
    }

    void collectSummaries(std::function<void(const std::vector<wire::ZoneSummary> &)> done)
    {
        struct Collection
        {
            std::map<std::pair<std::string, std::string>, wire::ZoneSummary> zones;
            std::size_t pendingReplies = 1;
            std::function<void(const std::vector<wire::ZoneSummary> &)> done;
        };
        auto collection = std::make_shared<Collection>();
        collection->done = std::move(done);
        const auto completeOne = [collection] {
            if (--collection->pendingReplies != 0) {
                return;
            }
            std::vector<wire::ZoneSummary> zones;
            for (auto &[key, zone] : collection->zones) {
                zones.push_back(std::move(zone));
            }
            collection->done(zones);
        };
        for (const wire::Member &member : members_) {
            const auto address = attempt([&] { return peer::parseAddress(member.peer_address()); });
            const auto *target = std::get_if<peer::Address>(&address);
            if (target == nullptr || !isServing(member)) {
                continue;
            }
            ++collection->pendingReplies;
            clients_.call<wire::SummariesReply>(
                *target, peer::Method::ListZoneSummaries, wire::Empty {}, ZoneSummaryTimeout,
                [collection, completeOne](peer::CallResult<wire::SummariesReply> result) {
                    if (const auto *reply = std::get_if<wire::SummariesReply>(&result)) {
                        for (const wire::ZoneSummary &zone : reply->zones()) {
                            auto &known =
                                collection->zones[{ zone.service(), zone.availability_zone() }];
                            known = zone.term() >= known.term() ? zone : known;
                        }
                    }
                    completeOne();
                });
        }
        completeOne();
    }

    // ---- Voters ----

    std::uint64_t majorityStoredVersion() const
    {
        std::vector<std::uint64_t> versions = acknowledgedVersions_;
        std::sort(versions.rbegin(), versions.rend());
        return versions.empty() ? 0 : versions[versions.size() / 2];
    }

    static bool isServing(const wire::Member &member)
    {
        return Milliseconds(member.silent_ms()) <= ServingMemberTimeout;
    }

    std::uint64_t versionInForce() const
    {
        std::uint64_t oldest = majorityStoredVersion();
        for (const wire::Member &member : members_) {
            if (isServing(member)) {
                oldest = std::min<std::uint64_t>(oldest, member.configuration_version());
            }
        }
        return oldest;
    }

    // Sends the configuration only while this replica can serve reads as leader. A voter therefore
    // never stores a version that a newer leader could replace.
    void sendUpdatesToVoters()
    {
        respondToCompletedWrites();
        if (!replica_.canServeReads(timers_.now())) {
            return;
        }
        for (std::size_t i = 0; i < settings_.fleet.voters.size(); ++i) {
            sendUpdateToVoter(i);
        }
    }

    void sendUpdateToVoter(std::size_t voter)
    {
        VoterUpdateState &update = voterUpdates_[voter];
        if (update.inFlight) {
            update.resendNeeded = update.sentVersion < state_.store().version();
            return;
        }
        update.inFlight = true;
        update.sentVersion = state_.store().version();
        wire::HoldRequest request;
        *request.mutable_update() = state_.store().updateSince(acknowledgedVersions_[voter]);
        clients_.call<wire::HoldReply>(
            settings_.fleet.voters[voter].peerAddress, peer::Method::StoreConfiguration, request,
            VoterUpdateTimeout, [this, voter](peer::CallResult<wire::HoldReply> result) {
                VoterUpdateState &voterUpdate = voterUpdates_[voter];
                voterUpdate.inFlight = false;
                if (const auto *reply = std::get_if<wire::HoldReply>(&result)) {
                    handleVoterReply(voter, *reply);
                } else {
                    // The voter may have restarted without its configuration, so the next
                    // update starts at version 0.
                    acknowledgedVersions_[voter] = 0;
                }
                if (voterUpdate.resendNeeded) {
                    voterUpdate.resendNeeded = false;
                    sendUpdatesToVoters();
                }
            });
    }

    void handleVoterReply(std::size_t voter, const wire::HoldReply &reply)
    {
        acknowledgedVersions_[voter] = reply.recovering() ? 0 : reply.version();
        mergeMembers(voter, reply);
        respondToCompletedWrites();
    }

    void mergeMembers(std::size_t voter, const wire::HoldReply &reply)
    {
        membersByVoter_[voter] = { reply.members().begin(), reply.members().end() };
        std::map<std::string, wire::Member> merged;
        for (const auto &[index, rows] : membersByVoter_) {
            for (const wire::Member &row : rows) {
                wire::Member &known = merged[row.vm()];
                const bool newer = row.incarnation() > known.incarnation()
                    || (row.incarnation() == known.incarnation()
                        && row.silent_ms() < known.silent_ms());
                if (newer) {
                    known = row;
                }
            }
        }
        members_.clear();
        for (auto &[vm, member] : merged) {
            members_.push_back(std::move(member));
        }
    }

    // ---- Status and replica membership ----

    void handleStatus(const wire::StatusRequest &request,
                      const std::function<void(std::variant<wire::StatusReply, Failure>)> &respond)
    {
        wire::StatusReply reply;
        reply.set_vm(settings_.id);
        reply.set_identity(runner_.identity().replicaId);
        reply.set_leader(replica_.canServeReads(timers_.now()));
        if (const auto leader = replica_.leader()) {
            reply.set_leader_vm(leader->vm);
            reply.set_leader_address(leader->peerAddress);
        }
        reply.set_term(replica_.term());
        reply.set_version(state_.store().version());
        reply.set_held_by_voters_version(majorityStoredVersion());
        reply.set_in_force_version(versionInForce());
        reply.set_log_entries(replica_.lastIndex());
        for (const wire::Member &member : members_) {
            *reply.add_members() = member;
        }
        for (const consensus::MemberInfo &member : replica_.members()) {
            *reply.add_control() = replication::toWire(member);
        }
        if (request.include_configuration()) {
            *reply.mutable_configuration() = configuration::toSnapshot(state_.store().current());
        }
        if (!request.include_summaries()) {
            respond(reply);
            return;
        }
        collectSummaries([reply, respond](const std::vector<wire::ZoneSummary> &zones) mutable {
            for (const wire::ZoneSummary &zone : zones) {
                *reply.add_zones() = zone;
            }
            respond(reply);
        });
    }

    std::variant<wire::Empty, Failure> changeReplicaMembers(const wire::AddControlRequest &request)
    {
        const consensus::MemberInfo member { request.member().vm(), request.member().identity(),
                                             request.member().peer_address() };
        const auto changed = attempt([&]() -> Result<bool> {
            if (request.remove()) {
                BOOST_LEAF_CHECK(runner_.removeMember(member.replicaId));
            } else {
                BOOST_LEAF_CHECK(runner_.addMember(member));
            }
            return true;
        });
        if (const auto *failure = std::get_if<Failure>(&changed)) {
            return *failure;
        }
        return wire::Empty {};
    }

    // Responds to the operators that wait, and ends the process once the responses are sent.
    void beginShutdown()
    {
        if (exitTimer_.isActive()) {
            return;
        }
        logEvent(Event::ProcessStopping, { { "writes", pendingWrites_.size() } });
        failPendingWrites("this control VM stops");
        exitTimer_ =
            timers_.runAfter(ShutdownFlushDelay, [this] { event_base_loopbreak(base_.get()); });
    }

    void stopOnSignal(int number)
    {
        const auto stop = [](evutil_socket_t, short, void *user) {
            static_cast<ControlVm *>(user)->beginShutdown();
        };
        signals_.emplace_back(evsignal_new(base_.get(), number, stop, this));
        event_add(signals_.back().get(), nullptr);
    }

    // Progress of the configuration updates to one voter; at most one is in flight.
    struct VoterUpdateState
    {
        bool inFlight = false;
        bool resendNeeded = false;
        std::uint64_t sentVersion = 0;
    };

    settings::VmSettings settings_;
    std::unique_ptr<event_base, EventBaseDeleter> base_;
    TimerService timers_;
    peer::Server server_;
    peer::ClientPool clients_;
    replication::ReplicaRunner runner_;
    const consensus::Replica &replica_;
    ControlState state_;
    std::vector<PendingWrite> pendingWrites_;
    std::vector<std::uint64_t> acknowledgedVersions_;
    std::vector<VoterUpdateState> voterUpdates_;
    std::map<std::size_t, std::vector<wire::Member>> membersByVoter_;
    std::vector<wire::Member> members_;
    std::optional<Failure> fatalError_;
    std::vector<std::unique_ptr<event, EventDeleter>> signals_;
    TimerHandle voterUpdateTimer_;
    // Runs from the signal to stop on.
    TimerHandle exitTimer_;
};

} // namespace

Result<void> initializeDataFolder(const settings::VmSettings &settings)
{
    const bool named =
        std::any_of(settings.fleet.controlVms.begin(), settings.fleet.controlVms.end(),
                    [&](const auto &vm) { return vm.id == settings.id; });
    if (!named) {
        return fail(ResultCode::SettingsInvalid,
                    "the fleet file lists no control VM with id " + settings.id);
    }
    return replication::DiskLog::initialize(settings.dataFolder, settings.id,
                                            initialMembersOf(settings));
}

Result<void> runControlVm(const settings::VmSettings &settings)
{
    BOOST_LEAF_AUTO(disk, replication::DiskLog::open(settings.dataFolder, settings.id));
    if (disk->lacksMembers()) {
        BOOST_LEAF_CHECK(disk->setInitialMembers(initialMembersOf(settings)));
    }
    ControlVm vm(settings, std::move(disk));
    return vm.run();
}

} // namespace daisyhaven::control

#include "coordination/coordination.h"
#include "coordination/internal/announcementchecks.h"
#include "coordination/internal/controllog.h"
#include "coordination/internal/documenthistory.h"
#include "coordination/internal/durablestate.h"
#include "coordination/internal/groupmembership.h"
#include "coordination/internal/leaderhandover.h"
#include "coordination/internal/rolloutcoordinator.h"
#include "coordination/internal/viewcodec.h"
#include "coordination/internal/viewserver.h"
#include "coordination/internal/vmregistry.h"
#include "observe/observe.h"
#include "text/text.h"

#include <algorithm>
#include <random>

namespace daisyhaven::coordination {

namespace {

constexpr Milliseconds TickPeriod { 20 };
// Fraction of its burst with which a team starts under a new leader. The previous leader may have
// admitted a whole burst and the rate; a third of a burst on top stays within the overshoot that is
// tolerated in a window.
constexpr double BurstFractionAfterFailover = 0.3;
// Servers that change within this period are written to the log in one command.
constexpr Milliseconds ServerPersistPeriod { 50 };
// Short enough for requests to wait for the election of a new leader. A round trip takes 2 ms.
constexpr consensus::Timings ElectionTimings { Milliseconds(60), Milliseconds(300),
                                               Milliseconds(550) };
constexpr Milliseconds MemoryCheckPeriod { 200 };
constexpr std::size_t MemoryReportStep = 32UL * 1024 * 1024; // bytes
// A server that has sent no announcement for this long is removed.
constexpr Seconds ServerRetention { 30 };

std::uint64_t wallClockMs()
{
    return static_cast<std::uint64_t>(wallClockMicroseconds() / 1000);
}

} // namespace

class ControlTask::Impl
{
public:
    Impl(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
         ControlOptions options, std::unique_ptr<replication::DiskLog> disk,
         std::function<void(const Failure &)> stopped)
        : timers_(timers), server_(server), options_(std::move(options)),
          stopped_(std::move(stopped)),
          runner_(timers, server, clients, std::move(disk), options_.ownAddress, ElectionTimings,
                  replicaCallbacks()),
          leaderClient_(timers, clients,
                        { options_.vm, incarnation_, options_.seeds, options_.ownAddress, nullptr },
                        {}),
          membership_(timers, server, clients, runner_, { options_.ownAddress, options_.groupSize },
                      { [this] { return isLeading(); },
                        [this] { return leaderClient_.controlAddresses(); } }),
          rollouts_(
              options_.exposureLimits, state_,
              [this](const rollout::Rollout &rollout, const ChangeCallback &done) {
                  wire::CoordinationCommand command;
                  *command.mutable_rollout() = toWire(rollout);
                  propose(std::move(command), done);
              },
              &wallClockMs),
          views_({ state_, directory_, runner_, entryVms_ }, [this] { return leaderRedirect(); })
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_CHECK(runner_.setInitialMembers(foundersAmongSeeds(options_)));
        BOOST_LEAF_CHECK(runner_.start());
        registerHandlers();
        tick_ = timers_.runEvery(TickPeriod, [this] { tick(); });
        memoryTick_ = timers_.runEvery(MemoryCheckPeriod, [this] { reportMemory(); });
        membership_.start();
        leaderClient_.start();
        return {};
    }

    void leave(std::function<void()> done) { membership_.leave(std::move(done)); }

    void setSeeds(std::vector<peer::Address> seeds)
    {
        options_.seeds = std::move(seeds);
        leaderClient_.setSeeds(options_.seeds);
        const auto learned = attempt([this]() -> Result<bool> {
            BOOST_LEAF_CHECK(runner_.setInitialMembers(foundersAmongSeeds(options_)));
            return true;
        });
        if (const auto *failure = std::get_if<Failure>(&learned)) {
            logEvent(Event::ChangeRefused, { { "reason", toString(*failure) } });
        }
    }

    // ---- calls from operators and backend servers ----

    void putConfiguration(std::uint64_t version, const std::string &document,
                          const ChangeCallback &done)
    {
        const auto table = routing::parseCompletely(options_.documentParser(document));
        if (const auto *failure = std::get_if<Failure>(&table)) {
            logEvent(Event::ChangeRefused,
                     { { "version", version }, { "reason", toString(*failure) } });
            done(*failure);
            return;
        }
        if (!isLeading()) {
            done(leaderRedirect());
            return;
        }
        if (!state_.isNewer(version)) {
            done(Committed {});
            return;
        }
        wire::CoordinationCommand command;
        command.mutable_configuration()->set_version(version);
        command.mutable_configuration()->set_document(document);
        propose(std::move(command), done);
    }

    std::variant<StoredConfiguration, LeaderRedirect> readConfiguration() const
    {
        if (!isLeading() || !state_.configuration()) {
            return leaderRedirect();
        }
        return *state_.configuration();
    }

    void setZoneOutOfService(const std::string &zone, bool outOfService, const ChangeCallback &done)
    {
        if (!isName(zone)) {
            done(Failure { ResultCode::UnknownAvailabilityZone, "not a name: " + zone });
            return;
        }
        if (!isLeading()) {
            done(leaderRedirect());
            return;
        }
        wire::CoordinationCommand command;
        command.mutable_zone()->set_availability_zone(zone);
        command.mutable_zone()->set_out(outOfService);
        propose(std::move(command), done);
    }

    void orderRollout(const RolloutOrder &order, const ChangeCallback &done)
    {
        if (!isLeading()) {
            done(leaderRedirect());
            return;
        }
        rollouts_.order(order, routingTable_.get(), directory_, done);
    }

    std::variant<rollout::Rollout, LeaderRedirect, Failure>
    readRollout(const std::string &service) const
    {
        if (!isLeading()) {
            return leaderRedirect();
        }
        const auto rollout = state_.rollouts().find(service);
        if (rollout == state_.rollouts().end()) {
            return Failure { ResultCode::RolloutUnknown, service };
        }
        return rollout->second;
    }

    void handleAnnouncement(const directory::Announcement &announcement, const ChangeCallback &done)
    {
        if (refuseInvalid([&] { return directory::checkAnnouncement(announcement); }, done)) {
            return;
        }
        if (!isLeading()) {
            done(leaderRedirect());
            return;
        }
        if (refuseInvalid(
                [&] { return checkReplacedServers(routingTable_.get(), directory_, announcement); },
                done)) {
            return;
        }
        const auto effect = directory_.announce(
            timers_.now(), announcement, [this](const std::string &id) { onServerRemoved(id); });
        if (effect == directory::AnnounceResult::Changed) {
            onServerChanged(announcement.id, true);
            serversToPersist_.insert(announcement.id);
        } else if (effect == directory::AnnounceResult::Refreshed
                   && announcement.coldStartRemaining.count() > 0) {
            updateScheduler(announcement.id);
        }
        const bool startsDraining = announcement.draining
            && effect != directory::AnnounceResult::Stale
            && !directory_.isDeregistered(announcement.id, announcement.startTimeMs);
        if (!startsDraining) {
            done(Committed {});
            return;
        }
        proposeDeregistration({ announcement.id, announcement.startTimeMs, false }, done);
    }

    void deregisterServer(const std::string &id, const ChangeCallback &done)
    {
        if (refuseInvalid([&] { return directory::checkServerId(id); }, done)) {
            return;
        }
        if (!isLeading()) {
            done(leaderRedirect());
            return;
        }
        const directory::ServerEntry *entry = directory_.find(id);
        // If the server is unknown, the deregistration covers every process of it started until
        // now.
        const std::uint64_t startTimeMs =
            entry == nullptr ? wallClockMs() : entry->announcement.startTimeMs;
        proposeDeregistration({ id, startTimeMs, true }, done);
    }

    std::map<std::string, double> metrics() const
    {
        std::map<std::string, double> values = {
            { "daisyhaven_leads", isLeading() ? 1 : 0 },
            { "daisyhaven_term", static_cast<double>(runner_.replica().term()) },
            { "daisyhaven_configuration_stored", state_.configuration() ? 1 : 0 },
            { "daisyhaven_configuration_version",
              state_.configuration() ? static_cast<double>(state_.configuration()->version) : 0 },
            { "daisyhaven_servers_known", static_cast<double>(directory_.entries().size()) },
            { "daisyhaven_entry_vms", static_cast<double>(entryVms_.recentCount(timers_.now())) },
            { "daisyhaven_questions_waiting",
              scheduler_ ? static_cast<double>(scheduler_->queuedRequestCount()) : 0 },
            { "daisyhaven_questions_displaced",
              scheduler_ ? static_cast<double>(scheduler_->displacedRequestCount()) : 0 },
            { "daisyhaven_largest_waiting_share",
              scheduler_ ? scheduler_->largestWaitingShare() : 0 },
            { "daisyhaven_heap_bytes", static_cast<double>(heapBytesInUse()) },
            { "daisyhaven_unsent_bytes", static_cast<double>(server_.unsentBytes()) },
            { "daisyhaven_log_bytes", static_cast<double>(runner_.replica().logBytes()) },
            { "daisyhaven_slots_granted",
              scheduler_ ? static_cast<double>(scheduler_->grantedSlotCount()) : 0 },
        };
        values.merge(rollouts_.metrics(timers_.now()));
        values.merge(membership_.metrics());
        return values;
    }

private:
    using SlotResponder = std::function<void(std::variant<wire::SlotAnswer, Failure>)>;

    // Runs `check`, which returns Result<void>. Returns true if it failed; `done` has the failure.
    template <class Check> static bool refuseInvalid(Check check, const ChangeCallback &done)
    {
        const auto checked = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(check());
            return true;
        });
        const auto *failure = std::get_if<Failure>(&checked);
        if (failure != nullptr) {
            logEvent(Event::AnnouncementRefused, { { "reason", toString(*failure) } });
            done(*failure);
        }
        return failure != nullptr;
    }

    bool isLeading() const { return scheduler_ != nullptr && runner_.canServeReads(); }

    LeaderRedirect leaderRedirect() const
    {
        const auto leader = runner_.replica().leader();
        if (!leader || leader->replicaId == runner_.identity().replicaId) {
            return {};
        }
        const auto address = attempt([&] { return peer::parseAddress(leader->peerAddress); });
        const auto *valid = std::get_if<peer::Address>(&address);
        return valid == nullptr ? LeaderRedirect {} : LeaderRedirect { *valid };
    }

    // ---- replicated log ----

    replication::ReplicaCallbacks replicaCallbacks()
    {
        replication::ReplicaCallbacks callbacks;
        callbacks.applyEntry = [this](const consensus::Entry &entry) { apply(entry); };
        callbacks.restoreState = [this](const std::string &snapshot) -> Result<void> {
            BOOST_LEAF_CHECK(state_.restore(snapshot));
            recordDocument();
            return {};
        };
        callbacks.captureState = [this] { return state_.toSnapshot(); };
        callbacks.onSteppedDown = [this](std::uint64_t) { stopLeading(); };
        callbacks.onFatalError = stopped_;
        return callbacks;
    }

    void propose(wire::CoordinationCommand command, const ChangeCallback &done)
    {
        const std::uint64_t proposal = ++lastProposal_;
        command.set_proposal(proposal);
        command.set_proposer(runner_.identity().replicaId + std::to_string(incarnation_));
        pendingProposals_[proposal] = done;
        const auto proposed = attempt([&] { return runner_.propose(command.SerializeAsString()); });
        if (const auto *failure = std::get_if<Failure>(&proposed)) {
            pendingProposals_.erase(proposal);
            done(*failure);
        }
    }

    void proposeDeregistration(const directory::Deregistration &deregistration,
                               const ChangeCallback &done)
    {
        wire::CoordinationCommand command;
        command.mutable_departure()->set_id(deregistration.id);
        command.mutable_departure()->set_born(deregistration.startTimeMs);
        command.mutable_departure()->set_gone(deregistration.terminated);
        propose(std::move(command), done);
    }

    void apply(const consensus::Entry &entry)
    {
        wire::CoordinationCommand command;
        if (!command.ParseFromString(entry.payload)) {
            logEvent(Event::ChangeRefused,
                     { { "index", entry.index }, { "reason", "the log entry cannot be parsed" } });
            return;
        }
        const auto change = state_.apply(entry.index, command);
        if (change == DurableState::Change::Document) {
            recordDocument();
        }
        if (scheduler_) {
            propagateChange(change, command);
        }
        const bool isOwnProposal =
            command.proposer() == runner_.identity().replicaId + std::to_string(incarnation_);
        auto pendingProposal = isOwnProposal ? pendingProposals_.extract(command.proposal())
                                             : decltype(pendingProposals_)::node_type {};
        if (!pendingProposal.empty()) {
            pendingProposal.mapped()(Committed {});
        }
    }

    void recordDocument()
    {
        if (const auto &configuration = state_.configuration()) {
            documents_.add(configuration->version, configuration->document);
        }
    }

    // Applies a committed change to the scheduler and sends it to the VMs.
    void propagateChange(DurableState::Change change, const wire::CoordinationCommand &command)
    {
        const Instant now = timers_.now();
        switch (change) {
        case DurableState::Change::None:
        case DurableState::Change::Servers:
            return;
        case DurableState::Change::Document:
            logEvent(Event::ChangeAccepted, { { "version", storedVersionText() } });
            applyRoutingTable({});
            scheduleViewUpdate();
            break;
        case DurableState::Change::Zones:
            logEvent(Event::ZoneChanged,
                     { { "zone", command.zone().availability_zone() },
                       { "out", command.zone().out() ? "yes" : "no" } });
            scheduler_->setZonesOutOfService(now, state_.zonesOutOfService());
            scheduleViewUpdate();
            break;
        case DurableState::Change::Rollouts:
            rollouts_.applyChange(now, command.rollout().service());
            scheduleViewUpdate();
            break;
        case DurableState::Change::Deregistrations:
            applyDeregistration({ command.departure().id(), command.departure().born(),
                                  command.departure().gone() });
            break;
        }
        executeActions();
    }

    void applyDeregistration(const directory::Deregistration &deregistration)
    {
        logEvent(Event::BackendLeft,
                 { { "server", deregistration.id },
                   { "gone", deregistration.terminated ? "yes" : "no" } });
        directory_.deregister(deregistration,
                              [this](const std::string &id) { onServerRemoved(id); });
        if (directory_.find(deregistration.id) != nullptr) {
            onServerChanged(deregistration.id, true);
        }
    }

    void applyRoutingTable(const scheduler::InitialTokens &firstTokens)
    {
        if (!state_.configuration()) {
            return;
        }
        const auto table =
            routing::parseCompletely(options_.documentParser(state_.configuration()->document));
        if (const auto *failure = std::get_if<Failure>(&table)) {
            logEvent(Event::ChangeRefused,
                     { { "version", storedVersionText() }, { "reason", toString(*failure) } });
            return;
        }
        routingTable_ =
            std::make_shared<const routing::RoutingTable>(std::get<routing::RoutingTable>(table));
        scheduler_->setRoutingTable(timers_.now(), routingTable_, firstTokens);
    }

    // ---- leadership ----

    void startLeading()
    {
        const Instant now = timers_.now();
        const std::uint64_t epoch = runner_.replica().term();
        scheduler_ = std::make_unique<scheduler::Scheduler>(epoch, options_.limits,
                                                            std::random_device {}(), now);
        views_.startLeading(*scheduler_);
        applyRoutingTable(
            { BurstFractionAfterFailover, runner_.replica().leaderlessTimeBeforeElection() });
        scheduler_->setZonesOutOfService(now, state_.zonesOutOfService());
        rollouts_.startLeading(now, *scheduler_);
        rebuildDirectory(now);
        leaderClient_.setActive(false);
        for (const auto &[id, entry] : directory_.entries()) {
            onServerChanged(id, false);
        }
        executeActions();
        logEvent(Event::LeaderFound,
                 { { "leader", "self" },
                   { "epoch", epoch },
                   { "servers", directory_.entries().size() },
                   { "version", storedVersionText() } });
    }

    std::string storedVersionText() const
    {
        const auto &configuration = state_.configuration();
        return versionText(configuration ? std::optional(configuration->version) : std::nullopt);
    }

    // Unless this replica was the last leader, the directory comes from the log and from the view.
    void rebuildDirectory(Instant now)
    {
        const FleetView &view = leaderClient_.view();
        if (view.epoch > lastLedEpoch_ || directory_.entries().empty()) {
            directory_ = restoreDirectory(now, state_, view);
            inheritFindings(now, view, directory_, scheduler_.get());
        }
        for (const directory::Deregistration &deregistration : state_.deregistrations()) {
            directory_.deregister(deregistration, nullptr);
        }
        lastLedEpoch_ = runner_.replica().term();
    }

    void stopLeading()
    {
        rollouts_.stopLeading();
        views_.stopLeading();
        scheduler_.reset();
        serversToPersist_.clear();
        leaderClient_.setActive(true);
        const Failure notLeader { ResultCode::NotLeader, "this replica is no longer the leader" };
        std::map<std::uint64_t, ChangeCallback> pending;
        pending.swap(pendingProposals_);
        for (auto &[proposal, done] : pending) {
            done(LeaderRedirect {});
        }
        std::map<scheduler::SlotRequestKey, SlotResponder> requests;
        requests.swap(slotRequests_);
        for (auto &[key, respond] : requests) {
            respond(notLeader);
        }
    }

    // Logs what holds memory each time the heap has grown by MemoryReportStep beyond its last
    // reported size.
    void reportMemory()
    {
        const std::size_t heap = heapBytesInUse();
        if (heap < reportedHeapBytes_ + MemoryReportStep) {
            return;
        }
        reportedHeapBytes_ = heap;
        logEvent(Event::MemoryGrown,
                 { { "heapBytes", heap },
                   { "unsentBytes", server_.unsentBytes() },
                   { "logBytes", runner_.replica().logBytes() },
                   { "documentBytes", documents_.bytes() },
                   { "connections", server_.connectionCount() },
                   { "leads", isLeading() ? "yes" : "no" } });
    }

    void tick()
    {
        const Instant now = timers_.now();
        const bool canLead = runner_.canServeReads();
        if (canLead && !scheduler_) {
            startLeading();
        }
        if (!isLeading()) {
            views_.respondWithoutLeading(now);
            return;
        }
        scheduler_->tick(now);
        directory_.removeExpired(now, ServerRetention,
                                 [this](const std::string &id) { onServerRemoved(id); });
        entryVms_.removeExpired(
            now, [&](const std::string &vm) { scheduler_->setExternalSlots(now, vm, {}); });
        scheduler_->setUnreachableVmShare(now, entryVms_.unreachableShare(now));
        rollouts_.tick(now);
        persistChangedServers(now);
        executeActions();
        views_.publishServers(now);
        views_.respondToWaiting(now);
    }

    // Proposes a command with the changed servers; no caller waits for its commit.
    void persistChangedServers(Instant now)
    {
        if (serversToPersist_.empty() || now - serversPersistedAt_ < ServerPersistPeriod) {
            return;
        }
        serversPersistedAt_ = now;
        wire::CoordinationCommand command;
        wire::KnownServers *servers = command.mutable_servers();
        for (const std::string &id : serversToPersist_) {
            const directory::ServerEntry *entry = directory_.find(id);
            if (entry != nullptr && !entry->announcement.draining) {
                *servers->add_servers() = toWire(now, toKnownServer(*entry, false));
            } else {
                servers->add_forgotten(id);
            }
        }
        serversToPersist_.clear();
        propose(std::move(command), [](const ChangeOutcome &) {});
    }

    void onServerChanged(const std::string &id, bool logChange)
    {
        const directory::ServerEntry *entry = directory_.find(id);
        if (logChange) {
            logEvent(Event::ServerChanged,
                     { { "server", id },
                       { "service", entry->announcement.service },
                       { "address", entry->announcement.address },
                       { "zone", entry->announcement.zone },
                       { "version", entry->announcement.version },
                       { "draining", entry->announcement.draining ? "yes" : "no" },
                       { "coldMs", entry->announcement.coldStartRemaining.count() / 1000 },
                       { "born", entry->announcement.startTimeMs },
                       { "sequence", entry->announcement.sequence } });
        }
        updateScheduler(id);
        views_.recordServerChange(id);
    }

    void updateScheduler(const std::string &id)
    {
        const directory::ServerEntry *entry = directory_.find(id);
        scheduler_->addOrUpdateServer(timers_.now(), toKnownServer(*entry, false).info);
        executeActions();
    }

    void onServerRemoved(const std::string &id)
    {
        scheduler_->removeServer(id);
        views_.recordServerRemoval(id);
        if (state_.servers().count(id) != 0) {
            serversToPersist_.insert(id);
        }
    }

    // ---- internal calls ----

    void registerHandlers()
    {
        using peer::Caller;
        using peer::Method;
        using peer::Role;
        server_.registerParsedHandler<wire::FleetViewRequest>(
            Method::FleetView, Role::Vm,
            [this](const Caller &, const wire::FleetViewRequest &request,
                   const peer::Responder &respond) { handleViewRequest(request, respond); });
        server_.registerTypedHandler<wire::SlotQuestion, wire::SlotAnswer>(
            Method::AcquireSlot, Role::Vm,
            [this](const Caller &, const wire::SlotQuestion &request, auto respond) {
                handleSlotRequest(request, respond);
            });
        server_.registerTypedHandler<wire::SlotRelease, wire::Empty>(
            Method::ReleaseSlot, Role::Vm,
            [this](const Caller &, const wire::SlotRelease &release, auto respond) {
                respond(wire::Empty {});
                handleSlotRelease(release);
            });
        server_.registerTypedHandler<wire::DocumentRequest, wire::DocumentChunk>(
            Method::DownloadDocument, Role::Vm,
            [this](const Caller &, const wire::DocumentRequest &request, auto respond) {
                respond(documents_.chunk(request));
            });
    }

    void handleViewRequest(const wire::FleetViewRequest &request, const peer::Responder &respond)
    {
        const Instant now = timers_.now();
        if (!isLeading()) {
            views_.answerWithoutLeading(now, request, respond);
            return;
        }
        entryVms_.recordContact(now,
                                { request.vm(),
                                  request.peer_address(),
                                  request.relayed(),
                                  { request.request_relay_address(), request.availability_zone() },
                                  request.disconnected() });
        rollouts_.recordViewIndex(now, request.vm(), request.document_index());
        for (const wire::TeamSpending &spent : request.spent()) {
            scheduler_->recordExternalAdmissions(now, spent.team(), spent.count());
        }
        if (request.epoch() == scheduler_->epoch()) {
            std::map<std::string, std::uint32_t> held;
            for (const wire::HeldSlots &slots : request.held()) {
                held[slots.server()] = slots.count();
            }
            scheduler_->setExternalSlots(now, request.vm(), held);
            executeActions();
        }
        views_.answer(now, request, respond);
    }

    // Schedules one update to the VMs that covers all documents and zones that change in this event
    // loop iteration. Changes of servers are published by tick().
    void scheduleViewUpdate()
    {
        if (updateScheduled_) {
            return;
        }
        updateScheduled_ = true;
        timers_.post([this] {
            updateScheduled_ = false;
            if (isLeading()) {
                views_.respondToWaiting(timers_.now());
            }
        });
    }

    void handleSlotRequest(const wire::SlotQuestion &message, SlotResponder respond)
    {
        if (!isLeading()) {
            respond(Failure { ResultCode::NotLeader, "this replica is not the leader" });
            return;
        }
        const Instant now = timers_.now();
        scheduler::SlotRequest request = fromWire(now, message);
        slotRequests_[request.key] = std::move(respond);
        scheduler_->requestSlot(now, std::move(request));
        executeActions();
    }

    void handleSlotRelease(const wire::SlotRelease &message)
    {
        if (!isLeading()) {
            return;
        }
        const Instant now = timers_.now();
        if (message.slot() == 0) {
            const scheduler::SlotRequestKey key { message.vm(), message.incarnation(),
                                                  message.number() };
            slotRequests_.erase(key);
            scheduler_->cancelRequest(now, key);
        } else if (message.epoch() == scheduler_->epoch()) {
            const scheduler::Outcome outcome = outcomeFromWire(message);
            if (outcome == scheduler::Outcome::Success) {
                entryVms_.recordSuccess(now, message.vm());
            }
            scheduler_->releaseSlot(now, message.slot(), outcome, Duration(message.latency_us()),
                                    statementFromWire(message));
        }
        executeActions();
    }

    void executeActions()
    {
        while (scheduler_) {
            const std::vector<scheduler::Action> actions = scheduler_->takeActions();
            if (actions.empty()) {
                return;
            }
            for (const scheduler::Action &action : actions) {
                std::visit([this](const auto &value) { execute(value); }, action);
            }
        }
    }

    void execute(const scheduler::Grant &grant)
    {
        auto request = slotRequests_.extract(grant.key);
        if (request.empty()) {
            scheduler_->releaseSlot(timers_.now(), grant.slotId, scheduler::Outcome::NotSent,
                                    Duration(0));
            return;
        }
        request.mapped()(toWire(grant, scheduler_->epoch()));
    }

    void execute(const scheduler::Rejection &rejection)
    {
        auto request = slotRequests_.extract(rejection.key);
        if (!request.empty()) {
            request.mapped()(toWire(rejection, scheduler_->epoch()));
        }
    }

    void execute(const scheduler::SuspicionChange &change)
    {
        logEvent(change.suspected ? Event::ServerSuspected : Event::ServerCleared,
                 { { "server", change.serverId },
                   { "failingPercent", static_cast<int>(change.failureProbability * 100) },
                   { "cause", change.cause },
                   { "epoch", scheduler_->epoch() } });
        views_.recordFinding(change.serverId);
    }

    void execute(const scheduler::RequestLimitChange &change)
    {
        logEvent(
            Event::ServerLimitChanged,
            { { "server", change.serverId }, { "requestsPerSecond", change.requestsPerSecond } });
        views_.recordFinding(change.serverId);
    }

    void execute(const scheduler::VersionResult &result)
    {
        rollouts_.recordResult(timers_.now(), result);
    }

    // Confirms the departure to all VMs as if the server had announced it.
    void execute(const scheduler::LeavingServer &leaving)
    {
        proposeDeregistration({ leaving.serverId, leaving.startTimeMs, false },
                              [](const ChangeOutcome &) {});
    }

    TimerService &timers_;
    peer::Server &server_;
    ControlOptions options_;
    std::function<void(const Failure &)> stopped_;
    std::uint64_t incarnation_ = static_cast<std::uint64_t>(wallClockMicroseconds());
    DurableState state_;
    DocumentHistory documents_;
    replication::ReplicaRunner runner_;
    LeaderClient leaderClient_;
    GroupMembership membership_;
    RolloutCoordinator rollouts_;
    directory::Directory directory_;
    std::unique_ptr<scheduler::Scheduler> scheduler_;
    // The table that scheduler_ uses.
    std::shared_ptr<const routing::RoutingTable> routingTable_;
    std::uint64_t lastLedEpoch_ = 0;
    std::uint64_t lastProposal_ = 0;
    std::map<std::uint64_t, ChangeCallback> pendingProposals_;
    std::map<scheduler::SlotRequestKey, SlotResponder> slotRequests_;
    VmRegistry entryVms_;
    ViewServer views_;
    std::set<std::string> serversToPersist_;
    Instant serversPersistedAt_;
    std::size_t reportedHeapBytes_ = 0;
    bool updateScheduled_ = false;
    TimerHandle tick_;
    TimerHandle memoryTick_;
};

Result<std::unique_ptr<ControlTask>> ControlTask::open(TimerService &timers, peer::Server &server,
                                                       peer::ClientPool &clients,
                                                       ControlOptions options,
                                                       std::function<void(const Failure &)> stopped)
{
    BOOST_LEAF_AUTO(disk, openLog(options));
    return std::unique_ptr<ControlTask>(new ControlTask(std::make_unique<Impl>(
        timers, server, clients, std::move(options), std::move(disk), std::move(stopped))));
}

ControlTask::ControlTask(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }
ControlTask::~ControlTask() = default;

Result<void> ControlTask::start()
{
    return impl_->start();
}

void ControlTask::leave(std::function<void()> done)
{
    impl_->leave(std::move(done));
}

void ControlTask::setSeeds(std::vector<peer::Address> seeds)
{
    impl_->setSeeds(std::move(seeds));
}

void ControlTask::putConfiguration(std::uint64_t version, const std::string &document,
                                   const ChangeCallback &done)
{
    impl_->putConfiguration(version, document, done);
}

std::variant<StoredConfiguration, LeaderRedirect> ControlTask::readConfiguration() const
{
    return impl_->readConfiguration();
}

void ControlTask::setZoneOutOfService(const std::string &zone, bool outOfService,
                                      const ChangeCallback &done)
{
    impl_->setZoneOutOfService(zone, outOfService, done);
}

void ControlTask::orderRollout(const RolloutOrder &order, const ChangeCallback &done)
{
    impl_->orderRollout(order, done);
}

std::variant<rollout::Rollout, LeaderRedirect, Failure>
ControlTask::readRollout(const std::string &service) const
{
    return impl_->readRollout(service);
}

void ControlTask::handleAnnouncement(const directory::Announcement &announcement,
                                     const ChangeCallback &done)
{
    impl_->handleAnnouncement(announcement, done);
}

void ControlTask::deregisterServer(const std::string &id, const ChangeCallback &done)
{
    impl_->deregisterServer(id, done);
}

std::map<std::string, double> ControlTask::metrics() const
{
    return impl_->metrics();
}

} // namespace daisyhaven::coordination

#include "fleet/fleet.h"

#include "peer/generated/peer.pb.h"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace daisyhaven::fleet {

using membership::Member;
using membership::MemberStatus;

namespace {

constexpr Milliseconds HeartbeatTimeout { 1000 };
constexpr Milliseconds ConfigurationFetchTimeout { 2000 };
constexpr Milliseconds LeaseCheckPeriod { 25 };
constexpr Milliseconds ZoneHandoverDelay { 3000 };
// Number of VMs that request a lease without a holder. Each waits one heartbeat period longer than
// the candidate ranked before it, which avoids split votes.
constexpr std::size_t CandidatesPerLease = 4;

wire::Member toWire(const Member &member)
{
    wire::Member message;
    message.set_vm(member.vm);
    message.set_incarnation(member.incarnation);
    message.set_availability_zone(member.availabilityZone);
    message.set_peer_address(member.peerAddress);
    message.set_draining(member.draining);
    message.set_configuration_version(member.configurationVersion);
    return message;
}

Member fromWire(const wire::Member &message)
{
    Member member;
    member.vm = message.vm();
    member.incarnation = message.incarnation();
    member.availabilityZone = message.availability_zone();
    member.peerAddress = message.peer_address();
    member.draining = message.draining();
    member.configurationVersion = message.configuration_version();
    return member;
}

std::uint64_t wallClockMs()
{
    return static_cast<std::uint64_t>(wallClockMicroseconds() / 1000);
}

std::uint64_t computeLeasesDigest(const std::vector<membership::LeaseRecord> &rows)
{
    std::uint64_t digest = 1;
    for (const membership::LeaseRecord &row : rows) {
        const std::string text = row.key + "/" + row.vm;
        digest =
            XXH3_64bits_withSeed(text.data(), text.size(), digest + row.term + row.incarnation);
    }
    return digest;
}

} // namespace

std::string dispatchLeaseKey(const std::string &service, const std::string &zone)
{
    return "dispatch:" + service + ":" + zone;
}

std::string floorLeaseKey(const std::string &service)
{
    return "floor:" + service;
}

std::string quotaLeaseKey(std::uint32_t shard)
{
    return "quota:" + std::to_string(shard);
}

std::string ledgerLeaseKey(std::uint32_t shard)
{
    return "ledger:" + std::to_string(shard);
}

std::uint32_t shardOf(std::string_view name, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % shards);
}

class FleetTask::Impl
{
public:
    Impl(TimerService &timers, peer::ClientPool &clients, peer::Server &server,
         const settings::VmSettings &settings, std::uint64_t incarnation, Metrics &metrics)
        : timers_(timers), clients_(clients), settings_(settings), incarnation_(incarnation),
          metrics_(metrics), leaseTimings_ { settings.fleet.timings.leaseDuration,
                                             settings.fleet.timings.maxClockDrift },
          holder_(settings.fleet.voters.size(), leaseTimings_),
          view_(settings.fleet.voters.size(), settings.fleet.timings.memberTimeout),
          voterStates_(settings.fleet.voters.size())
    {
        for (const settings::VmEndpoint &voter : settings.fleet.voters) {
            isVoter_ = isVoter_ || voter.id == settings.id;
        }
        if (isVoter_) {
            voter_.emplace(leaseTimings_, timers.now(), wallClockMs());
        }
        registerHandlers(server);
    }

    void start()
    {
        heartbeatTimer_ = timers_.runEvery(settings_.fleet.timings.heartbeatInterval,
                                           [this] { sendHeartbeats(); });
        leaseCheckTimer_ = timers_.runEvery(LeaseCheckPeriod, [this] { detectLeaseChanges(); });
        sendHeartbeats();
    }

    bool isConfigurationFresh() const
    {
        return confirmedFreshAt_
            && timers_.now() - *confirmedFreshAt_ < settings_.fleet.timings.maxStaleness;
    }

    std::optional<LeaseHolderAddress> leaseHolder(const std::string &key) const
    {
        const auto own = holder_.heldTerm(key, timers_.now());
        if (own) {
            return LeaseHolderAddress { settings_.id, settings_.peerAddress, *own };
        }
        const auto row = view_.leaseHolder(key);
        if (!row || row->vm == settings_.id) {
            return std::nullopt;
        }
        const auto address = addressOf(row->vm);
        if (!address) {
            return std::nullopt;
        }
        return LeaseHolderAddress { row->vm, *address, row->term };
    }

    std::optional<peer::Address> addressOf(const std::string &vm) const
    {
        const auto member = view_.findMember(vm, timers_.now());
        if (!member) {
            return std::nullopt;
        }
        const auto parsed = attempt([&] { return peer::parseAddress(member->peerAddress); });
        const auto *address = std::get_if<peer::Address>(&parsed);
        return address == nullptr ? std::nullopt : std::make_optional(*address);
    }

    std::vector<std::string> knownZones() const
    {
        std::set<std::string> zones;
        for (const settings::VmEndpoint &voter : settings_.fleet.voters) {
            zones.insert(voter.availabilityZone);
        }
        for (const MemberStatus &row : view_.knownMembers(timers_.now())) {
            zones.insert(row.member.availabilityZone);
        }
        return { zones.begin(), zones.end() };
    }

    void drain()
    {
        draining_ = true;
        for (const std::string &key : wantedKeys_) {
            holder_.beginRelease(key);
        }
        wantedKeys_.clear();
        detectLeaseChanges();
        sendHeartbeats();
    }

    TimerService &timers_;
    peer::ClientPool &clients_;
    settings::VmSettings settings_;
    std::uint64_t incarnation_;
    Metrics &metrics_;
    lease::LeaseTimings leaseTimings_;
    lease::LeaseHolder holder_;
    membership::MembershipView view_;
    configuration::ConfigurationStore store_;
    std::vector<LeaseCallback> leaseCallbacks_;
    std::vector<std::function<void()>> configurationCallbacks_;
    std::vector<std::function<void()>> unpublishedFleetCallbacks_;
    bool isVoterRecovered_ = false;

private:
    // Last known state of a voter. Replies omit members and leases whose digest is unchanged.
    struct VoterState
    {
        std::uint64_t incarnation = 0;
        std::uint64_t membersDigest = 0;
        std::uint64_t leasesDigest = 0;
        std::vector<MemberStatus> members;
        std::vector<membership::LeaseRecord> leases;
        Instant receivedAt;
    };

    void registerHandlers(peer::Server &server)
    {
        using peer::Caller;
        using peer::Method;
        using peer::Role;
        server.registerTypedHandler<wire::PulseRequest, wire::PulseReply>(
            Method::Heartbeat, Role::Vm,
            [this](const Caller &, const wire::PulseRequest &request, auto respond) {
                respond(handleHeartbeat(request));
            });
        server.registerTypedHandler<wire::HoldRequest, wire::HoldReply>(
            Method::StoreConfiguration, Role::Vm,
            [this](const Caller &, const wire::HoldRequest &request, auto respond) {
                respond(handleStoreConfiguration(request));
            });
        server.registerTypedHandler<wire::ConfigurationRequest, wire::ConfigurationUpdate>(
            Method::Configuration, Role::Vm,
            [this](const Caller &, const wire::ConfigurationRequest &request, auto respond) {
                respond(store_.updateSince(request.have_version()));
            });
    }

    Member ownMember() const
    {
        return { settings_.id,
                 incarnation_,
                 settings_.availabilityZone,
                 settings_.peerAddress.toString(),
                 draining_,
                 store_.version() };
    }

    // Voter side.

    std::variant<wire::PulseReply, Failure> handleHeartbeat(const wire::PulseRequest &request)
    {
        if (!voter_) {
            return Failure { ResultCode::PeerProtocol, settings_.id + " is not a voter" };
        }
        const Instant now = timers_.now();
        const Member member = fromWire(request.member());
        if (!members_.recordHeartbeat(now, member)) {
            return Failure {
                ResultCode::PeerProtocol,
                "the sender's incarnation is older than the registered incarnation of its VM"
            };
        }
        members_.removeExpired(now);
        wire::PulseReply reply;
        reply.set_voter_incarnation(incarnation_);
        reply.set_recovering(!isVoterRecovered_);
        reply.set_configuration_version(store_.version());
        for (const wire::LeaseAsk &ask : request.asks()) {
            const lease::LeaseRequest leaseRequest { ask.key(), ask.term(), ask.release() };
            lease::LeaseResponse response { ask.key(), ask.term(), false, 0 };
            if (isVoterRecovered_) {
                response = voter_->processRequest(now, member.vm, member.incarnation, leaseRequest);
            }
            auto *message = reply.add_answers();
            message->set_key(response.key);
            message->set_term(response.term);
            message->set_granted(response.granted);
            message->set_highest_term(response.highestTerm);
        }
        addMembersIfChanged(now, request.members_digest(), reply);
        addLeasesIfChanged(now, request.leases_digest(), reply);
        return reply;
    }

    void addMembersIfChanged(Instant now, std::uint64_t knownDigest, wire::PulseReply &reply)
    {
        const std::uint64_t digest = members_.digest(now, settings_.fleet.timings.memberTimeout);
        reply.set_members_digest(digest);
        if (digest == knownDigest) {
            return;
        }
        reply.set_members_included(true);
        for (const MemberStatus &row : members_.memberStatuses(now)) {
            *reply.add_members() = toWireWithHeartbeatAge(row);
        }
    }

    static wire::Member toWireWithHeartbeatAge(const MemberStatus &row)
    {
        wire::Member message = toWire(row.member);
        message.set_silent_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(row.timeSinceHeartbeat).count()));
        return message;
    }

    void addLeasesIfChanged(Instant now, std::uint64_t knownDigest, wire::PulseReply &reply)
    {
        const auto rows = voter_->activeLeases(now);
        const std::uint64_t digest = computeLeasesDigest(rows);
        reply.set_leases_digest(digest);
        if (digest == knownDigest) {
            return;
        }
        reply.set_leases_included(true);
        for (const membership::LeaseRecord &row : rows) {
            auto *message = reply.add_leases();
            message->set_key(row.key);
            message->set_vm(row.vm);
            message->set_incarnation(row.incarnation);
            message->set_term(row.term);
        }
    }

    // Stores the committed configuration that a control leader sends after it has confirmed its
    // leadership.
    std::variant<wire::HoldReply, Failure>
    handleStoreConfiguration(const wire::HoldRequest &request)
    {
        const Instant now = timers_.now();
        const std::uint64_t before = store_.version();
        const auto applied = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(store_.applyUpdate(request.update()));
            return true;
        });
        if (const auto *failure = std::get_if<Failure>(&applied)) {
            return *failure;
        }
        const bool upToDate = store_.version() >= request.update().version();
        if (upToDate && !isVoterRecovered_) {
            const bool unpublished = request.update().version() == 0;
            markVoterRecovered(unpublished);
        }
        if (store_.version() != before) {
            handleConfigurationChange();
        }
        wire::HoldReply reply;
        reply.set_version(store_.version());
        reply.set_recovering(!isVoterRecovered_);
        for (const MemberStatus &row : members_.memberStatuses(now)) {
            *reply.add_members() = toWireWithHeartbeatAge(row);
        }
        return reply;
    }

    void markVoterRecovered(bool fleetUnpublished)
    {
        isVoterRecovered_ = true;
        if (!voter_) {
            return;
        }
        logEvent(Event::VoterRecovered, { { "version", store_.version() } });
        if (!fleetUnpublished) {
            return;
        }
        voter_->endAbstention();
        for (const auto &callback : unpublishedFleetCallbacks_) {
            callback();
        }
    }

    // Member side.

    void sendHeartbeats()
    {
        updateWantedLeases();
        const std::vector<lease::LeaseRequest> leaseRequests = holder_.takeRoundRequests();
        const Instant sentAt = timers_.now();
        for (std::size_t i = 0; i < voterStates_.size(); ++i) {
            sendHeartbeat(i, sentAt, leaseRequests);
        }
        reportMetrics();
    }

    void sendHeartbeat(std::size_t voter, Instant sentAt,
                       const std::vector<lease::LeaseRequest> &leaseRequests)
    {
        wire::PulseRequest request;
        *request.mutable_member() = toWire(ownMember());
        request.set_members_digest(voterStates_[voter].membersDigest);
        request.set_leases_digest(voterStates_[voter].leasesDigest);
        for (const lease::LeaseRequest &ask : leaseRequests) {
            auto *message = request.add_asks();
            message->set_key(ask.key);
            message->set_term(ask.term);
            message->set_release(ask.release);
        }
        const peer::Address &address = settings_.fleet.voters[voter].peerAddress;
        clients_.call<wire::PulseReply>(
            address, peer::Method::Heartbeat, request, HeartbeatTimeout,
            [this, voter, sentAt](peer::CallResult<wire::PulseReply> result) {
                if (const auto *reply = std::get_if<wire::PulseReply>(&result)) {
                    handleHeartbeatReply(voter, sentAt, *reply);
                } else {
                    resetDigests(voter);
                }
            });
    }

    void resetDigests(std::size_t voter)
    {
        voterStates_[voter].membersDigest = 0;
        voterStates_[voter].leasesDigest = 0;
    }

    void handleHeartbeatReply(std::size_t voter, Instant sentAt, const wire::PulseReply &reply)
    {
        const Instant now = timers_.now();
        VoterState &state = voterStates_[voter];
        updateVoterState(state, now, reply);
        membership::VoterReport report;
        report.recovering = reply.recovering();
        report.configurationVersion = reply.configuration_version();
        report.members = state.members;
        report.leases = state.leases;
        view_.recordReport(voter, sentAt, now, std::move(report));
        std::vector<lease::LeaseResponse> responses;
        for (const wire::LeaseAnswer &answer : reply.answers()) {
            responses.push_back(
                { answer.key(), answer.term(), answer.granted(), answer.highest_term() });
        }
        holder_.recordResponses(voter, sentAt, responses);
        if (view_.newestConfigurationVersion() > store_.version()) {
            fetchConfiguration();
        }
        updateFreshness();
        detectLeaseChanges();
    }

    void updateVoterState(VoterState &state, Instant now, const wire::PulseReply &reply) const
    {
        const Duration heartbeatTimeout = settings_.fleet.timings.memberTimeout;
        if (reply.members_included()) {
            state.members.clear();
            for (const wire::Member &member : reply.members()) {
                state.members.push_back({ fromWire(member), Milliseconds(member.silent_ms()) });
            }
        } else {
            // An unchanged digest means that no member became live or unresponsive since the last
            // reply: live members stay live, and unresponsive members stay unresponsive.
            for (MemberStatus &row : state.members) {
                const bool unresponsive = row.timeSinceHeartbeat > heartbeatTimeout;
                row.timeSinceHeartbeat =
                    unresponsive ? row.timeSinceHeartbeat + (now - state.receivedAt) : Duration(0);
            }
        }
        if (reply.leases_included()) {
            state.leases.clear();
            for (const wire::LeaseRow &row : reply.leases()) {
                state.leases.push_back({ row.key(), row.vm(), row.incarnation(), row.term() });
            }
        }
        state.membersDigest = reply.members_digest();
        state.leasesDigest = reply.leases_digest();
        state.receivedAt = now;
    }

    // Records that the stored configuration was the newest one when the heartbeats that a majority
    // of voters answered were sent.
    void updateFreshness()
    {
        const auto since = view_.majorityFreshSince();
        const bool newest = store_.version() >= view_.newestConfigurationVersion();
        if (!since || !newest) {
            return;
        }
        confirmedFreshAt_ = std::max(confirmedFreshAt_.value_or(*since), *since);
        if (!isVoterRecovered_) {
            markVoterRecovered(false);
        }
    }

    void fetchConfiguration()
    {
        const auto voter = view_.newestConfigurationVoter();
        if (fetchInProgress_ || !voter) {
            return;
        }
        fetchInProgress_ = true;
        wire::ConfigurationRequest request;
        request.set_have_version(store_.version());
        clients_.call<wire::ConfigurationUpdate>(
            settings_.fleet.voters[*voter].peerAddress, peer::Method::Configuration, request,
            ConfigurationFetchTimeout, [this](peer::CallResult<wire::ConfigurationUpdate> result) {
                fetchInProgress_ = false;
                if (const auto *update = std::get_if<wire::ConfigurationUpdate>(&result)) {
                    applyFetchedConfiguration(*update);
                }
            });
    }

    void applyFetchedConfiguration(const wire::ConfigurationUpdate &update)
    {
        const std::uint64_t before = store_.version();
        const auto applied = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(store_.applyUpdate(update));
            return true;
        });
        if (const auto *failure = std::get_if<Failure>(&applied)) {
            logEvent(Event::PeerRejected, { { "detail", toString(*failure) } });
        }
        if (store_.version() == before) {
            return;
        }
        logEvent(Event::ConfigurationFetched, { { "version", store_.version() } });
        handleConfigurationChange();
        updateFreshness();
    }

    void handleConfigurationChange()
    {
        logEvent(Event::ConfigurationApplied, { { "version", store_.version() } });
        for (const auto &callback : configurationCallbacks_) {
            callback();
        }
        updateWantedLeases();
    }

    // Lease acquisition and release.

    std::map<std::string, std::string> zonesByLeaseKey() const
    {
        std::map<std::string, std::string> keys;
        const std::vector<std::string> zones = this->knownZones();
        for (const auto &[name, service] : store_.current().services()) {
            for (const std::string &zone : zones) {
                keys[dispatchLeaseKey(name, zone)] = zone;
            }
            keys[floorLeaseKey(name)] = "";
        }
        const bool published = !store_.current().services().empty();
        for (std::uint32_t i = 0; published && i < settings_.fleet.quotaShards; ++i) {
            keys[quotaLeaseKey(i)] = "";
        }
        for (std::uint32_t i = 0; published && i < settings_.fleet.ledgerShards; ++i) {
            keys[ledgerLeaseKey(i)] = "";
        }
        return keys;
    }

    bool canHoldLeases(const Member &member) const
    {
        const auto &configuration = store_.current();
        return !member.draining && !configuration.isVmOutOfService(member.vm)
            && !configuration.isZoneOutOfService(member.availabilityZone);
    }

    void updateWantedLeases()
    {
        const Instant now = timers_.now();
        const auto keys = zonesByLeaseKey();
        std::vector<Member> candidates;
        for (const Member &member : view_.liveMembers(now)) {
            if (canHoldLeases(member)) {
                candidates.push_back(member);
            }
        }
        const bool thisVmCanHoldLeases = canHoldLeases(ownMember());
        for (const std::string &key : std::set<std::string>(wantedKeys_)) {
            if (!thisVmCanHoldLeases || keys.count(key) == 0) {
                holder_.beginRelease(key);
                wantedKeys_.erase(key);
            }
        }
        for (const auto &[key, zone] : keys) {
            if (thisVmCanHoldLeases) {
                updateWantedLease(now, key, zone, candidates);
            }
        }
    }

    void updateWantedLease(Instant now, const std::string &key, const std::string &zone,
                           const std::vector<Member> &candidates)
    {
        if (holder_.heldTerm(key, now)) {
            releaseIfOutsideZone(now, key, zone, candidates);
            return;
        }
        const auto row = view_.leaseHolder(key);
        const bool heldByOther = row && row->vm != settings_.id;
        if (heldByOther) {
            vacantSince_.erase(key);
            if (wantedKeys_.erase(key) != 0) {
                holder_.beginRelease(key);
            }
            return;
        }
        const Instant vacantSince = vacantSince_.emplace(key, now).first->second;
        if (wantedKeys_.count(key) != 0) {
            if (holder_.isTermRejected(key)) {
                backOff(now, key);
            }
            return;
        }
        const auto ranked = membership::rankLeaseCandidates(key, zone, candidates);
        for (std::size_t rank = 0; rank < std::min(ranked.size(), CandidatesPerLease); ++rank) {
            const bool own = ranked[rank].vm == settings_.id;
            const Duration delay =
                settings_.fleet.timings.heartbeatInterval * static_cast<int>(rank);
            if (own && now - vacantSince >= delay) {
                startAcquiring(key);
            }
        }
    }

    // Releases a lease held outside its availability zone after a VM of that zone has been
    // available for ZoneHandoverDelay, so that a dispatcher runs in the zone that it serves.
    void releaseIfOutsideZone(Instant now, const std::string &key, const std::string &zone,
                              const std::vector<Member> &candidates)
    {
        const bool zoneHasCandidate = !zone.empty() && zone != settings_.availabilityZone
            && std::any_of(candidates.begin(), candidates.end(),
                           [&](const Member &member) { return member.availabilityZone == zone; });
        if (!zoneHasCandidate) {
            vacantSince_.erase(key);
            return;
        }
        const Instant since = vacantSince_.emplace(key, now).first->second;
        if (now - since > ZoneHandoverDelay) {
            vacantSince_.erase(key);
            holder_.beginRelease(key);
            wantedKeys_.erase(key);
        }
    }

    // Releases the granted votes after an election without a winner and delays the next attempt by
    // a random time.
    void backOff(Instant now, const std::string &key)
    {
        holder_.beginRelease(key);
        wantedKeys_.erase(key);
        std::uniform_int_distribution<Duration::rep> pause(
            0, 2 * settings_.fleet.timings.heartbeatInterval.count());
        vacantSince_[key] = now + Duration(pause(random_));
    }

    void startAcquiring(const std::string &key)
    {
        wantedKeys_.insert(key);
        const std::uint64_t largest =
            std::max(view_.largestLeaseTerm(key), holder_.highestTermSeen(key));
        holder_.beginAcquire(key, largest, wallClockMs());
    }

    void detectLeaseChanges()
    {
        const Instant now = timers_.now();
        std::map<std::string, std::uint64_t> held;
        for (const std::string &key : wantedKeys_) {
            if (const auto term = holder_.heldTerm(key, now)) {
                held[key] = *term;
            }
        }
        const auto before = std::move(reportedTerms_);
        reportedTerms_ = held;
        for (const auto &[key, term] : before) {
            const auto present = held.find(key);
            if (present == held.end() || present->second != term) {
                logEvent(Event::LeaseLost, { { "lease", key }, { "term", term } });
                notifyLeaseChange(key, std::nullopt);
            }
        }
        for (const auto &[key, term] : held) {
            const auto previous = before.find(key);
            if (previous == before.end() || previous->second != term) {
                logEvent(Event::LeaseAcquired, { { "lease", key }, { "term", term } });
                notifyLeaseChange(key, term);
            }
        }
    }

    void notifyLeaseChange(const std::string &key, std::optional<std::uint64_t> term)
    {
        for (const LeaseCallback &callback : leaseCallbacks_) {
            callback(key, term);
        }
    }

    void reportMetrics()
    {
        metrics_.setGauge("daisyhaven_configuration_version", {},
                          static_cast<double>(store_.version()));
        metrics_.setGauge("daisyhaven_leases_held", {}, static_cast<double>(reportedTerms_.size()));
        metrics_.setGauge("daisyhaven_members", {},
                          static_cast<double>(view_.liveMembers(timers_.now()).size()));
        metrics_.setGauge("daisyhaven_configuration_fresh", {}, isConfigurationFresh() ? 1 : 0);
    }

    std::mt19937_64 random_ { std::random_device {}() };
    bool isVoter_ = false;
    bool draining_ = false;
    bool fetchInProgress_ = false;
    std::optional<Instant> confirmedFreshAt_;
    std::optional<lease::LeaseVoter> voter_;
    membership::MemberTable members_;
    std::vector<VoterState> voterStates_;
    std::set<std::string> wantedKeys_;
    std::map<std::string, std::uint64_t> reportedTerms_;
    std::map<std::string, Instant> vacantSince_;
    TimerHandle heartbeatTimer_;
    TimerHandle leaseCheckTimer_;
};

FleetTask::FleetTask(TimerService &timers, peer::ClientPool &clients, peer::Server &server,
                     const settings::VmSettings &settings, std::uint64_t incarnation,
                     Metrics &metrics)
    : impl_(std::make_unique<Impl>(timers, clients, server, settings, incarnation, metrics))
{
}

FleetTask::~FleetTask() = default;

void FleetTask::onLeaseChange(LeaseCallback callback)
{
    impl_->leaseCallbacks_.push_back(std::move(callback));
}

void FleetTask::onConfigurationChange(std::function<void()> callback)
{
    impl_->configurationCallbacks_.push_back(std::move(callback));
}

void FleetTask::onUnpublishedFleet(std::function<void()> callback)
{
    impl_->unpublishedFleetCallbacks_.push_back(std::move(callback));
}

void FleetTask::start()
{
    impl_->start();
}

const configuration::Configuration &FleetTask::configuration() const
{
    return impl_->store_.current();
}

bool FleetTask::isConfigurationFresh() const
{
    return impl_->isConfigurationFresh();
}

std::optional<LeaseHolderAddress> FleetTask::leaseHolder(const std::string &key) const
{
    return impl_->leaseHolder(key);
}

std::optional<std::uint64_t> FleetTask::heldLeaseTerm(const std::string &key) const
{
    return impl_->holder_.heldTerm(key, impl_->timers_.now());
}

std::optional<Instant> FleetTask::leaseExpiry(const std::string &key) const
{
    return impl_->holder_.expiry(key);
}

std::vector<Member> FleetTask::liveMembers() const
{
    return impl_->view_.liveMembers(impl_->timers_.now());
}

std::vector<MemberStatus> FleetTask::knownMembers() const
{
    return impl_->view_.knownMembers(impl_->timers_.now());
}

std::vector<std::string> FleetTask::knownZones() const
{
    return impl_->knownZones();
}

std::optional<peer::Address> FleetTask::addressOf(const std::string &vm) const
{
    return impl_->addressOf(vm);
}

bool FleetTask::isVoterRecovered() const
{
    return impl_->isVoterRecovered_;
}

void FleetTask::drain()
{
    impl_->drain();
}

const std::string &FleetTask::vmId() const
{
    return impl_->settings_.id;
}

const std::string &FleetTask::availabilityZone() const
{
    return impl_->settings_.availabilityZone;
}

std::uint64_t FleetTask::incarnation() const
{
    return impl_->incarnation_;
}

const settings::FleetSettings &FleetTask::fleetSettings() const
{
    return impl_->settings_.fleet;
}

} // namespace daisyhaven::fleet

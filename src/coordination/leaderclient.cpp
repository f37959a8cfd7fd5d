#include "coordination/coordination.h"
#include "coordination/internal/documentfetcher.h"
#include "coordination/internal/relaylist.h"
#include "coordination/internal/viewcodec.h"
#include "observe/observe.h"

#include <algorithm>

namespace daisyhaven::coordination {

namespace {

constexpr Milliseconds MaintenancePeriod { 100 };
// Longer than the time for which the leader holds a view request open.
constexpr Milliseconds ViewTimeout { 1200 };
constexpr Milliseconds ProbeTimeout { 600 };
// A control VM that knows of no leader holds the request open; one that does responds at once.
constexpr Milliseconds ProbePeriod { 100 };
constexpr Milliseconds ReleaseTimeout { 2000 };
// A lost leader is usually replaced within this time, so relays are tried only after it.
constexpr Milliseconds RelayProbeDelay { 800 };
constexpr std::size_t RelaysProbedAtOnce = 2;
// While a relay is used, control VMs are probed this often to return to the direct way.
constexpr Milliseconds DirectProbePeriod { 1000 };
// While this VM is disconnected from servers, it asks this often through which VMs it can send.
constexpr Milliseconds RequestRelayRefreshPeriod { 1000 };

} // namespace

class LeaderClient::Impl
{
public:
    Impl(TimerService &timers, peer::ClientPool &clients, LeaderClientOptions options,
         LeaderClientCallbacks callbacks)
        : timers_(timers), clients_(clients), options_(std::move(options)),
          callbacks_(std::move(callbacks)),
          documents_(
              timers, clients, options_.vm, options_.documentParser,
              [this] { return leader_ ? *leader_ : documentSource_; },
              [this](std::uint64_t version, const auto &table) { applyDocument(version, table); })
    {
        controlAddresses_.insert(options_.seeds.begin(), options_.seeds.end());
    }

    void start()
    {
        maintenance_ = timers_.runEvery(MaintenancePeriod, [this] { maintain(); });
        maintain();
    }

    void setActive(bool active)
    {
        active_ = active;
        if (!active) {
            leader_.reset();
        }
    }

    void setSeeds(std::vector<peer::Address> seeds)
    {
        controlAddresses_.insert(seeds.begin(), seeds.end());
        options_.seeds = std::move(seeds);
    }

    const FleetView &view() const { return view_; }
    const std::vector<RequestRelay> &requestRelays() const { return requestRelays_; }
    bool hasLeader() const
    {
        return leader_ && clients_.listenedSince(lastContactAt_) < LeaderTimeout;
    }
    std::optional<peer::Address> leader() const { return leader_; }
    bool usesRelay() const { return leader_ && !isControlAddress(*leader_); }

    Duration timeSinceLeaderContact() const
    {
        return lastContactAt_ == Instant() ? Duration::max() : timers_.now() - lastContactAt_;
    }

    Duration leaderUnresponsiveTime() const
    {
        return leader_ ? clients_.unresponsiveTime(*leader_) : Duration(0);
    }

    std::vector<peer::Address> controlAddresses() const
    {
        return { controlAddresses_.begin(), controlAddresses_.end() };
    }

    void requestSlot(const wire::SlotQuestion &request, Duration timeout, SlotCallback callback)
    {
        if (!leader_) {
            timers_.post([callback = std::move(callback)] {
                callback(Failure { ResultCode::NotLeader, "no leader is known to this VM" });
            });
            return;
        }
        clients_.call<wire::SlotAnswer>(*leader_, peer::Method::AcquireSlot, request, timeout,
                                        std::move(callback));
    }

    void releaseSlot(const wire::SlotRelease &release)
    {
        if (leader_) {
            // If the release is lost, the slot is freed when it expires.
            clients_.call<wire::Empty>(*leader_, peer::Method::ReleaseSlot, release, ReleaseTimeout,
                                       [](const peer::CallResult<wire::Empty> &) {});
        }
    }

private:
    wire::FleetViewRequest makeViewRequest() const
    {
        wire::FleetViewRequest request;
        request.set_vm(options_.vm);
        request.set_incarnation(options_.incarnation);
        request.set_epoch(view_.epoch);
        request.set_sequence(view_.sequence);
        request.set_document_index(view_.documentIndex);
        request.set_downloads_documents(true);
        if (options_.relayAddress) {
            request.set_peer_address(options_.relayAddress->toString());
            request.set_wants_relays(relays_.isOutdated(timers_.now()));
        }
        request.set_request_relay_address(options_.requestRelay.address);
        request.set_availability_zone(options_.requestRelay.zone);
        if (callbacks_.isDisconnected && callbacks_.isDisconnected()) {
            request.set_disconnected(true);
            const bool outdated = timers_.now() - requestRelaysAt_ >= RequestRelayRefreshPeriod;
            request.set_wants_relays(outdated || request.wants_relays());
        }
        if (callbacks_.externalSlots) {
            for (const auto &[server, count] : callbacks_.externalSlots(view_.epoch)) {
                auto *held = request.add_held();
                held->set_server(server);
                held->set_count(count);
            }
        }
        if (callbacks_.unreportedAdmissions) {
            for (const auto &[team, count] : callbacks_.unreportedAdmissions()) {
                auto *spent = request.add_spent();
                spent->set_team(team);
                spent->set_count(count);
            }
        }
        return request;
    }

    void notifyAdmissionsReported(const wire::FleetViewRequest &request) const
    {
        if (!callbacks_.admissionsReported || request.spent().empty()) {
            return;
        }
        std::map<std::string, std::uint32_t> spent;
        for (const wire::TeamSpending &team : request.spent()) {
            spent[team.team()] = team.count();
        }
        callbacks_.admissionsReported(spent);
    }

    void maintain()
    {
        if (!active_) {
            return;
        }
        if (leader_ && viewRequestedFrom_ != leader_) {
            requestView();
        }
        documents_.resume();
        const Instant now = timers_.now();
        const bool unresponsive = !hasLeader();
        if (unresponsive && !leaderLossLogged_) {
            leaderLossLogged_ = true;
            logEvent(Event::LeaderLost,
                     { { "leader", leader_ ? leader_->toString() : "" },
                       { "epoch", view_.epoch },
                       { "silentMs", millisecondsSinceContact(now) } });
        }
        if (unresponsive && now >= nextProbeAt_) {
            nextProbeAt_ = now + ProbePeriod;
            probeControlVms();
            probeRelays(now);
        } else if (usesRelay() && now >= nextProbeAt_) {
            nextProbeAt_ = now + DirectProbePeriod;
            probeControlVms();
        }
    }

    bool isControlAddress(const peer::Address &address) const
    {
        return controlAddresses_.count(address) != 0;
    }

    std::int64_t millisecondsSinceContact(Instant now) const
    {
        return lastContactAt_ == Instant() ? -1 : (now - lastContactAt_).count() / 1000;
    }

    void probeRelays(Instant now)
    {
        const bool electionMayBeInProgress =
            !lastPathWasRelay_ && now - lastContactAt_ < RelayProbeDelay;
        if (electionMayBeInProgress) {
            return;
        }
        for (const peer::Address &relay : relays_.takeNext(RelaysProbedAtOnce)) {
            if (!isControlAddress(relay)) {
                probeRelay(relay);
            }
        }
    }

    void probeRelay(const peer::Address &relay)
    {
        const auto makeRequest = [this] {
            wire::FleetViewRequest request;
            request.set_vm(options_.vm);
            request.set_relay_probe(true);
            return request;
        };
        sendProbe(relay, makeRequest,
                  [this, relay](const wire::FleetViewRequest &, const wire::FleetViewReply &reply) {
                      handleRelayProbe(relay, reply);
                  });
    }

    void handleRelayProbe(const peer::Address &relay, const wire::FleetViewReply &reply)
    {
        for (const peer::Address &referred : parseRelays(reply)) {
            relays_.tryNext(referred);
        }
        const bool needsPath = !hasLeader() && !usesRelay() && active_;
        if (reply.can_relay() && needsPath) {
            leader_ = relay;
            requestView();
        }
    }

    void probeControlVms()
    {
        for (const peer::Address &address : controlAddresses_) {
            const bool skip = options_.ownAddress && address == *options_.ownAddress;
            if (!skip) {
                probe(address);
            }
        }
    }

    void probe(const peer::Address &address)
    {
        sendProbe(
            address, [this] { return makeViewRequest(); },
            [this, address](const wire::FleetViewRequest &request,
                            const wire::FleetViewReply &reply) {
                handleViewReply(address, request, reply);
            });
    }

    // Sends a request to `address` unless an earlier one is pending there.
    template <class MakeRequest, class HandleReply>
    void sendProbe(const peer::Address &address, MakeRequest makeRequest, HandleReply handleReply)
    {
        if (!pendingProbes_.insert(address).second) {
            return;
        }
        const wire::FleetViewRequest request = makeRequest();
        clients_.call<wire::FleetViewReply>(
            address, peer::Method::FleetView, request, ProbeTimeout,
            [this, address, request,
             handleReply](const peer::CallResult<wire::FleetViewReply> &result) {
                pendingProbes_.erase(address);
                if (const auto *reply = std::get_if<wire::FleetViewReply>(&result)) {
                    handleReply(request, *reply);
                }
            });
    }

    void requestView()
    {
        const peer::Address address = *leader_;
        viewRequestedFrom_ = address;
        const wire::FleetViewRequest request = makeViewRequest();
        clients_.call<wire::FleetViewReply>(
            address, peer::Method::FleetView, request, ViewTimeout,
            [this, address, request](const peer::CallResult<wire::FleetViewReply> &result) {
                if (viewRequestedFrom_ == address) {
                    viewRequestedFrom_.reset();
                }
                const auto *reply = std::get_if<wire::FleetViewReply>(&result);
                if (reply != nullptr) {
                    handleViewReply(address, request, *reply);
                } else if (leader_ == address) {
                    leader_.reset();
                }
                maintain();
            });
    }

    void handleViewReply(const peer::Address &address, const wire::FleetViewRequest &request,
                         const wire::FleetViewReply &reply)
    {
        if (reply.leader()) {
            notifyAdmissionsReported(request);
        }
        applyViewReply(address, reply);
    }

    void applyViewReply(const peer::Address &address, const wire::FleetViewReply &reply)
    {
        for (const std::string &member : reply.members()) {
            addControlAddress(member);
        }
        applyState(address, reply);
        if (!reply.leader()) {
            if (leader_ == address) {
                leader_.reset();
            }
            const auto hint = addControlAddress(reply.leader_address());
            if (!leader_ && hint && active_ && hint != options_.ownAddress) {
                probe(*hint);
            }
            return;
        }
        if (reply.epoch() < view_.epoch || !active_) {
            return;
        }
        const bool otherPathWorks = leader_ && leader_ != address && hasLeader();
        if (otherPathWorks && !isControlAddress(address)) {
            return;
        }
        if (leader_ != address || leaderLossLogged_) {
            leaderLossLogged_ = false;
            logEvent(Event::LeaderFound,
                     { { "leader", address.toString() },
                       { "epoch", reply.epoch() },
                       { "relay", isControlAddress(address) ? "no" : "yes" } });
        }
        leader_ = address;
        lastPathWasRelay_ = usesRelay();
        applyRelays(reply);
        lastContactAt_ = timers_.now();
        applyServers(reply);
        if (viewRequestedFrom_ != leader_) {
            requestView();
        }
    }

    void applyRelays(const wire::FleetViewReply &reply)
    {
        std::vector<peer::Address> relays = parseRelays(reply);
        if (!relays.empty()) {
            relays_.replace(timers_.now(), std::move(relays));
        }
        if (reply.request_relays().empty()) {
            return;
        }
        requestRelaysAt_ = timers_.now();
        requestRelays_.clear();
        for (const wire::RequestRelay &relay : reply.request_relays()) {
            requestRelays_.push_back({ relay.address(), relay.availability_zone() });
        }
    }

    static std::vector<peer::Address> parseRelays(const wire::FleetViewReply &reply)
    {
        std::vector<peer::Address> relays;
        for (const std::string &text : reply.relays()) {
            if (const auto relay = parsePeerAddress(text)) {
                relays.push_back(*relay);
            }
        }
        return relays;
    }

    std::optional<peer::Address> addControlAddress(const std::string &text)
    {
        if (text.empty()) {
            return std::nullopt;
        }
        auto address = parsePeerAddress(text);
        if (address) {
            controlAddresses_.insert(*address);
        }
        return address;
    }

    static std::optional<peer::Address> parsePeerAddress(const std::string &text)
    {
        const auto address = attempt([&] { return peer::parseAddress(text); });
        if (const auto *valid = std::get_if<peer::Address>(&address)) {
            return *valid;
        }
        logEvent(Event::PeerRejected, { { "detail", "not a valid peer address: " + text } });
        return std::nullopt;
    }

    void applyServers(const wire::FleetViewReply &reply)
    {
        if (reply.servers_omitted()) {
            return;
        }
        const Instant now = timers_.now();
        const bool incremental = reply.epoch() == view_.epoch && !reply.complete();
        if (incremental && reply.sequence() < view_.sequence) {
            return;
        }
        if (!incremental) {
            view_.servers.clear();
        }
        view_.epoch = reply.epoch();
        view_.sequence = reply.sequence();
        view_.entryVmCount = std::max<std::size_t>(reply.entry_vms(), 1);
        applyLoadSummary(reply, &view_);
        for (const std::string &id : reply.removed()) {
            view_.servers.erase(id);
        }
        for (const wire::FleetServer &server : reply.changed()) {
            if (isReadable(server)) {
                view_.servers[server.id()] = fromWire(now, server);
            }
        }
    }

    // Applies the zones out of service, and starts a download if there is a newer document.
    void applyState(const peer::Address &address, const wire::FleetViewReply &reply)
    {
        if (!reply.has_document() || reply.document_index() <= view_.documentIndex) {
            return;
        }
        const wire::CoordinationState &state = reply.state();
        view_.documentIndex = reply.document_index();
        view_.zonesOutOfService = readableZonesOutOfService(state);
        view_.rollouts = readableRollouts(state);
        notifyConfigurationChanged();
        documentSource_ = address;
        if (!state.has_version()) {
            return;
        }
        if (!state.document().empty() && state.version() > view_.configurationVersion) {
            documents_.receive({ state.version(), state.document(), 0 });
        }
        documents_.want(state.version());
    }

    void applyDocument(std::uint64_t version,
                       const std::shared_ptr<const routing::RoutingTable> &table)
    {
        view_.routingTable = table;
        view_.configurationVersion = version;
        notifyConfigurationChanged();
    }

    void notifyConfigurationChanged() const
    {
        logEvent(Event::ConfigurationApplied,
                 { { "version", versionText(view_.configurationVersion) },
                   { "zonesOut", view_.zonesOutOfService.size() },
                   { "index", view_.documentIndex } });
        if (callbacks_.configurationChanged) {
            callbacks_.configurationChanged();
        }
    }

    TimerService &timers_;
    peer::ClientPool &clients_;
    LeaderClientOptions options_;
    LeaderClientCallbacks callbacks_;
    std::set<peer::Address> controlAddresses_;
    std::set<peer::Address> pendingProbes_;
    std::optional<peer::Address> leader_;
    FleetView view_;
    Instant lastContactAt_;
    Instant nextProbeAt_;
    bool active_ = true;
    // The address at which a view request is pending.
    std::optional<peer::Address> viewRequestedFrom_;
    // The VM that named the newest version.
    peer::Address documentSource_;
    DocumentFetcher documents_;
    RelayList relays_;
    std::vector<RequestRelay> requestRelays_;
    Instant requestRelaysAt_;
    // The last message of the leader came through a relay.
    bool lastPathWasRelay_ = false;
    bool leaderLossLogged_ = false;
    TimerHandle maintenance_;
};

std::string versionText(const std::optional<std::uint64_t> &version)
{
    return version ? std::to_string(*version) : "none";
}

std::set<std::string> serversBlockedByRollout(const FleetView &view, const std::string &service)
{
    std::set<std::string> blocked;
    const auto rollout = view.rollouts.find(service);
    if (rollout == view.rollouts.end()) {
        return blocked;
    }
    for (const auto &[id, server] : view.servers) {
        const bool mayReceive =
            rollout::mayReceiveWithoutLeader(rollout->second, server.info.version);
        if (server.info.service == service && !mayReceive) {
            blocked.insert(id);
        }
    }
    return blocked;
}

LeaderClient::LeaderClient(TimerService &timers, peer::ClientPool &clients,
                           LeaderClientOptions options, LeaderClientCallbacks callbacks)
    : impl_(std::make_unique<Impl>(timers, clients, std::move(options), std::move(callbacks)))
{
}

LeaderClient::~LeaderClient() = default;

void LeaderClient::start()
{
    impl_->start();
}

void LeaderClient::setActive(bool active)
{
    impl_->setActive(active);
}

void LeaderClient::setSeeds(std::vector<peer::Address> seeds)
{
    impl_->setSeeds(std::move(seeds));
}

const FleetView &LeaderClient::view() const
{
    return impl_->view();
}

bool LeaderClient::hasLeader() const
{
    return impl_->hasLeader();
}

std::optional<peer::Address> LeaderClient::leader() const
{
    return impl_->leader();
}

bool LeaderClient::usesRelay() const
{
    return impl_->usesRelay();
}

Duration LeaderClient::timeSinceLeaderContact() const
{
    return impl_->timeSinceLeaderContact();
}

Duration LeaderClient::leaderUnresponsiveTime() const
{
    return impl_->leaderUnresponsiveTime();
}

const std::vector<RequestRelay> &LeaderClient::requestRelays() const
{
    return impl_->requestRelays();
}

std::vector<peer::Address> LeaderClient::controlAddresses() const
{
    return impl_->controlAddresses();
}

void LeaderClient::requestSlot(const wire::SlotQuestion &request, Duration timeout,
                               SlotCallback callback)
{
    impl_->requestSlot(request, timeout, std::move(callback));
}

void LeaderClient::releaseSlot(const wire::SlotRelease &release)
{
    impl_->releaseSlot(release);
}

} // namespace daisyhaven::coordination

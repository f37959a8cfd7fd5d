#include "gateway/internal/slotclient.h"

#include "peer/generated/peer.pb.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace daisyhaven::gateway {

namespace {

constexpr Milliseconds PendingCheckInterval { 50 };
// If a response of the leader is outstanding for longer, pending requests treat the leader as lost.
constexpr Milliseconds LeaderResponseTimeout { 250 };
// The leader rejects a request by its deadline. This margin covers the delivery of the response.
constexpr Milliseconds ResponseMargin { 200 };
// A failed path is used again after this time, which doubles with each consecutive failure.
constexpr Milliseconds InitialPathBackoff { 2000 };
constexpr Milliseconds MaxPathBackoff { 8000 };
constexpr Milliseconds LocalRetryAfter { 500 };
constexpr Milliseconds MaxBlockedRetryAfter { 3000 };
constexpr std::size_t MaxConnectedReported = 32;

std::uint32_t millisecondsUntil(Instant now, Instant until)
{
    return static_cast<std::uint32_t>(std::max<Duration::rep>((until - now).count() / 1000, 0));
}

// A server that refuses connections is reached; the others may be cut off from this VM only.
bool isPathFailure(scheduler::Outcome outcome)
{
    return isNetworkFailure(outcome) && outcome != scheduler::Outcome::ConnectRefused;
}

} // namespace

bool isNetworkFailure(scheduler::Outcome outcome)
{
    return outcome == scheduler::Outcome::ConnectRefused
        || outcome == scheduler::Outcome::ConnectTimeout
        || outcome == scheduler::Outcome::ConnectionLost
        || outcome == scheduler::Outcome::ResponseTimeout;
}

SlotClient::SlotClient(TimerService &timers, coordination::LeaderClient &leader, Metrics &metrics,
                       std::string vm, std::uint64_t incarnation,
                       const scheduler::RateTolerance &rateTolerance)
    : timers_(timers), leader_(leader), metrics_(metrics), vm_(std::move(vm)),
      incarnation_(incarnation), rateTolerance_(rateTolerance), chooser_(std::random_device {}()),
      limitShares_(std::random_device {}())
{
}

std::uint64_t SlotClient::requestSlot(scheduler::SlotRequest slotRequest, Callback callback)
{
    const std::uint64_t slotRequestId = ++lastSlotRequestId_;
    slotRequest.key = { vm_, incarnation_, slotRequestId };
    const WaitingRequest waiting { timers_.now(), slotRequest.targetTime, slotRequest.deadline };
    const bool blocked = blockedUntil(slotRequest.service).has_value();
    pending_[slotRequestId] = { std::move(slotRequest), std::move(callback), waiting, false };
    if (isLeaderResponsive() && !blocked) {
        sendToLeader(slotRequestId);
    } else {
        timers_.post([this, slotRequestId] { processPending(slotRequestId); });
    }
    if (!pendingCheckTimer_.isActive()) {
        pendingCheckTimer_ =
            timers_.runEvery(PendingCheckInterval, [this] { checkPendingRequests(); });
    }
    return slotRequestId;
}

bool SlotClient::isLeaderResponsive() const
{
    return leader_.hasLeader() && leader_.leaderUnresponsiveTime() < LeaderResponseTimeout;
}

void SlotClient::recordPathFailure(Instant now, const std::string &server)
{
    PathBackoff &path = pathBackoffs_[server];
    path.delay = std::clamp<Duration>(path.delay * 2, InitialPathBackoff, MaxPathBackoff);
    path.until = now + path.delay;
}

std::size_t SlotClient::serverCount(const std::string &service) const
{
    const auto &servers = leader_.view().servers;
    return static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(),
                      [&](const auto &server) { return server.second.info.service == service; }));
}

const scheduler::ServerInfo *SlotClient::findServer(const std::string &id) const
{
    const auto &servers = leader_.view().servers;
    const auto known = servers.find(id);
    return known == servers.end() ? nullptr : &known->second.info;
}

std::optional<Instant> SlotClient::blockedUntil(const std::string &service) const
{
    return restrictions_.blockedUntil(timers_.now(), service, leader_.view().servers);
}

std::set<std::string> SlotClient::blockedServers(const std::string &service) const
{
    return restrictions_.blockedServers(timers_.now(), service, leader_.view().servers);
}

bool SlotClient::isBlocked(const Slot &slot) const
{
    return restrictions_.isBlocked(timers_.now(), slot.server, slot.serverStartTimeMs);
}

void SlotClient::recordStatement(const Slot &slot, const scheduler::ServerStatement &statement)
{
    const Instant now = timers_.now();
    limitShares_.recordLimit(now, slot.server, slot.serverStartTimeMs, statement.requestsPerSecond,
                             leader_.view());
    if (restrictions_.record(now, slot.server, slot.serverStartTimeMs, statement)) {
        logEvent(Event::ServerStatementHeard,
                 { { "server", slot.server },
                   { "leaving", statement.leaving ? "yes" : "no" },
                   { "quietMs", statement.quietFor.count() / 1000 } });
    }
}

// Every server of the service has asked this VM for no requests until `blockedUntil`. Rejects the
// request unless it can wait for that long.
void SlotClient::rejectBlocked(std::uint64_t slotRequestId, Instant blockedUntil)
{
    if (blockedUntil < pending_.at(slotRequestId).waiting.target) {
        return;
    }
    complete(slotRequestId,
             SlotRejection { ResultCode::NoBackendServer,
                             std::min<Duration>(blockedUntil - timers_.now(), MaxBlockedRetryAfter),
                             "every backend server has asked this VM for no requests" });
}

// The server asked for no requests after this request was sent to the leader.
void SlotClient::requestOtherServer(std::uint64_t slotRequestId, const Slot &blocked)
{
    release(blocked, scheduler::Outcome::NotSent, Duration(0));
    pending_.at(slotRequestId).sentToLeader = false;
    processPending(slotRequestId);
}

void SlotClient::processPending(std::uint64_t slotRequestId)
{
    const auto pending = pending_.find(slotRequestId);
    if (pending == pending_.end() || pending->second.sentToLeader) {
        return;
    }
    if (const auto until = blockedUntil(pending->second.slotRequest.service)) {
        rejectBlocked(slotRequestId, *until);
        return;
    }
    const bool leaderResponsive = isLeaderResponsive();
    const LeaderState leaderState { leaderResponsive, leader_.timeSinceLeaderContact(),
                                    leaderResponsive
                                        || serverCount(pending->second.slotRequest.service) > 0 };
    switch (nextLeaderWaitStep(timers_.now(), pending->second.waiting, leaderState)) {
    case LeaderWaitStep::SendToLeader:
        sendToLeader(slotRequestId);
        return;
    case LeaderWaitStep::PickLocally:
        pickLocally(slotRequestId, "no leader");
        return;
    case LeaderWaitStep::Wait:
        return;
    }
}

void SlotClient::sendToLeader(std::uint64_t slotRequestId)
{
    pending_.at(slotRequestId).sentToLeader = true;
    const scheduler::SlotRequest &slotRequest = pending_.at(slotRequestId).slotRequest;
    const Instant now = timers_.now();
    wire::SlotQuestion message;
    message.set_vm(vm_);
    message.set_incarnation(incarnation_);
    message.set_number(slotRequestId);
    message.set_service(slotRequest.service);
    message.set_team(slotRequest.team);
    message.set_route(slotRequest.route);
    message.set_priority(slotRequest.priority);
    message.set_repeatable(slotRequest.idempotent);
    message.set_bulk(slotRequest.largeBody);
    message.set_retry(slotRequest.isRetry);
    message.set_has_token(slotRequest.hasRateToken);
    message.set_deadline_ms(millisecondsUntil(now, slotRequest.deadline));
    if (slotRequest.latestStart < slotRequest.deadline) {
        // 0 would state that there is no bound.
        message.set_latest_start_ms(
            std::max<std::uint32_t>(millisecondsUntil(now, slotRequest.latestStart), 1));
    }
    message.set_target_ms(millisecondsUntil(now, slotRequest.targetTime));
    message.set_availability_zone(slotRequest.zone);
    message.set_fingerprint(slotRequest.fingerprint);
    std::set<std::string> excludedServers = blockedServers(slotRequest.service);
    excludedServers.insert(slotRequest.excludedServers.begin(), slotRequest.excludedServers.end());
    for (const std::string &server : excludedServers) {
        message.add_avoid(server);
    }
    std::size_t reported = 0;
    for (const std::string &server : slotRequest.connectedServers) {
        if (++reported > MaxConnectedReported) {
            break;
        }
        message.add_connected(server);
    }
    leader_.requestSlot(
        message, slotRequest.deadline - now + ResponseMargin,
        [this, slotRequestId](const auto &result) { onLeaderResponse(slotRequestId, result); });
}

void SlotClient::onLeaderResponse(std::uint64_t slotRequestId,
                                  const std::variant<wire::SlotAnswer, Failure> &result)
{
    if (std::holds_alternative<Failure>(result)) {
        const auto failedRequest = pending_.find(slotRequestId);
        if (failedRequest != pending_.end()) {
            failedRequest->second.sentToLeader = false;
            processPending(slotRequestId);
        }
        return;
    }
    const auto &response = std::get<wire::SlotAnswer>(result);
    if (response.result() == 0) {
        onSlotGranted(slotRequestId, response);
        return;
    }
    const auto pending = pending_.find(slotRequestId);
    if (pending == pending_.end()) {
        return;
    }
    const auto code = static_cast<ResultCode>(response.result());
    complete(slotRequestId,
             SlotRejection { code, Milliseconds(response.retry_after_ms()), response.reason() });
}

void SlotClient::onSlotGranted(std::uint64_t slotRequestId, const wire::SlotAnswer &response)
{
    const scheduler::ServerInfo *known = findServer(response.server());
    const std::uint64_t knownStartTimeMs = known == nullptr ? 0 : known->startTimeMs;
    const Slot slot { response.server(), response.address(), response.slot(), response.epoch(),
                      response.born() != 0 ? response.born() : knownStartTimeMs };
    recordSlotUse(slot);
    const auto pending = pending_.find(slotRequestId);
    if (pending == pending_.end()) {
        release(slot, scheduler::Outcome::NotSent, Duration(0));
        return;
    }
    if (isBlocked(slot)) {
        requestOtherServer(slotRequestId, slot);
        return;
    }
    if (!pending->second.slotRequest.hasRateToken) {
        chooser_.recordLeaderAdmission(timers_.now(), pending->second.slotRequest.team);
    }
    complete(slotRequestId, slot);
}

void SlotClient::complete(std::uint64_t slotRequestId, const SlotResult &result)
{
    auto node = pending_.extract(slotRequestId);
    if (pending_.empty()) {
        pendingCheckTimer_ = TimerHandle();
    }
    if (!node.empty()) {
        node.mapped().callback(result);
    }
}

void SlotClient::cancel(std::uint64_t slotRequestId)
{
    if (pending_.erase(slotRequestId) != 0) {
        sendCancellation(slotRequestId);
    }
}

void SlotClient::sendCancellation(std::uint64_t slotRequestId)
{
    wire::SlotRelease message;
    message.set_vm(vm_);
    message.set_incarnation(incarnation_);
    message.set_number(slotRequestId);
    leader_.releaseSlot(message);
}

void SlotClient::checkPendingRequests()
{
    const bool leaderResponsive = isLeaderResponsive();
    std::vector<std::uint64_t> slotRequestIds;
    for (const auto &[slotRequestId, pending] : pending_) {
        slotRequestIds.push_back(slotRequestId);
    }
    for (const std::uint64_t slotRequestId : slotRequestIds) {
        const auto pending = pending_.find(slotRequestId);
        if (pending == pending_.end()) {
            continue;
        }
        if (pending->second.sentToLeader && !leaderResponsive) {
            sendCancellation(slotRequestId);
            pending->second.sentToLeader = false;
        }
        processPending(slotRequestId);
    }
}

void SlotClient::pickLocally(std::uint64_t slotRequestId, const std::string &cause)
{
    const auto pending = pending_.find(slotRequestId);
    if (pending == pending_.end()) {
        return;
    }
    metrics_.addToCounter("daisyhaven_local_choices_total", { { "cause", cause } });
    const SlotResult result = grantLocally(pending->second.slotRequest);
    if (const auto *slot = std::get_if<Slot>(&result)) {
        recordSlotUse(*slot);
    }
    complete(slotRequestId, result);
}

std::map<std::string, std::uint32_t> SlotClient::slotsInUseByServer() const
{
    std::map<std::string, std::uint32_t> inUse;
    for (const auto &[epoch, servers] : slotsInUse_) {
        for (const auto &[server, count] : servers) {
            inUse[server] += count;
        }
    }
    return inUse;
}

// Picks a server that has not asked this VM for no requests and whose limit, if it names one,
// leaves this VM a request.
const scheduler::KnownServer *SlotClient::pickServer(scheduler::SlotRequest request)
{
    const Instant now = timers_.now();
    const coordination::FleetView &view = leader_.view();
    request.excludedServers.merge(blockedServers(request.service));
    request.excludedServers.merge(
        limitShares_.exhaustedServers(now, lastLeaderContactAt(), request.service, view));
    request.excludedServers.merge(coordination::serversBlockedByRollout(view, request.service));
    return chooser_.pickServer(now, leader_.timeSinceLeaderContact(), request, view.servers,
                               view.zonesOutOfService, slotsInUseByServer());
}

SlotResult SlotClient::grantLocally(const scheduler::SlotRequest &slotRequest)
{
    const Instant now = timers_.now();
    const coordination::FleetView &view = leader_.view();
    if (slotRequest.isRetry && !chooser_.tryAcquireRetry(now, slotRequest.service)) {
        return SlotRejection { ResultCode::RetryBudgetSpent, LocalRetryAfter,
                               "no leader: this VM's share of the retry budget is exhausted" };
    }
    const routing::Team *team =
        view.routingTable ? view.routingTable->findTeam(slotRequest.team) : nullptr;
    chooser_.setSharedLimits(view.entryVmCount, rateTolerance_, view.busyTeams);
    chooser_.setZoneShares(view.zoneShares);
    const bool needsToken = team != nullptr && !slotRequest.hasRateToken;

    const scheduler::KnownServer *server = pickServer(slotRequest);
    if (server == nullptr) {
        return SlotRejection { ResultCode::NoBackendServer, LocalRetryAfter,
                               "no leader: no usable backend server in the last fleet view" };
    }
    if (needsToken && !chooser_.tryAdmit(now, lastLeaderContactAt(), *team)) {
        return SlotRejection { ResultCode::RateExceeded, LocalRetryAfter,
                               "no leader: this VM's share of the team's rate limit is exhausted" };
    }
    if (!slotRequest.hasRateToken) {
        chooser_.recordFirstAttempt(now, slotRequest.service);
    }
    if (needsToken) {
        localAdmissions_[team->name].push_back(now);
    }
    limitShares_.takeRequest(now, lastLeaderContactAt(), *server, view.entryVmCount);
    return Slot { server->info.id, server->info.address, 0, 0, server->info.startTimeMs };
}

void SlotClient::recordSlotUse(const Slot &slot)
{
    ++slotsInUse_[slot.epoch][slot.server];
    chooser_.serverStats().recordStart(timers_.now(), slot.server);
}

void SlotClient::release(const Slot &slot, scheduler::Outcome outcome, Duration latency,
                         const std::optional<scheduler::ServerStatement> &statement)
{
    auto &servers = slotsInUse_[slot.epoch];
    if (--servers[slot.server] == 0) {
        servers.erase(slot.server);
    }
    if (servers.empty()) {
        slotsInUse_.erase(slot.epoch);
    }
    const Instant now = timers_.now();
    chooser_.serverStats().recordEnd(now, slot.server, outcome, latency);
    if (isPathFailure(outcome)) {
        recordPathFailure(now, slot.server);
    } else if (outcome == scheduler::Outcome::Success) {
        pathBackoffs_.erase(slot.server);
    }
    if (slot.isLocal()) {
        return;
    }
    wire::SlotRelease message;
    message.set_epoch(slot.epoch);
    message.set_slot(slot.number);
    message.set_vm(vm_);
    message.set_incarnation(incarnation_);
    const bool disconnected = outcome == scheduler::Outcome::VmDisconnected;
    // A control VM of an earlier release knows only the outcome.
    message.set_outcome(
        static_cast<std::uint32_t>(disconnected ? scheduler::Outcome::Cancelled : outcome));
    message.set_vm_disconnected(disconnected);
    message.set_latency_us(static_cast<std::uint64_t>(std::max<Duration::rep>(latency.count(), 0)));
    if (statement) {
        message.mutable_statement()->set_leaving(statement->leaving);
        message.mutable_statement()->set_requests_per_second(statement->requestsPerSecond);
    }
    leader_.releaseSlot(message);
}

std::map<std::string, std::uint32_t> SlotClient::slotsHeldOutsideEpoch(std::uint64_t epoch) const
{
    std::map<std::string, std::uint32_t> held;
    for (const auto &[slotEpoch, servers] : slotsInUse_) {
        if (slotEpoch == epoch) {
            continue;
        }
        for (const auto &[server, count] : servers) {
            held[server] += count;
        }
    }
    return held;
}

std::map<std::string, std::uint32_t> SlotClient::unreportedLocalAdmissions()
{
    // Older admissions are outside every rate window.
    const Instant oldest = timers_.now() - rateTolerance_.window;
    const Duration withoutLeaderFor =
        std::min(leader_.timeSinceLeaderContact(), rateTolerance_.window);
    std::map<std::string, std::uint32_t> counts;
    for (auto &[team, times] : localAdmissions_) {
        while (!times.empty() && times.front() < oldest) {
            times.pop_front();
        }
        // The usual count is covered by the rate that accrued in this time and that no leader
        // handed out.
        const double usual =
            chooser_.expectedAdmissions(lastLeaderContactAt(), team, withoutLeaderFor);
        const double excess = std::ceil(static_cast<double>(times.size()) - usual);
        if (excess > 0) {
            counts[team] = static_cast<std::uint32_t>(excess);
        }
    }
    return counts;
}

void SlotClient::markAdmissionsReported(const std::map<std::string, std::uint32_t> &admissions)
{
    for (const auto &[team, count] : admissions) {
        std::deque<Instant> &times = localAdmissions_[team];
        const std::size_t known = std::min<std::size_t>(count, times.size());
        times.erase(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(known));
    }
}

std::set<std::string> SlotClient::filterByService(const std::set<std::string> &servers,
                                                  const std::string &service) const
{
    std::set<std::string> found;
    for (const std::string &id : servers) {
        const auto server = leader_.view().servers.find(id);
        if (server != leader_.view().servers.end() && server->second.info.service == service) {
            found.insert(id);
        }
    }
    return found;
}

std::set<std::string> SlotClient::unreachableServers(const std::string &service)
{
    const Instant now = timers_.now();
    std::set<std::string> servers;
    for (auto path = pathBackoffs_.begin(); path != pathBackoffs_.end();) {
        if (now >= path->second.until + MaxPathBackoff) {
            path = pathBackoffs_.erase(path);
            continue;
        }
        if (now < path->second.until) {
            servers.insert(path->first);
        }
        ++path;
    }
    if (servers.empty()) {
        return servers;
    }
    servers = filterByService(servers, service);
    // If most servers are affected, avoiding them would leave too few to pick from.
    return servers.size() * 2 > serverCount(service) ? std::set<std::string> {} : servers;
}

Instant SlotClient::lastLeaderContactAt() const
{
    const Duration timeSinceLeaderContact = leader_.timeSinceLeaderContact();
    return timeSinceLeaderContact == Duration::max() ? Instant()
                                                     : timers_.now() - timeSinceLeaderContact;
}

} // namespace daisyhaven::gateway

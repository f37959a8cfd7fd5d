#include "scheduler/scheduler.h"

#include "scheduler/internal/crashrecords.h"
#include "scheduler/internal/state.h"
#include "scheduler/internal/teamrates.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace daisyhaven::scheduler {

using internal::ServerState;
using internal::ServiceState;

namespace {

// A server is suspected if its failure probability is at least this value. A lower probability only
// raises its selection cost.
constexpr double SuspicionThreshold = 0.3;
constexpr double RelaxedThreshold = 0.8;
// If the trusted servers are fewer than this fraction of the floor, suspected servers are used as
// well.
constexpr double RelaxedFloorFraction = 0.7;
// While a service loses more than this share of its requests, at least the floor of its servers
// must receive requests in each window, even if their results were bad.
constexpr double LossThresholdForFloor = 0.05;
constexpr Milliseconds FloorWindow { 1600 };
// A request that is not idempotent goes only to servers with a lower failure probability.
constexpr double TrustThreshold = 0.12;
constexpr double FailureCostWeight = 2.0;
// The high weight sends requests that are not idempotent to servers with a recent success rather
// than to the least loaded ones.
constexpr double NonIdempotentFailureCostWeight = 40.0;
constexpr double OtherZoneCost = 0.3;
constexpr double OtherZoneCostForLargeBody = 1.0;
constexpr double NewConnectionCost = 0.45;
// Higher than for idempotent requests, because the differences in failure cost are higher too.
constexpr double NonIdempotentNewConnectionCost = 1.0;
// Idempotent requests prefer servers without a recent request, up to one second: they reveal a
// failure that a non-idempotent request would otherwise meet first.
constexpr double ExplorationBonusPerSecond = 0.5;
constexpr double MaxExplorationSeconds = 1;
constexpr double SlownessCostWeight = 0.25;
// A healthy server without a request for this long is preferred to all others, since only results
// reveal its health. Idempotent requests reach it first because they can be retried.
constexpr Milliseconds IdleThreshold { 900 };
constexpr Milliseconds NonIdempotentIdleThreshold { 1500 };
constexpr double IdleServerBonus = 10;
constexpr double CostJitter = 0.05;
constexpr double MaxSlowness = 3;
constexpr double MinSlowness = 0.5;

constexpr Milliseconds InitialProbeInterval { 250 };
constexpr Milliseconds MaxProbeInterval { 3000 };
// Interval between probes with requests that are not idempotent.
constexpr Milliseconds NonIdempotentProbeInterval { 6000 };
// A service without idempotent requests for this long is probed with other requests.
constexpr Seconds IdempotentTrafficWindow { 3 };
// A request that has waited for this long accepts a server with a higher failure probability, and
// suspected servers are probed more often.
constexpr Milliseconds LongWaitThreshold { 60 };
constexpr Milliseconds LongWaitProbeInterval { 600 };
// The service counts as full after this many waiting requests found no slot.
constexpr int MaxWaitingMisses = 4;
// Fraction of a service's capacity that is assumed to be left for every priority.
constexpr double MinCapacityFraction = 0.01;
// A probe requires at least this much time before the deadline, so that the request can be retried
// on another server.
constexpr Milliseconds ProbeRetryReserve { 600 };
constexpr Milliseconds ShedBackoff { 30 };
constexpr double ShedCostWeight = 1.0;
// A slot whose VM sends no release expires this long after the request's deadline.
constexpr Milliseconds SlotExpiryGrace { 500 };

// A request becomes overdue at each of these multiples of the typical latency.
constexpr std::array<double, 3> OverdueMultiples { 2.5, 4, 7 };
constexpr double MinTypicalMicroseconds = 100'000;

constexpr double LatencyWeight = 0.05;
// Limits the effect of a single slow request on the typical latency to this ratio.
constexpr double MaxLatencyRatio = 4;
constexpr double InitialLatencyMicroseconds = 150'000;
// Minimum time that a request needs, as a multiple of the typical latency.
constexpr double ServiceTimeReserve = 1.2;
constexpr Milliseconds MinRetryAfter { 50 };
constexpr Milliseconds MaxRetryAfter { 3000 };
constexpr double ColdStartBurst = 2;
constexpr Seconds LeaderSettlingTime { 2 };
// Fraction of the unreachable VMs' share of the rates that is reserved for them. They limit
// themselves to less than their full share.
constexpr double UnreachableVmShareFraction = 0.75;

Duration toDuration(double microseconds)
{
    return Duration(static_cast<Duration::rep>(microseconds));
}

bool isInconclusive(Outcome outcome)
{
    return outcome == Outcome::NotSent || outcome == Outcome::Cancelled
        || outcome == Outcome::VmDisconnected;
}

// A server with this failure probability or a higher one gets the request only as a probe.
double maxFailureProbability(const SlotRequest &request)
{
    return request.idempotent ? SuspicionThreshold : TrustThreshold;
}

// The same limit for a request that has waited for a slot.
double maxFailureProbabilityAfterWait(const SlotRequest &request)
{
    return request.idempotent ? RelaxedThreshold : SuspicionThreshold;
}

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Success:
        return "success";
    case Outcome::ServerError:
        return "server-error";
    case Outcome::Shed:
        return "shed";
    case Outcome::MalformedResponse:
        return "broken-answer";
    case Outcome::ConnectRefused:
        return "connect-refused";
    case Outcome::ConnectTimeout:
        return "connect-timeout";
    case Outcome::ConnectionLost:
        return "connection-lost";
    case Outcome::ResponseTimeout:
        return "no-answer";
    case Outcome::NotSent:
        return "not-sent";
    case Outcome::Cancelled:
        return "cancelled";
    case Outcome::WrongServer:
        return "wrong-server";
    case Outcome::VmDisconnected:
        return "vm-disconnected";
    }
    return "unknown";
}

} // namespace

Scheduler::Scheduler(std::uint64_t epoch, Limits limits, std::uint64_t seed, Instant now)
    : epoch_(epoch), limits_(limits), random_(seed), startedAt_(now),
      table_(std::make_shared<const routing::RoutingTable>()),
      rateLimiter_(std::make_unique<internal::TeamRateLimiter>(limits)),
      crashRecords_(std::make_unique<internal::CrashRecords>())
{
}

Scheduler::~Scheduler() = default;

std::vector<Action> Scheduler::takeActions()
{
    std::vector<Action> actions;
    actions.swap(actions_);
    return actions;
}

ServiceState &Scheduler::getOrCreateService(const std::string &name)
{
    auto &service = services_[name];
    if (!service) {
        service = std::make_unique<ServiceState>(name, limits_, startedAt_);
        const routing::Service *known = table_->findService(name);
        if (known != nullptr) {
            service->coldRequestsPerSecond = known->coldStartRequestsPerSecond;
            service->coldStartDuration = known->coldStartDuration;
        }
    }
    return *service;
}

void Scheduler::setRoutingTable(Instant now, std::shared_ptr<const routing::RoutingTable> table,
                                const InitialTokens &initialTokens)
{
    table_ = std::move(table);
    rateLimiter_->setRoutingTable(now, *table_, initialTokens);
    for (const routing::Service &known : table_->services()) {
        ServiceState &service = getOrCreateService(known.name);
        service.coldRequestsPerSecond = known.coldStartRequestsPerSecond;
        service.coldStartDuration = known.coldStartDuration;
        for (auto &[id, server] : service.servers) {
            server->coldStartLimiter.reconfigure(known.coldStartRequestsPerSecond, ColdStartBurst,
                                                 now);
        }
    }
}

void Scheduler::setZonesOutOfService(Instant now, const std::set<std::string> &zones)
{
    for (const std::string &zone : evacuatedZones_) {
        if (zones.count(zone) != 0) {
            continue;
        }
        for (auto &[id, server] : servers_) {
            if (server->info.zone == zone) {
                const Duration coldStart =
                    getOrCreateService(server->info.service).coldStartDuration;
                server->zoneRestoreColdUntil = now + coldStart;
            }
        }
    }
    evacuatedZones_ = zones;
}

void Scheduler::addOrUpdateServer(Instant now, const ServerInfo &info)
{
    const auto known = servers_.find(info.id);
    const bool isSameProcess = known != servers_.end()
        && known->second->info.startTimeMs == info.startTimeMs
        && known->second->info.service == info.service;
    if (isSameProcess) {
        ServerState &server = *known->second;
        server.addressReassigned = server.addressReassigned && server.info.address == info.address;
        server.info = info;
    } else {
        removeServer(info.id);
        ServiceState &service = getOrCreateService(info.service);
        auto server = std::make_unique<ServerState>(info, now);
        server->requestLimit.setReservedShare(now, shareReservedForOthers_);
        server->coldStartLimiter = internal::TokenBucket(service.coldRequestsPerSecond,
                                                         ColdStartBurst, ColdStartBurst, now);
        servers_[info.id] = server.get();
        service.servers[info.id] = std::move(server);
    }
    ServiceState &service = getOrCreateService(info.service);
    updateServerCounts(now, service);
    grantWaitingRequests(now, service);
}

void Scheduler::removeServer(const std::string &id)
{
    const auto known = servers_.find(id);
    if (known == servers_.end()) {
        return;
    }
    ServiceState &service = getOrCreateService(known->second->info.service);
    servers_.erase(known);
    service.servers.erase(id);
}

void Scheduler::restoreSuspicion(Instant now, const std::string &id)
{
    const auto known = servers_.find(id);
    if (known == servers_.end()) {
        return;
    }
    known->second->health.recordInheritedSuspicion(now);
    known->second->nextProbeAt = now + InitialProbeInterval;
    updateSuspicion(now, *known->second, "suspected by the previous leader");
}

void Scheduler::restoreRequestLimit(Instant now, const std::string &id, double requestsPerSecond)
{
    const auto known = servers_.find(id);
    if (known != servers_.end()) {
        // The previous leader may have granted all of it.
        known->second->requestLimit.record(now, requestsPerSecond);
        known->second->requestLimit.takeChange();
    }
}

void Scheduler::setExternalSlots(Instant now, const std::string &vm,
                                 const std::map<std::string, std::uint32_t> &slotsByServer)
{
    auto &known = externalSlots_[vm];
    if (known == slotsByServer) {
        return;
    }
    const auto adjust = [this](const std::map<std::string, std::uint32_t> &slots, bool add) {
        for (const auto &[id, count] : slots) {
            const auto server = servers_.find(id);
            if (server != servers_.end()) {
                std::uint32_t &externalCount = server->second->externalSlots;
                externalCount =
                    add ? externalCount + count : externalCount - std::min(externalCount, count);
            }
        }
    };
    adjust(known, false);
    known = slotsByServer;
    adjust(known, true);
    for (auto &[name, service] : services_) {
        grantWaitingRequests(now, *service);
    }
}

void Scheduler::recordExternalAdmissions(Instant now, const std::string &team, std::uint32_t count)
{
    rateLimiter_->deductExternalAdmissions(now, team, count);
}

// ---- slot requests ----

void Scheduler::requestSlot(Instant now, SlotRequest request)
{
    if (const auto wait = crashRecords_->tryAdmit(now, request.fingerprint)) {
        reject(now, request, ResultCode::Quarantined, *wait, "the request crashed two servers");
        return;
    }
    ServiceState &service = getOrCreateService(request.service);
    if (request.idempotent) {
        service.lastIdempotentAt = now;
    }
    if (request.isRetry) {
        if (!service.retryBudget.allowsRetry(now, limits_)) {
            reject(now, request, ResultCode::RetryBudgetSpent, Duration(0),
                   "the retry budget of the service is spent");
            return;
        }
    }
    if (!request.hasRateToken) {
        if (const auto wait = rateLimiter_->tryTakeToken(now, request.team)) {
            reject(now, request, ResultCode::RateExceeded, *wait,
                   "the team exceeds its rate limit");
            return;
        }
    }
    service.requestRates.record(now, request.priority);
    if (!tryGrant(now, service, request, false)) {
        enqueueOrReject(now, service, std::move(request));
    }
}

// `hasWaitedLong`: the request has waited for a slot, so a server with a higher failure probability
// is acceptable.
bool Scheduler::tryGrant(Instant now, ServiceState &service, const SlotRequest &request,
                         bool hasWaitedLong)
{
    ServerState *server = pickServer(now, service, request, hasWaitedLong);
    if (server == nullptr) {
        return false;
    }
    if (request.isRetry) {
        service.retryBudget.recordRetry(now);
    } else if (!request.hasRateToken) {
        service.retryBudget.recordFirstAttempt(now, limits_);
    }
    grantSlot(now, *server, request);
    return true;
}

bool Scheduler::isInService(const ServerState &server) const
{
    return !server.info.draining && !server.leaving && !server.addressReassigned
        && evacuatedZones_.count(server.info.zone) == 0;
}

bool Scheduler::hasCapacity(Instant now, ServerState &server) const
{
    if (server.inFlightCount() >= server.info.slots || now < server.shedBackoffUntil) {
        return false;
    }
    if (!server.requestLimit.allowsRequest(now)) {
        return false;
    }
    return !server.isWarmingUp(now) || server.coldStartLimiter.refillAndCheck(1, now);
}

bool Scheduler::isEligible(Instant now, const ServiceState &service, ServerState &server,
                           const SlotRequest &request, bool hasWaitedLong) const
{
    const bool excluded = server.excludedInSelection == lastSelection_;
    if (excluded || !hasCapacity(now, server) || !isInService(server)) {
        return false;
    }
    const double limit =
        hasWaitedLong ? maxFailureProbabilityAfterWait(request) : maxFailureProbability(request);
    return server.health.failureProbability(now)
        < (service.usesSuspectedServers ? RelaxedThreshold : limit);
}

double Scheduler::selectionCost(Instant now, const ServerState &server,
                                const SlotRequest &request) const
{
    // Includes half of the load that the request itself adds.
    double cost = (server.inFlightCount() + 0.5) / std::max<std::uint32_t>(server.info.slots, 1);
    cost += (request.idempotent ? FailureCostWeight : NonIdempotentFailureCostWeight)
        * server.health.failureProbability(now);
    const double slowness = std::clamp(server.health.slowness(), MinSlowness, MaxSlowness);
    cost += SlownessCostWeight * (slowness - 1);
    cost += ShedCostWeight * server.health.shedShare();
    if (server.info.zone != request.zone) {
        cost += request.largeBody ? OtherZoneCostForLargeBody : OtherZoneCost;
    }
    if (server.connectedInSelection != lastSelection_) {
        cost += request.idempotent ? NewConnectionCost : NonIdempotentNewConnectionCost;
    }
    const Duration idleTime = now - server.lastGrantAt;
    if (request.idempotent) {
        const double idleSeconds = std::chrono::duration<double>(idleTime).count();
        cost -= ExplorationBonusPerSecond * std::min(idleSeconds, MaxExplorationSeconds);
    }
    if (idleTime > (request.idempotent ? IdleThreshold : NonIdempotentIdleThreshold)) {
        cost -= IdleServerBonus;
    }
    return cost;
}

bool Scheduler::isDueForProbe(Instant now, ServiceState &service, ServerState &server,
                              const SlotRequest &request, bool hasWaitedLong) const
{
    // Probes use requests that can be retried on another server if the probe fails.
    const bool serviceHasIdempotent = now - service.lastIdempotentAt < IdempotentTrafficWindow;
    const bool suitsProbe = request.idempotent || !serviceHasIdempotent;
    const bool mayProbe =
        suitsProbe && !request.isRetry && request.deadline - now > ProbeRetryReserve;
    const Instant due = hasWaitedLong
        ? std::min(server.nextProbeAt, server.lastProbeAt + LongWaitProbeInterval)
        : server.nextProbeAt;
    return mayProbe && server.inFlightCount() == 0 && now >= due
        && server.health.failureProbability(now) >= maxFailureProbability(request)
        && isInService(server) && hasCapacity(now, server)
        && server.excludedInSelection != lastSelection_;
}

void Scheduler::markNamedServers(const SlotRequest &request)
{
    ++lastSelection_;
    for (const std::string &id : request.excludedServers) {
        const auto server = servers_.find(id);
        if (server != servers_.end()) {
            server->second->excludedInSelection = lastSelection_;
        }
    }
    for (const std::string &id : request.connectedServers) {
        const auto server = servers_.find(id);
        if (server != servers_.end()) {
            server->second->connectedInSelection = lastSelection_;
        }
    }
}

ServerState *Scheduler::pickServer(Instant now, ServiceState &service, const SlotRequest &request,
                                   bool hasWaitedLong)
{
    // A failed probe with an idempotent request costs a retry.
    const bool probesAllowed =
        !request.idempotent || !service.retryBudget.isNearlySpent(now, limits_);
    std::uniform_real_distribution<double> jitter(0, CostJitter);
    markNamedServers(request);
    ServerState *best = nullptr;
    double bestCost = 0;
    for (auto &[id, server] : service.servers) {
        if (probesAllowed && isDueForProbe(now, service, *server, request, hasWaitedLong)) {
            server->lastProbeAt = now;
            server->probeInterval = std::min<Duration>(
                std::max<Duration>(server->probeInterval * 2, InitialProbeInterval),
                MaxProbeInterval);
            server->nextProbeAt = now
                + (request.idempotent ? server->probeInterval
                                      : Duration(NonIdempotentProbeInterval));
            return server.get();
        }
        if (!isEligible(now, service, *server, request, hasWaitedLong)) {
            continue;
        }
        const double serverCost = selectionCost(now, *server, request) + jitter(random_);
        if (best == nullptr || serverCost < bestCost) {
            best = server.get();
            bestCost = serverCost;
        }
    }
    return best;
}

void Scheduler::grantSlot(Instant now, ServerState &server, const SlotRequest &request)
{
    if (server.isWarmingUp(now)) {
        server.coldStartLimiter.tryTake(1, now);
    }
    server.requestLimit.takeRequest(now);
    ++server.grantedSlots;
    server.lastGrantAt = now;
    const std::uint64_t slotId = ++lastSlotId_;
    GrantedSlot grantedSlot;
    grantedSlot.service = request.service;
    grantedSlot.serverId = server.info.id;
    grantedSlot.vm = request.key.vm;
    grantedSlot.route = request.route;
    grantedSlot.team = request.team;
    grantedSlot.fingerprint = request.fingerprint;
    grantedSlot.key = request.key;
    grantedSlot.grantedAt = now;
    grantedSlot.expiresAt = request.deadline + SlotExpiryGrace;
    grantedSlots_[slotId] = std::move(grantedSlot);
    slotIdsByKey_[request.key] = slotId;
    actions_.emplace_back(Grant { request.key, slotId, server.info.id, server.info.address,
                                  server.info.startTimeMs });
}

// ---- waiting requests ----

Instant Scheduler::latestStartTime(const SlotRequest &request) const
{
    return request.deadline - toDuration(typicalLatency(request.route) * ServiceTimeReserve);
}

// The capacity that more urgent requests leave serves the requests that wait already, and then this
// one.
Duration Scheduler::expectedWait(Instant now, const ServiceState &service,
                                 std::uint32_t priority) const
{
    if (service.usableSlots == 0) {
        return MaxRetryAfter;
    }
    const double capacity = service.requestsPerSecondCapacity;
    const double left =
        std::max(capacity - service.requestRates.higherPriorityPerSecond(now, priority),
                 capacity * MinCapacityFraction);
    return toDuration(1e6 * static_cast<double>(service.waitingQueue.countAhead(priority) + 1)
                      / left);
}

void Scheduler::enqueueOrReject(Instant now, ServiceState &service, SlotRequest request)
{
    const Duration wait = expectedWait(now, service, request.priority);
    // Servers announce themselves again to a new leader, which takes a moment.
    const bool leaderSettling = now - startedAt_ < LeaderSettlingTime;
    const bool inTime =
        now + wait <= latestStartTime(request) || (leaderSettling && service.usableSlots == 0);
    const bool noServer = service.serversInService == 0 && !leaderSettling;
    if (noServer || !inTime) {
        const ResultCode code =
            service.serversInService == 0 ? ResultCode::NoBackendServer : ResultCode::QueueFull;
        reject(now, request, code, wait,
               "servers=" + std::to_string(service.serversInService)
                   + " usableSlots=" + std::to_string(service.usableSlots)
                   + " waiting=" + std::to_string(service.waitingQueue.size())
                   + " expectedWaitMs=" + std::to_string(wait.count() / 1000));
        return;
    }
    const Instant targetStart = request.targetTime - toDuration(typicalLatency(request.route));
    const Instant latestStart = latestStartTime(request);
    service.waitingQueue.push({ std::move(request), now, targetStart, latestStart });
}

void Scheduler::grantWaitingRequests(Instant now, ServiceState &service)
{
    service.waitingQueue.grantInOrder(
        now, MaxWaitingMisses, [&](const internal::WaitingRequest &waiting) {
            const bool hasWaitedLong = now - waiting.enqueuedAt > LongWaitThreshold;
            return tryGrant(now, service, waiting.request, hasWaitedLong);
        });
}

void Scheduler::rejectExpiredRequests(Instant now, ServiceState &service)
{
    for (const SlotRequest &request : service.waitingQueue.takeExpired(now)) {
        reject(now, request, ResultCode::DeadlineUnreachable,
               expectedWait(now, service, request.priority),
               "no slot became free in time to meet the deadline");
    }
}

void Scheduler::reject(Instant now, const SlotRequest &request, ResultCode code,
                       Duration retryAfter, std::string reason)
{
    const bool tokenTaken = code != ResultCode::RateExceeded && code != ResultCode::Quarantined;
    if (tokenTaken && !request.hasRateToken) {
        rateLimiter_->returnToken(now, request.team);
    }
    if (tokenTaken) {
        getOrCreateService(request.service).lostRate.record(now);
    }
    const Duration wait = std::clamp<Duration>(retryAfter, MinRetryAfter, MaxRetryAfter);
    actions_.emplace_back(Rejection { request.key, code, wait, std::move(reason) });
}

void Scheduler::cancelRequest(Instant now, const SlotRequestKey &key)
{
    for (auto &[name, service] : services_) {
        if (const auto request = service->waitingQueue.remove(key)) {
            if (!request->hasRateToken) {
                rateLimiter_->returnToken(now, request->team);
            }
            return;
        }
    }
    const auto slotId = slotIdsByKey_.find(key);
    if (slotId != slotIdsByKey_.end()) {
        releaseSlot(now, slotId->second, Outcome::NotSent, Duration(0));
    }
}

// ---- results ----

void Scheduler::freeSlot(std::uint64_t slotId)
{
    const auto grantedSlot = grantedSlots_.find(slotId);
    const auto server = servers_.find(grantedSlot->second.serverId);
    if (server != servers_.end() && server->second->grantedSlots > 0) {
        --server->second->grantedSlots;
    }
    slotIdsByKey_.erase(grantedSlot->second.key);
    grantedSlots_.erase(grantedSlot);
}

// A statement made before the server restarted says nothing about the new process.
void Scheduler::recordStatement(Instant now, const GrantedSlot &slot,
                                const ServerStatement &statement)
{
    const auto known = servers_.find(slot.serverId);
    if (known == servers_.end() || slot.grantedAt < known->second->createdAt) {
        return;
    }
    ServerState &server = *known->second;
    server.requestLimit.record(now, statement.requestsPerSecond);
    if (server.requestLimit.takeChange()) {
        actions_.emplace_back(
            RequestLimitChange { server.info.id, server.requestLimit.perSecond() });
    }
    if (statement.leaving && !server.leaving) {
        server.leaving = true;
        actions_.emplace_back(LeavingServer { server.info.id, server.info.startTimeMs });
    }
}

void Scheduler::releaseSlot(Instant now, std::uint64_t slotId, Outcome outcome, Duration latency,
                            const std::optional<ServerStatement> &statement)
{
    const auto found = grantedSlots_.find(slotId);
    if (found == grantedSlots_.end()) {
        return;
    }
    const GrantedSlot grantedSlot = found->second;
    freeSlot(slotId);
    ServiceState &service = getOrCreateService(grantedSlot.service);
    if (outcome == Outcome::Success) {
        service.answeredRate.record(now);
        const auto latencyMicroseconds = static_cast<double>(latency.count());
        service.microsecondsPerRequest +=
            (latencyMicroseconds - service.microsecondsPerRequest) * LatencyWeight;
        crashRecords_->recordSuccess(grantedSlot.fingerprint);
    } else if (outcome == Outcome::ConnectionLost) {
        crashRecords_->recordConnectionLoss(now, grantedSlot.fingerprint, grantedSlot.serverId);
    } else if (outcome == Outcome::NotSent) {
        rateLimiter_->returnToken(now, grantedSlot.team);
    }
    const bool lost =
        outcome != Outcome::Success && outcome != Outcome::Shed && !isInconclusive(outcome);
    if (lost) {
        service.lostRate.record(now);
    }
    if (statement) {
        recordStatement(now, grantedSlot, *statement);
    }
    const auto known = servers_.find(grantedSlot.serverId);
    if (known != servers_.end() && outcome == Outcome::NotSent) {
        known->second->requestLimit.returnRequest(now);
    }
    const bool wronglyOverdue =
        outcome == Outcome::VmDisconnected && grantedSlot.overdueStepCount > 0;
    if (known != servers_.end() && wronglyOverdue) {
        known->second->health.retractOverdue(now, grantedSlot.overdueStepCount);
        updateSuspicion(now, *known->second, outcomeName(outcome));
    }
    if (known != servers_.end() && !isInconclusive(outcome)) {
        ServerState &server = *known->second;
        const double ratio =
            static_cast<double>(latency.count()) / typicalLatency(grantedSlot.route);
        server.health.recordOutcome(now, grantedSlot.vm, outcome, ratio);
        if (outcome == Outcome::Success) {
            server.probeInterval = Duration(0);
            server.nextProbeAt = now;
        } else if (outcome == Outcome::Shed) {
            server.shedBackoffUntil = now + ShedBackoff;
        } else if (outcome == Outcome::WrongServer) {
            server.addressReassigned = true;
        } else {
            server.nextProbeAt = std::max(server.nextProbeAt, now + InitialProbeInterval);
        }
        updateSuspicion(now, server, outcomeName(outcome));
    }
    if (outcome == Outcome::Success) {
        updateTypicalLatency(grantedSlot.route, latency);
    }
    grantWaitingRequests(now, service);
}

void Scheduler::updateSuspicion(Instant now, ServerState &server, const std::string &cause)
{
    const double failureProbability = server.health.failureProbability(now);
    const bool suspected = failureProbability >= SuspicionThreshold;
    if (suspected == server.suspected) {
        return;
    }
    server.suspected = suspected;
    actions_.emplace_back(SuspicionChange { server.info.id, suspected, failureProbability, cause });
}

void Scheduler::updateTypicalLatency(const std::string &route, Duration latency)
{
    double &typical = routeLatencies_[route].microseconds;
    const auto latencyMicroseconds =
        static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
    typical = typical <= 0 ? latencyMicroseconds
                           : typical
            + (std::min(latencyMicroseconds, typical * MaxLatencyRatio) - typical) * LatencyWeight;
}

double Scheduler::typicalLatency(const std::string &route) const
{
    const auto known = routeLatencies_.find(route);
    const bool hasSamples = known != routeLatencies_.end() && known->second.microseconds > 0;
    return hasSamples ? known->second.microseconds : InitialLatencyMicroseconds;
}

// ---- periodic work ----

void Scheduler::checkOverdueSlots(Instant now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[slotId, grantedSlot] : grantedSlots_) {
        if (now >= grantedSlot.expiresAt) {
            expired.push_back(slotId);
            continue;
        }
        const double typical = std::max(typicalLatency(grantedSlot.route), MinTypicalMicroseconds);
        const double multiple =
            static_cast<double>((now - grantedSlot.grantedAt).count()) / typical;
        const auto server = servers_.find(grantedSlot.serverId);
        const bool overdue = grantedSlot.overdueStepCount < OverdueMultiples.size()
            && multiple >= OverdueMultiples.at(grantedSlot.overdueStepCount);
        if (overdue && server != servers_.end()) {
            ++grantedSlot.overdueStepCount;
            server->second->health.recordOverdue(now);
            updateSuspicion(now, *server->second, "overdue");
        }
    }
    for (const std::uint64_t slotId : expired) {
        freeSlot(slotId);
    }
}

void Scheduler::updateServerCounts(Instant now, ServiceState &service)
{
    std::uint32_t trusted = 0;
    std::uint32_t inService = 0;
    std::uint32_t reached = 0;
    std::uint32_t slots = 0;
    double capacity = 0;
    for (auto &[id, server] : service.servers) {
        if (!isInService(*server)) {
            continue;
        }
        ++inService;
        reached += now - server->lastGrantAt < FloorWindow ? 1 : 0;
        const double failureProbability = server->health.failureProbability(now);
        trusted += failureProbability < TrustThreshold ? 1 : 0;
        if (failureProbability >= SuspicionThreshold) {
            continue;
        }
        slots += server->info.slots;
        const double bySlots = server->info.slots * 1e6 / service.microsecondsPerRequest;
        capacity += server->requestLimit.isActive()
            ? std::min(bySlots, server->requestLimit.grantedPerSecond())
            : bySlots;
    }
    service.serversInService = inService;
    const double floor = limits_.floorShare * inService;
    const bool belowFloor = reached < floor && service.lostShare(now) > LossThresholdForFloor;
    service.usesSuspectedServers = trusted < floor * RelaxedFloorFraction || belowFloor;
    service.usableSlots = slots;
    service.requestsPerSecondCapacity = capacity;
}

void Scheduler::tick(Instant now)
{
    checkOverdueSlots(now);
    crashRecords_->removeExpired(now);
    for (auto &[name, service] : services_) {
        updateServerCounts(now, *service);
        for (auto &[id, server] : service->servers) {
            updateSuspicion(now, *server, "failure probability decayed over time");
        }
        grantWaitingRequests(now, *service);
        rejectExpiredRequests(now, *service);
    }
}

bool Scheduler::isSuspected(const std::string &server) const
{
    const auto known = servers_.find(server);
    return known != servers_.end() && known->second->suspected;
}

double Scheduler::requestLimit(const std::string &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? 0 : known->second->requestLimit.perSecond();
}

std::set<std::string> Scheduler::busyTeams(Instant now) const
{
    return rateLimiter_->busyTeams(now);
}

void Scheduler::setUnreachableVmShare(Instant now, double share)
{
    const double reserved = share * UnreachableVmShareFraction;
    if (reserved == shareReservedForOthers_) {
        return;
    }
    shareReservedForOthers_ = reserved;
    rateLimiter_->reserveShareForOthers(now, reserved);
    for (auto &[id, server] : servers_) {
        server->requestLimit.setReservedShare(now, reserved);
    }
}

std::uint32_t Scheduler::inFlightCount(const std::string &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? 0 : known->second->inFlightCount();
}

std::size_t Scheduler::queuedRequestCount() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : services_) {
        count += service->waitingQueue.size();
    }
    return count;
}

} // namespace daisyhaven::scheduler

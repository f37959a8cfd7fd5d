// Scheduler: which server receives a request.
#include "scheduler/scheduler.h"

#include "scheduler/internal/state.h"
#include "scheduler/internal/thresholds.h"

#include <algorithm>

namespace daisyhaven::scheduler {

using internal::ServerState;
using internal::ServiceState;

using internal::InitialProbeInterval;
using internal::MinSlowness;
using internal::SuspicionThreshold;
using internal::TrustThreshold;

namespace {

constexpr double RelaxedThreshold = 0.8;
constexpr double FailureCostWeight = 2.0;
// The high weight sends requests that are not idempotent to servers with a recent success rather
// than to the least loaded ones.
constexpr double NonIdempotentFailureCostWeight = 40.0;
// Costs of servers outside the serving zone, as a difference in load (share of the slots). They are
// the same for all requests: a request that must not fail leaves even for little more trust.
constexpr double LeavingCost = 0.4;
constexpr double LeavingCostForLargeBody = 1.0;
// Cost of the caller's own zone if another one should serve the request. Staying costs no traffic.
constexpr double StayingCost = 0.1;
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
// VMs with a connection to such a server prefer it earlier by this time, so that looking after it
// seldom costs a connection.
constexpr Milliseconds ConnectedIdleAdvance { 200 };
constexpr double IdleServerBonus = 10;
constexpr double CostJitter = 0.05;
constexpr double MaxSlowness = 3;

constexpr Milliseconds MaxProbeInterval { 3000 };
// Interval between probes with requests that are not idempotent.
constexpr Milliseconds NonIdempotentProbeInterval { 6000 };
// A service without idempotent requests for this long is probed with other requests.
constexpr Seconds IdempotentTrafficWindow { 3 };
constexpr Milliseconds LongWaitProbeInterval { 600 };
// A probe requires at least this much time before the deadline, so that the request can be retried
// on another server.
constexpr Milliseconds ProbeRetryReserve { 600 };
constexpr double ShedCostWeight = 1.0;
// Fraction of a server's slots from which on it counts as under load.
constexpr double HighLoad = 0.75;
// A slot whose VM sends no release expires this long after the request's deadline.
constexpr Milliseconds SlotExpiryGrace { 500 };

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

double failureCostWeight(const SlotRequest &request)
{
    return request.idempotent ? FailureCostWeight : NonIdempotentFailureCostWeight;
}

const std::string &servingZone(const SlotRequest &request)
{
    return request.servingZone.empty() ? request.zone : request.servingZone;
}

double zoneCost(const SlotRequest &request, const std::string &zone)
{
    if (zone == servingZone(request)) {
        return 0;
    }
    if (zone == request.zone) {
        return StayingCost;
    }
    return request.largeBody ? LeavingCostForLargeBody : LeavingCost;
}

} // namespace

bool Scheduler::isStaying(const ServerState &server) const
{
    return !server.info.draining && !server.leaving && evacuatedZones_.count(server.info.zone) == 0;
}

bool Scheduler::isInService(const ServerState &server) const
{
    return isStaying(server) && !server.addressReassigned && !server.blockedByVersion;
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
    cost += failureCostWeight(request) * server.health.failureProbability(now);
    const double slowness = std::clamp(server.health.slowness(), MinSlowness, MaxSlowness);
    cost += SlownessCostWeight * (slowness - 1);
    cost += ShedCostWeight * server.health.shedShare();
    cost += zoneCost(request, server.info.zone);
    const bool connected = server.connectedInSelection == lastSelection_;
    if (!connected) {
        cost += request.idempotent ? NewConnectionCost : NonIdempotentNewConnectionCost;
    }
    const Duration idleTime = now - server.lastGrantAt;
    if (request.idempotent) {
        const double idleSeconds = internal::toSeconds(idleTime);
        cost -= ExplorationBonusPerSecond * std::min(idleSeconds, MaxExplorationSeconds);
    }
    const Duration threshold = (request.idempotent ? IdleThreshold : NonIdempotentIdleThreshold)
        - (connected ? ConnectedIdleAdvance : Milliseconds(0));
    if (idleTime > threshold) {
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
        const double serverCost = selectionCost(now, *server, request) + jitter(random_)
            - internal::versionGateBonus(service, *server);
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
    grantedSlot.vmZone = request.zone;
    grantedSlot.route = request.route;
    grantedSlot.team = request.team;
    grantedSlot.fingerprint = request.fingerprint;
    grantedSlot.key = request.key;
    grantedSlot.grantedAt = now;
    grantedSlot.expiresAt = request.deadline + SlotExpiryGrace;
    grantedSlot.underLoad = server.inFlightCount() >= HighLoad * server.info.slots;
    grantedSlots_[slotId] = std::move(grantedSlot);
    slotIdsByKey_[request.key] = slotId;
    actions_.emplace_back(Grant { request.key, slotId, server.info.id, server.info.address,
                                  server.info.startTimeMs });
}

void Scheduler::updateZoneShares(Instant now, ServiceState &service)
{
    std::map<std::string, internal::ZoneRoom> rooms;
    for (const auto &[id, server] : service.servers) {
        if (isInService(*server) && server->isWarmAndTrusted(now)) {
            internal::ZoneRoom &room = rooms[server->info.zone];
            const double slots = server->info.slots;
            const double slowness = std::clamp(server->health.slowness(), MinSlowness, MaxSlowness);
            room.slowness = (room.slowness * room.slots + slowness * slots) / (room.slots + slots);
            room.slots += slots;
        }
    }
    service.zoneBalancer.update(now, rooms, internal::toDuration(service.microsecondsPerRequest));
}

void Scheduler::recordZoneLatency(ServiceState &service, const GrantedSlot &slot, Duration latency)
{
    const auto server = servers_.find(slot.serverId);
    if (server == servers_.end()) {
        return;
    }
    const double usual = typicalLatency(slot.route) * server->second->health.slowness();
    service.zoneBalancer.recordLatency(slot.vmZone, server->second->info.zone,
                                       latency - internal::toDuration(usual));
}

// Every view that is sent holds the shares, so they are listed once for each update.
void Scheduler::updateAllZoneShares(Instant now)
{
    bool updated = false;
    for (auto &[name, service] : services_) {
        if (service->zoneBalancer.isUpdateDue(now)) {
            updateZoneShares(now, *service);
            updated = true;
        }
    }
    if (!updated) {
        return;
    }
    zoneShares_.clear();
    for (const auto &[name, service] : services_) {
        for (const auto &[zones, share] : service->zoneBalancer.shares()) {
            zoneShares_.push_back({ name, zones.first, zones.second, share });
        }
    }
}

} // namespace daisyhaven::scheduler

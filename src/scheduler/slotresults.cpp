// Scheduler: results of requests, and what follows from them for servers and routes.
#include "scheduler/scheduler.h"

#include "scheduler/internal/crashrecords.h"
#include "scheduler/internal/state.h"
#include "scheduler/internal/teamrates.h"
#include "scheduler/internal/thresholds.h"

#include <algorithm>
#include <array>

namespace daisyhaven::scheduler {

using internal::ServerState;
using internal::ServiceState;

using internal::InitialProbeInterval;
using internal::MinSlowness;
using internal::SuspicionThreshold;
using internal::TrustThreshold;

namespace {

// If the trusted servers are fewer than this fraction of the floor, suspected servers are used as
// well.
constexpr double RelaxedFloorFraction = 0.7;
// While a service loses more than this share of its requests, at least the floor of its servers
// must receive requests in each window, even if their results were bad.
constexpr double LossThresholdForFloor = 0.05;
constexpr Milliseconds FloorWindow { 1600 };
constexpr Milliseconds ShedBackoff { 30 };

// A request becomes overdue at each of these multiples of the typical latency.
constexpr std::array<double, 3> OverdueMultiples { 2.5, 4, 7 };
constexpr double MinTypicalMicroseconds = 100'000;

constexpr double LatencyWeight = 0.05;
// Limits the effect of a single slow request on the typical latency to this ratio.
constexpr double MaxLatencyRatio = 4;
constexpr double InitialLatencyMicroseconds = 150'000;

bool isInconclusive(Outcome outcome)
{
    return outcome == Outcome::NotSent || outcome == Outcome::Cancelled
        || outcome == Outcome::VmDisconnected;
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
    reportVersionResult(service, grantedSlot, outcome, latency);
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
        recordZoneLatency(service, grantedSlot, latency);
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
    double typicalSlots = 0;
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
        const double bySpeed =
            server->info.slots / std::max(server->health.slowness(), MinSlowness);
        const double byLimit =
            server->requestLimit.grantedPerSecond() * service.microsecondsPerRequest / 1e6;
        typicalSlots += server->requestLimit.isActive() ? std::min(bySpeed, byLimit) : bySpeed;
    }
    service.serversInService = inService;
    const double floor = limits_.floorShare * inService;
    const bool belowFloor = reached < floor && service.lostShare(now) > LossThresholdForFloor;
    service.usesSuspectedServers = trusted < floor * RelaxedFloorFraction || belowFloor;
    service.usableSlots = slots;
    service.typicalSlots = typicalSlots;
}

} // namespace daisyhaven::scheduler

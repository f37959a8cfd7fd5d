// Scheduler: requests that wait for a slot, and rejections.
#include "scheduler/scheduler.h"

#include "scheduler/internal/state.h"
#include "scheduler/internal/teamrates.h"
#include "scheduler/internal/thresholds.h"

#include <algorithm>

namespace daisyhaven::scheduler {

using internal::ServerState;
using internal::ServiceState;

using internal::toDuration;

namespace {

// A request that has waited for this long accepts a server with a higher failure probability, and
// suspected servers are probed more often.
constexpr Milliseconds LongWaitThreshold { 60 };
// The service counts as full after this many waiting requests found no slot.
constexpr int MaxWaitingMisses = 4;
// Fraction of a service's capacity that is assumed to be left for every priority.
constexpr double MinCapacityFraction = 0.01;
// Minimum time that a request needs, as a multiple of the typical latency.
constexpr double ServiceTimeReserve = 1.2;
constexpr Milliseconds MinRetryAfter { 50 };
constexpr Milliseconds MaxRetryAfter { 3000 };
constexpr Seconds LeaderSettlingTime { 2 };

} // namespace

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
    if (request.isRetry) {
        service.retryBudget.addWaitingRetry();
    }
    service.waitingQueue.push({ std::move(request), now, targetStart, latestStart });
}

void Scheduler::grantWaitingRequests(Instant now, ServiceState &service)
{
    service.waitingQueue.grantInOrder(
        now, MaxWaitingMisses, [&](const internal::WaitingRequest &waiting) {
            const bool hasWaitedLong = now - waiting.enqueuedAt > LongWaitThreshold;
            const bool granted = tryGrant(now, service, waiting.request, hasWaitedLong);
            if (granted && waiting.request.isRetry) {
                service.retryBudget.removeWaitingRetry();
            }
            return granted;
        });
}

void Scheduler::rejectExpiredRequests(Instant now, ServiceState &service)
{
    for (const SlotRequest &request : service.waitingQueue.takeExpired(now)) {
        if (request.isRetry) {
            service.retryBudget.removeWaitingRetry();
        }
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
            if (request->isRetry) {
                service->retryBudget.removeWaitingRetry();
            }
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

} // namespace daisyhaven::scheduler

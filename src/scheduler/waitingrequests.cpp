// Scheduler: requests that wait for a slot, and rejections.
#include "scheduler/scheduler.h"

#include "scheduler/internal/state.h"
#include "scheduler/internal/teamrates.h"
#include "scheduler/internal/thresholds.h"

#include <algorithm>

namespace daisyhaven::scheduler {

using internal::ExpectedWait;
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

// Gives back the part of the retry budget that a waiting retry held.
void recordLeftQueue(ServiceState &service, const SlotRequest &request)
{
    if (request.isRetry) {
        service.retryBudget.removeWaitingRetry();
    }
}

// Without usable slots, nothing is known of how long a request waits.
bool hasUsableSlots(const ServiceState &service)
{
    return service.usableSlots > 0 && service.typicalSlots > 0;
}

} // namespace

Instant Scheduler::latestStartTime(const SlotRequest &request) const
{
    const Duration serviceTime = toDuration(typicalLatency(request.route) * ServiceTimeReserve);
    return std::min(request.deadline - serviceTime, request.latestStart);
}

// Number of slots of typical speed that requests more urgent than `priority` leave.
double Scheduler::slotsLeftFor(Instant now, const ServiceState &service,
                               std::uint32_t priority) const
{
    const double slots = service.typicalSlots;
    return std::max(slots - service.requestRates.higherPrioritySlots(now, priority),
                    slots * MinCapacityFraction);
}

// Predicts when a slot is granted to a request that `slotTimeAhead` is granted before, its own
// included, since all slots are in use when it arrives.
ExpectedWait Scheduler::expectedWait(Instant now, const ServiceState &service,
                                     std::uint32_t priority, Duration slotTimeAhead) const
{
    if (!hasUsableSlots(service)) {
        return { MaxRetryAfter, MaxRetryAfter };
    }
    const auto microseconds = static_cast<double>(slotTimeAhead.count());
    // A request whose target is out of reach comes after all that arrive with its priority.
    return { toDuration(microseconds / slotsLeftFor(now, service, priority)),
             toDuration(microseconds / slotsLeftFor(now, service, priority + 1)) };
}

ExpectedWait Scheduler::expectedWaitOfNew(Instant now, const ServiceState &service,
                                          const SlotRequest &request) const
{
    const internal::WaitingQueue &queue = service.waitingQueue;
    const Duration slotTime = toDuration(typicalLatency(request.route));
    const Duration ahead = queue.slotTimeAhead(request.priority, request.team) + slotTime;
    const ExpectedWait byQueue = expectedWait(now, service, request.priority, ahead);
    const internal::TeamShare share = queue.shareOf(now, request.priority, request.team);
    if (share.observedSlots == 0 || !hasUsableSlots(service)) {
        return byQueue;
    }
    // Other teams that are within their shares go on to send, so a team with a backlog goes on to
    // get the slots that it got.
    const double fairSlots = share.fairFraction * slotsLeftFor(now, service, request.priority);
    const double slots = std::max(fairSlots, share.observedSlots);
    const Duration byShare =
        toDuration(static_cast<double>((share.backlog + slotTime).count()) / slots);
    return { std::max(byQueue.beforeTarget, byShare), std::max(byQueue.afterTarget, byShare) };
}

internal::WaitingRequest Scheduler::makeWaiting(Instant now, SlotRequest request) const
{
    internal::WaitingRequest waiting;
    waiting.enqueuedAt = now;
    waiting.slotTime = toDuration(typicalLatency(request.route));
    waiting.latestStartTime = latestStartTime(request);
    // A target that is out of reach on arrival leaves the deadline as the only limit.
    const Instant targetStart = request.targetTime - waiting.slotTime;
    waiting.targetStartTime = targetStart < now ? waiting.latestStartTime
                                                : std::min(targetStart, waiting.latestStartTime);
    waiting.teamWeight = rateLimiter_->weight(request.team);
    waiting.request = std::move(request);
    return waiting;
}

void Scheduler::enqueueOrReject(Instant now, ServiceState &service, SlotRequest request)
{
    const ExpectedWait wait = expectedWaitOfNew(now, service, request);
    const std::uint32_t priority = request.priority;
    internal::WaitingRequest waiting = makeWaiting(now, std::move(request));
    // Servers announce themselves again to a new leader, which takes a moment.
    const bool leaderSettling = now - startedAt_ < LeaderSettlingTime;
    const bool inTime =
        wait.allowsStart(now, waiting) || (leaderSettling && service.usableSlots == 0);
    const bool noServer = service.serversInService == 0 && !leaderSettling;
    if (noServer || !inTime) {
        const ResultCode code =
            service.serversInService == 0 ? ResultCode::NoBackendServer : ResultCode::QueueFull;
        reject(now, waiting.request, code, wait.beforeTarget,
               "servers=" + std::to_string(service.serversInService)
                   + " usableSlots=" + std::to_string(service.usableSlots)
                   + " waiting=" + std::to_string(service.waitingQueue.size())
                   + " expectedWaitMs=" + std::to_string(wait.beforeTarget.count() / 1000));
        return;
    }
    if (waiting.request.isRetry) {
        service.retryBudget.addWaitingRetry();
    }
    service.waitingQueue.push(std::move(waiting));
    rejectLastInOrder(now, service, priority);
}

// A request of `priority` was added. If the one that is served last no longer starts in time, or if
// too many wait, it is rejected now rather than at its deadline.
void Scheduler::rejectLastInOrder(Instant now, ServiceState &service, std::uint32_t priority)
{
    internal::WaitingQueue &queue = service.waitingQueue;
    const internal::WaitingRequest &last = *queue.lastInOrder();
    const ExpectedWait wait =
        expectedWait(now, service, priority, queue.slotTimeUpTo(last.request.priority));
    const bool inTime = !hasUsableSlots(service) || wait.allowsStart(now, last);
    if (inTime && queue.size() <= limits_.maxWaitingRequests) {
        return;
    }
    ++displacedRequestCount_;
    const std::string reason = "displaced: teamWaiting=" + std::to_string(queue.heaviestTeamSize())
        + " waiting=" + std::to_string(queue.size())
        + " expectedWaitMs=" + std::to_string(wait.beforeTarget.count() / 1000);
    const auto request = queue.remove(last.request.key);
    recordLeftQueue(service, *request);
    reject(now, *request, ResultCode::QueueFull, wait.beforeTarget, reason);
}

void Scheduler::grantWaitingRequests(Instant now, ServiceState &service)
{
    service.waitingQueue.grantInOrder(
        now, MaxWaitingMisses, [&](const internal::WaitingRequest &waiting) {
            const bool hasWaitedLong = now - waiting.enqueuedAt > LongWaitThreshold;
            const bool granted = tryGrant(now, service, waiting.request, hasWaitedLong);
            if (granted) {
                recordLeftQueue(service, waiting.request);
            }
            return granted;
        });
}

void Scheduler::rejectExpiredRequests(Instant now, ServiceState &service)
{
    for (const SlotRequest &request : service.waitingQueue.takeExpired(now)) {
        recordLeftQueue(service, request);
        reject(now, request, ResultCode::DeadlineUnreachable,
               expectedWaitOfNew(now, service, request).beforeTarget,
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
            recordLeftQueue(*service, *request);
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

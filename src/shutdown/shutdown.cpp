#include "shutdown/shutdown.h"

#include <algorithm>
#include <utility>

namespace daisyhaven {

namespace {

// Fraction of the grace period in which requests may still be sent to backend servers. The rest of
// it belongs to the work of the servers.
constexpr int SendDivisor = 2;
// The signal reaches the process this much later than it was sent, at most.
constexpr Milliseconds SignalDelay { 200 };
// Time for the delivery of the last responses, and between the end of the process and the kill.
constexpr Milliseconds DeliveryReserve { 700 };
constexpr Milliseconds ExitReserve { 200 };
// Bounds of these times in a short grace period, as divisors of it.
constexpr int SignalDelayDivisor = 10;
constexpr int DeliveryReserveDivisor = 6;
constexpr int ExitReserveDivisor = 20;

} // namespace

ShutdownSchedule makeShutdownSchedule(Instant signalledAt, Duration gracePeriod, Duration acceptFor)
{
    const Duration signalDelay = std::min<Duration>(SignalDelay, gracePeriod / SignalDelayDivisor);
    const Duration deliveryReserve =
        std::min<Duration>(DeliveryReserve, gracePeriod / DeliveryReserveDivisor);
    const Duration exitReserve = std::min<Duration>(ExitReserve, gracePeriod / ExitReserveDivisor);
    ShutdownSchedule schedule;
    schedule.signalledAt = signalledAt;
    schedule.sendUntil = signalledAt + gracePeriod / SendDivisor - signalDelay;
    schedule.acceptUntil = std::min(signalledAt + acceptFor, schedule.sendUntil);
    schedule.respondUntil = signalledAt + gracePeriod - deliveryReserve;
    schedule.exitAt = signalledAt + gracePeriod - exitReserve;
    return schedule;
}

PlannedStop::PlannedStop(TimerService &timers, const ShutdownSchedule &schedule, Steps steps)
    : schedule_(schedule)
{
    const auto runAt = [&](Instant time, std::function<void()> step) {
        return timers.runAfter(time - schedule_.signalledAt, std::move(step));
    };
    stopAcceptingTimer_ = runAt(schedule_.acceptUntil, std::move(steps.stopAccepting));
    endWaitingTimer_ = runAt(schedule_.sendUntil, std::move(steps.endWaiting));
    endAllTimer_ = runAt(schedule_.respondUntil, std::move(steps.endAll));
    exitTimer_ = runAt(schedule_.exitAt, std::move(steps.exit));
}

} // namespace daisyhaven

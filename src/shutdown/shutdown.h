// The schedule of a planned stop: until when a process that was told to stop still accepts
// connections, sends requests to backend servers, waits for their responses and delivers them.
//
// The schedule is made once, when the signal comes, from the time that is left until the process is
// killed. Every request that the process holds takes the earlier one of its own deadline and that
// of the schedule, so that it has one known end before the process goes:
// - A request that no server works on at `sendUntil` ends then. If it cannot have run, it is
//   refused, so that its caller can send it to another VM at once.
// - A request that a server works on has until `respondUntil`. Then its caller is told that it may
//   have run.
// - Responses are delivered until `exitAt`.
//
// Example:
//     stop_.emplace(timers, makeShutdownSchedule(timers.now(), gracePeriod, acceptFor),
//                   PlannedStop::Steps { ... });
//
// Thread safety: not thread-safe; use only on the thread of the event loop.
#pragma once

#include "timer/timer.h"

#include <functional>
#include <tuple>

namespace daisyhaven {

struct ShutdownSchedule
{
    Instant signalledAt;
    // New connections are accepted until then: the load balancer needs a while to remove the VM.
    // Connections without a request are closed afterwards.
    Instant acceptUntil;
    // Requests may be sent to backend servers until then.
    Instant sendUntil;
    // Responses of backend servers are awaited until then.
    Instant respondUntil;
    // The process ends, shortly before it would be killed.
    Instant exitAt;

    auto tied() const
    {
        return std::tie(signalledAt, acceptUntil, sendUntil, respondUntil, exitAt);
    }
    friend bool operator==(const ShutdownSchedule &a, const ShutdownSchedule &b)
    {
        return a.tied() == b.tied();
    }
};

// Makes the schedule of a process that gets a signal at `signalledAt` and is killed `gracePeriod`
// later. `acceptFor`: time that the load balancer needs to remove the VM. The times are in the
// order of the fields for any positive grace period.
ShutdownSchedule makeShutdownSchedule(Instant signalledAt, Duration gracePeriod,
                                      Duration acceptFor);

// Runs the steps of a schedule, each at its time and once. Destroying it cancels the others.
class PlannedStop
{
public:
    struct Steps
    {
        // At acceptUntil.
        std::function<void()> stopAccepting;
        // At sendUntil: ends the requests that no server works on.
        std::function<void()> endWaiting;
        // At respondUntil: ends all other requests.
        std::function<void()> endAll;
        // At exitAt.
        std::function<void()> exit;
    };

    PlannedStop(TimerService &timers, const ShutdownSchedule &schedule, Steps steps);

    const ShutdownSchedule &schedule() const { return schedule_; }

private:
    ShutdownSchedule schedule_;
    TimerHandle stopAcceptingTimer_;
    TimerHandle endWaitingTimer_;
    TimerHandle endAllTimer_;
    TimerHandle exitTimer_;
};

} // namespace daisyhaven

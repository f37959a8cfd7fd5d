// Time types and the timer service that tasks subscribe to.
//
// Decision code takes an Instant as a parameter and never reads a clock. Tasks run on one event
// loop and subscribe to its TimerService.
//
// Example:
//     TimerService timers(eventBase);
//     Subscription pulse = timers.every(Milliseconds(500), [&] { sendPulse(); });
//
// Thread safety: a TimerService and its subscriptions belong to the thread of the event loop.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

struct event_base;

namespace daisyhaven {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;
// Monotonic time of this process; comparable only within it.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Returns the current monotonic time. It counts while the VM is suspended, so that leases and
// deadlines run out meanwhile.
Instant monotonicNow();

// Returns wall-clock microseconds since the Unix epoch, for traces and logs.
std::int64_t wallClockMicroseconds();

// Owns one timer; destroying it cancels the timer.
class Subscription
{
public:
    class State;

    Subscription();
    explicit Subscription(std::unique_ptr<State> state);
    Subscription(Subscription &&other) noexcept;
    Subscription &operator=(Subscription &&other) noexcept;
    ~Subscription();

    // True while the timer can still fire.
    bool active() const;

private:
    std::unique_ptr<State> state_;
};

class TimerService
{
public:
    using Callback = std::function<void()>;

    explicit TimerService(event_base *base);

    Instant now() const;

    // Calls `callback` each `period` until the subscription is destroyed.
    [[nodiscard]] Subscription every(Duration period, Callback callback);

    // Calls `callback` once after `delay`. The callback may destroy the subscription.
    [[nodiscard]] Subscription after(Duration delay, Callback callback);

    // Calls `callback` once from the event loop; it cannot be cancelled.
    void post(Callback callback);

private:
    event_base *base_;
};

} // namespace daisyhaven

// Time types and the timer service of an event loop.
//
// State machines take the current Instant as a parameter and never read a clock. Tasks run on one
// event loop and schedule callbacks with its TimerService.
//
// Example:
//     TimerService timers(eventBase);
//     TimerHandle heartbeat = timers.runEvery(Milliseconds(500), [&] { sendHeartbeat(); });
//
// Thread safety: a TimerService and its handles may be used only on the thread of the event loop.
// The free functions are thread-safe.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>

struct event_base;

namespace daisyhaven {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;
// Monotonic time; comparable only with values from the same process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Returns the current monotonic time. It advances while the VM is suspended, so that leases and
// deadlines expire during a suspension.
Instant monotonicNow();

// Returns wall-clock microseconds since the Unix epoch, for traces and logs.
std::int64_t wallClockMicroseconds();

// Owns one timer; the destructor cancels the timer.
class TimerHandle
{
public:
    class State;

    TimerHandle();
    explicit TimerHandle(std::unique_ptr<State> state);
    TimerHandle(TimerHandle &&other) noexcept;
    TimerHandle &operator=(TimerHandle &&other) noexcept;
    ~TimerHandle();

    // Returns true while the timer can still fire.
    bool isActive() const;

private:
    std::unique_ptr<State> state_;
};

class TimerService
{
public:
    using Callback = std::function<void()>;

    explicit TimerService(event_base *base);

    Instant now() const;

    // Calls `callback` every `period` until the handle is destroyed.
    [[nodiscard]] TimerHandle runEvery(Duration period, Callback callback);

    // Calls `callback` once after `delay`. The callback may destroy the handle.
    [[nodiscard]] TimerHandle runAfter(Duration delay, Callback callback);

    // Calls `callback` once from the event loop. The call cannot be cancelled.
    void post(Callback callback);

private:
    event_base *base_;
};

// Measures for how long an event loop was able to receive messages. While one callback takes long,
// or the VM is suspended, nothing is received, so that time says nothing about how long another
// process has been silent.
class ListeningClock
{
public:
    // Called after each turn of the event loop that took longer than the others by `delay`.
    using DelayCallback = std::function<void(Duration delay)>;

    explicit ListeningClock(TimerService &timers, DelayCallback delayed = nullptr);
    ListeningClock(const ListeningClock &) = delete;
    ListeningClock &operator=(const ListeningClock &) = delete;

    // Returns the time since `start` without the long turns in it.
    Duration listenedSince(Instant start) const;

private:
    // A turn of the event loop that was too long to receive messages in time.
    struct LongTurn
    {
        Instant endedAt;
        Duration length;
    };

    void advance();

    TimerService &timers_;
    DelayCallback delayed_;
    Instant advancedAt_;
    std::deque<LongTurn> longTurns_;
    TimerHandle tick_;
};

} // namespace daisyhaven

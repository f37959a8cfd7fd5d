#include "timer/timer.h"

#include <event2/event.h>

#include <algorithm>
#include <ctime>

namespace daisyhaven {

namespace {

constexpr Milliseconds ListeningPeriod { 50 };
constexpr Milliseconds MinLongTurn { 150 };
// Longer than the timeouts that are measured with a ListeningClock.
constexpr Seconds LongTurnRetention { 30 };

timeval toTimeval(Duration duration)
{
    const auto count = duration.count() < 0 ? 0 : duration.count();
    constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
    return { count / MicrosecondsPerSecond, count % MicrosecondsPerSecond };
}

} // namespace

class TimerHandle::State
{
public:
    State(event_base *base, bool periodic, Duration delay, TimerService::Callback callback)
        : callback_(std::move(callback)), periodic_(periodic)
    {
        const short flags = periodic ? EV_PERSIST : 0;
        event_ = event_new(base, -1, flags, &State::fire, this);
        const timeval interval = toTimeval(delay);
        event_add(event_, &interval);
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State() { event_free(event_); }

    bool pending() const { return event_pending(event_, EV_TIMEOUT, nullptr) != 0; }

private:
    static void fire(evutil_socket_t /*socket*/, short /*events*/, void *context)
    {
        auto *self = static_cast<State *>(context);
        if (self->periodic_) {
            const auto callback = self->callback_;
            callback();
            return;
        }
        const auto callback = std::move(self->callback_);
        callback();
    }

    event *event_ = nullptr;
    TimerService::Callback callback_;
    bool periodic_;
};

Instant monotonicNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot = Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Instant(std::chrono::duration_cast<Duration>(sinceBoot));
}

std::int64_t wallClockMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(now).count();
}

TimerHandle::TimerHandle() = default;
TimerHandle::TimerHandle(std::unique_ptr<State> state) : state_(std::move(state)) { }
TimerHandle::TimerHandle(TimerHandle &&other) noexcept = default;
TimerHandle &TimerHandle::operator=(TimerHandle &&other) noexcept = default;
TimerHandle::~TimerHandle() = default;

bool TimerHandle::isActive() const
{
    return state_ && state_->pending();
}

TimerService::TimerService(event_base *base) : base_(base) { }

Instant TimerService::now() const
{
    return monotonicNow();
}

TimerHandle TimerService::runEvery(Duration period, Callback callback)
{
    return TimerHandle(
        std::make_unique<TimerHandle::State>(base_, true, period, std::move(callback)));
}

TimerHandle TimerService::runAfter(Duration delay, Callback callback)
{
    return TimerHandle(
        std::make_unique<TimerHandle::State>(base_, false, delay, std::move(callback)));
}

void TimerService::post(Callback callback)
{
    auto *heapCallback = new Callback(std::move(callback));
    const timeval immediately { 0, 0 };
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *context) {
            const std::unique_ptr<Callback> call(static_cast<Callback *>(context));
            (*call)();
        },
        heapCallback, &immediately);
}

ListeningClock::ListeningClock(TimerService &timers, DelayCallback delayed)
    : timers_(timers), delayed_(std::move(delayed)), advancedAt_(timers.now()),
      tick_(timers.runEvery(ListeningPeriod, [this] { advance(); }))
{
}

void ListeningClock::advance()
{
    const Instant now = timers_.now();
    const Duration delay = now - advancedAt_ - ListeningPeriod;
    advancedAt_ = now;
    while (!longTurns_.empty() && now - longTurns_.front().endedAt > LongTurnRetention) {
        longTurns_.pop_front();
    }
    if (delay <= MinLongTurn) {
        return;
    }
    longTurns_.push_back({ now, delay });
    if (delayed_) {
        delayed_(delay);
    }
}

Duration ListeningClock::listenedSince(Instant start) const
{
    const Instant now = timers_.now();
    Duration listened = now - start;
    for (const LongTurn &turn : longTurns_) {
        listened -= std::clamp<Duration>(turn.endedAt - start, Duration(0), turn.length);
    }
    // Other timers may run before this clock's own after a long turn.
    const Duration currentDelay = now - std::max(advancedAt_, start) - ListeningPeriod;
    if (currentDelay > MinLongTurn) {
        listened -= currentDelay;
    }
    return std::max(listened, Duration(0));
}

} // namespace daisyhaven

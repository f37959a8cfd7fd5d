// An event loop that a test runs until a condition holds.
#pragma once

#include "timer/timer.h"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace daisyhaven::testing {

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};
using EventBase = std::unique_ptr<event_base, EventBaseDeleter>;

// Runs the loop until `done` returns true or `limit` has passed. Returns done().
inline bool runUntil(event_base *base, TimerService &timers, const std::function<bool()> &done,
                     Duration limit)
{
    const Instant end = timers.now() + limit;
    while (!done() && timers.now() < end) {
        const TimerHandle pause = timers.runAfter(Milliseconds(5), [] {});
        event_base_loop(base, EVLOOP_ONCE);
    }
    return done();
}

} // namespace daisyhaven::testing

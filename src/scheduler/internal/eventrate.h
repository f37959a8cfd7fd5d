// Rate of events, as an exponentially decaying average over the last seconds.
#pragma once

#include "scheduler/internal/thresholds.h"
#include "timer/timer.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler::internal {

class EventRate
{
public:
    // Records `amount` events, or an amount of another unit.
    void record(Instant now, double amount = 1)
    {
        count_ = decayedCount(now) + amount;
        updatedAt_ = now;
    }

    double perSecond(Instant now) const { return decayedCount(now) / DecaySeconds; }

    // The rate if nothing was recorded before `since`.
    double perSecondSince(Instant now, Instant since) const
    {
        const double seconds = toSeconds(now - since);
        return seconds <= 0 ? 0 : perSecond(now) / (1 - std::exp(-seconds / DecaySeconds));
    }

private:
    static constexpr double DecaySeconds = 2.5;

    double decayedCount(Instant now) const
    {
        const double passed = toSeconds(now - updatedAt_);
        return count_ * std::exp(-std::max(passed, 0.0) / DecaySeconds);
    }

    double count_ = 0;
    Instant updatedAt_;
};

} // namespace daisyhaven::scheduler::internal

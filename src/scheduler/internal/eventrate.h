// Rate of events, as an exponentially decaying average over the last seconds.
#pragma once

#include "timer/timer.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler::internal {

class EventRate
{
public:
    void record(Instant now)
    {
        count_ = decayedCount(now) + 1;
        updatedAt_ = now;
    }

    double perSecond(Instant now) const { return decayedCount(now) / DecaySeconds; }

private:
    static constexpr double DecaySeconds = 2.5;

    double decayedCount(Instant now) const
    {
        const double passed = std::chrono::duration<double>(now - updatedAt_).count();
        return count_ * std::exp(-std::max(passed, 0.0) / DecaySeconds);
    }

    double count_ = 0;
    Instant updatedAt_;
};

} // namespace daisyhaven::scheduler::internal

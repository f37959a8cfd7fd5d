// A token bucket that refills over time.
#pragma once

#include "timer/timer.h"

#include <algorithm>

namespace daisyhaven::scheduler::internal {

class TokenBucket
{
public:
    TokenBucket() = default;
    // `level` is the number of tokens at `now`.
    TokenBucket(double perSecond, double capacity, double level, Instant now)
        : perSecond_(perSecond), capacity_(capacity), level_(std::min(level, capacity)),
          refilledAt_(now)
    {
    }

    // Changes rate and capacity and keeps the remaining tokens, up to the new capacity.
    void reconfigure(double perSecond, double capacity, Instant now)
    {
        refill(now);
        perSecond_ = perSecond;
        capacity_ = capacity;
        level_ = std::min(level_, capacity);
    }

    bool refillAndCheck(double tokens, Instant now)
    {
        refill(now);
        return level_ >= tokens;
    }

    // Takes `tokens` if that many are available.
    bool tryTake(double tokens, Instant now)
    {
        if (!refillAndCheck(tokens, now)) {
            return false;
        }
        level_ -= tokens;
        return true;
    }

    // Takes `tokens` that were spent elsewhere even if they are not available. The level may become
    // negative.
    void takeWithDebt(double tokens, Instant now)
    {
        refill(now);
        level_ -= tokens;
    }

    void returnTokens(double tokens, Instant now)
    {
        refill(now);
        level_ = std::min(level_ + tokens, capacity_);
    }

    // Time until `tokens` are available if none are taken in the meantime.
    Duration timeUntilAvailable(double tokens, Instant now)
    {
        refill(now);
        if (level_ >= tokens) {
            return Duration(0);
        }
        if (perSecond_ <= 0) {
            return Seconds(60);
        }
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((tokens - level_) / perSecond_));
    }

private:
    void refill(Instant now)
    {
        if (now <= refilledAt_) {
            return;
        }
        const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
        level_ = std::min(capacity_, level_ + seconds * perSecond_);
        refilledAt_ = now;
    }

    double perSecond_ = 0;
    double capacity_ = 0;
    double level_ = 0;
    Instant refilledAt_;
};

} // namespace daisyhaven::scheduler::internal

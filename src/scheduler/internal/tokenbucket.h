// A token bucket that refills with time.
#pragma once

#include "timer/timer.h"

#include <algorithm>

namespace daisyhaven::scheduler::internal {

class TokenBucket
{
public:
    TokenBucket() = default;
    // `level`: tokens at `now`.
    TokenBucket(double perSecond, double capacity, double level, Instant now)
        : perSecond_(perSecond), capacity_(capacity), level_(std::min(level, capacity)),
          refilledAt_(now)
    {
    }

    // Changes rate and capacity; keeps what is left.
    void reshape(double perSecond, double capacity, Instant now)
    {
        refill(now);
        perSecond_ = perSecond;
        capacity_ = capacity;
        level_ = std::min(level_, capacity);
    }

    bool has(double tokens, Instant now)
    {
        refill(now);
        return level_ >= tokens;
    }

    // Takes `tokens` if they are there.
    bool take(double tokens, Instant now)
    {
        if (!has(tokens, now)) {
            return false;
        }
        level_ -= tokens;
        return true;
    }

    // Takes `tokens` that were spent elsewhere, though they may not be there: the bucket then owes
    // them.
    void owe(double tokens, Instant now)
    {
        refill(now);
        level_ -= tokens;
    }

    void giveBack(double tokens, Instant now)
    {
        refill(now);
        level_ = std::min(level_ + tokens, capacity_);
    }

    // Time until `tokens` are there, if nobody takes any.
    Duration waitFor(double tokens, Instant now)
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

// The requests per second that one backend server accepts from all VMs together, as it states in
// its responses.
#pragma once

#include "scheduler/internal/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler::internal {

class RequestLimit
{
public:
    // A response of the server named `requestsPerSecond`; 0: it named no limit. The limit is lifted
    // once several responses in a row have not named it.
    void record(Instant now, double requestsPerSecond)
    {
        if (requestsPerSecond > 0) {
            responsesWithoutLimit_ = 0;
            namedAt_ = now;
            set(now, requestsPerSecond);
            return;
        }
        ++responsesWithoutLimit_;
        if (responsesWithoutLimit_ >= ResponsesToLift && now - namedAt_ > LiftDelay) {
            perSecond_ = 0;
        }
    }

    // Sets the share of the limit that is left to VMs which send requests without this scheduler.
    void setReservedShare(Instant now, double share)
    {
        reservedShare_ = share;
        if (isActive()) {
            set(now, perSecond_);
        }
    }

    bool isActive() const { return perSecond_ > 0; }
    // Requests per second for all VMs; 0 if the server names no limit.
    double perSecond() const { return perSecond_; }
    // Requests per second that this scheduler may grant.
    double grantedPerSecond() const { return perSecond_ * (1 - reservedShare_); }

    bool allowsRequest(Instant now) { return !isActive() || tokens_.refillAndCheck(1, now); }
    void takeRequest(Instant now)
    {
        if (isActive()) {
            tokens_.takeWithDebt(1, now);
        }
    }
    void returnRequest(Instant now)
    {
        if (isActive()) {
            tokens_.returnTokens(1, now);
        }
    }

    // Returns whether the limit differs from the one that was reported last, and reports it. Limits
    // that differ by less than a twentieth count as equal.
    bool takeChange()
    {
        const bool changed = isActive() != (reportedPerSecond_ > 0)
            || std::abs(perSecond_ - reportedPerSecond_) > reportedPerSecond_ * MinRelativeChange;
        reportedPerSecond_ = changed ? perSecond_ : reportedPerSecond_;
        return changed;
    }

private:
    // Responses without the limit may have been sent before the first one with it, or be damaged.
    static constexpr Milliseconds LiftDelay { 300 };
    static constexpr int ResponsesToLift = 2;
    static constexpr double MinBurst = 2; // requests
    static constexpr double BurstSeconds = 0.1;
    static constexpr double MinRelativeChange = 0.05;

    void set(Instant now, double requestsPerSecond)
    {
        const bool isFirst = !isActive();
        perSecond_ = requestsPerSecond;
        const double burst = std::max(MinBurst, grantedPerSecond() * BurstSeconds);
        if (isFirst) {
            // Requests that were sent before the limit was known count too.
            tokens_ = TokenBucket(grantedPerSecond(), burst, 0, now);
        } else {
            tokens_.reconfigure(grantedPerSecond(), burst, now);
        }
    }

    double perSecond_ = 0;
    double reportedPerSecond_ = 0;
    double reservedShare_ = 0;
    int responsesWithoutLimit_ = 0;
    Instant namedAt_;
    TokenBucket tokens_;
};

} // namespace daisyhaven::scheduler::internal

#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::quota {

namespace {

constexpr double MaxLifetimeSeconds = 0.25;
// The queued requests of a VM that has sent no token request for this long no longer count.
constexpr Milliseconds QueuedRequestsTimeout { 500 };
// Bounds of the delay after which a VM with queued requests sends the next token request.
constexpr Milliseconds MinRetryDelay { 5 };
constexpr Milliseconds MaxRetryDelay { 100 };

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

Duration tokenLifetime(const TeamRateLimit &team)
{
    if (team.rate <= 0) {
        return Duration(0);
    }
    const double seconds = std::min(MaxLifetimeSeconds, (team.burst - 1) / (2 * team.rate));
    return durationOf(std::max(seconds, 0.0));
}

QuotaOwner::QuotaOwner(Instant startedAt) : startedAt_(startedAt) { }

void QuotaOwner::setTeam(Instant now, const TeamRateLimit &team)
{
    const auto found = buckets_.find(team.name);
    if (found != buckets_.end() && found->second.team == team) {
        return;
    }
    const bool isNew = found == buckets_.end();
    Bucket &bucket = buckets_[team.name];
    // Refill starts once the tokens that a previous owner granted, or that were granted under the
    // old rate limit, have expired.
    const Duration oldLifetime = isNew ? tokenLifetime(team) : tokenLifetime(bucket.team);
    bucket = Bucket {};
    bucket.team = team;
    bucket.refilledAt = (isNew ? startedAt_ : now) + oldLifetime;
}

void QuotaOwner::refillUntil(Bucket &bucket, Instant until)
{
    if (until <= bucket.refilledAt) {
        return;
    }
    const double refilled = bucket.team.rate * secondsOf(until - bucket.refilledAt);
    const double capacity = std::max(0.0, bucket.team.burst - bucket.outstandingTokens);
    bucket.availableTokens =
        std::min(bucket.availableTokens + refilled, std::max(capacity, bucket.availableTokens));
    bucket.refilledAt = until;
}

// Refills up to `now` in steps, because the outstanding tokens of a grant make room for refill only
// from the time at which the grant expires.
void QuotaOwner::refill(Bucket &bucket, Instant now)
{
    while (!bucket.grants.empty() && bucket.grants.front().expiresAt <= now) {
        refillUntil(bucket, bucket.grants.front().expiresAt);
        bucket.outstandingTokens -= bucket.grants.front().count;
        bucket.grants.pop_front();
    }
    refillUntil(bucket, now);
}

void QuotaOwner::returnTokens(Bucket &bucket, const std::vector<TokenReturn> &returned)
{
    for (const TokenReturn &tokens : returned) {
        for (OutstandingGrant &grant : bucket.grants) {
            if (grant.grantId != tokens.grantId) {
                continue;
            }
            const std::uint32_t count = std::min(grant.count, tokens.count);
            grant.count -= count;
            bucket.outstandingTokens -= count;
            bucket.availableTokens += count;
        }
    }
}

// Returns the number of requests of the team that wait for tokens, across all VMs that have sent a
// token request within QueuedRequestsTimeout.
double QuotaOwner::queuedRequestsOf(const Bucket &bucket, Instant now)
{
    double queued = 0;
    for (const auto &[vm, requester] : bucket.requestingVms) {
        const bool outdated = now - requester.requestedAt > QueuedRequestsTimeout;
        queued += outdated ? 0 : requester.queuedRequests;
    }
    return queued;
}

TokenResponse QuotaOwner::grantTokens(Instant now, const TokenRequest &request)
{
    TokenResponse response;
    const auto found = buckets_.find(request.team);
    if (found == buckets_.end()) {
        response.rejectedRequests = request.queuedRequests;
        return response;
    }
    Bucket &bucket = found->second;
    response.lifetime = tokenLifetime(bucket.team);
    RequestingVm &requester = bucket.requestingVms[request.vm];
    const bool duplicate =
        requester.incarnation == request.vmIncarnation && requester.sequence >= request.sequence;
    if (duplicate || requester.incarnation > request.vmIncarnation) {
        return response;
    }
    refill(bucket, now);
    returnTokens(bucket, request.returnedTokens);
    const std::uint32_t wanted = std::min(request.requestedTokens, MaxTokensPerRequest);
    const auto available = static_cast<std::uint32_t>(std::max(bucket.availableTokens + 1e-9, 0.0));
    response.grantedTokens = std::min(wanted, available);
    const std::uint32_t unserved = request.queuedRequests > response.grantedTokens
        ? request.queuedRequests - response.grantedTokens
        : 0;
    requester = { request.vmIncarnation, request.sequence, unserved, now };
    if (response.grantedTokens > 0) {
        response.grantId = ++lastGrantId_;
        bucket.availableTokens -= response.grantedTokens;
        bucket.outstandingTokens += response.grantedTokens;
        bucket.grants.push_back(
            { response.grantId, response.grantedTokens, now + response.lifetime });
    }
    if (unserved == 0) {
        return response;
    }
    const double queued = std::max(queuedRequestsOf(bucket, now), 1.0);
    const double grantableInTime = bucket.team.rate * secondsOf(request.maxWait);
    const double ownShare = std::ceil(grantableInTime * unserved / queued);
    response.rejectedRequests =
        unserved > ownShare ? unserved - static_cast<std::uint32_t>(ownShare) : 0;
    const double secondsPerToken = 1 / bucket.team.rate;
    const Duration retryDelay =
        durationOf(response.rejectedRequests > 0 ? queued * secondsPerToken : secondsPerToken);
    response.retryAfter = std::max<Duration>(retryDelay, MinRetryDelay);
    if (response.rejectedRequests == 0) {
        response.retryAfter = std::min<Duration>(response.retryAfter, MaxRetryDelay);
    }
    return response;
}

} // namespace daisyhaven::quota

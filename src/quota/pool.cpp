#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::quota {

namespace {

constexpr double DemandHalfLifeSeconds = 0.5;
// The lifetime of a token is reduced by this fraction, so that a slow clock does not extend it
// beyond the lifetime that the owner counts.
constexpr double ClockDriftAllowance = 0.02;
// Tokens with less than this fraction of their lifetime remaining are returned if they are not
// needed.
constexpr double ReturnFraction = 0.4;
constexpr Milliseconds OwnerUnavailableRetryDelay { 30 };
constexpr Milliseconds MinRequestInterval { 10 };

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

TokenPool::TokenPool(PrefetchPolicy policy) : policy_(policy) { }

void TokenPool::recordDemand(Instant now)
{
    const double elapsed = secondsBetween(lastDemand_, now);
    const double kept = std::exp2(-elapsed / DemandHalfLifeSeconds);
    const double weight = std::log(2.0) / DemandHalfLifeSeconds;
    demand_ = demand_ * kept + weight;
    lastDemand_ = now;
}

double TokenPool::demandPerSecond(Instant now) const
{
    return demand_ * std::exp2(-secondsBetween(lastDemand_, now) / DemandHalfLifeSeconds);
}

void TokenPool::addWaiter(Instant now, const TokenWaiter &waiter)
{
    recordDemand(now);
    waiters_.push_back(waiter);
}

void TokenPool::removeWaiter(std::uint64_t requestId)
{
    const auto found = std::find_if(waiters_.begin(), waiters_.end(),
                                    [&](const TokenWaiter &w) { return w.requestId == requestId; });
    if (found != waiters_.end()) {
        waiters_.erase(found);
    }
}

void TokenPool::dropExpired(Instant now)
{
    while (!tokens_.empty() && now >= tokens_.front().validUntil) {
        tokens_.pop_front();
    }
}

// Returns the number of tokens to hold in advance.
std::size_t TokenPool::prefetchTarget(Instant now) const
{
    const auto *prefetch = std::get_if<Prefetch>(&policy_);
    if (prefetch == nullptr) {
        return 0;
    }
    const double lifetime = std::chrono::duration<double>(lifetime_).count();
    return static_cast<std::size_t>(demandPerSecond(now) * lifetime * prefetch->demandFraction);
}

// Removes tokens that will probably expire unused and returns them for the owner.
std::vector<TokenReturn> TokenPool::takeUnneededTokens(Instant now)
{
    const Duration minRemaining = scaled(lifetime_, ReturnFraction);
    const auto needed = static_cast<std::size_t>(
        demandPerSecond(now) * std::chrono::duration<double>(minRemaining).count());
    std::vector<TokenReturn> returned;
    std::size_t surplus =
        tokens_.size() > waiters_.size() + needed ? tokens_.size() - waiters_.size() - needed : 0;
    while (surplus > 0 && tokens_.front().validUntil - now < minRemaining) {
        const std::uint64_t grant = tokens_.front().grantId;
        if (returned.empty() || returned.back().grantId != grant) {
            returned.push_back({ grant, 0 });
        }
        ++returned.back().count;
        tokens_.pop_front();
        --surplus;
    }
    return returned;
}

std::optional<TokenRequest> TokenPool::startNextRequest(Instant now)
{
    if (requestPending_ || now < nextRequestAt_) {
        return std::nullopt;
    }
    dropExpired(now);
    TokenRequest tokenRequest;
    tokenRequest.returnedTokens = takeUnneededTokens(now);
    const std::size_t held = tokens_.size();
    const std::size_t queued = waiters_.size() > held ? waiters_.size() - held : 0;
    const std::size_t surplus = held > waiters_.size() ? held - waiters_.size() : 0;
    const std::size_t target = prefetchTarget(now);
    const std::size_t prefetchCount = surplus * 2 < target ? target - surplus : 0;
    if (queued + prefetchCount == 0 && tokenRequest.returnedTokens.empty()) {
        return std::nullopt;
    }
    tokenRequest.requestedTokens =
        std::min(static_cast<std::uint32_t>(queued + prefetchCount), MaxTokensPerRequest);
    tokenRequest.queuedRequests = std::min(static_cast<std::uint32_t>(queued), MaxTokensPerRequest);
    if (!waiters_.empty()) {
        tokenRequest.maxWait = std::max<Duration>(waiters_.back().waitUntil - now, Duration(0));
    }
    tokenRequest.sequence = ++sequence_;
    requestedCount_ = tokenRequest.requestedTokens;
    requestPending_ = true;
    return tokenRequest;
}

void TokenPool::handleResponse(Instant now, Instant requestedAt, const TokenResponse &response)
{
    requestPending_ = false;
    ownerResponded_ = true;
    lifetime_ = response.lifetime;
    const Instant validUntil = requestedAt + scaled(response.lifetime, 1 - ClockDriftAllowance);
    for (std::uint32_t i = 0; i < response.grantedTokens; ++i) {
        tokens_.push_back({ validUntil, response.grantId });
    }
    rejectCount_ = response.rejectedRequests;
    retryAfter_ = response.retryAfter;
    // A partly granted request means that the owner has no more tokens, so the next request is
    // delayed. If requests are rejected, retryAfter is meant for their callers and is not used
    // here.
    const bool partlyGranted = response.grantedTokens < requestedCount_;
    const Duration requestDelay = response.rejectedRequests > 0
        ? Duration(MinRequestInterval)
        : std::max<Duration>(response.retryAfter, MinRequestInterval);
    nextRequestAt_ = now + (partlyGranted ? requestDelay : Duration(0));
}

void TokenPool::handleRequestFailure(Instant now)
{
    requestPending_ = false;
    ownerResponded_ = false;
    nextRequestAt_ = now + OwnerUnavailableRetryDelay;
}

std::vector<TokenPool::Decision> TokenPool::takeDecisions(Instant now)
{
    std::vector<Decision> decisions;
    dropExpired(now);
    while (!waiters_.empty() && !tokens_.empty()) {
        decisions.push_back(
            { waiters_.front().requestId, true, false, Duration(0), tokens_.front().validUntil });
        waiters_.pop_front();
        tokens_.pop_front();
    }
    // The newest requests are rejected, so that the oldest ones keep their position.
    while (rejectCount_ > 0 && !waiters_.empty()) {
        decisions.push_back({ waiters_.back().requestId, false, false, retryAfter_, Instant() });
        waiters_.pop_back();
        --rejectCount_;
    }
    rejectCount_ = 0;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        const bool timedOut = now >= waiter->waitUntil;
        if (timedOut) {
            decisions.push_back(
                { waiter->requestId, false, !ownerResponded_, retryAfter_, Instant() });
        }
        waiter = timedOut ? waiters_.erase(waiter) : std::next(waiter);
    }
    return decisions;
}

} // namespace daisyhaven::quota

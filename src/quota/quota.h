// Enforces the rate limit of each team exactly across all VMs.
//
// The owner of a team's rate limit keeps a token bucket. A granted token is outstanding for its
// lifetime L or until it is returned unused. Refill stops while available + outstanding tokens =
// burst. Each token that is consumed after a time s was outstanding at s, available at s or
// refilled after s. Therefore at most burst + rate x W requests start in any window of W seconds. A
// new owner starts with an empty bucket and refills it only after L, when every token that its
// predecessor granted has expired.
//
// An entry VM prefetches tokens according to recent demand, so that most requests start without a
// message to the owner, and returns the tokens that it will probably not need.
//
// Example:
//     QuotaOwner owner(now);
//     owner.setTeam(now, { "carvers", 50, 100 });
//     TokenResponse response = owner.grantTokens(now, request);
//
// Not thread-safe. Performs no I/O and reads no clock.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::quota {

struct TeamRateLimit
{
    std::string name;
    double rate = 0; // requests per second
    double burst = 0; // requests

    auto tied() const { return std::tie(name, rate, burst); }
    friend bool operator==(const TeamRateLimit &a, const TeamRateLimit &b)
    {
        return a.tied() == b.tied();
    }
};

// Returns how long a token stays valid (L above).
Duration tokenLifetime(const TeamRateLimit &team);

// Unused tokens of one grant that are returned to the owner.
struct TokenReturn
{
    std::uint64_t grantId = 0;
    std::uint32_t count = 0;

    friend bool operator==(const TokenReturn &a, const TokenReturn &b)
    {
        return a.grantId == b.grantId && a.count == b.count;
    }
};

// Request of an entry VM to the owner of a team's rate limit.
struct TokenRequest
{
    std::string team;
    std::string vm;
    std::uint64_t vmIncarnation = 0;
    // Increases with each request of this process for this team. The owner ignores a request whose
    // number is not larger than the last one.
    std::uint64_t sequence = 0;
    std::uint32_t requestedTokens = 0;
    // How many of the requested tokens are for requests that already wait.
    std::uint32_t queuedRequests = 0;
    // Maximum time that the newest of them can still wait.
    Duration maxWait { 0 };
    std::vector<TokenReturn> returnedTokens;
};

struct TokenResponse
{
    std::uint64_t grantId = 0;
    std::uint32_t grantedTokens = 0;
    Duration lifetime { 0 };
    // Number of queued requests that will get no token in time.
    std::uint32_t rejectedRequests = 0;
    // Delay before the next token request, or before the caller retries a rejected request.
    Duration retryAfter { 0 };
};

// Maximum number of tokens in one request.
constexpr std::uint32_t MaxTokensPerRequest = 1000;

class QuotaOwner
{
public:
    explicit QuotaOwner(Instant startedAt);

    // Adds a team or changes its rate limit. A changed team starts with an empty bucket.
    void setTeam(Instant now, const TeamRateLimit &team);
    bool hasTeam(const std::string &team) const { return buckets_.count(team) != 0; }
    // Grants the tokens that are available for the request and takes back the returned ones. Grants
    // nothing for a duplicate or outdated request.
    TokenResponse grantTokens(Instant now, const TokenRequest &request);

private:
    struct OutstandingGrant
    {
        std::uint64_t grantId = 0;
        std::uint32_t count = 0;
        Instant expiresAt;
    };
    struct RequestingVm
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint32_t queuedRequests = 0;
        Instant requestedAt;
    };
    struct Bucket
    {
        TeamRateLimit team;
        double availableTokens = 0;
        double outstandingTokens = 0;
        Instant refilledAt;
        std::deque<OutstandingGrant> grants;
        std::map<std::string, RequestingVm> requestingVms;
    };

    static void refill(Bucket &bucket, Instant now);
    static void refillUntil(Bucket &bucket, Instant until);
    static void returnTokens(Bucket &bucket, const std::vector<TokenReturn> &returned);
    static double queuedRequestsOf(const Bucket &bucket, Instant now);

    Instant startedAt_;
    std::uint64_t lastGrantId_ = 0;
    std::map<std::string, Bucket> buckets_;
};

// Prefetches tokens according to recent demand.
struct Prefetch
{
    // Fraction of the expected demand during one token lifetime to hold in advance.
    double demandFraction = 1.0;
};
// Baseline: requests a token only when a request arrives.
struct OnDemand
{
};
using PrefetchPolicy = std::variant<Prefetch, OnDemand>;

// A request that waits for a token, identified by a number that the user of the pool chooses.
struct TokenWaiter
{
    std::uint64_t requestId = 0;
    Instant waitUntil;
};

// Holds the tokens of one team on an entry VM, and the requests that wait for them.
class TokenPool
{
public:
    explicit TokenPool(PrefetchPolicy policy);

    // The outcome for a queued request: a granted token or a rejection.
    struct Decision
    {
        std::uint64_t requestId = 0;
        bool granted = false;
        bool ownerUnavailable = false;
        Duration retryAfter { 0 };
        // The request must start before this time.
        Instant validUntil;
    };

    void addWaiter(Instant now, const TokenWaiter &waiter);
    void removeWaiter(std::uint64_t requestId);
    // Returns the token request to send now, if any. The user fills in the team and the VM. No
    // further request is returned before handleResponse() or handleRequestFailure() is called.
    std::optional<TokenRequest> startNextRequest(Instant now);
    // Handles the response to the request that was sent at `requestedAt`.
    void handleResponse(Instant now, Instant requestedAt, const TokenResponse &response);
    // Records that the last request got no response.
    void handleRequestFailure(Instant now);
    // Assigns valid tokens to queued requests and rejects those that the owner rejected or whose
    // wait time has expired. Removes and returns all of these.
    std::vector<Decision> takeDecisions(Instant now);

private:
    struct Token
    {
        Instant validUntil;
        std::uint64_t grantId = 0;
    };

    void recordDemand(Instant now);
    double demandPerSecond(Instant now) const;
    void dropExpired(Instant now);
    std::size_t prefetchTarget(Instant now) const;
    std::vector<TokenReturn> takeUnneededTokens(Instant now);

    PrefetchPolicy policy_;
    std::deque<TokenWaiter> waiters_;
    std::deque<Token> tokens_;
    std::uint64_t sequence_ = 0;
    bool requestPending_ = false;
    std::uint32_t requestedCount_ = 0;

    Instant nextRequestAt_;
    std::uint32_t rejectCount_ = 0;
    Duration retryAfter_ { 0 };
    double demand_ = 0; // requests per second, exponentially weighted moving average
    Instant lastDemand_;
    Duration lifetime_ { 0 };
    bool ownerResponded_ = false;
};

} // namespace daisyhaven::quota

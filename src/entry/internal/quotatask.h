// Rate limits of teams on an entry VM. Owns the quota shards whose leases this VM holds, and
// acquires tokens for this VM's requests.
#pragma once

#include "entry/internal/context.h"
#include "quota/quota.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace daisyhaven::entry {

// A token was granted. The request must be forwarded before validUntil.
struct TokenGranted
{
    Instant validUntil;
};
// No token was granted; the code is RateExceeded or QuotaOwnerUnavailable.
struct TokenRejected
{
    ResultCode code = ResultCode::RateExceeded;
    Duration retryAfter { 0 };
};
using TokenResult = std::variant<TokenGranted, TokenRejected>;

class QuotaTask
{
public:
    using Callback = std::function<void(TokenResult)>;

    explicit QuotaTask(Context &context);
    QuotaTask(const QuotaTask &) = delete;
    QuotaTask &operator=(const QuotaTask &) = delete;
    ~QuotaTask();

    // Acquires a token of `team`'s rate limit and waits for it until `waitUntil` at most.
    // `callback` runs once, unless cancelled. Returns an id for cancel().
    std::uint64_t acquireToken(const std::string &team, Instant waitUntil, Callback callback);
    void cancel(const std::string &team, std::uint64_t requestId);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::entry

// The ledger on an entry VM. Hosts replicas of shards if this VM is a voter, owns the shards whose
// leases it holds, and records the starts and outcomes of this VM's requests.
#pragma once

#include "entry/internal/context.h"
#include "ledger/ledger.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace daisyhaven::entry {

// The request may run now.
struct LedgerStarted
{
};
// An earlier request with the same key has completed, or its outcome is unknown.
struct LedgerReplay
{
    ledger::RecordState state = ledger::RecordState::OutcomeUnknown;
    std::string response;
};
// The Failure is RequestInProgress, IdempotencyKeyReused or LedgerUnavailable.
using LedgerResult = std::variant<LedgerStarted, LedgerReplay, Failure>;

class LedgerTask
{
public:
    using Callback = std::function<void(LedgerResult)>;

    explicit LedgerTask(Context &context);
    LedgerTask(const LedgerTask &) = delete;
    LedgerTask &operator=(const LedgerTask &) = delete;
    ~LedgerTask();

    // Records that the request with `key` starts. `callback` runs once, by `waitUntil`. Returns the
    // id of this attempt, for recordFinish().
    std::string recordStart(const std::string &key, const std::string &fingerprint,
                            Duration executionTimeout, Instant waitUntil, Callback callback);
    // Records the outcome of the attempt. Retries until it is stored or the retry timeout has
    // passed.
    void recordFinish(const std::string &key, const std::string &attemptId,
                      ledger::RecordState state, std::string response);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::entry

// The replicated state machine: the configuration and the outcome of each operation.
//
// Applying a log entry is deterministic, so every replica computes the same outcome.
#pragma once

#include "configuration/configuration.h"
#include "result/result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace daisyhaven::control {

// Outcome of an operator's write.
struct OperationOutcome
{
    ResultCode result = ResultCode::Ok;
    std::string detail;
    // Version that the write created, or the newest version when the write was rejected.
    std::uint64_t version = 0;
    // Author and summary of the conflicting change; set for VersionConflict.
    std::string conflictAuthor;
    std::string conflictSummary;

    auto tied() const { return std::tie(result, detail, version, conflictAuthor, conflictSummary); }
    friend bool operator==(const OperationOutcome &a, const OperationOutcome &b)
    {
        return a.tied() == b.tied();
    }
};

// The state machine that a control replica applies its log to.
class ControlState
{
public:
    // Applies a command from the log. A retry with the same operation id returns the first outcome.
    OperationOutcome apply(const std::string &command);
    // Returns the outcome of an applied operation, or nullopt if it is unknown or was evicted.
    std::optional<OperationOutcome> findOutcome(const std::string &operationId) const;

    const configuration::ConfigurationStore &store() const { return store_; }
    std::string toSnapshot() const;
    // Errors: RecordDamaged.
    Result<void> restore(const std::string &snapshot);

private:
    struct CompletedOperation
    {
        OperationOutcome outcome;
        std::string author;
        std::string summary;
        // Digest of the change; distinguishes a retry from another write with the same id.
        std::string digest;
    };

    OperationOutcome validateAndAppend(const configuration::Change &change);
    void recordOperation(const std::string &operationId, CompletedOperation operation);

    configuration::ConfigurationStore store_;
    std::map<std::string, CompletedOperation> operations_;
    std::deque<std::string> operationOrder_;
    // Author and summary of the change that created the newest version.
    std::string lastAuthor_;
    std::string lastSummary_;
};

} // namespace daisyhaven::control

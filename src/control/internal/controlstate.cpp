#include "control/internal/controlstate.h"

#include "peer/generated/peer.pb.h"

#include <xxhash.h>

namespace daisyhaven::control {

namespace {

constexpr std::size_t MaxRecordedOperations = 10'000;

std::string digestOf(const std::string &bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return std::string(reinterpret_cast<const char *>(&hash), sizeof(hash));
}

} // namespace

OperationOutcome ControlState::validateAndAppend(const configuration::Change &change)
{
    OperationOutcome outcome;
    outcome.version = store_.version();
    if (change.baseVersion != store_.version()) {
        outcome.result = ResultCode::VersionConflict;
        outcome.detail = "based on version " + std::to_string(change.baseVersion)
            + ", but the newest version is " + std::to_string(store_.version());
        outcome.conflictAuthor = lastAuthor_;
        outcome.conflictSummary = lastSummary_;
        return outcome;
    }
    const auto valid = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(store_.current().validate(change.body));
        return true;
    });
    if (const auto *failure = std::get_if<Failure>(&valid)) {
        outcome.result = failure->code;
        outcome.detail = failure->detail;
        return outcome;
    }
    store_.appendChange(change);
    lastAuthor_ = change.author;
    lastSummary_ = configuration::summarizeChange(change);
    outcome.version = store_.version();
    return outcome;
}

OperationOutcome ControlState::apply(const std::string &command)
{
    wire::Change message;
    if (!message.ParseFromString(command)) {
        return { ResultCode::PeerProtocol, "cannot parse the configuration change",
                 store_.version(), "", "" };
    }
    const auto parsed = attempt([&] { return configuration::fromWire(message); });
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        return { failure->code, failure->detail, store_.version(), "", "" };
    }
    const auto &change = std::get<configuration::Change>(parsed);
    // A retry may be based on a newer version, so the digest excludes the base version.
    message.clear_base_version();
    const std::string digest = digestOf(message.SerializeAsString());
    const auto known = operations_.find(change.operationId);
    if (known != operations_.end()) {
        if (known->second.digest == digest) {
            return known->second.outcome;
        }
        return { ResultCode::VersionConflict,
                 "the operation id was already used for a different change", store_.version(),
                 known->second.author, known->second.summary };
    }
    OperationOutcome outcome = validateAndAppend(change);
    recordOperation(change.operationId,
                    { outcome, change.author, configuration::summarizeChange(change), digest });
    return outcome;
}

void ControlState::recordOperation(const std::string &operationId, CompletedOperation operation)
{
    operations_[operationId] = std::move(operation);
    operationOrder_.push_back(operationId);
    if (operationOrder_.size() > MaxRecordedOperations) {
        operations_.erase(operationOrder_.front());
        operationOrder_.pop_front();
    }
}

std::optional<OperationOutcome> ControlState::findOutcome(const std::string &operationId) const
{
    const auto known = operations_.find(operationId);
    return known == operations_.end() ? std::nullopt : std::make_optional(known->second.outcome);
}

std::string ControlState::toSnapshot() const
{
    wire::Snapshot snapshot = configuration::toSnapshot(store_.current());
    for (const std::string &id : operationOrder_) {
        const CompletedOperation &operation = operations_.at(id);
        auto *record = snapshot.add_operations();
        record->set_operation_id(id);
        record->set_version(operation.outcome.version);
        record->set_result(static_cast<std::uint32_t>(operation.outcome.result));
        record->set_detail(operation.outcome.detail);
        record->set_author(operation.author);
        record->set_summary(operation.summary);
        record->set_change_digest(operation.digest);
        record->set_conflict_author(operation.outcome.conflictAuthor);
        record->set_conflict_summary(operation.outcome.conflictSummary);
    }
    snapshot.set_last_author(lastAuthor_);
    snapshot.set_last_summary(lastSummary_);
    return snapshot.SerializeAsString();
}

Result<void> ControlState::restore(const std::string &bytes)
{
    if (bytes.empty()) {
        return {};
    }
    wire::Snapshot snapshot;
    if (!snapshot.ParseFromString(bytes)) {
        return fail(ResultCode::RecordDamaged, "cannot parse the configuration snapshot");
    }
    BOOST_LEAF_AUTO(configuration, configuration::fromSnapshot(snapshot));
    store_.replace(std::move(configuration));
    operations_.clear();
    operationOrder_.clear();
    lastAuthor_ = snapshot.last_author();
    lastSummary_ = snapshot.last_summary();
    for (const wire::OperationRecord &record : snapshot.operations()) {
        const OperationOutcome outcome { static_cast<ResultCode>(record.result()), record.detail(),
                                         record.version(), record.conflict_author(),
                                         record.conflict_summary() };
        recordOperation(record.operation_id(),
                        { outcome, record.author(), record.summary(), record.change_digest() });
    }
    return {};
}

} // namespace daisyhaven::control

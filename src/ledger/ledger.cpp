#include "ledger/ledger.h"

#include <algorithm>

namespace daisyhaven::ledger {

namespace {

void mergeRecord(std::map<std::string, IdempotencyRecord> &records, const IdempotencyRecord &record)
{
    const auto [found, inserted] = records.emplace(record.key, record);
    if (!inserted && record.isNewerThan(found->second)) {
        found->second = record;
    }
}

std::vector<IdempotencyRecord> valuesOf(const std::map<std::string, IdempotencyRecord> &records)
{
    std::vector<IdempotencyRecord> values;
    values.reserve(records.size());
    for (const auto &[key, record] : records) {
        values.push_back(record);
    }
    return values;
}

void expireRecords(std::map<std::string, IdempotencyRecord> &records, Instant now)
{
    for (auto record = records.begin(); record != records.end();) {
        record = now >= record->second.retainUntil ? records.erase(record) : std::next(record);
    }
}

} // namespace

void ShardReplica::merge(const std::vector<IdempotencyRecord> &records)
{
    for (const IdempotencyRecord &record : records) {
        mergeRecord(records_, record);
    }
}

bool ShardReplica::store(std::uint64_t term, const std::vector<IdempotencyRecord> &records)
{
    if (term < promisedTerm_) {
        return false;
    }
    promisedTerm_ = term;
    merge(records);
    return complete_;
}

std::optional<std::vector<IdempotencyRecord>> ShardReplica::promiseTerm(std::uint64_t term)
{
    if (!complete_ || term < promisedTerm_) {
        return std::nullopt;
    }
    promisedTerm_ = term;
    return records();
}

std::vector<IdempotencyRecord> ShardReplica::records() const
{
    return valuesOf(records_);
}

void ShardReplica::mergeFromReplica(std::size_t source, std::uint64_t promisedTerm,
                                    const std::vector<IdempotencyRecord> &records)
{
    promisedTerm_ = std::max(promisedTerm_, promisedTerm);
    merge(records);
    copySources_.insert(source);
    complete_ = complete_ || copySources_.size() >= ReplicaCount - 1;
}

void ShardReplica::removeExpired(Instant now)
{
    expireRecords(records_, now);
}

void ShardOwner::addReplicaRecords(std::size_t replica,
                                   const std::vector<IdempotencyRecord> &records)
{
    loadedFrom_.insert(replica);
    for (const IdempotencyRecord &record : records) {
        mergeRecord(records_, record);
        // The records are stored again at this term with their sequence, so later changes need
        // larger ones.
        sequence_ = std::max(sequence_, record.sequence);
    }
}

std::vector<IdempotencyRecord> ShardOwner::recordsAtCurrentTerm() const
{
    std::vector<IdempotencyRecord> records = valuesOf(records_);
    for (IdempotencyRecord &record : records) {
        record.term = term_;
    }
    return records;
}

StartResult ShardOwner::startRequest(Instant now, const IdempotencyRecord &request)
{
    if (!isReady()) {
        return { StartOutcome::NotReady, {} };
    }
    const auto found = records_.find(request.key);
    const bool isStartable = found == records_.end()
        || found->second.state == RecordState::NotExecuted || now >= found->second.retainUntil;
    const bool isSameAttempt = !isStartable && found->second.attemptId == request.attemptId
        && found->second.state == RecordState::Started;
    if (isStartable || isSameAttempt) {
        IdempotencyRecord record = request;
        record.state = RecordState::Started;
        record.term = term_;
        record.sequence = ++sequence_;
        records_[request.key] = record;
        return { StartOutcome::RecordPending, std::move(record) };
    }
    IdempotencyRecord &record = found->second;
    if (record.fingerprint != request.fingerprint) {
        return { StartOutcome::KeyReused, record };
    }
    if (record.state == RecordState::Started && now < record.executionDeadline) {
        return { StartOutcome::InProgress, record };
    }
    if (record.state == RecordState::Started) {
        record.state = RecordState::OutcomeUnknown;
    }
    return { StartOutcome::Replay, record };
}

std::optional<IdempotencyRecord> ShardOwner::finishRequest(Instant now, const std::string &key,
                                                           const std::string &attemptId,
                                                           RecordState state, std::string response)
{
    const auto found = records_.find(key);
    const bool isCurrentAttempt = found != records_.end() && now < found->second.retainUntil
        && found->second.attemptId == attemptId;
    if (!isCurrentAttempt || found->second.state == RecordState::Completed) {
        return std::nullopt;
    }
    IdempotencyRecord &record = found->second;
    // A request with an unknown outcome may have run. Only a response can still change its state.
    if (record.state == RecordState::OutcomeUnknown && state != RecordState::Completed) {
        return std::nullopt;
    }
    record.state = state;
    record.response = response.size() <= MaxStoredResponseBytes ? std::move(response) : "";
    record.term = term_;
    record.sequence = ++sequence_;
    return record;
}

void ShardOwner::removeExpired(Instant now)
{
    expireRecords(records_, now);
}

} // namespace daisyhaven::ledger

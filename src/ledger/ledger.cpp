#include "ledger/ledger.h"

#include <algorithm>

namespace daisyhaven::ledger {

namespace {

void mergeRecord(std::map<std::string, Record> &records, const Record &record)
{
    const auto [found, inserted] = records.emplace(record.key, record);
    if (!inserted && record.isNewerThan(found->second)) {
        found->second = record;
    }
}

std::vector<Record> valuesOf(const std::map<std::string, Record> &records)
{
    std::vector<Record> values;
    values.reserve(records.size());
    for (const auto &[key, record] : records) {
        values.push_back(record);
    }
    return values;
}

void expireRecords(std::map<std::string, Record> &records, Instant now)
{
    for (auto record = records.begin(); record != records.end();) {
        record = now >= record->second.keepUntil ? records.erase(record) : std::next(record);
    }
}

} // namespace

void ShardReplica::merge(const std::vector<Record> &records)
{
    for (const Record &record : records) {
        mergeRecord(records_, record);
    }
}

bool ShardReplica::store(std::uint64_t term, const std::vector<Record> &records)
{
    if (term < promisedTerm_) {
        return false;
    }
    promisedTerm_ = term;
    merge(records);
    return complete_;
}

std::optional<std::vector<Record>> ShardReplica::promise(std::uint64_t term)
{
    if (!complete_ || term < promisedTerm_) {
        return std::nullopt;
    }
    promisedTerm_ = term;
    return records();
}

std::vector<Record> ShardReplica::records() const
{
    return valuesOf(records_);
}

void ShardReplica::copied(std::size_t source, std::uint64_t promisedTerm,
                          const std::vector<Record> &records)
{
    promisedTerm_ = std::max(promisedTerm_, promisedTerm);
    merge(records);
    copySources_.insert(source);
    complete_ = complete_ || copySources_.size() >= ReplicaCount - 1;
}

void ShardReplica::expire(Instant now)
{
    expireRecords(records_, now);
}

void ShardOwner::loaded(std::size_t replica, const std::vector<Record> &records)
{
    loadedFrom_.insert(replica);
    for (const Record &record : records) {
        mergeRecord(records_, record);
        // The records are stored again at this term with their sequence, so later changes need
        // larger ones.
        sequence_ = std::max(sequence_, record.sequence);
    }
}

std::vector<Record> ShardOwner::records() const
{
    std::vector<Record> records = valuesOf(records_);
    for (Record &record : records) {
        record.term = term_;
    }
    return records;
}

StartResult ShardOwner::start(Instant now, const Record &request)
{
    if (!ready()) {
        return { StartKind::NotReady, {} };
    }
    const auto found = records_.find(request.key);
    const bool isStartable = found == records_.end() || found->second.state == RecordState::NotRun
        || now >= found->second.keepUntil;
    const bool isSameAttempt = !isStartable && found->second.attempt == request.attempt
        && found->second.state == RecordState::Started;
    if (isStartable || isSameAttempt) {
        Record record = request;
        record.state = RecordState::Started;
        record.term = term_;
        record.sequence = ++sequence_;
        records_[request.key] = record;
        return { StartKind::Recording, std::move(record) };
    }
    Record &record = found->second;
    if (record.fingerprint != request.fingerprint) {
        return { StartKind::KeyReused, record };
    }
    if (record.state == RecordState::Started && now < record.runsUntil) {
        return { StartKind::InProgress, record };
    }
    if (record.state == RecordState::Started) {
        record.state = RecordState::Unknown;
    }
    return { StartKind::Repeat, record };
}

std::optional<Record> ShardOwner::finish(Instant now, const std::string &key,
                                         const std::string &attemptId, RecordState state,
                                         std::string response)
{
    const auto found = records_.find(key);
    const bool isCurrentAttempt = found != records_.end() && now < found->second.keepUntil
        && found->second.attempt == attemptId;
    if (!isCurrentAttempt || found->second.state == RecordState::Answered) {
        return std::nullopt;
    }
    Record &record = found->second;
    // A request with an unknown outcome may have run. Only a response can still change its state.
    if (record.state == RecordState::Unknown && state != RecordState::Answered) {
        return std::nullopt;
    }
    record.state = state;
    record.answer = response.size() <= MaxKeptAnswerBytes ? std::move(response) : "";
    record.term = term_;
    record.sequence = ++sequence_;
    return record;
}

void ShardOwner::expire(Instant now)
{
    expireRecords(records_, now);
}

} // namespace daisyhaven::ledger

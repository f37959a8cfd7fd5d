// Replicated ledger of requests with an Idempotency-Key: a non-idempotent request runs at most
// once.
//
// A shard has three replicas, one per availability zone if there are three zones, and an owner that
// holds the lease of the shard. The owner stores the state "started" at two replicas before the
// request is sent, and the response afterwards. A replica promises the largest term that it has
// seen and rejects records of a smaller term. A new owner first reads the records of two complete
// replicas. A replica that lost its state is incomplete until it has copied the records of both
// other replicas, or until every record that it may have lost is older than the retention time.
//
// Example:
//     ShardOwner owner(term);
//     owner.addReplicaRecords(replica, records);
//     StartResult result = owner.startRequest(now, request);
//
// Not thread-safe. Performs no I/O and reads no clock; the current time is a parameter.
#pragma once

#include "result/result.h"
#include "timer/timer.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::ledger {

constexpr std::size_t ReplicaCount = 3;
constexpr std::size_t ReplicaMajority = 2;
// Larger responses are not stored. A retry then only learns that the request ran.
constexpr std::size_t MaxStoredResponseBytes = 64UL * 1024;

// State of a request. The values are part of the inner protocol.
enum class RecordState : std::uint8_t {
    Started = 1,
    Completed = 2,
    // The request may have run, but its response is unknown or was not stored.
    OutcomeUnknown = 3,
    // The request certainly did not run, so the key may be started again.
    NotExecuted = 4,
};

// What a shard stores for one idempotency key.
struct IdempotencyRecord
{
    std::string key;
    std::string fingerprint;
    // Identifies the only attempt in the fleet that may run.
    std::string attemptId;
    RecordState state = RecordState::Started;
    std::string response;
    // The record may be removed after this time.
    Instant retainUntil;
    // The outcome of a request that is still "started" at this time is unknown.
    Instant executionDeadline;
    std::uint64_t term = 0;
    // Increases with each change of a record of the shard within a term.
    std::uint64_t sequence = 0;

    auto tied() const
    {
        return std::tie(key, fingerprint, attemptId, state, response, retainUntil,
                        executionDeadline, term, sequence);
    }
    friend bool operator==(const IdempotencyRecord &a, const IdempotencyRecord &b)
    {
        return a.tied() == b.tied();
    }
    bool isNewerThan(const IdempotencyRecord &other) const
    {
        return std::tie(term, sequence) > std::tie(other.term, other.sequence);
    }
};

// The records that one replica stores for one shard.
class ShardReplica
{
public:
    // `complete` states that no record can have been lost, for example because no configuration was
    // ever published.
    explicit ShardReplica(bool complete) : complete_(complete) { }

    bool isComplete() const { return complete_; }
    std::uint64_t promisedTerm() const { return promisedTerm_; }
    // Stores the records of the owner at `term` unless a larger term was promised. Returns true if
    // the copy counts towards the majority, which that of an incomplete replica does not.
    bool store(std::uint64_t term, const std::vector<IdempotencyRecord> &records);
    // Promises `term` to its new owner and returns the records. Returns nothing if a larger term
    // was promised or the replica is incomplete.
    std::optional<std::vector<IdempotencyRecord>> promiseTerm(std::uint64_t term);
    // Returns all records, from which another replica can recover.
    std::vector<IdempotencyRecord> records() const;
    // Merges the records of the complete replica with index `source`. The replica is complete once
    // it has merged the records of both others.
    void mergeFromReplica(std::size_t source, std::uint64_t promisedTerm,
                          const std::vector<IdempotencyRecord> &records);
    // Marks the replica complete: every record that it may have lost is past its retention time.
    void markComplete() { complete_ = true; }
    void removeExpired(Instant now);

private:
    void merge(const std::vector<IdempotencyRecord> &records);

    bool complete_;
    std::uint64_t promisedTerm_ = 0;
    std::set<std::size_t> copySources_;
    std::map<std::string, IdempotencyRecord> records_;
};

enum class StartOutcome : std::uint8_t {
    RecordPending, // store `record`; the request may run once ReplicaMajority replicas stored it
    Replay, // respond from the record: it is completed, or its outcome is unknown
    InProgress, // another attempt is running
    KeyReused, // the key belongs to a request with another fingerprint
    NotReady, // the owner has not read ReplicaMajority replicas yet
};

struct StartResult
{
    StartOutcome outcome = StartOutcome::NotReady;
    IdempotencyRecord record;
};

// The owner of one shard, which decides which request may run.
class ShardOwner
{
public:
    explicit ShardOwner(std::uint64_t term) : term_(term) { }

    std::uint64_t term() const { return term_; }
    // Adds the records of one complete replica that promised this term. The owner is ready after
    // ReplicaMajority replicas.
    void addReplicaRecords(std::size_t replica, const std::vector<IdempotencyRecord> &records);
    bool isReady() const { return loadedFrom_.size() >= ReplicaMajority; }
    // Returns all records at this term. They are stored at the replicas before the owner accepts
    // requests.
    std::vector<IdempotencyRecord> recordsAtCurrentTerm() const;

    // Starts the attempt described by key, fingerprint, attemptId, retainUntil and
    // executionDeadline of `request`. A second call for a started attempt stores it again.
    StartResult startRequest(Instant now, const IdempotencyRecord &request);
    // Sets the outcome of the attempt. Returns the changed record to store, or nothing if the
    // attempt does not hold the key or the record already has a response. Only a response replaces
    // an unknown outcome.
    std::optional<IdempotencyRecord> finishRequest(Instant now, const std::string &key,
                                                   const std::string &attemptId, RecordState state,
                                                   std::string response);
    void removeExpired(Instant now);

private:
    std::uint64_t term_;
    std::uint64_t sequence_ = 0;
    std::set<std::size_t> loadedFrom_;
    std::map<std::string, IdempotencyRecord> records_;
};

} // namespace daisyhaven::ledger

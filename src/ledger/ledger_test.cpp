#include "ledger/ledger.h"

#include "testing/lossynetwork.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <memory>

namespace daisyhaven::ledger {
namespace {

constexpr Milliseconds Step { 5 };
constexpr Seconds Retention { 60 };
constexpr Milliseconds ExecutionTime { 400 };
constexpr int VmCount = 3;
constexpr int KeyCount = 4;

// Simulation of the replicas, a sequence of owners, and VMs that send requests with the same keys
// repeatedly. It counts how often each key ran.
class LedgerSimulation
{
public:
    explicit LedgerSimulation(std::uint64_t seed) : network_(seed, { 0.05, 0.1, Milliseconds(30) })
    {
        for (std::size_t i = 0; i < ReplicaCount; ++i) {
            replicas_.push_back({ ShardReplica(true), now_ });
        }
        startOwner();
    }

    // Injects the fault `kind`; `a` and `b` select its target and its extent.
    void injectFault(int kind, int a, int b)
    {
        switch (kind % 7) {
        case 0:
        case 1:
            startOwner();
            break;
        case 2:
            loseState(static_cast<std::size_t>(a) % ReplicaCount);
            break;
        case 3:
            network_.cutLink(OwnerNode, ReplicaNode + a % 3);
            break;
        case 4:
            network_.cutLink(ReplicaNode + a % 3, OwnerNode);
            break;
        case 5:
            network_.restoreAllLinks();
            break;
        default:
            network_.setFaults({ (b % 5) * 0.08, 0.2, Milliseconds(2 + 25 * (a % 12)) });
            break;
        }
    }

    void run(Duration duration)
    {
        const Instant end = now_ + duration;
        while (now_ < end) {
            now_ += Step;
            step();
        }
    }

    int maxRunsPerKey() const
    {
        int largest = 0;
        for (const int count : runs_) {
            largest = std::max(largest, count);
        }
        return largest;
    }
    int executedKeyCount() const
    {
        int count = 0;
        for (const int runs : runs_) {
            count += runs > 0 ? 1 : 0;
        }
        return count;
    }

private:
    static constexpr int OwnerNode = 0;
    static constexpr int ReplicaNode = 10;
    static constexpr int VmNode = 20;

    struct Message
    {
        enum class Kind {
            Start,
            Started,
            Rejected,
            Finish,
            Store,
            Stored,
            Promise,
            Promised,
            Copy,
            Copied
        };
        Kind kind = Kind::Start;
        std::uint64_t term = 0;
        std::uint64_t round = 0;
        IdempotencyRecord record;
        std::vector<IdempotencyRecord> records;
        bool success = false;
        std::size_t replica = 0;
    };

    struct Replica
    {
        ShardReplica state;
        Instant startedAt;
        std::uint64_t incarnation = 0;
    };

    struct StoreRound
    {
        int stored = 0;
        Message response;
        int vm = -1;
    };

    // An attempt of a VM. It runs the request if the owner permits it before the deadline.
    struct Attempt
    {
        int key = 0;
        int vm = 0;
        Instant deadline;
        Instant runsUntil;
        bool isRunning = false;
        bool isFinished = false;
    };

    // A replica loses its state only if all replicas are complete, as in a fleet in which
    // incomplete replicas recover before the next one fails.
    void loseState(std::size_t index)
    {
        for (const Replica &replica : replicas_) {
            if (!replica.state.isComplete()) {
                return;
            }
        }
        replicas_[index] = { ShardReplica(false), now_, replicas_[index].incarnation + 1 };
    }

    void startOwner()
    {
        owner_ = std::make_unique<ShardOwner>(++term_);
        restored_ = false;
        restoreRound_ = 0;
        rounds_.clear();
    }

    void step()
    {
        network_.deliver(now_, [this](int from, int to, const Message &message) {
            if (to == OwnerNode) {
                receiveAtOwner(from, message);
            } else if (to >= VmNode) {
                receiveAtVm(message);
            } else {
                receiveAtReplica(static_cast<std::size_t>(to - ReplicaNode), from, message);
            }
        });
        if (++ticks_ % 10 == 0) {
            requestPromises();
            requestCopies();
        }
        advanceAttempts();
    }

    void requestPromises()
    {
        if (owner_->isReady()) {
            return;
        }
        for (std::size_t i = 0; i < ReplicaCount; ++i) {
            Message message;
            message.kind = Message::Kind::Promise;
            message.term = term_;
            network_.send(now_, OwnerNode, ReplicaNode + static_cast<int>(i), message);
        }
    }

    void requestCopies()
    {
        for (std::size_t i = 0; i < ReplicaCount; ++i) {
            for (std::size_t j = 0; !replicas_[i].state.isComplete() && j < ReplicaCount; ++j) {
                Message message;
                message.kind = Message::Kind::Copy;
                message.round = replicas_[i].incarnation;
                network_.send(now_, ReplicaNode + static_cast<int>(i),
                              ReplicaNode + static_cast<int>(j), message);
            }
        }
    }

    void advanceAttempts()
    {
        if (ticks_ % 8 == 0) {
            const int key = network_.randomInt(0, KeyCount - 1);
            const int vm = network_.randomInt(0, VmCount - 1);
            attempts_.push_back({ key, vm, now_ + Milliseconds(150), {}, false, false });
            Message message;
            message.kind = Message::Kind::Start;
            message.record.key = std::to_string(key);
            message.record.fingerprint = "f";
            message.record.attemptId = std::to_string(attempts_.size() - 1);
            message.record.retainUntil = now_ + Retention;
            message.record.executionDeadline = now_ + ExecutionTime;
            network_.send(now_, VmNode + vm, OwnerNode, message);
        }
        for (std::size_t i = 0; i < attempts_.size(); ++i) {
            Attempt &attempt = attempts_[i];
            const bool isTimedOut =
                !attempt.isFinished && !attempt.isRunning && now_ >= attempt.deadline;
            const bool hasEnded =
                attempt.isRunning && !attempt.isFinished && now_ >= attempt.runsUntil;
            if (!isTimedOut && !hasEnded) {
                continue;
            }
            attempt.isFinished = true;
            Message message;
            message.kind = Message::Kind::Finish;
            message.record.key = std::to_string(attempt.key);
            message.record.attemptId = std::to_string(i);
            const bool isResponseLost = hasEnded && network_.randomInt(0, 3) == 0;
            message.record.state = isTimedOut ? RecordState::NotExecuted
                : isResponseLost              ? RecordState::OutcomeUnknown
                                              : RecordState::Completed;
            network_.send(now_, VmNode + attempt.vm, OwnerNode, message);
        }
    }

    void receiveAtVm(const Message &message)
    {
        Attempt &attempt = attempts_[std::stoul(message.record.attemptId)];
        const bool canRun = message.kind == Message::Kind::Started && !attempt.isFinished
            && !attempt.isRunning && now_ < attempt.deadline;
        if (canRun) {
            attempt.isRunning = true;
            attempt.runsUntil = now_ + Milliseconds(network_.randomInt(5, 300));
            ++runs_[static_cast<std::size_t>(attempt.key)];
        } else if (message.kind == Message::Kind::Rejected && !attempt.isRunning) {
            attempt.isFinished = true;
        }
    }

    void receiveAtOwner(int from, const Message &message)
    {
        switch (message.kind) {
        case Message::Kind::Start:
            handleStart(from, message);
            break;
        case Message::Kind::Finish:
            if (const auto changed = restored_
                    ? owner_->finishRequest(now_, message.record.key, message.record.attemptId,
                                            message.record.state, "answer")
                    : std::nullopt) {
                store({ *changed }, {}, -1);
            }
            break;
        case Message::Kind::Stored:
            handleStored(message);
            break;
        case Message::Kind::Promised:
            if (message.term == term_ && message.success) {
                owner_->addReplicaRecords(message.replica, message.records);
                if (owner_->isReady() && !restored_ && restoreRound_ == 0) {
                    restoreRound_ = store(owner_->recordsAtCurrentTerm(), {}, -1);
                }
            }
            break;
        default:
            break;
        }
    }

    void handleStart(int from, const Message &message)
    {
        if (!restored_) {
            return;
        }
        const StartResult result = owner_->startRequest(now_, message.record);
        Message response;
        response.record = message.record;
        if (result.outcome == StartOutcome::RecordPending) {
            response.kind = Message::Kind::Started;
            store({ result.record }, response, from);
        } else {
            response.kind = Message::Kind::Rejected;
            network_.send(now_, OwnerNode, from, response);
        }
    }

    std::uint64_t store(const std::vector<IdempotencyRecord> &records, const Message &response,
                        int vm)
    {
        const std::uint64_t round = ++lastRound_;
        rounds_[round] = { 0, response, vm };
        for (std::size_t i = 0; i < ReplicaCount; ++i) {
            Message message;
            message.kind = Message::Kind::Store;
            message.term = term_;
            message.round = round;
            message.records = records;
            network_.send(now_, OwnerNode, ReplicaNode + static_cast<int>(i), message);
        }
        return round;
    }

    void handleStored(const Message &message)
    {
        const auto found = rounds_.find(message.round);
        if (found == rounds_.end() || message.term != term_ || !message.success) {
            return;
        }
        if (!countedResponses_.insert({ message.round, message.replica }).second) {
            return;
        }
        if (++found->second.stored != static_cast<int>(ReplicaMajority)) {
            return;
        }
        if (message.round == restoreRound_) {
            restored_ = true;
            restoreRound_ = 0;
        }
        if (found->second.vm >= 0) {
            network_.send(now_, OwnerNode, found->second.vm, found->second.response);
        }
    }

    void receiveAtReplica(std::size_t index, int from, const Message &message)
    {
        ShardReplica &replica = replicas_[index].state;
        Message response;
        response.replica = index;
        response.term = message.term;
        response.round = message.round;
        if (message.kind == Message::Kind::Store) {
            response.kind = Message::Kind::Stored;
            response.success = replica.store(message.term, message.records);
        } else if (message.kind == Message::Kind::Promise) {
            const auto records = replica.promiseTerm(message.term);
            response.kind = Message::Kind::Promised;
            response.success = records.has_value();
            response.records = records.value_or(std::vector<IdempotencyRecord> {});
        } else if (message.kind == Message::Kind::Copy) {
            response.kind = Message::Kind::Copied;
            response.success = replica.isComplete();
            response.term = replica.promisedTerm();
            response.records = replica.records();
        } else if (message.kind == Message::Kind::Copied) {
            const bool isCurrentIncarnation =
                message.success && message.round == replicas_[index].incarnation;
            if (isCurrentIncarnation) {
                replica.mergeFromReplica(message.replica, message.term, message.records);
            }
            return;
        }
        network_.send(now_, ReplicaNode + static_cast<int>(index), from, response);
    }

    Instant now_ { Seconds(100) };
    testing::LossyNetwork<Message> network_;
    std::vector<Replica> replicas_;
    std::unique_ptr<ShardOwner> owner_;
    std::uint64_t term_ = 0;
    bool restored_ = false;
    std::uint64_t restoreRound_ = 0;
    std::uint64_t lastRound_ = 0;
    std::map<std::uint64_t, StoreRound> rounds_;
    std::set<std::pair<std::uint64_t, std::size_t>> countedResponses_;
    std::vector<Attempt> attempts_;
    std::array<int, KeyCount> runs_ {};
    std::uint64_t ticks_ = 0;
};

// Changes of the owner, lost replica state and network faults never let a key run twice.
TEST(LedgerFuzz, NoKeyRunsTwice)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        LedgerSimulation simulation(seed);
        const auto faults = *rc::gen::resize(
            60,
            rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 700), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100))));
        for (const auto &[kind, a, b] : faults) {
            simulation.injectFault(kind, a, b);
            simulation.run(Milliseconds(20 + 4 * b));
            RC_ASSERT(simulation.maxRunsPerKey() <= 1);
        }
    });
    EXPECT_TRUE(passed);
}

TEST(LedgerFuzz, EveryKeyRunsOnceWithoutInjectedFaults)
{
    LedgerSimulation simulation(1);
    simulation.run(Seconds(5));
    EXPECT_EQ(simulation.executedKeyCount(), KeyCount);
    EXPECT_EQ(simulation.maxRunsPerKey(), 1);
}

// Guards against a new owner that restarts the sequence at zero: replicas would then discard its
// changes as older than the records of its predecessor.
TEST(ShardOwner, ChangesAreNewerThanLoadedRecords)
{
    const Instant start { Seconds(1) };
    IdempotencyRecord predecessorRecord;
    predecessorRecord.key = "k";
    predecessorRecord.fingerprint = "f";
    predecessorRecord.attemptId = "first";
    predecessorRecord.state = RecordState::NotExecuted;
    predecessorRecord.retainUntil = start + Retention;
    predecessorRecord.term = 2;
    predecessorRecord.sequence = 57;
    ShardOwner owner(3);
    owner.addReplicaRecords(0, { predecessorRecord });
    owner.addReplicaRecords(1, {});
    ShardReplica replica(true);
    ASSERT_TRUE(replica.store(3, owner.recordsAtCurrentTerm()));
    IdempotencyRecord request = predecessorRecord;
    request.attemptId = "second";
    const StartResult result = owner.startRequest(start, request);
    ASSERT_EQ(result.outcome, StartOutcome::RecordPending);
    ASSERT_TRUE(replica.store(3, { result.record }));
    EXPECT_EQ(replica.records().front().attemptId, "second");
}

// A replica that lost its state neither counts towards the majority nor promises a term until it
// has copied the records of both other replicas.
TEST(ShardReplica, IsCompleteOnlyAfterCopyingFromBothOthers)
{
    ShardReplica replica(false);
    EXPECT_FALSE(replica.store(1, {}));
    EXPECT_EQ(replica.promiseTerm(2), std::nullopt);
    replica.mergeFromReplica(0, 5, {});
    EXPECT_FALSE(replica.isComplete());
    replica.mergeFromReplica(0, 5, {});
    EXPECT_FALSE(replica.isComplete());
    replica.mergeFromReplica(1, 7, {});
    EXPECT_TRUE(replica.isComplete());
    EXPECT_FALSE(replica.store(6, {}));
    EXPECT_TRUE(replica.store(7, {}));
}

struct RetryCase
{
    const char *name;
    RecordState firstState;
    int retryMs; // after the start; the request may run for 400 ms
    StartOutcome expected;
};

class RetriedKey : public ::testing::TestWithParam<RetryCase>
{
};

TEST_P(RetriedKey, IsHandledByStateOfFirstAttempt)
{
    const Instant start { Seconds(1) };
    ShardOwner owner(3);
    owner.addReplicaRecords(0, {});
    owner.addReplicaRecords(2, {});
    IdempotencyRecord request;
    request.key = "k";
    request.fingerprint = "f";
    request.attemptId = "first";
    request.retainUntil = start + Retention;
    request.executionDeadline = start + ExecutionTime;
    ASSERT_EQ(owner.startRequest(start, request).outcome, StartOutcome::RecordPending);
    if (GetParam().firstState != RecordState::Started) {
        ASSERT_TRUE(owner.finishRequest(start, "k", "first", GetParam().firstState, "whole"));
    }
    request.attemptId = "second";
    const Instant later = start + Milliseconds(GetParam().retryMs);
    EXPECT_EQ(owner.startRequest(later, request).outcome, GetParam().expected) << GetParam().name;
    // An outcome reported by another attempt does not change the record.
    EXPECT_EQ(owner.finishRequest(later, "k", "other", RecordState::NotExecuted, ""), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    States, RetriedKey,
    ::testing::Values(
        RetryCase { "while the first attempt runs", RecordState::Started, 100,
                    StartOutcome::InProgress },
        RetryCase { "after its execution deadline", RecordState::Started, 500,
                    StartOutcome::Replay },
        RetryCase { "after its response", RecordState::Completed, 10, StartOutcome::Replay },
        RetryCase { "unknown", RecordState::OutcomeUnknown, 10, StartOutcome::Replay },
        RetryCase { "certainly not executed", RecordState::NotExecuted, 10,
                    StartOutcome::RecordPending }));

} // namespace
} // namespace daisyhaven::ledger

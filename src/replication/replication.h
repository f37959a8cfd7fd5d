// Runs one replica of the replicated log: its storage, its messages and its timers.
//
// DiskLog stores the durable state of one replica in one folder.
//
// Files: `identity`, `hardstate` and `snapshot` are replaced atomically, each with a checksum.
// `log` holds records with length and checksum, which are appended and synced. `synced` holds the
// offset up to which the log is known to be synced. An invalid record below that offset is
// corruption. An invalid record above it is a torn write, and the log is truncated there.
#pragma once

#include "consensus/consensus.h"
#include "peer/peer.h"
#include "result/result.h"
#include "timer/timer.h"

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisyhaven::wire {
class ReplicaMember;
} // namespace daisyhaven::wire

namespace daisyhaven::replication {

// Identity of a replica, which is bound to its data folder.
struct ReplicaIdentity
{
    std::string vm;
    std::string replicaId;
    // True for an initial member of the group. Any other replica starts without members and joins
    // later.
    bool isInitialMember = false;
    // The members with which the group was founded. Empty on other replicas, and as long as an
    // initial member whose folder was written by a release before 2026-12 has not learned them.
    consensus::Members initialMembers;
};

// Returns a record of the log file: length, checksum, payload.
std::string encodeLogRecord(std::string_view payload);

struct DecodedLog
{
    std::vector<std::string> payloads;
    // End offset of each record.
    std::vector<std::uint64_t> recordEnds;
    // Number of bytes up to the end of the last valid record.
    std::uint64_t validBytes = 0;
};

// Decodes the records of a log file up to the first invalid one. Errors: RecordDamaged if a record
// below offset `syncedBytes` is invalid or truncated.
Result<DecodedLog> decodeLog(std::string_view bytes, std::uint64_t syncedBytes);

// Writes to a file as write(2) does. Tests pass a function that fails.
using WriteFunction = std::function<ssize_t(int file, const void *bytes, std::size_t count)>;

// Durable state of one replica. Every write may be retried after StorageFull; the retry first
// truncates what the failed write left behind.
class DiskLog
{
public:
    // Creates the folder and the identity of an initial member of a group with these members.
    // Errors: IdentityLost if the folder already holds a replica, StorageFailed, StorageFull.
    static Result<void> initialize(const std::string &folder, const std::string &vm,
                                   const consensus::Members &initialMembers);
    // Opens the folder and loads its state. If the folder is empty, creates a random identity that
    // is not an initial member. Errors: IdentityLost, RecordDamaged, StorageFailed, StorageFull.
    static Result<std::unique_ptr<DiskLog>> open(const std::string &folder, const std::string &vm,
                                                 WriteFunction write = nullptr);
    DiskLog(const DiskLog &) = delete;
    DiskLog &operator=(const DiskLog &) = delete;
    ~DiskLog();

    const ReplicaIdentity &identity() const { return identity_; }
    // The state that open() loaded.
    const consensus::StoredState &storedState() const { return storedState_; }
    // Returns true if open() truncated a torn write at the end of the log.
    bool wasTailTruncated() const { return tailWasTruncated_; }

    // Returns true if this is an initial member and neither its identity, its snapshot nor its log
    // holds the members of the group.
    bool lacksMembers() const;
    // Stores the members with which the group was founded, if they are lacking. Errors:
    // StorageFull, StorageFailed.
    Result<void> setInitialMembers(const consensus::Members &members);

    // Each write returns after the data is synced. Errors: StorageFull, StorageFailed.
    Result<void> writeHardState(const consensus::HardState &state);
    // Removes the entries with index `from` and above, then appends `entries`.
    Result<void> writeEntries(std::uint64_t from, const std::vector<consensus::Entry> &entries);
    // Replaces the snapshot, and replaces the log by `tail`.
    Result<void> writeSnapshot(const consensus::Snapshot &snapshot,
                               const std::vector<consensus::Entry> &tail);

private:
    DiskLog(std::string folder, ReplicaIdentity identity, WriteFunction write);

    Result<void> load();
    Result<void> openLog();
    Result<void> rewriteLog(std::uint64_t firstIndex, const std::vector<consensus::Entry> &entries);
    Result<void> truncateLog(std::uint64_t bytes);
    Result<void> writeSyncedOffset(std::uint64_t bytes);
    void advanceSyncedOffset();
    Result<void> replaceFile(const std::string &name, std::string_view bytes);
    std::string path(const char *name) const { return folder_ + "/" + name; }

    std::string folder_;
    ReplicaIdentity identity_;
    WriteFunction write_;
    consensus::StoredState storedState_;
    bool tailWasTruncated_ = false;
    int logFile_ = -1;
    int syncedFile_ = -1;
    std::uint64_t firstIndex_ = 1; // index of the entry in the first record
    std::vector<std::uint64_t> recordEnds_; // end offset of each record
    // A failed write may have left a partial record after the last one.
    bool hasTornTail_ = false;
};

// Returns the replica id of the initial member on VM `vm`.
std::string initialMemberId(const std::string &vm);

// Callbacks of the replicated state machine that the log drives.
struct ReplicaCallbacks
{
    // Applies a committed command. Called in log order.
    std::function<void(const consensus::Entry &)> applyEntry;
    // Replaces the applied state by that of a snapshot. Errors: RecordDamaged.
    std::function<Result<void>(const std::string &state)> restoreState;
    // Returns the applied state for a snapshot, which replaces log entries.
    std::function<std::string()> captureState;
    // The replica is no longer the leader of `term`.
    std::function<void(std::uint64_t term)> onSteppedDown;
    // A storage failure or a damaged record makes the stored state unreliable. The process must
    // exit.
    std::function<void(const Failure &)> onFatalError;
};

// Runs a consensus::Replica with its storage, messages and timers.
//
// A replica whose disk is full pauses: it handles no messages and sends nothing that depends on the
// failed write. It retries the write periodically and resumes once the write succeeds.
//
// Example:
//     ReplicaRunner runner(timers, server, clients, std::move(disk), address, timings, callbacks);
//     BOOST_LEAF_CHECK(runner.start());
//     runner.propose(command);
//
// Not thread-safe. Use it only on the thread of its event loop.
class ReplicaRunner
{
public:
    ReplicaRunner(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
                  std::unique_ptr<DiskLog> disk, const peer::Address &self,
                  const consensus::Timings &timings, ReplicaCallbacks callbacks);
    ReplicaRunner(const ReplicaRunner &) = delete;
    ReplicaRunner &operator=(const ReplicaRunner &) = delete;

    // Restores the snapshot and starts to handle messages and timers. Errors: those of
    // ReplicaCallbacks::restoreState.
    Result<void> start();
    // Appends a command to the log and returns its index. Errors: NotLeader, StorageFull.
    Result<std::uint64_t> propose(std::string payload);
    // Tells an initial member that lacks them the members with which the group was founded.
    // Otherwise does nothing. Errors: StorageFull, StorageFailed.
    Result<void> setInitialMembers(const consensus::Members &members);
    // Propose a change of the members; see consensus::Replica.
    Result<void> addMember(const consensus::MemberInfo &member);
    Result<void> removeMember(const std::string &identity);
    // Runs `change`, which may call any of the functions of the replica that change its members.
    // Returns its result.
    template <class Change>
    auto changeMembers(Change change)
        -> decltype(change(Instant(), std::declval<consensus::Replica &>()))
    {
        auto result = change(timers_.now(), replica_);
        executeActions();
        return result;
    }

    const consensus::Replica &replica() const { return replica_; }
    const ReplicaIdentity &identity() const { return disk_->identity(); }
    // Returns true if the applied state includes every committed command, so that a read is
    // linearizable.
    bool canServeReads() const { return !isStorageFull_ && replica_.canServeReads(timers_.now()); }
    // On a leader, returns the time since the last message from the replica `identity`. Returns
    // zero for the leader itself and on other replicas.
    Duration timeSinceContact(const std::string &identity) const;

private:
    void tick();
    void executeActions();
    void pauseForFullStorage(const Failure &failure);
    void resumeAfterFullStorage();
    void stopAfterFailure(const Failure &failure);
    void compactLogIfDue();
    Result<void> execute(const consensus::PersistHardState &action);
    Result<void> execute(const consensus::PersistEntries &action);
    Result<void> execute(const consensus::PersistSnapshot &action);
    Result<void> execute(const consensus::SendMessage &action);
    Result<void> execute(const consensus::ApplyEntry &action);
    Result<void> execute(const consensus::RestoreSnapshot &action);
    Result<void> execute(const consensus::BecameLeader &action);
    Result<void> execute(const consensus::SteppedDown &action);

    TimerService &timers_;
    peer::Server &server_;
    peer::ClientPool &clients_;
    std::unique_ptr<DiskLog> disk_;
    consensus::Replica replica_;
    ReplicaCallbacks callbacks_;
    std::uint64_t appliedIndex_ = 0;
    // Actions of the replica that are not executed yet, in the order that the replica requires.
    std::deque<consensus::Action> pendingActions_;
    bool isExecutingActions_ = false;
    bool isStopped_ = false;
    // While the disk is full, the replica handles no messages and executes no further actions.
    bool isStorageFull_ = false;
    Instant storageRetryAt_;
    TimerHandle tick_;
};

// Converts a member to the inner protocol, for member lists.
wire::ReplicaMember toWire(const consensus::MemberInfo &member);

} // namespace daisyhaven::replication

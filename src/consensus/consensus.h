// A replicated log with majority quorums in the manner of Raft: terms, pre-vote, leader election,
// snapshots and changes of single members. A member is replaced by another one in joint consensus:
// from the entry with both until the entry that ends it, every decision needs a majority of the
// voters before and one of the voters after the replacement.
//
// A Replica is a state machine: its inputs are messages, proposals and the current time, and its
// outputs are actions, in the order in which they must be executed. A Persist action must be on
// disk before any later action is executed. A leader that receives no replies from a majority
// within the minimum election timeout steps down by its own clock. A new member catches up as a
// non-voting learner before it counts towards the majority.
//
// Example:
//     Replica replica(self, stored, timings, seed);
//     replica.tick(now);
//     for (Action &action : replica.takeActions()) { ... }
//
// Thread safety: not thread-safe. Performs no I/O and reads no clock.
#pragma once

#include "result/result.h"
#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::consensus {

// The part that a member has in a replacement that is under way. Stored in logs: a release without
// joint consensus takes all of them for voters, whose majority meets both majorities.
enum class MemberRole : std::uint8_t {
    Voter = 0, // before and after the replacement
    Incoming = 1, // votes only after it
    Outgoing = 2, // votes only before it
};

// A replica: its VM, the ID of its data folder and its peer address.
struct MemberInfo
{
    std::string vm;
    std::string replicaId;
    std::string peerAddress;
    MemberRole role = MemberRole::Voter;

    auto tied() const { return std::tie(vm, replicaId, peerAddress, role); }
    friend bool operator==(const MemberInfo &a, const MemberInfo &b)
    {
        return a.tied() == b.tied();
    }
};

using Members = std::vector<MemberInfo>;

enum class EntryKind : std::uint8_t { Empty = 0, Command = 1, Membership = 2 };

struct Entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Empty;
    std::string payload; // set for Command
    Members members; // set for Membership

    auto tied() const { return std::tie(index, term, kind, payload, members); }
    friend bool operator==(const Entry &a, const Entry &b) { return a.tied() == b.tied(); }
};

// State that must be persisted before a message that depends on it is sent.
struct HardState
{
    std::uint64_t term = 0;
    std::string votedFor;

    friend bool operator==(const HardState &a, const HardState &b)
    {
        return a.term == b.term && a.votedFor == b.votedFor;
    }
};

struct Snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Members members;
    std::string state;

    auto tied() const { return std::tie(index, term, members, state); }
    friend bool operator==(const Snapshot &a, const Snapshot &b) { return a.tied() == b.tied(); }
};

// State that a replica reads from its disk at start.
struct StoredState
{
    HardState hardState;
    Snapshot snapshot;
    std::vector<Entry> entries;
};

enum class MessageKind : std::uint8_t {
    PreVote = 1,
    PreVoteReply = 2,
    Vote = 3,
    VoteReply = 4,
    Append = 5,
    AppendReply = 6,
    InstallSnapshot = 7,
};

// A message between replicas; `from` and `to` are replica IDs.
struct Message
{
    MessageKind kind = MessageKind::Append;
    std::string from;
    // Peer address of the sender, because a learner does not know the members yet.
    std::string fromAddress;
    std::string to;
    std::uint64_t term = 0;
    // Last log entry of the candidate, or the entry before `entries`. In an AppendReply, logIndex
    // is the last matching entry or, if rejected, the entry after which to continue.
    std::uint64_t logIndex = 0;
    std::uint64_t logTerm = 0;
    std::uint64_t commitIndex = 0;
    bool granted = false;
    std::vector<Entry> entries;
    std::optional<Snapshot> snapshot;
    // Sequence number of the request, copied into the reply.
    std::uint64_t sequence = 0;
    // In a VoteReply: time since the voter received a message from a leader.
    Duration timeSinceLeaderContact { 0 };
};

struct PersistHardState
{
    HardState state;
};
// Removes the entries from `firstIndex` on, then appends `entries`.
struct PersistEntries
{
    std::uint64_t firstIndex = 0;
    std::vector<Entry> entries;
};
// Replaces the snapshot, and the log by `tail`, the entries after the snapshot.
struct PersistSnapshot
{
    Snapshot snapshot;
    std::vector<Entry> tail;
};
struct SendMessage
{
    Message message;
    std::string peerAddress;
};
// Applies a committed entry.
struct ApplyEntry
{
    Entry entry;
};
// Replaces the applied state by the state of the snapshot.
struct RestoreSnapshot
{
    Snapshot snapshot;
};
struct BecameLeader
{
    std::uint64_t term = 0;
};
struct SteppedDown
{
    std::uint64_t term = 0;
};

using Action = std::variant<PersistHardState, PersistEntries, PersistSnapshot, SendMessage,
                            ApplyEntry, RestoreSnapshot, BecameLeader, SteppedDown>;

struct Timings
{
    Duration heartbeatInterval = Milliseconds(100);
    Duration minElectionTimeout = Milliseconds(500);
    Duration maxElectionTimeout = Milliseconds(1000);
};

class Replica
{
public:
    Replica(MemberInfo self, StoredState stored, Timings timings, std::uint64_t seed, Instant now);

    void tick(Instant now);
    void handleMessage(Instant now, const Message &message);

    // Appends a command and returns its index. Errors: NotLeader.
    Result<std::uint64_t> propose(Instant now, std::string payload);
    // Sets the members with which the group was founded, for a replica that knows no members.
    void setInitialMembers(const Members &members);
    // Sets the replicas that receive the log without a vote. Does nothing on other replicas than
    // the leader.
    void setLearners(Instant now, const Members &learners);
    // Returns whether a learner of this leader has held every committed entry and still replies.
    bool isCaughtUp(Instant now, const std::string &replicaId) const;
    // Adds or removes a member. A new member is added only after it has caught up as a learner.
    // Errors: NotLeader, VersionConflict if another membership change is in progress;
    // removeMember() also FloorViolated if `replicaId` is the last member.
    Result<void> addMember(Instant now, const MemberInfo &member);
    Result<void> removeMember(Instant now, const std::string &replicaId);
    // Replaces the member `outgoing` by a learner that has caught up. The number of voters stays as
    // it is. Errors: NotLeader, VersionConflict if another membership change is in progress, or
    // `outgoing` is no member, or `incoming` is one or has not caught up.
    Result<void> replaceMember(Instant now, const std::string &outgoing,
                               const MemberInfo &incoming);
    // Replaces the log up to `index` by a snapshot with `state`, the applied state at that index.
    void compact(std::uint64_t index, std::string state);

    std::vector<Action> takeActions();

    bool isLeader() const { return role_ == Role::Leader; }
    // Returns true if this replica is the leader, a majority has replied to it within its lease,
    // and the first entry of its term is committed. Its applied state is then the newest.
    bool canServeReads(Instant now) const;
    // Returns the time since this leader last received a reply from `replicaId`; zero for itself
    // and on replicas that are not the leader.
    Duration timeSinceContact(Instant now, const std::string &replicaId) const;
    // Returns the time before the election of this leader during which no other leader can have
    // held a lease.
    Duration leaderlessTimeBeforeElection() const { return leaderlessTimeBeforeElection_; }
    std::uint64_t term() const { return hardState_.term; }
    std::uint64_t commitIndex() const { return commitIndex_; }
    std::uint64_t lastIndex() const;
    std::uint64_t firstIndex() const { return snapshot_.index + 1; }
    // Returns the bytes of the payloads of all entries after the snapshot.
    std::size_t logBytes() const;
    const Members &members() const { return members_; }
    // Index of the log entry with the latest members, or of the snapshot that holds them.
    std::uint64_t membershipIndex() const { return membershipIndex_; }
    // Returns the leader, if known.
    std::optional<MemberInfo> leader() const;
    const MemberInfo &self() const { return self_; }
    bool isMember() const;

private:
    enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

    // Replication progress of one member or learner, kept by the leader.
    struct Progress
    {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        Instant lastContactAt;
        Instant lastSentAt;
        // Entries or a snapshot up to `awaitedIndex` are on the way.
        bool awaitingReply = false;
        std::uint64_t awaitedIndex = 0;
        // The replica has held every entry that was committed at that time.
        bool hasCaughtUp = false;
    };

    void becomeFollower(Instant now, std::uint64_t term, const std::string &leader);
    void startPreVote(Instant now);
    void startElection(Instant now);
    void becomeLeader(Instant now);
    void resetElectionTimer(Instant now);
    void broadcastAppend(Instant now);
    void sendAppend(Instant now, const MemberInfo &member);
    void send(Message message, const std::string &address);
    void replyTo(const Message &request, MessageKind kind, bool granted, std::uint64_t logIndex,
                 Duration timeSinceLeaderContact = Duration(0));
    void handleVoteRequest(Instant now, const Message &message);
    void handleVoteReply(Instant now, const Message &message);
    void handleAppend(Instant now, const Message &message);
    void handleAppendReply(Instant now, const Message &message);
    void handleSnapshot(Instant now, const Message &message);
    void advanceCommitIndex(Instant now);
    void finishReplacement(Instant now);
    void commitThrough(std::uint64_t index);
    void appendAsLeader(Instant now, Entry entry);
    void addLearner(Instant now, const MemberInfo &learner);
    void promoteLearnerIfCaughtUp(Instant now);
    void persistHardState();
    void updateMembersFromLog();
    bool isLogUpToDate(std::uint64_t index, std::uint64_t term) const;
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    const Entry &entryAt(std::uint64_t index) const;
    // Returns the greatest value that a quorum reaches; `valueOf` returns that of a member. While a
    // member is replaced, a quorum has a majority before and one after the replacement.
    template <class ValueOf> auto quorumValue(ValueOf valueOf) const;
    template <class ValueOf> auto majorityValue(MemberRole excluded, ValueOf valueOf) const;
    bool hasVotesOfQuorum() const;
    // Returns the time of the latest request to which a quorum has replied.
    Instant quorumContactAt(Instant now) const;
    bool canChangeMembers() const;
    bool isReplacing() const;
    bool containsMember(const std::string &replicaId) const;
    std::string addressOf(const std::string &replicaId) const;

    MemberInfo self_;
    HardState hardState_;
    Snapshot snapshot_;
    std::vector<Entry> entries_;
    Timings timings_;
    std::mt19937_64 random_;
    Role role_ = Role::Follower;
    std::string leader_;
    std::uint64_t commitIndex_ = 0;
    Members members_;
    std::uint64_t membershipIndex_ = 0;
    // Replicas that receive the log without a vote, by ID; kept by the leader.
    std::map<std::string, MemberInfo> learners_;
    // The learner that becomes a member once it has caught up.
    std::optional<MemberInfo> promoted_;
    std::map<std::string, Progress> progress_;
    std::set<std::string> votes_;
    Instant electionDeadline_;
    Instant nextHeartbeatAt_;
    Instant lastLeaderContactAt_;
    Instant electedAt_;
    // Minimum over this candidate and the replicas that voted for it.
    Duration minTimeSinceLeaderContact_ { 0 };
    Duration leaderlessTimeBeforeElection_ { 0 };
    std::uint64_t firstIndexOfTerm_ = 0;
    // Sequence number of the requests of the present election.
    std::uint64_t electionSequence_ = 0;
    std::vector<Action> actions_;
};

} // namespace daisyhaven::consensus

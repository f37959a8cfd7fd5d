#include "consensus/consensus.h"

#include <algorithm>

namespace daisyhaven::consensus {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 256;
constexpr std::size_t MaxBytesPerMessage = 1024UL * 1024;
// Entries or a snapshot without a reply are sent again after this time.
constexpr Milliseconds ResendAfter { 300 };
// Length of a leader's lease, in percent of the minimum election timeout. Within its lease a leader
// is the only one.
constexpr int LeaderLeasePercent = 90;

} // namespace

Replica::Replica(MemberInfo self, StoredState stored, Timings timings, std::uint64_t seed,
                 Instant now)
    : self_(std::move(self)), hardState_(std::move(stored.hardState)),
      snapshot_(std::move(stored.snapshot)), entries_(std::move(stored.entries)), timings_(timings),
      random_(seed), commitIndex_(snapshot_.index), lastLeaderContactAt_(now)
{
    // Replies to requests from before a restart must not match those from after it.
    electionSequence_ = random_();
    updateMembersFromLog();
    resetElectionTimer(now);
}

std::uint64_t Replica::lastIndex() const
{
    return entries_.empty() ? snapshot_.index : entries_.back().index;
}

std::size_t Replica::logBytes() const
{
    std::size_t bytes = 0;
    for (const Entry &entry : entries_) {
        bytes += entry.payload.size();
    }
    return bytes;
}

std::optional<std::uint64_t> Replica::termAt(std::uint64_t index) const
{
    if (index == snapshot_.index) {
        return snapshot_.term;
    }
    if (index < snapshot_.index || index > lastIndex()) {
        return std::nullopt;
    }
    return entryAt(index).term;
}

const Entry &Replica::entryAt(std::uint64_t index) const
{
    return entries_[static_cast<std::size_t>(index - snapshot_.index - 1)];
}

bool Replica::containsMember(const std::string &replicaId) const
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](const MemberInfo &member) { return member.replicaId == replicaId; });
}

bool Replica::isMember() const
{
    return containsMember(self_.replicaId);
}

std::string Replica::addressOf(const std::string &replicaId) const
{
    for (const MemberInfo &member : members_) {
        if (member.replicaId == replicaId) {
            return member.peerAddress;
        }
    }
    const auto learner = learners_.find(replicaId);
    return learner == learners_.end() ? "" : learner->second.peerAddress;
}

template <class ValueOf> auto Replica::majorityValue(MemberRole excluded, ValueOf valueOf) const
{
    std::vector<decltype(valueOf(std::declval<const MemberInfo &>()))> values;
    for (const MemberInfo &member : members_) {
        if (member.role != excluded) {
            values.push_back(valueOf(member));
        }
    }
    std::sort(values.rbegin(), values.rend());
    return values[values.size() / 2];
}

template <class ValueOf> auto Replica::quorumValue(ValueOf valueOf) const
{
    const auto before = majorityValue(MemberRole::Incoming, valueOf);
    const auto after = majorityValue(MemberRole::Outgoing, valueOf);
    return std::min(before, after);
}

bool Replica::hasVotesOfQuorum() const
{
    return quorumValue([this](const MemberInfo &member) { return votes_.count(member.replicaId); })
        == 1;
}

Instant Replica::quorumContactAt(Instant now) const
{
    return quorumValue([&](const MemberInfo &member) {
        const auto progress = progress_.find(member.replicaId);
        const Instant contact =
            progress == progress_.end() ? Instant() : progress->second.lastContactAt;
        return member.replicaId == self_.replicaId ? now : contact;
    });
}

std::optional<MemberInfo> Replica::leader() const
{
    if (role_ == Role::Leader) {
        return self_;
    }
    for (const MemberInfo &member : members_) {
        if (member.replicaId == leader_) {
            return member;
        }
    }
    return std::nullopt;
}

// A membership takes effect as soon as its entry is in the log, before the entry is committed.
void Replica::updateMembersFromLog()
{
    members_ = snapshot_.members;
    membershipIndex_ = snapshot_.index;
    for (const Entry &entry : entries_) {
        if (entry.kind == EntryKind::Membership) {
            members_ = entry.members;
            membershipIndex_ = entry.index;
        }
    }
}

void Replica::setInitialMembers(const Members &members)
{
    if (members_.empty() && snapshot_.index == 0) {
        snapshot_.members = members;
        updateMembersFromLog();
    }
}

void Replica::resetElectionTimer(Instant now)
{
    std::uniform_int_distribution<Duration::rep> timeout(timings_.minElectionTimeout.count(),
                                                         timings_.maxElectionTimeout.count());
    electionDeadline_ = now + Duration(timeout(random_));
}

void Replica::persistHardState()
{
    actions_.emplace_back(PersistHardState { hardState_ });
}

void Replica::send(Message message, const std::string &address)
{
    message.from = self_.replicaId;
    message.fromAddress = self_.peerAddress;
    actions_.emplace_back(SendMessage { std::move(message), address });
}

void Replica::replyTo(const Message &request, MessageKind kind, bool granted,
                      std::uint64_t logIndex, Duration timeSinceLeaderContact)
{
    Message reply;
    reply.timeSinceLeaderContact = timeSinceLeaderContact;
    reply.kind = kind;
    reply.to = request.from;
    reply.term = hardState_.term;
    reply.granted = granted;
    reply.logIndex = logIndex;
    reply.sequence = request.sequence;
    send(std::move(reply), request.fromAddress);
}

std::vector<Action> Replica::takeActions()
{
    std::vector<Action> actions;
    actions.swap(actions_);
    return actions;
}

void Replica::becomeFollower(Instant now, std::uint64_t term, const std::string &leader)
{
    if (role_ == Role::Leader) {
        actions_.emplace_back(SteppedDown { hardState_.term });
        learners_.clear();
        promoted_.reset();
        resetElectionTimer(now);
    }
    role_ = Role::Follower;
    leader_ = leader;
    if (term > hardState_.term) {
        hardState_ = { term, "" };
        persistHardState();
    }
}

void Replica::tick(Instant now)
{
    if (role_ == Role::Leader) {
        const bool lostQuorum = now - quorumContactAt(now) > timings_.minElectionTimeout;
        if (lostQuorum) {
            becomeFollower(now, hardState_.term, "");
            return;
        }
        if (now >= nextHeartbeatAt_) {
            broadcastAppend(now);
        }
        return;
    }
    if (now >= electionDeadline_ && isMember()) {
        startPreVote(now);
    }
}

void Replica::startPreVote(Instant now)
{
    resetElectionTimer(now);
    role_ = Role::PreCandidate;
    leader_.clear();
    votes_ = { self_.replicaId };
    ++electionSequence_;
    if (hasVotesOfQuorum()) {
        startElection(now);
        return;
    }
    for (const MemberInfo &member : members_) {
        if (member.replicaId == self_.replicaId) {
            continue;
        }
        Message message;
        message.kind = MessageKind::PreVote;
        message.to = member.replicaId;
        message.term = hardState_.term + 1;
        message.logIndex = lastIndex();
        message.logTerm = *termAt(lastIndex());
        message.sequence = electionSequence_;
        send(std::move(message), member.peerAddress);
    }
}

void Replica::startElection(Instant now)
{
    resetElectionTimer(now);
    role_ = Role::Candidate;
    hardState_ = { hardState_.term + 1, self_.replicaId };
    persistHardState();
    votes_ = { self_.replicaId };
    minTimeSinceLeaderContact_ = now - lastLeaderContactAt_;
    ++electionSequence_;
    if (hasVotesOfQuorum()) {
        becomeLeader(now);
        return;
    }
    for (const MemberInfo &member : members_) {
        if (member.replicaId == self_.replicaId) {
            continue;
        }
        Message message;
        message.kind = MessageKind::Vote;
        message.to = member.replicaId;
        message.term = hardState_.term;
        message.logIndex = lastIndex();
        message.logTerm = *termAt(lastIndex());
        message.sequence = electionSequence_;
        send(std::move(message), member.peerAddress);
    }
}

void Replica::becomeLeader(Instant now)
{
    role_ = Role::Leader;
    leader_ = self_.replicaId;
    electedAt_ = now;
    // At least one voter was in the last majority that replied to an earlier leader.
    const Duration lease = timings_.minElectionTimeout * LeaderLeasePercent / 100;
    leaderlessTimeBeforeElection_ =
        std::max<Duration>(minTimeSinceLeaderContact_ - lease, Duration(0));
    progress_.clear();
    for (const MemberInfo &member : members_) {
        Progress &progress = progress_[member.replicaId];
        progress.nextIndex = lastIndex() + 1;
        progress.lastContactAt = now;
    }
    actions_.emplace_back(BecameLeader { hardState_.term });
    firstIndexOfTerm_ = lastIndex() + 1;
    Entry first;
    if (membershipIndex_ == 0) {
        // The log of a group whose members have never changed would not name them.
        first.kind = EntryKind::Membership;
        first.members = members_;
    }
    appendAsLeader(now, std::move(first));
}

void Replica::appendAsLeader(Instant now, Entry entry)
{
    entry.index = lastIndex() + 1;
    entry.term = hardState_.term;
    entries_.push_back(entry);
    if (entry.kind == EntryKind::Membership) {
        updateMembersFromLog();
    }
    const std::uint64_t index = entry.index;
    actions_.emplace_back(PersistEntries { index, { std::move(entry) } });
    progress_[self_.replicaId].matchIndex = index;
    advanceCommitIndex(now);
    broadcastAppend(now);
}

Result<std::uint64_t> Replica::propose(Instant now, std::string payload)
{
    if (role_ != Role::Leader) {
        return fail(ResultCode::NotLeader, "");
    }
    Entry entry;
    entry.kind = EntryKind::Command;
    entry.payload = std::move(payload);
    appendAsLeader(now, std::move(entry));
    return lastIndex();
}

Result<void> Replica::addMember(Instant now, const MemberInfo &member)
{
    if (role_ != Role::Leader) {
        return fail(ResultCode::NotLeader, "");
    }
    const bool otherPromoted = promoted_ && !(*promoted_ == member);
    if (!canChangeMembers() || otherPromoted) {
        return fail(ResultCode::VersionConflict, "another membership change is in progress");
    }
    if (containsMember(member.replicaId)) {
        return {};
    }
    promoted_ = member;
    addLearner(now, member);
    promoteLearnerIfCaughtUp(now);
    return {};
}

void Replica::addLearner(Instant now, const MemberInfo &learner)
{
    const bool known =
        containsMember(learner.replicaId) || !learners_.emplace(learner.replicaId, learner).second;
    if (known) {
        return;
    }
    Progress progress;
    progress.nextIndex = lastIndex() + 1;
    progress.lastContactAt = now;
    progress_[learner.replicaId] = progress;
    sendAppend(now, learner);
}

void Replica::setLearners(Instant now, const Members &learners)
{
    if (role_ != Role::Leader) {
        return;
    }
    const auto isWanted = [&](const std::string &replicaId) {
        return std::any_of(learners.begin(), learners.end(), [&](const MemberInfo &learner) {
            return learner.replicaId == replicaId;
        });
    };
    for (auto learner = learners_.begin(); learner != learners_.end();) {
        learner = isWanted(learner->first) ? std::next(learner) : learners_.erase(learner);
    }
    if (promoted_ && !isWanted(promoted_->replicaId)) {
        promoted_.reset();
    }
    for (const MemberInfo &learner : learners) {
        addLearner(now, learner);
    }
}

bool Replica::isCaughtUp(Instant now, const std::string &replicaId) const
{
    const auto progress = progress_.find(replicaId);
    return learners_.count(replicaId) != 0 && progress != progress_.end()
        && progress->second.hasCaughtUp
        && now - progress->second.lastContactAt <= timings_.minElectionTimeout;
}

// A change begins once the previous one and the first entry of this leader's term are committed.
bool Replica::canChangeMembers() const
{
    return membershipIndex_ <= commitIndex_ && commitIndex_ >= firstIndexOfTerm_ && !isReplacing();
}

bool Replica::isReplacing() const
{
    return std::any_of(members_.begin(), members_.end(),
                       [](const MemberInfo &member) { return member.role != MemberRole::Voter; });
}

Result<void> Replica::replaceMember(Instant now, const std::string &outgoing,
                                    const MemberInfo &incoming)
{
    if (role_ != Role::Leader) {
        return fail(ResultCode::NotLeader, "");
    }
    if (!canChangeMembers()) {
        return fail(ResultCode::VersionConflict, "another membership change is in progress");
    }
    const bool possible = containsMember(outgoing) && !containsMember(incoming.replicaId)
        && isCaughtUp(now, incoming.replicaId);
    if (!possible) {
        return fail(ResultCode::VersionConflict,
                    outgoing + " cannot be replaced by " + incoming.replicaId + " now");
    }
    Entry entry;
    entry.kind = EntryKind::Membership;
    entry.members = members_;
    for (MemberInfo &member : entry.members) {
        member.role = member.replicaId == outgoing ? MemberRole::Outgoing : MemberRole::Voter;
    }
    entry.members.push_back(incoming);
    entry.members.back().role = MemberRole::Incoming;
    learners_.erase(incoming.replicaId);
    appendAsLeader(now, std::move(entry));
    return {};
}

// Appends the entry that ends a replacement, once the entry that began it is committed. A new
// leader ends the replacement that its predecessor began.
void Replica::finishReplacement(Instant now)
{
    const bool due = role_ == Role::Leader && isReplacing() && membershipIndex_ <= commitIndex_
        && commitIndex_ >= firstIndexOfTerm_;
    if (!due) {
        return;
    }
    Entry entry;
    entry.kind = EntryKind::Membership;
    for (const MemberInfo &member : members_) {
        if (member.role != MemberRole::Outgoing) {
            entry.members.push_back(member);
            entry.members.back().role = MemberRole::Voter;
        }
    }
    appendAsLeader(now, std::move(entry));
}

Result<void> Replica::removeMember(Instant now, const std::string &replicaId)
{
    if (role_ != Role::Leader) {
        return fail(ResultCode::NotLeader, "");
    }
    if (!canChangeMembers()) {
        return fail(ResultCode::VersionConflict, "another membership change is in progress");
    }
    Entry entry;
    entry.kind = EntryKind::Membership;
    for (const MemberInfo &member : members_) {
        if (member.replicaId != replicaId) {
            entry.members.push_back(member);
        }
    }
    if (entry.members.size() == members_.size()) {
        return {};
    }
    if (entry.members.empty()) {
        return fail(ResultCode::FloorViolated,
                    "the last member of the control group cannot be removed");
    }
    appendAsLeader(now, std::move(entry));
    return {};
}

// Makes the learner a member once it holds all committed entries.
void Replica::promoteLearnerIfCaughtUp(Instant now)
{
    const bool due = promoted_ && canChangeMembers() && isCaughtUp(now, promoted_->replicaId);
    if (!due) {
        return;
    }
    Entry entry;
    entry.kind = EntryKind::Membership;
    entry.members = members_;
    entry.members.push_back(*promoted_);
    learners_.erase(promoted_->replicaId);
    promoted_.reset();
    appendAsLeader(now, std::move(entry));
}

void Replica::broadcastAppend(Instant now)
{
    nextHeartbeatAt_ = now + timings_.heartbeatInterval;
    for (const MemberInfo &member : members_) {
        if (member.replicaId != self_.replicaId) {
            sendAppend(now, member);
        }
    }
    for (const auto &[replicaId, learner] : learners_) {
        sendAppend(now, learner);
    }
}

void Replica::sendAppend(Instant now, const MemberInfo &member)
{
    Progress &progress = progress_[member.replicaId];
    Message message;
    message.to = member.replicaId;
    message.term = hardState_.term;
    message.commitIndex = commitIndex_;
    // Copied into the reply, so that the contact counts from the time at which the request was
    // sent.
    message.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t previous = progress.nextIndex - 1;
    const auto previousTerm = termAt(previous);
    if (!previousTerm) {
        const bool replyPending = progress.awaitingReply && now - progress.lastSentAt < ResendAfter;
        if (replyPending) {
            return;
        }
        message.kind = MessageKind::InstallSnapshot;
        message.snapshot = snapshot_;
    } else {
        message.kind = MessageKind::Append;
        message.logIndex = previous;
        message.logTerm = *previousTerm;
        const bool replyPending = progress.awaitingReply && now - progress.lastSentAt < ResendAfter;
        std::size_t bytes = 0;
        for (std::uint64_t index = progress.nextIndex; !replyPending && index <= lastIndex();
             ++index) {
            const Entry &entry = entryAt(index);
            bytes += entry.payload.size();
            message.entries.push_back(entry);
            const bool full =
                message.entries.size() >= MaxEntriesPerMessage || bytes >= MaxBytesPerMessage;
            if (full) {
                break;
            }
        }
    }
    if (!message.entries.empty() || message.snapshot) {
        progress.awaitingReply = true;
        progress.awaitedIndex =
            message.snapshot ? message.snapshot->index : message.entries.back().index;
        progress.lastSentAt = now;
    }
    send(std::move(message), member.peerAddress);
}

bool Replica::isLogUpToDate(std::uint64_t index, std::uint64_t term) const
{
    const std::uint64_t ownTerm = *termAt(lastIndex());
    return term > ownTerm || (term == ownTerm && index >= lastIndex());
}

void Replica::handleMessage(Instant now, const Message &message)
{
    if (message.to != self_.replicaId) {
        return;
    }
    switch (message.kind) {
    case MessageKind::PreVote:
    case MessageKind::Vote:
        handleVoteRequest(now, message);
        return;
    case MessageKind::PreVoteReply:
    case MessageKind::VoteReply:
        handleVoteReply(now, message);
        return;
    case MessageKind::Append:
        handleAppend(now, message);
        return;
    case MessageKind::AppendReply:
        handleAppendReply(now, message);
        return;
    case MessageKind::InstallSnapshot:
        handleSnapshot(now, message);
        return;
    }
}

void Replica::handleVoteRequest(Instant now, const Message &message)
{
    // A replica in contact with a leader grants no vote and does not adopt the candidate's term, so
    // that a partitioned candidate cannot replace a working leader.
    const bool hasLeaderContact =
        role_ == Role::Leader || now - lastLeaderContactAt_ < timings_.minElectionTimeout;
    if (message.kind == MessageKind::PreVote) {
        const bool granted = !hasLeaderContact && message.term > hardState_.term
            && isLogUpToDate(message.logIndex, message.logTerm);
        replyTo(message, MessageKind::PreVoteReply, granted, 0);
        return;
    }
    if (hasLeaderContact) {
        return;
    }
    if (message.term > hardState_.term) {
        becomeFollower(now, message.term, "");
    }
    const bool mayVote = hardState_.votedFor.empty() || hardState_.votedFor == message.from;
    const bool granted = message.term == hardState_.term && mayVote
        && isLogUpToDate(message.logIndex, message.logTerm);
    if (granted) {
        if (hardState_.votedFor.empty()) {
            hardState_.votedFor = message.from;
            persistHardState();
        }
        resetElectionTimer(now);
    }
    replyTo(message, MessageKind::VoteReply, granted, 0, now - lastLeaderContactAt_);
}

void Replica::handleVoteReply(Instant now, const Message &message)
{
    if (message.term > hardState_.term && message.kind == MessageKind::VoteReply) {
        becomeFollower(now, message.term, "");
        return;
    }
    const bool current = message.sequence == electionSequence_ && containsMember(message.from);
    if (!current) {
        return;
    }
    if (!message.granted) {
        // The voter is in a later term. Adopting that term lets the next pre-vote be granted.
        if (message.term > hardState_.term) {
            becomeFollower(now, message.term, "");
        }
        return;
    }
    // A vote holds for its own term only. The reply to a pre-vote names the term of the voter.
    const bool expected = (role_ == Role::PreCandidate && message.kind == MessageKind::PreVoteReply)
        || (role_ == Role::Candidate && message.kind == MessageKind::VoteReply
            && message.term == hardState_.term);
    if (!expected) {
        return;
    }
    votes_.insert(message.from);
    minTimeSinceLeaderContact_ =
        std::min(minTimeSinceLeaderContact_, message.timeSinceLeaderContact);
    if (!hasVotesOfQuorum()) {
        return;
    }
    if (role_ == Role::PreCandidate) {
        startElection(now);
    } else {
        becomeLeader(now);
    }
}

void Replica::handleAppend(Instant now, const Message &message)
{
    if (message.term < hardState_.term) {
        replyTo(message, MessageKind::AppendReply, false, lastIndex());
        return;
    }
    becomeFollower(now, message.term, message.from);
    lastLeaderContactAt_ = now;
    resetElectionTimer(now);
    if (message.logIndex < snapshot_.index) {
        // All entries up to the snapshot are committed and equal on all replicas.
        replyTo(message, MessageKind::AppendReply, false, snapshot_.index);
        return;
    }
    const auto ownTerm = termAt(message.logIndex);
    if (!ownTerm || *ownTerm != message.logTerm) {
        const std::uint64_t hint = std::min(lastIndex(), message.logIndex - 1);
        replyTo(message, MessageKind::AppendReply, false, std::max(hint, commitIndex_));
        return;
    }
    std::vector<Entry> newEntries;
    for (const Entry &entry : message.entries) {
        const auto present = termAt(entry.index);
        if (newEntries.empty() && present && *present == entry.term) {
            continue;
        }
        newEntries.push_back(entry);
    }
    if (!newEntries.empty()) {
        const std::uint64_t from = newEntries.front().index;
        entries_.resize(static_cast<std::size_t>(from - snapshot_.index - 1));
        entries_.insert(entries_.end(), newEntries.begin(), newEntries.end());
        actions_.emplace_back(PersistEntries { from, std::move(newEntries) });
        updateMembersFromLog();
    }
    const std::uint64_t matched = message.logIndex + message.entries.size();
    commitThrough(std::min(message.commitIndex, matched));
    replyTo(message, MessageKind::AppendReply, true, matched);
}

void Replica::handleAppendReply(Instant now, const Message &message)
{
    if (message.term > hardState_.term) {
        becomeFollower(now, message.term, "");
        return;
    }
    const auto found = progress_.find(message.from);
    if (role_ != Role::Leader || message.term != hardState_.term || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    const Instant requestSentAt { Duration(static_cast<Duration::rep>(message.sequence)) };
    progress.lastContactAt = std::max(progress.lastContactAt, std::min(requestSentAt, now));
    // The reply to a message without entries may arrive while larger entries are still on the way.
    if (!message.granted || message.logIndex >= progress.awaitedIndex) {
        progress.awaitingReply = false;
    }
    if (message.granted) {
        progress.matchIndex = std::max(progress.matchIndex, message.logIndex);
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        const bool holdsCommitted = progress.matchIndex >= commitIndex_ && progress.matchIndex > 0;
        progress.hasCaughtUp = progress.hasCaughtUp || holdsCommitted;
        advanceCommitIndex(now);
        promoteLearnerIfCaughtUp(now);
    } else {
        progress.nextIndex =
            std::max(progress.matchIndex, std::min(message.logIndex, lastIndex())) + 1;
    }
    const bool hasMoreEntries = !progress.awaitingReply && progress.nextIndex <= lastIndex();
    const std::string address = addressOf(message.from);
    if (hasMoreEntries && !address.empty()) {
        sendAppend(now, { "", message.from, address });
    }
}

void Replica::handleSnapshot(Instant now, const Message &message)
{
    if (message.term < hardState_.term || !message.snapshot) {
        replyTo(message, MessageKind::AppendReply, false, lastIndex());
        return;
    }
    becomeFollower(now, message.term, message.from);
    lastLeaderContactAt_ = now;
    resetElectionTimer(now);
    if (message.snapshot->index > commitIndex_) {
        const auto ownTerm = termAt(message.snapshot->index);
        const bool tailMatches = ownTerm && *ownTerm == message.snapshot->term;
        std::vector<Entry> tail;
        for (const Entry &entry : entries_) {
            if (tailMatches && entry.index > message.snapshot->index) {
                tail.push_back(entry);
            }
        }
        snapshot_ = *message.snapshot;
        entries_ = std::move(tail);
        commitIndex_ = snapshot_.index;
        updateMembersFromLog();
        actions_.emplace_back(PersistSnapshot { snapshot_, entries_ });
        actions_.emplace_back(RestoreSnapshot { snapshot_ });
    }
    replyTo(message, MessageKind::AppendReply, true, message.snapshot->index);
}

void Replica::advanceCommitIndex(Instant now)
{
    const std::uint64_t index = quorumValue(
        [this](const MemberInfo &member) { return progress_[member.replicaId].matchIndex; });
    const auto term = termAt(index);
    if (index > commitIndex_ && term && *term == hardState_.term) {
        commitThrough(index);
        finishReplacement(now);
    }
}

void Replica::commitThrough(std::uint64_t index)
{
    while (commitIndex_ < std::min(index, lastIndex())) {
        ++commitIndex_;
        const Entry &entry = entryAt(commitIndex_);
        actions_.emplace_back(ApplyEntry { entry });
    }
    const bool selfRemoved =
        role_ == Role::Leader && commitIndex_ >= membershipIndex_ && !isMember();
    if (selfRemoved) {
        actions_.emplace_back(SteppedDown { hardState_.term });
        learners_.clear();
        promoted_.reset();
        role_ = Role::Follower;
        leader_.clear();
    }
}

bool Replica::canServeReads(Instant now) const
{
    if (role_ != Role::Leader || commitIndex_ < firstIndexOfTerm_) {
        return false;
    }
    return now - quorumContactAt(now) <= timings_.minElectionTimeout * LeaderLeasePercent / 100;
}

Duration Replica::timeSinceContact(Instant now, const std::string &replicaId) const
{
    const auto progress = progress_.find(replicaId);
    const bool notTracked = role_ != Role::Leader || replicaId == self_.replicaId;
    if (notTracked || progress == progress_.end()) {
        return Duration(0);
    }
    return now - std::max(progress->second.lastContactAt, electedAt_);
}

void Replica::compact(std::uint64_t index, std::string state)
{
    const bool canCompact = index > snapshot_.index && index <= commitIndex_;
    if (!canCompact) {
        return;
    }
    Snapshot snapshot;
    snapshot.index = index;
    snapshot.term = *termAt(index);
    snapshot.members = snapshot_.members;
    for (const Entry &entry : entries_) {
        if (entry.index <= index && entry.kind == EntryKind::Membership) {
            snapshot.members = entry.members;
        }
    }
    snapshot.state = std::move(state);
    const auto compactedCount = static_cast<std::ptrdiff_t>(index - snapshot_.index);
    entries_.erase(entries_.begin(), entries_.begin() + compactedCount);
    snapshot_ = std::move(snapshot);
    actions_.emplace_back(PersistSnapshot { snapshot_, entries_ });
}

} // namespace daisyhaven::consensus

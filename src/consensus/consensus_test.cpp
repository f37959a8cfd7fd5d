#include "consensus/consensus.h"

#include "testing/lossynetwork.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>

namespace daisyhaven::consensus {
namespace {

constexpr Milliseconds Step { 10 };
constexpr int InitialMemberCount = 3;
constexpr int NodeCount = 3;
constexpr std::uint64_t CompactAfter = 8;

std::string replicaIdOf(int node, int disk)
{
    return "replica" + std::to_string(node) + "." + std::to_string(disk);
}

// Replicas with disks that communicate over a lossy network. The test compares the entries that
// they apply with one sequence of committed entries.
class ConsensusCluster
{
public:
    explicit ConsensusCluster(std::uint64_t seed)
        : seed_(seed), network_(seed, { 0.02, 0.05, Milliseconds(20) })
    {
        for (int i = 0; i < InitialMemberCount; ++i) {
            initialMembers_.push_back(
                { "vm" + std::to_string(i), replicaIdOf(i, 0), std::to_string(i) });
        }
        for (int i = 0; i < NodeCount; ++i) {
            Node node;
            node.info = initialMembers_[static_cast<std::size_t>(i)];
            node.disk.snapshot.members = initialMembers_;
            nodes_.push_back(std::move(node));
            restart(i);
        }
    }

    void injectFault(int kind, int a, int b)
    {
        Node &node = nodes_[static_cast<std::size_t>(a % NodeCount)];
        switch (kind % 8) {
        case 0:
            network_.cutLink(a % NodeCount, b % NodeCount);
            break;
        case 1:
            for (int i = 0; i < NodeCount; ++i) {
                network_.cutLink(a % NodeCount, i);
                network_.cutLink(i, a % NodeCount);
            }
            break;
        case 2:
            network_.restoreAllLinks();
            break;
        case 3:
            node.frozenUntil = now_ + Milliseconds(100 * (b % 25));
            break;
        case 4:
            restart(a % NodeCount);
            break;
        case 5:
            loseDisk(a % NodeCount);
            break;
        case 6:
            network_.setFaults({ (b % 4) * 0.1, 0.1, Milliseconds(2 + 30 * (a % 12)) });
            break;
        default:
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

    void removeAllFaults()
    {
        network_.restoreAllLinks();
        network_.setFaults({ 0, 0, Milliseconds(2) });
        for (Node &node : nodes_) {
            node.frozenUntil = now_;
        }
    }

    std::string violation() const { return violation_; }
    std::size_t committedCount() const { return committedEntries_.size(); }
    bool allIntact() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [](const Node &node) { return node.intact; });
    }

private:
    struct Node
    {
        MemberInfo info;
        StoredState disk;
        std::unique_ptr<Replica> replica;
        std::uint64_t applied = 0;
        Instant frozenUntil;
        int diskReplacements = 0;
        bool intact = true; // the disk holds every entry that the replica has acknowledged
    };

    void restart(int index)
    {
        Node &node = nodes_[static_cast<std::size_t>(index)];
        node.replica = std::make_unique<Replica>(
            node.info, node.disk, Timings {},
            seed_ + static_cast<std::uint64_t>(index) + now_.time_since_epoch().count(), now_);
        node.applied = node.disk.snapshot.index;
    }

    // Loses the disk; the VM restarts under a new replica ID and is replaced by an operator. At
    // most one replica is being replaced at a time.
    void loseDisk(int index)
    {
        for (const Node &node : nodes_) {
            if (!node.intact) {
                return;
            }
        }
        Node &node = nodes_[static_cast<std::size_t>(index)];
        ++node.diskReplacements;
        lostReplicaId_ = node.info.replicaId;
        node.info.replicaId = replicaIdOf(index, node.diskReplacements);
        node.disk = StoredState {};
        node.intact = false;
        restart(index);
    }

    void step()
    {
        network_.deliver(now_, [this](int, int to, const Message &message) {
            Node &node = nodes_[static_cast<std::size_t>(to)];
            if (now_ >= node.frozenUntil) {
                node.replica->handleMessage(now_, message);
                executeActions(to);
            }
        });
        for (int i = 0; i < NodeCount; ++i) {
            Node &node = nodes_[static_cast<std::size_t>(i)];
            if (now_ < node.frozenUntil) {
                continue;
            }
            checkReadIsCurrent(*node.replica);
            node.replica->tick(now_);
            executeActions(i);
            operateOnLeader(i);
        }
    }

    void checkReadIsCurrent(const Replica &replica)
    {
        if (replica.canServeReads(now_) && replica.commitIndex() < committedEntries_.size()) {
            violation_ = "a read misses a committed entry";
        }
    }

    // Operations of operators at the leader: write, read and replace lost replicas.
    void operateOnLeader(int index)
    {
        Replica &replica = *nodes_[static_cast<std::size_t>(index)].replica;
        checkReadIsCurrent(replica);
        if (!replica.isLeader()) {
            return;
        }
        if (network_.randomBool(0.1)) {
            const auto proposed =
                attempt([&] { return replica.propose(now_, std::to_string(++proposals_)); });
            static_cast<void>(proposed);
        }
        replaceLostReplicas(replica);
        executeActions(index);
    }

    void replaceLostReplicas(Replica &replica)
    {
        for (Node &node : nodes_) {
            if (node.intact) {
                continue;
            }
            const auto changed = attempt([&]() -> Result<bool> {
                BOOST_LEAF_CHECK(replica.removeMember(now_, lostReplicaId_));
                BOOST_LEAF_CHECK(replica.addMember(now_, node.info));
                return true;
            });
            static_cast<void>(changed);
            const auto &members = replica.members();
            const bool joined =
                std::find(members.begin(), members.end(), node.info) != members.end();
            node.intact =
                joined && node.replica->isMember() && replica.commitIndex() == replica.lastIndex();
        }
    }

    void executeActions(int index)
    {
        Node &node = nodes_[static_cast<std::size_t>(index)];
        for (const Action &action : node.replica->takeActions()) {
            std::visit([&](const auto &value) { execute(index, node, value); }, action);
        }
        if (node.applied >= node.replica->firstIndex() + CompactAfter) {
            node.replica->compact(node.applied, std::to_string(node.applied));
            for (const Action &action : node.replica->takeActions()) {
                std::visit([&](const auto &value) { execute(index, node, value); }, action);
            }
        }
    }

    void execute(int, Node &node, const PersistHardState &action)
    {
        node.disk.hardState = action.state;
    }
    void execute(int, Node &node, const PersistEntries &action)
    {
        auto &entries = node.disk.entries;
        while (!entries.empty() && entries.back().index >= action.firstIndex) {
            entries.pop_back();
        }
        entries.insert(entries.end(), action.entries.begin(), action.entries.end());
    }
    void execute(int, Node &node, const PersistSnapshot &action)
    {
        node.disk.snapshot = action.snapshot;
        node.disk.entries = action.tail;
    }
    void execute(int index, Node &, const SendMessage &action)
    {
        if (!action.peerAddress.empty()) {
            network_.send(now_, index, std::stoi(action.peerAddress), action.message);
        }
    }
    void execute(int, Node &node, const ApplyEntry &action)
    {
        const std::uint64_t index = action.entry.index;
        if (index != node.applied + 1) {
            violation_ = "entries applied out of order";
        }
        node.applied = index;
        if (index <= committedEntries_.size()) {
            if (!(committedEntries_[index - 1] == action.entry)) {
                violation_ = "a committed entry has changed";
            }
        } else {
            committedEntries_.push_back(action.entry);
        }
    }
    void execute(int, Node &node, const RestoreSnapshot &action)
    {
        if (action.snapshot.state != std::to_string(action.snapshot.index)) {
            violation_ = "the snapshot holds the state of another index";
        }
        node.applied = action.snapshot.index;
    }
    void execute(int, Node &, const BecameLeader &action)
    {
        if (!termsWithLeader_.insert(action.term).second) {
            violation_ = "a term has two leaders";
        }
    }
    void execute(int, Node &, const SteppedDown &) { }

    std::uint64_t seed_;
    Instant now_ { Seconds(1000) };
    testing::LossyNetwork<Message> network_;
    Members initialMembers_;
    std::vector<Node> nodes_;
    std::string lostReplicaId_;
    std::vector<Entry> committedEntries_;
    std::set<std::uint64_t> termsWithLeader_;
    std::uint64_t proposals_ = 0;
    std::string violation_;
};

TEST(ConsensusFuzz, CommittedEntriesNeverChangeUnderFaults)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        ConsensusCluster cluster(seed);
        cluster.run(Seconds(3));
        const auto faults = *rc::gen::resize(
            40,
            rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 800), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100))));
        for (const auto &[kind, a, b] : faults) {
            cluster.injectFault(kind, a, b);
            cluster.run(Milliseconds(20 + 20 * b));
            RC_ASSERT(cluster.violation() == "");
        }
        cluster.removeAllFaults();
        cluster.run(Seconds(6));
        const std::size_t before = cluster.committedCount();
        cluster.run(Seconds(3));
        RC_ASSERT(cluster.violation() == "");
        RC_ASSERT(cluster.committedCount() > before);
        // Every replica that lost its disk has been replaced.
        RC_ASSERT(cluster.allIntact());
    });
    EXPECT_TRUE(passed);
}

// ---- votes that arrive late ----

struct LateReplyCase
{
    const char *name;
    MessageKind request = MessageKind::Vote;
};

class LateReplies : public ::testing::TestWithParam<LateReplyCase>
{
protected:
    LateReplies()
    {
        for (int i = 0; i < NodeCount; ++i) {
            disk_.snapshot.members.push_back(
                { "vm" + std::to_string(i), replicaIdOf(i, 0), std::to_string(i) });
        }
    }

    // Starts the candidate with what its disk holds.
    void start()
    {
        candidate_ = std::make_unique<Replica>(disk_.snapshot.members[0], disk_, Timings {},
                                               ++starts_, now_);
    }

    // Lets the candidate time out and returns its request of this kind to the voter.
    std::optional<Message> campaign(MessageKind kind)
    {
        now_ += Seconds(2);
        candidate_->tick(now_);
        return takeRequest(kind);
    }

    std::optional<Message> takeRequest(MessageKind kind)
    {
        std::optional<Message> request;
        for (const Action &action : candidate_->takeActions()) {
            if (const auto *persisted = std::get_if<PersistHardState>(&action)) {
                disk_.hardState = persisted->state;
            }
            const auto *sent = std::get_if<SendMessage>(&action);
            const bool wanted = sent != nullptr && sent->message.kind == kind
                && sent->message.to == replicaIdOf(1, 0);
            request = wanted ? std::optional(sent->message) : request;
        }
        return request;
    }

    // Returns a granting reply of a voter whose term is that of the request, or one before it in a
    // pre-vote.
    static Message granted(const Message &request)
    {
        const bool isVote = request.kind == MessageKind::Vote;
        Message reply;
        reply.kind = isVote ? MessageKind::VoteReply : MessageKind::PreVoteReply;
        reply.from = request.to;
        reply.to = request.from;
        reply.term = isVote ? request.term : request.term - 1;
        reply.granted = true;
        reply.sequence = request.sequence;
        return reply;
    }

    Instant now_ { Seconds(1000) };
    StoredState disk_;
    std::unique_ptr<Replica> candidate_;
    std::uint64_t starts_ = 0;
};

// Guards against two leaders of one term: a vote that was held up while its candidate restarted
// counted in a later term, for which the voter may have voted otherwise.
TEST_P(LateReplies, OfAnEarlierElectionDoNotCountAfterARestart)
{
    const bool isVote = GetParam().request == MessageKind::Vote;
    start();
    const auto preVote = campaign(MessageKind::PreVote);
    ASSERT_TRUE(preVote.has_value());
    candidate_->handleMessage(now_, granted(*preVote));
    const auto vote = takeRequest(MessageKind::Vote);
    ASSERT_TRUE(vote.has_value());

    start();
    const auto laterPreVote = campaign(MessageKind::PreVote);
    ASSERT_TRUE(laterPreVote.has_value());
    if (isVote) {
        candidate_->handleMessage(now_, granted(*laterPreVote));
        ASSERT_TRUE(takeRequest(MessageKind::Vote).has_value());
    }
    candidate_->handleMessage(now_, granted(isVote ? *vote : *preVote));
    EXPECT_FALSE(candidate_->isLeader());
    EXPECT_FALSE(takeRequest(MessageKind::Vote).has_value());
}

INSTANTIATE_TEST_SUITE_P(Kinds, LateReplies,
                         ::testing::Values(LateReplyCase { "vote", MessageKind::Vote },
                                           LateReplyCase { "preVote", MessageKind::PreVote }),
                         [](const auto &info) { return std::string(info.param.name); });

// ---- a large entry in flight ----

// Three replicas whose messages arrive at once, but for those with a large entry.
class SlowLargeEntries : public ::testing::Test
{
protected:
    static constexpr std::size_t LargeBytes = 1024UL * 1024;

    SlowLargeEntries()
    {
        StoredState stored;
        for (int i = 0; i < NodeCount; ++i) {
            stored.snapshot.members.push_back(
                { "vm" + std::to_string(i), replicaIdOf(i, 0), std::to_string(i) });
        }
        for (int i = 0; i < NodeCount; ++i) {
            const auto &self = stored.snapshot.members[static_cast<std::size_t>(i)];
            replicas_[self.replicaId] = std::make_unique<Replica>(
                self, stored, Timings {}, static_cast<std::uint64_t>(i + 1), now_);
        }
    }

    // Delivers messages until there are none.
    void exchange()
    {
        bool delivered = true;
        while (delivered) {
            delivered = false;
            for (auto &[id, replica] : replicas_) {
                for (const Action &action : replica->takeActions()) {
                    if (std::holds_alternative<BecameLeader>(action)) {
                        leader_ = replica.get();
                    }
                    const auto *send = std::get_if<SendMessage>(&action);
                    delivered = deliver(send) || delivered;
                }
            }
        }
    }

    bool deliver(const SendMessage *send)
    {
        if (send == nullptr) {
            return false;
        }
        for (const Entry &entry : send->message.entries) {
            if (entry.payload.size() >= LargeBytes) {
                ++largeEntriesSent_;
                return false;
            }
        }
        replicas_.at(send->message.to)->handleMessage(now_, send->message);
        return true;
    }

    void advance(Duration duration)
    {
        now_ += duration;
        for (auto &[id, replica] : replicas_) {
            replica->tick(now_);
        }
        exchange();
    }

    void propose(std::size_t bytes)
    {
        const auto proposed =
            attempt([&] { return leader_->propose(now_, std::string(bytes, 'x')); });
        ASSERT_TRUE(std::holds_alternative<std::uint64_t>(proposed));
        exchange();
    }

    Instant now_ { Seconds(1000) };
    std::map<std::string, std::unique_ptr<Replica>> replicas_;
    Replica *leader_ = nullptr;
    int largeEntriesSent_ = 0;
};

// Guards against a leader that sends a large entry again with each small change that follows it,
// and runs out of memory when many servers leave at once.
TEST_F(SlowLargeEntries, AreSentOnceWhileSmallOnesFollow)
{
    while (leader_ == nullptr) {
        advance(Milliseconds(10));
    }
    propose(LargeBytes);
    for (int i = 0; i < 100; ++i) {
        advance(Milliseconds(1));
        propose(10);
    }
    EXPECT_EQ(largeEntriesSent_, NodeCount - 1);
}

TEST_F(SlowLargeEntries, AreSentAgainIfTheyAreLost)
{
    while (leader_ == nullptr) {
        advance(Milliseconds(10));
    }
    propose(LargeBytes);
    for (int i = 0; i < 100; ++i) {
        advance(Milliseconds(10));
    }
    EXPECT_GE(largeEntriesSent_, 3 * (NodeCount - 1));
    EXPECT_LE(largeEntriesSent_, 5 * (NodeCount - 1));
}

} // namespace
} // namespace daisyhaven::consensus

// Roll-outs on the leader in virtual time: the replicated log is a DurableState, requests go
// through a Scheduler. The leader is lost in each phase, and VMs learn of changes late.
#include "coordination/internal/rolloutcoordinator.h"
#include "coordination/internal/viewcodec.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>

namespace daisyhaven::coordination {
namespace {

using rollout::Phase;

constexpr Milliseconds Step { 20 };
constexpr int ServersPerVersion = 10;
constexpr int RequestsPerStep = 2;
constexpr Seconds RolloutDuration { 20 };

class SimulatedLeader : public ::testing::Test
{
protected:
    SimulatedLeader() { elect(); }

    // Starts a new leader over the same log. Requests in flight end unseen.
    void elect()
    {
        if (coordinator_) {
            coordinator_->stopLeading();
        }
        inFlight_.clear();
        ++epoch_;
        scheduler_ = std::make_unique<scheduler::Scheduler>(epoch_, scheduler::Limits(), epoch_,
                                                            now_ - Seconds(10));
        coordinator_ = std::make_unique<RolloutCoordinator>(
            rollout::ExposureLimits(), state_,
            [this](const rollout::Rollout &next, const auto &done) { commit(next, done); },
            [this] { return wallClockMs(); });
        coordinator_->startLeading(now_, *scheduler_);
        for (const char *version : { "v1", "v2" }) {
            for (int i = 0; i < ServersPerVersion; ++i) {
                addServer(version, i);
            }
        }
    }

    void addServer(const std::string &version, int number)
    {
        directory::Announcement announcement;
        announcement.id = version + "-" + std::to_string(number);
        announcement.service = "orders";
        announcement.address = announcement.id + ":1";
        announcement.version = version;
        announcement.slots = 2;
        announcement.startTimeMs = 1;
        directory_.announce(now_, announcement, nullptr);
        scheduler_->addOrUpdateServer(now_,
                                      toKnownServer(*directory_.find(announcement.id), false).info);
    }

    std::uint64_t wallClockMs() const
    {
        return static_cast<std::uint64_t>(now_.time_since_epoch() / Milliseconds(1));
    }

    void commit(const rollout::Rollout &next, const RolloutCoordinator::ChangeCallback &done)
    {
        if (logStalled_) {
            return;
        }
        wire::CoordinationCommand command;
        *command.mutable_rollout() = toWire(next);
        if (state_.apply(++index_, command) == DurableState::Change::Rollouts) {
            coordinator_->applyChange(now_, next.service);
        }
        done(Committed {});
    }

    ChangeOutcome order(const std::string &version, const std::string &service = "orders")
    {
        ChangeOutcome result = LeaderRedirect {};
        coordinator_->order({ service, version, RolloutDuration }, nullptr, directory_,
                            [&](const ChangeOutcome &outcome) { result = outcome; });
        return result;
    }

    void advance()
    {
        now_ += Step;
        for (int i = 0; i < RequestsPerStep; ++i) {
            requestSlot();
        }
        handleActions();
        for (auto request = inFlight_.begin(); request != inFlight_.end();) {
            if (request->second.endsAt > now_) {
                ++request;
                continue;
            }
            scheduler_->releaseSlot(now_, request->first, request->second.outcome,
                                    Milliseconds(100));
            request = inFlight_.erase(request);
        }
        scheduler_->tick(now_);
        if (vmFollows_) {
            coordinator_->recordViewIndex(now_, "entry", state_.lastChangeIndex());
        }
        coordinator_->tick(now_);
        handleActions();
    }

    void requestSlot()
    {
        scheduler::SlotRequest request;
        request.key = { "entry", 1, ++lastRequest_ };
        request.fingerprint = lastRequest_;
        request.service = "orders";
        request.route = "status";
        request.idempotent = true;
        request.deadline = now_ + Seconds(2);
        request.targetTime = now_ + Seconds(1);
        scheduler_->requestSlot(now_, request);
    }

    void handleActions()
    {
        for (const scheduler::Action &action : scheduler_->takeActions()) {
            if (const auto *grant = std::get_if<scheduler::Grant>(&action)) {
                const bool toTarget = grant->serverId.rfind("v2", 0) == 0;
                ++(toTarget ? sentToTarget_ : sentToPresent_);
                const bool fails =
                    toTarget && std::uniform_real_distribution<double>(0, 1)(random_) < badShare_;
                inFlight_[grant->slotId] = { now_ + Milliseconds(100), toTarget,
                                             fails ? scheduler::Outcome::ServerError
                                                   : scheduler::Outcome::Success };
            } else if (const auto *result = std::get_if<scheduler::VersionResult>(&action)) {
                coordinator_->recordResult(now_, *result);
            }
        }
    }

    Phase phase() const { return state_.rollouts().at("orders").phase; }

    // Advances until the roll-out is in the wanted phase or finished.
    void advanceTo(Phase wanted)
    {
        const Instant end = now_ + 2 * RolloutDuration;
        while (now_ < end && phase() != wanted && !rollout::isFinished(phase())) {
            advance();
        }
    }

    void advanceFor(Duration duration)
    {
        for (const Instant end = now_ + duration; now_ < end;) {
            advance();
        }
    }

    bool presentInFlight() const
    {
        return std::any_of(inFlight_.begin(), inFlight_.end(),
                           [](const auto &request) { return !request.second.toTarget; });
    }

    struct InFlight
    {
        Instant endsAt;
        bool toTarget = false;
        scheduler::Outcome outcome = scheduler::Outcome::Success;
    };

    Instant now_ { Seconds(1000) };
    DurableState state_;
    directory::Directory directory_;
    std::unique_ptr<scheduler::Scheduler> scheduler_;
    std::unique_ptr<RolloutCoordinator> coordinator_;
    std::map<std::uint64_t, InFlight> inFlight_;
    std::mt19937_64 random_ { 1 };
    std::uint64_t epoch_ = 0;
    std::uint64_t index_ = 0;
    std::uint64_t lastRequest_ = 0;
    double badShare_ = 0;
    double sentToTarget_ = 0;
    double sentToPresent_ = 0;
    // The entry VM has received every change.
    bool vmFollows_ = true;
    // Proposals are not committed.
    bool logStalled_ = false;
};

TEST_F(SimulatedLeader, GoodVersionTakesOverWithNothingInFlightOnOldServers)
{
    ASSERT_TRUE(std::holds_alternative<Committed>(order("v2")));
    const Instant end = now_ + RolloutDuration;
    advanceTo(Phase::Completed);
    EXPECT_EQ(phase(), Phase::Completed);
    EXPECT_LT(now_, end);
    EXPECT_FALSE(presentInFlight());
    const double before = sentToPresent_;
    advanceFor(Seconds(2));
    EXPECT_EQ(sentToPresent_, before);
}

TEST_F(SimulatedLeader, CompletionWaitsForVmsInTouch)
{
    order("v2");
    advanceTo(Phase::Completing);
    vmFollows_ = false;
    const std::uint64_t oldIndex = state_.lastChangeIndex() - 1;
    for (const Instant end = now_ + Seconds(1); now_ < end;) {
        coordinator_->recordViewIndex(now_, "slow", oldIndex);
        advance();
    }
    EXPECT_EQ(phase(), Phase::Completing);
    vmFollows_ = true;
    coordinator_->recordViewIndex(now_, "slow", state_.lastChangeIndex());
    advanceFor(Milliseconds(300));
    EXPECT_EQ(phase(), Phase::Completed);
}

TEST_F(SimulatedLeader, BadVersionReceivesNothingOnceDecidedEvenIfNothingIsCommitted)
{
    badShare_ = 0.6;
    order("v2");
    advanceFor(Milliseconds(200));
    logStalled_ = true;
    advanceFor(Seconds(5));
    const double before = sentToTarget_;
    EXPECT_LE(before, 50 + 0.1 * (sentToTarget_ + sentToPresent_));
    advanceFor(Seconds(2));
    EXPECT_EQ(sentToTarget_, before);
    logStalled_ = false;
    advanceFor(Seconds(2));
    EXPECT_EQ(phase(), Phase::RolledBack);
}

struct LeaderLossCase
{
    const char *name;
    Phase lostIn;
    double badShare;
    Phase end;
};

class LeaderLoss : public SimulatedLeader, public ::testing::WithParamInterface<LeaderLossCase>
{
};

TEST_P(LeaderLoss, LeadsToTheSameEndWithinTheExposure)
{
    badShare_ = GetParam().badShare;
    order("v2");
    advanceFor(Milliseconds(500));
    advanceTo(GetParam().lostIn);
    elect();
    advanceTo(GetParam().end);
    EXPECT_EQ(phase(), GetParam().end);
    if (badShare_ > 0) {
        EXPECT_LE(sentToTarget_, 50 + 0.1 * (sentToTarget_ + sentToPresent_));
    }
    // A finished roll-out is kept by every later leader.
    elect();
    const double target = sentToTarget_;
    const double present = sentToPresent_;
    advanceFor(Seconds(2));
    EXPECT_EQ(phase(), GetParam().end);
    EXPECT_EQ(GetParam().end == Phase::RolledBack ? sentToTarget_ : sentToPresent_,
              GetParam().end == Phase::RolledBack ? target : present);
}

INSTANTIATE_TEST_SUITE_P(
    Phases, LeaderLoss,
    ::testing::Values(
        LeaderLossCase { "GoodWhileRunning", Phase::Running, 0, Phase::Completed },
        LeaderLossCase { "GoodWhileCompleting", Phase::Completing, 0, Phase::Completed },
        LeaderLossCase { "GoodWhenCompleted", Phase::Completed, 0, Phase::Completed },
        LeaderLossCase { "BadWhileRunning", Phase::Running, 0.6, Phase::RolledBack },
        LeaderLossCase { "BadWhenRolledBack", Phase::RolledBack, 0.6, Phase::RolledBack }),
    [](const auto &info) { return info.param.name; });

TEST_F(SimulatedLeader, VersionThatTurnsBadWhileCompletingIsRolledBack)
{
    order("v2");
    advanceTo(Phase::Completing);
    badShare_ = 1;
    vmFollows_ = false;
    coordinator_->recordViewIndex(now_, "slow", 0);
    advanceFor(Seconds(3));
    EXPECT_EQ(phase(), Phase::RolledBack);
}

TEST_F(SimulatedLeader, OrdersOfOneServiceExcludeEachOther)
{
    EXPECT_TRUE(std::holds_alternative<Committed>(order("v2")));
    EXPECT_TRUE(std::holds_alternative<Committed>(order("v2"))); // the confirmation was lost
    const ChangeOutcome other = order("v3");
    ASSERT_TRUE(std::holds_alternative<Failure>(other));
    EXPECT_EQ(std::get<Failure>(other).code, ResultCode::RolloutInProgress);
    EXPECT_EQ(state_.rollouts().at("orders").target, "v2");
    advanceTo(Phase::Completed);
    EXPECT_TRUE(std::holds_alternative<Committed>(order("v2")));
    EXPECT_EQ(phase(), Phase::Completed);
    EXPECT_TRUE(std::holds_alternative<Committed>(order("v3")));
    EXPECT_EQ(phase(), Phase::Running);
}

TEST_F(SimulatedLeader, InvalidOrdersAreRefused)
{
    EXPECT_TRUE(std::holds_alternative<Failure>(order("")));
    EXPECT_TRUE(std::holds_alternative<Failure>(order("\xff")));
    EXPECT_TRUE(std::holds_alternative<Failure>(order("v2", "")));
    EXPECT_TRUE(state_.rollouts().empty());
}

TEST_F(SimulatedLeader, SnapshotKeepsRollouts)
{
    order("v2");
    advanceTo(Phase::Completed);
    DurableState copy;
    ASSERT_TRUE(std::holds_alternative<bool>(attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(copy.restore(state_.toSnapshot()));
        return true;
    })));
    EXPECT_EQ(copy.rollouts(), state_.rollouts());
    EXPECT_EQ(copy.lastChangeIndex(), state_.lastChangeIndex());
}

// ---- VMs without a leader ----

TEST(ServersBlockedByRollout, AreThoseOfTheVersionThatMustNotServe)
{
    FleetView view;
    for (const char *version : { "v1", "v2" }) {
        view.servers[version].info.service = "orders";
        view.servers[version].info.version = version;
    }
    EXPECT_TRUE(serversBlockedByRollout(view, "orders").empty());
    view.rollouts["orders"] = { "orders", "v2", { "v1" }, 1, 1, Phase::Running };
    EXPECT_EQ(serversBlockedByRollout(view, "orders"), std::set<std::string> { "v2" });
    view.rollouts["orders"].phase = Phase::Completed;
    EXPECT_EQ(serversBlockedByRollout(view, "orders"), std::set<std::string> { "v1" });
    EXPECT_TRUE(serversBlockedByRollout(view, "other").empty());
}

} // namespace
} // namespace daisyhaven::coordination

#include "gateway/internal/leaderwait.h"

#include <gtest/gtest.h>

#include <string>

namespace daisyhaven::gateway {
namespace {

const Instant Start { Seconds(1000) };

struct LeaderWaitCase
{
    const char *name;
    LeaderState leaderState;
    Milliseconds waited;
    Milliseconds target;
    Milliseconds deadline;
    LeaderWaitStep expected;
};

constexpr Duration NoMessageYet = Duration::max();

const LeaderWaitCase LeaderWaitCases[] = {
    { "leaderThere",
      { true, Milliseconds(10), true },
      Milliseconds(0),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::SendToLeader },
    { "leaderLost",
      { false, Milliseconds(300), true },
      Milliseconds(0),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::Wait },
    { "leaderLostAndTheTargetNear",
      { false, Milliseconds(300), true },
      Milliseconds(360),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::PickLocally },
    { "leaderLostForTooLong",
      { false, Milliseconds(900), true },
      Milliseconds(460),
      Milliseconds(1200),
      Milliseconds(3000),
      LeaderWaitStep::PickLocally },
    { "leaderAway",
      { false, Seconds(5), true },
      Milliseconds(0),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::PickLocally },
    { "wholeFleetStartedAgain",
      { false, NoMessageYet, false },
      Milliseconds(0),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::Wait },
    { "wholeFleetStartedAgainPastTheTarget",
      { false, NoMessageYet, false },
      Milliseconds(900),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::Wait },
    { "wholeFleetStartedAgainTooLateToServe",
      { false, NoMessageYet, false },
      Milliseconds(1300),
      Milliseconds(600),
      Milliseconds(1500),
      LeaderWaitStep::PickLocally },
    { "wholeFleetStartedAgainAndNobodyLeads",
      { false, NoMessageYet, false },
      Milliseconds(2500),
      Milliseconds(800),
      Milliseconds(8000),
      LeaderWaitStep::PickLocally },
};

class LeaderWaitTest : public ::testing::TestWithParam<LeaderWaitCase>
{
};

TEST_P(LeaderWaitTest, NextStepFollowsLeaderStateAndTimes)
{
    const LeaderWaitCase &testCase = GetParam();
    const WaitingRequest request { Start, Start + Duration(testCase.target),
                                   Start + Duration(testCase.deadline) };
    EXPECT_EQ(nextLeaderWaitStep(Start + Duration(testCase.waited), request, testCase.leaderState),
              testCase.expected);
}

INSTANTIATE_TEST_SUITE_P(LeaderStates, LeaderWaitTest, ::testing::ValuesIn(LeaderWaitCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

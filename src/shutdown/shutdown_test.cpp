#include "shutdown/shutdown.h"

#include <gtest/gtest.h>

namespace daisyhaven {
namespace {

const Instant Start { Seconds(1000) };

struct ScheduleCase
{
    const char *name;
    Milliseconds gracePeriod;
    Milliseconds acceptFor;
    Milliseconds acceptUntil;
    Milliseconds sendUntil;
    Milliseconds respondUntil;
    Milliseconds exitAt;
};

const ScheduleCase ScheduleCases[] = {
    { "usual", Milliseconds(6000), Milliseconds(2600), Milliseconds(2600), Milliseconds(2800),
      Milliseconds(5300), Milliseconds(5800) },
    { "short", Milliseconds(1200), Milliseconds(2600), Milliseconds(480), Milliseconds(480),
      Milliseconds(1000), Milliseconds(1140) },
    { "long", Milliseconds(60000), Milliseconds(1000), Milliseconds(1000), Milliseconds(29800),
      Milliseconds(59300), Milliseconds(59800) },
};

class ShutdownScheduleTest : public ::testing::TestWithParam<ScheduleCase>
{
};

TEST_P(ShutdownScheduleTest, HasItsTimesInOrder)
{
    const ScheduleCase &testCase = GetParam();
    const ShutdownSchedule schedule =
        makeShutdownSchedule(Start, testCase.gracePeriod, testCase.acceptFor);
    const ShutdownSchedule expected { Start, Start + testCase.acceptUntil,
                                      Start + testCase.sendUntil, Start + testCase.respondUntil,
                                      Start + testCase.exitAt };
    EXPECT_EQ(schedule, expected);
    EXPECT_LE(schedule.acceptUntil, schedule.sendUntil);
    EXPECT_LT(schedule.sendUntil, schedule.respondUntil);
    EXPECT_LT(schedule.respondUntil, schedule.exitAt);
    EXPECT_LT(schedule.exitAt, Start + testCase.gracePeriod);
}

INSTANTIATE_TEST_SUITE_P(GracePeriods, ShutdownScheduleTest, ::testing::ValuesIn(ScheduleCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven

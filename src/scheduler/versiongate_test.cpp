// Which versions of a service receive requests during and after a roll-out.
#include "testing/schedulerfleet.h"

#include <gtest/gtest.h>

namespace daisyhaven::scheduler {
namespace {

constexpr int ServersPerVersion = 4;

// Servers of versions v1 (zone "a"), v2 (zone "b") and v3 (zone "c").
class VersionGateTest : public ::testing::Test
{
protected:
    VersionGateTest()
    {
        fleet_.setTeams({});
        for (const char *zone : { "a", "b", "c" }) {
            for (int i = 0; i < ServersPerVersion; ++i) {
                ServerInfo info;
                info.id = zone + std::to_string(i);
                info.service = "orders";
                info.zone = zone;
                info.slots = 2;
                info.startTimeMs = 1;
                info.version = "v" + std::to_string(*zone - 'a' + 1);
                fleet_.scheduler.addOrUpdateServer(fleet_.now, info);
            }
        }
    }

    void setGate(std::optional<std::uint64_t> maxTargetRequests, bool replacedVersionsServe)
    {
        fleet_.scheduler.setVersionGate(
            fleet_.now, "orders",
            { "v2", { "v1" }, maxTargetRequests, replacedVersionsServe, true });
    }

    // Sends requests one after the other and returns how many each zone, so version, received.
    std::map<char, int> send(int count)
    {
        std::map<char, int> received;
        for (int i = 0; i < count; ++i) {
            const auto grants = fleet_.requestSlot(fleet_.makeRequest()).grants;
            EXPECT_EQ(grants.size(), 1U);
            if (!grants.empty()) {
                ++received[grants.front().serverId.front()];
                fleet_.scheduler.releaseSlot(fleet_.now, grants.front().slotId, Outcome::Success,
                                             Milliseconds(100));
            }
            fleet_.advance(Milliseconds(20));
        }
        return received;
    }

    SimulatedFleet fleet_;
};

TEST_F(VersionGateTest, WithoutAGateEveryVersionServes)
{
    const auto received = send(100);
    EXPECT_GT(received.at('a'), 0);
    EXPECT_GT(received.at('b'), 0);
}

TEST_F(VersionGateTest, TheTargetVersionReceivesExactlyItsLimit)
{
    setGate(7, true);
    EXPECT_EQ(send(50)['b'], 7);
    setGate(10, true);
    EXPECT_EQ(send(50)['b'], 3);
    EXPECT_EQ(fleet_.scheduler.versionLoad(fleet_.now, "orders").requests, 100U);
    EXPECT_EQ(fleet_.scheduler.versionLoad(fleet_.now, "orders").targetRequests, 10U);
}

// Servers that announce themselves while the limit is used up must not receive requests either.
TEST_F(VersionGateTest, NewServersOfTheTargetVersionFollowTheGate)
{
    setGate(0, true);
    ServerInfo info { "b9", "orders", "", "a", 8, false, Instant(), 1, "v2" };
    fleet_.scheduler.addOrUpdateServer(fleet_.now, info);
    EXPECT_EQ(send(50)['b'], 0);
}

TEST_F(VersionGateTest, SuspectedServersOfABlockedVersionAreNotProbed)
{
    fleet_.scheduler.restoreSuspicion(fleet_.now, "b0");
    setGate(0, true);
    EXPECT_EQ(send(200)['b'], 0);
}

TEST_F(VersionGateTest, ReplacedVersionsReceiveNothingAfterTheMove)
{
    const auto before = fleet_.requestSlot(fleet_.makeRequest()).grants;
    ASSERT_EQ(before.size(), 1U);
    setGate(std::nullopt, false);
    EXPECT_EQ(fleet_.scheduler.versionLoad(fleet_.now, "orders").replacedInFlight, 1U);
    auto received = send(100);
    EXPECT_EQ(received['a'], 0);
    EXPECT_GT(received['b'], 0);
}

// A version that was neither replaced nor ordered, such as one released meanwhile, still serves.
TEST_F(VersionGateTest, OtherVersionsAreUnaffected)
{
    for (const char *id : { "a0", "a1", "a2", "a3" }) {
        fleet_.scheduler.removeServer(id);
    }
    setGate(0, true);
    EXPECT_EQ(send(50)['c'], 50);
}

TEST_F(VersionGateTest, ReportsResultsOfWarmServersOnly)
{
    setGate(std::nullopt, true);
    ServerInfo cold { "b0", "orders", "", "b", 2, false, fleet_.now + Seconds(5), 1, "v2" };
    fleet_.scheduler.addOrUpdateServer(fleet_.now, cold);
    std::map<std::string, int> reported;
    for (int i = 0; i < 100; ++i) {
        const auto grants = fleet_.requestSlot(fleet_.makeRequest()).grants;
        ASSERT_EQ(grants.size(), 1U);
        fleet_.scheduler.releaseSlot(fleet_.now, grants.front().slotId, Outcome::Success,
                                     Milliseconds(100));
        for (const Action &action : fleet_.scheduler.takeActions()) {
            if (const auto *result = std::get_if<VersionResult>(&action)) {
                ++reported[result->serverId];
                EXPECT_EQ(result->fromTarget, result->serverId.front() == 'b');
            }
        }
        fleet_.advance(Milliseconds(20));
    }
    EXPECT_EQ(reported.count("b0"), 0U);
    EXPECT_GT(reported["b1"], 0);
}

} // namespace
} // namespace daisyhaven::scheduler

// Simulates a leader that grants slots while backend servers name request limits.
#include "scheduler/scheduler.h"
#include "testing/schedulerfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

namespace daisyhaven::scheduler {
namespace {

constexpr Seconds LimitWindow { 4 };
constexpr double ToleratedFactor = 1.5;
constexpr double ToleratedSlack = 5; // requests
constexpr Milliseconds StepLength { 10 };
constexpr Milliseconds ServiceTime { 100 };

// Backend servers of four slots that name a limit in each response.
class LimitedServers
{
public:
    explicit LimitedServers(SimulatedFleet &fleet, int count) : fleet_(fleet)
    {
        fleet_.addServers(count, 4);
    }

    double namedLimit = 0;
    std::size_t served = 0;
    std::size_t rejected = 0;

    // Sends `requestsPerSecond` for `duration`. Returns the most requests that reached one server
    // in a LimitWindow.
    std::size_t run(Duration duration, double requestsPerSecond)
    {
        std::size_t most = 0;
        double due = 0;
        for (Duration elapsed { 0 }; elapsed < duration; elapsed += StepLength) {
            fleet_.advance(StepLength);
            finishRequests();
            due += requestsPerSecond * std::chrono::duration<double>(StepLength).count();
            for (; due >= 1; --due) {
                fleet_.scheduler.requestSlot(fleet_.now, fleet_.makeRequest());
            }
            most = std::max(most, startRequests());
        }
        return most;
    }

private:
    void finishRequests()
    {
        while (!running_.empty() && running_.front().first <= fleet_.now) {
            ServerStatement statement;
            statement.requestsPerSecond = namedLimit;
            fleet_.scheduler.releaseSlot(fleet_.now, running_.front().second, Outcome::Success,
                                         ServiceTime, statement);
            running_.pop_front();
            ++served;
        }
    }

    std::size_t startRequests()
    {
        std::size_t most = 0;
        const auto responses = fleet_.takeResponses();
        rejected += responses.rejections.size();
        for (const Grant &grant : responses.grants) {
            running_.emplace_back(fleet_.now + ServiceTime, grant.slotId);
            std::deque<Instant> &arrivals = arrivals_[grant.serverId];
            arrivals.push_back(fleet_.now);
            while (fleet_.now - arrivals.front() >= LimitWindow) {
                arrivals.pop_front();
            }
            most = std::max(most, arrivals.size());
        }
        return most;
    }

    SimulatedFleet &fleet_;
    std::deque<std::pair<Instant, std::uint64_t>> running_;
    std::map<std::string, std::deque<Instant>> arrivals_;
};

std::size_t tolerated(double limit)
{
    const double windowSeconds = std::chrono::duration<double>(LimitWindow).count();
    return static_cast<std::size_t>(limit * windowSeconds * ToleratedFactor + ToleratedSlack);
}

struct LimitCase
{
    const char *name;
    double limit = 0;
    double demandPerServer = 0;
};

class NamedLimit : public ::testing::TestWithParam<LimitCase>
{
};

// Guards against servers that get more requests than the limit that they named.
TEST_P(NamedLimit, HoldsInAnyWindowAndIsUsed)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 5);
    servers.namedLimit = GetParam().limit;
    servers.run(Seconds(3) + LimitWindow, GetParam().demandPerServer * 5);
    servers.served = 0;
    EXPECT_LE(servers.run(Seconds(20), GetParam().demandPerServer * 5),
              tolerated(GetParam().limit));
    const double servable = std::min(GetParam().limit, GetParam().demandPerServer) * 5 * 20;
    EXPECT_GE(static_cast<double>(servers.served), 0.9 * servable);
}

INSTANTIATE_TEST_SUITE_P(Limits, NamedLimit,
                         ::testing::Values(LimitCase { "one", 1, 10 },
                                           LimitCase { "fraction", 3.2, 10 },
                                           LimitCase { "high", 20, 35 },
                                           LimitCase { "aboveDemand", 30, 10 }),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against requests that wait although the limits of all servers cannot take them in time.
TEST(NamedLimits, RequestsBeyondAllLimitsAreRejectedAtOnce)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 5);
    servers.namedLimit = 2;
    servers.run(Seconds(5), 50);
    servers.rejected = 0;
    servers.run(Seconds(10), 50);
    // 40 of 50 requests a second find no place; few wait until they expire.
    EXPECT_GE(servers.rejected, 380U);
    EXPECT_LE(fleet.scheduler.queuedRequestCount(), 30U);
}

// Guards against limits that are followed late when they change.
TEST(NamedLimits, ChangesAreFollowed)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 5);
    servers.namedLimit = 5;
    servers.run(Seconds(8), 100);
    EXPECT_DOUBLE_EQ(fleet.scheduler.requestLimit("a0"), 5);
    servers.namedLimit = 15;
    servers.run(Milliseconds(700), 100);
    EXPECT_DOUBLE_EQ(fleet.scheduler.requestLimit("a0"), 15);
    servers.namedLimit = 0;
    servers.run(Milliseconds(700), 100);
    EXPECT_DOUBLE_EQ(fleet.scheduler.requestLimit("a0"), 0);
}

// Guards against a new leader that grants the limit again because it does not know it yet.
TEST(NamedLimits, NewLeaderStartsWithAnEmptyLimit)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 1);
    fleet.scheduler.restoreRequestLimit(fleet.now, "a0", 1);
    EXPECT_TRUE(fleet.requestSlot(fleet.makeRequest()).grants.empty());
}

// Guards against a limit that outlasts the process that named it.
TEST(NamedLimits, RestartedServerHasNoLimit)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 1);
    servers.namedLimit = 1;
    servers.run(Seconds(2), 20);
    ServerInfo info;
    info.id = "a0";
    info.service = "orders";
    info.slots = 4;
    info.startTimeMs = 2;
    fleet.scheduler.addOrUpdateServer(fleet.now, info);
    EXPECT_DOUBLE_EQ(fleet.scheduler.requestLimit("a0"), 0);
}

// Guards against a leader that grants the part of a limit that VMs without a leader use.
TEST(NamedLimits, ShareOfUnreachableVmsIsReserved)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 1);
    servers.namedLimit = 10;
    servers.run(Seconds(5), 50);
    fleet.scheduler.setUnreachableVmShare(fleet.now, 1);
    servers.run(LimitWindow, 50);
    EXPECT_LE(servers.run(Seconds(8), 50), 15U);
}

// Guards against a request limit that one damaged response lifts.
TEST(NamedLimits, OneResponseWithoutLimitLiftsNothing)
{
    SimulatedFleet fleet;
    LimitedServers servers(fleet, 1);
    servers.namedLimit = 5;
    servers.run(Seconds(2), 50);
    const auto grants = [&] {
        fleet.advance(Milliseconds(500));
        return fleet.takeResponses().grants;
    }();
    ASSERT_FALSE(grants.empty());
    fleet.scheduler.releaseSlot(fleet.now, grants.front().slotId, Outcome::MalformedResponse,
                                ServiceTime, ServerStatement());
    EXPECT_DOUBLE_EQ(fleet.scheduler.requestLimit("a0"), 5);
}

} // namespace
} // namespace daisyhaven::scheduler

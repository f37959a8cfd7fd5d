// How much of a service's load leaves its availability zone. Each case is a pattern of load over
// three zones; requests arrive in virtual time and are counted by the zone that should serve them.
#include "scheduler/internal/zonebalancer.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <functional>
#include <random>

namespace daisyhaven::scheduler::internal {
namespace {

const Instant Start { Seconds(1000) };
constexpr Milliseconds StepLength { 20 };
constexpr Milliseconds ServiceTime { 200 };
constexpr Seconds Settling { 8 };
constexpr double Pi = 3.14159265358979;
const std::array<std::string, 3> Zones { "a", "b", "c" };

struct LoadCase
{
    const char *name;
    std::array<double, 3> slots;
    // Requests per second of the callers in each zone, `seconds` after the start.
    std::function<std::array<double, 3>(double seconds)> demand;
    double largeBodyShare = 0;
    // Bounds of the share of zone a's requests that leaves, and of all requests.
    double minLeavingA = 0;
    double maxLeavingA = 1;
    double maxLeaving = 1;
    // Maximum of each zone's load, in requests in service per slot, averaged over a second.
    double maxUtilization = 1;
};

std::size_t indexOf(const std::string &zone)
{
    return static_cast<std::size_t>(zone.at(0) - 'a');
}

class SimulatedZones
{
public:
    explicit SimulatedZones(const LoadCase &load) : load_(load)
    {
        for (const std::string &zone : Zones) {
            rooms_[zone] = { load.slots.at(indexOf(zone)), 1 };
        }
    }

    void simulate(Duration length)
    {
        for (const Instant end = now_ + length; now_ < end; now_ += StepLength) {
            step();
        }
    }

    void resetCounts() { counts_ = {}; }

    struct Counts
    {
        std::array<double, 3> sent {};
        std::array<double, 3> left {};
        double large = 0;
        double largeLeft = 0;
        double maxUtilization = 0;
        // Times at which the sign of the net flow between two zones changed.
        int reversals = 0;

        double leavingShare(std::size_t zone) const { return left.at(zone) / sent.at(zone); }
        double leavingShare() const
        {
            return (left[0] + left[1] + left[2]) / (sent[0] + sent[1] + sent[2]);
        }
    };
    const Counts &counts() const { return counts_; }
    const ZoneBalancer &balancer() const { return balancer_; }

private:
    void step()
    {
        const double seconds = std::chrono::duration<double>(now_ - Start).count();
        const std::array<double, 3> demand = load_.demand(seconds);
        std::array<double, 3> served {};
        for (const std::string &zone : Zones) {
            const double mean =
                demand.at(indexOf(zone)) * std::chrono::duration<double>(StepLength).count();
            for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
                served.at(indexOf(send(zone))) += 1;
            }
        }
        recordUtilization(served);
        if (balancer_.isUpdateDue(now_)) {
            balancer_.update(now_, rooms_, ServiceTime);
            recordDirection();
        }
    }

    std::string send(const std::string &zone)
    {
        const bool large = std::bernoulli_distribution(load_.largeBodyShare)(random_);
        balancer_.recordRequest(now_, zone, large);
        const std::string &serving = balancer_.pickZone(zone, large);
        const bool left = serving != zone;
        counts_.sent.at(indexOf(zone)) += 1;
        counts_.left.at(indexOf(zone)) += left ? 1 : 0;
        counts_.large += large ? 1 : 0;
        counts_.largeLeft += large && left ? 1 : 0;
        return serving;
    }

    void recordUtilization(const std::array<double, 3> &served)
    {
        const double step = std::chrono::duration<double>(StepLength).count();
        for (std::size_t zone = 0; zone < served.size(); ++zone) {
            double &rate = servedPerSecond_.at(zone);
            rate += (served.at(zone) / step - rate) * step;
            const double inService = rate * std::chrono::duration<double>(ServiceTime).count();
            counts_.maxUtilization =
                std::max(counts_.maxUtilization, inService / load_.slots.at(zone));
        }
    }

    void recordDirection()
    {
        const double net = balancer_.share("a", "b") - balancer_.share("b", "a");
        const int direction = net > 0.02 ? 1 : net < -0.02 ? -1 : 0;
        if (direction != 0 && direction == -direction_) {
            ++counts_.reversals;
        }
        direction_ = direction != 0 ? direction : direction_;
    }

    LoadCase load_;
    std::mt19937_64 random_ { 3 };
    ZoneBalancer balancer_;
    std::map<std::string, ZoneRoom> rooms_;
    std::array<double, 3> servedPerSecond_ {};
    Counts counts_;
    int direction_ = 0;
    Instant now_ = Start;
};

class LoadOverZones : public ::testing::TestWithParam<LoadCase>
{
};

TEST_P(LoadOverZones, LeavesItsZoneOnlyWhereThatPays)
{
    const LoadCase &load = GetParam();
    SimulatedZones zones(load);
    zones.simulate(Settling);
    zones.resetCounts();
    zones.simulate(Seconds(20));
    const SimulatedZones::Counts &counts = zones.counts();
    EXPECT_GE(counts.leavingShare(0), load.minLeavingA);
    EXPECT_LE(counts.leavingShare(0), load.maxLeavingA);
    EXPECT_LE(counts.leavingShare(), load.maxLeaving);
    EXPECT_LE(counts.maxUtilization, load.maxUtilization);
}

std::array<double, 3> evenDemand(double)
{
    return { 250, 250, 250 };
}

// The callers of the three zones swing by 0.55 over ten seconds, a third of a period apart.
std::array<double, 3> wavesOutOfPhase(double seconds)
{
    std::array<double, 3> demand {};
    for (std::size_t zone = 0; zone < demand.size(); ++zone) {
        const double phase = 2 * Pi * (seconds / 10 + static_cast<double>(zone) / 3);
        demand.at(zone) = 450 * (1 + 0.55 * std::sin(phase));
    }
    return demand;
}

// After twelve seconds half of the callers of zone b move to zone a.
std::array<double, 3> halfOfAZoneMoves(double seconds)
{
    const double moved = seconds > 12 ? 200 : 0;
    return { 400 + moved, 400 - moved, 400 };
}

INSTANTIATE_TEST_SUITE_P(
    Loads, LoadOverZones,
    ::testing::Values(
        LoadCase { "evenZonesWithRoom", { 140, 140, 140 }, evenDemand, 0, 0, 0, 0, 0.6 },
        // One zone has less room than the others and enough of it.
        LoadCase { "unevenRoomThatSuffices", { 80, 140, 200 }, evenDemand, 0, 0, 0.02, 0.01, 0.9 },
        // Zone a serves 0.6 of its requests at most.
        LoadCase { "tooFewServersInOneZone", { 30, 140, 140 }, evenDemand, 0, 0.4, 0.6, 0.2, 1.1 },
        LoadCase { "noServersInOneZone", { 0.001, 140, 140 }, evenDemand, 0, 0.95, 1, 0.34, 1e9 },
        // Mean load 0.64 of the room, a zone's peak just above all of its own.
        LoadCase { "wavesOutOfPhase", { 140, 140, 140 }, wavesOutOfPhase, 0, 0, 0.2, 0.1, 1.2 },
        LoadCase {
            "halfOfAZoneMoves", { 100, 100, 100 }, halfOfAZoneMoves, 0, 0.1, 0.4, 0.2, 1.25 },
        // Every zone is overloaded alike, so nothing is gained elsewhere.
        LoadCase { "overloadEverywhere", { 40, 40, 40 }, evenDemand, 0, 0, 0.15, 0.15, 2 }),
    [](const auto &info) { return std::string(info.param.name); });

TEST(ZoneBalancer, LargeBodiesLeaveLast)
{
    SimulatedZones zones({ "", { 30, 140, 140 }, evenDemand, 0.3 });
    zones.simulate(Settling);
    zones.resetCounts();
    zones.simulate(Seconds(20));
    const SimulatedZones::Counts &counts = zones.counts();
    EXPECT_GT(counts.leavingShare(0), 0.4);
    EXPECT_LT(counts.largeLeft / counts.large, 0.02);
}

TEST(ZoneBalancer, LargeBodiesLeaveIfTheOthersAreTooFew)
{
    SimulatedZones zones({ "", { 10, 140, 140 }, evenDemand, 0.9 });
    zones.simulate(Settling);
    zones.resetCounts();
    zones.simulate(Seconds(20));
    EXPECT_GT(zones.counts().leavingShare(0), 0.7);
}

// Two zones near their limit must not send each other load by turns.
TEST(ZoneBalancer, ZonesDoNotSwapLoad)
{
    const auto nearLimit = [](double) { return std::array<double, 3> { 480, 480, 100 }; };
    SimulatedZones zones({ "", { 100, 100, 100 }, nearLimit });
    zones.simulate(Settling);
    zones.resetCounts();
    zones.simulate(Seconds(30));
    EXPECT_EQ(zones.counts().reversals, 0);
    EXPECT_LT(zones.balancer().share("a", "b"), 0.03);
    EXPECT_LT(zones.balancer().share("b", "a"), 0.03);
}

// Sends `perSecond` requests from zone `from` for a time and updates the shares with `rooms`.
void sendAndUpdate(ZoneBalancer &balancer, Instant &now, Seconds length, const std::string &from,
                   double perSecond, const std::map<std::string, ZoneRoom> &rooms)
{
    const double step = std::chrono::duration<double>(StepLength).count();
    double due = 0;
    for (const Instant end = now + length; now < end; now += StepLength) {
        for (due += perSecond * step; due >= 1; due -= 1) {
            balancer.recordRequest(now, from, false);
        }
        if (balancer.isUpdateDue(now)) {
            balancer.update(now, rooms, ServiceTime);
        }
    }
}

// Zone b has no callers, so nothing but its servers makes it known.
TEST(ZoneBalancer, ZoneWithoutCallersThatLosesItsServersGetsNothing)
{
    ZoneBalancer balancer;
    Instant now = Start;
    sendAndUpdate(balancer, now, Settling, "a", 250, { { "a", { 30, 1 } }, { "b", { 140, 1 } } });
    ASSERT_GT(balancer.share("a", "b"), 0.4);
    balancer.update(now, { { "a", { 30, 1 } } }, ServiceTime);
    EXPECT_EQ(balancer.share("a", "b"), 0);
    EXPECT_TRUE(balancer.shares().empty());
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(balancer.pickZone("a", false), "a");
    }
}

TEST(ZoneBalancer, SharesOfZoneWithoutDemandDecay)
{
    ZoneBalancer balancer;
    const std::map<std::string, ZoneRoom> rooms { { "a", { 30, 1 } }, { "b", { 140, 1 } } };
    Instant now = Start;
    sendAndUpdate(balancer, now, Settling, "a", 250, rooms);
    ASSERT_GT(balancer.share("a", "b"), 0.4);
    sendAndUpdate(balancer, now, Seconds(30), "a", 0, rooms);
    EXPECT_LT(balancer.share("a", "b"), 0.01);
}

// Zone a has 0.4% of the demand and no servers.
TEST(ZoneBalancer, ZoneWithLittleDemandGetsShares)
{
    SimulatedZones zones({ "", { 0, 140, 140 }, [](double) {
                              return std::array<double, 3> { 2, 250, 250 };
                          } });
    zones.simulate(Settling);
    EXPECT_GT(zones.balancer().share("a", "b") + zones.balancer().share("a", "c"), 0.9);
}

TEST(ZoneBalancer, OfEqualZonesTheOneWithMoreRoomIsPreferred)
{
    SimulatedZones zones({ "", { 0, 140, 400 }, [](double) {
                              return std::array<double, 3> { 250, 100, 100 };
                          } });
    zones.simulate(Settling);
    EXPECT_GT(zones.balancer().share("a", "c"), zones.balancer().share("a", "b"));
}

TEST(ZoneBalancer, LearnsTheDistanceOfZones)
{
    ZoneBalancer balancer;
    EXPECT_EQ(balancer.distance("a", "b"), Duration(Milliseconds(5)));
    for (int i = 0; i < 500; ++i) {
        balancer.recordLatency("a", "a", Milliseconds(i % 2 == 0 ? 20 : -20));
        balancer.recordLatency("a", "b", Milliseconds(i % 2 == 0 ? 100 : 60));
    }
    EXPECT_NEAR(static_cast<double>(balancer.distance("a", "b").count()), 80'000, 4000);
}

} // namespace
} // namespace daisyhaven::scheduler::internal

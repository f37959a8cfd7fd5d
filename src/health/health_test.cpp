#include "dispatch/zonesimulator.h"

#include <gtest/gtest.h>

namespace daisyhaven::dispatch {
namespace {

constexpr Seconds FaultAt { 20 };
constexpr int Seeds = 15;
// Requirement: a faulty backend server receives no new requests after 2 s.
constexpr Milliseconds DetectionTarget { 2000 };

struct FaultCase
{
    const char *name;
    FaultKind fault;
    bool exponential;
    double load;
};

class GrayFailures : public ::testing::TestWithParam<FaultCase>
{
};

TEST_P(GrayFailures, AreOutOfNewWorkInTime)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SimulationOptions options;
        options.fault = GetParam().fault;
        options.exponentialServiceTime = GetParam().exponential;
        options.utilization = GetParam().load;
        options.faultStart = FaultAt;
        const SimulationResult result = ZoneSimulator(options, seed).run(FaultAt + Seconds(6));
        ASSERT_TRUE(result.detectionTime) << GetParam().name << " seed " << seed;
        EXPECT_LE(*result.detectionTime, DetectionTarget) << GetParam().name << " seed " << seed;
        EXPECT_EQ(result.falseEjections, 0U) << GetParam().name << " seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, GrayFailures,
    ::testing::Values(FaultCase { "slow", FaultKind::Slow, false, 0.6 },
                      FaultCase { "slow, wide variance", FaultKind::Slow, true, 0.6 },
                      FaultCase { "failing", FaultKind::Failing, true, 0.6 },
                      FaultCase { "30% of requests fail", FaultKind::PartlyFailing, true, 0.6 },
                      FaultCase { "stalling", FaultKind::Stalling, true, 0.6 },
                      FaultCase { "flapping", FaultKind::Flapping, true, 0.6 },
                      FaultCase { "slow at half the load", FaultKind::Slow, true, 0.3 }));

// Listed in KNOWN-RED.txt.
INSTANTIATE_TEST_SUITE_P(KnownRed, GrayFailures,
                         ::testing::Values(FaultCase { "a tenth slow", FaultKind::PartlySlow, false,
                                                       0.6 },
                                           FaultCase { "a tenth slow, wide variance",
                                                       FaultKind::PartlySlow, true, 0.6 }));

struct PathCase
{
    const char *name;
    int lostVms;
};

class LostPaths : public ::testing::TestWithParam<PathCase>
{
};

TEST_P(LostPaths, CostThePathAndNotTheServer)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SimulationOptions options;
        options.fault = FaultKind::PathLost;
        options.vmsWithLostPath = GetParam().lostVms;
        options.faultStart = FaultAt;
        const SimulationResult result = ZoneSimulator(options, seed).run(FaultAt + Seconds(6));
        EXPECT_EQ(result.ejections, 0U) << GetParam().name << " seed " << seed;
        EXPECT_TRUE(result.pathBlockingTime) << GetParam().name << " seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Counts, LostPaths,
                         ::testing::Values(PathCase { "one VM", 1 }, PathCase { "two VMs", 2 }));

// Listed in KNOWN-RED.txt.
INSTANTIATE_TEST_SUITE_P(KnownRed, LostPaths, ::testing::Values(PathCase { "five VMs", 5 }));

TEST(HealthyFleet, NoServerIsEjected)
{
    for (const bool exponential : { false, true }) {
        SimulationOptions options;
        options.exponentialServiceTime = exponential;
        const SimulationResult result = ZoneSimulator(options, 77).run(Seconds(600));
        EXPECT_EQ(result.ejections, 0U);
    }
}

// A slowdown of all servers at once is no reason to eject any of them.
TEST(HealthyFleet, ServiceWideSlowdownEjectsNoServer)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SimulationOptions options;
        options.utilization = 0.06;
        options.slowAllServers = true;
        options.faultStart = FaultAt;
        const SimulationResult result = ZoneSimulator(options, seed).run(Seconds(50));
        EXPECT_EQ(result.ejections, 0U) << "seed " << seed;
    }
}

// Half of the twelve servers fail at once. With a floor of 60%, at most four may be ejected.
TEST(Floor, HoldsWhenHalfOfTheServersFail)
{
    for (const FaultKind fault : { FaultKind::Failing, FaultKind::Slow, FaultKind::Stalling }) {
        SimulationOptions options;
        options.fault = fault;
        options.faultyServers = 6;
        options.faultStart = Seconds(5);
        options.floor = 0.6;
        const SimulationResult result = ZoneSimulator(options, 5).run(Seconds(40));
        EXPECT_GE(result.minServersInRotation, 8U);
        EXPECT_GT(result.ejections, 0U);
    }
}

// A team that sends five times its fair share raises the p99 latency of other teams by at most 10%.
TEST(Fairness, OverloadOfOneTeamKeepsP99OfOtherTeams)
{
    const auto otherTeamsP99 = [](double factor) {
        std::vector<double> latencies;
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            SimulationOptions options;
            options.firstTeamLoadFactor = factor;
            const SimulationResult result = ZoneSimulator(options, seed).run(Seconds(30));
            for (const auto &[team, values] : result.latenciesByTeamMs) {
                if (team != "team0") {
                    latencies.insert(latencies.end(), values.begin(), values.end());
                }
            }
        }
        return percentile(latencies, 0.99);
    };
    EXPECT_LE(otherTeamsP99(5), otherTeamsP99(1) * 1.1);
}

TEST(EjectionBudget, LimitsEjectionsAcrossZonesAndRequestsReadmissionOnCapacityLoss)
{
    const Instant start { Seconds(10) };
    EjectionBudget budget(0.6, start);
    ZoneSummary a { "a", 1, 10, 10, 0, 0, {}, { "a1", "a2", "a3", "a4", "a5" } };
    ZoneSummary b { "b", 1, 10, 10, 0, 0, {}, { "b1", "b2", "b3", "b4", "b5" } };
    budget.recordSummary(start, a);
    EXPECT_TRUE(budget.recordSummary(start, b)
                    .mayEject.empty()); // a new owner first collects reports for 1 s
    const Instant later = start + Milliseconds(1100);
    EXPECT_EQ(budget.recordSummary(later, a).mayEject.size(), 5U);
    EXPECT_EQ(budget.recordSummary(later, b).mayEject.size(),
              3U); // 20 x 0.4 = 8 ejections in total
    a.ejectedServers = a.ejectionCandidates;
    a.ejectionCandidates.clear();
    b.ejectedServers = { "b1", "b2", "b3" };
    b.availableServers = 6; // four more became unavailable on their own
    budget.recordSummary(later, b);
    EXPECT_EQ(budget.recordSummary(later, a).mustReadmit.size(), 4U);
}

} // namespace
} // namespace daisyhaven::dispatch

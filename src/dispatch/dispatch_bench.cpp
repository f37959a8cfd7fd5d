// Benchmarks load balancing, fairness and failure detection of dispatch in virtual time, each next
// to its baseline.
//
// Usage: dispatch_bench [SEEDS [choice|fairness|detection|path|healthy]]
#include "dispatch/zonesimulator.h"

#include <cstdio>
#include <cstdlib>

namespace daisyhaven::dispatch {
namespace {

constexpr Seconds FaultStart { 20 };

struct FaultRow
{
    const char *name;
    FaultKind kind;
};

constexpr FaultRow Faults[] {
    { "slow tenfold", FaultKind::Slow }, { "slow tenfold on a tenth", FaultKind::PartlySlow },
    { "failing", FaultKind::Failing },   { "failing three in ten", FaultKind::PartlyFailing },
    { "stalling", FaultKind::Stalling }, { "flapping each second", FaultKind::Flapping },
};

void measureDetection(int seeds, bool exponential, double load, const char *policyName,
                      const health::DetectionPolicy &policy)
{
    for (const FaultRow &fault : Faults) {
        std::vector<double> seconds;
        std::size_t missed = 0;
        std::size_t falseEjectionCount = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            SimulationOptions options;
            options.utilization = load;
            options.exponentialServiceTime = exponential;
            options.fault = fault.kind;
            options.faultStart = FaultStart;
            options.detection = policy;
            const SimulationResult result = ZoneSimulator(options, static_cast<std::uint64_t>(seed))
                                                .run(FaultStart + Seconds(10));
            falseEjectionCount += result.falseEjections;
            if (result.detectionTime) {
                seconds.push_back(std::chrono::duration<double>(*result.detectionTime).count());
            } else {
                ++missed;
            }
        }
        std::printf("detection %-11s %-9s load %.2f %-24s p50 %.2f s p99 %.2f s max %.2f s missed "
                    "%zu of %d false %zu\n",
                    policyName, exponential ? "exp" : "lognormal", load, fault.name,
                    percentile(seconds, 0.5), percentile(seconds, 0.99), percentile(seconds, 1),
                    missed, seeds, falseEjectionCount);
    }
}

void measurePath(int seeds, int lostVms)
{
    std::vector<double> seconds;
    std::size_t ejected = 0;
    std::size_t missed = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimulationOptions options;
        options.fault = FaultKind::PathLost;
        options.vmsWithLostPath = lostVms;
        options.faultStart = FaultStart;
        const SimulationResult result =
            ZoneSimulator(options, static_cast<std::uint64_t>(seed)).run(FaultStart + Seconds(10));
        ejected += result.ejections;
        if (result.pathBlockingTime) {
            seconds.push_back(std::chrono::duration<double>(*result.pathBlockingTime).count());
        } else {
            ++missed;
        }
    }
    std::printf(
        "path      responses lost to %d of 14 VMs: all paths blocked p50 %.2f s p99 %.2f s, "
        "missed %zu of %d, server ejected %zu times\n",
        lostVms, percentile(seconds, 0.5), percentile(seconds, 0.99), missed, seeds, ejected);
}

void measureFalseEjections(int seeds, bool exponential, double load, bool allSlow,
                           const char *policyName, const health::DetectionPolicy &policy)
{
    std::size_t ejections = 0;
    std::uint32_t minServing = UINT32_MAX;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimulationOptions options;
        options.utilization = allSlow ? load / 10 : load;
        options.exponentialServiceTime = exponential;
        options.slowAllServers = allSlow;
        options.faultStart = FaultStart;
        options.detection = policy;
        const SimulationResult result =
            ZoneSimulator(options, 1000 + static_cast<std::uint64_t>(seed))
                .run(allSlow ? Seconds(60) : Seconds(600));
        ejections += result.ejections;
        minServing = std::min(minServing, result.minServersInRotation);
    }
    std::printf("healthy   %-11s %-9s load %.2f %-24s false ejections %zu in %d runs, min "
                "serving %u of 12\n",
                policyName, exponential ? "exp" : "lognormal", load,
                allSlow ? "all slow tenfold, 60 s" : "600 s", ejections, seeds, minServing);
}

void measureLoadBalancing(int seeds, double load, LoadBalancingMode mode, const char *name,
                          const SelectionPolicy &selection)
{
    SimulationResult total;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimulationOptions options;
        options.utilization = load;
        options.loadBalancingMode = mode;
        options.selection = selection;
        const SimulationResult result =
            ZoneSimulator(options, static_cast<std::uint64_t>(seed)).run(Seconds(30));
        total.requests += result.requests;
        total.rejected += result.rejected;
        total.latenciesMs.insert(total.latenciesMs.end(), result.latenciesMs.begin(),
                                 result.latenciesMs.end());
    }
    std::printf("choice    %-24s load %.2f rejected %.2f%% p50 %.1f ms p99 %.1f ms\n", name, load,
                100.0 * static_cast<double>(total.rejected) / static_cast<double>(total.requests),
                percentile(total.latenciesMs, 0.5), percentile(total.latenciesMs, 0.99));
}

// The first team sends up to five times its share. No rate limit applies, so that only the fairness
// of the queue protects the other teams.
void measureFairness(int seeds)
{
    for (const double factor : { 1.0, 5.0 }) {
        std::vector<double> otherLatencies;
        std::map<std::string, std::size_t> served;
        std::size_t requestCount = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            SimulationOptions options;
            options.utilization = 0.6;
            options.firstTeamLoadFactor = factor;
            const SimulationResult result =
                ZoneSimulator(options, static_cast<std::uint64_t>(seed)).run(Seconds(30));
            requestCount += result.requests;
            for (const auto &[team, latencies] : result.latenciesByTeamMs) {
                served[team] += latencies.size();
                if (team != "team0") {
                    otherLatencies.insert(otherLatencies.end(), latencies.begin(), latencies.end());
                }
            }
        }
        std::size_t leastServed = SIZE_MAX;
        for (const auto &[team, count] : served) {
            leastServed = team == "team0" ? leastServed : std::min(leastServed, count);
        }
        const double requestsPerOtherTeam = static_cast<double>(requestCount) / (3 + factor);
        std::printf(
            "fairness  first team sends %.0f times its share: p99 of the other teams %.1f ms, "
            "least-served other team got %.1f%% of its requests\n",
            factor, percentile(otherLatencies, 0.99),
            100.0 * static_cast<double>(leastServed) / requestsPerOtherTeam);
    }
}

int run(int seeds, const std::string &selectedPart)
{
    const auto isSelected = [&](const char *name) {
        return selectedPart.empty() || selectedPart == name;
    };
    const health::LikelihoodRatioPolicy likelihood;
    const health::ConsecutiveFailurePolicy consecutive;
    for (const double load : { 0.5, 0.7, 0.85 }) {
        if (!isSelected("choice")) {
            break;
        }
        const int runs = seeds / 5 + 1;
        measureLoadBalancing(runs, load, LoadBalancingMode::LocalLeastRequest,
                             "local view, 3 attempts", LeastLoaded {});
        measureLoadBalancing(runs, load, LoadBalancingMode::Dispatcher, "dispatcher, two choices",
                             PowerOfTwoChoices {});
        measureLoadBalancing(runs, load, LoadBalancingMode::Dispatcher, "dispatcher, least loaded",
                             LeastLoaded {});
    }
    if (isSelected("fairness")) {
        measureFairness(seeds / 5 + 1);
    }
    for (const bool exponential : { false, true }) {
        if (isSelected("detection")) {
            measureDetection(seeds, exponential, 0.6, "consecutive", consecutive);
            measureDetection(seeds, exponential, 0.6, "likelihood", likelihood);
            measureDetection(seeds, exponential, 0.3, "likelihood", likelihood);
        }
    }
    if (isSelected("path")) {
        for (const int lostVms : { 1, 2, 5 }) {
            measurePath(seeds, lostVms);
        }
    }
    for (const bool exponential : { false, true }) {
        if (isSelected("healthy")) {
            const int runs = seeds / 10 + 1;
            measureFalseEjections(runs, exponential, 0.6, false, "consecutive", consecutive);
            measureFalseEjections(runs, exponential, 0.6, false, "likelihood", likelihood);
            measureFalseEjections(runs, exponential, 0.6, true, "likelihood", likelihood);
        }
    }
    return 0;
}

} // namespace
} // namespace daisyhaven::dispatch

int main(int argumentCount, char **arguments)
{
    const int seeds = argumentCount > 1 ? std::atoi(arguments[1]) : 100;
    const std::string selectedPart = argumentCount > 2 ? arguments[2] : "";
    return daisyhaven::dispatch::run(seeds, selectedPart);
}

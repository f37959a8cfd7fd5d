// The floor while a service loses requests. Pattern: a service that receives only requests that are
// not idempotent, so that no request can probe its servers cheaply. Two in five of its servers fail
// for some seconds and recover, and the others lose a part of their requests.
#include "testing/schedulerfleet.h"

#include <gtest/gtest.h>

#include <queue>
#include <random>

namespace daisyhaven::scheduler {
namespace {

constexpr int Servers = 22;
constexpr int FailingServers = 9;
constexpr double RequestsPerSecond = 130;
constexpr Milliseconds StepLength { 5 };
constexpr Milliseconds ServiceTime { 200 };
constexpr Seconds FailureLength { 4 };
// After this time a server that failed must be in use again.
constexpr Seconds RecoveryTime { 2 };
constexpr Seconds Window { 2 };

struct FloorCase
{
    const char *name;
    // Share of the requests that the other servers lose meanwhile.
    double lostShare = 0;
    // Whether the floor applies to a service that loses so few requests.
    bool floorApplies = false;
};

class FloorUnderLoss : public ::testing::TestWithParam<FloorCase>
{
protected:
    FloorUnderLoss() { fleet_.addServers(Servers, 4); }

    bool isFailing(const std::string &server) const
    {
        return std::stoi(server.substr(1)) < FailingServers
            && fleet_.now < StartTime + FailureLength;
    }

    void step()
    {
        fleet_.advance(StepLength);
        while (!running_.empty() && running_.top().endsAt <= fleet_.now) {
            const Running running = running_.top();
            running_.pop();
            fleet_.scheduler.releaseSlot(fleet_.now, running.slot, running.outcome, ServiceTime);
        }
        const double seconds = std::chrono::duration<double>(StepLength).count();
        for (int i = std::poisson_distribution<int>(RequestsPerSecond * seconds)(random_); i > 0;
             --i) {
            for (const Grant &grant : fleet_.requestSlot(fleet_.makeRequest()).grants) {
                start(grant);
            }
        }
        for (const Grant &grant : fleet_.takeResponses().grants) {
            start(grant);
        }
    }

    void start(const Grant &grant)
    {
        const bool lost = std::bernoulli_distribution(GetParam().lostShare)(random_);
        const bool failed = isFailing(grant.serverId) || lost;
        running_.push({ fleet_.now + ServiceTime, grant.slotId,
                        failed ? Outcome::ServerError : Outcome::Success });
        usedAt_[grant.serverId] = fleet_.now;
    }

    std::size_t serversUsedSince(Instant since) const
    {
        return static_cast<std::size_t>(
            std::count_if(usedAt_.begin(), usedAt_.end(),
                          [&](const auto &used) { return used.second >= since; }));
    }

    struct Running
    {
        Instant endsAt;
        std::uint64_t slot = 0;
        Outcome outcome = Outcome::Success;

        friend bool operator<(const Running &a, const Running &b) { return a.endsAt > b.endsAt; }
    };

    SimulatedFleet fleet_;
    std::mt19937_64 random_ { 11 };
    std::priority_queue<Running> running_;
    std::map<std::string, Instant> usedAt_;
};

TEST_P(FloorUnderLoss, RecoveredServersAreUsedAgain)
{
    const Instant recovered = StartTime + FailureLength + RecoveryTime;
    std::size_t fewest = Servers;
    while (fleet_.now < recovered + Seconds(6)) {
        step();
        if (fleet_.now >= recovered + Window) {
            fewest = std::min(fewest, serversUsedSince(fleet_.now - Duration(Window)));
        }
    }
    if (GetParam().floorApplies) {
        EXPECT_GE(static_cast<double>(fewest), Limits {}.floorShare * Servers);
    } else {
        EXPECT_GE(fewest, static_cast<std::size_t>(Servers - FailingServers));
    }
}

INSTANTIATE_TEST_SUITE_P(Services, FloorUnderLoss,
                         ::testing::Values(FloorCase { "losesOneInTen", 0.1, true },
                                           FloorCase { "losesOneInSix", 0.16, true },
                                           FloorCase { "losesAlmostNothing", 0.005, false }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::scheduler

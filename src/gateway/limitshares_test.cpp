// Simulates entry VMs that lose their leader while backend servers name request limits.
#include "gateway/internal/limitshares.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace daisyhaven::gateway {
namespace {

const Instant Start { Seconds(1000) };
constexpr Milliseconds StepLength { 20 };
constexpr Seconds LimitWindow { 4 };
constexpr double ToleratedFactor = 1.5;
constexpr double ToleratedSlack = 5; // requests

coordination::FleetView makeView(std::size_t vms, double limit)
{
    coordination::FleetView view;
    view.entryVmCount = vms;
    scheduler::KnownServer server;
    server.info.id = "s1";
    server.info.service = "orders";
    server.info.startTimeMs = 1;
    server.requestsPerSecond = limit;
    view.servers["s1"] = server;
    return view;
}

struct SharesCase
{
    const char *name;
    std::size_t vms = 0;
    double limit = 0;
    // The leader comes back and is lost again in this period; 0: it stays away.
    Duration contactPeriod { 0 };
    // VMs hear of the limit only after they lost the leader.
    bool heardLate = false;
};

class VmsWithoutLeader : public ::testing::TestWithParam<SharesCase>
{
protected:
    // All VMs send whenever their share allows. Returns the most requests in a LimitWindow.
    std::size_t simulate(Duration duration)
    {
        const SharesCase &test = GetParam();
        const coordination::FleetView view = makeView(test.vms, test.heardLate ? 0 : test.limit);
        const scheduler::KnownServer &server = view.servers.at("s1");
        std::vector<std::unique_ptr<LimitShares>> shares;
        for (std::size_t vm = 0; vm < test.vms; ++vm) {
            shares.push_back(std::make_unique<LimitShares>(vm + 1));
            shares.back()->recordLimit(Start, "s1", 1, test.limit, view);
        }
        std::size_t most = 0;
        const Instant firstContact = Start - Milliseconds(1);
        for (Instant now = Start; now < Start + duration; now += StepLength) {
            const Duration period = test.contactPeriod;
            const Instant contact =
                period == Duration(0) ? firstContact : now - (now - firstContact) % period;
            for (const auto &vm : shares) {
                if (vm->exhaustedServers(now, contact, "orders", view).empty()) {
                    vm->takeRequest(now, contact, server, view.entryVmCount);
                    arrivals_.push_back(now);
                    ++sent_;
                }
            }
            while (!arrivals_.empty() && now - arrivals_.front() >= LimitWindow) {
                arrivals_.pop_front();
            }
            most = std::max(most, arrivals_.size());
        }
        return most;
    }

    std::deque<Instant> arrivals_;
    std::size_t sent_ = 0;
};

// Guards against VMs without a leader that together exceed the limit that a server named.
TEST_P(VmsWithoutLeader, KeepTheLimitTogetherAndUseIt)
{
    const Seconds duration { 40 };
    const double windowSeconds = std::chrono::duration<double>(LimitWindow).count();
    EXPECT_LE(static_cast<double>(simulate(duration)),
              GetParam().limit * windowSeconds * ToleratedFactor + ToleratedSlack);
    const double allowed = GetParam().limit * std::chrono::duration<double>(duration).count();
    EXPECT_GE(static_cast<double>(sent_), 0.9 * allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, VmsWithoutLeader,
    ::testing::Values(SharesCase { "dozens", 44, 5.8 }, SharesCase { "hundreds", 440, 20 },
                      SharesCase { "repeatedLosses", 44, 5.8, Seconds(2) },
                      SharesCase { "heardWithoutLeader", 44, 20, Duration(0), true }),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against limits of an earlier process that hold back the next one.
TEST(LimitShares, RestartedServerHasNoLimit)
{
    LimitShares shares(1);
    coordination::FleetView view = makeView(10, 0);
    shares.recordLimit(Start, "s1", 1, 0.1, view);
    EXPECT_EQ(shares.exhaustedServers(Start, Start - Seconds(1), "orders", view).size(), 1U);
    view.servers["s1"].info.startTimeMs = 2;
    EXPECT_TRUE(shares.exhaustedServers(Start, Start - Seconds(1), "orders", view).empty());
}

} // namespace
} // namespace daisyhaven::gateway

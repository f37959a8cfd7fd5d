// Load: a service that is full, whose servers reject requests, so that retries wait by the hundred.
// Whatever waits, the retries that are sent stay within the budget of the service.
#include "testing/schedulerfleet.h"

#include <gtest/gtest.h>

namespace daisyhaven::scheduler {
namespace {

constexpr int Servers = 10;
constexpr std::uint32_t SlotsPerServer = 2;
constexpr Milliseconds ServiceTime { 20 };

struct WaitingRetriesCase
{
    const char *name;
    int waitingRetries = 0;
    // The callers of all of them leave before they get a slot.
    bool cancelled = false;
    // Retries that are sent afterwards, of those that wait and as many new ones.
    int minSent = 0;
    int maxSent = 0;
};

class WaitingRetries : public ::testing::TestWithParam<WaitingRetriesCase>
{
protected:
    static Limits makeLimits()
    {
        Limits limits;
        limits.retryRatio = 0.2;
        limits.retrySlack = 10;
        return limits;
    }

    WaitingRetries() : fleet_(makeLimits())
    {
        fleet_.addServers(Servers, SlotsPerServer);
        fleet_.advance(Milliseconds(20));
    }

    // Takes every slot with first attempts.
    void fill()
    {
        for (std::uint32_t i = 0; i < Servers * SlotsPerServer; ++i) {
            fleet_.scheduler.requestSlot(fleet_.now, fleet_.makeRequest());
        }
        collectGrants();
    }

    void requestRetries(int count)
    {
        for (int i = 0; i < count; ++i) {
            SlotRequest request = fleet_.makeRequest();
            request.isRetry = true;
            request.hasRateToken = true;
            request.idempotent = true;
            retries_.insert(request.key);
            fleet_.scheduler.requestSlot(fleet_.now, request);
        }
        collectGrants();
    }

    void collectGrants()
    {
        for (const Grant &grant : fleet_.takeResponses().grants) {
            slots_.push_back(grant.slotId);
            sentRetries_ += static_cast<int>(retries_.count(grant.key));
        }
    }

    // Answers what runs until nothing runs any more.
    void drain()
    {
        while (!slots_.empty()) {
            fleet_.advance(ServiceTime);
            const std::vector<std::uint64_t> ended = std::exchange(slots_, {});
            for (const std::uint64_t slot : ended) {
                fleet_.scheduler.releaseSlot(fleet_.now, slot, Outcome::Success, ServiceTime);
            }
            collectGrants();
        }
    }

    SimulatedFleet fleet_;
    std::vector<std::uint64_t> slots_;
    std::set<SlotRequestKey> retries_;
    int sentRetries_ = 0;
};

TEST_P(WaitingRetries, StayWithinTheBudget)
{
    fill();
    requestRetries(GetParam().waitingRetries);
    if (GetParam().cancelled) {
        for (const SlotRequestKey &key : retries_) {
            fleet_.scheduler.cancelRequest(fleet_.now, key);
        }
    }
    drain();
    requestRetries(GetParam().waitingRetries);
    drain();
    EXPECT_GE(sentRetries_, GetParam().minSent);
    EXPECT_LE(sentRetries_, GetParam().maxSent);
}

// The budget is 0.2 x 20 first attempts + 10, of which 10 can be sent at once.
INSTANTIATE_TEST_SUITE_P(Loads, WaitingRetries,
                         ::testing::Values(WaitingRetriesCase { "fewWait", 5, false, 10, 10 },
                                           WaitingRetriesCase { "hundredWait", 100, false, 10, 14 },
                                           WaitingRetriesCase { "hundredLeave", 100, true, 10,
                                                                14 }),
                         [](const auto &info) { return std::string(info.param.name); });

// Load: the servers reject most requests shortly before one leader follows another.
TEST(RetryBudget, HoldsAcrossAChangeOfTheLeader)
{
    constexpr int FirstAttemptsPerSecond = 100;
    Limits limits;
    limits.retryRatio = 0.2;
    limits.retrySlack = 10;
    int firstAttempts = 0;
    int retries = 0;
    const auto lead = [&](SimulatedFleet &fleet, Milliseconds length, int retriesPerFirst) {
        const Instant end = fleet.now + length;
        while (fleet.now < end) {
            fleet.advance(Milliseconds(1000 / FirstAttemptsPerSecond));
            for (int i = 0; i <= retriesPerFirst; ++i) {
                SlotRequest request = fleet.makeRequest();
                request.isRetry = i > 0;
                request.hasRateToken = i > 0;
                for (const Grant &grant : fleet.requestSlot(request).grants) {
                    ++(request.isRetry ? retries : firstAttempts);
                    fleet.scheduler.releaseSlot(fleet.now, grant.slotId, Outcome::Shed,
                                                Milliseconds(1));
                    fleet.advance(Milliseconds(0));
                }
            }
        }
    };
    // Together as long as the window of the budget.
    SimulatedFleet first(limits);
    first.addServers(400, SlotsPerServer);
    lead(first, Milliseconds(7000), 0);
    lead(first, Milliseconds(1000), 3);
    SimulatedFleet second(limits);
    second.scheduler.tick(second.now);
    second.addServers(400, SlotsPerServer);
    lead(second, Milliseconds(2000), 3);
    EXPECT_LE(retries, limits.retryRatio * firstAttempts + limits.retrySlack);
    EXPECT_GE(retries, 40);
}

} // namespace
} // namespace daisyhaven::scheduler

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

// The budget is 0.2 x 20 first attempts + 10.
INSTANTIATE_TEST_SUITE_P(Loads, WaitingRetries,
                         ::testing::Values(WaitingRetriesCase { "fewWait", 5, false, 10, 10 },
                                           WaitingRetriesCase { "hundredWait", 100, false, 14, 14 },
                                           WaitingRetriesCase { "hundredLeave", 100, true, 14,
                                                                14 }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::scheduler

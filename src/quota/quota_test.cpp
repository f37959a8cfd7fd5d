#include "quota/quota.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace daisyhaven::quota {
namespace {

// Returns the largest number of starts in excess of burst + rate x W over all windows of W seconds.
double maxExcessStarts(std::vector<Instant> starts, const TeamRateLimit &team)
{
    std::sort(starts.begin(), starts.end());
    double maxExcess = -team.burst;
    for (std::size_t i = 0; i < starts.size(); ++i) {
        for (std::size_t j = i; j < starts.size(); ++j) {
            const double window = std::chrono::duration<double>(starts[j] - starts[i]).count();
            const double allowed = team.burst + team.rate * window;
            maxExcess = std::max(maxExcess, static_cast<double>(j - i + 1) - allowed);
        }
    }
    return maxExcess;
}

constexpr int VmCount = 4;
constexpr Milliseconds TimeStep { 2 };
constexpr Milliseconds LeaseDuration { 1764 };

// Simulates entry VMs that request tokens from successive owners, which crash or lose their lease.
class QuotaSimulation
{
public:
    QuotaSimulation(std::uint64_t seed, const TeamRateLimit &team, double demandFactor)
        : random_(seed), team_(team), demandPerSecond_(demandFactor * team.rate), owner_(now_)
    {
        owner_.setTeam(now_, team);
        leaseEnd_ = now_ + LeaseDuration;
        for (int i = 0; i < VmCount; ++i) {
            vms_.push_back({ TokenPool(Prefetch {}), std::nullopt });
        }
    }

    // Stops the owner from renewing its lease, so that another owner starts when the lease expires.
    // Until then the old owner still responds unless it has crashed.
    void stopLeaseRenewal(bool ownerCrashed)
    {
        renewing_ = false;
        ownerCrashed_ = ownerCrashed;
    }
    // Sets the fraction of requests that start just before their token expires.
    void setLateStartFraction(double fraction) { lateStartFraction_ = fraction; }
    void setSlowNetwork(bool slowNetwork) { slowNetwork_ = slowNetwork; }

    // Adds `count` requests at once.
    void addBurst(int count)
    {
        for (int i = 0; i < count; ++i) {
            ++requested_;
            vms_[i % VmCount].pool.addWaiter(now_, { ++lastRequest_, now_ + Seconds(4) });
        }
    }

    void setDemandFactor(double factor) { demandPerSecond_ = factor * team_.rate; }

    void run(Duration duration, int onlyVm)
    {
        const Instant end = now_ + duration;
        while (now_ < end) {
            now_ += TimeStep;
            step(onlyVm);
        }
    }

    const std::vector<Instant> &starts() const { return starts_; }
    std::size_t requested() const { return requested_; }
    std::size_t rejected() const { return rejected_; }

private:
    struct PendingRequest
    {
        TokenRequest request;
        Instant sentAt;
        Instant arrivesAt;
        std::optional<TokenResponse> response;
        Instant responseAt;
    };
    struct Vm
    {
        TokenPool pool;
        std::optional<PendingRequest> pendingRequest;
    };

    void step(int onlyVm)
    {
        if (renewing_) {
            leaseEnd_ = now_ + LeaseDuration;
        } else if (now_ >= leaseEnd_) {
            owner_ = QuotaOwner(now_);
            owner_.setTeam(now_, team_);
            renewing_ = true;
            ownerCrashed_ = false;
            leaseEnd_ = now_ + LeaseDuration;
        }
        for (int i = 0; i < VmCount; ++i) {
            const double share =
                onlyVm < 0 ? demandPerSecond_ / VmCount : (i == onlyVm ? demandPerSecond_ : 0);
            addArrivals(vms_[i], share);
            exchangeTokens(vms_[i]);
            processDecisions(vms_[i]);
        }
    }

    void addArrivals(Vm &vm, double rate)
    {
        const double expected = rate * std::chrono::duration<double>(TimeStep).count();
        std::poisson_distribution<int> arrivals(expected);
        const int count = expected > 0 ? arrivals(random_) : 0;
        for (int i = 0; i < count; ++i) {
            ++requested_;
            vm.pool.addWaiter(now_, { ++lastRequest_, now_ + Seconds(4) });
        }
    }

    void exchangeTokens(Vm &vm)
    {
        if (!vm.pendingRequest) {
            if (auto request = vm.pool.startNextRequest(now_)) {
                request->team = team_.name;
                request->vm = std::to_string(&vm - vms_.data());
                request->vmIncarnation = 1;
                vm.pendingRequest =
                    PendingRequest { *request, now_, now_ + networkDelay(), std::nullopt, {} };
            }
            return;
        }
        PendingRequest &pending = *vm.pendingRequest;
        if (!pending.response && now_ >= pending.arrivesAt) {
            const bool unavailable = now_ >= leaseEnd_ || ownerCrashed_;
            if (unavailable) {
                vm.pool.handleRequestFailure(now_);
                vm.pendingRequest.reset();
                return;
            }
            pending.response = owner_.grantTokens(now_, pending.request);
            pending.responseAt = now_ + networkDelay();
        }
        if (pending.response && now_ >= pending.responseAt) {
            vm.pool.handleResponse(now_, pending.sentAt, *pending.response);
            vm.pendingRequest.reset();
        }
    }

    void processDecisions(Vm &vm)
    {
        for (const TokenPool::Decision &decision : vm.pool.takeDecisions(now_)) {
            if (!decision.granted) {
                ++rejected_;
                continue;
            }
            // Worst case for the rate limit: the request starts just before its token expires.
            const bool startsLate =
                std::uniform_real_distribution<>(0, 1)(random_) < lateStartFraction_;
            const Instant latestStart = decision.validUntil - Duration(1);
            starts_.push_back(startsLate ? std::max(latestStart, now_) : now_);
        }
    }

    Duration networkDelay()
    {
        const int maxDelayUs = slowNetwork_ ? 200'000 : 2'000;
        return Duration(std::uniform_int_distribution<>(200, maxDelayUs)(random_));
    }

    std::mt19937_64 random_;
    TeamRateLimit team_;
    double demandPerSecond_;
    Instant now_ { Seconds(100) };
    QuotaOwner owner_;
    Instant leaseEnd_;
    bool renewing_ = true;
    bool ownerCrashed_ = false;
    bool slowNetwork_ = false;
    double lateStartFraction_ = 0;
    std::vector<Vm> vms_;
    std::vector<Instant> starts_;
    std::uint64_t lastRequest_ = 0;
    std::size_t requested_ = 0;
    std::size_t rejected_ = 0;
};

TEST(QuotaFuzz, NeverExceedsBurstPlusRateInAnyWindow)
{
    const bool holds = rc::check([](std::uint64_t seed) {
        const double rate = *rc::gen::inRange(1, 200);
        const double burst = std::ceil(1 + 0.04 * rate) + *rc::gen::inRange(0, 100);
        const TeamRateLimit team { "t", rate, burst };
        QuotaSimulation simulation(seed, team, *rc::gen::inRange(1, 50) * 0.1);
        const auto events =
            *rc::gen::resize(12, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
        for (const int event : events) {
            if (event % 3 == 0) {
                simulation.stopLeaseRenewal(event % 2 == 0);
            }
            simulation.setSlowNetwork(event % 5 == 0);
            simulation.setLateStartFraction(0.5 * (event / 7 % 3));
            simulation.setDemandFactor(event % 4 == 1 ? 0 : 0.05 * event);
            if (event % 4 == 2) {
                simulation.addBurst(2 * event);
            }
            simulation.run(Milliseconds(100 + 20 * event), event % 2 == 0 ? -1 : event % VmCount);
        }
        RC_ASSERT(maxExcessStarts(simulation.starts(), team) <= 1e-6);
    });
    EXPECT_TRUE(holds);
}

struct DemandCase
{
    const char *name;
    TeamRateLimit team;
    double demandFactor; // demand as a multiple of the rate
    int onlyVm; // -1: requests are spread over all VMs
    bool stopLeaseRenewal;
    double minServedFraction; // minimum fraction of the requests
};

class DemandWithinRate : public ::testing::TestWithParam<DemandCase>
{
};

// Requests within the rate limit are served, even if they all arrive at one VM or the owner
// changes.
TEST_P(DemandWithinRate, IsServed)
{
    const DemandCase &demand = GetParam();
    QuotaSimulation simulation(7, demand.team, demand.demandFactor);
    simulation.run(Seconds(5), demand.onlyVm);
    if (demand.stopLeaseRenewal) {
        simulation.stopLeaseRenewal(true);
    }
    simulation.run(Seconds(15), demand.onlyVm);
    const auto requested = static_cast<double>(simulation.requested());
    EXPECT_LE(static_cast<double>(simulation.rejected()),
              requested * (1 - demand.minServedFraction))
        << demand.name << ": " << simulation.rejected() << " of " << requested;
    EXPECT_LE(maxExcessStarts(simulation.starts(), demand.team), 1e-6) << demand.name;
}

INSTANTIATE_TEST_SUITE_P(
    Demands, DemandWithinRate,
    ::testing::Values(DemandCase { "half the rate", { "t", 100, 50 }, 0.5, -1, false, 1 },
                      DemandCase { "most of the rate", { "t", 100, 50 }, 0.8, -1, false, 1 },
                      DemandCase { "all through one VM", { "t", 100, 50 }, 0.8, 2, false, 1 },
                      DemandCase { "a small burst", { "t", 20, 3 }, 0.6, -1, false, 1 },
                      DemandCase { "a change of owner", { "t", 100, 50 }, 0.6, -1, true, 0.999 }));

// A team that sends five times its rate still gets its full rate.
TEST(QuotaOwner, OverloadedTeamGetsItsFullRate)
{
    const TeamRateLimit team { "t", 100, 50 };
    QuotaSimulation simulation(3, team, 5);
    simulation.run(Seconds(20), -1);
    const auto started = static_cast<double>(simulation.starts().size());
    EXPECT_GE(started, 100 * 20 * 0.95);
    EXPECT_LE(started, 100 * 20 + 50);
}

// A VM that prefetches tokens does not send the next request at once when the owner has none left.
TEST(TokenPool, DelaysTheNextRequestWhenTheOwnerHasNoTokens)
{
    Instant now { Seconds(10) };
    TokenPool pool(Prefetch {});
    for (std::uint64_t i = 0; i < 100; ++i) {
        now += Milliseconds(2);
        pool.addWaiter(now, { i, now + Seconds(1) });
        if (pool.startNextRequest(now)) {
            pool.handleResponse(now, now, { i + 1, 1, Milliseconds(250), 0, Duration(0) });
        }
        pool.takeDecisions(now);
    }
    now += Milliseconds(20);
    ASSERT_TRUE(pool.startNextRequest(now)); // prefetches more than the queued requests need
    pool.handleResponse(now, now, { 0, 0, Milliseconds(250), 0, Duration(0) });
    EXPECT_FALSE(pool.startNextRequest(now));
    EXPECT_TRUE(pool.startNextRequest(now + Milliseconds(50)));
}

TEST(QuotaOwner, NewOwnerStartsWithAnEmptyBucket)
{
    const Instant start { Seconds(5) };
    QuotaOwner owner(start);
    const TeamRateLimit team { "t", 10, 20 };
    owner.setTeam(start, team);
    TokenRequest request { "t", "vm", 1, 1, 20, 20, Seconds(1), {} };
    EXPECT_EQ(owner.grantTokens(start, request).grantedTokens, 0U);
    request.sequence = 2;
    const Instant later = start + tokenLifetime(team) + Milliseconds(510);
    EXPECT_EQ(owner.grantTokens(later, request).grantedTokens, 5U);
}

// Prefetched tokens count toward the burst: a burst of requests does not get them in addition to
// it.
TEST(QuotaOwner, PrefetchedTokensCountTowardTheBurst)
{
    const TeamRateLimit team { "t", 200, 101 };
    QuotaSimulation simulation(11, team, 0.5);
    for (int i = 0; i < 10; ++i) {
        simulation.setDemandFactor(0.5);
        simulation.run(Seconds(6), -1);
        simulation.addBurst(400);
        simulation.setDemandFactor(0);
        simulation.run(Seconds(2), -1);
    }
    EXPECT_LE(maxExcessStarts(simulation.starts(), team), 1e-6);
}

// Tokens that an owner grants at the end of its lease can still be consumed after the next owner
// starts.
TEST(QuotaOwner, TakeoverKeepsTheRateLimit)
{
    const TeamRateLimit team { "t", 100, 51 };
    QuotaSimulation simulation(5, team, 0.2);
    for (int i = 0; i < 40; ++i) {
        simulation.run(Milliseconds(2000 + 40 * i), -1);
        simulation.stopLeaseRenewal(false);
        simulation.run(LeaseDuration - Milliseconds(6 * i), -1);
        simulation.setLateStartFraction(1);
        simulation.addBurst(200);
        simulation.run(Milliseconds(300), -1);
        simulation.setLateStartFraction(0);
        simulation.run(Seconds(1), -1);
    }
    EXPECT_LE(maxExcessStarts(simulation.starts(), team), 1e-6);
}

TEST(QuotaOwner, IgnoresDuplicateRequestsAndReturns)
{
    const Instant start { Seconds(5) };
    QuotaOwner owner(start);
    const TeamRateLimit team { "t", 1, 20 };
    owner.setTeam(start, team);
    const Instant later = start + Seconds(60);
    const TokenResponse first =
        owner.grantTokens(later, { "t", "vm", 1, 1, 20, 0, Seconds(1), {} });
    ASSERT_EQ(first.grantedTokens, 20U);
    const TokenRequest returnRequest {
        "t", "vm", 1, 2, 0, 0, Seconds(1), { { first.grantId, 3 } }
    };
    owner.grantTokens(later, returnRequest);
    owner.grantTokens(later, returnRequest);
    const TokenResponse second =
        owner.grantTokens(later, { "t", "vm", 1, 3, 20, 0, Seconds(1), {} });
    EXPECT_EQ(second.grantedTokens, 3U);
}

} // namespace
} // namespace daisyhaven::quota

// Teams that compete for too few slots: who is served, who waits and who is rejected.
#include "testing/grayservers.h"
#include "testing/schedulerfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>

namespace daisyhaven::scheduler {
namespace {

constexpr Milliseconds StepLength { 5 };
constexpr std::uint32_t SlotsPerServer = 4;
// A rejection within this time of the arrival counts as one at once.
constexpr Milliseconds AtOnce { 100 };
constexpr double BusySeconds = 9;
// The scheduler averages rates of arrival over this time.
constexpr double RateAveragingSeconds = 2.5;

// Requests of one kind that a team sends.
struct Load
{
    const char *team;
    double perSecond = 0;
    // The team sends this many times as much in the busy seconds.
    double busyFactor = 1;
    Milliseconds target { 1500 };
    Milliseconds deadline { 4000 };
    std::uint32_t priority = 1;
};

struct Result
{
    double sent = 0;
    double served = 0;
    double onTarget = 0;
    double rejected = 0;
    double rejectedLate = 0;
    Duration totalWait { 0 };

    double servedShare() const { return served / sent; }
    double onTargetShare() const { return onTarget / sent; }
};

struct FairShareCase
{
    const char *name;
    std::vector<Load> loads;
    int servers = 0;
    Milliseconds slotTime { 300 };
    // In the busy seconds, 40% of the servers take this many times as long.
    double slowFactor = 1;
    // What the first load, which is within its share, gets at least.
    double servedShare = 0;
    double onTargetShare = 0;
};

// A service with a quiet time, busy seconds from BusyFrom to BusyUntil, and a time to recover.
class ContendedService
{
public:
    explicit ContendedService(const FairShareCase &contention)
        : contention_(contention), results_(contention.loads.size()), due_(results_.size())
    {
        fleet_.addServers(contention.servers, SlotsPerServer);
    }

    const std::vector<Result> &run()
    {
        while (fleet_.now < StartTime + End) {
            fleet_.advance(StepLength);
            finish();
            for (std::size_t i = 0; i < contention_.loads.size(); ++i) {
                sendUntil(StartTime + SendUntil, i);
            }
            process();
        }
        return results_;
    }

    // Slots that stayed free while a request waited, as a share of all steps.
    double idleShare() const { return idleSteps_ / steps_; }

private:
    static constexpr Seconds BusyFrom { 5 };
    static constexpr Seconds BusyUntil { 14 };
    static constexpr Seconds SendUntil { 20 };
    static constexpr Seconds End { 40 };

    struct Sent
    {
        std::size_t load = 0;
        Instant at;
        SlotRequest request;
    };
    struct Running
    {
        Instant endsAt;
        Grant grant;
        Duration latency { 0 };
        Outcome outcome = Outcome::Success;
        friend bool operator<(const Running &a, const Running &b) { return a.endsAt > b.endsAt; }
    };

    bool isBusy() const
    {
        return fleet_.now >= StartTime + BusyFrom && fleet_.now < StartTime + BusyUntil;
    }

    void sendUntil(Instant end, std::size_t index)
    {
        if (fleet_.now >= end) {
            return;
        }
        const Load &load = contention_.loads.at(index);
        due_.at(index) += load.perSecond * (isBusy() ? load.busyFactor : 1)
            * std::chrono::duration<double>(StepLength).count();
        for (; due_.at(index) >= 1; due_.at(index) -= 1) {
            SlotRequest request = fleet_.makeRequest();
            request.team = load.team;
            request.priority = load.priority;
            request.targetTime = fleet_.now + load.target;
            request.deadline = fleet_.now + load.deadline;
            request.route = std::to_string(load.target.count());
            sent_[request.key] = { index, fleet_.now, request };
            results_.at(index).sent += 1;
            fleet_.scheduler.requestSlot(fleet_.now, request);
        }
    }

    void process()
    {
        const auto responses = fleet_.takeResponses();
        for (const Grant &grant : responses.grants) {
            const Sent &sent = sent_.at(grant.key);
            const bool slow = isBusy() && grant.serverId.back() % 5 < 2;
            const double factor = slow ? contention_.slowFactor : 1;
            Duration latency = drawServiceTime(
                random_, static_cast<double>(contention_.slotTime.count()) * factor, 0.3);
            const Duration left = sent.request.deadline - fleet_.now;
            const Outcome outcome = latency > left ? Outcome::ResponseTimeout : Outcome::Success;
            latency = std::min(latency, left);
            results_.at(sent.load).totalWait += fleet_.now - sent.at;
            running_.push({ fleet_.now + latency, grant, latency, outcome });
        }
        for (const Rejection &rejection : responses.rejections) {
            const Sent &sent = sent_.at(rejection.key);
            results_.at(sent.load).rejected += 1;
            results_.at(sent.load).rejectedLate += fleet_.now - sent.at > AtOnce ? 1 : 0;
        }
        steps_ += 1;
        const auto slots = static_cast<std::size_t>(contention_.servers) * SlotsPerServer;
        const bool idles = fleet_.scheduler.queuedRequestCount() > 0 && running_.size() < slots;
        idleSteps_ += idles ? 1 : 0;
    }

    void finish()
    {
        while (!running_.empty() && running_.top().endsAt <= fleet_.now) {
            const Running ended = running_.top();
            running_.pop();
            const Sent &sent = sent_.at(ended.grant.key);
            const bool success = ended.outcome == Outcome::Success;
            results_.at(sent.load).served += success ? 1 : 0;
            results_.at(sent.load).onTarget +=
                success && fleet_.now <= sent.request.targetTime ? 1 : 0;
            fleet_.scheduler.releaseSlot(fleet_.now, ended.grant.slotId, ended.outcome,
                                         ended.latency);
        }
    }

    FairShareCase contention_;
    SimulatedFleet fleet_;
    std::mt19937_64 random_ { 1 };
    std::vector<Result> results_;
    std::vector<double> due_;
    std::map<SlotRequestKey, Sent> sent_;
    std::priority_queue<Running> running_;
    double steps_ = 0;
    double idleSteps_ = 0;
};

class FairShares : public testing::TestWithParam<FairShareCase>
{
};

TEST_P(FairShares, TeamWithinItsShareIsServed)
{
    ContendedService service(GetParam());
    const std::vector<Result> &results = service.run();
    EXPECT_GE(results.front().servedShare(), GetParam().servedShare);
    EXPECT_GE(results.front().onTargetShare(), GetParam().onTargetShare);
    for (const Result &result : results) {
        // Who cannot be served is told at once, once the averaged rates follow, and nobody starves.
        EXPECT_LE(result.rejectedLate, RateAveragingSeconds / BusySeconds * result.rejected);
        EXPECT_GE(result.servedShare(), 0.25);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Loads, FairShares,
    testing::Values(
        FairShareCase { "HotTeamAtFiveTimesItsUsual",
                        { { "calm", 50 }, { "hot", 20, 5 } },
                        10,
                        Milliseconds(300),
                        1,
                        0.99,
                        0.99 },
        FairShareCase { "PatientBurstBesideShortRequests",
                        { { "calm", 50, 1, Milliseconds(1000), Milliseconds(2500) },
                          { "patient", 50, 2.6, Milliseconds(8000), Milliseconds(15000) } },
                        10,
                        Milliseconds(300),
                        1,
                        0.99,
                        0.99 },
        FairShareCase { "HotTeamBesideSlowServers",
                        { { "calm", 30 }, { "hot", 15, 5 } },
                        10,
                        Milliseconds(300),
                        12,
                        0.9,
                        0.9 },
        FairShareCase {
            "UrgentKindBesideHotTeam",
            { { "urgent", 75, 1.3, Milliseconds(600), Milliseconds(2500), 0 }, { "hot", 20, 5 } },
            10,
            Milliseconds(300),
            1,
            0.99,
            0.95 }),
    [](const auto &info) { return info.param.name; });

// Cheap requests that have eight seconds come at 2.6 times their usual for nine seconds. They wait.
TEST(PatientBurst, WaitsInsteadOfBeingRejected)
{
    const Load patient { "patient", 20, 2.6, Milliseconds(8000), Milliseconds(15000) };
    ContendedService service({ "", { patient }, 4, Milliseconds(300), 1, 0, 0 });
    const Result result = service.run().front();
    EXPECT_GE(result.servedShare(), 0.95);
    EXPECT_EQ(result.rejected, 0);
}

TEST(HotTeam, UsesAllSlotsThatOthersLeave)
{
    ContendedService service(
        { "", { { "calm", 2 }, { "hot", 80 } }, 4, Milliseconds(300), 1, 0, 0 });
    const std::vector<Result> &results = service.run();
    EXPECT_EQ(service.idleShare(), 0);
    EXPECT_EQ(results.front().rejected, 0);
}

// A fleet of one slot, which is in use; one request takes 150 ms.
class FullService : public testing::Test
{
protected:
    FullService()
    {
        fleet_.addServers(1, 1);
        fleet_.advance(Milliseconds(20));
        running_ = fleet_.requestSlot(fleet_.makeRequest()).grants.at(0).slotId;
    }

    SlotRequest requestOf(const std::string &team)
    {
        SlotRequest request = fleet_.makeRequest();
        request.team = team;
        return request;
    }

    SlotRequest patientRequestOf(const std::string &team)
    {
        SlotRequest request = requestOf(team);
        request.deadline = fleet_.now + Seconds(60);
        request.targetTime = request.deadline;
        return request;
    }

    // Sends requests of `team` until one is rejected.
    Rejection fillQueue(const std::string &team)
    {
        while (true) {
            const auto rejections = fleet_.requestSlot(requestOf(team)).rejections;
            if (!rejections.empty()) {
                return rejections.front();
            }
        }
    }

    // Ends the running request, and returns the key of the one that gets the slot.
    SlotRequestKey grantNext()
    {
        fleet_.advance(Milliseconds(150));
        fleet_.scheduler.releaseSlot(fleet_.now, running_, Outcome::Success, Milliseconds(150));
        const auto grants = fleet_.takeResponses().grants;
        running_ = grants.at(0).slotId;
        return grants.at(0).key;
    }

    SimulatedFleet fleet_;
    std::uint64_t running_ = 0;
};

TEST_F(FullService, NewcomerDisplacesLastRequestOfHeaviestTeam)
{
    const std::uint64_t lastOfHot = fillQueue("hot").key.sequenceNumber - 1;
    const SlotRequest calm = requestOf("calm");
    const auto rejections = fleet_.requestSlot(calm).rejections;
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.at(0).key.sequenceNumber, lastOfHot);
    EXPECT_EQ(rejections.at(0).code, ResultCode::QueueFull);
    EXPECT_GT(rejections.at(0).retryAfter, Seconds(1));
    EXPECT_EQ(fleet_.scheduler.displacedRequestCount(), 1U);
    grantNext();
    EXPECT_EQ(grantNext(), calm.key);
}

// Another team goes on to use half of the slot's time.
TEST_F(FullService, RequestThatReturnsAfterRetryAfterIsServed)
{
    const Instant returnsAt = fleet_.now + fillQueue("hot").retryAfter;
    for (int i = 0; fleet_.now < returnsAt; ++i) {
        if (i % 2 == 0) {
            fleet_.requestSlot(requestOf("calm"));
        }
        grantNext();
    }
    const SlotRequest returned = requestOf("hot");
    EXPECT_TRUE(fleet_.requestSlot(returned).rejections.empty());
    while (grantNext() < returned.key) { }
    EXPECT_LT(fleet_.now, returned.targetTime);
}

TEST_F(FullService, TeamsShareByTheirRates)
{
    fleet_.setTeams(
        { { "large", { "k" }, std::nullopt, 40, 40 }, { "small", { "l" }, std::nullopt, 10, 10 } });
    std::map<SlotRequestKey, std::string> teams;
    for (int i = 0; i < 12; ++i) {
        for (const char *team : { "small", "large" }) {
            const SlotRequest request = patientRequestOf(team);
            teams[request.key] = team;
            fleet_.scheduler.requestSlot(fleet_.now, request);
        }
    }
    std::map<std::string, int> granted;
    for (int i = 0; i < 10; ++i) {
        ++granted[teams.at(grantNext())];
    }
    EXPECT_EQ(granted["large"], 8);
    EXPECT_EQ(granted["small"], 2);
}

// A team that was idle gets its share from now on, not what it has left unused.
TEST_F(FullService, IdleTeamBanksNoCredit)
{
    std::map<SlotRequestKey, std::string> teams;
    const auto send = [&](const std::string &team) {
        const SlotRequest request = patientRequestOf(team);
        teams[request.key] = team;
        fleet_.scheduler.requestSlot(fleet_.now, request);
    };
    for (int i = 0; i < 10; ++i) {
        send("steady");
        send("steady");
        grantNext();
    }
    for (int i = 0; i < 5; ++i) {
        send("idle");
    }
    std::map<std::string, int> granted;
    for (int i = 0; i < 6; ++i) {
        ++granted[teams.at(grantNext())];
    }
    EXPECT_EQ(granted["steady"], 3);
}

TEST(WaitingRequests, AreBoundedInNumber)
{
    Limits limits;
    limits.maxWaitingRequests = 100;
    SimulatedFleet fleet(limits);
    fleet.addServers(1, 1);
    fleet.advance(Milliseconds(20));
    std::size_t rejectedOfCalm = 0;
    for (int i = 0; i < 500; ++i) {
        SlotRequest request = fleet.makeRequest();
        const bool isCalm = i % 10 == 0;
        request.team = isCalm ? "calm" : "hot";
        request.deadline = fleet.now + Seconds(600);
        request.targetTime = request.deadline;
        for (const Rejection &rejection : fleet.requestSlot(request).rejections) {
            rejectedOfCalm += rejection.key.sequenceNumber % 10 == 1 ? 1 : 0;
        }
        EXPECT_LE(fleet.scheduler.queuedRequestCount(), 100U);
    }
    EXPECT_EQ(rejectedOfCalm, 0U);
}

} // namespace
} // namespace daisyhaven::scheduler

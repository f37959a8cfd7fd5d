// Roll-outs in virtual time: a version that is bad in one of several ways, and a good one beside
// gray spells of single servers, over many seeds.
#include "rollout/rollout.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace daisyhaven::rollout {
namespace {

const Instant Start { Seconds(1000) };
constexpr Milliseconds TypicalLatency { 100 };
constexpr std::uint32_t SlotsPerServer = 2;

// What a request meets at a server.
struct Conditions
{
    double elapsed = 0; // seconds since the order
    std::string route;
    bool underLoad = false;
};

// How a version answers: with this probability an answer fails or is slow.
using BadShare = std::function<double(const Conditions &)>;

struct VersionCase
{
    const char *name;
    BadShare badShare;
    // Bad answers are slow instead of failed.
    bool slow = false;
    double durationS = 20;
    double requestsPerSecond = 120;
    int servers = 12;
    int seeds = 200;
};

struct Played
{
    Verdict verdict = Verdict::Continue;
    double decidedAfter = 0; // seconds
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    std::string reason;
};

// Two versions of a service with the same number of servers; requests arrive at random.
class SimulatedRollout
{
public:
    SimulatedRollout(const VersionCase &version, std::uint64_t seed,
                     Evaluation::Start start = Evaluation::Start::Ordered)
        : version_(version), random_(seed),
          evaluation_(Start, Start + fromSeconds(version.durationS), {}, start)
    {
        for (int i = 0; i < version.servers; ++i) {
            servers_.push_back(makeServer("new" + std::to_string(i), true));
            servers_.push_back(makeServer("old" + std::to_string(i), false));
        }
        load_.targetServers = static_cast<std::uint32_t>(version.servers);
        load_.targetSlots = load_.targetServers * SlotsPerServer;
    }

    // Plays until a verdict.
    Played play()
    {
        Played played;
        double nextArrival = 0;
        for (double elapsed = 0; elapsed < version_.durationS; elapsed += TickS) {
            const Instant now = Start + fromSeconds(elapsed);
            endRequests(now);
            while (nextArrival <= elapsed) {
                send(now, elapsed);
                nextArrival += -std::log(1 - uniform()) / version_.requestsPerSecond;
            }
            const Decision decision = evaluation_.decide(now, load_);
            if (decision.verdict != Verdict::Continue) {
                played = { decision.verdict, elapsed, load_.requests, load_.targetRequests,
                           decision.reason };
                break;
            }
        }
        return played;
    }

private:
    static constexpr double TickS = 0.1;

    struct Server
    {
        std::string id;
        bool isTarget = false;
        std::uint32_t inFlight = 0;
        // The gray spell of the server.
        double grayFrom = 0;
        double grayUntil = 0;
    };

    struct Request
    {
        Instant endsAt;
        std::size_t server = 0;
        Answer answer;
        bool operator>(const Request &other) const { return endsAt > other.endsAt; }
    };

    static Duration fromSeconds(double seconds)
    {
        return Duration(static_cast<Duration::rep>(seconds * 1e6));
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    // One server in five has a gray spell of 3 to 8 s in which it fails half of its answers.
    Server makeServer(const std::string &id, bool isTarget)
    {
        Server server { id, isTarget, 0, 0, 0 };
        if (uniform() < 0.2) {
            server.grayFrom = uniform() * version_.durationS;
            server.grayUntil = server.grayFrom + 3 + 5 * uniform();
        }
        return server;
    }

    void send(Instant now, double elapsed)
    {
        ++load_.requests;
        const std::uint64_t limit = evaluation_.maxTargetRequests(now, load_);
        const bool toTarget = load_.targetRequests < limit;
        std::vector<std::size_t> free;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            if (servers_[i].isTarget == toTarget && servers_[i].inFlight < SlotsPerServer) {
                free.push_back(i);
            }
        }
        if (free.empty()) {
            return;
        }
        const std::size_t chosen = free[random_() % free.size()];
        Server &server = servers_[chosen];
        load_.targetRequests += toTarget ? 1 : 0;
        ++load_.inFlight;
        ++server.inFlight;
        Answer answer { server.id, uniform() < 0.75 ? "read" : "write", toTarget,   false,
                        false,     server.inFlight == SlotsPerServer,   Duration(0) };
        double badShare = elapsed >= server.grayFrom && elapsed < server.grayUntil ? 0.5 : 0.01;
        if (toTarget) {
            const Conditions conditions { elapsed, answer.route, answer.underLoad };
            badShare = std::max(badShare, version_.badShare(conditions));
        }
        const bool bad = uniform() < badShare;
        answer.failed = bad && !version_.slow;
        const double multiple = (0.6 + 0.8 * uniform()) * (bad && version_.slow ? 5 : 1);
        answer.latency =
            fromSeconds(std::chrono::duration<double>(TypicalLatency).count() * multiple);
        requests_.push({ now + answer.latency, chosen, std::move(answer) });
    }

    void endRequests(Instant now)
    {
        while (!requests_.empty() && requests_.top().endsAt <= now) {
            const Request &request = requests_.top();
            --servers_[request.server].inFlight;
            --load_.inFlight;
            evaluation_.recordAnswer(now, request.answer);
            requests_.pop();
        }
    }

    VersionCase version_;
    std::mt19937_64 random_;
    Evaluation evaluation_;
    ServiceLoad load_;
    std::vector<Server> servers_;
    std::priority_queue<Request, std::vector<Request>, std::greater<>> requests_;
};

BadShare always(double share)
{
    return [share](const Conditions &) { return share; };
}

// ---- bad versions ----

class BadVersion : public ::testing::TestWithParam<VersionCase>
{
};

TEST_P(BadVersion, IsRolledBackWithinTheExposure)
{
    constexpr int MaxMissed = 4;
    const ExposureLimits limits;
    int missed = 0;
    for (int seed = 1; seed <= GetParam().seeds; ++seed) {
        const Played played = SimulatedRollout(GetParam(), seed).play();
        missed += played.verdict == Verdict::RollBack ? 0 : 1;
        const double allowed = limits.share * static_cast<double>(played.requests) + limits.slack;
        EXPECT_LE(static_cast<double>(played.targetRequests), allowed) << "seed " << seed;
    }
    EXPECT_LE(missed, MaxMissed);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, BadVersion,
    ::testing::Values(
        VersionCase { "FailsAtOnce", always(0.3) }, VersionCase { "FailsAlways", always(1) },
        VersionCase { "SlowAtOnce", always(0.4), true },
        VersionCase { "FailsLate", [](const auto &at) { return at.elapsed > 6 ? 0.4 : 0; } },
        VersionCase { "SlowLate", [](const auto &at) { return at.elapsed > 6 ? 0.5 : 0; }, true },
        VersionCase { "FailsUnderLoad", [](const auto &at) { return at.underLoad ? 0.6 : 0; } },
        VersionCase { "FailsOnOneRoute",
                      [](const auto &at) { return at.route == "write" ? 0.6 : 0; } },
        VersionCase { "SlowOnOneRoute",
                      [](const auto &at) { return at.route == "write" ? 0.6 : 0; }, true },
        VersionCase { "ShortRollout", always(0.4), false, 12 },
        VersionCase { "FewServers", always(0.5), false, 20, 25, 4 }),
    [](const auto &info) { return info.param.name; });

// ---- good versions ----

class GoodVersion : public ::testing::TestWithParam<VersionCase>
{
};

TEST_P(GoodVersion, MovesOverInTimeDespiteGrayServers)
{
    // Twice the stated rate, since the gray spells of a simulated version are no fixed fraction.
    const double maxRolledBack = 2 * FalseRollbackRate * GetParam().seeds;
    int rolledBack = 0;
    for (int seed = 1; seed <= GetParam().seeds; ++seed) {
        const Played played = SimulatedRollout(GetParam(), seed).play();
        rolledBack += played.verdict == Verdict::RollBack ? 1 : 0;
        EXPECT_NE(played.verdict, Verdict::Continue) << "seed " << seed;
        EXPECT_LT(played.decidedAfter, GetParam().durationS - 2) << "seed " << seed;
    }
    EXPECT_LE(rolledBack, maxRolledBack);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, GoodVersion,
    ::testing::Values(VersionCase { "Usual", always(0) },
                      VersionCase { "Short", always(0), false, 12 },
                      VersionCase { "Long", always(0), false, 60, 120, 12, 50 },
                      VersionCase { "ManyServers", always(0), false, 20, 600, 60, 50 },
                      VersionCase { "FewRequests", always(0), false, 20, 15, 6 }),
    [](const auto &info) { return info.param.name; });

// ---- what else decides ----

TEST(Evaluation, RollsBackWithoutServersOfTheTargetVersion)
{
    Evaluation evaluation(Start, Start + Seconds(20), {}, Evaluation::Start::Ordered);
    EXPECT_EQ(evaluation.decide(Start + Seconds(1), {}).verdict, Verdict::Continue);
    EXPECT_EQ(evaluation.decide(Start + Seconds(18), {}).verdict, Verdict::RollBack);
}

TEST(Evaluation, NeedsSlotsForTheLoad)
{
    Evaluation evaluation(Start, Start + Seconds(20), {}, Evaluation::Start::Ordered);
    for (int i = 0; i < 200; ++i) {
        const std::string number = std::to_string(i % 5);
        const Instant at = Start + Milliseconds(50 * i);
        evaluation.recordAnswer(
            at, { "new" + number, "read", true, false, false, false, TypicalLatency });
        evaluation.recordAnswer(
            at, { "old" + number, "read", false, false, false, false, TypicalLatency });
    }
    const Instant at = Start + Seconds(15);
    EXPECT_EQ(evaluation.decide(at, { 1000, 100, 5, 10, 40 }).verdict, Verdict::Continue);
    EXPECT_EQ(evaluation.decide(at, { 1000, 100, 5, 10, 8 }).verdict, Verdict::Complete);
    EXPECT_EQ(evaluation.decide(Start + Seconds(18), { 1000, 100, 5, 10, 40 }).verdict,
              Verdict::RollBack);
}

// The previous leader may have used the whole slack.
TEST(Evaluation, AnInheritedRolloutHasNoSlack)
{
    Evaluation evaluation(Start, Start + Seconds(20), { 0.1, 50 }, Evaluation::Start::Inherited);
    EXPECT_EQ(evaluation.maxTargetRequests(Start, { 0, 0, 5, 10, 0 }), 0U);
    EXPECT_LE(evaluation.maxTargetRequests(Start, { 100, 0, 5, 10, 0 }), 10U);
}

TEST(Evaluation, RollsBackWhileCompleting)
{
    Evaluation evaluation(Start, Start + Seconds(20), {}, Evaluation::Start::Ordered);
    for (int i = 0; i < 100; ++i) {
        const std::string server = "new" + std::to_string(i % 6);
        evaluation.recordAnswer(Start,
                                { server, "read", true, i % 2 == 0, false, true, TypicalLatency });
    }
    EXPECT_EQ(evaluation.decideWhileCompleting(Start).verdict, Verdict::RollBack);
}

// ---- the durable record ----

struct SuccessorCase
{
    const char *name;
    std::optional<Phase> current;
    Phase next;
    bool sameOrder;
    bool valid;
};

class Successor : public ::testing::TestWithParam<SuccessorCase>
{
};

TEST_P(Successor, FollowsOnlyFromTheRightPhase)
{
    Rollout current { "orders", "v2", { "v1" }, 1000, 20'000, Phase::Running };
    Rollout next = current;
    next.phase = GetParam().next;
    next.orderedAtMs += GetParam().sameOrder ? 0 : 1;
    current.phase = GetParam().current.value_or(Phase::Running);
    EXPECT_EQ(isValidSuccessor(GetParam().current ? &current : nullptr, next), GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(
    Phases, Successor,
    ::testing::Values(
        SuccessorCase { "FirstOrder", std::nullopt, Phase::Running, true, true },
        SuccessorCase { "NoOrder", std::nullopt, Phase::Completed, true, false },
        SuccessorCase { "Proven", Phase::Running, Phase::Completing, true, true },
        SuccessorCase { "Bad", Phase::Running, Phase::RolledBack, true, true },
        SuccessorCase { "Skipped", Phase::Running, Phase::Completed, true, false },
        SuccessorCase { "SecondOrder", Phase::Running, Phase::Running, false, false },
        SuccessorCase { "BadLate", Phase::Completing, Phase::RolledBack, true, true },
        SuccessorCase { "MovedOver", Phase::Completing, Phase::Completed, true, true },
        SuccessorCase { "Undone", Phase::RolledBack, Phase::Completing, true, false },
        SuccessorCase { "NextOrder", Phase::RolledBack, Phase::Running, false, true }),
    [](const auto &info) { return info.param.name; });

struct LeaderlessCase
{
    Phase phase;
    bool target;
    bool replaced;
};

class WithoutLeader : public ::testing::TestWithParam<LeaderlessCase>
{
};

TEST_P(WithoutLeader, TheShareIsNeverRaised)
{
    const Rollout rollout { "orders", "v2", { "v1" }, 1000, 20'000, GetParam().phase };
    EXPECT_EQ(mayReceiveWithoutLeader(rollout, "v2"), GetParam().target);
    EXPECT_EQ(mayReceiveWithoutLeader(rollout, "v1"), GetParam().replaced);
    EXPECT_TRUE(mayReceiveWithoutLeader(rollout, "v3"));
}

INSTANTIATE_TEST_SUITE_P(Phases, WithoutLeader,
                         ::testing::Values(LeaderlessCase { Phase::Running, false, true },
                                           LeaderlessCase { Phase::Completing, true, false },
                                           LeaderlessCase { Phase::Completed, true, false },
                                           LeaderlessCase { Phase::RolledBack, false, true }));

} // namespace
} // namespace daisyhaven::rollout

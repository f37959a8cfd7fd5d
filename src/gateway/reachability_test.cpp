// Which end of a failed connection is at fault: a backend server, or the links of this VM. Pattern:
// many VMs lose their links to all servers at once, and the servers stay sound.
#include "gateway/internal/reachability.h"
#include "testing/grayservers.h"
#include "testing/schedulerfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <list>

namespace daisyhaven::gateway {
namespace {

using scheduler::StartTime;

Reachability::Servers makeServers(int count, int suspected = 0)
{
    Reachability::Servers servers;
    for (int i = 0; i < count; ++i) {
        scheduler::KnownServer server;
        server.info.id = "s" + std::to_string(i);
        server.info.service = "orders";
        server.info.address = "10.0.0.1:" + std::to_string(1000 + i);
        server.info.zone = "zone" + std::to_string(i % 3);
        server.suspected = i < suspected;
        servers[server.info.id] = server;
    }
    return servers;
}

template <class Action> std::vector<Action> select(const std::vector<ReachabilityAction> &actions)
{
    std::vector<Action> selected;
    for (const ReachabilityAction &action : actions) {
        if (const auto *value = std::get_if<Action>(&action)) {
            selected.push_back(*value);
        }
    }
    return selected;
}

NetworkFailure failureAt(Instant startedAt,
                         NetworkFailure::Kind kind = NetworkFailure::Kind::ConnectionFailed)
{
    return { "orders", "s0", startedAt, kind };
}

struct CheckCase
{
    const char *name;
    // Outcomes of the connections of the check.
    std::vector<bool> established;
    FaultyEnd verdict;
};

class Check : public ::testing::TestWithParam<CheckCase>
{
};

TEST_P(Check, TellsWhichEndIsAtFault)
{
    Reachability reachability(1);
    const auto servers = makeServers(9);
    reachability.recordFailure(StartTime, failureAt(StartTime), servers);
    const auto requests = select<OpenConnection>(reachability.takeActions());
    ASSERT_EQ(requests.size(), Reachability::ServersPerCheck);
    EXPECT_NE(requests[0].server, "s0");
    EXPECT_NE(servers.at(requests[0].server).info.zone, servers.at(requests[1].server).info.zone);
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (GetParam().established[i]) {
            reachability.recordConnection(StartTime + Milliseconds(2), "orders");
        } else {
            reachability.recordFailedConnection(requests[i], ConnectionEnd::TimedOut);
        }
    }
    const auto verdicts = select<Verdict>(reachability.takeActions());
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_EQ(verdicts[0].faultyEnd, GetParam().verdict);
    EXPECT_EQ(reachability.isDisconnected("orders"), GetParam().verdict == FaultyEnd::OwnLinks);
}

INSTANTIATE_TEST_SUITE_P(
    Connections, Check,
    ::testing::Values(CheckCase { "bothEstablished", { true, true }, FaultyEnd::Server },
                      CheckCase { "oneFails", { false, true }, FaultyEnd::Server },
                      CheckCase { "theOtherFails", { true, false }, FaultyEnd::Server },
                      CheckCase { "bothFail", { false, false }, FaultyEnd::OwnLinks }),
    [](const auto &info) { return std::string(info.param.name); });

struct ProofCase
{
    const char *name;
    NetworkFailure::Kind kind;
    bool connected = false;
    bool responded = false;
    bool needsCheck = false;
};

class Proof : public ::testing::TestWithParam<ProofCase>
{
};

TEST_P(Proof, MakesACheckUnnecessary)
{
    Reachability reachability(1);
    if (GetParam().connected) {
        reachability.recordConnection(StartTime + Milliseconds(50), "orders");
    }
    if (GetParam().responded) {
        reachability.recordResponse(StartTime + Milliseconds(50), "orders");
    }
    reachability.recordFailure(StartTime + Milliseconds(150), failureAt(StartTime, GetParam().kind),
                               makeServers(9));
    const auto actions = reachability.takeActions();
    EXPECT_EQ(!select<OpenConnection>(actions).empty(), GetParam().needsCheck);
    EXPECT_EQ(select<Verdict>(actions).empty(), GetParam().needsCheck);
}

INSTANTIATE_TEST_SUITE_P(
    SinceTheAttempt, Proof,
    ::testing::Values(
        ProofCase { "none", NetworkFailure::Kind::ConnectionFailed, false, false, true },
        ProofCase { "connection", NetworkFailure::Kind::ConnectionFailed, true, false, false },
        // Open connections may live on while new ones are refused.
        ProofCase { "response", NetworkFailure::Kind::ConnectionFailed, false, true, true },
        ProofCase { "silence", NetworkFailure::Kind::NoResponse, false, false, true },
        ProofCase { "silenceAndResponse", NetworkFailure::Kind::NoResponse, false, true, false }),
    [](const auto &info) { return std::string(info.param.name); });

struct SlowLinkCase
{
    const char *name;
    ConnectionEnd end;
    bool responds = false;
    bool disconnected = false;
};

class SlowLink : public ::testing::TestWithParam<SlowLinkCase>
{
};

// Guards against a VM that takes a busy link for a lost one and sends its requests the longer way.
TEST_P(SlowLink, DoesNotCountAsLostWhileResponsesArrive)
{
    Reachability reachability(1);
    reachability.recordFailure(StartTime, failureAt(StartTime), makeServers(9));
    if (GetParam().responds) {
        reachability.recordResponse(StartTime + Milliseconds(100), "orders");
    }
    for (const OpenConnection &request : select<OpenConnection>(reachability.takeActions())) {
        reachability.recordFailedConnection(request, GetParam().end);
    }
    EXPECT_EQ(reachability.isDisconnected("orders"), GetParam().disconnected);
    EXPECT_EQ(select<Verdict>(reachability.takeActions()).size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Connections, SlowLink,
                         ::testing::Values(SlowLinkCase { "timeOut", ConnectionEnd::TimedOut, false,
                                                          true },
                                           SlowLinkCase { "timeOutBesideResponses",
                                                          ConnectionEnd::TimedOut, true, false },
                                           // Open connections live on while new ones are refused.
                                           SlowLinkCase { "refusedBesideResponses",
                                                          ConnectionEnd::Refused, true, true }),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(Reachability, PrefersServersThatAreNotSuspected)
{
    Reachability reachability(1);
    reachability.recordFailure(StartTime, failureAt(StartTime), makeServers(9, 7));
    for (const OpenConnection &request : select<OpenConnection>(reachability.takeActions())) {
        EXPECT_GE(request.server, "s7");
    }
}

TEST(Reachability, OnlyServerOfAServiceIsBlamedItself)
{
    Reachability reachability(1);
    reachability.recordFailure(StartTime, failureAt(StartTime), makeServers(1));
    const auto verdicts = select<Verdict>(reachability.takeActions());
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_EQ(verdicts[0].faultyEnd, FaultyEnd::Server);
}

TEST(Reachability, DisconnectedVmTriesUntilAConnectionIsEstablished)
{
    Reachability reachability(1);
    const auto servers = makeServers(9);
    reachability.recordFailure(StartTime, failureAt(StartTime), servers);
    const auto check = select<OpenConnection>(reachability.takeActions());
    for (const OpenConnection &request : check) {
        reachability.recordFailedConnection(request, ConnectionEnd::TimedOut);
    }
    reachability.takeActions();
    ASSERT_TRUE(reachability.isDisconnected("orders"));
    EXPECT_FALSE(reachability.isDisconnected("photos"));
    Instant now = StartTime + Reachability::RetryInterval;
    reachability.tick(now, servers);
    EXPECT_EQ(select<OpenConnection>(reachability.takeActions()).size(), 1U);
    reachability.recordFailedConnection(check[0], ConnectionEnd::TimedOut);
    EXPECT_TRUE(reachability.isDisconnected("orders"));
    now += Milliseconds(5);
    reachability.recordConnection(now, "orders");
    EXPECT_FALSE(reachability.isAnyDisconnected());
    const auto changes = select<ReachabilityChange>(reachability.takeActions());
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].reachable);
}

TEST(Reachability, LateOutcomeOfAnEarlierCheckDoesNotCount)
{
    Reachability reachability(1);
    const auto servers = makeServers(9);
    reachability.recordFailure(StartTime, failureAt(StartTime), servers);
    const auto first = select<OpenConnection>(reachability.takeActions());
    reachability.recordConnection(StartTime + Milliseconds(2), "orders");
    const Instant later = StartTime + Milliseconds(100);
    reachability.recordFailure(later, failureAt(later), servers);
    const auto second = select<OpenConnection>(reachability.takeActions());
    reachability.recordFailedConnection(first[1], ConnectionEnd::TimedOut);
    reachability.recordFailedConnection(second[0], ConnectionEnd::TimedOut);
    EXPECT_FALSE(reachability.isDisconnected("orders"));
}

// ---- a fleet in virtual time ----

struct FleetCase
{
    const char *name;
    // Share of the VMs that lose their links to all servers.
    double disconnectedShare = 0;
    // Share of their requests that go out on an open connection and get no response.
    double hangingShare = 0;
    // How long a connection attempt of such a VM takes to fail.
    Duration connectFailure { 0 };
};

constexpr int Vms = 44;
constexpr int ServersPerZone = 10;
constexpr std::uint32_t SlotsPerServer = 3;
constexpr double RequestsPerSecond = 180;
constexpr Milliseconds Step { 5 };
constexpr double MeanServiceMs = 160;
constexpr Milliseconds SilenceThreshold { 400 };

// VMs that send requests through one scheduler. From CutAt on some of them reach no server; they
// report what the gateway reports for them.
class CutFleet
{
public:
    static constexpr Seconds CutAt { 4 };
    static constexpr Seconds End { 12 };

    explicit CutFleet(const FleetCase &test) : test_(test)
    {
        for (const char *zone : { "a", "b", "c" }) {
            fleet_.addServers(ServersPerZone, SlotsPerServer, zone);
            for (int i = 0; i < ServersPerZone; ++i) {
                scheduler::KnownServer server;
                server.info.id = zone + std::to_string(i);
                server.info.service = "orders";
                server.info.zone = zone;
                servers_[server.info.id] = server;
            }
        }
        for (int i = 0; i < Vms; ++i) {
            vms_.emplace_back(static_cast<std::uint64_t>(i));
        }
    }

    // Returns the share of the requests of the other VMs that were served after the cut.
    double run()
    {
        while (fleet_.now < StartTime + End) {
            fleet_.advance(Step);
            sendRequests();
            finishCalls();
            finishChecks();
            for (Reachability &vm : vms_) {
                vm.tick(fleet_.now, servers_);
            }
        }
        return static_cast<double>(served_) / static_cast<double>(sent_);
    }

private:
    struct Call
    {
        int vm = 0;
        scheduler::Grant grant;
        Instant startedAt;
        Instant endsAt;
        scheduler::Outcome outcome = scheduler::Outcome::Success;
        bool silenceReported = false;
        bool released = false;
    };

    struct PendingCheck
    {
        int vm = 0;
        OpenConnection request;
        Instant endsAt;
    };

    bool isCut(int vm) const
    {
        return fleet_.now >= StartTime + CutAt && vm < Vms * test_.disconnectedShare;
    }

    bool isCounted(int vm) const { return fleet_.now >= StartTime + CutAt && !isCut(vm); }

    void sendRequests()
    {
        const double expected = RequestsPerSecond * std::chrono::duration<double>(Step).count();
        due_ += expected;
        for (; due_ >= 1; due_ -= 1) {
            const int vm = std::uniform_int_distribution<int>(0, Vms - 1)(random_);
            sent_ += isCounted(vm) ? 1 : 0;
            if (vms_[static_cast<std::size_t>(vm)].isDisconnected("orders")) {
                continue;
            }
            scheduler::SlotRequest request = fleet_.makeRequest();
            request.key.vm = std::to_string(vm);
            request.zone = std::string(1, static_cast<char>('a' + vm % 3));
            request.deadline = fleet_.now + Seconds(3);
            request.idempotent = scheduler::drawBernoulli(random_, 0.3);
            fleet_.scheduler.requestSlot(fleet_.now, request);
        }
        for (const scheduler::Grant &grant : fleet_.takeResponses().grants) {
            startCall(grant);
        }
    }

    void startCall(const scheduler::Grant &grant)
    {
        Call call;
        call.vm = std::stoi(grant.key.vm);
        call.grant = grant;
        call.startedAt = fleet_.now;
        if (!isCut(call.vm)) {
            call.endsAt = fleet_.now + scheduler::drawServiceTime(random_, MeanServiceMs, 0.4);
        } else if (scheduler::drawBernoulli(random_, test_.hangingShare)) {
            call.endsAt = fleet_.now + Seconds(3);
            call.outcome = scheduler::Outcome::ResponseTimeout;
        } else {
            call.endsAt = fleet_.now + test_.connectFailure;
            call.outcome = test_.connectFailure.count() > 0 ? scheduler::Outcome::ConnectTimeout
                                                            : scheduler::Outcome::ConnectRefused;
        }
        calls_.push_back(call);
    }

    void finishCalls()
    {
        for (Call &call : calls_) {
            if (fleet_.now >= call.endsAt) {
                finish(call);
            } else if (call.outcome == scheduler::Outcome::ResponseTimeout
                       && fleet_.now - call.startedAt >= SilenceThreshold) {
                reportSilence(call);
            }
        }
        calls_.remove_if([&](const Call &call) { return fleet_.now >= call.endsAt; });
        for (const scheduler::Grant &grant : fleet_.takeResponses().grants) {
            startCall(grant);
        }
    }

    void finish(Call &call)
    {
        if (call.released) {
            return;
        }
        if (call.outcome == scheduler::Outcome::Success) {
            served_ += isCounted(call.vm) ? 1 : 0;
            vms_[static_cast<std::size_t>(call.vm)].recordResponse(fleet_.now, "orders");
            release(call, call.outcome);
            return;
        }
        explain(call,
                call.outcome == scheduler::Outcome::ResponseTimeout
                    ? NetworkFailure::Kind::NoResponse
                    : NetworkFailure::Kind::ConnectionFailed);
    }

    void reportSilence(Call &call)
    {
        if (!call.silenceReported) {
            call.silenceReported = true;
            explain(call, NetworkFailure::Kind::NoResponse);
        }
    }

    // The slot is released with the verdict, as the gateway does it.
    void explain(Call &call, NetworkFailure::Kind kind)
    {
        awaitingVerdict_[call.vm].push_back(call);
        call.released = true;
        vms_[static_cast<std::size_t>(call.vm)].recordFailure(
            fleet_.now, { "orders", call.grant.serverId, call.startedAt, kind }, servers_);
        execute(call.vm);
    }

    void execute(int vm)
    {
        for (const auto &action : vms_[static_cast<std::size_t>(vm)].takeActions()) {
            if (const auto *request = std::get_if<OpenConnection>(&action)) {
                const Duration delay = isCut(vm) ? test_.connectFailure : Milliseconds(2);
                checks_.push_back({ vm, *request, fleet_.now + delay });
            } else if (const auto *verdict = std::get_if<Verdict>(&action)) {
                for (const Call &call : std::exchange(awaitingVerdict_[vm], {})) {
                    release(call,
                            verdict->faultyEnd == FaultyEnd::OwnLinks
                                ? scheduler::Outcome::VmDisconnected
                                : call.outcome);
                }
            }
        }
    }

    void finishChecks()
    {
        std::vector<PendingCheck> due;
        const auto isDue = [&](const PendingCheck &check) { return fleet_.now >= check.endsAt; };
        std::copy_if(checks_.begin(), checks_.end(), std::back_inserter(due), isDue);
        checks_.remove_if(isDue);
        for (const PendingCheck &check : due) {
            Reachability &vm = vms_[static_cast<std::size_t>(check.vm)];
            if (isCut(check.vm)) {
                vm.recordFailedConnection(check.request,
                                          test_.connectFailure.count() > 0
                                              ? ConnectionEnd::TimedOut
                                              : ConnectionEnd::Refused);
            } else {
                vm.recordConnection(fleet_.now, "orders");
            }
            execute(check.vm);
        }
    }

    void release(const Call &call, scheduler::Outcome outcome)
    {
        fleet_.scheduler.releaseSlot(fleet_.now, call.grant.slotId, outcome,
                                     fleet_.now - call.startedAt);
    }

    FleetCase test_;
    scheduler::SimulatedFleet fleet_;
    std::mt19937_64 random_ { 29 };
    Reachability::Servers servers_;
    std::vector<Reachability> vms_;
    std::list<Call> calls_;
    std::list<PendingCheck> checks_;
    std::map<int, std::vector<Call>> awaitingVerdict_;
    double due_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t served_ = 0;
};

class DisconnectedVms : public ::testing::TestWithParam<FleetCase>
{
};

// Guards against VMs without links whose failures take sound servers out of work for all others.
TEST_P(DisconnectedVms, DoNotSpoilTheRequestsOfTheOthers)
{
    EXPECT_GE(CutFleet(GetParam()).run(), 0.9);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, DisconnectedVms,
    ::testing::Values(FleetCase { "none", 0, 0, Duration(0) },
                      FleetCase { "sixInTenSilently", 0.6, 0.5, Milliseconds(150) },
                      FleetCase { "aThirdRefused", 0.35, 0, Duration(0) },
                      FleetCase { "nineInTenSilently", 0.9, 0.5, Milliseconds(150) },
                      FleetCase { "oneInTenRefused", 0.1, 0, Duration(0) }),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

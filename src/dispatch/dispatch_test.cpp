#include "dispatch/dispatch.h"

#include "testing/lossynetwork.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

namespace daisyhaven::dispatch {
namespace {

constexpr int VmCount = 5;
constexpr int ServerCount = 3;
constexpr std::uint32_t Slots = 4;
constexpr Milliseconds TimeStep { 5 };
constexpr Milliseconds RequestDeadline { 1500 };
constexpr Milliseconds ColdStartDuration { 2000 };
// A dispatcher starts no earlier than the lease of its predecessor expires.
constexpr Milliseconds TakeoverDelay { 300 };

struct SimulationMessage
{
    enum class Kind { Acquire, Grant, Rejection, Release, Gather, Held } kind = Kind::Acquire;
    std::uint64_t term = 0;
    SlotRequest request;
    Grant grant;
    Rejection rejection;
    std::uint64_t slot = 0;
    health::Outcome outcome = health::Outcome::Success;
    std::vector<HeldSlot> held;
    std::uint32_t slotsPerVm = 0;
    std::uint64_t incarnation = 0;
};

std::string vmName(int vm)
{
    return "vm" + std::to_string(vm);
}

std::string serverName(int server)
{
    return "server" + std::to_string(server);
}

// Simulates entry VMs, successive dispatchers and the requests that run on each backend server.
class DispatchSimulation
{
public:
    explicit DispatchSimulation(std::uint64_t seed)
        : network_(seed, { 0.02, 0.1, Milliseconds(30) })
    {
        options_.zone = "a";
        options_.coldStartSlots = 1;
        options_.coldStartDuration = ColdStartDuration;
        options_.longestDeadline = RequestDeadline;
        for (int i = 0; i < ServerCount; ++i) {
            servers_.push_back({});
        }
        for (int i = 0; i < VmCount; ++i) {
            vms_.push_back({});
        }
        startDispatcher();
    }

    void injectFault(int kind, int a, int b)
    {
        Vm &vm = vms_[a % VmCount];
        Server &server = servers_[a % ServerCount];
        switch (kind % 10) {
        case 0:
        case 1:
            dispatcher_.reset();
            nextDispatcherAt_ = now_ + TakeoverDelay;
            break;
        case 2:
            vm.pausedUntil = now_ + Milliseconds(50 * (b % 40));
            break;
        case 3:
            // The process of the entry VM crashes. The requests that it sent continue to run.
            vm.held.clear();
            vm.highestGatherTerm = 0;
            vm.slotsPerVm = 0;
            stoppedProcesses_.push_back({ vmName(a % VmCount), vm.incarnation, now_ });
            ++vm.incarnation;
            break;
        case 4:
            network_.cutLink(a % VmCount, DispatcherNode);
            break;
        case 5:
            network_.cutLink(DispatcherNode, a % VmCount);
            break;
        case 6:
            network_.restoreAllLinks();
            break;
        case 7:
            server.unresponsive = b % 2 == 0;
            server.unresponsiveSince = now_;
            break;
        case 8:
            server.state = b % 3 == 0 ? ServerState::Draining : ServerState::Ready;
            server.drainingSince = now_;
            break;
        default:
            network_.setFaults({ (b % 4) * 0.05, 0.1, Milliseconds(2 + 60 * (a % 20)) });
            break;
        }
    }

    void run(Duration duration)
    {
        const Instant end = now_ + duration;
        while (now_ < end) {
            now_ += TimeStep;
            step();
        }
    }

    // Returns the last violated invariant, or "" if there was none.
    std::string violation() const { return violation_; }

    void stopFaultsAndRequests()
    {
        network_.restoreAllLinks();
        network_.setFaults({ 0, 0, Milliseconds(2) });
        for (Server &server : servers_) {
            server.unresponsive = false;
            server.state = ServerState::Ready;
        }
        sendingRequests_ = false;
    }

    std::uint32_t inFlight() const
    {
        std::uint32_t count = 0;
        for (int i = 0; i < ServerCount; ++i) {
            count += dispatcher_ ? dispatcher_->slotsInUse(serverName(i)) : 0;
        }
        return count;
    }
    std::size_t startedRequests() const { return startedRequests_; }

private:
    static constexpr int DispatcherNode = 1000;

    struct VmSlot
    {
        int server = 0;
        Instant finishesAt;
        Instant expiresAt;
        std::uint64_t term = 0;
    };
    struct Vm
    {
        std::uint64_t incarnation = 1;
        std::uint64_t highestGatherTerm = 0;
        std::uint32_t slotsPerVm = 0;
        std::uint64_t lastRequestNumber = 0;
        Instant pausedUntil;
        Instant nextRequestAt;
        std::map<std::uint64_t, VmSlot> held;
    };
    struct Server
    {
        ServerState state = ServerState::Ready;
        bool unresponsive = false;
        Instant unresponsiveSince;
        Instant drainingSince;
        Instant nextAnnouncementAt;
        std::vector<Instant> runningUntil; // end times of the running requests
    };
    struct StoppedProcess
    {
        std::string vm;
        std::uint64_t incarnation;
        Instant since;
    };

    void startDispatcher()
    {
        ++term_;
        dispatcher_ = std::make_unique<Dispatcher>(options_, term_, now_);
        dispatcher_->setEntryVmCount(VmCount);
        std::vector<PossibleHolder> holders;
        holders.reserve(VmCount + stoppedProcesses_.size());
        for (int i = 0; i < VmCount; ++i) {
            holders.push_back({ vmName(i), vms_[i].incarnation, Duration(0) });
        }
        for (const StoppedProcess &stoppedProcess : stoppedProcesses_) {
            holders.push_back(
                { stoppedProcess.vm, stoppedProcess.incarnation, now_ - stoppedProcess.since });
        }
        dispatcher_->startTakeover(now_, holders);
        nextGatherAt_ = now_;
    }

    void step()
    {
        network_.deliver(now_, [this](int from, int to, const SimulationMessage &message) {
            if (to == DispatcherNode) {
                deliverToDispatcher(from, message);
            } else if (now_ >= vms_[to].pausedUntil) {
                deliverToVm(to, message);
            }
        });
        if (!dispatcher_ && now_ >= nextDispatcherAt_) {
            startDispatcher();
        }
        for (int i = 0; i < VmCount; ++i) {
            stepVm(i);
        }
        stepServers();
        stepDispatcher();
    }

    void stepVm(int index)
    {
        Vm &vm = vms_[index];
        if (now_ < vm.pausedUntil) {
            return;
        }
        for (auto held = vm.held.begin(); held != vm.held.end();) {
            const bool finished = now_ >= held->second.finishesAt || now_ >= held->second.expiresAt;
            if (finished) {
                SimulationMessage message;
                message.kind = SimulationMessage::Kind::Release;
                message.slot = held->first;
                network_.send(now_, index, DispatcherNode, message);
            }
            held = finished ? vm.held.erase(held) : std::next(held);
        }
        if (sendingRequests_ && now_ >= vm.nextRequestAt) {
            // The first VM sends more requests than its share.
            vm.nextRequestAt = now_ + Milliseconds(network_.randomInt(5, index == 0 ? 10 : 60));
            SimulationMessage message;
            message.kind = SimulationMessage::Kind::Acquire;
            message.request.id = { vmName(index), vm.incarnation, ++vm.lastRequestNumber };
            message.request.team = "team" + std::to_string(network_.randomInt(0, 2));
            message.request.deadline = RequestDeadline;
            message.request.maxWait = Milliseconds(800);
            message.request.spilled = true;
            message.request.fingerprint =
                vm.lastRequestNumber * VmCount + static_cast<unsigned>(index);
            requestedAt_[message.request.id] = now_;
            network_.send(now_, index, DispatcherNode, message);
        }
    }

    void stepServers()
    {
        for (int i = 0; i < ServerCount; ++i) {
            Server &server = servers_[i];
            auto &runningUntil = server.runningUntil;
            runningUntil.erase(std::remove_if(runningUntil.begin(), runningUntil.end(),
                                              [this](Instant end) { return now_ >= end; }),
                               runningUntil.end());
            const bool announces =
                dispatcher_ && !server.unresponsive && now_ >= server.nextAnnouncementAt;
            if (announces) {
                server.nextAnnouncementAt = now_ + Milliseconds(500);
                dispatcher_->handleAnnouncement(
                    now_, { serverName(i), Slots, 50, 1, 0, server.state }, Duration(0));
            }
        }
    }

    void stepDispatcher()
    {
        if (!dispatcher_) {
            return;
        }
        if (now_ >= nextGatherAt_) {
            nextGatherAt_ = now_ + Milliseconds(200);
            for (int i = 0; i < VmCount; ++i) {
                SimulationMessage message;
                message.kind = SimulationMessage::Kind::Gather;
                message.term = term_;
                network_.send(now_, DispatcherNode, i, message);
            }
        }
        dispatcher_->tick(now_);
        sendActions();
    }

    void sendActions()
    {
        for (const Action &action : dispatcher_->takeActions()) {
            SimulationMessage message;
            message.term = term_;
            if (const auto *grant = std::get_if<Grant>(&action)) {
                message.kind = SimulationMessage::Kind::Grant;
                message.grant = *grant;
                network_.send(now_, DispatcherNode, std::stoi(grant->id.vm.substr(2)), message);
                checkGrant(*grant);
            }
        }
    }

    void checkGrant(const Grant &grant)
    {
        const Server &server = servers_[std::stoi(grant.address.substr(6))];
        const bool unresponsive =
            server.unresponsive && now_ - server.unresponsiveSince > Seconds(2);
        const bool draining = server.state == ServerState::Draining && !server.unresponsive
            && now_ - server.drainingSince > Seconds(2);
        if (unresponsive || draining) {
            violation_ = "request granted to a draining or unresponsive server";
        }
    }

    void deliverToDispatcher(int from, const SimulationMessage &message)
    {
        if (!dispatcher_) {
            return;
        }
        if (message.kind == SimulationMessage::Kind::Acquire) {
            dispatcher_->acquire(now_, message.request);
        } else if (message.kind == SimulationMessage::Kind::Release) {
            dispatcher_->release(now_, message.slot, message.outcome, Milliseconds(5));
        } else if (message.kind == SimulationMessage::Kind::Held && message.term == term_) {
            dispatcher_->recordHeldSlots(now_, vmName(from), message.incarnation, message.held,
                                         message.slotsPerVm);
        }
        sendActions();
    }

    void deliverToVm(int index, const SimulationMessage &message)
    {
        Vm &vm = vms_[index];
        if (message.kind == SimulationMessage::Kind::Grant) {
            startRequest(vm, message);
            return;
        }
        if (message.kind != SimulationMessage::Kind::Gather) {
            return;
        }
        vm.highestGatherTerm = std::max(vm.highestGatherTerm, message.term);
        SimulationMessage reply;
        reply.kind = SimulationMessage::Kind::Held;
        reply.term = message.term;
        reply.incarnation = vm.incarnation;
        reply.slotsPerVm = vm.slotsPerVm;
        for (const auto &[slot, held] : vm.held) {
            reply.held.push_back({ slot, serverName(held.server), held.expiresAt - now_, 0, 0 });
        }
        network_.send(now_, index, DispatcherNode, reply);
    }

    void startRequest(Vm &vm, const SimulationMessage &message)
    {
        const Grant &grant = message.grant;
        const bool stale =
            message.term < vm.highestGatherTerm || grant.id.vmIncarnation != vm.incarnation;
        const bool duplicate = processedGrants_.count({ message.term, grant.slot }) != 0;
        if (stale || duplicate) {
            return;
        }
        processedGrants_.insert({ message.term, grant.slot });
        vm.slotsPerVm = std::max(vm.slotsPerVm, grant.maxSlotsPerVm);
        // The deadline counts from the time of the request, so a grant that arrives after it starts
        // no request.
        const Instant expires = requestedAt_.at(grant.id) + RequestDeadline;
        if (now_ >= expires) {
            return;
        }
        const int server = std::stoi(grant.address.substr(6));
        const Instant finishesAt = now_ + Milliseconds(network_.randomInt(5, 1200));
        vm.held[grant.slot] = { server, finishesAt, expires, message.term };
        auto &runningUntil = servers_[server].runningUntil;
        runningUntil.push_back(std::min(finishesAt, expires));
        ++startedRequests_;
        if (runningUntil.size() > Slots) {
            violation_ = "more requests in flight than slots";
        }
    }

    Options options_;
    Instant now_ { Seconds(1000) };
    testing::LossyNetwork<SimulationMessage> network_;
    std::vector<Vm> vms_;
    std::vector<Server> servers_;
    std::vector<StoppedProcess> stoppedProcesses_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::uint64_t term_ = 0;
    Instant nextDispatcherAt_;
    Instant nextGatherAt_;
    bool sendingRequests_ = true;
    std::size_t startedRequests_ = 0;
    std::set<std::pair<std::uint64_t, std::uint64_t>> processedGrants_;
    std::map<AttemptId, Instant> requestedAt_;
    std::string violation_;
};

TEST(DispatchFuzz, NeverExceedsSlotsAcrossTakeovers)
{
    const bool holds = rc::check([](std::uint64_t seed) {
        DispatchSimulation simulation(seed);
        const auto faults = *rc::gen::resize(
            40,
            rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 1000), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100))));
        simulation.run(Milliseconds(500));
        for (const auto &[kind, a, b] : faults) {
            simulation.injectFault(kind, a, b);
            simulation.run(Milliseconds(20 + 15 * b));
            RC_ASSERT(simulation.violation() == "");
        }
        // No slot leaks: once no VM sends requests, every slot is freed.
        simulation.stopFaultsAndRequests();
        simulation.run(Seconds(5));
        RC_ASSERT(simulation.inFlight() == 0U);
    });
    EXPECT_TRUE(holds);
}

TEST(DispatchFuzz, GrantsRequestsWithoutFaults)
{
    DispatchSimulation simulation(1);
    simulation.run(Seconds(20));
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_GT(simulation.startedRequests(), 300U);
}

struct RampCase
{
    const char *name;
    ServerState state;
    std::uint64_t nextIncarnation; // announced 10 s after the first announcement
    int elapsedMs; // from the second announcement to the requests
    std::uint32_t expectedSlots;
};

class ColdStart : public ::testing::TestWithParam<RampCase>
{
};

// A backend server that starts up, or restarts without announcing a cold start, starts with one
// slot and reaches all slots after 2 s.
TEST_P(ColdStart, GrantsOnlySlotsThatTheRampAllows)
{
    Options options;
    options.coldStartSlots = 1;
    options.coldStartDuration = ColdStartDuration;
    options.longestDeadline = Seconds(1);
    const Instant start { Seconds(100) };
    Dispatcher dispatcher(options, 1, start);
    dispatcher.handleAnnouncement(start, { "s", Slots, 50, 1, 0, ServerState::Ready }, Duration(0));
    const Instant announcedAgainAt = start + Seconds(10);
    dispatcher.handleAnnouncement(
        announcedAgainAt, { "s", Slots, 50, GetParam().nextIncarnation, 0, GetParam().state },
        Duration(0));
    const Instant acquiredAt = announcedAgainAt + Milliseconds(GetParam().elapsedMs);
    for (std::uint64_t i = 0; i < 10; ++i) {
        SlotRequest request;
        request.id = { "vm" + std::to_string(i), 1, i };
        request.deadline = Seconds(1);
        request.spilled = true;
        request.fingerprint = i;
        dispatcher.acquire(acquiredAt, request);
    }
    // The dispatcher grants exactly the number of slots that the ramp allows.
    EXPECT_EQ(dispatcher.slotsInUse("s"), GetParam().expectedSlots) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Ramps, ColdStart,
    ::testing::Values(
        RampCase { "warm", ServerState::Ready, 1, 0, 4 },
        RampCase { "restarted", ServerState::Ready, 2, 0, 1 },
        RampCase { "restarted, partway through the ramp", ServerState::Ready, 2, 700, 2 },
        RampCase { "restarted, near the end of the ramp", ServerState::Ready, 2, 1500, 3 },
        RampCase { "announces a cold start", ServerState::WarmingUp, 1, 0, 1 },
        RampCase { "draining", ServerState::Draining, 1, 0, 0 }));

// A shed response reduces the allowed slots at once, because the server can handle fewer requests
// than it announced.
TEST(ShedResponse, RestartsTheRamp)
{
    Options options;
    options.coldStartDuration = ColdStartDuration;
    options.longestDeadline = Seconds(1);
    const Instant start { Seconds(100) };
    Dispatcher dispatcher(options, 1, start);
    dispatcher.handleAnnouncement(start, { "s", Slots, 50, 1, 0, ServerState::Ready }, Duration(0));
    SlotRequest request;
    request.id = { "vm", 1, 1 };
    request.deadline = Seconds(1);
    dispatcher.acquire(start, request);
    const auto actions = dispatcher.takeActions();
    std::uint64_t slot = 0;
    for (const Action &action : actions) {
        if (const auto *grant = std::get_if<Grant>(&action)) {
            slot = grant->slot;
        }
    }
    dispatcher.release(start, slot, health::Outcome::Shed, Milliseconds(1));
    EXPECT_EQ(dispatcher.allowedSlots("s", start), 1U);
    EXPECT_EQ(dispatcher.allowedSlots("s", start + Seconds(4)), Slots);
}

} // namespace
} // namespace daisyhaven::dispatch

// The control group while control VMs are killed, dark, cut off and replaced, within what the group
// is configured to lose at once. Real replicas and membership controllers in virtual time. Guards
// against a group that has lost its majority for good although enough VMs run, because replicas
// that are gone stayed members.
#include "consensus/consensus.h"
#include "coordination/internal/membershipcontroller.h"
#include "testing/lossynetwork.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

namespace daisyhaven::coordination {
namespace {

using consensus::MemberInfo;
using consensus::MemberRole;
using consensus::Members;
using consensus::Replica;

constexpr Milliseconds Step { 10 };
constexpr Milliseconds JoinPeriod { 300 };
constexpr Milliseconds ReconcilePeriod { 100 };
constexpr Milliseconds ProposePeriod { 150 };
constexpr consensus::Timings ElectionTimings { Milliseconds(60), Milliseconds(300),
                                               Milliseconds(550) };
constexpr int SeedCount = 3;
constexpr std::uint64_t CompactAfter = 40;

enum class EventKind : std::uint8_t {
    Kill, // the process ends and starts again
    PowerLoss, // the VM is dark for a while and returns with its disk
    Replace, // the VM is gone for good; an empty one comes at another address
    ReplacePlanned, // the empty one comes first
    LoseDisk, // the VM returns at its address with an empty disk
    Cut, // no other control VM is reached
    Freeze,
    KillAll, // all processes end and start again, whatever else is lost
    Split, // the VMs fall into two halves, whatever else is lost
};
constexpr int EventKindCount = 9;

// With ReplacingLeader, the event waits for a while until the leader is about to replace a member.
enum class Victim : std::uint8_t { Any, Leader, Follower, Oldest, ReplacingLeader };
constexpr int VictimCount = 5;

struct FaultEvent
{
    EventKind kind = EventKind::Kill;
    Victim victim = Victim::Any;
    Duration pauseBefore { 0 };
    Duration length { 0 };
};
using Schedule = std::vector<FaultEvent>;

struct Terms
{
    std::size_t groupSize = 5;
    std::size_t maxLost = 2;
    // A VM counts as lost for this long after it, or its successor, has started.
    Duration catchUp { Seconds(4) };
};

// Control VMs that come and go. A VM is known by its number, which is also its peer address.
class ControlGroup
{
public:
    ControlGroup(const Terms &terms, std::uint64_t seed)
        : terms_(terms), random_(seed), network_(seed, { 0, 0, Milliseconds(4) })
    {
        Members seeds;
        for (int i = 0; i < SeedCount; ++i) {
            seeds.push_back(infoOf(i, 0));
        }
        for (int i = 0; i < static_cast<int>(terms.groupSize); ++i) {
            Vm vm;
            vm.info = infoOf(i, 0);
            if (i < SeedCount) {
                vm.disk.snapshot.members = seeds;
            }
            vms_.push_back(std::move(vm));
            start(i);
        }
    }

    void play(const FaultEvent &event)
    {
        run(event.pauseBefore);
        if (event.kind == EventKind::KillAll) {
            killAll();
            return;
        }
        if (event.kind == EventKind::Split) {
            split(event.length);
            return;
        }
        if (event.victim == Victim::ReplacingLeader) {
            awaitReplacement();
        }
        // As on the platform, what would exceed the terms waits.
        const Instant limit = now_ + Seconds(60);
        while (violation_.empty() && lostCount() >= terms_.maxLost && now_ < limit) {
            run(Step);
        }
        const int victim = pick(event.victim);
        if (victim >= 0 && violation_.empty()) {
            inflict(victim, event);
        }
    }

    void run(Duration duration)
    {
        for (const Instant end = now_ + duration; now_ < end && violation_.empty();) {
            now_ += Step;
            step();
        }
    }

    // Runs until no VM counts as lost, and on until the group serves. Returns whether it does
    // within `limit` of that.
    bool recovers(Duration limit)
    {
        while (violation_.empty() && (lostCount() > 0 || returnsPending())) {
            run(Step);
        }
        for (const Instant end = now_ + limit; violation_.empty() && now_ < end; run(Step)) {
            if (serves() && consistsOfRunningVms()) {
                return true;
            }
        }
        return false;
    }

    const std::string &violation() const { return violation_; }

    std::string describe() const
    {
        std::string text;
        for (const Vm &vm : vms_) {
            text += vm.info.replicaId + (vm.replica ? " runs" : " down");
            if (vm.replica) {
                text += vm.replica->isLeader() ? " leads," : ",";
                for (const MemberInfo &member : vm.replica->members()) {
                    text += " " + member.replicaId;
                }
                text += " commit " + std::to_string(vm.replica->commitIndex());
            }
            text += "\n";
        }
        return text;
    }

private:
    struct Vm
    {
        MemberInfo info;
        consensus::StoredState disk;
        std::unique_ptr<Replica> replica; // null while the process is down
        std::unique_ptr<MembershipController> controller;
        std::uint64_t applied = 0;
        int disks = 0;
        bool gone = false;
        int half = 0; // side of the VM during a split
        Instant startAt; // when a process that is down starts
        Instant frozenUntil;
        Instant cutUntil;
        Instant lostUntil;
        Instant knewLeaderAt;
        Instant nextJoinAt;
        Instant nextReconcileAt;
    };

    static MemberInfo infoOf(int vm, int disk)
    {
        return { "vm" + std::to_string(vm), "r" + std::to_string(vm) + "." + std::to_string(disk),
                 std::to_string(vm) };
    }

    int draw(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }

    std::size_t lostCount() const
    {
        return static_cast<std::size_t>(std::count_if(
            vms_.begin(), vms_.end(), [&](const Vm &vm) { return vm.lostUntil > now_; }));
    }

    bool returnsPending() const
    {
        return std::any_of(vms_.begin(), vms_.end(),
                           [](const Vm &vm) { return !vm.gone && !vm.replica; });
    }

    bool isRunning(const Vm &vm) const { return vm.replica && now_ >= vm.frozenUntil; }

    const Vm *leader() const
    {
        for (const Vm &vm : vms_) {
            if (isRunning(vm) && vm.replica->canServeReads(now_)) {
                return &vm;
            }
        }
        return nullptr;
    }

    bool serves() const { return leader() != nullptr; }

    // Returns whether every running VM is a member, and nothing else.
    bool consistsOfRunningVms() const
    {
        const Members &members = leader()->replica->members();
        const auto running = std::count_if(vms_.begin(), vms_.end(),
                                           [](const Vm &vm) { return vm.replica != nullptr; });
        return members.size() == static_cast<std::size_t>(running)
            && std::all_of(vms_.begin(), vms_.end(), [&](const Vm &vm) {
                   return !vm.replica
                       || std::find(members.begin(), members.end(), vm.info) != members.end();
               });
    }

    int pick(Victim victim)
    {
        std::vector<int> candidates;
        int leading = -1;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const Vm &vm = vms_[i];
            const bool hit = !vm.replica || vm.gone || vm.lostUntil > now_;
            if (vm.replica && vm.replica->isLeader() && isRunning(vm)) {
                leading = static_cast<int>(i);
            }
            if (!hit) {
                candidates.push_back(static_cast<int>(i));
            }
        }
        if (candidates.empty()) {
            return -1;
        }
        const bool leaderCounts =
            std::find(candidates.begin(), candidates.end(), leading) != candidates.end();
        const bool wantsLeader = victim == Victim::Leader || victim == Victim::ReplacingLeader;
        if (wantsLeader && leaderCounts) {
            return leading;
        }
        if (victim == Victim::Oldest) {
            return candidates.front();
        }
        const int picked =
            candidates[static_cast<std::size_t>(draw(0, static_cast<int>(candidates.size()) - 1))];
        return victim == Victim::Follower && picked == leading ? candidates.front() : picked;
    }

    void inflict(int index, const FaultEvent &event)
    {
        Vm &vm = vms_[static_cast<std::size_t>(index)];
        const Instant back = now_ + event.length;
        vm.lostUntil = back + terms_.catchUp;
        switch (event.kind) {
        case EventKind::Kill:
            stop(vm);
            vm.startAt = now_ + Milliseconds(500);
            vm.lostUntil = vm.startAt + terms_.catchUp;
            break;
        case EventKind::PowerLoss:
            stop(vm);
            vm.startAt = back;
            break;
        case EventKind::Replace:
            stop(vm);
            vm.gone = true;
            addSuccessor(back);
            break;
        case EventKind::ReplacePlanned:
            vm.lostUntil = now_;
            replacePlanned(index, event.length);
            break;
        case EventKind::LoseDisk:
            stop(vm);
            vm.disk = {};
            vm.info = infoOf(index, ++vm.disks);
            vm.startAt = back;
            break;
        case EventKind::Cut:
            vm.cutUntil = back;
            break;
        case EventKind::Freeze:
            vm.frozenUntil = back;
            break;
        case EventKind::KillAll:
        case EventKind::Split:
            break;
        }
    }

    // The VM that goes gives its place to the one that has come. It never counts as lost if that
    // one has had its time.
    void replacePlanned(int index, Duration pause)
    {
        const Instant successorIsReadyAt = now_ + terms_.catchUp;
        addSuccessor(now_);
        run(pause);
        Vm &vm = vms_[static_cast<std::size_t>(index)];
        const bool waits = vm.controller->hasUseForLeaving(now_, vm.replica->members());
        for (const Instant end = now_ + Milliseconds(waits ? 1000 : 0);
             now_ < end && isLeaving(vm);) {
            for (Vm &other : vms_) {
                if (isReachable(vm, other)) {
                    other.controller->recordLeaving(now_, vm.info.replicaId);
                }
            }
            run(Milliseconds(100));
        }
        vm.gone = true;
        vm.lostUntil = std::max(now_, successorIsReadyAt);
        stop(vm);
    }

    bool isLeaving(const Vm &vm) const
    {
        const bool told = std::any_of(vms_.begin(), vms_.end(), [&](const Vm &other) {
            return isReachable(vm, other) && other.replica->canServeReads(now_)
                && hasLeft(*other.replica, vm.info.replicaId);
        });
        return violation_.empty() && !told && !hasLeft(*vm.replica, vm.info.replicaId);
    }

    void awaitReplacement()
    {
        constexpr Seconds Patience { 4 };
        const auto isReplacing = [this] {
            const Vm *leading = leader();
            return leading != nullptr
                && std::any_of(
                       leading->replica->members().begin(), leading->replica->members().end(),
                       [](const MemberInfo &member) { return member.role != MemberRole::Voter; });
        };
        for (const Instant end = now_ + Patience;
             violation_.empty() && now_ < end && !isReplacing();) {
            run(Step);
        }
    }

    void killAll()
    {
        for (Vm &vm : vms_) {
            if (vm.replica) {
                stop(vm);
                vm.startAt = now_ + Milliseconds(draw(300, 900));
                vm.lostUntil = std::max(vm.lostUntil, vm.startAt + terms_.catchUp);
            }
        }
    }

    // A successor that starts during the split counts as lost until it has had its time after it.
    void split(Duration length)
    {
        splitUntil_ = now_ + length;
        for (Vm &vm : vms_) {
            vm.half = draw(0, 1);
            if (vm.lostUntil > now_) {
                vm.lostUntil = std::max(vm.lostUntil, splitUntil_ + terms_.catchUp);
            }
        }
        run(length);
    }

    void addSuccessor(Instant startAt)
    {
        Vm vm;
        vm.info = infoOf(static_cast<int>(vms_.size()), 0);
        vm.startAt = startAt;
        vms_.push_back(std::move(vm));
    }

    static void stop(Vm &vm)
    {
        vm.replica.reset();
        vm.controller.reset();
    }

    void start(int index)
    {
        Vm &vm = vms_[static_cast<std::size_t>(index)];
        vm.replica = std::make_unique<Replica>(vm.info, vm.disk, ElectionTimings, random_(), now_);
        vm.controller = std::make_unique<MembershipController>(terms_.groupSize);
        vm.applied = vm.disk.snapshot.index;
        vm.knewLeaderAt = now_;
        vm.nextJoinAt = now_ + JoinPeriod;
        vm.nextReconcileAt = now_ + Milliseconds(draw(0, 100));
    }

    bool isReachable(const Vm &a, const Vm &b) const
    {
        const bool split = now_ < splitUntil_ && a.half != b.half;
        return isRunning(a) && isRunning(b) && now_ >= a.cutUntil && now_ >= b.cutUntil && !split;
    }

    void step()
    {
        network_.deliver(now_, [this](int from, int to, const consensus::Message &message) {
            Vm &receiver = vms_[static_cast<std::size_t>(to)];
            if (isReachable(vms_[static_cast<std::size_t>(from)], receiver)) {
                receiver.replica->handleMessage(now_, message);
                executeActions(to);
            }
        });
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const bool due = !vms_[i].replica && !vms_[i].gone && now_ >= vms_[i].startAt;
            if (due) {
                start(static_cast<int>(i));
            }
            if (isRunning(vms_[i])) {
                vms_[i].replica->tick(now_);
                executeActions(static_cast<int>(i));
                maintain(static_cast<int>(i));
            }
        }
        checkTerms();
    }

    // What the control VM does beside its replica: requests to join, membership and changes.
    void maintain(int index)
    {
        Vm &vm = vms_[static_cast<std::size_t>(index)];
        if (vm.replica->leader()) {
            vm.knewLeaderAt = now_;
        }
        if (now_ >= vm.nextJoinAt) {
            vm.nextJoinAt = now_ + JoinPeriod;
            requestToJoin(vm);
        }
        if (!vm.replica->canServeReads(now_)) {
            return;
        }
        if (vm.replica->commitIndex() < committed_.size()) {
            violation_ = "a read misses a committed entry";
        }
        if (now_ >= vm.nextReconcileAt) {
            vm.nextReconcileAt = now_ + ReconcilePeriod;
            const auto reconciled = attempt([&]() -> Result<bool> {
                BOOST_LEAF_CHECK(vm.controller->reconcile(now_, *vm.replica));
                return true;
            });
            static_cast<void>(reconciled); // tried again
        }
        if (now_ >= nextProposalAt_) {
            nextProposalAt_ = now_ + ProposePeriod;
            const auto proposed =
                attempt([&] { return vm.replica->propose(now_, std::to_string(++proposals_)); });
            static_cast<void>(proposed);
        }
        executeActions(index);
    }

    void requestToJoin(const Vm &vm)
    {
        if (!shouldRequestToJoin(now_, *vm.replica, vm.knewLeaderAt)) {
            return;
        }
        for (Vm &other : vms_) {
            if (&other != &vm && isReachable(vm, other)) {
                other.controller->recordJoinRequest(now_, vm.info);
            }
        }
    }

    // Returns how many voters don't run, before or after a replacement.
    std::size_t countAway(const Members &members, MemberRole excluded) const
    {
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [&](const MemberInfo &member) {
                return member.role != excluded
                    && std::none_of(vms_.begin(), vms_.end(), [&](const Vm &vm) {
                           return vm.info.replicaId == member.replicaId && isRunning(vm);
                       });
            }));
    }

    // A member that doesn't run is one that counts as lost, or stands for one that does: then the
    // group can bear what may still be lost.
    void checkTerms()
    {
        const Vm *leading = leader();
        if (leading == nullptr) {
            return;
        }
        const std::size_t away =
            std::max(countAway(leading->replica->members(), MemberRole::Incoming),
                     countAway(leading->replica->members(), MemberRole::Outgoing));
        if (away > lostCount()) {
            violation_ = std::to_string(away) + " members don't run, " + std::to_string(lostCount())
                + " VMs count as lost";
        }
    }

    void executeActions(int index)
    {
        Vm &vm = vms_[static_cast<std::size_t>(index)];
        for (const consensus::Action &action : vm.replica->takeActions()) {
            std::visit([&](const auto &value) { execute(index, vm, value); }, action);
        }
        if (vm.applied >= vm.replica->firstIndex() + CompactAfter) {
            vm.replica->compact(vm.applied, std::to_string(vm.applied));
            for (const consensus::Action &action : vm.replica->takeActions()) {
                std::visit([&](const auto &value) { execute(index, vm, value); }, action);
            }
        }
    }

    void execute(int, Vm &vm, const consensus::PersistHardState &action)
    {
        vm.disk.hardState = action.state;
    }
    void execute(int, Vm &vm, const consensus::PersistEntries &action)
    {
        auto &entries = vm.disk.entries;
        while (!entries.empty() && entries.back().index >= action.firstIndex) {
            entries.pop_back();
        }
        entries.insert(entries.end(), action.entries.begin(), action.entries.end());
    }
    void execute(int, Vm &vm, const consensus::PersistSnapshot &action)
    {
        vm.disk.snapshot = action.snapshot;
        vm.disk.entries = action.tail;
    }
    void execute(int index, Vm &, const consensus::SendMessage &action)
    {
        network_.send(now_, index, std::stoi(action.peerAddress), action.message);
    }
    void execute(int, Vm &vm, const consensus::ApplyEntry &action)
    {
        const std::uint64_t index = action.entry.index;
        vm.applied = index;
        if (index > committed_.size()) {
            committed_.push_back(action.entry);
        } else if (!(committed_[index - 1] == action.entry)) {
            violation_ = "a committed entry has changed";
        }
    }
    void execute(int, Vm &vm, const consensus::RestoreSnapshot &action)
    {
        vm.applied = action.snapshot.index;
    }
    void execute(int, Vm &, const consensus::BecameLeader &action)
    {
        if (!termsWithLeader_.insert(action.term).second) {
            violation_ = "a term has two leaders";
        }
    }
    void execute(int, Vm &, const consensus::SteppedDown &) { }

    Terms terms_;
    std::mt19937_64 random_;
    Instant now_ { Seconds(1000) };
    testing::LossyNetwork<consensus::Message> network_;
    std::deque<Vm> vms_;
    std::vector<consensus::Entry> committed_;
    std::set<std::uint64_t> termsWithLeader_;
    std::uint64_t proposals_ = 0;
    Instant nextProposalAt_;
    Instant splitUntil_;
    std::string violation_;
};

FaultEvent event(EventKind kind, Victim victim, int pauseMs, int lengthMs)
{
    return { kind, victim, Milliseconds(pauseMs), Milliseconds(lengthMs) };
}

// Events drawn around the order that ends the group: a VM is dark while another one is replaced,
// then leaders are lost.
Schedule drawSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int low, int high) {
        return std::uniform_int_distribution<>(low, high)(random);
    };
    Schedule schedule { event(EventKind::PowerLoss, static_cast<Victim>(draw(0, VictimCount - 1)),
                              0, draw(2000, 9000)),
                        event(EventKind::Replace, static_cast<Victim>(draw(0, VictimCount - 1)),
                              draw(0, 2500), draw(300, 3000)) };
    if (draw(0, 1) == 1) {
        std::swap(schedule[0], schedule[1]);
    }
    const int more = draw(2, 8);
    for (int i = 0; i < more; ++i) {
        const bool asDrawn = draw(0, 2) == 0;
        const auto kind = asDrawn ? static_cast<EventKind>(draw(0, EventKindCount - 1))
                                  : (draw(0, 1) == 0 ? EventKind::Kill : EventKind::Replace);
        const auto victim =
            draw(0, 1) == 0 ? Victim::Leader : static_cast<Victim>(draw(0, VictimCount - 1));
        schedule.push_back(event(kind, victim, draw(0, 4000), draw(300, 6000)));
    }
    return schedule;
}

// Returns what went wrong, or an empty string.
std::string playSchedule(const Terms &terms, const Schedule &schedule, std::uint64_t seed)
{
    constexpr Seconds FormationTime { 6 };
    constexpr Seconds RecoveryLimit { 6 };
    ControlGroup group(terms, seed);
    group.run(FormationTime);
    for (const FaultEvent &faultEvent : schedule) {
        group.play(faultEvent);
    }
    const bool recovered = group.recovers(RecoveryLimit);
    if (!group.violation().empty()) {
        return group.violation() + "\n" + group.describe();
    }
    return recovered ? "" : "the group doesn't recover\n" + group.describe();
}

struct ScheduleCase
{
    const char *name;
    Schedule schedule;
};

class ControlGroupSchedules : public ::testing::TestWithParam<ScheduleCase>
{
};

TEST_P(ControlGroupSchedules, LeaveAGroupThatServes)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ASSERT_EQ(playSchedule({}, GetParam().schedule, seed), "") << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Orders, ControlGroupSchedules,
    ::testing::Values(
        // The order of events of review/6.
        ScheduleCase { "darkVmWhileAnotherIsReplacedThenLeadersAreLost",
                       { event(EventKind::PowerLoss, Victim::Oldest, 0, 7000),
                         event(EventKind::Replace, Victim::Oldest, 500, 1000),
                         event(EventKind::Kill, Victim::Leader, 8000, 0),
                         event(EventKind::Replace, Victim::Leader, 2600, 2000),
                         event(EventKind::Replace, Victim::Oldest, 2000, 1000) } },
        ScheduleCase { "everyVmIsReplacedInTurn",
                       { event(EventKind::Replace, Victim::Oldest, 0, 1000),
                         event(EventKind::Replace, Victim::Oldest, 500, 1000),
                         event(EventKind::Replace, Victim::Oldest, 500, 1000),
                         event(EventKind::Replace, Victim::Oldest, 500, 1000),
                         event(EventKind::Replace, Victim::Oldest, 500, 1000) } },
        ScheduleCase { "leadersAreReplacedAsSoonAsTermsAllow",
                       { event(EventKind::Replace, Victim::Leader, 0, 300),
                         event(EventKind::Replace, Victim::Leader, 0, 300),
                         event(EventKind::Replace, Victim::Leader, 0, 300),
                         event(EventKind::Replace, Victim::Leader, 0, 300),
                         event(EventKind::Replace, Victim::Leader, 0, 300) } },
        ScheduleCase { "disksAreLostWhileVmsAreReplaced",
                       { event(EventKind::LoseDisk, Victim::Leader, 0, 500),
                         event(EventKind::Replace, Victim::Leader, 200, 500),
                         event(EventKind::LoseDisk, Victim::Leader, 0, 500),
                         event(EventKind::Replace, Victim::Leader, 0, 500) } },
        ScheduleCase { "leadersAreLostWhileTheyReplaceAMember",
                       { event(EventKind::Replace, Victim::Any, 0, 500),
                         event(EventKind::Replace, Victim::ReplacingLeader, 0, 500),
                         event(EventKind::Kill, Victim::ReplacingLeader, 0, 0),
                         event(EventKind::Replace, Victim::ReplacingLeader, 0, 500),
                         event(EventKind::PowerLoss, Victim::ReplacingLeader, 0, 5000) } },
        ScheduleCase { "allAreKilledWhileOneIsReplaced",
                       { event(EventKind::Replace, Victim::Leader, 0, 800),
                         event(EventKind::KillAll, Victim::Any, 1500, 0),
                         event(EventKind::Replace, Victim::Leader, 0, 500),
                         event(EventKind::KillAll, Victim::Any, 2000, 0) } },
        ScheduleCase { "halvesAreSplitWhileOneIsReplaced",
                       { event(EventKind::Replace, Victim::Leader, 0, 800),
                         event(EventKind::Split, Victim::Any, 300, 5000),
                         event(EventKind::Replace, Victim::Leader, 0, 500),
                         event(EventKind::Replace, Victim::Leader, 0, 500) } },
        ScheduleCase { "successorComesFirst",
                       { event(EventKind::ReplacePlanned, Victim::Leader, 0, 1000),
                         event(EventKind::ReplacePlanned, Victim::Oldest, 500, 1000),
                         event(EventKind::Kill, Victim::Leader, 200, 0) } },
        ScheduleCase { "successorHasHadItsTimeBeforeItsPredecessorGoes",
                       { event(EventKind::ReplacePlanned, Victim::Leader, 0, 5000),
                         event(EventKind::Replace, Victim::Leader, 0, 500),
                         event(EventKind::Replace, Victim::Leader, 0, 500) } },
        ScheduleCase { "cutOffVmIsTakenForTheGoneOne",
                       { event(EventKind::Cut, Victim::Follower, 0, 6000),
                         event(EventKind::Replace, Victim::Leader, 300, 500),
                         event(EventKind::Replace, Victim::Leader, 0, 500),
                         event(EventKind::Kill, Victim::Leader, 0, 0) } }),
    [](const auto &info) { return std::string(info.param.name); });

// Returns the value of an environment variable as a number, or `defaultValue`.
std::uint64_t numberFromEnvironment(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// A long run by hand: CONTROL_GROUP_SEED=1 CONTROL_GROUP_SCHEDULES=100000.
TEST(ControlGroup, KeepsItsMajorityUnderDrawnSchedules)
{
    const std::uint64_t first = numberFromEnvironment("CONTROL_GROUP_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("CONTROL_GROUP_SCHEDULES", 400);
    int failures = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const Terms terms { 5, 2, seed % 2 == 0 ? Seconds(4) : Seconds(6) };
        const std::string fault = playSchedule(terms, drawSchedule(seed), seed);
        failures += fault.empty() ? 0 : 1;
        EXPECT_EQ(fault, "") << "seed " << seed;
        if (failures >= 5) {
            break;
        }
    }
}

} // namespace
} // namespace daisyhaven::coordination

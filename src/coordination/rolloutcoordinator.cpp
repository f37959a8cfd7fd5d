#include "coordination/internal/rolloutcoordinator.h"

#include "coordination/internal/announcementchecks.h"
#include "observe/observe.h"
#include "text/text.h"

#include <algorithm>
#include <vector>

namespace daisyhaven::coordination {

using rollout::Decision;
using rollout::Evaluation;
using rollout::Phase;
using rollout::Rollout;
using rollout::Verdict;

namespace {

constexpr Milliseconds RunPeriod { 100 };
// A proposal whose commit is not known after this long is made again.
constexpr Seconds ProposalTimeout { 1 };
// A VM that has sent no request for this long is not waited for.
constexpr Seconds VmTimeout { 3 };
// VMs report to a new leader within this time which slots they hold.
constexpr Seconds LeaderSettlingTime { 1 };

const char *phaseName(Phase phase)
{
    switch (phase) {
    case Phase::Running:
        return "running";
    case Phase::Completing:
        return "completing";
    case Phase::Completed:
        return "completed";
    case Phase::RolledBack:
        return "rolled-back";
    }
    return "unknown";
}

Result<void> checkOrder(const RolloutOrder &order, const routing::RoutingTable *table)
{
    if (!isName(order.target)) {
        return fail(ResultCode::RolloutInvalid, "not a version: " + order.target);
    }
    if (order.duration < Milliseconds(1) || order.duration > MaxRolloutDuration) {
        return fail(ResultCode::RolloutInvalid, "the duration is out of range");
    }
    if (!isName(order.service) || !isServiceConfigured(table, order.service)) {
        return fail(ResultCode::RolloutInvalid, "unknown service: " + order.service);
    }
    return {};
}

std::set<std::string> otherVersions(const directory::Directory &directory,
                                    const RolloutOrder &order)
{
    std::set<std::string> versions;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.announcement.service == order.service) {
            versions.insert(entry.announcement.version);
        }
    }
    versions.erase(order.target);
    return versions;
}

} // namespace

// Time left of the roll-out. A wall clock that was set back does not prolong it.
Duration RolloutCoordinator::remainingTime(const Rollout &rollout) const
{
    const Duration whole = Milliseconds(rollout.durationMs);
    const Duration elapsed = Milliseconds(static_cast<std::int64_t>(wallClockMs_())
                                          - static_cast<std::int64_t>(rollout.orderedAtMs));
    return std::clamp(whole - elapsed, Duration(0), whole);
}

// Returns whether the order asks for what `rollout` does or has done, so that its sender may have
// missed the confirmation.
bool RolloutCoordinator::isRepeated(const RolloutOrder &order, const Rollout &rollout) const
{
    if (order.target != rollout.target) {
        return false;
    }
    return rollout.phase != Phase::RolledBack || remainingTime(rollout) > Duration(0);
}

namespace {

Failure inProgress(const Rollout &rollout)
{
    return { ResultCode::RolloutInProgress,
             rollout.service + " moves over to version " + rollout.target };
}

bool isFailure(scheduler::Outcome outcome)
{
    return outcome == scheduler::Outcome::ServerError
        || outcome == scheduler::Outcome::MalformedResponse
        || outcome == scheduler::Outcome::ConnectionLost
        || outcome == scheduler::Outcome::ResponseTimeout;
}

// Returns whether the result says something about the version. A server that can't be reached or
// has no room does not.
bool saysSomething(scheduler::Outcome outcome)
{
    return outcome == scheduler::Outcome::Success || outcome == scheduler::Outcome::Cancelled
        || isFailure(outcome);
}

scheduler::VersionGate gateFor(const Rollout &rollout, Phase phase)
{
    scheduler::VersionGate gate;
    gate.target = rollout.target;
    gate.replacedVersions = rollout.replacedVersions;
    gate.reportsResults = !rollout::isFinished(phase);
    gate.replacedVersionsServe = phase == Phase::Running || phase == Phase::RolledBack;
    if (!gate.replacedVersionsServe) {
        gate.maxTargetRequests.reset();
    }
    return gate;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(rollout::ExposureLimits limits, const DurableState &state,
                                       ProposeFunction propose, WallClock wallClockMs)
    : limits_(limits), state_(state), propose_(std::move(propose)),
      wallClockMs_(std::move(wallClockMs))
{
}

// ---- leadership and orders ----

void RolloutCoordinator::startLeading(Instant now, scheduler::Scheduler &scheduler)
{
    scheduler_ = &scheduler;
    for (const auto &[service, rollout] : state_.rollouts()) {
        if (rollout::isFinished(rollout.phase)) {
            applyFinishedGate(now, rollout);
        } else {
            activate(now, rollout, Evaluation::Start::Inherited);
        }
    }
}

void RolloutCoordinator::stopLeading()
{
    scheduler_ = nullptr;
    active_.clear();
    vmViews_.clear();
}

void RolloutCoordinator::order(const RolloutOrder &order, const routing::RoutingTable *table,
                               const directory::Directory &directory, const ChangeCallback &done)
{
    const auto refuse = [&done](const Failure &failure) {
        logEvent(Event::RolloutRefused, { { "reason", toString(failure) } });
        done(failure);
    };
    const auto checked = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(checkOrder(order, table));
        return true;
    });
    if (const auto *failure = std::get_if<Failure>(&checked)) {
        refuse(*failure);
        return;
    }
    Rollout ordered { order.service,
                      order.target,
                      otherVersions(directory, order),
                      wallClockMs_(),
                      static_cast<std::uint32_t>(order.duration / Milliseconds(1)),
                      Phase::Running };
    const auto current = state_.rollouts().find(order.service);
    if (current != state_.rollouts().end()) {
        if (isRepeated(order, current->second)) {
            done(Committed {});
            return;
        }
        if (!rollout::isFinished(current->second.phase)) {
            refuse(inProgress(current->second));
            return;
        }
        ordered.orderedAtMs = std::max(ordered.orderedAtMs, current->second.orderedAtMs + 1);
    }
    // Another order of the service may be committed first.
    propose_(ordered, [this, ordered, done](const ChangeOutcome &outcome) {
        const auto committed = state_.rollouts().find(ordered.service);
        const bool overtaken = std::holds_alternative<Committed>(outcome)
            && committed != state_.rollouts().end() && committed->second.target != ordered.target;
        done(overtaken ? ChangeOutcome(inProgress(committed->second)) : outcome);
    });
}

void RolloutCoordinator::applyChange(Instant now, const std::string &service)
{
    const Rollout &rollout = state_.rollouts().at(service);
    logEvent(Event::RolloutChanged,
             { { "service", service },
               { "version", rollout.target },
               { "phase", phaseName(rollout.phase) } });
    switch (rollout.phase) {
    case Phase::Running:
        activate(now, rollout, Evaluation::Start::Ordered);
        break;
    case Phase::Completing:
        startCompleting(now, rollout, active_.at(service));
        break;
    case Phase::Completed:
    case Phase::RolledBack:
        active_.erase(service);
        applyFinishedGate(now, rollout);
        break;
    }
}

void RolloutCoordinator::activate(Instant now, const Rollout &rollout, Evaluation::Start start)
{
    const scheduler::VersionLoad before = scheduler_->versionLoad(now, rollout.service);
    ActiveRollout active;
    active.evaluation =
        std::make_unique<Evaluation>(now, now + remainingTime(rollout), limits_, start);
    active.requestsBefore = before.requests;
    active.targetRequestsBefore = before.targetRequests;
    if (rollout.phase == Phase::Completing) {
        active.completingSince = now + LeaderSettlingTime;
        active.completingIndex = state_.lastChangeIndex();
    }
    active_[rollout.service] = std::move(active);
    scheduler_->setVersionGate(now, rollout.service, gateFor(rollout, rollout.phase));
}

void RolloutCoordinator::startCompleting(Instant now, const Rollout &rollout, ActiveRollout &active)
{
    active.completingSince = now;
    active.completingIndex = state_.lastChangeIndex();
    active.proposedAt = Instant();
    if (!active.rollsBack) {
        scheduler_->setVersionGate(now, rollout.service, gateFor(rollout, Phase::Completing));
    }
}

void RolloutCoordinator::applyFinishedGate(Instant now, const Rollout &rollout)
{
    scheduler_->setVersionGate(now, rollout.service, gateFor(rollout, rollout.phase));
}

// ---- what the leader learns ----

void RolloutCoordinator::recordViewIndex(Instant now, const std::string &vm, std::uint64_t index)
{
    if (!active_.empty()) {
        vmViews_[vm] = { index, now };
    }
}

bool RolloutCoordinator::allVmsHold(Instant now, std::uint64_t index) const
{
    return std::all_of(vmViews_.begin(), vmViews_.end(), [&](const auto &vm) {
        return vm.second.index >= index || now - vm.second.receivedAt > VmTimeout;
    });
}

void RolloutCoordinator::recordResult(Instant now, const scheduler::VersionResult &result)
{
    const auto active = active_.find(result.service);
    if (active == active_.end() || !saysSomething(result.outcome)) {
        return;
    }
    const bool cancelled = result.outcome == scheduler::Outcome::Cancelled;
    active->second.evaluation->recordAnswer(now,
                                            { result.serverId, result.route, result.fromTarget,
                                              isFailure(result.outcome), cancelled,
                                              result.underLoad, result.latency });
}

rollout::ServiceLoad RolloutCoordinator::loadOf(Instant now, const std::string &service,
                                                const ActiveRollout &active) const
{
    const scheduler::VersionLoad load = scheduler_->versionLoad(now, service);
    return { load.requests - active.requestsBefore,
             load.targetRequests - active.targetRequestsBefore, load.targetServers,
             load.targetSlots, load.inFlight };
}

// ---- decisions ----

void RolloutCoordinator::tick(Instant now)
{
    if (active_.empty()) {
        vmViews_.clear();
        return;
    }
    if (now - lastRunAt_ < RunPeriod) {
        return;
    }
    lastRunAt_ = now;
    // A proposal may be committed at once, which removes the roll-out from active_.
    std::vector<std::string> services;
    for (const auto &[service, active] : active_) {
        services.push_back(service);
    }
    for (const std::string &service : services) {
        decide(now, state_.rollouts().at(service), active_.at(service));
    }
}

void RolloutCoordinator::decide(Instant now, const Rollout &rollout, ActiveRollout &active)
{
    if (active.rollsBack) {
        rollBack(now, rollout, active, "repeated");
    } else if (rollout.phase == Phase::Running) {
        run(now, rollout, active);
    } else {
        complete(now, rollout, active);
    }
}

void RolloutCoordinator::run(Instant now, const Rollout &rollout, ActiveRollout &active)
{
    const rollout::ServiceLoad load = loadOf(now, rollout.service, active);
    const Decision decision = active.evaluation->decide(now, load);
    switch (decision.verdict) {
    case Verdict::RollBack:
        rollBack(now, rollout, active, decision.reason);
        return;
    case Verdict::Complete:
        proposePhase(now, rollout, active, Phase::Completing, decision.reason);
        return;
    case Verdict::Continue:
        break;
    }
    scheduler::VersionGate gate = gateFor(rollout, Phase::Running);
    gate.maxTargetRequests =
        active.targetRequestsBefore + active.evaluation->maxTargetRequests(now, load);
    scheduler_->setVersionGate(now, rollout.service, std::move(gate));
}

void RolloutCoordinator::complete(Instant now, const Rollout &rollout, ActiveRollout &active)
{
    // Once completion is proposed it may be committed at any time.
    const bool completionProposed = active.proposedAt != Instant();
    const Decision decision = active.evaluation->decideWhileCompleting(now);
    if (decision.verdict == Verdict::RollBack && !completionProposed) {
        rollBack(now, rollout, active, decision.reason);
        return;
    }
    const bool unused = scheduler_->versionLoad(now, rollout.service).replacedInFlight == 0
        && allVmsHold(now, active.completingIndex) && now >= active.completingSince;
    if (unused || now >= active.evaluation->completionDeadline()) {
        proposePhase(now, rollout, active, Phase::Completed,
                     unused ? "nothing in flight" : "the time is over");
    }
}

// The target version receives nothing from now on, whether the change can be committed or not.
void RolloutCoordinator::rollBack(Instant now, const Rollout &rollout, ActiveRollout &active,
                                  const std::string &reason)
{
    if (!active.rollsBack) {
        active.rollsBack = true;
        active.proposedAt = Instant(); // a proposal to complete is overtaken
    }
    scheduler_->setVersionGate(now, rollout.service, gateFor(rollout, Phase::RolledBack));
    proposePhase(now, rollout, active, Phase::RolledBack, reason);
}

void RolloutCoordinator::proposePhase(Instant now, const Rollout &rollout, ActiveRollout &active,
                                      Phase phase, const std::string &reason)
{
    const bool pending =
        active.proposedAt != Instant() && now - active.proposedAt < ProposalTimeout;
    if (pending) {
        return;
    }
    active.proposedAt = now;
    logEvent(Event::RolloutDecided,
             { { "service", rollout.service },
               { "version", rollout.target },
               { "phase", phaseName(phase) },
               { "reason", reason } });
    Rollout next = rollout;
    next.phase = phase;
    // Last, since the commit may end the life of `active`.
    propose_(next, [](const ChangeOutcome &) {}); // proposed again if it is not committed
}

std::map<std::string, double> RolloutCoordinator::metrics(Instant now) const
{
    double targetRequests = 0;
    for (const auto &[service, active] : active_) {
        targetRequests += static_cast<double>(loadOf(now, service, active).targetRequests);
    }
    return { { "daisyhaven_rollouts_running", static_cast<double>(active_.size()) },
             { "daisyhaven_rollout_target_requests", targetRequests } };
}

} // namespace daisyhaven::coordination

// Runs the roll-outs of a fleet on the leader: takes orders, limits what the target version
// receives, and proposes each change of phase to the replicated log.
#pragma once

#include "coordination/coordination.h"
#include "coordination/internal/durablestate.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace daisyhaven::coordination {

class RolloutCoordinator
{
public:
    using ChangeCallback = ControlTask::ChangeCallback;
    using ProposeFunction =
        std::function<void(const rollout::Rollout &rollout, const ChangeCallback &done)>;

    // Returns Unix milliseconds.
    using WallClock = std::function<std::uint64_t()>;

    // `state` holds the committed roll-outs and must outlive the coordinator.
    RolloutCoordinator(rollout::ExposureLimits limits, const DurableState &state,
                       ProposeFunction propose, WallClock wallClockMs);

    // Continues the committed roll-outs. `scheduler` must outlive this until stopLeading().
    void startLeading(Instant now, scheduler::Scheduler &scheduler);
    void stopLeading();

    // Proposes a roll-out; see ControlTask::orderRollout(). Call only while leading.
    void order(const RolloutOrder &order, const routing::RoutingTable *table,
               const directory::Directory &directory, const ChangeCallback &done);
    // The roll-out of the service changed in `state`. Call only while leading.
    void applyChange(Instant now, const std::string &service);
    // A VM holds the view with this log index.
    void recordViewIndex(Instant now, const std::string &vm, std::uint64_t index);
    void recordResult(Instant now, const scheduler::VersionResult &result);
    void tick(Instant now);

    std::map<std::string, double> metrics(Instant now) const;

private:
    // A roll-out that is not finished.
    struct ActiveRollout
    {
        std::unique_ptr<rollout::Evaluation> evaluation;
        // The scheduler's counts when the evaluation started.
        std::uint64_t requestsBefore = 0;
        std::uint64_t targetRequestsBefore = 0;
        // When this leader began to send nothing to the replaced versions, and the log index with
        // which the VMs learn of it.
        Instant completingSince;
        std::uint64_t completingIndex = 0;
        bool rollsBack = false;
        Instant proposedAt;
    };

    struct VmView
    {
        std::uint64_t index = 0;
        Instant receivedAt;
    };

    void activate(Instant now, const rollout::Rollout &rollout, rollout::Evaluation::Start start);
    void startCompleting(Instant now, const rollout::Rollout &rollout, ActiveRollout &active);
    void applyFinishedGate(Instant now, const rollout::Rollout &rollout);
    void decide(Instant now, const rollout::Rollout &rollout, ActiveRollout &active);
    void run(Instant now, const rollout::Rollout &rollout, ActiveRollout &active);
    void complete(Instant now, const rollout::Rollout &rollout, ActiveRollout &active);
    void rollBack(Instant now, const rollout::Rollout &rollout, ActiveRollout &active,
                  const std::string &reason);
    void proposePhase(Instant now, const rollout::Rollout &rollout, ActiveRollout &active,
                      rollout::Phase phase, const std::string &reason);
    rollout::ServiceLoad loadOf(Instant now, const std::string &service,
                                const ActiveRollout &active) const;
    Duration remainingTime(const rollout::Rollout &rollout) const;
    bool isRepeated(const RolloutOrder &order, const rollout::Rollout &rollout) const;
    bool allVmsHold(Instant now, std::uint64_t index) const;

    rollout::ExposureLimits limits_;
    const DurableState &state_;
    ProposeFunction propose_;
    WallClock wallClockMs_;
    // Null while this replica does not lead.
    scheduler::Scheduler *scheduler_ = nullptr;
    std::map<std::string, ActiveRollout> active_;
    std::map<std::string, VmView> vmViews_;
    Instant lastRunAt_;
};

} // namespace daisyhaven::coordination

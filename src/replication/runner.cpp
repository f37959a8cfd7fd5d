#include "observe/observe.h"
#include "replication/internal/entrycodec.h"
#include "replication/replication.h"

#include <random>

namespace daisyhaven::replication {

namespace {

constexpr Milliseconds TickPeriod { 20 };
constexpr Milliseconds MessageTimeout { 1000 };
// The log is replaced by a snapshot once it holds so many applied entries, or so many bytes.
constexpr std::uint64_t SnapshotAfterEntries = 256;
constexpr std::size_t SnapshotAfterBytes = 8UL * 1024 * 1024;
// Delay between attempts to write to a full disk.
constexpr Milliseconds StorageRetryPeriod { 200 };

} // namespace

ReplicaRunner::ReplicaRunner(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
                             std::unique_ptr<DiskLog> disk, const peer::Address &self,
                             const consensus::Timings &timings, ReplicaCallbacks callbacks)
    : timers_(timers), server_(server), clients_(clients), disk_(std::move(disk)),
      replica_({ disk_->identity().vm, disk_->identity().replicaId, self.toString() },
               disk_->storedState(), timings, std::random_device {}(), timers.now()),
      callbacks_(std::move(callbacks))
{
}

Result<void> ReplicaRunner::start()
{
    BOOST_LEAF_CHECK(callbacks_.restoreState(disk_->storedState().snapshot.state));
    if (disk_->wasTailTruncated()) {
        logEvent(Event::ControlLogRepaired, { { "vm", disk_->identity().vm } });
    }
    server_.registerTypedHandler<wire::ConsensusMessage, wire::Empty>(
        peer::Method::Consensus, peer::Role::Vm,
        [this](const peer::Caller &, const wire::ConsensusMessage &message, auto respond) {
            respond(wire::Empty {});
            if (!isStorageFull_) {
                replica_.handleMessage(timers_.now(), fromWire(message));
                executeActions();
            }
        });
    tick_ = timers_.runEvery(TickPeriod, [this] { tick(); });
    return {};
}

void ReplicaRunner::tick()
{
    const Instant now = timers_.now();
    if (isStorageFull_ && now < storageRetryAt_) {
        return;
    }
    if (!isStorageFull_) {
        replica_.tick(now);
    }
    executeActions();
}

Result<std::uint64_t> ReplicaRunner::propose(std::string payload)
{
    if (isStorageFull_) {
        return fail(ResultCode::StorageFull, "the disk of this control VM is full");
    }
    BOOST_LEAF_AUTO(index, replica_.propose(timers_.now(), std::move(payload)));
    executeActions();
    return index;
}

Result<void> ReplicaRunner::setInitialMembers(const consensus::Members &members)
{
    const bool isLacking = disk_->lacksMembers() && replica_.members().empty();
    if (isLacking && !members.empty()) {
        BOOST_LEAF_CHECK(disk_->setInitialMembers(members));
        replica_.setInitialMembers(members);
        logEvent(Event::ControlFoundersLearned, { { "members", members.size() } });
    }
    return {};
}

Result<void> ReplicaRunner::addMember(const consensus::MemberInfo &member)
{
    BOOST_LEAF_CHECK(replica_.addMember(timers_.now(), member));
    executeActions();
    return {};
}

Result<void> ReplicaRunner::removeMember(const std::string &identity)
{
    BOOST_LEAF_CHECK(replica_.removeMember(timers_.now(), identity));
    executeActions();
    return {};
}

Duration ReplicaRunner::timeSinceContact(const std::string &identity) const
{
    return replica_.timeSinceContact(timers_.now(), identity);
}

// Executes the pending actions in order. Callbacks may call propose(), which re-enters this
// function; the outer loop then executes the added actions.
void ReplicaRunner::executeActions()
{
    if (isExecutingActions_) {
        return;
    }
    isExecutingActions_ = true;
    while (!isStopped_) {
        for (consensus::Action &action : replica_.takeActions()) {
            pendingActions_.push_back(std::move(action));
        }
        if (pendingActions_.empty()) {
            break;
        }
        const auto result = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(std::visit([this](const auto &value) { return execute(value); },
                                        pendingActions_.front()));
            return true;
        });
        const auto *failure = std::get_if<Failure>(&result);
        if (failure != nullptr && failure->code == ResultCode::StorageFull) {
            pauseForFullStorage(*failure);
            break;
        }
        if (failure != nullptr) {
            stopAfterFailure(*failure);
            break;
        }
        resumeAfterFullStorage();
        pendingActions_.pop_front();
        if (pendingActions_.empty()) {
            compactLogIfDue();
        }
    }
    isExecutingActions_ = false;
}

// Keeps the pending actions for a later attempt. To the other replicas this one is unresponsive,
// and they continue without it.
void ReplicaRunner::pauseForFullStorage(const Failure &failure)
{
    storageRetryAt_ = timers_.now() + StorageRetryPeriod;
    if (!isStorageFull_) {
        isStorageFull_ = true;
        logEvent(Event::StorageFull,
                 { { "reason", toString(failure) }, { "undone", pendingActions_.size() } });
    }
}

void ReplicaRunner::resumeAfterFullStorage()
{
    if (isStorageFull_) {
        isStorageFull_ = false;
        logEvent(Event::StorageRegained, { { "undone", pendingActions_.size() } });
    }
}

// Stops the replica because its stored state is unreliable. The other replicas continue.
void ReplicaRunner::stopAfterFailure(const Failure &failure)
{
    logEvent(Event::ControlRefusedStart, { { "reason", toString(failure) } });
    isStopped_ = true;
    tick_ = TimerHandle();
    callbacks_.onFatalError(failure);
}

Result<void> ReplicaRunner::execute(const consensus::PersistHardState &action)
{
    return disk_->writeHardState(action.state);
}

Result<void> ReplicaRunner::execute(const consensus::PersistEntries &action)
{
    return disk_->writeEntries(action.firstIndex, action.entries);
}

Result<void> ReplicaRunner::execute(const consensus::PersistSnapshot &action)
{
    return disk_->writeSnapshot(action.snapshot, action.tail);
}

Result<void> ReplicaRunner::execute(const consensus::SendMessage &action)
{
    const auto address = attempt([&] { return peer::parseAddress(action.peerAddress); });
    if (const auto *target = std::get_if<peer::Address>(&address)) {
        // The response carries no data. The replica resends a message that gets no consensus
        // response.
        clients_.call<wire::Empty>(*target, peer::Method::Consensus, toWire(action.message),
                                   MessageTimeout, [](const peer::CallResult<wire::Empty> &) {});
    }
    return {};
}

Result<void> ReplicaRunner::execute(const consensus::ApplyEntry &action)
{
    appliedIndex_ = action.entry.index;
    if (action.entry.kind == consensus::EntryKind::Membership) {
        logEvent(Event::ControlMemberChanged, { { "members", action.entry.members.size() } });
    }
    if (action.entry.kind == consensus::EntryKind::Command) {
        callbacks_.applyEntry(action.entry);
    }
    return {};
}

Result<void> ReplicaRunner::execute(const consensus::RestoreSnapshot &action)
{
    appliedIndex_ = action.snapshot.index;
    return callbacks_.restoreState(action.snapshot.state);
}

Result<void> ReplicaRunner::execute(const consensus::BecameLeader &action)
{
    logEvent(Event::ControlElected, { { "vm", identity().vm }, { "term", action.term } });
    return {};
}

Result<void> ReplicaRunner::execute(const consensus::SteppedDown &action)
{
    logEvent(Event::ControlSteppedDown, { { "vm", identity().vm }, { "term", action.term } });
    callbacks_.onSteppedDown(action.term);
    return {};
}

void ReplicaRunner::compactLogIfDue()
{
    const bool isLong = appliedIndex_ >= replica_.firstIndex() + SnapshotAfterEntries;
    const bool isLarge = replica_.logBytes() >= SnapshotAfterBytes;
    const bool isDue = isLong || (isLarge && appliedIndex_ >= replica_.firstIndex());
    if (!isDue || isStopped_) {
        return;
    }
    replica_.compact(appliedIndex_, callbacks_.captureState());
    logEvent(Event::ControlSnapshot, { { "index", appliedIndex_ } });
}

} // namespace daisyhaven::replication

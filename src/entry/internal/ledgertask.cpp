#include "entry/internal/ledgertask.h"

#include "peer/generated/peer.pb.h"

#include <xxhash.h>

#include <algorithm>

namespace daisyhaven::entry {

namespace {

constexpr Milliseconds TickPeriod { 100 };
constexpr Milliseconds StoreTimeout { 500 };
constexpr Milliseconds CopyPeriod { 500 };
constexpr Milliseconds RetryDelay { 50 };
constexpr Seconds FinishRetryTimeout { 10 };
constexpr int MaxStartAttempts = 200;

wire::LedgerRecord toWire(const ledger::IdempotencyRecord &record, Instant now)
{
    const auto remaining = [now](Instant until) {
        const auto ms = std::chrono::duration_cast<Milliseconds>(until - now).count();
        return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 0));
    };
    wire::LedgerRecord message;
    message.set_key(record.key);
    message.set_fingerprint(record.fingerprint);
    message.set_attempt(record.attemptId);
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_answer(record.response);
    message.set_remaining_ms(remaining(record.retainUntil));
    message.set_running_ms(remaining(record.executionDeadline));
    message.set_term(record.term);
    message.set_sequence(record.sequence);
    return message;
}

ledger::IdempotencyRecord fromWire(const wire::LedgerRecord &message, Instant now)
{
    ledger::IdempotencyRecord record;
    record.key = message.key();
    record.fingerprint = message.fingerprint();
    record.attemptId = message.attempt();
    record.state = static_cast<ledger::RecordState>(std::clamp<std::uint32_t>(
        message.state(), 1, static_cast<std::uint32_t>(ledger::RecordState::NotExecuted)));
    record.response = message.answer();
    record.retainUntil = now + Milliseconds(message.remaining_ms());
    record.executionDeadline = now + Milliseconds(message.running_ms());
    record.term = message.term();
    record.sequence = message.sequence();
    return record;
}

template <class Messages>
std::vector<ledger::IdempotencyRecord> recordsOf(const Messages &messages, Instant now)
{
    std::vector<ledger::IdempotencyRecord> records;
    for (const wire::LedgerRecord &message : messages) {
        records.push_back(fromWire(message, now));
    }
    return records;
}

} // namespace

class LedgerTask::Impl
{
public:
    explicit Impl(Context &context) : context_(context), startedAt_(context.timers.now())
    {
        context_.fleet.onLeaseChange(
            [this](const std::string &key, std::optional<std::uint64_t> term) {
                if (key.rfind("ledger:", 0) == 0) {
                    onLeaseChanged(key, term);
                }
            });
        context_.fleet.onUnpublishedFleet([this] { markReplicasComplete(); });
        for (std::uint32_t shard = 0; shard < context_.fleet.fleetSettings().ledgerShards;
             ++shard) {
            const auto replicas = selectReplicas(shard);
            for (const settings::VmEndpoint &vm : replicas) {
                if (vm.id == context_.fleet.vmId()) {
                    replicas_.emplace(shard, ledger::ShardReplica(false));
                }
            }
        }
        registerHandlers();
        tickTimer_ = context_.timers.runEvery(TickPeriod, [this] { tick(); });
        copyTimer_ = context_.timers.runEvery(CopyPeriod, [this] { copyIncompleteShards(); });
    }

    std::string recordStart(const std::string &key, const std::string &fingerprint,
                            Duration executionTimeout, Instant waitUntil, Callback callback)
    {
        auto pending = std::make_shared<PendingStart>();
        pending->key = key;
        pending->attemptId = context_.fleet.vmId() + "/"
            + std::to_string(context_.fleet.incarnation()) + "/"
            + std::to_string(++lastAttemptNumber_);
        pending->fingerprint = fingerprint;
        pending->executionTimeout = executionTimeout;
        pending->waitUntil = waitUntil;
        pending->callback = std::move(callback);
        sendStart(pending);
        return pending->attemptId;
    }

    void recordFinish(const std::string &key, const std::string &attemptId,
                      ledger::RecordState state, std::string response)
    {
        wire::LedgerFinish message;
        message.set_shard(shardOf(key));
        message.set_key(key);
        message.set_state(static_cast<std::uint32_t>(state));
        message.set_answer(std::move(response));
        message.set_attempt(attemptId);
        sendFinish(message, now() + FinishRetryTimeout);
    }

private:
    using StartRespond = std::function<void(std::variant<wire::LedgerStartReply, Failure>)>;

    struct PendingStart
    {
        std::string key;
        std::string attemptId;
        std::string fingerprint;
        Duration executionTimeout { 0 };
        Instant waitUntil;
        Callback callback;
        int attemptCount = 0;
    };

    struct OwnedShard
    {
        std::uint32_t shard = 0;
        ledger::ShardOwner owner;
        std::set<std::size_t> requestedReplicas;
        bool restored = false; // the records are stored again under this term
        bool restoring = false;
    };

    Instant now() const { return context_.timers.now(); }

    std::uint32_t shardOf(const std::string &key) const
    {
        return fleet::shardOf(key, context_.fleet.fleetSettings().ledgerShards);
    }

    Duration retention() const { return context_.fleet.fleetSettings().ledgerRetention; }

    // Returns three voters, each in a different availability zone if there are at least three
    // zones. The result depends only on the settings, so all VMs select the same replicas.
    std::vector<settings::VmEndpoint> selectReplicas(std::uint32_t shard) const
    {
        std::vector<settings::VmEndpoint> voters = context_.fleet.fleetSettings().voters;
        const auto rank = [shard](const settings::VmEndpoint &vm) {
            return XXH3_64bits_withSeed(vm.id.data(), vm.id.size(), shard);
        };
        std::sort(voters.begin(), voters.end(),
                  [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        std::vector<settings::VmEndpoint> selected;
        for (const bool distinctZones : { true, false }) {
            for (const settings::VmEndpoint &vm : voters) {
                const bool usable = std::none_of(
                    selected.begin(), selected.end(), [&](const settings::VmEndpoint &other) {
                        const bool sameZone = other.availabilityZone == vm.availabilityZone;
                        return other.id == vm.id || (distinctZones && sameZone);
                    });
                if (usable && selected.size() < ledger::ReplicaCount) {
                    selected.push_back(vm);
                }
            }
        }
        return selected;
    }

    // ---- as a replica ----

    void markReplicasComplete()
    {
        for (auto &[shard, replica] : replicas_) {
            replica.markComplete();
        }
    }

    void copyIncompleteShards()
    {
        const bool retentionElapsed = now() - startedAt_ > retention();
        for (auto &[shard, replica] : replicas_) {
            if (replica.isComplete()) {
                continue;
            }
            if (retentionElapsed) {
                replica.markComplete();
                continue;
            }
            requestCopies(shard);
        }
    }

    void requestCopies(std::uint32_t shard)
    {
        const auto replicaVms = selectReplicas(shard);
        for (std::size_t i = 0; i < replicaVms.size(); ++i) {
            if (replicaVms[i].id == context_.fleet.vmId()) {
                continue;
            }
            wire::LedgerCopy request;
            request.set_shard(shard);
            context_.clients.call<wire::LedgerCopyReply>(
                replicaVms[i].peerAddress, peer::Method::LedgerCopy, request, StoreTimeout,
                [this, shard, i](const peer::CallResult<wire::LedgerCopyReply> &result) {
                    const auto *reply = std::get_if<wire::LedgerCopyReply>(&result);
                    if (reply == nullptr || !reply->complete()) {
                        return;
                    }
                    ledger::ShardReplica &replica = replicas_.at(shard);
                    const bool before = replica.isComplete();
                    replica.mergeFromReplica(i, reply->promised_term(),
                                             recordsOf(reply->records(), now()));
                    if (!before && replica.isComplete()) {
                        logEvent(Event::LedgerRecovered, { { "shard", shard } });
                    }
                });
        }
    }

    void registerHandlers()
    {
        using peer::Caller;
        using peer::Method;
        using peer::Role;
        context_.server.registerTypedHandler<wire::LedgerStore, wire::LedgerStoreReply>(
            Method::LedgerStore, Role::Vm,
            [this](const Caller &, const wire::LedgerStore &request, auto respond) {
                respond(handleStore(request));
            });
        context_.server.registerTypedHandler<wire::LedgerCopy, wire::LedgerCopyReply>(
            Method::LedgerCopy, Role::Vm,
            [this](const Caller &, const wire::LedgerCopy &request, auto respond) {
                respond(handleCopy(request));
            });
        context_.server.registerTypedHandler<wire::LedgerStart, wire::LedgerStartReply>(
            Method::LedgerStart, Role::Vm,
            [this](const Caller &, const wire::LedgerStart &request, auto respond) {
                handleStart(request, respond);
            });
        context_.server.registerTypedHandler<wire::LedgerFinish, wire::Empty>(
            Method::LedgerFinish, Role::Vm,
            [this](const Caller &, const wire::LedgerFinish &request, auto respond) {
                handleFinish(request, respond);
            });
    }

    std::variant<wire::LedgerStoreReply, Failure> handleStore(const wire::LedgerStore &request)
    {
        const auto found = replicas_.find(static_cast<std::uint32_t>(request.shard()));
        if (found == replicas_.end()) {
            return Failure { ResultCode::PeerProtocol, "this VM is not a replica of the shard" };
        }
        wire::LedgerStoreReply reply;
        reply.set_stored(found->second.store(request.term(), recordsOf(request.records(), now())));
        reply.set_promised_term(found->second.promisedTerm());
        return reply;
    }

    // A request with a term comes from a new owner and obtains a promise for that term. A request
    // without a term comes from a replica that recovers its records.
    std::variant<wire::LedgerCopyReply, Failure> handleCopy(const wire::LedgerCopy &request)
    {
        const auto found = replicas_.find(static_cast<std::uint32_t>(request.shard()));
        if (found == replicas_.end()) {
            return Failure { ResultCode::PeerProtocol, "this VM is not a replica of the shard" };
        }
        ledger::ShardReplica &replica = found->second;
        wire::LedgerCopyReply reply;
        std::vector<ledger::IdempotencyRecord> records;
        bool complete = replica.isComplete();
        if (request.term() != 0) {
            const auto promised = replica.promiseTerm(request.term());
            complete = promised.has_value();
            records = promised.value_or(std::vector<ledger::IdempotencyRecord> {});
        } else {
            records = replica.records();
        }
        reply.set_complete(complete);
        reply.set_promised_term(replica.promisedTerm());
        for (const ledger::IdempotencyRecord &record : records) {
            *reply.add_records() = toWire(record, now());
        }
        return reply;
    }

    // ---- as an owner ----

    void onLeaseChanged(const std::string &key, std::optional<std::uint64_t> term)
    {
        ownedShards_.erase(key);
        if (!term) {
            return;
        }
        const auto shard =
            static_cast<std::uint32_t>(std::stoul(key.substr(std::string("ledger:").size())));
        ownedShards_.emplace(key,
                             OwnedShard { shard, ledger::ShardOwner(*term), {}, false, false });
        loadRecords(key);
    }

    void loadRecords(const std::string &key)
    {
        OwnedShard &owned = ownedShards_.at(key);
        const auto replicaVms = selectReplicas(owned.shard);
        for (std::size_t i = 0; i < replicaVms.size(); ++i) {
            if (!owned.requestedReplicas.insert(i).second) {
                continue;
            }
            wire::LedgerCopy request;
            request.set_shard(owned.shard);
            request.set_term(owned.owner.term());
            const std::uint64_t term = owned.owner.term();
            context_.clients.call<wire::LedgerCopyReply>(
                replicaVms[i].peerAddress, peer::Method::LedgerCopy, request, StoreTimeout,
                [this, key, term, i](const peer::CallResult<wire::LedgerCopyReply> &result) {
                    OwnedShard *target = findOwnedShard(key, term);
                    if (target == nullptr) {
                        return;
                    }
                    target->requestedReplicas.erase(i);
                    const auto *reply = std::get_if<wire::LedgerCopyReply>(&result);
                    if (reply != nullptr && reply->complete()) {
                        target->owner.addReplicaRecords(i, recordsOf(reply->records(), now()));
                        target->requestedReplicas.insert(i);
                        restore(key, *target);
                    }
                });
        }
    }

    OwnedShard *findOwnedShard(const std::string &key, std::uint64_t term)
    {
        const auto found = ownedShards_.find(key);
        const bool same = found != ownedShards_.end() && found->second.owner.term() == term;
        return same ? &found->second : nullptr;
    }

    // Stores the loaded records again under the new owner's term. The owner serves requests only
    // after that.
    void restore(const std::string &key, OwnedShard &owned)
    {
        if (!owned.owner.isReady() || owned.restored || owned.restoring) {
            return;
        }
        owned.restoring = true;
        const std::uint64_t term = owned.owner.term();
        storeAtMajority(owned.shard, term, owned.owner.recordsAtCurrentTerm(),
                        [this, key, term](bool stored) {
                            if (OwnedShard *target = findOwnedShard(key, term)) {
                                target->restoring = false;
                                target->restored = stored;
                            }
                        });
    }

    void storeAtMajority(std::uint32_t shard, std::uint64_t term,
                         const std::vector<ledger::IdempotencyRecord> &records,
                         std::function<void(bool)> done)
    {
        struct StoreRound
        {
            std::size_t outstanding = 0;
            std::size_t stored = 0;
            std::function<void(bool)> done;
        };
        auto round = std::make_shared<StoreRound>();
        round->done = std::move(done);
        wire::LedgerStore request;
        request.set_shard(shard);
        request.set_term(term);
        for (const ledger::IdempotencyRecord &record : records) {
            *request.add_records() = toWire(record, now());
        }
        const auto replicaVms = selectReplicas(shard);
        round->outstanding = replicaVms.size();
        for (const settings::VmEndpoint &vm : replicaVms) {
            context_.clients.call<wire::LedgerStoreReply>(
                vm.peerAddress, peer::Method::LedgerStore, request, StoreTimeout,
                [round](const peer::CallResult<wire::LedgerStoreReply> &result) {
                    const auto *reply = std::get_if<wire::LedgerStoreReply>(&result);
                    --round->outstanding;
                    round->stored += reply != nullptr && reply->stored() ? 1 : 0;
                    const bool enough = round->stored >= ledger::ReplicaMajority;
                    if (round->done && (enough || round->outstanding == 0)) {
                        const auto onDone = std::move(round->done);
                        round->done = nullptr;
                        onDone(enough);
                    }
                });
        }
    }

    OwnedShard *findServingShard(std::uint64_t shard)
    {
        const std::string key = fleet::ledgerLeaseKey(static_cast<std::uint32_t>(shard));
        const auto term = context_.fleet.heldLeaseTerm(key);
        OwnedShard *owned = term ? findOwnedShard(key, *term) : nullptr;
        return owned != nullptr && owned->restored ? owned : nullptr;
    }

    void handleStart(const wire::LedgerStart &request, const StartRespond &respond)
    {
        OwnedShard *owned = findServingShard(request.shard());
        if (owned == nullptr) {
            respond(Failure { ResultCode::LeaseNotHeld, "ledger" });
            return;
        }
        ledger::IdempotencyRecord start;
        start.key = request.key();
        start.fingerprint = request.fingerprint();
        start.attemptId = request.attempt();
        start.retainUntil = now() + Milliseconds(request.retention_ms());
        start.executionDeadline = now() + Milliseconds(request.running_ms());
        const ledger::StartResult result = owned->owner.startRequest(now(), start);
        wire::LedgerStartReply reply;
        reply.set_owner_term(owned->owner.term());
        reply.set_state(static_cast<std::uint32_t>(result.record.state));
        reply.set_answer(result.record.response);
        switch (result.outcome) {
        case ledger::StartOutcome::NotReady:
            respond(Failure { ResultCode::LeaseNotHeld, "ledger" });
            return;
        case ledger::StartOutcome::InProgress:
            reply.set_result(static_cast<std::uint32_t>(ResultCode::RequestInProgress));
            respond(reply);
            return;
        case ledger::StartOutcome::KeyReused:
            reply.set_result(static_cast<std::uint32_t>(ResultCode::IdempotencyKeyReused));
            respond(reply);
            return;
        case ledger::StartOutcome::Replay:
            reply.set_result(static_cast<std::uint32_t>(ResultCode::OutcomeUnknown));
            respond(reply);
            return;
        case ledger::StartOutcome::RecordPending:
            storeStart(*owned, result.record, respond);
            return;
        }
    }

    void storeStart(OwnedShard &owned, const ledger::IdempotencyRecord &record,
                    const StartRespond &respond)
    {
        const std::string lease = fleet::ledgerLeaseKey(owned.shard);
        const std::uint64_t term = owned.owner.term();
        const std::string key = record.key;
        const std::string attemptId = record.attemptId;
        storeAtMajority(owned.shard, term, { record }, [=](bool stored) {
            OwnedShard *target = findOwnedShard(lease, term);
            if (stored) {
                wire::LedgerStartReply reply;
                reply.set_owner_term(term);
                respond(reply);
                return;
            }
            // The request was not forwarded, so the key may be started again.
            const auto abandoned = target == nullptr
                ? std::nullopt
                : target->owner.finishRequest(now(), key, attemptId,
                                              ledger::RecordState::NotExecuted, "");
            if (abandoned) {
                storeAtMajority(target->shard, term, { *abandoned }, [](bool) {});
            }
            respond(Failure { ResultCode::LedgerUnavailable, "no majority of replicas" });
        });
    }

    void handleFinish(const wire::LedgerFinish &request,
                      const std::function<void(std::variant<wire::Empty, Failure>)> &respond)
    {
        OwnedShard *owned = findServingShard(request.shard());
        if (owned == nullptr) {
            respond(Failure { ResultCode::LeaseNotHeld, "ledger" });
            return;
        }
        const auto state = static_cast<ledger::RecordState>(std::clamp<std::uint32_t>(
            request.state(), 1, static_cast<std::uint32_t>(ledger::RecordState::NotExecuted)));
        const auto changed = owned->owner.finishRequest(now(), request.key(), request.attempt(),
                                                        state, request.answer());
        if (!changed) {
            respond(wire::Empty {});
            return;
        }
        storeAtMajority(owned->shard, owned->owner.term(), { *changed }, [respond](bool stored) {
            if (stored) {
                respond(wire::Empty {});
            } else {
                respond(Failure { ResultCode::LedgerUnavailable, "no majority of replicas" });
            }
        });
    }

    // ---- for this VM's requests ----

    void sendStart(const std::shared_ptr<PendingStart> &pending)
    {
        const std::uint32_t shard = shardOf(pending->key);
        const auto target = context_.fleet.leaseHolder(fleet::ledgerLeaseKey(shard));
        if (!target) {
            retryStart(pending);
            return;
        }
        wire::LedgerStart request;
        request.set_shard(shard);
        request.set_key(pending->key);
        request.set_fingerprint(pending->fingerprint);
        request.set_attempt(pending->attemptId);
        const auto toMs = [](Duration duration) {
            return static_cast<std::uint32_t>(
                std::chrono::duration_cast<Milliseconds>(duration).count());
        };
        request.set_retention_ms(toMs(retention()));
        request.set_running_ms(toMs(pending->executionTimeout));
        const Duration timeout = std::max<Duration>(pending->waitUntil - now(), RetryDelay);
        context_.clients.call<wire::LedgerStartReply>(
            target->address, peer::Method::LedgerStart, request, timeout,
            [this, pending](const peer::CallResult<wire::LedgerStartReply> &result) {
                handleStartResponse(pending, result);
            });
    }

    void retryStart(const std::shared_ptr<PendingStart> &pending)
    {
        const bool timedOut =
            now() >= pending->waitUntil || ++pending->attemptCount > MaxStartAttempts;
        if (timedOut) {
            pending->callback(Failure { ResultCode::LedgerUnavailable,
                                        "no shard owner was available before the deadline" });
            return;
        }
        const std::uint64_t id = ++lastRetryId_;
        retryTimers_[id] = context_.timers.runAfter(RetryDelay, [this, id, pending] {
            sendStart(pending);
            retryTimers_.erase(id);
        });
    }

    void handleStartResponse(const std::shared_ptr<PendingStart> &pending,
                             const peer::CallResult<wire::LedgerStartReply> &result)
    {
        if (const auto *failure = std::get_if<Failure>(&result)) {
            const bool notReceived = failure->code == ResultCode::LeaseNotHeld
                || failure->code == ResultCode::PeerUnreachable;
            if (notReceived) {
                retryStart(pending);
                return;
            }
            // The start may be recorded although the request is not forwarded, so it is marked as
            // not run.
            recordFinish(pending->key, pending->attemptId, ledger::RecordState::NotExecuted, "");
            pending->callback(Failure { ResultCode::LedgerUnavailable, failure->detail });
            return;
        }
        const auto &reply = std::get<wire::LedgerStartReply>(result);
        const auto code = static_cast<ResultCode>(reply.result());
        if (code == ResultCode::Ok) {
            pending->callback(LedgerStarted {});
        } else if (code == ResultCode::OutcomeUnknown) {
            const auto state = static_cast<ledger::RecordState>(reply.state());
            pending->callback(LedgerReplay { state, reply.answer() });
        } else {
            pending->callback(Failure { code, "" });
        }
    }

    void sendFinish(const wire::LedgerFinish &message, Instant until)
    {
        const auto target = context_.fleet.leaseHolder(
            fleet::ledgerLeaseKey(static_cast<std::uint32_t>(message.shard())));
        if (!target) {
            retryFinish(message, until);
            return;
        }
        context_.clients.call<wire::Empty>(
            target->address, peer::Method::LedgerFinish, message, StoreTimeout * 2,
            [this, message, until](const peer::CallResult<wire::Empty> &result) {
                if (std::holds_alternative<Failure>(result)) {
                    retryFinish(message, until);
                }
            });
    }

    void retryFinish(const wire::LedgerFinish &message, Instant until)
    {
        if (now() >= until) {
            return;
        }
        const std::uint64_t id = ++lastRetryId_;
        retryTimers_[id] = context_.timers.runAfter(RetryDelay, [this, id, message, until] {
            sendFinish(message, until);
            retryTimers_.erase(id);
        });
    }

    void tick()
    {
        for (auto &[shard, replica] : replicas_) {
            replica.removeExpired(now());
        }
        std::vector<std::string> notRestored;
        for (auto &[key, owned] : ownedShards_) {
            owned.owner.removeExpired(now());
            if (!owned.restored) {
                notRestored.push_back(key);
            }
        }
        for (const std::string &key : notRestored) {
            loadRecords(key);
            restore(key, ownedShards_.at(key));
        }
    }

    Context &context_;
    Instant startedAt_;
    std::map<std::uint32_t, ledger::ShardReplica> replicas_;
    std::map<std::string, OwnedShard> ownedShards_;
    std::map<std::uint64_t, TimerHandle> retryTimers_;
    std::uint64_t lastRetryId_ = 0;
    std::uint64_t lastAttemptNumber_ = 0;
    TimerHandle tickTimer_;
    TimerHandle copyTimer_;
};

LedgerTask::LedgerTask(Context &context) : impl_(std::make_unique<Impl>(context)) { }
LedgerTask::~LedgerTask() = default;

std::string LedgerTask::recordStart(const std::string &key, const std::string &fingerprint,
                                    Duration executionTimeout, Instant waitUntil, Callback callback)
{
    return impl_->recordStart(key, fingerprint, executionTimeout, waitUntil, std::move(callback));
}

void LedgerTask::recordFinish(const std::string &key, const std::string &attemptId,
                              ledger::RecordState state, std::string response)
{
    impl_->recordFinish(key, attemptId, state, std::move(response));
}

} // namespace daisyhaven::entry

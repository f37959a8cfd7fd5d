#include "entry/internal/dispatchclient.h"

#include "peer/generated/peer.pb.h"

#include <algorithm>
#include <optional>

namespace daisyhaven::entry {

namespace {

constexpr Milliseconds RetryDelay { 30 };
constexpr Milliseconds RedirectCheckPeriod { 50 };
constexpr Milliseconds ReleaseTimeout { 1000 };
// Added to the wait time to obtain the RPC timeout.
constexpr Milliseconds ResponseTimeoutSlack { 200 };
// Requests are redirected to another zone if their dispatcher is unresponsive for this long.
constexpr Milliseconds DispatcherTimeout { 400 };

} // namespace

class DispatchClient::Impl
{
public:
    explicit Impl(Context &context) : context_(context)
    {
        context_.server.registerTypedHandler<wire::GatherRequest, wire::GatherReply>(
            peer::Method::GatherHeldSlots, peer::Role::Vm,
            [this](const peer::Caller &, const wire::GatherRequest &request, auto respond) {
                respond(handleGather(request));
            });
        redirectTimer_ =
            context_.timers.runEvery(RedirectCheckPeriod, [this] { redirectRequests(); });
    }

    std::uint64_t acquire(const SlotRequirements &requirements, Callback callback)
    {
        const std::uint64_t requestId = ++lastRequestId_;
        PendingRequest &pending = pending_[requestId];
        pending.requirements = requirements;
        pending.callback = std::move(callback);
        sendRequest(requestId);
        return requestId;
    }

    void cancel(std::uint64_t requestId)
    {
        const auto found = pending_.find(requestId);
        if (found == pending_.end()) {
            return;
        }
        cancelAtDispatcher(found->second);
        pending_.erase(found);
    }

    void release(const Slot &slot, health::Outcome outcome, Duration latency,
                 std::function<void()> done)
    {
        heldSlots_.erase({ slot.term, slot.id });
        wire::ReleaseRequest request = makeRelease(slot);
        request.set_outcome(static_cast<std::uint32_t>(outcome));
        request.set_latency_us(static_cast<std::uint32_t>(latency.count()));
        sendRelease(request, std::move(done));
    }

    void reportOverdue(const Slot &slot, Duration waited)
    {
        wire::ReleaseRequest request = makeRelease(slot);
        request.set_overdue(true);
        request.set_latency_us(static_cast<std::uint32_t>(waited.count()));
        sendRelease(request, [] {});
    }

private:
    using ZoneKey = std::pair<std::string, std::string>;

    struct PendingRequest
    {
        SlotRequirements requirements;
        Callback callback;
        std::uint64_t attemptNumber = 0; // sequence number of the current attempt
        std::optional<fleet::LeaseHolderAddress> dispatcher;
        std::string zone;
        bool spilled = false;
        std::set<std::string> unresponsiveZones;
        TimerHandle retryTimer;
    };

    struct HeldSlot
    {
        Slot slot;
        Instant expiresAt;
        std::uint64_t fingerprint = 0;
        std::uint64_t routeHash = 0;
    };

    struct ZoneState
    {
        std::uint64_t minTerm = 0; // grants of smaller terms are rejected
        std::uint32_t maxSlotsPerVm = 0;
    };

    Instant now() const { return context_.timers.now(); }

    wire::ReleaseRequest makeRelease(const Slot &slot) const
    {
        wire::ReleaseRequest request;
        request.set_service(slot.service);
        request.set_availability_zone(slot.zone);
        request.set_vm(context_.fleet.vmId());
        request.set_slot(slot.id);
        request.set_term(slot.term);
        return request;
    }

    void sendRelease(const wire::ReleaseRequest &request, std::function<void()> done)
    {
        const auto dispatcher = context_.fleet.leaseHolder(
            fleet::dispatchLeaseKey(request.service(), request.availability_zone()));
        if (!dispatcher) {
            context_.timers.post(std::move(done));
            return;
        }
        context_.clients.call<wire::Empty>(
            dispatcher->address, peer::Method::Release, request, ReleaseTimeout,
            [done = std::move(done)](const peer::CallResult<wire::Empty> &) { done(); });
    }

    // Zones to try in order: the current or spill zone of the request, this VM's own zone, the
    // others.
    std::vector<std::string> candidateZones(const PendingRequest &pending) const
    {
        std::vector<std::string> order;
        if (!pending.zone.empty()) {
            order.push_back(pending.zone);
        }
        order.push_back(context_.fleet.availabilityZone());
        for (const std::string &zone : context_.fleet.knownZones()) {
            order.push_back(zone);
        }
        return order;
    }

    void selectDispatcher(PendingRequest &pending)
    {
        pending.dispatcher.reset();
        const auto &configuration = context_.fleet.configuration();
        for (const bool skipUnresponsive : { true, false }) {
            for (const std::string &zone : candidateZones(pending)) {
                const bool skip = configuration.isZoneOutOfService(zone)
                    || (skipUnresponsive && pending.unresponsiveZones.count(zone) != 0);
                if (skip) {
                    continue;
                }
                pending.dispatcher = context_.fleet.leaseHolder(
                    fleet::dispatchLeaseKey(pending.requirements.service, zone));
                if (pending.dispatcher) {
                    pending.spilled = pending.spilled || zone != context_.fleet.availabilityZone();
                    pending.zone = zone;
                    return;
                }
            }
        }
    }

    void sendRequest(std::uint64_t requestId)
    {
        PendingRequest &pending = pending_.at(requestId);
        const Duration remaining = pending.requirements.deadline - now();
        if (remaining.count() <= 0) {
            complete(requestId,
                     Failure { ResultCode::DeadlineUnreachable,
                               "no slot was granted before the deadline" });
            return;
        }
        selectDispatcher(pending);
        if (!pending.dispatcher) {
            scheduleRetry(requestId);
            return;
        }
        pending.attemptNumber = ++lastAttemptNumber_;
        const auto remainingMs = std::chrono::duration_cast<Milliseconds>(remaining).count();
        wire::AcquireRequest request;
        request.set_service(pending.requirements.service);
        request.set_availability_zone(pending.zone);
        request.set_vm(context_.fleet.vmId());
        request.set_vm_incarnation(context_.fleet.incarnation());
        request.set_request(pending.attemptNumber);
        request.set_team(pending.requirements.team);
        request.set_weight(pending.requirements.weight);
        request.set_priority(pending.requirements.priority);
        request.set_repeatable(pending.requirements.idempotent);
        request.set_route(pending.requirements.routeHash);
        request.set_fingerprint(pending.requirements.fingerprint);
        request.set_deadline_ms(static_cast<std::uint32_t>(remainingMs + 1));
        request.set_wait_ms(static_cast<std::uint32_t>(remainingMs));
        request.set_spilled(pending.spilled);
        request.set_retry(pending.requirements.isRetry);
        for (const std::string &address : pending.requirements.excludedServers) {
            request.add_avoid(address);
        }
        const std::uint64_t attemptNumber = pending.attemptNumber;
        context_.clients.call<wire::AcquireReply>(
            pending.dispatcher->address, peer::Method::Acquire, request,
            remaining + ResponseTimeoutSlack,
            [this, requestId, attemptNumber](const peer::CallResult<wire::AcquireReply> &result) {
                handleResponse(requestId, attemptNumber, result);
            });
    }

    void scheduleRetry(std::uint64_t requestId)
    {
        PendingRequest &pending = pending_.at(requestId);
        const Duration remaining = pending.requirements.deadline - now();
        if (remaining.count() <= 0) {
            complete(requestId,
                     Failure { ResultCode::DispatcherUnavailable, pending.requirements.service });
            return;
        }
        pending.retryTimer =
            context_.timers.runAfter(std::min<Duration>(RetryDelay, remaining),
                                     [this, requestId] { sendRequest(requestId); });
    }

    void handleResponse(std::uint64_t requestId, std::uint64_t attemptNumber,
                        const peer::CallResult<wire::AcquireReply> &result)
    {
        const auto found = pending_.find(requestId);
        const bool current =
            found != pending_.end() && found->second.attemptNumber == attemptNumber;
        if (!current) {
            return;
        }
        PendingRequest &pending = found->second;
        const auto *reply = std::get_if<wire::AcquireReply>(&result);
        if (reply == nullptr) {
            cancelAtDispatcher(pending);
            pending.zone.clear();
            scheduleRetry(requestId);
            return;
        }
        if (reply->result() == 0) {
            handleGrant(requestId, *reply);
            return;
        }
        if (!reply->spill_zone().empty() && !pending.spilled) {
            pending.zone = reply->spill_zone();
            pending.spilled = true;
            sendRequest(requestId);
            return;
        }
        complete(
            requestId,
            Failure { static_cast<ResultCode>(reply->result()), pending.requirements.service });
    }

    void handleGrant(std::uint64_t requestId, const wire::AcquireReply &reply)
    {
        PendingRequest &pending = pending_.at(requestId);
        ZoneState &state = zoneStates_[{ pending.requirements.service, pending.zone }];
        if (reply.term() < state.minTerm) {
            // The dispatcher was replaced before its grant arrived, so the grant is void.
            pending.zone.clear();
            scheduleRetry(requestId);
            return;
        }
        state.maxSlotsPerVm = std::max(state.maxSlotsPerVm, reply.slots_per_vm());
        Slot slot;
        slot.id = reply.slot();
        slot.service = pending.requirements.service;
        slot.zone = pending.zone;
        slot.term = reply.term();
        slot.address = reply.address();
        slot.serverIncarnation = reply.backend_incarnation();
        slot.maxIdleConnections = reply.idle_connections();
        slot.overdueThreshold = Duration(reply.overdue_after_us());
        heldSlots_[{ slot.term, slot.id }] = { slot, pending.requirements.deadline,
                                               pending.requirements.fingerprint,
                                               pending.requirements.routeHash };
        complete(requestId, slot);
    }

    void complete(std::uint64_t requestId, SlotResult result)
    {
        const auto callback = std::move(pending_.at(requestId).callback);
        pending_.erase(requestId);
        callback(std::move(result));
    }

    // Cancels the current attempt at its dispatcher.
    void cancelAtDispatcher(const PendingRequest &pending)
    {
        if (!pending.dispatcher || pending.attemptNumber == 0) {
            return;
        }
        wire::ReleaseRequest request;
        request.set_service(pending.requirements.service);
        request.set_availability_zone(pending.zone);
        request.set_vm(context_.fleet.vmId());
        request.set_vm_incarnation(context_.fleet.incarnation());
        request.set_request(pending.attemptNumber);
        request.set_withdraw(true);
        context_.clients.call<wire::Empty>(pending.dispatcher->address, peer::Method::Release,
                                           request, ReleaseTimeout,
                                           [](const peer::CallResult<wire::Empty> &) {});
    }

    // Sends pending requests again whose dispatcher was replaced or is unresponsive.
    void redirectRequests()
    {
        std::vector<std::uint64_t> redirected;
        for (auto &[requestId, pending] : pending_) {
            if (!pending.dispatcher) {
                continue;
            }
            const auto holder = context_.fleet.leaseHolder(
                fleet::dispatchLeaseKey(pending.requirements.service, pending.zone));
            const bool replaced = holder && !(*holder == *pending.dispatcher);
            const bool unresponsive =
                context_.clients.unresponsiveTime(pending.dispatcher->address) > DispatcherTimeout;
            if (unresponsive) {
                pending.unresponsiveZones.insert(pending.zone);
            }
            if (replaced || unresponsive) {
                redirected.push_back(requestId);
            }
        }
        for (const std::uint64_t requestId : redirected) {
            PendingRequest &pending = pending_.at(requestId);
            cancelAtDispatcher(pending);
            pending.zone.clear();
            sendRequest(requestId);
        }
    }

    wire::GatherReply handleGather(const wire::GatherRequest &request)
    {
        ZoneState &state = zoneStates_[{ request.service(), request.availability_zone() }];
        state.minTerm = std::max(state.minTerm, request.term());
        wire::GatherReply reply;
        reply.set_vm_incarnation(context_.fleet.incarnation());
        reply.set_slots_per_vm(state.maxSlotsPerVm);
        for (const auto &[key, heldSlot] : heldSlots_) {
            const bool matches = heldSlot.slot.service == request.service()
                && heldSlot.slot.zone == request.availability_zone();
            const Duration remaining = heldSlot.expiresAt - now();
            if (!matches || remaining.count() <= 0) {
                continue;
            }
            auto *message = reply.add_held();
            message->set_slot(heldSlot.slot.id);
            message->set_address(heldSlot.slot.address);
            const auto ms = std::chrono::duration_cast<Milliseconds>(remaining).count();
            message->set_remaining_ms(static_cast<std::uint32_t>(ms + 1));
            message->set_fingerprint(heldSlot.fingerprint);
            message->set_route(heldSlot.routeHash);
        }
        return reply;
    }

    Context &context_;
    std::uint64_t lastRequestId_ = 0;
    std::uint64_t lastAttemptNumber_ = 0;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::map<std::pair<std::uint64_t, std::uint64_t>, HeldSlot> heldSlots_;
    std::map<ZoneKey, ZoneState> zoneStates_;
    TimerHandle redirectTimer_;
};

DispatchClient::DispatchClient(Context &context) : impl_(std::make_unique<Impl>(context)) { }
DispatchClient::~DispatchClient() = default;

std::uint64_t DispatchClient::acquire(const SlotRequirements &requirements, Callback callback)
{
    return impl_->acquire(requirements, std::move(callback));
}

void DispatchClient::cancel(std::uint64_t requestId)
{
    impl_->cancel(requestId);
}

void DispatchClient::release(const Slot &slot, health::Outcome outcome, Duration latency,
                             std::function<void()> done)
{
    impl_->release(slot, outcome, latency, std::move(done));
}

void DispatchClient::reportOverdue(const Slot &slot, Duration waited)
{
    impl_->reportOverdue(slot, waited);
}

} // namespace daisyhaven::entry

// The part of an exchange in which it calls a backend server.
#include "gateway/internal/exchange.h"

#include "gateway/internal/reachabilitymonitor.h"
#include "gateway/internal/relayheaders.h"

#include <utility>

namespace daisyhaven::gateway {

void Exchange::sendToBackend(const Slot &slot)
{
    attemptedServers_.insert(slot.server);
    startCall(slot, makeCallRequest(slot), makeCallCallbacks());
}

void Exchange::startCall(const Slot &slot, CallRequest request, CallCallbacks callbacks)
{
    stage_ = Stage::CallingBackend;
    lastServer_ = slot.server;
    call_ = std::make_shared<BackendCall>(context_, slot);
    body_.startAttempt();
    const auto call = call_;
    call->start(std::move(request), std::move(callbacks));
    if (stage_ == Stage::CallingBackend && call_ == call) {
        body_.forward(call_.get(), sink_);
    }
}

// Returns the request without header fields.
CallRequest Exchange::makeForwardedRequest() const
{
    CallRequest request;
    request.method = head_.method;
    request.target = requestTarget();
    request.framing = head_.framing;
    request.contentLength = head_.contentLength;
    request.requestId = requestId_;
    request.idempotent = routing::isIdempotent(route_->kind);
    return request;
}

// Adds the header fields of the caller that are forwarded, but for those in `replaced`, and the
// remaining time.
void Exchange::addForwardedHeaders(const http::Headers &replaced, http::Headers *headers) const
{
    const std::string &deadlineName = context_.options.headers.deadlineMs;
    for (const http::Header &field : head_.headers.fields()) {
        if (!http::isHopByHopHeader(field.name) && replaced.find(field.name) == nullptr) {
            headers->add(field.name, field.value);
        }
    }
    const auto remaining =
        std::chrono::duration_cast<Milliseconds>(deadline_ - context_.now()).count();
    headers->add(deadlineName, std::to_string(std::max<std::int64_t>(remaining, 1)));
}

CallRequest Exchange::makeCallRequest(const Slot &slot) const
{
    const HeaderNames &names = context_.options.headers;
    CallRequest request = makeForwardedRequest();
    request.service = service_;
    http::Headers replaced;
    replaced.add(names.deadlineMs, "");
    replaced.add(names.expectedServer, "");
    replaced.add(names.team, "");
    replaced.add("Authorization", "");
    if (isRelayed()) {
        replaced.add(RelayVersionHeader, "");
        replaced.add(RelayAttemptsHeader, "");
        replaced.add(RelayTokenHeader, "");
    }
    addForwardedHeaders(replaced, &request.headers);
    request.headers.add(names.expectedServer, slot.server);
    if (team_ != nullptr) {
        request.headers.add(names.team, team_->name);
    }
    return request;
}

CallCallbacks Exchange::makeCallCallbacks()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const auto guarded = [weak](auto method) {
        return [weak, method](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && self->stage_ == Stage::CallingBackend) {
                method(*self, arguments...);
            }
        };
    };
    CallCallbacks callbacks;
    callbacks.onResponse = guarded([](Exchange &self, const http::ResponseHead &head,
                                      const std::string &body) { self.onResponse(head, body); });
    callbacks.onStreamHead =
        guarded([](Exchange &self, const http::ResponseHead &head, const std::string &body) {
            self.onStreamStart(head, body);
        });
    callbacks.onStreamBody = guarded([](Exchange &self, std::string_view data) {
        if (self.sink_ != nullptr) {
            self.sink_->sendBody(data);
            if (self.sink_->isOutputFull()) {
                self.call_->pauseReading();
            }
        }
    });
    callbacks.onStreamEnd = guarded([](Exchange &self) { self.onStreamEnd(); });
    callbacks.onFailed =
        guarded([](Exchange &self, const CallFailure &failure) { self.onCallFailed(failure); });
    callbacks.onSilent = guarded([](Exchange &self) { self.onServerSilent(); });
    callbacks.onDrained =
        guarded([](Exchange &self) { self.body_.forward(self.call_.get(), self.sink_); });
    return callbacks;
}

// A request without a response for this long may be lost because this VM has lost its links.
void Exchange::onServerSilent()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const auto call = call_;
    context_.reachability.explainFailure(
        { service_, call->slot().server, call->startedAt(), NetworkFailure::Kind::NoResponse },
        [weak, call](FaultyEnd faultyEnd) {
            const auto self = weak.lock();
            const bool waiting = self && self->call_ == call && !self->responseStarted_;
            if (waiting && faultyEnd == FaultyEnd::OwnLinks) {
                self->abandonLostCall();
            }
        });
}

// Sends an idempotent request another way. Any other one may run, so its response is awaited; the
// leader is told that the slot says nothing about the server.
void Exchange::abandonLostCall()
{
    // The call counts as an attempt only once it has ended.
    const bool isLastAttempt = sentAttempts_ + 1 >= route_->maxAttempts;
    const bool idempotent = routing::isIdempotent(route_->kind);
    if (idempotent && !isLastAttempt && mayRetry()) {
        ++sentAttempts_;
        releaseSlot(scheduler::Outcome::VmDisconnected);
        startRetry(true, "this VM has lost its links to backend servers");
        return;
    }
    if (!slotReleased_) {
        slotReleased_ = true;
        context_.slots.release(call_->slot(), scheduler::Outcome::VmDisconnected, call_->latency());
    }
}

// Ends the call, if there is one. Returns it if its slot is still to be released.
std::shared_ptr<BackendCall> Exchange::endCall(RequestRelays::Outcome relayOutcome)
{
    if (!call_) {
        return nullptr;
    }
    context_.metrics.observe("daisyhaven_server_seconds", { { "service", service_ } },
                             std::chrono::duration<double>(call_->latency()).count());
    backendTime_ += call_->latency();
    call_->cancel();
    earlierAttempts_ = executionStatus();
    const auto call = std::move(call_);
    call_.reset();
    if (!relay_.empty()) {
        context_.requestRelays.recordEnd(context_.now(), std::exchange(relay_, ""), relayOutcome);
        return nullptr;
    }
    return std::exchange(slotReleased_, false) ? nullptr : call;
}

void Exchange::releaseSlot(scheduler::Outcome outcome)
{
    if (const auto call = endCall()) {
        context_.slots.release(call->slot(), outcome, call->latency(), call->statement());
    }
}

// Ends the call and releases its slot once it is known whether the server or this VM's links caused
// `outcome`. Calls `released` then.
void Exchange::releaseSlotAfterVerdict(scheduler::Outcome outcome, std::function<void()> released)
{
    const auto call = endCall();
    if (!call) {
        released();
        return;
    }
    const Duration latency = call->latency();
    const auto kind = outcome == scheduler::Outcome::ResponseTimeout
        ? NetworkFailure::Kind::NoResponse
        : NetworkFailure::Kind::ConnectionFailed;
    SlotClient &slots = context_.slots;
    context_.reachability.explainFailure(
        { service_, call->slot().server, call->startedAt(), kind },
        [call, latency, outcome, &slots, released = std::move(released)](FaultyEnd faultyEnd) {
            const bool ownLinks = faultyEnd == FaultyEnd::OwnLinks;
            slots.release(call->slot(), ownLinks ? scheduler::Outcome::VmDisconnected : outcome,
                          latency, call->statement());
            released();
        });
}

} // namespace daisyhaven::gateway

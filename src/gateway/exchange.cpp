// The turns of an exchange: its slot, what follows from a response or a failure, its deadline.
#include "gateway/internal/exchange.h"

#include "gateway/internal/reachabilitymonitor.h"

#include <utility>

namespace daisyhaven::gateway {

namespace {

// A retry is made only if more than this time is left until the deadline.
constexpr Milliseconds MinTimeForRetry { 80 };
// Limit on attempts that end before any byte of the request is sent.
constexpr std::uint32_t MaxUnsentAttempts = 4;
// Retry-After of a request that ran on no server: a retry after this time gets another server.
constexpr Milliseconds RetryAfterNotRun { 100 };
// Number of route priorities. A team's priority takes precedence over every route priority.
constexpr std::uint32_t RoutePriorityCount = 16;
// Retry-After of a request that this VM cannot send to any server. It checks its links as often.
constexpr Milliseconds RetryAfterDisconnected { 300 };

bool isServerError(int status)
{
    return status >= 500;
}

http::Headers withoutHopByHopHeaders(const http::Headers &headers)
{
    http::Headers kept;
    for (const http::Header &field : headers.fields()) {
        if (!http::isHopByHopHeader(field.name)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

} // namespace

// ---- slot ----

scheduler::SlotRequest Exchange::makeSlotRequest(bool retry) const
{
    const bool idempotent = routing::isIdempotent(route_->kind);
    scheduler::SlotRequest slotRequest;
    slotRequest.requestId = requestId_;
    slotRequest.service = service_;
    slotRequest.team = team_ == nullptr ? "" : team_->name;
    slotRequest.route = route_->name;
    slotRequest.priority = team_ != nullptr && team_->priority
        ? *team_->priority * RoutePriorityCount + route_->priority
        : route_->priority;
    slotRequest.idempotent = idempotent;
    slotRequest.largeBody = routing::hasLargeBody(route_->kind);
    slotRequest.isRetry = retry;
    slotRequest.hasRateToken = hasRateToken_;
    slotRequest.deadline =
        context_.shutdown ? std::min(deadline_, context_.shutdown->respondUntil) : deadline_;
    slotRequest.latestStart = sendUntil();
    slotRequest.targetTime = startedAt_ + Duration(route_->targetLatency);
    slotRequest.zone = context_.options.zone;
    slotRequest.excludedServers = context_.slots.unreachableServers(service_);
    slotRequest.excludedServers.insert(attemptedServers_.begin(), attemptedServers_.end());
    slotRequest.connectedServers = context_.slots.filterByService(
        context_.pool.serversWithIdleConnection(maxIdleTime(idempotent)), service_);
    slotRequest.fingerprint = fingerprint_;
    return slotRequest;
}

Instant Exchange::sendUntil() const
{
    return context_.shutdown ? std::min(deadline_, context_.shutdown->sendUntil) : deadline_;
}

void Exchange::shortenWait()
{
    if (stage_ == Stage::AwaitingSlot && sendUntil() < deadline_) {
        cancelSlotRequest();
        requestSlot(slotIsForRetry_);
    }
}

void Exchange::requestSlot(bool retry)
{
    slotIsForRetry_ = retry;
    if (context_.reachability.isDisconnected(service_)) {
        sendToRelay();
        return;
    }
    stage_ = Stage::AwaitingSlot;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    SlotClient &slots = context_.slots;
    slotRequestId_ =
        slots.requestSlot(makeSlotRequest(retry), [weak, &slots](const SlotResult &result) {
            const auto self = weak.lock();
            if (self && self->stage_ == Stage::AwaitingSlot) {
                self->onSlotResult(result);
            } else if (const auto *slot = std::get_if<Slot>(&result)) {
                slots.release(*slot, scheduler::Outcome::NotSent, Duration(0));
            }
        });
}

// Responds to a request that neither this VM nor a relay can send to a server.
void Exchange::respondWithoutServers()
{
    if (mayHaveRun() || earlierResponse_) {
        respondWithFailure(ResultCode::BackendFailed, "this VM reaches no backend server");
        return;
    }
    reject(ResultCode::NoBackendServer, "this VM reaches no backend server",
           RetryAfterDisconnected);
}

// Cancels the pending slot request, if any.
void Exchange::cancelSlotRequest()
{
    if (slotRequestId_ != 0) {
        context_.slots.cancel(slotRequestId_);
        slotRequestId_ = 0;
    }
}

void Exchange::onSlotResult(const SlotResult &result)
{
    slotRequestId_ = 0;
    if (const auto *rejection = std::get_if<SlotRejection>(&result)) {
        onSlotRejected(*rejection);
        return;
    }
    const Slot &slot = std::get<Slot>(result);
    hasRateToken_ = true;
    if (context_.shutdown && context_.now() >= sendUntil()) {
        context_.slots.release(slot, scheduler::Outcome::NotSent, Duration(0));
        endForShutdown();
        return;
    }
    sendToBackend(slot);
}

void Exchange::onSlotRejected(const SlotRejection &rejection)
{
    if (earlierResponse_) {
        forwardResponse(earlierResponse_->first, earlierResponse_->second);
        return;
    }
    if (mayHaveRun()) {
        respondWithFailure(ResultCode::BackendFailed, rejection.reason);
        return;
    }
    const bool isTimeShort = rejection.code == ResultCode::QueueFull
        || rejection.code == ResultCode::DeadlineUnreachable;
    if (context_.shutdown && isTimeShort) {
        // Another VM has more time, so the caller need not wait until the queue is shorter.
        endForShutdown();
        return;
    }
    reject(rejection.code, rejection.reason, rejection.retryAfter);
}

// ---- outcome ----

bool Exchange::isNotExecuted(const http::ResponseHead &head) const
{
    return head.status == MisdirectedRequestStatus
        || head.headers.find(context_.options.headers.notExecuted) != nullptr;
}

ExecutionStatus Exchange::executionStatus() const
{
    const bool current =
        call_ != nullptr && call_->executionStatus() == ExecutionStatus::MayHaveExecuted;
    return current ? ExecutionStatus::MayHaveExecuted : earlierAttempts_;
}

bool Exchange::mayRetry() const
{
    const bool idempotent = routing::isIdempotent(route_->kind);
    const bool allowed = (!mayHaveRun() || idempotent) && sink_ != nullptr && body_.isRetained();
    const bool inTime = sendUntil() - context_.now() > MinTimeForRetry;
    return allowed && inTime && sentAttempts_ < route_->maxAttempts
        && unsentAttempts_ < MaxUnsentAttempts;
}

void Exchange::onResponse(const http::ResponseHead &head, const std::string &body)
{
    ++sentAttempts_;
    if (isNotExecuted(head)) {
        const bool misdirected = head.status == MisdirectedRequestStatus;
        call_->recordNotExecuted();
        releaseSlot(misdirected ? scheduler::Outcome::WrongServer : scheduler::Outcome::Shed);
        if (mayRetry()) {
            startRetry(true,
                       misdirected ? "address belongs to another server"
                                   : "server shed the request");
            return;
        }
        respondWithFailure(ResultCode::BackendShed, "status " + std::to_string(head.status));
        return;
    }
    const bool failed = isServerError(head.status);
    releaseSlot(failed ? scheduler::Outcome::ServerError : scheduler::Outcome::Success);
    if (failed && mayRetry()) {
        earlierResponse_ = { head, body };
        startRetry(true, "status " + std::to_string(head.status));
        return;
    }
    forwardResponse(head, body);
}

void Exchange::forwardResponse(const http::ResponseHead &head, const std::string &body)
{
    const http::Headers headers = withoutHopByHopHeaders(head.headers);
    if (isServerError(head.status)) {
        logOutcome("backend server returned an error", ResultCode::BackendFailed,
                   "status " + std::to_string(head.status));
    }
    logIfLate();
    if (sink_ != nullptr) {
        const bool bodiless = head.status == 204 || head.status == 304;
        const std::uint64_t length = head_.method == "HEAD" ? head.contentLength : body.size();
        sink_->sendHead(head.status, headers,
                        bodiless ? http::Framing::None : http::Framing::Length, length);
        sink_->sendBody(body);
    }
    responded_ = true;
    recordMetrics(head.status);
    finish();
}

void Exchange::onStreamStart(const http::ResponseHead &head, const std::string &body)
{
    ++sentAttempts_;
    responseStarted_ = true;
    const http::Headers headers = withoutHopByHopHeaders(head.headers);
    recordMetrics(head.status);
    if (sink_ == nullptr) {
        return;
    }
    const bool sized = head.framing == http::Framing::Length;
    sink_->sendHead(head.status, headers, sized ? http::Framing::Length : http::Framing::Chunked,
                    head.contentLength);
    sink_->sendBody(body);
}

void Exchange::onStreamEnd()
{
    releaseSlot(scheduler::Outcome::Success);
    responded_ = true;
    finish();
}

void Exchange::onSinkDrained()
{
    if (stage_ == Stage::CallingBackend && call_) {
        call_->resumeReading();
    }
}

void Exchange::onCallFailed(const CallFailure &failure)
{
    if (!isNetworkFailure(failure.outcome)) {
        releaseSlot(failure.outcome);
        retryOrFail(failure);
        return;
    }
    stage_ = Stage::AwaitingVerdict;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    releaseSlotAfterVerdict(failure.outcome, [weak, failure] {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::AwaitingVerdict) {
            self->retryOrFail(failure);
        }
    });
}

void Exchange::retryOrFail(const CallFailure &failure)
{
    ++(failure.mayHaveRun ? sentAttempts_ : unsentAttempts_);
    if (responseStarted_) {
        abortResponse(failure.code, failure.detail);
        return;
    }
    if (mayRetry()) {
        startRetry(failure.mayHaveRun, failure.detail);
        return;
    }
    respondWithFailure(failure.code, failure.detail);
}

// A response that was partly sent cannot be replaced. Its connection is aborted so that the caller
// does not take the response for complete.
void Exchange::abortResponse(ResultCode code, const std::string &detail)
{
    logOutcome("response aborted", code, detail);
    http::ResponseSink *sink = sink_;
    sink_ = nullptr;
    if (sink != nullptr) {
        sink->abortResponse();
    }
    finish();
}

// `sent`: the last attempt may have reached a server, so the next one counts as a retry.
void Exchange::startRetry(bool sent, const std::string &cause)
{
    logEvent(Event::RequestRetried,
             { { "request", requestId_ },
               { "route", route_->name },
               { "server", lastServer_ },
               { "cause", cause },
               { "sends", sentAttempts_ },
               { "msLeft", (deadline_ - context_.now()).count() / 1000 } });
    context_.metrics.addToCounter("daisyhaven_retries_total", { { "service", service_ } });
    requestSlot(sent);
}

// Responds after the last attempt: with an earlier server error if there is one, otherwise with a
// status that states whether the request may have run.
void Exchange::respondWithFailure(ResultCode code, const std::string &detail)
{
    if (earlierResponse_) {
        forwardResponse(earlierResponse_->first, earlierResponse_->second);
        return;
    }
    if (!mayHaveRun()) {
        // Whatever the cause, the status guarantees to the caller that the request did not run.
        const bool isPromised = promisesNotExecuted(resultInfo(code).httpStatus);
        reject(isPromised ? code : ResultCode::BackendShed, detail, RetryAfterNotRun);
        return;
    }
    reject(code, detail, Duration(0));
}

void Exchange::onDeadline()
{
    if (stage_ == Stage::Done) {
        return;
    }
    if (stage_ != Stage::CallingBackend) {
        endEarly(mayHaveRun() ? ResultCode::BackendTimeout : ResultCode::DeadlineUnreachable,
                 stage_ == Stage::AwaitingVerdict ? "connection lost shortly before the deadline"
                                                  : "no slot granted before the deadline");
        return;
    }
    const bool sent = call_->executionStatus() == ExecutionStatus::MayHaveExecuted;
    releaseSlotAfterVerdict(
        sent ? scheduler::Outcome::ResponseTimeout : scheduler::Outcome::ConnectTimeout, [] {});
    if (responseStarted_) {
        abortResponse(ResultCode::BackendTimeout, "response incomplete at the deadline");
        return;
    }
    respondWithFailure(ResultCode::BackendTimeout, "no response before the deadline");
}

// ---- caller ----

void Exchange::onInvalidMessage(const Failure &failure)
{
    if (stage_ == Stage::Done || responseStarted_) {
        return;
    }
    if (stage_ == Stage::CallingBackend) {
        releaseSlot(scheduler::Outcome::Cancelled);
    } else {
        cancelSlotRequest();
    }
    reject(failure.code, failure.detail, Duration(0));
}

// A non-idempotent request that was sent completely runs to its end, because its caller cannot
// safely retry it.
void Exchange::onCallerDisconnected()
{
    sink_ = nullptr;
    if (stage_ == Stage::Done) {
        return;
    }
    if (stage_ == Stage::CallingBackend) {
        const bool continueWithoutCaller =
            !routing::isIdempotent(route_->kind) && body_.isForwarded();
        if (continueWithoutCaller) {
            return;
        }
        releaseSlot(scheduler::Outcome::Cancelled);
    } else {
        cancelSlotRequest();
    }
    context_.metrics.addToCounter("daisyhaven_callers_gone_total", {});
    finish();
}

} // namespace daisyhaven::gateway

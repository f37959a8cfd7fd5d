#include "entry/internal/exchange.h"

#include "peer/generated/peer.pb.h"

#include <xxhash.h>

#include <algorithm>

namespace daisyhaven::entry {

namespace {

// Size of the part of the body that is hashed for the fingerprint and buffered for retries.
constexpr std::size_t BodyPrefixBytes = 64UL * 1024;
constexpr int MaxAttempts = 3;
constexpr Milliseconds FreshnessWaitTimeout { 1000 };
constexpr Milliseconds AdmissionRetryDelay { 20 };
// Maximum wait for a token that replaces an expired one; the slot is held during the wait.
constexpr Milliseconds MaxTokenRefreshWait { 100 };

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

bool isRetriableStatus(int status)
{
    return status == 500 || status == 502 || status == 503 || status == 504;
}

} // namespace

Exchange::Exchange(ProxyDependencies dependencies, http::ResponseSink *sink, http::RequestHead head)
    : dependencies_(dependencies), sink_(sink), requestHead_(std::move(head)),
      trace_(traceContextOf(requestHead_)), startTimeMicroseconds_(wallClockMicroseconds()),
      startedAt_(dependencies.context.timers.now())
{
    const bool continued = requestHead_.headers.find("traceparent") != nullptr;
    parentSpanId_ = continued ? trace_.spanId : "";
    trace_ = newChildSpan(trace_);
    requestId_ = trace_.traceId + "-" + trace_.spanId;
}

Exchange::~Exchange() = default;

void Exchange::start(bool draining, std::function<void()> finished)
{
    finishedCallback_ = std::move(finished);
    if (draining) {
        reject(ResultCode::Draining, "");
        return;
    }
    admitOrWait();
}

// Waits for up to FreshnessWaitTimeout if the configuration is not proven fresh, for example after
// the process was suspended, because the VM usually proves it within that time. Rejects the request
// afterwards.
void Exchange::admitOrWait()
{
    Context &context = dependencies_.context;
    const auto admitted = attempt([&] {
        return admit(context.fleet.configuration(), context.fleet.isConfigurationFresh(),
                     requestHead_, startedAt_);
    });
    const std::weak_ptr<Exchange> weak = weak_from_this();
    if (const auto *failure = std::get_if<Failure>(&admitted)) {
        const bool wait = failure->code == ResultCode::ConfigurationStale
            && now() - startedAt_ < FreshnessWaitTimeout;
        if (!wait) {
            reject(failure->code, failure->detail);
            return;
        }
        bodyPaused_ = true;
        sink_->pauseBody();
        admissionRetryTimer_ = context.timers.runAfter(AdmissionRetryDelay, [weak] {
            const auto self = weak.lock();
            if (self && self->stage_ != Stage::Done) {
                self->admitOrWait();
            }
        });
        return;
    }
    admission_ = std::get<Admission>(admitted);
    admitted_ = true;
    if (now() >= admission_.deadline) {
        reject(ResultCode::DeadlineUnreachable, "");
        return;
    }
    deadlineTimer_ = context.timers.runAfter(admission_.deadline - now(), [weak] {
        if (const auto self = weak.lock()) {
            self->onDeadline();
        }
    });
    if (bodyPaused_) {
        bodyPaused_ = false;
        sink_->resumeBody();
    }
    if (requestHead_.expectsContinue) {
        sink_->sendContinue();
    }
    if (bodyBytes_ > admission_.route.bodyLimitBytes) {
        reject(ResultCode::BodyTooLarge, "");
        return;
    }
    bodyEnded_ = bodyEnded_ || requestHead_.framing == http::Framing::None;
    if (isBodyPrefixReady()) {
        startProcessing();
    }
}

Instant Exchange::sendUntil() const
{
    const auto &shutdown = dependencies_.context.shutdown;
    return shutdown ? std::min(admission_.deadline, shutdown->sendUntil) : admission_.deadline;
}

void Exchange::rejectMalformed(const Failure &failure, std::function<void()> finished)
{
    finishedCallback_ = std::move(finished);
    reject(failure.code, failure.detail);
}

bool Exchange::isBodyPrefixReady() const
{
    return bodyEnded_ || bodyBuffer_.size() >= BodyPrefixBytes;
}

void Exchange::onBody(std::string_view data)
{
    if (stage_ == Stage::Done) {
        return;
    }
    bodyBytes_ += data.size();
    if (!admitted_) {
        bodyBuffer_.append(data);
        return;
    }
    if (bodyBytes_ > admission_.route.bodyLimitBytes) {
        reject(ResultCode::BodyTooLarge,
               "at most " + std::to_string(admission_.route.bodyLimitBytes) + " bytes");
        return;
    }
    bodyBuffer_.append(data);
    if (stage_ == Stage::Forwarding) {
        forwardBody();
        return;
    }
    if (bodyBuffer_.size() >= BodyPrefixBytes && !bodyPaused_) {
        bodyPaused_ = true;
        sink_->pauseBody();
    }
    if (stage_ == Stage::ReadingBody && isBodyPrefixReady()) {
        startProcessing();
    }
}

void Exchange::onBodyEnd()
{
    if (stage_ == Stage::Done) {
        return;
    }
    bodyEnded_ = true;
    if (!admitted_) {
        return;
    }
    if (stage_ == Stage::ReadingBody) {
        startProcessing();
    } else if (stage_ == Stage::Forwarding) {
        forwardBody();
    }
}

// Computes the fingerprint and starts processing. Called once the whole body, or its prefix, has
// been received.
void Exchange::startProcessing()
{
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    const auto hashField = [state](std::string_view text) {
        const std::uint64_t length = text.size();
        XXH3_128bits_update(state, &length, sizeof(length));
        XXH3_128bits_update(state, text.data(), text.size());
    };
    hashField(requestHead_.method);
    hashField(requestHead_.path);
    hashField(requestHead_.query);
    hashField(std::to_string(requestHead_.contentLength));
    hashField(std::string_view(bodyBuffer_).substr(0, BodyPrefixBytes));
    const XXH128_hash_t hash = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    fingerprint_ = hash.low64;
    if (admission_.idempotencyKey) {
        ledgerKey_ = admission_.service->name + "/" + admission_.teamName() + "/"
            + *admission_.idempotencyKey;
        ledgerAttemptId_.clear();
    }
    requestToken();
}

void Exchange::requestToken()
{
    stage_ = Stage::AcquiringToken;
    if (!admission_.team) {
        tokenValidUntil_ = Instant::max();
        recordLedgerStart();
        return;
    }
    startSpan("quota");
    const std::weak_ptr<Exchange> weak = weak_from_this();
    tokenRequestId_ = dependencies_.quota.acquireToken(admission_.team->name, sendUntil(),
                                                       [weak](const TokenResult &result) {
                                                           if (const auto self = weak.lock()) {
                                                               self->onTokenResult(result);
                                                           }
                                                       });
}

void Exchange::onTokenResult(const TokenResult &result)
{
    if (stage_ != Stage::AcquiringToken) {
        return;
    }
    const auto *rejected = std::get_if<TokenRejected>(&result);
    endSpan(rejected != nullptr);
    if (rejected != nullptr) {
        reject(rejected->code, admission_.teamName(), rejected->retryAfter);
        return;
    }
    tokenValidUntil_ = std::get<TokenGranted>(result).validUntil;
    recordLedgerStart();
}

void Exchange::recordLedgerStart()
{
    if (ledgerKey_.empty()) {
        acquireSlot(false);
        return;
    }
    stage_ = Stage::RecordingStart;
    startSpan("ledger");
    const std::weak_ptr<Exchange> weak = weak_from_this();
    ledgerAttemptId_ = dependencies_.ledger.recordStart(ledgerKey_, toHex(fingerprint_),
                                                        admission_.deadline - now(), sendUntil(),
                                                        [weak](const LedgerResult &result) {
                                                            if (const auto self = weak.lock()) {
                                                                self->onLedgerResult(result);
                                                            }
                                                        });
}

void Exchange::onLedgerResult(const LedgerResult &result)
{
    if (stage_ != Stage::RecordingStart) {
        // The request was cancelled during the wait, so it does not run.
        if (std::holds_alternative<LedgerStarted>(result)) {
            dependencies_.ledger.recordFinish(ledgerKey_, ledgerAttemptId_,
                                              ledger::RecordState::NotExecuted, "");
        }
        return;
    }
    endSpan(std::holds_alternative<Failure>(result));
    if (const auto *failure = std::get_if<Failure>(&result)) {
        reject(failure->code, failure->detail);
        return;
    }
    if (const auto *replay = std::get_if<LedgerReplay>(&result)) {
        replayStoredResponse(*replay);
        return;
    }
    ledgerStarted_ = true;
    acquireSlot(false);
}

void Exchange::replayStoredResponse(const LedgerReplay &replay)
{
    wire::StoredAnswer stored;
    const bool isStored = replay.state == ledger::RecordState::Completed && !replay.response.empty()
        && stored.ParseFromString(replay.response);
    if (!isStored) {
        const bool completed = replay.state == ledger::RecordState::Completed;
        reject(ResultCode::OutcomeUnknown,
               completed ? "the request ran, but its response was not stored" : "");
        return;
    }
    http::Headers headers;
    for (const auto &field : stored.headers()) {
        headers.add(field.name(), field.value());
    }
    headers.add("Idempotency-Replayed", "true");
    if (sink_ != nullptr) {
        sink_->sendHead(static_cast<int>(stored.status()), headers, http::Framing::Length,
                        stored.body().size());
        sink_->sendBody(stored.body());
    }
    recordResponseMetrics(static_cast<int>(stored.status()));
    responded_ = true;
    finish();
}

void Exchange::acquireSlot(bool retry)
{
    stage_ = Stage::AcquiringSlot;
    startSpan("dispatch");
    SlotRequirements requirements;
    requirements.service = admission_.service->name;
    requirements.team = admission_.teamName();
    requirements.weight = admission_.team ? admission_.team->weight : 1;
    requirements.priority = static_cast<std::uint8_t>(admission_.route.priority);
    requirements.idempotent = admission_.route.idempotent;
    const std::string route = admission_.route.method + admission_.route.path;
    requirements.routeHash = XXH3_64bits(route.data(), route.size());
    requirements.fingerprint = fingerprint_;
    requirements.deadline = sendUntil();
    requirements.isRetry = retry;
    requirements.excludedServers = attemptedServers_;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    DispatchClient &dispatch = dependencies_.dispatch;
    slotRequestId_ = dispatch.acquire(requirements, [weak, &dispatch](const SlotResult &result) {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::AcquiringSlot) {
            self->onSlotResult(result);
        } else if (const auto *slot = std::get_if<Slot>(&result)) {
            dispatch.release(*slot, health::Outcome::NotSent, Duration(0), [] {});
        }
    });
}

void Exchange::onSlotResult(const SlotResult &result)
{
    slotRequestId_ = 0;
    endSpan(std::holds_alternative<Failure>(result));
    if (const auto *failure = std::get_if<Failure>(&result)) {
        // An earlier attempt that may have run determines the result that the caller sees. Without
        // one, the dispatcher's failure is reported, for example a quarantine.
        const Failure reported = mayHaveRun_ && lastFailure_ ? *lastFailure_ : *failure;
        reject(reported.code, reported.detail);
        return;
    }
    const Slot slot = std::get<Slot>(result);
    if (!recheckBeforeForwarding(slot)) {
        return;
    }
    if (now() >= tokenValidUntil_) {
        refreshToken(slot);
        return;
    }
    startAttempt(slot);
}

// Repeats the checks whose result may have changed while the request was queued. Releases the slot
// and returns false if the request must not use it.
bool Exchange::recheckBeforeForwarding(const Slot &slot)
{
    const auto releaseUnused = [&] {
        dependencies_.dispatch.release(slot, health::Outcome::NotSent, Duration(0), [] {});
    };
    const auto &configuration = dependencies_.context.fleet.configuration();
    const bool keyed = admission_.team != nullptr;
    if (keyed && !dependencies_.context.fleet.isConfigurationFresh()) {
        releaseUnused();
        reject(ResultCode::ConfigurationStale, "");
        return false;
    }
    const auto grant = keyed ? configuration.findKeyByHash(admission_.keyHash) : nullptr;
    if (keyed && (!grant || grant->team != admission_.team->name)) {
        releaseUnused();
        reject(ResultCode::KeyInvalid, "");
        return false;
    }
    if (configuration.isZoneOutOfService(slot.zone)) {
        releaseUnused();
        acquireSlot(attemptCount_ > 0);
        return false;
    }
    return true;
}

void Exchange::refreshToken(const Slot &slot)
{
    stage_ = Stage::AcquiringToken;
    startSpan("quota");
    const std::weak_ptr<Exchange> weak = weak_from_this();
    DispatchClient &dispatch = dependencies_.dispatch;
    const Instant waitUntil = std::min<Instant>(sendUntil(), now() + MaxTokenRefreshWait);
    tokenRequestId_ = dependencies_.quota.acquireToken(
        admission_.team->name, waitUntil, [weak, slot, &dispatch](const TokenResult &result) {
            const auto self = weak.lock();
            const bool isCurrent = self && self->stage_ == Stage::AcquiringToken;
            const auto *granted = std::get_if<TokenGranted>(&result);
            if (isCurrent) {
                self->endSpan(granted == nullptr);
            }
            if (isCurrent && granted != nullptr) {
                self->tokenValidUntil_ = granted->validUntil;
                self->startAttempt(slot);
                return;
            }
            dispatch.release(slot, health::Outcome::NotSent, Duration(0), [] {});
            if (isCurrent) {
                const auto &rejected = std::get<TokenRejected>(result);
                self->reject(rejected.code, self->admission_.teamName(), rejected.retryAfter);
            }
        });
}

http::Headers Exchange::backendHeaders(const TraceContext &trace) const
{
    static constexpr std::array<std::string_view, 5> Replaced { "authorization", "traceparent",
                                                                "x-request-id", "x-deadline-ms",
                                                                "x-team" };
    http::Headers headers;
    for (const http::Header &field : requestHead_.headers.fields()) {
        const bool replaced = std::any_of(Replaced.begin(), Replaced.end(), [&](auto name) {
            return strcasecmp(std::string(name).c_str(), field.name.c_str()) == 0;
        });
        if (!replaced && !http::isHopByHopHeader(field.name)) {
            headers.add(field.name, field.value);
        }
    }
    const auto remaining =
        std::chrono::duration_cast<Milliseconds>(admission_.deadline - now()).count();
    headers.add("X-Request-Id", requestId_);
    headers.add("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining, 1)));
    headers.add("traceparent", formatTraceparent(trace));
    if (admission_.team) {
        headers.add("X-Team", admission_.team->name);
    }
    return headers;
}

void Exchange::startAttempt(const Slot &slot)
{
    stage_ = Stage::Forwarding;
    ++attemptCount_;
    attemptedServers_.insert(slot.address);
    startSpan("backend " + slot.address);
    Context &context = dependencies_.context;
    attempt_ = std::make_shared<BackendAttempt>(context, dependencies_.connectionPool,
                                                dependencies_.dispatch, slot);
    BackendAttempt::Request request;
    request.method = requestHead_.method;
    request.target = requestHead_.query.empty() ? requestHead_.path
                                                : requestHead_.path + "?" + requestHead_.query;
    request.headers = backendHeaders(spanContext_);
    request.framing = requestHead_.framing;
    request.contentLength = requestHead_.contentLength;
    request.requestId = requestId_;
    request.idempotent = admission_.route.idempotent;
    request.bodyBuffered = bodyEnded_ && bodyBuffered_;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const auto guarded = [weak](auto method) {
        return [weak, method](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && self->stage_ == Stage::Forwarding) {
                method(*self, arguments...);
            }
        };
    };
    BackendAttempt::Callbacks callbacks;
    callbacks.head = guarded([](Exchange &self, const auto &head) { self.onResponseHead(head); });
    callbacks.body =
        guarded([](Exchange &self, std::string_view data) { self.onResponseBody(data); });
    callbacks.end = guarded([](Exchange &self) { self.onResponseEnd(); });
    callbacks.failed =
        guarded([](Exchange &self, const auto &failure) { self.onAttemptFailed(failure); });
    callbacks.drained = guarded([](Exchange &self) { self.forwardBody(); });
    attempt_->start(request, std::move(callbacks));
    forwardBody();
}

// Forwards the buffered body to the backend server, and pauses reading from the caller while the
// output buffer is full.
void Exchange::forwardBody()
{
    if (!attempt_ || stage_ != Stage::Forwarding) {
        return;
    }
    const bool keepBuffer = bodyBuffered_ && bodyEnded_ && bodyBuffer_.size() <= BodyPrefixBytes;
    if (!bodyBuffer_.empty() && !bodySent_) {
        attempt_->sendBody(bodyBuffer_);
    }
    if (!keepBuffer) {
        bodyBuffered_ = false;
        bodyBuffer_.clear();
        bodyBuffer_.shrink_to_fit();
    }
    if (bodyEnded_ && !bodySent_) {
        bodySent_ = true;
        attempt_->endBody();
    }
    if (sink_ == nullptr || bodyEnded_) {
        return;
    }
    const bool bufferFull = attempt_->isOutputFull();
    if (bufferFull && !bodyPaused_) {
        bodyPaused_ = true;
        sink_->pauseBody();
    } else if (!bufferFull && bodyPaused_) {
        bodyPaused_ = false;
        sink_->resumeBody();
    }
}

void Exchange::onResponseHead(const http::ResponseHead &head)
{
    const bool shed = head.status == 503 && head.headers.find("x-shed") != nullptr;
    if (shed && admission_.service->shedImpliesNotExecuted) {
        const std::string server = attempt_->slot().address;
        attempt_->cancel();
        endSpan(true);
        const std::weak_ptr<Exchange> weak = weak_from_this();
        releaseSlot(health::Outcome::Shed, [] {});
        if (canRetry(false)) {
            retry(ResultCode::BackendShed, false);
        } else {
            const bool useEarlierFailure = mayHaveRun_ && lastFailure_;
            reject(useEarlierFailure ? lastFailure_->code : ResultCode::BackendShed, server);
        }
        return;
    }
    const bool failed = isRetriableStatus(head.status);
    responseOutcome_ = shed ? health::Outcome::Shed
        : failed            ? health::Outcome::ServerError
                            : health::Outcome::Success;
    if (failed && canRetry(true)) {
        attempt_->cancel();
        endSpan(true);
        releaseSlot(responseOutcome_, [] {});
        retry(ResultCode::BackendFailed, true);
        return;
    }
    mayHaveRun_ = true;
    responseStarted_ = true;
    responseStatus_ = head.status;
    http::Headers headers;
    wire::StoredAnswer stored;
    stored.set_status(static_cast<std::uint32_t>(head.status));
    for (const http::Header &field : head.headers.fields()) {
        if (http::isHopByHopHeader(field.name)) {
            continue;
        }
        headers.add(field.name, field.value);
        auto *kept = stored.add_headers();
        kept->set_name(field.name);
        kept->set_value(field.value);
    }
    storingResponse_ = ledgerStarted_;
    ledgerResponse_ = ledgerStarted_ ? stored.SerializeAsString() : "";
    if (sink_ != nullptr) {
        sink_->sendHead(head.status, headers, head.framing, head.contentLength);
    }
}

void Exchange::onResponseBody(std::string_view data)
{
    if (storingResponse_) {
        storedResponseBody_.append(data);
        storingResponse_ = storedResponseBody_.size() < ledger::MaxStoredResponseBytes;
    }
    if (sink_ == nullptr) {
        return;
    }
    sink_->sendBody(data);
    if (sink_->isOutputFull()) {
        attempt_->pauseReading();
    }
}

void Exchange::onSinkDrained()
{
    if (attempt_ && stage_ == Stage::Forwarding) {
        attempt_->resumeReading();
    }
}

void Exchange::onResponseEnd()
{
    endSpan(responseOutcome_ != health::Outcome::Success);
    releaseSlot(responseOutcome_, [] {});
    ledgerState_ = ledger::RecordState::Completed;
    if (storingResponse_) {
        wire::StoredAnswer stored;
        stored.ParseFromString(ledgerResponse_);
        stored.set_body(std::move(storedResponseBody_));
        ledgerResponse_ = stored.SerializeAsString();
    } else {
        ledgerResponse_.clear();
    }
    recordResponseMetrics(responseStatus_);
    responded_ = true;
    finish();
}

void Exchange::onAttemptFailed(const AttemptFailure &failure)
{
    endSpan(true);
    if (failure.mayHaveRun) {
        mayHaveRun_ = true;
        ledgerState_ = ledger::RecordState::OutcomeUnknown;
    }
    if (failure.outcome != health::Outcome::ConnectionLost) {
        releaseSlot(failure.outcome, [] {});
        retryOrFail(failure);
        return;
    }
    // The request may have crashed the server. It is retried or answered only after all dispatchers
    // know of the crash.
    const std::weak_ptr<Exchange> weak = weak_from_this();
    stage_ = Stage::AcquiringSlot;
    releaseSlot(failure.outcome, [weak, failure] {
        const auto self = weak.lock();
        if (self && self->stage_ != Stage::Done) {
            self->retryOrFail(failure);
        }
    });
}

void Exchange::retryOrFail(const AttemptFailure &failure)
{
    if (responseStarted_) {
        resultCode_ = failure.code;
        logEvent(Event::RequestFailed,
                 { { "request", requestId_ },
                   { "result", resultInfo(failure.code).name },
                   { "server", failure.detail } });
        if (sink_ != nullptr) {
            sink_->abortResponse();
        }
        sink_ = nullptr;
        responded_ = true;
        recordResponseMetrics(resultInfo(failure.code).httpStatus);
        finish();
        return;
    }
    if (canRetry(failure.mayHaveRun)) {
        retry(failure.code, failure.mayHaveRun);
        return;
    }
    const bool useEarlierFailure = mayHaveRun_ && !failure.mayHaveRun && lastFailure_;
    reject(useEarlierFailure ? lastFailure_->code : failure.code, failure.detail);
}

bool Exchange::canRetry(bool mayHaveRun) const
{
    const bool retrySafe = !mayHaveRun || admission_.route.idempotent;
    // A body that was streamed without buffering cannot be sent again.
    const bool bodyAvailable = bodyBuffered_ && bodyEnded_;
    return retrySafe && bodyAvailable && !responseStarted_ && attemptCount_ < MaxAttempts
        && now() < sendUntil();
}

void Exchange::retry(ResultCode code, bool mayHaveRun)
{
    if (mayHaveRun) {
        mayHaveRun_ = true;
        lastFailure_ = Failure { code, "" };
    }
    dependencies_.context.metrics.addToCounter("daisyhaven_retries_total",
                                               { { "service", admission_.service->name } });
    attempt_.reset();
    bodySent_ = false;
    acquireSlot(mayHaveRun);
}

void Exchange::releaseSlot(health::Outcome outcome, std::function<void()> done)
{
    dependencies_.dispatch.release(attempt_->slot(), outcome, attempt_->responseLatency(),
                                   std::move(done));
}

void Exchange::onDeadline()
{
    endEarly(
        { ResultCode::DeadlineUnreachable, ResultCode::BackendTimeout, health::Outcome::TimedOut });
}

// Cancels the requests for a slot and for a token that are under way.
void Exchange::cancelWaits()
{
    if (slotRequestId_ != 0) {
        dependencies_.dispatch.cancel(slotRequestId_);
    }
    if (stage_ == Stage::AcquiringToken && tokenRequestId_ != 0) {
        dependencies_.quota.cancel(admission_.team->name, tokenRequestId_);
    }
}

void Exchange::endEarly(const EarlyEnd &end)
{
    if (stage_ == Stage::Done) {
        return;
    }
    if (stage_ != Stage::Forwarding) {
        cancelWaits();
        const bool useEarlierFailure = mayHaveRun_ && lastFailure_;
        reject(useEarlierFailure ? lastFailure_->code : end.ifNotRun, "");
        return;
    }
    const bool sent = attempt_->mayHaveSent();
    const Duration waited = attempt_->responseLatency();
    // A wait for the rest of the caller's body is no evidence against the backend server.
    const bool serverHadAll = sent && bodyEnded_;
    attempt_->cancel();
    endSpan(true);
    dependencies_.dispatch.release(attempt_->slot(),
                                   serverHadAll ? end.attemptOutcome : health::Outcome::Cancelled,
                                   waited, [] {});
    if (sent) {
        mayHaveRun_ = true;
        ledgerState_ = ledger::RecordState::OutcomeUnknown;
    }
    const AttemptFailure failure { end.attemptOutcome, sent ? end.ifMayHaveRun : end.ifNotRun, sent,
                                   attempt_->slot().address, false };
    if (responseStarted_) {
        retryOrFail(failure);
        return;
    }
    const bool useEarlierFailure = mayHaveRun_ && !sent && lastFailure_;
    reject(useEarlierFailure ? lastFailure_->code : failure.code, failure.detail);
}

void Exchange::onCallerDisconnected()
{
    sink_ = nullptr;
    if (stage_ == Stage::Done) {
        return;
    }
    // A request with a ledger record continues without its caller, so that a retry with the same
    // Idempotency-Key gets the response.
    const bool continuesWithoutCaller = ledgerStarted_ && bodyEnded_;
    if (continuesWithoutCaller) {
        if (attempt_) {
            attempt_->resumeReading();
        }
        return;
    }
    resultCode_ = ResultCode::CallerGone;
    cancelWaits();
    if (stage_ == Stage::Forwarding) {
        if (attempt_->mayHaveSent()) {
            ledgerState_ = ledger::RecordState::OutcomeUnknown;
        }
        attempt_->cancel();
        endSpan(true);
        releaseSlot(health::Outcome::Cancelled, [] {});
    }
    finish();
}

void Exchange::onInvalidRequest(const Failure &failure)
{
    if (stage_ == Stage::Done) {
        return;
    }
    if (stage_ == Stage::Forwarding) {
        // The body is truncated. Closing the connection keeps the backend server from accepting it
        // as complete.
        if (attempt_->mayHaveSent()) {
            mayHaveRun_ = true;
            ledgerState_ = ledger::RecordState::OutcomeUnknown;
        }
        attempt_->cancel();
        endSpan(true);
        releaseSlot(health::Outcome::Cancelled, [] {});
    }
    const bool afterStart = mayHaveRun_;
    reject(afterStart ? ResultCode::BackendFailed : failure.code, failure.detail);
}

} // namespace daisyhaven::entry

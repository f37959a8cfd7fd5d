#include "entry/internal/exchange.h"

#include "peer/generated/peer.pb.h"

#include <xxhash.h>

#include <algorithm>

namespace daisyhaven::entry {

namespace {

// Body kept for fingerprints and for another try.
constexpr std::size_t PrefixBytes = 64UL * 1024;
constexpr int MaxTries = 3;
constexpr Milliseconds FreshnessPatience { 1000 };
constexpr Milliseconds AdmissionRetry { 20 };
// Longest wait, with a slot in hand, for a token to replace one that expired.
constexpr Milliseconds TokenRefreshWait { 100 };

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

Exchange::Exchange(ProxyParts parts, http::AnswerSink *sink, http::RequestHead head)
    : parts_(parts), sink_(sink), head_(std::move(head)), trace_(traceOf(head_)),
      startedAtWallClock_(wallClockMicroseconds()), startedAt_(parts.context.timers.now())
{
    const bool continued = head_.headers.find("traceparent") != nullptr;
    parentSpan_ = continued ? trace_.spanId : "";
    trace_ = childOf(trace_);
    requestId_ = trace_.traceId + "-" + trace_.spanId;
}

Exchange::~Exchange() = default;

void Exchange::start(bool draining, std::function<void()> finished)
{
    finished_ = std::move(finished);
    if (draining) {
        refuse(ResultCode::Draining, "");
        return;
    }
    admitOrWait();
}

// A VM whose configuration is not proven fresh, for example after it was stopped, gets a moment to
// prove it before requests are refused.
void Exchange::admitOrWait()
{
    Context &context = parts_.context;
    const auto admitted = attempt([&] {
        return admit(context.fleet.configuration(), context.fleet.isFresh(), head_, startedAt_);
    });
    const std::weak_ptr<Exchange> weak = weak_from_this();
    if (const auto *failure = std::get_if<Failure>(&admitted)) {
        const bool wait = failure->code == ResultCode::ConfigurationStale
            && now() - startedAt_ < FreshnessPatience;
        if (!wait) {
            refuse(failure->code, failure->detail);
            return;
        }
        bodyPaused_ = true;
        sink_->pauseBody();
        admissionRetry_ = context.timers.after(AdmissionRetry, [weak] {
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
        refuse(ResultCode::DeadlineUnreachable, "");
        return;
    }
    deadline_ = context.timers.after(admission_.deadline - now(), [weak] {
        if (const auto self = weak.lock()) {
            self->deadlinePassed();
        }
    });
    if (bodyPaused_) {
        bodyPaused_ = false;
        sink_->resumeBody();
    }
    if (head_.expectsContinue) {
        sink_->sendContinue();
    }
    if (bodyBytes_ > admission_.route.bodyLimitBytes) {
        refuse(ResultCode::BodyTooLarge, "");
        return;
    }
    bodyEnded_ = bodyEnded_ || head_.framing == http::Framing::None;
    if (prefixReady()) {
        prepare();
    }
}

void Exchange::refuseUnread(const Failure &failure, std::function<void()> finished)
{
    finished_ = std::move(finished);
    refuse(failure.code, failure.detail);
}

bool Exchange::prefixReady() const
{
    return bodyEnded_ || buffer_.size() >= PrefixBytes;
}

void Exchange::body(std::string_view data)
{
    if (stage_ == Stage::Done) {
        return;
    }
    bodyBytes_ += data.size();
    if (!admitted_) {
        buffer_.append(data);
        return;
    }
    if (bodyBytes_ > admission_.route.bodyLimitBytes) {
        refuse(ResultCode::BodyTooLarge,
               "at most " + std::to_string(admission_.route.bodyLimitBytes) + " bytes");
        return;
    }
    buffer_.append(data);
    if (stage_ == Stage::Running) {
        feedBody();
        return;
    }
    if (buffer_.size() >= PrefixBytes && !bodyPaused_) {
        bodyPaused_ = true;
        sink_->pauseBody();
    }
    if (stage_ == Stage::Body && prefixReady()) {
        prepare();
    }
}

void Exchange::bodyEnd()
{
    if (stage_ == Stage::Done) {
        return;
    }
    bodyEnded_ = true;
    if (!admitted_) {
        return;
    }
    if (stage_ == Stage::Body) {
        prepare();
    } else if (stage_ == Stage::Running) {
        feedBody();
    }
}

// Runs once the body, or its first part, is at hand.
void Exchange::prepare()
{
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    const auto mix = [state](std::string_view text) {
        const std::uint64_t length = text.size();
        XXH3_128bits_update(state, &length, sizeof(length));
        XXH3_128bits_update(state, text.data(), text.size());
    };
    mix(head_.method);
    mix(head_.path);
    mix(head_.query);
    mix(std::to_string(head_.contentLength));
    mix(std::string_view(buffer_).substr(0, PrefixBytes));
    const XXH128_hash_t hash = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    fingerprint_ = hash.low64;
    if (admission_.idempotencyKey) {
        ledgerKey_ = admission_.service->name + "/" + admission_.teamName() + "/"
            + *admission_.idempotencyKey;
        ledgerAttempt_.clear();
    }
    takeToken();
}

void Exchange::takeToken()
{
    stage_ = Stage::Token;
    if (!admission_.team) {
        tokenValidUntil_ = Instant::max();
        recordStart();
        return;
    }
    startPiece("quota");
    const std::weak_ptr<Exchange> weak = weak_from_this();
    tokenTicket_ = parts_.quota.take(admission_.team->name, admission_.deadline,
                                     [weak](const TokenResult &result) {
                                         if (const auto self = weak.lock()) {
                                             self->tokenTaken(result);
                                         }
                                     });
}

void Exchange::tokenTaken(const TokenResult &result)
{
    if (stage_ != Stage::Token) {
        return;
    }
    const auto *refused = std::get_if<TokenRefused>(&result);
    endPiece(refused != nullptr);
    if (refused != nullptr) {
        refuse(refused->code, admission_.teamName(), refused->retryAfter);
        return;
    }
    tokenValidUntil_ = std::get<TokenTaken>(result).validUntil;
    recordStart();
}

void Exchange::recordStart()
{
    if (ledgerKey_.empty()) {
        acquireSlot(false);
        return;
    }
    stage_ = Stage::Ledger;
    startPiece("ledger");
    const std::weak_ptr<Exchange> weak = weak_from_this();
    ledgerAttempt_ =
        parts_.ledger.start(ledgerKey_, toHex(fingerprint_), admission_.deadline - now(),
                            admission_.deadline, [weak](const LedgerResult &result) {
                                if (const auto self = weak.lock()) {
                                    self->ledgerAnswered(result);
                                }
                            });
}

void Exchange::ledgerAnswered(const LedgerResult &result)
{
    if (stage_ != Stage::Ledger) {
        // The request was given up meanwhile: it does not run.
        if (std::holds_alternative<LedgerStarted>(result)) {
            parts_.ledger.finish(ledgerKey_, ledgerAttempt_, ledger::RecordState::NotRun, "");
        }
        return;
    }
    endPiece(std::holds_alternative<Failure>(result));
    if (const auto *failure = std::get_if<Failure>(&result)) {
        refuse(failure->code, failure->detail);
        return;
    }
    if (const auto *repeat = std::get_if<LedgerRepeat>(&result)) {
        replayAnswer(*repeat);
        return;
    }
    ledgerStarted_ = true;
    acquireSlot(false);
}

void Exchange::replayAnswer(const LedgerRepeat &repeat)
{
    wire::StoredAnswer stored;
    const bool whole = repeat.state == ledger::RecordState::Answered && !repeat.answer.empty()
        && stored.ParseFromString(repeat.answer);
    if (!whole) {
        const bool ran = repeat.state == ledger::RecordState::Answered;
        refuse(ResultCode::OutcomeUnknown, ran ? "it ran; its answer was not kept" : "");
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
    countAnswer(static_cast<int>(stored.status()));
    answered_ = true;
    finish();
}

void Exchange::acquireSlot(bool retry)
{
    stage_ = Stage::Slot;
    startPiece("dispatch");
    SlotNeed need;
    need.service = admission_.service->name;
    need.team = admission_.teamName();
    need.weight = admission_.team ? admission_.team->weight : 1;
    need.priority = static_cast<std::uint8_t>(admission_.route.priority);
    need.repeatable = admission_.route.repeatable;
    const std::string route = admission_.route.method + admission_.route.path;
    need.route = XXH3_64bits(route.data(), route.size());
    need.fingerprint = fingerprint_;
    need.deadline = admission_.deadline;
    need.retry = retry;
    need.avoid = usedServers_;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    DispatchClient &dispatch = parts_.dispatch;
    slotTicket_ = dispatch.acquire(need, [weak, &dispatch](const SlotResult &result) {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::Slot) {
            self->slotAnswered(result);
        } else if (const auto *slot = std::get_if<Slot>(&result)) {
            dispatch.release(*slot, health::Outcome::NotSent, Duration(0), [] {});
        }
    });
}

void Exchange::slotAnswered(const SlotResult &result)
{
    slotTicket_ = 0;
    endPiece(std::holds_alternative<Failure>(result));
    if (const auto *failure = std::get_if<Failure>(&result)) {
        // A try that may have run decides what is said; a quarantine says why there is no other.
        const Failure said = mayHaveRun_ && lastFailure_ ? *lastFailure_ : *failure;
        refuse(said.code, said.detail);
        return;
    }
    const Slot slot = std::get<Slot>(result);
    if (!mayStillRun(slot)) {
        return;
    }
    if (now() >= tokenValidUntil_) {
        refreshToken(slot);
        return;
    }
    run(slot);
}

// Checks again, at the last moment, what may have changed while the request waited.
bool Exchange::mayStillRun(const Slot &slot)
{
    const auto giveBack = [&] {
        parts_.dispatch.release(slot, health::Outcome::NotSent, Duration(0), [] {});
    };
    const auto &configuration = parts_.context.fleet.configuration();
    const bool keyed = admission_.team != nullptr;
    if (keyed && !parts_.context.fleet.isFresh()) {
        giveBack();
        refuse(ResultCode::ConfigurationStale, "");
        return false;
    }
    const auto grant = keyed ? configuration.findKey(admission_.keyHash) : nullptr;
    if (keyed && (!grant || grant->team != admission_.team->name)) {
        giveBack();
        refuse(ResultCode::KeyInvalid, "");
        return false;
    }
    if (configuration.isZoneOut(slot.zone)) {
        giveBack();
        acquireSlot(tries_ > 0);
        return false;
    }
    return true;
}

void Exchange::refreshToken(const Slot &slot)
{
    stage_ = Stage::Token;
    startPiece("quota");
    const std::weak_ptr<Exchange> weak = weak_from_this();
    DispatchClient &dispatch = parts_.dispatch;
    const Instant waitUntil = std::min<Instant>(admission_.deadline, now() + TokenRefreshWait);
    tokenTicket_ = parts_.quota.take(
        admission_.team->name, waitUntil, [weak, slot, &dispatch](const TokenResult &result) {
            const auto self = weak.lock();
            const bool wanted = self && self->stage_ == Stage::Token;
            const auto *taken = std::get_if<TokenTaken>(&result);
            if (wanted) {
                self->endPiece(taken == nullptr);
            }
            if (wanted && taken != nullptr) {
                self->tokenValidUntil_ = taken->validUntil;
                self->run(slot);
                return;
            }
            dispatch.release(slot, health::Outcome::NotSent, Duration(0), [] {});
            if (wanted) {
                const auto &refused = std::get<TokenRefused>(result);
                self->refuse(refused.code, self->admission_.teamName(), refused.retryAfter);
            }
        });
}

http::Headers Exchange::backendHeaders(const TraceContext &trace) const
{
    static constexpr std::array<std::string_view, 5> Replaced { "authorization", "traceparent",
                                                                "x-request-id", "x-deadline-ms",
                                                                "x-team" };
    http::Headers headers;
    for (const http::Header &field : head_.headers.fields()) {
        const bool replaced = std::any_of(Replaced.begin(), Replaced.end(), [&](auto name) {
            return strcasecmp(std::string(name).c_str(), field.name.c_str()) == 0;
        });
        if (!replaced && !http::isHopByHop(field.name)) {
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

void Exchange::run(const Slot &slot)
{
    stage_ = Stage::Running;
    ++tries_;
    usedServers_.insert(slot.address);
    startPiece("backend " + slot.address);
    Context &context = parts_.context;
    try_ = std::make_shared<BackendTry>(context, parts_.upstreams, parts_.dispatch, slot);
    BackendTry::Request request;
    request.method = head_.method;
    request.target = head_.query.empty() ? head_.path : head_.path + "?" + head_.query;
    request.headers = backendHeaders(pieceTrace_);
    request.framing = head_.framing;
    request.contentLength = head_.contentLength;
    request.requestId = requestId_;
    request.repeatable = admission_.route.repeatable;
    request.replayable = bodyEnded_ && bodyKept_;
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const auto guarded = [weak](auto method) {
        return [weak, method](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && self->stage_ == Stage::Running) {
                method(*self, arguments...);
            }
        };
    };
    BackendTry::Callbacks callbacks;
    callbacks.head = guarded([](Exchange &self, const auto &head) { self.gotHead(head); });
    callbacks.body = guarded([](Exchange &self, std::string_view data) { self.gotBody(data); });
    callbacks.end = guarded([](Exchange &self) { self.gotEnd(); });
    callbacks.failed =
        guarded([](Exchange &self, const auto &failure) { self.tryFailed(failure); });
    callbacks.drained = guarded([](Exchange &self) { self.feedBody(); });
    try_->start(request, std::move(callbacks));
    feedBody();
}

// Gives the backend server what is at hand, and holds the caller back while it takes no more.
void Exchange::feedBody()
{
    if (!try_ || stage_ != Stage::Running) {
        return;
    }
    const bool keep = bodyKept_ && bodyEnded_ && buffer_.size() <= PrefixBytes;
    if (!buffer_.empty() && !fed_) {
        try_->sendBody(buffer_);
    }
    if (!keep) {
        bodyKept_ = false;
        buffer_.clear();
        buffer_.shrink_to_fit();
    }
    if (bodyEnded_ && !fed_) {
        fed_ = true;
        try_->endBody();
    }
    if (sink_ == nullptr || bodyEnded_) {
        return;
    }
    const bool full = try_->outputFull();
    if (full && !bodyPaused_) {
        bodyPaused_ = true;
        sink_->pauseBody();
    } else if (!full && bodyPaused_) {
        bodyPaused_ = false;
        sink_->resumeBody();
    }
}

void Exchange::gotHead(const http::ResponseHead &head)
{
    const bool shed = head.status == 503 && head.headers.find("x-shed") != nullptr;
    if (shed && admission_.service->shedMeansNotRun) {
        const std::string server = try_->slot().address;
        try_->abandon();
        endPiece(true);
        const std::weak_ptr<Exchange> weak = weak_from_this();
        releaseSlot(health::Outcome::Shed, [] {});
        if (mayRetry(false)) {
            retry(ResultCode::BackendShed, false);
        } else {
            const bool earlier = mayHaveRun_ && lastFailure_;
            refuse(earlier ? lastFailure_->code : ResultCode::BackendShed, server);
        }
        return;
    }
    const bool failed = isRetriableStatus(head.status);
    answerOutcome_ = shed ? health::Outcome::Shed
        : failed          ? health::Outcome::Failed
                          : health::Outcome::Success;
    if (failed && mayRetry(true)) {
        try_->abandon();
        endPiece(true);
        releaseSlot(answerOutcome_, [] {});
        retry(ResultCode::BackendFailed, true);
        return;
    }
    mayHaveRun_ = true;
    answerStarted_ = true;
    answerStatus_ = head.status;
    http::Headers headers;
    wire::StoredAnswer stored;
    stored.set_status(static_cast<std::uint32_t>(head.status));
    for (const http::Header &field : head.headers.fields()) {
        if (http::isHopByHop(field.name)) {
            continue;
        }
        headers.add(field.name, field.value);
        auto *kept = stored.add_headers();
        kept->set_name(field.name);
        kept->set_value(field.value);
    }
    ledgerAnswerKept_ = ledgerStarted_;
    ledgerAnswer_ = ledgerStarted_ ? stored.SerializeAsString() : "";
    if (sink_ != nullptr) {
        sink_->sendHead(head.status, headers, head.framing, head.contentLength);
    }
}

void Exchange::gotBody(std::string_view data)
{
    if (ledgerAnswerKept_) {
        storedBody_.append(data);
        ledgerAnswerKept_ = storedBody_.size() < ledger::MaxKeptAnswerBytes;
    }
    if (sink_ == nullptr) {
        return;
    }
    sink_->sendBody(data);
    if (sink_->outputFull()) {
        try_->pauseReading();
    }
}

void Exchange::sinkDrained()
{
    if (try_ && stage_ == Stage::Running) {
        try_->resumeReading();
    }
}

void Exchange::gotEnd()
{
    endPiece(answerOutcome_ != health::Outcome::Success);
    releaseSlot(answerOutcome_, [] {});
    ledgerState_ = ledger::RecordState::Answered;
    if (ledgerAnswerKept_) {
        wire::StoredAnswer stored;
        stored.ParseFromString(ledgerAnswer_);
        stored.set_body(std::move(storedBody_));
        ledgerAnswer_ = stored.SerializeAsString();
    } else {
        ledgerAnswer_.clear();
    }
    countAnswer(answerStatus_);
    answered_ = true;
    finish();
}

void Exchange::tryFailed(const TryFailure &failure)
{
    endPiece(true);
    if (failure.mayHaveRun) {
        mayHaveRun_ = true;
        ledgerState_ = ledger::RecordState::Unknown;
    }
    if (failure.outcome != health::Outcome::ConnectionLost) {
        releaseSlot(failure.outcome, [] {});
        settleFailure(failure);
        return;
    }
    // The request may have crashed the server: nobody hears of it before all dispatchers do.
    const std::weak_ptr<Exchange> weak = weak_from_this();
    stage_ = Stage::Slot;
    releaseSlot(failure.outcome, [weak, failure] {
        const auto self = weak.lock();
        if (self && self->stage_ != Stage::Done) {
            self->settleFailure(failure);
        }
    });
}

void Exchange::settleFailure(const TryFailure &failure)
{
    if (answerStarted_) {
        resultCode_ = failure.code;
        logEvent(Event::RequestFailed,
                 { { "request", requestId_ },
                   { "result", resultInfo(failure.code).name },
                   { "server", failure.detail } });
        if (sink_ != nullptr) {
            sink_->abortAnswer();
        }
        sink_ = nullptr;
        answered_ = true;
        countAnswer(resultInfo(failure.code).httpStatus);
        finish();
        return;
    }
    if (mayRetry(failure.mayHaveRun)) {
        retry(failure.code, failure.mayHaveRun);
        return;
    }
    const bool earlier = mayHaveRun_ && !failure.mayHaveRun && lastFailure_;
    refuse(earlier ? lastFailure_->code : failure.code, failure.detail);
}

bool Exchange::mayRetry(bool mayHaveRun) const
{
    const bool safe = !mayHaveRun || admission_.route.repeatable;
    // Nothing of a body that was passed on as it came can be sent again.
    const bool atHand = bodyKept_ && bodyEnded_;
    return safe && atHand && !answerStarted_ && tries_ < MaxTries && now() < admission_.deadline;
}

void Exchange::retry(ResultCode code, bool mayHaveRun)
{
    if (mayHaveRun) {
        mayHaveRun_ = true;
        lastFailure_ = Failure { code, "" };
    }
    parts_.context.metrics.add("daisyhaven_retries_total",
                               { { "service", admission_.service->name } });
    try_.reset();
    fed_ = false;
    acquireSlot(mayHaveRun);
}

void Exchange::releaseSlot(health::Outcome outcome, std::function<void()> done)
{
    parts_.dispatch.release(try_->slot(), outcome, try_->latency(), std::move(done));
}

void Exchange::deadlinePassed()
{
    if (stage_ == Stage::Done) {
        return;
    }
    if (stage_ != Stage::Running) {
        if (slotTicket_ != 0) {
            parts_.dispatch.cancel(slotTicket_);
        }
        if (stage_ == Stage::Token && tokenTicket_ != 0) {
            parts_.quota.cancel(admission_.team->name, tokenTicket_);
        }
        const bool earlier = mayHaveRun_ && lastFailure_;
        refuse(earlier ? lastFailure_->code : ResultCode::DeadlineUnreachable, "");
        return;
    }
    const bool sent = try_->mayHaveSent();
    const Duration waited = try_->latency();
    // Waiting for the caller's own body says nothing of the backend server.
    const bool serverOwes = sent && bodyEnded_;
    try_->abandon();
    endPiece(true);
    parts_.dispatch.release(try_->slot(),
                            serverOwes ? health::Outcome::TimedOut : health::Outcome::Cancelled,
                            waited, [] {});
    if (sent) {
        mayHaveRun_ = true;
        ledgerState_ = ledger::RecordState::Unknown;
    }
    TryFailure failure { health::Outcome::TimedOut,
                         sent ? ResultCode::BackendTimeout : ResultCode::DeadlineUnreachable, sent,
                         try_->slot().address, false };
    if (answerStarted_) {
        settleFailure(failure);
        return;
    }
    const bool earlier = mayHaveRun_ && !sent && lastFailure_;
    refuse(earlier ? lastFailure_->code : failure.code, failure.detail);
}

void Exchange::callerGone()
{
    sink_ = nullptr;
    if (stage_ == Stage::Done) {
        return;
    }
    // What must not run twice goes on, so that a resend of its key gets the answer.
    const bool goesOn = ledgerStarted_ && bodyEnded_;
    if (goesOn) {
        if (try_) {
            try_->resumeReading();
        }
        return;
    }
    resultCode_ = ResultCode::CallerGone;
    if (slotTicket_ != 0) {
        parts_.dispatch.cancel(slotTicket_);
    }
    if (stage_ == Stage::Token && tokenTicket_ != 0) {
        parts_.quota.cancel(admission_.team->name, tokenTicket_);
    }
    if (stage_ == Stage::Running) {
        if (try_->mayHaveSent()) {
            ledgerState_ = ledger::RecordState::Unknown;
        }
        try_->abandon();
        endPiece(true);
        releaseSlot(health::Outcome::Cancelled, [] {});
    }
    finish();
}

void Exchange::invalid(const Failure &failure)
{
    if (stage_ == Stage::Done) {
        return;
    }
    if (stage_ == Stage::Running) {
        // The body broke off: the backend server must not take it for whole.
        if (try_->mayHaveSent()) {
            mayHaveRun_ = true;
            ledgerState_ = ledger::RecordState::Unknown;
        }
        try_->abandon();
        endPiece(true);
        releaseSlot(health::Outcome::Cancelled, [] {});
    }
    const bool afterStart = mayHaveRun_;
    refuse(afterStart ? ResultCode::BackendFailed : failure.code, failure.detail);
}

} // namespace daisyhaven::entry

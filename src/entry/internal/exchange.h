// Handles one caller request, from its head to the end of the response.
//
// The steps are, in order: match the route and check the API key; acquire a token of the team's
// rate limit; record the start in the ledger, if the request is not idempotent and carries an
// Idempotency-Key; acquire a slot; forward the request to a backend server. A request that was sent
// to a backend server is retried only if it is idempotent or if certainly no byte of it arrived.
#pragma once

#include "entry/internal/admission.h"
#include "entry/internal/backendattempt.h"
#include "entry/internal/proxy.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisyhaven::entry {

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ProxyDependencies dependencies, http::ResponseSink *sink, http::RequestHead head);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange();

    // Starts processing; rejects the request if the VM is draining. `finished` runs once, when the
    // request is complete and this VM holds no more state of it.
    void start(bool draining, std::function<void()> finished);
    // Rejects a request whose head could not be parsed.
    void rejectMalformed(const Failure &failure, std::function<void()> finished);
    void onBody(std::string_view data);
    void onBodyEnd();
    // Called when the rest of the caller's request turns out to be malformed.
    void onInvalidRequest(const Failure &failure);
    // Called when the caller disconnects. The sink is not used afterwards.
    void onCallerDisconnected();
    // Called when the sink accepts more response data.
    void onSinkDrained();
    bool hasResponse() const { return responded_; }
    // Ends the request at a step of a planned stop, unless a backend server works on it.
    void endIfWaiting();
    // Ends the request at a step of a planned stop.
    void endForShutdown();

private:
    enum class Stage : std::uint8_t {
        ReadingBody,
        AcquiringToken,
        RecordingStart,
        AcquiringSlot,
        Forwarding,
        Done
    };

    struct OpenSpan
    {
        std::string name;
        std::int64_t startedAt = 0;
    };

    // Why a request ends before its response, as its caller and its dispatcher are told.
    struct EarlyEnd
    {
        ResultCode ifNotRun;
        ResultCode ifMayHaveRun;
        // Outcome of the attempt, if the backend server has the whole request.
        health::Outcome attemptOutcome;
    };

    Instant now() const { return dependencies_.context.timers.now(); }
    void admitOrWait();
    bool isBodyPrefixReady() const;
    void startProcessing();
    void requestToken();
    void onTokenResult(const TokenResult &result);
    void recordLedgerStart();
    void onLedgerResult(const LedgerResult &result);
    void replayStoredResponse(const LedgerReplay &replay);
    void acquireSlot(bool retry);
    void onSlotResult(const SlotResult &result);
    bool recheckBeforeForwarding(const Slot &slot);
    void refreshToken(const Slot &slot);
    void startAttempt(const Slot &slot);
    http::Headers backendHeaders(const TraceContext &trace) const;
    void forwardBody();
    void onResponseHead(const http::ResponseHead &head);
    void onResponseBody(std::string_view data);
    void onResponseEnd();
    void onAttemptFailed(const AttemptFailure &failure);
    void retryOrFail(const AttemptFailure &failure);
    bool canRetry(bool mayHaveRun) const;
    void retry(ResultCode code, bool mayHaveRun);
    void releaseSlot(health::Outcome outcome, std::function<void()> done);
    void onDeadline();
    // Returns until when the request may be sent to a backend server.
    Instant sendUntil() const;
    void cancelWaits();
    const char *stageName() const;
    void endEarly(const EarlyEnd &end);
    void reject(ResultCode code, const std::string &detail);
    // Rejects the request with `cause`, or with BackendFailed if `cause` denies that it ran
    // although it may have.
    void reject(ResultCode cause, const std::string &detail, Duration retryAfter);
    void recordLedgerFinish();
    void finish();
    void startSpan(const std::string &name);
    void endSpan(bool failed);
    void recordResponseMetrics(int status);

    ProxyDependencies dependencies_;
    http::ResponseSink *sink_;
    http::RequestHead requestHead_;
    std::function<void()> finishedCallback_;
    Admission admission_;
    bool admitted_ = false;
    Stage stage_ = Stage::ReadingBody;

    std::string bodyBuffer_; // body not yet forwarded, or buffered for a retry
    std::uint64_t bodyBytes_ = 0;
    bool bodyEnded_ = false;
    bool bodyPaused_ = false;
    bool bodyBuffered_ = true; // bodyBuffer_ holds everything received so far
    bool bodySent_ = false; // the current attempt has the whole body

    std::uint64_t fingerprint_ = 0;
    std::string requestId_;
    std::uint64_t tokenRequestId_ = 0;
    std::uint64_t slotRequestId_ = 0;
    Instant tokenValidUntil_;
    std::string ledgerKey_;
    std::string ledgerAttemptId_;
    bool ledgerStarted_ = false;
    ledger::RecordState ledgerState_ = ledger::RecordState::NotExecuted;
    std::string ledgerResponse_;
    std::string storedResponseBody_;
    bool storingResponse_ = false;

    std::shared_ptr<BackendAttempt> attempt_;
    std::set<std::string> attemptedServers_;
    int attemptCount_ = 0;
    bool mayHaveRun_ = false;
    std::optional<Failure> lastFailure_;
    health::Outcome responseOutcome_ = health::Outcome::Success;
    int responseStatus_ = 0;
    bool responseStarted_ = false;
    bool responded_ = false;

    TraceContext trace_;
    std::string parentSpanId_;
    TraceContext spanContext_;
    OpenSpan openSpan_;
    std::int64_t startTimeMicroseconds_ = 0;
    Instant startedAt_;
    ResultCode resultCode_ = ResultCode::Ok;
    TimerHandle deadlineTimer_;
    TimerHandle admissionRetryTimer_;
};

} // namespace daisyhaven::entry

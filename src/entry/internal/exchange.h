// One request of a caller, from its head to the end of its answer.
//
// Order: route and key; a token of the team's rate; the ledger, for a request that must not run
// twice and has an Idempotency-Key; a slot; a backend server. What was sent to a backend server is
// sent again only if it is repeatable, or if surely no byte of it arrived.
#pragma once

#include "entry/internal/admission.h"
#include "entry/internal/backendtry.h"
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
    Exchange(ProxyParts parts, http::AnswerSink *sink, http::RequestHead head);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange();

    // `finished` runs once, when nothing of the request is left in this VM.
    void start(bool draining, std::function<void()> finished);
    // Refuses a message whose head could not be read.
    void refuseUnread(const Failure &failure, std::function<void()> finished);
    void body(std::string_view data);
    void bodyEnd();
    // The caller's message turned out to be invalid.
    void invalid(const Failure &failure);
    // The caller is gone: the sink must not be used any more.
    void callerGone();
    // The sink takes more of the answer.
    void sinkDrained();
    bool answered() const { return answered_; }

private:
    enum class Stage : std::uint8_t { Body, Token, Ledger, Slot, Running, Done };

    struct Piece
    {
        std::string name;
        std::int64_t startedAt = 0;
    };

    Instant now() const { return parts_.context.timers.now(); }
    void admitOrWait();
    bool prefixReady() const;
    void prepare();
    void takeToken();
    void tokenTaken(const TokenResult &result);
    void recordStart();
    void ledgerAnswered(const LedgerResult &result);
    void replayAnswer(const LedgerRepeat &repeat);
    void acquireSlot(bool retry);
    void slotAnswered(const SlotResult &result);
    bool mayStillRun(const Slot &slot);
    void refreshToken(const Slot &slot);
    void run(const Slot &slot);
    http::Headers backendHeaders(const TraceContext &trace) const;
    void feedBody();
    void gotHead(const http::ResponseHead &head);
    void gotBody(std::string_view data);
    void gotEnd();
    void tryFailed(const TryFailure &failure);
    void settleFailure(const TryFailure &failure);
    bool mayRetry(bool mayHaveRun) const;
    void retry(ResultCode code, bool mayHaveRun);
    void releaseSlot(health::Outcome outcome, std::function<void()> done);
    void deadlinePassed();
    void refuse(ResultCode code, const std::string &detail);
    void refuse(ResultCode code, const std::string &detail, Duration retryAfter);
    void finishLedger();
    void finish();
    void startPiece(const std::string &name);
    void endPiece(bool failed);
    void countAnswer(int status);

    ProxyParts parts_;
    http::AnswerSink *sink_;
    http::RequestHead head_;
    std::function<void()> finished_;
    Admission admission_;
    bool admitted_ = false;
    Stage stage_ = Stage::Body;

    std::string buffer_; // body not yet given to a backend server, or kept for another try
    std::uint64_t bodyBytes_ = 0;
    bool bodyEnded_ = false;
    bool bodyPaused_ = false;
    bool bodyKept_ = true; // buffer_ holds the whole body so far
    bool fed_ = false; // the present try has the whole body

    std::uint64_t fingerprint_ = 0;
    std::string requestId_;
    std::uint64_t tokenTicket_ = 0;
    std::uint64_t slotTicket_ = 0;
    Instant tokenValidUntil_;
    std::string ledgerKey_;
    std::string ledgerAttempt_;
    bool ledgerStarted_ = false;
    ledger::RecordState ledgerState_ = ledger::RecordState::NotRun;
    std::string ledgerAnswer_;
    std::string storedBody_;
    bool ledgerAnswerKept_ = false;

    std::shared_ptr<BackendTry> try_;
    std::set<std::string> usedServers_;
    int tries_ = 0;
    bool mayHaveRun_ = false;
    std::optional<Failure> lastFailure_;
    health::Outcome answerOutcome_ = health::Outcome::Success;
    int answerStatus_ = 0;
    bool answerStarted_ = false;
    bool answered_ = false;

    TraceContext trace_;
    std::string parentSpan_;
    TraceContext pieceTrace_;
    Piece piece_;
    std::int64_t startedAtWallClock_ = 0;
    Instant startedAt_;
    ResultCode resultCode_ = ResultCode::Ok;
    Subscription deadline_;
    Subscription admissionRetry_;
};

} // namespace daisyhaven::entry

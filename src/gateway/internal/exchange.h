// One HTTP exchange with a caller, from the request head to the end of the response.
//
// Steps: resolve the route and the team, and read the body, completely or up to the retained size
// (exchangeadmission.cpp); obtain a slot (exchange.cpp); call the backend server
// (exchangecall.cpp), or another VM as a relay (exchangerelay.cpp); respond, retry (exchange.cpp)
// or refuse (exchangecompletion.cpp). A request that was sent is retried only if its route is
// idempotent or if the request provably did not run.
#pragma once

#include "gateway/internal/backendcall.h"
#include "gateway/internal/context.h"
#include "gateway/internal/requestbody.h"
#include "gateway/internal/requestrelays.h"
#include "gateway/internal/slotclient.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace daisyhaven::gateway {

// Where a request comes from.
enum class RequestOrigin : std::uint8_t {
    Caller,
    // Another entry VM that reaches no server itself and uses this one as a relay.
    OtherVm,
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(const GatewayContext &context, http::ResponseSink *sink, http::RequestHead head,
             RequestOrigin origin);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    // `finished` runs once, when this VM holds no more state of the request.
    void start(std::function<void()> finished);
    // Sends an error response to a message that could not be parsed.
    void rejectUnparsed(const Failure &failure, std::function<void()> finished);
    // Refuses a request that arrives when this VM, which stops, sends no more requests to servers.
    void refuseAtShutdown(std::function<void()> finished);
    // Tells the VM that sent the request to use another relay.
    void refuseRelayed(const std::string &reason, std::function<void()> finished);
    // Refuses a request that no server may have executed, to free its memory. Returns false if
    // there is no such request.
    bool refuseForMemory();
    void onBodyData(std::string_view data);
    void onBodyEnd();
    // Handles a parse error in the rest of the caller's message.
    void onInvalidMessage(const Failure &failure);
    // The caller closed its connection; the sink must not be used any more.
    void onCallerDisconnected();
    // The sink accepts more response data.
    void onSinkDrained();
    // Returns the approximate memory of the request's head and of its body, as far as it is
    // retained or not yet taken by a server.
    std::size_t heldBytes() const
    {
        return headBytes_ + body_.heldBytes() + (call_ ? call_->pendingOutput() : 0);
    }

    // What the request waits for.
    enum class Stage : std::uint8_t {
        ReadingBody,
        AwaitingSlot,
        CallingBackend,
        AwaitingVerdict,
        Done
    };
    Stage stage() const { return stage_; }
    // Asks for the slot again, so that the leader refuses at once what gets none before this VM,
    // which was told to stop, sends no more requests.
    void shortenWait();
    // Ends the request at a step of a planned stop, unless a server works on it.
    void endIfWaiting();
    // Ends the request at a step of a planned stop.
    void endForShutdown();

private:
    void admit();
    void scheduleAdmission();
    Result<void> resolveRouteAndTeam();
    void parseDeadline();
    std::string requestTarget() const;
    void requestFirstSlot();
    scheduler::SlotRequest makeSlotRequest(bool retry) const;
    void requestSlot(bool retry);
    void onSlotResult(const SlotResult &result);
    void onSlotRejected(const SlotRejection &rejection);
    void sendToBackend(const Slot &slot);
    void startCall(const Slot &slot, CallRequest request, CallCallbacks callbacks);
    CallRequest makeForwardedRequest() const;
    void addForwardedHeaders(const http::Headers &replaced, http::Headers *headers) const;
    CallRequest makeCallRequest(const Slot &slot) const;
    CallCallbacks makeCallCallbacks();
    void onResponse(const http::ResponseHead &head, const std::string &body);
    void cancelSlotRequest();
    bool isRelayed() const { return origin_ == RequestOrigin::OtherVm; }
    Result<void> readRelayHeaders();
    void refuseAsRelay(const std::string &reason);
    void sendToRelay();
    CallRequest makeRelayRequest() const;
    CallCallbacks makeRelayCallbacks();
    void onRelayResponse(const http::ResponseHead &head, const std::string &body);
    void onRelayFailed(const CallFailure &failure);
    void respondWithoutServers();
    void abortResponse(ResultCode code, const std::string &detail);
    bool isNotExecuted(const http::ResponseHead &head) const;
    // Whether a server may have executed the request in any attempt, the current one included.
    // Every response of this VM's own must agree with it.
    ExecutionStatus executionStatus() const;
    bool mayHaveRun() const { return executionStatus() == ExecutionStatus::MayHaveExecuted; }
    bool mayRetry() const;
    // Returns until when the request may be sent to a server or a relay.
    Instant sendUntil() const;
    // Ends the request now, with the best response that it can have: that of an earlier attempt, a
    // refusal if it has not run, or else a failure.
    void endEarly(ResultCode cause, const std::string &detail);
    void recordEndedByShutdown() const;
    void forwardResponse(const http::ResponseHead &head, const std::string &body);
    void onStreamStart(const http::ResponseHead &head, const std::string &body);
    void onStreamEnd();
    void onCallFailed(const CallFailure &failure);
    void startRetry(bool sent, const std::string &cause);
    void respondWithFailure(ResultCode code, const std::string &detail);
    void onServerSilent();
    void abandonLostCall();
    void retryOrFail(const CallFailure &failure);
    std::shared_ptr<BackendCall>
    endCall(RequestRelays::Outcome relayOutcome = RequestRelays::Outcome::Responded);
    void releaseSlot(scheduler::Outcome outcome);
    void releaseSlotAfterVerdict(scheduler::Outcome outcome, std::function<void()> released);
    void onDeadline();
    // Responds with `cause`, or with BackendFailed if `cause` contradicts executionStatus().
    void reject(ResultCode cause, const std::string &detail, Duration retryAfter);
    void logOutcome(const char *what, ResultCode code, const std::string &detail) const;
    void finish();
    void logIfLate() const;
    void recordMetrics(int status) const;

    GatewayContext context_;
    http::ResponseSink *sink_;
    http::RequestHead head_;
    RequestOrigin origin_;
    std::size_t headBytes_;
    std::function<void()> finished_;
    Stage stage_ = Stage::ReadingBody;
    std::string requestId_;

    // Owns the objects that route_ and team_ point to.
    std::shared_ptr<const routing::RoutingTable> table_;
    const routing::Route *route_ = nullptr;
    const routing::Team *team_ = nullptr;
    std::string service_;
    std::uint64_t fingerprint_ = 0;

    RequestBody body_;
    bool admitted_ = false;

    std::uint64_t slotRequestId_ = 0;
    bool slotIsForRetry_ = false;
    std::shared_ptr<BackendCall> call_;
    // The leader knows that the slot of call_ is free, although the call goes on.
    bool slotReleased_ = false;
    std::set<std::string> attemptedServers_;
    // Address of the relay to which call_ goes; empty if it goes to a server.
    std::string relay_;
    std::set<std::string> attemptedRelays_;
    std::string lastServer_;
    std::uint32_t sentAttempts_ = 0;
    std::uint32_t unsentAttempts_ = 0;
    bool hasRateToken_ = false;
    ExecutionStatus earlierAttempts_ = ExecutionStatus::NotExecuted;
    // Server error of an earlier attempt, sent to the caller if no retry yields a response.
    std::optional<std::pair<http::ResponseHead, std::string>> earlierResponse_;
    bool responseStarted_ = false;
    bool responded_ = false;

    // Time spent on calls to backend servers, summed over all attempts.
    Duration backendTime_ { 0 };
    Instant startedAt_;
    Instant deadline_;
    TimerHandle deadlineTimer_;
};

// Returns the name of the stage in logs and metrics.
const char *stageName(Exchange::Stage stage);

} // namespace daisyhaven::gateway

// One attempt to run a request on one backend server over one connection.
#pragma once

#include "gateway/internal/backendconnectionpool.h"
#include "gateway/internal/context.h"
#include "gateway/internal/slotclient.h"
#include "http/http.h"

#include <functional>
#include <memory>
#include <string>

namespace daisyhaven::gateway {

// Another server than the expected one responded.
constexpr int MisdirectedRequestStatus = 421;

// Describes why an attempt ended without a complete response.
struct CallFailure
{
    scheduler::Outcome outcome = scheduler::Outcome::ConnectionLost;
    ResultCode code = ResultCode::BackendFailed;
    // At least one byte of the request may have reached the server.
    bool mayHaveRun = true;
    std::string detail;
};

struct CallRequest
{
    std::string method;
    std::string target;
    http::Headers headers;
    http::Framing framing = http::Framing::None;
    std::uint64_t contentLength = 0;
    std::string requestId;
    // Service of the server; empty if the request goes to a relay.
    std::string service;
    bool idempotent = false;
};

struct CallCallbacks
{
    // The response is complete.
    std::function<void(const http::ResponseHead &, const std::string &body)> onResponse;
    // The response exceeds the buffer limit and is streamed: its head and the body received so far.
    std::function<void(const http::ResponseHead &, const std::string &body)> onStreamHead;
    std::function<void(std::string_view)> onStreamBody;
    std::function<void()> onStreamEnd;
    std::function<void(const CallFailure &)> onFailed;
    // The server has not responded for so long that the response may be lost. The call goes on.
    std::function<void()> onSilent;
    // More of the request body can be sent.
    std::function<void()> onDrained;
};

// Returns how long a pooled connection may have been idle to be reused for such a request.
Duration maxIdleTime(bool idempotent);

class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    BackendCall(const GatewayContext &context, Slot slot);
    BackendCall(const BackendCall &) = delete;
    BackendCall &operator=(const BackendCall &) = delete;

    void start(CallRequest request, CallCallbacks callbacks);
    void sendBody(std::string_view data);
    void endBody();
    bool outputFull() const;
    // Returns the bytes of the request that wait to be written to the socket.
    std::size_t pendingOutput() const;
    void pauseReading();
    void resumeReading();
    // Closes the connection, which cancels the request. No callback runs afterwards.
    void cancel();
    // Records that the response proves that the server did not execute the request.
    void recordNotExecuted() { notExecuted_ = true; }
    // MayHaveExecuted from the first byte of the request that may have left this VM, also after the
    // end of the call, unless recordNotExecuted() was called.
    ExecutionStatus executionStatus() const;
    // Time from the start until the response head was received, or until now if it was not.
    Duration latency() const;
    const Slot &slot() const { return slot_; }
    Instant startedAt() const { return startedAt_; }
    // Returns what the server said of itself, if it has responded.
    const std::optional<scheduler::ServerStatement> &statement() const { return statement_; }

private:
    // Counts a request to a server of another zone.
    void countZone() const;
    http::ClientConnection::Callbacks makeConnectionCallbacks();
    void onHead(const http::ResponseHead &head);
    void onBody(std::string_view data);
    void onEnd(bool reusable);
    bool goesToRelay() const { return request_.service.empty(); }
    void readStatement();
    void onConnectionClosed();
    void reportFailure(const CallFailure &failure);
    void markFinished();
    void discardConnection();
    Duration idleLifetime() const;

    GatewayContext context_;
    Slot slot_;
    CallRequest request_;
    CallCallbacks callbacks_;
    std::unique_ptr<http::ClientConnection> connection_;
    http::ResponseHead head_;
    std::optional<scheduler::ServerStatement> statement_;
    std::string body_;
    Instant startedAt_;
    Instant headReceivedAt_;
    bool reused_ = false;
    bool connected_ = false;
    bool hasHead_ = false;
    bool bodyEnded_ = false;
    bool streaming_ = false;
    bool finished_ = false;
    // Whether the request may have been sent; valid once the call has finished.
    bool mayHaveBeenSent_ = false;
    bool notExecuted_ = false;
    TimerHandle connectTimer_;
    TimerHandle silenceTimer_;
};

} // namespace daisyhaven::gateway

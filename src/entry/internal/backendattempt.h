// One attempt to run a request on one backend server, over one connection.
#pragma once

#include "entry/internal/backendconnectionpool.h"
#include "entry/internal/context.h"
#include "entry/internal/dispatchclient.h"
#include "http/http.h"

#include <functional>
#include <memory>
#include <string>

namespace daisyhaven::entry {

// Describes an attempt that ended without a complete response.
struct AttemptFailure
{
    health::Outcome outcome = health::Outcome::ServerError;
    ResultCode code = ResultCode::BackendFailed;
    // A byte of the request may have reached the backend server.
    bool mayHaveRun = true;
    std::string detail;
    // The connection, not the backend server, is considered lost.
    bool connectionUnresponsive = false;
};

class BackendAttempt : public std::enable_shared_from_this<BackendAttempt>
{
public:
    struct Callbacks
    {
        std::function<void(const http::ResponseHead &)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> end;
        std::function<void(const AttemptFailure &)> failed;
        // The output buffer has drained: more of the request body can be sent.
        std::function<void()> drained;
    };

    struct Request
    {
        std::string method;
        std::string target;
        http::Headers headers;
        http::Framing framing = http::Framing::None;
        std::uint64_t contentLength = 0;
        std::string requestId;
        // The whole body is buffered, so an unresponsive connection can be abandoned early and the
        // request retried.
        bool bodyBuffered = false;
        bool idempotent = false;
    };

    BackendAttempt(Context &context, BackendConnectionPool &connectionPool,
                   DispatchClient &dispatch, Slot slot);
    BackendAttempt(const BackendAttempt &) = delete;
    BackendAttempt &operator=(const BackendAttempt &) = delete;
    ~BackendAttempt();

    void start(const Request &request, Callbacks callbacks);
    void sendBody(std::string_view data);
    void endBody();
    bool isOutputFull() const;
    void pauseReading();
    void resumeReading();
    // Closes the connection, which cancels the request. No callback runs afterwards.
    void cancel();
    bool mayHaveSent() const;
    // Time from the end of the request to the head of the response, or until now if there is none.
    Duration responseLatency() const;
    const Slot &slot() const { return slot_; }

private:
    void onResponseHead(const http::ResponseHead &head);
    void onResponseEnd(bool reusable);
    void reportFailure(AttemptFailure failure);
    void onConnectionClosed();
    void scheduleOverdueCheck(Duration after);
    void handleOverdue(Duration waited);
    void scheduleStallCheck();
    void discardConnection();

    Context &context_;
    BackendConnectionPool &connectionPool_;
    DispatchClient &dispatch_;
    Slot slot_;
    Callbacks callbacks_;
    Request request_;
    std::unique_ptr<http::ClientConnection> connection_;
    bool reused_ = false;
    bool finished_ = false;
    bool connected_ = false;
    bool headReceived_ = false;
    bool readingPaused_ = false;
    Instant lastProgressAt_;
    Instant startedAt_;
    Instant requestSentAt_;
    bool requestSent_ = false;
    Instant headReceivedAt_;
    TimerHandle overdueTimer_;
};

} // namespace daisyhaven::entry

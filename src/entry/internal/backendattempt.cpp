#include "entry/internal/backendattempt.h"

namespace daisyhaven::entry {

namespace {

// A reused connection is considered lost after no response for this long and for this many times
// the overdue threshold of the server.
constexpr Milliseconds MinResponseTimeout { 250 };
constexpr int ResponseTimeoutFactor = 3;
constexpr int OverdueBackoffFactor = 2;

} // namespace

BackendAttempt::BackendAttempt(Context &context, BackendConnectionPool &connectionPool,
                               DispatchClient &dispatch, Slot slot)
    : context_(context), connectionPool_(connectionPool), dispatch_(dispatch),
      slot_(std::move(slot)), startedAt_(context.timers.now()), requestSentAt_(startedAt_),
      headReceivedAt_(startedAt_)
{
}

BackendAttempt::~BackendAttempt() = default;

void BackendAttempt::start(const Request &request, Callbacks callbacks)
{
    request_ = request;
    callbacks_ = std::move(callbacks);
    PooledConnection pooled = connectionPool_.acquire(slot_.address, request.idempotent);
    connection_ = std::move(pooled.connection);
    reused_ = pooled.reused;
    connected_ = reused_;
    const std::weak_ptr<BackendAttempt> weak = weak_from_this();
    const auto guarded = [weak](auto method) {
        return [weak, method](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && !self->finished_) {
                method(*self, arguments...);
            }
        };
    };
    http::ClientConnection::Callbacks hooks;
    hooks.connected = guarded([](BackendAttempt &self) { self.connected_ = true; });
    hooks.head = guarded(
        [](BackendAttempt &self, const http::ResponseHead &head) { self.onResponseHead(head); });
    hooks.body = guarded([](BackendAttempt &self, std::string_view data) {
        self.lastProgressAt_ = self.context_.timers.now();
        self.callbacks_.body(data);
    });
    hooks.end = guarded([](BackendAttempt &self, bool reusable) { self.onResponseEnd(reusable); });
    hooks.invalidMessage = guarded([](BackendAttempt &self, const Failure &failure) {
        self.reportFailure(
            { health::Outcome::Truncated, failure.code, true, failure.detail, false });
    });
    hooks.closed = guarded([](BackendAttempt &self) { self.onConnectionClosed(); });
    hooks.drained = guarded([](BackendAttempt &self) { self.callbacks_.drained(); });
    connection_->setCallbacks(std::move(hooks));
    if (!connection_->isOpen()) {
        context_.timers.post(guarded([](BackendAttempt &self) { self.onConnectionClosed(); }));
        return;
    }
    connection_->sendHead(request.method, request.target, request.headers, request.framing,
                          request.contentLength);
}

void BackendAttempt::sendBody(std::string_view data)
{
    if (!finished_) {
        connection_->sendBody(data);
    }
}

void BackendAttempt::endBody()
{
    if (finished_) {
        return;
    }
    connection_->endRequest();
    requestSent_ = true;
    requestSentAt_ = context_.timers.now();
    scheduleOverdueCheck(slot_.overdueThreshold);
}

bool BackendAttempt::isOutputFull() const
{
    return !finished_ && connection_->isOutputFull();
}

void BackendAttempt::pauseReading()
{
    if (!finished_) {
        readingPaused_ = true;
        connection_->pauseReading();
    }
}

void BackendAttempt::resumeReading()
{
    if (!finished_) {
        readingPaused_ = false;
        lastProgressAt_ = context_.timers.now();
        connection_->resumeReading();
    }
}

bool BackendAttempt::mayHaveSent() const
{
    return finished_ || connection_->mayHaveSentRequest();
}

Duration BackendAttempt::responseLatency() const
{
    const Instant end = headReceived_ ? headReceivedAt_ : context_.timers.now();
    return std::max<Duration>(end - (requestSent_ ? requestSentAt_ : startedAt_), Duration(1));
}

void BackendAttempt::cancel()
{
    if (finished_) {
        return;
    }
    finished_ = true;
    overdueTimer_ = TimerHandle();
    discardConnection();
}

// Destroys the connection later, because the call may come from one of its own callbacks.
void BackendAttempt::discardConnection()
{
    const std::shared_ptr<http::ClientConnection> connection = std::move(connection_);
    connection->close();
    context_.timers.post([connection] {});
}

void BackendAttempt::onResponseHead(const http::ResponseHead &head)
{
    headReceived_ = true;
    headReceivedAt_ = context_.timers.now();
    lastProgressAt_ = headReceivedAt_;
    scheduleStallCheck();
    const std::string *echoed = head.headers.find("x-request-id");
    if (echoed != nullptr && *echoed != request_.requestId) {
        reportFailure({ health::Outcome::ServerError, ResultCode::BackendCrossed, true,
                        slot_.address, false });
        return;
    }
    callbacks_.head(head);
}

void BackendAttempt::onResponseEnd(bool reusable)
{
    finished_ = true;
    overdueTimer_ = TimerHandle();
    // If the server responds before it has read the whole request, the state of the connection is
    // undefined and it is not reused.
    if (reusable && requestSent_) {
        connectionPool_.release(slot_.address, std::move(connection_), slot_.maxIdleConnections);
    } else {
        discardConnection();
    }
    const auto end = callbacks_.end;
    end();
}

void BackendAttempt::reportFailure(AttemptFailure failure)
{
    failure.mayHaveRun = connection_->mayHaveSentRequest();
    finished_ = true;
    overdueTimer_ = TimerHandle();
    discardConnection();
    const auto failed = callbacks_.failed;
    failed(failure);
}

void BackendAttempt::onConnectionClosed()
{
    if (!connected_) {
        reportFailure({ health::Outcome::ConnectFailed, ResultCode::BackendConnectFailed, false,
                        slot_.address, false });
        return;
    }
    if (headReceived_) {
        reportFailure({ health::Outcome::Truncated, ResultCode::BackendTruncated, true,
                        slot_.address, false });
        return;
    }
    if (!connection_->mayHaveSentRequest()) {
        reportFailure({ health::Outcome::NotSent, ResultCode::BackendConnectFailed, false,
                        slot_.address, false });
        return;
    }
    reportFailure(
        { health::Outcome::ConnectionLost, ResultCode::BackendFailed, true, slot_.address, false });
}

void BackendAttempt::scheduleOverdueCheck(Duration after)
{
    const std::weak_ptr<BackendAttempt> weak = weak_from_this();
    const Duration waited = context_.timers.now() - requestSentAt_;
    overdueTimer_ = context_.timers.runAfter(after - waited, [weak, after] {
        const auto self = weak.lock();
        if (self && !self->finished_ && !self->headReceived_) {
            self->handleOverdue(after);
        }
    });
}

// Reports a response body that stalls, unless reading is paused because the caller reads slowly.
void BackendAttempt::scheduleStallCheck()
{
    const std::weak_ptr<BackendAttempt> weak = weak_from_this();
    const Duration period = std::max<Duration>(slot_.overdueThreshold, MinResponseTimeout);
    overdueTimer_ = context_.timers.runAfter(period, [weak, period] {
        const auto self = weak.lock();
        if (!self || self->finished_) {
            return;
        }
        const Duration stallTime = self->context_.timers.now() - self->lastProgressAt_;
        if (stallTime >= period && !self->readingPaused_) {
            self->dispatch_.reportOverdue(self->slot_, stallTime);
        }
        self->scheduleStallCheck();
    });
}

void BackendAttempt::handleOverdue(Duration waited)
{
    const Duration responseTimeout =
        std::max<Duration>(slot_.overdueThreshold * ResponseTimeoutFactor, MinResponseTimeout);
    const bool considerLost =
        reused_ && request_.idempotent && request_.bodyBuffered && waited >= responseTimeout;
    if (considerLost) {
        logEvent(Event::ConnectionSilent, { { "server", slot_.address } });
        // The other idle connections may be lost as well, so later requests open new ones.
        connectionPool_.closeIdle(slot_.address);
        AttemptFailure failure { health::Outcome::Cancelled, ResultCode::BackendTimeout, true,
                                 slot_.address, true };
        reportFailure(std::move(failure));
        return;
    }
    dispatch_.reportOverdue(slot_, waited);
    scheduleOverdueCheck(waited * OverdueBackoffFactor);
}

} // namespace daisyhaven::entry

#include "gateway/internal/backendcall.h"

#include "gateway/internal/reachabilitymonitor.h"
#include "gateway/internal/serverstatements.h"

#include <charconv>

namespace daisyhaven::gateway {

namespace {

// Covers several round trips between availability zones. TCP retransmits a lost SYN after
// one second at the earliest.
constexpr Milliseconds ConnectTimeout { 150 };
// Responses up to this size are buffered completely before they are forwarded.
constexpr std::size_t MaxBufferedResponseBytes = 128UL * 1024;
// A connection that was idle for longer may have been closed by the server or dropped by the
// network in the meantime.
constexpr Milliseconds MaxIdleTimeIdempotent { 8000 };
constexpr Milliseconds MaxIdleTimeNonIdempotent { 8000 };
constexpr Seconds DefaultKeepAlive { 9 };
constexpr Milliseconds KeepAliveMargin { 600 };

// Parses the timeout of a Keep-Alive header such as "timeout=5, max=100".
std::optional<Seconds> parseKeepAliveTimeout(const http::Headers &headers)
{
    const std::string *field = headers.find("keep-alive");
    if (field == nullptr) {
        return std::nullopt;
    }
    constexpr std::string_view Name = "timeout=";
    const std::size_t start = field->find(Name);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *begin = field->data() + start + Name.size();
    const auto parsed = std::from_chars(begin, field->data() + field->size(), seconds);
    return parsed.ec == std::errc() ? std::optional<Seconds>(seconds) : std::nullopt;
}

} // namespace

Duration maxIdleTime(bool idempotent)
{
    return idempotent ? MaxIdleTimeIdempotent : MaxIdleTimeNonIdempotent;
}

BackendCall::BackendCall(const GatewayContext &context, Slot slot)
    : context_(context), slot_(std::move(slot)), startedAt_(context.now()),
      headReceivedAt_(startedAt_)
{
}

http::ClientConnection::Callbacks BackendCall::makeConnectionCallbacks()
{
    const std::weak_ptr<BackendCall> weak = weak_from_this();
    const auto guarded = [weak](auto method) {
        return [weak, method](auto &&...arguments) {
            const auto self = weak.lock();
            if (self && !self->finished_) {
                method(*self, arguments...);
            }
        };
    };
    http::ClientConnection::Callbacks callbacks;
    callbacks.connected = guarded([](BackendCall &self) {
        self.connected_ = true;
        self.connectTimer_ = TimerHandle();
        if (!self.goesToRelay()) {
            self.context_.reachability.recordConnection(self.request_.service);
        }
    });
    callbacks.belongsToCurrentRequest = [weak](const http::ResponseHead &head) {
        const auto self = weak.lock();
        if (!self || self->request_.requestId.empty()) {
            return true;
        }
        const std::string *echoed = head.headers.find(self->context_.options.headers.requestId);
        return echoed != nullptr && *echoed == self->request_.requestId;
    };
    callbacks.head =
        guarded([](BackendCall &self, const http::ResponseHead &head) { self.onHead(head); });
    callbacks.body = guarded([](BackendCall &self, std::string_view data) { self.onBody(data); });
    callbacks.end = guarded([](BackendCall &self, bool reusable) { self.onEnd(reusable); });
    callbacks.invalidMessage = guarded([](BackendCall &self, const Failure &failure) {
        self.reportFailure(
            { scheduler::Outcome::MalformedResponse, failure.code, true, failure.detail });
    });
    callbacks.closed = guarded([](BackendCall &self) { self.onConnectionClosed(); });
    callbacks.drained = guarded([](BackendCall &self) { self.callbacks_.onDrained(); });
    return callbacks;
}

void BackendCall::countZone() const
{
    const scheduler::ServerInfo *server = context_.slots.findServer(slot_.server);
    if (server != nullptr && server->zone != context_.options.zone) {
        context_.metrics.addToCounter("daisyhaven_other_zone_requests_total",
                                      { { "service", server->service } });
    }
}

void BackendCall::start(CallRequest request, CallCallbacks callbacks)
{
    request_ = std::move(request);
    callbacks_ = std::move(callbacks);
    countZone();
    PooledConnection pooled =
        context_.pool.acquire(slot_.server, slot_.address, maxIdleTime(request_.idempotent));
    connection_ = std::move(pooled.connection);
    reused_ = pooled.reused;
    connected_ = reused_;
    connection_->setCallbacks(makeConnectionCallbacks());
    const std::weak_ptr<BackendCall> weak = weak_from_this();
    if (!connection_->isOpen()) {
        context_.timers.post([weak] {
            const auto self = weak.lock();
            if (self && !self->finished_) {
                self->onConnectionClosed();
            }
        });
        return;
    }
    if (!connected_) {
        context_.metrics.addToCounter("daisyhaven_server_connections_total", {});
        connectTimer_ = context_.timers.runAfter(ConnectTimeout, [weak] {
            const auto self = weak.lock();
            // The `connected` callback runs after the first bytes have been sent.
            const bool waiting = self && !self->finished_ && !self->connected_;
            if (waiting && !self->connection_->mayHaveSentRequest()) {
                self->reportFailure({ scheduler::Outcome::ConnectTimeout,
                                      ResultCode::BackendConnectFailed, false,
                                      "connect timeout expired" });
            }
        });
    }
    connection_->sendHead(request_.method, request_.target, request_.headers, request_.framing,
                          request_.contentLength);
}

void BackendCall::sendBody(std::string_view data)
{
    if (!finished_) {
        connection_->sendBody(data);
    }
}

void BackendCall::endBody()
{
    if (finished_) {
        return;
    }
    bodyEnded_ = true;
    connection_->endRequest();
    if (goesToRelay()) {
        return;
    }
    const std::weak_ptr<BackendCall> weak = weak_from_this();
    silenceTimer_ =
        context_.timers.runAfter(context_.reachability.suspiciousSilence(request_.service), [weak] {
            const auto self = weak.lock();
            if (self && !self->finished_ && !self->hasHead_) {
                self->callbacks_.onSilent();
            }
        });
}

bool BackendCall::outputFull() const
{
    return !finished_ && connection_->isOutputFull();
}

std::size_t BackendCall::pendingOutput() const
{
    return finished_ ? 0 : connection_->pendingOutput();
}

void BackendCall::pauseReading()
{
    if (!finished_) {
        connection_->pauseReading();
    }
}

void BackendCall::resumeReading()
{
    if (!finished_) {
        connection_->resumeReading();
    }
}

ExecutionStatus BackendCall::executionStatus() const
{
    const bool sent = finished_ ? mayHaveBeenSent_ : connection_->mayHaveSentRequest();
    return sent && !notExecuted_ ? ExecutionStatus::MayHaveExecuted : ExecutionStatus::NotExecuted;
}

Duration BackendCall::latency() const
{
    const Instant end = hasHead_ ? headReceivedAt_ : context_.now();
    return std::max<Duration>(end - startedAt_, Duration(1));
}

void BackendCall::cancel()
{
    if (!finished_) {
        markFinished();
        discardConnection();
    }
}

void BackendCall::markFinished()
{
    finished_ = true;
    mayHaveBeenSent_ = hasHead_ || connection_->mayHaveSentRequest();
}

// Destroys the connection outside its own callbacks.
void BackendCall::discardConnection()
{
    connectTimer_ = TimerHandle();
    silenceTimer_ = TimerHandle();
    const std::shared_ptr<http::ClientConnection> connection = std::move(connection_);
    connection->close();
    context_.timers.post([connection] {});
}

void BackendCall::onHead(const http::ResponseHead &head)
{
    hasHead_ = true;
    headReceivedAt_ = context_.now();
    head_ = head;
    silenceTimer_ = TimerHandle();
    if (goesToRelay()) {
        return;
    }
    context_.reachability.recordResponse(request_.service, latency());
    readStatement();
}

void BackendCall::readStatement()
{
    if (head_.status == MisdirectedRequestStatus) {
        return;
    }
    const ParsedStatement parsed = parseStatement(head_, context_.options.headers);
    for (const std::string &header : parsed.ignoredHeaders) {
        context_.metrics.addToCounter("daisyhaven_statements_ignored_total",
                                      { { "header", header } });
        logEvent(Event::ServerStatementIgnored,
                 { { "server", slot_.server }, { "header", header } });
    }
    statement_ = parsed.statement;
    context_.slots.recordStatement(slot_, *statement_);
}

void BackendCall::onBody(std::string_view data)
{
    if (streaming_) {
        callbacks_.onStreamBody(data);
        return;
    }
    body_.append(data);
    if (body_.size() > MaxBufferedResponseBytes) {
        streaming_ = true;
        const std::string body = std::move(body_);
        body_.clear();
        callbacks_.onStreamHead(head_, body);
    }
}

Duration BackendCall::idleLifetime() const
{
    const auto announced = parseKeepAliveTimeout(head_.headers);
    const Duration allowed = announced ? Duration(*announced) : Duration(DefaultKeepAlive);
    return std::max<Duration>(allowed - KeepAliveMargin, Duration(0));
}

void BackendCall::onEnd(bool reusable)
{
    markFinished();
    // If the server responds before it has read the whole request, the state of the connection is
    // undefined and the connection is not reused.
    if (reusable && bodyEnded_) {
        context_.pool.release(slot_.server, std::move(connection_), idleLifetime());
    } else {
        discardConnection();
    }
    if (streaming_) {
        callbacks_.onStreamEnd();
    } else {
        callbacks_.onResponse(head_, body_);
    }
}

void BackendCall::onConnectionClosed()
{
    if (!connected_ && !connection_->mayHaveSentRequest()) {
        reportFailure({ scheduler::Outcome::ConnectRefused, ResultCode::BackendConnectFailed, false,
                        "connection refused" });
        return;
    }
    if (hasHead_) {
        reportFailure({ scheduler::Outcome::MalformedResponse, ResultCode::BackendTruncated, true,
                        "connection closed before the end of the response" });
        return;
    }
    const bool sent = connection_->mayHaveSentRequest();
    reportFailure({ sent ? scheduler::Outcome::ConnectionLost : scheduler::Outcome::NotSent,
                    ResultCode::BackendFailed, sent,
                    reused_ ? "reused connection closed before the response"
                            : "connection closed before the response" });
}

void BackendCall::reportFailure(const CallFailure &failure)
{
    CallFailure result = failure;
    result.mayHaveRun = connection_->mayHaveSentRequest();
    if (reused_) {
        context_.pool.closeIdle(slot_.server);
    }
    markFinished();
    discardConnection();
    callbacks_.onFailed(result);
}

} // namespace daisyhaven::gateway

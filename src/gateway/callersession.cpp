#include "gateway/internal/callersession.h"

#include <algorithm>
#include <utility>

namespace daisyhaven::gateway {

void CallerSession::open(event_base *base, int socket, http::ClientAccount account)
{
    http::ServerConnection::Callbacks callbacks;
    callbacks.head = [this](http::RequestHead head) { startExchange(std::move(head)); };
    callbacks.body = [this](std::string_view data) {
        if (const auto exchange = exchange_) {
            exchange->onBodyData(data);
        }
    };
    callbacks.end = [this] {
        if (const auto exchange = exchange_) {
            exchange->onBodyEnd();
        }
    };
    callbacks.invalidMessage = [this](const Failure &failure) { rejectInvalid(failure); };
    callbacks.closed = [this] { onClosed(); };
    callbacks.drained = [this] {
        if (const auto exchange = exchange_) {
            exchange->onSinkDrained();
        }
    };
    callbacks.refuse = [this] {
        const auto exchange = exchange_;
        return exchange && exchange->refuseForMemory();
    };
    callbacks.heldBytes = [this] { return exchange_ ? exchange_->heldBytes() : 0; };
    connection_ =
        std::make_unique<http::ServerConnection>(base, socket, std::move(callbacks), account);
}

Duration CallerSession::idleTime(Instant now)
{
    if (connection_->hasPendingOutput()) {
        outputPendingAt_ = now;
    }
    return now - std::max(connection_->lastReceived(), outputPendingAt_);
}

void CallerSession::sendHead(int status, const http::Headers &headers, http::Framing framing,
                             std::uint64_t length)
{
    if (owner_.isStopping()) {
        connection_->closeAfterResponse();
    }
    connection_->sendHead(status, headers, framing, length);
}

void CallerSession::startExchange(http::RequestHead head)
{
    exchange_ = std::make_shared<Exchange>(owner_.context(), this, std::move(head), origin_);
    const auto exchange = exchange_;
    const std::weak_ptr<CallerSession> weak = weak_from_this();
    const auto finished = [weak] {
        if (const auto self = weak.lock()) {
            self->exchangeFinished();
        }
    };
    if (origin_ == RequestOrigin::OtherVm && !owner_.mayRelay()) {
        exchange->refuseRelayed("this VM is stopping or relays too many requests", finished);
        return;
    }
    if (!owner_.mayStartRequests()) {
        exchange->refuseAtShutdown(finished);
        return;
    }
    exchange->start(finished);
}

void CallerSession::exchangeFinished()
{
    exchange_.reset();
    // Reading may still be paused by the body of the previous request.
    connection_->resumeReading();
    if (callerDisconnected_) {
        callerDisconnected_ = false;
        owner_.removeSession(id_);
    }
}

void CallerSession::rejectInvalid(const Failure &failure)
{
    connection_->closeAfterResponse();
    if (const auto exchange = exchange_) {
        exchange->onInvalidMessage(failure);
        return;
    }
    http::RequestHead head;
    head.method = "GET";
    const auto exchange =
        std::make_shared<Exchange>(owner_.context(), this, std::move(head), origin_);
    exchange_ = exchange;
    const std::weak_ptr<CallerSession> weak = weak_from_this();
    exchange->rejectUnparsed(failure, [weak] {
        if (const auto self = weak.lock()) {
            self->exchangeFinished();
        }
    });
}

void CallerSession::onClosed()
{
    if (const auto exchange = exchange_) {
        callerDisconnected_ = true;
        exchange->onCallerDisconnected();
        return;
    }
    owner_.removeSession(id_);
}

} // namespace daisyhaven::gateway

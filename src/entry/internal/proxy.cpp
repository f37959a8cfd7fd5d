#include "entry/internal/proxy.h"

#include "entry/internal/exchange.h"

namespace daisyhaven::entry {

// A caller's connection, with its current request.
class CallerSession : public http::ResponseSink, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(Proxy &proxy, std::uint64_t id) : proxy_(proxy), id_(id) { }

    void open(int socket)
    {
        http::ServerConnection::Callbacks callbacks;
        callbacks.head = [this](http::RequestHead head) { startExchange(std::move(head)); };
        callbacks.body = [this](std::string_view data) {
            if (const auto exchange = exchange_) {
                exchange->onBody(data);
            }
        };
        callbacks.end = [this] {
            if (const auto exchange = exchange_) {
                exchange->onBodyEnd();
            }
        };
        callbacks.invalidMessage = [this](const Failure &failure) {
            rejectInvalidRequest(failure);
        };
        callbacks.closed = [this] { onConnectionClosed(); };
        callbacks.drained = [this] {
            if (const auto exchange = exchange_) {
                exchange->onSinkDrained();
            }
        };
        connection_ = std::make_unique<http::ServerConnection>(
            proxy_.dependencies_.context.eventBase, socket, std::move(callbacks));
    }

    bool isBusy() const
    {
        return exchange_ != nullptr || callerDisconnected_ || connection_->hasPendingOutput();
    }

    // Returns the request in progress, or nullptr.
    std::shared_ptr<Exchange> exchange() const { return exchange_; }
    void closeForExit() { connection_->closeForExit(); }

    void sendHead(int status, const http::Headers &headers, http::Framing framing,
                  std::uint64_t length) override
    {
        if (proxy_.draining_) {
            connection_->closeAfterResponse();
        }
        connection_->sendHead(status, headers, framing, length);
    }
    void sendBody(std::string_view data) override { connection_->sendBody(data); }
    void endResponse() override { connection_->endResponse(); }
    void abortResponse() override { connection_->abort(); }
    void sendContinue() override { connection_->sendContinue(); }
    void pauseBody() override { connection_->pauseReading(); }
    void resumeBody() override { connection_->resumeReading(); }
    bool isOutputFull() const override { return connection_->isOutputFull(); }

private:
    void startExchange(http::RequestHead head)
    {
        exchange_ = std::make_shared<Exchange>(proxy_.dependencies_, this, std::move(head));
        const auto exchange = exchange_;
        const std::weak_ptr<CallerSession> weak = weak_from_this();
        exchange->start(proxy_.draining_, [weak] {
            if (const auto self = weak.lock()) {
                self->onExchangeFinished();
            }
        });
    }

    void onExchangeFinished()
    {
        const auto exchange = std::move(exchange_);
        exchange_.reset();
        // Reading may still be paused by flow control of the previous request's body.
        connection_->resumeReading();
        if (callerDisconnected_) {
            callerDisconnected_ = false;
            proxy_.removeSession(id_);
            return;
        }
        Proxy &proxy = proxy_;
        // Keeps the exchange alive until its currently running member function has returned.
        proxy.dependencies_.context.timers.post([&proxy, exchange] { proxy.finishDrainIfIdle(); });
    }

    void rejectInvalidRequest(const Failure &failure)
    {
        connection_->closeAfterResponse();
        if (const auto exchange = exchange_) {
            exchange->onInvalidRequest(failure);
            return;
        }
        http::RequestHead head;
        head.method = "GET";
        exchange_ = std::make_shared<Exchange>(proxy_.dependencies_, this, std::move(head));
        const auto exchange = exchange_;
        const std::weak_ptr<CallerSession> weak = weak_from_this();
        exchange->rejectMalformed(failure, [weak] {
            if (const auto self = weak.lock()) {
                self->onExchangeFinished();
            }
        });
    }

    void onConnectionClosed()
    {
        if (const auto exchange = exchange_) {
            callerDisconnected_ = true;
            exchange->onCallerDisconnected();
            return;
        }
        proxy_.removeSession(id_);
    }

    Proxy &proxy_;
    std::uint64_t id_;
    bool callerDisconnected_ =
        false; // the caller has disconnected, but its request is still active
    std::shared_ptr<Exchange> exchange_;
    std::unique_ptr<http::ServerConnection> connection_;
};

Proxy::Proxy(ProxyDependencies dependencies) : dependencies_(dependencies) { }
Proxy::~Proxy() = default;

Result<void> Proxy::listen()
{
    BOOST_LEAF_ASSIGN(listener_,
                      http::Listener::open(dependencies_.context.eventBase,
                                           *dependencies_.context.settings.callerAddress,
                                           [this](int socket) { accept(socket); }));
    return {};
}

void Proxy::accept(int socket)
{
    const std::uint64_t id = ++lastSessionId_;
    const auto session = std::make_shared<CallerSession>(*this, id);
    sessions_[id] = session;
    session->open(socket);
}

void Proxy::removeSession(std::uint64_t id)
{
    auto node = sessions_.extract(id);
    if (node.empty()) {
        return;
    }
    // Destroys the session later, because the call may come from a callback of its connection.
    dependencies_.context.timers.post([this, session = node.mapped()] { finishDrainIfIdle(); });
}

void Proxy::startDrain(std::function<void()> finished)
{
    draining_ = true;
    drainCallback_ = std::move(finished);
    finishDrainIfIdle();
}

// The end of a request may remove its session, so the sessions are copied.
std::vector<std::shared_ptr<CallerSession>> Proxy::openSessions() const
{
    std::vector<std::shared_ptr<CallerSession>> open;
    for (const auto &[id, session] : sessions_) {
        open.push_back(session);
    }
    return open;
}

void Proxy::endWaitingRequests()
{
    for (const auto &session : openSessions()) {
        if (const auto exchange = session->exchange()) {
            exchange->endIfWaiting();
        }
    }
}

void Proxy::endAllRequests()
{
    for (const auto &session : openSessions()) {
        if (const auto exchange = session->exchange()) {
            exchange->endForShutdown();
        }
        session->closeForExit();
    }
}

std::size_t Proxy::activeRequestCount() const
{
    std::size_t count = 0;
    for (const auto &[id, session] : sessions_) {
        count += session->isBusy() ? 1 : 0;
    }
    return count;
}

void Proxy::finishDrainIfIdle()
{
    if (draining_ && drainCallback_ && activeRequestCount() == 0) {
        const auto finished = std::move(drainCallback_);
        drainCallback_ = nullptr;
        finished();
    }
}

} // namespace daisyhaven::entry

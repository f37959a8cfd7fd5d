#include "entry/internal/proxy.h"

#include "entry/internal/exchange.h"

namespace daisyhaven::entry {

// One connection of a caller, with its present request.
class CallerSession : public http::AnswerSink, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(Proxy &proxy, std::uint64_t id) : proxy_(proxy), id_(id) { }

    void open(int socket)
    {
        http::ServerConnection::Callbacks callbacks;
        callbacks.head = [this](http::RequestHead head) { startExchange(std::move(head)); };
        callbacks.body = [this](std::string_view data) {
            if (const auto exchange = exchange_) {
                exchange->body(data);
            }
        };
        callbacks.end = [this] {
            if (const auto exchange = exchange_) {
                exchange->bodyEnd();
            }
        };
        callbacks.invalid = [this](const Failure &failure) { refuseInvalid(failure); };
        callbacks.closed = [this] { closed(); };
        callbacks.drained = [this] {
            if (const auto exchange = exchange_) {
                exchange->sinkDrained();
            }
        };
        connection_ = std::make_unique<http::ServerConnection>(proxy_.parts_.context.base, socket,
                                                               std::move(callbacks));
    }

    bool busy() const
    {
        return exchange_ != nullptr || detached_ || connection_->hasPendingOutput();
    }

    void sendHead(int status, const http::Headers &headers, http::Framing framing,
                  std::uint64_t length) override
    {
        if (proxy_.draining_) {
            connection_->closeAfterAnswer();
        }
        connection_->sendHead(status, headers, framing, length);
    }
    void sendBody(std::string_view data) override { connection_->sendBody(data); }
    void endAnswer() override { connection_->endAnswer(); }
    void abortAnswer() override { connection_->abort(); }
    void sendContinue() override { connection_->sendContinue(); }
    void pauseBody() override { connection_->pauseReading(); }
    void resumeBody() override { connection_->resumeReading(); }
    bool outputFull() const override { return connection_->outputFull(); }

private:
    void startExchange(http::RequestHead head)
    {
        exchange_ = std::make_shared<Exchange>(proxy_.parts_, this, std::move(head));
        const auto exchange = exchange_;
        const std::weak_ptr<CallerSession> weak = weak_from_this();
        exchange->start(proxy_.draining_, [weak] {
            if (const auto self = weak.lock()) {
                self->exchangeFinished();
            }
        });
    }

    void exchangeFinished()
    {
        const auto exchange = std::move(exchange_);
        exchange_.reset();
        // The next request is read even if the last one's body had been held back.
        connection_->resumeReading();
        if (detached_) {
            detached_ = false;
            proxy_.closed(id_);
            return;
        }
        Proxy &proxy = proxy_;
        // Keeps the exchange alive until its present function has returned.
        proxy.parts_.context.timers.post([&proxy, exchange] { proxy.checkDrained(); });
    }

    void refuseInvalid(const Failure &failure)
    {
        connection_->closeAfterAnswer();
        if (const auto exchange = exchange_) {
            exchange->invalid(failure);
            return;
        }
        http::RequestHead head;
        head.method = "GET";
        exchange_ = std::make_shared<Exchange>(proxy_.parts_, this, std::move(head));
        const auto exchange = exchange_;
        const std::weak_ptr<CallerSession> weak = weak_from_this();
        exchange->refuseUnread(failure, [weak] {
            if (const auto self = weak.lock()) {
                self->exchangeFinished();
            }
        });
    }

    void closed()
    {
        if (const auto exchange = exchange_) {
            detached_ = true;
            exchange->callerGone();
            return;
        }
        proxy_.closed(id_);
    }

    Proxy &proxy_;
    std::uint64_t id_;
    bool detached_ = false; // the caller is gone, its request is not
    std::shared_ptr<Exchange> exchange_;
    std::unique_ptr<http::ServerConnection> connection_;
};

Proxy::Proxy(ProxyParts parts) : parts_(parts) { }
Proxy::~Proxy() = default;

Result<void> Proxy::listen()
{
    BOOST_LEAF_ASSIGN(listener_,
                      http::Listener::open(parts_.context.base,
                                           *parts_.context.settings.callerAddress,
                                           [this](int socket) { accept(socket); }));
    return {};
}

void Proxy::accept(int socket)
{
    const std::uint64_t id = ++lastSession_;
    const auto session = std::make_shared<CallerSession>(*this, id);
    sessions_[id] = session;
    session->open(socket);
}

void Proxy::closed(std::uint64_t id)
{
    auto node = sessions_.extract(id);
    if (node.empty()) {
        return;
    }
    // Destroys the connection outside its own callbacks.
    parts_.context.timers.post([this, session = node.mapped()] { checkDrained(); });
}

void Proxy::drain(std::function<void()> finished)
{
    draining_ = true;
    finished_ = std::move(finished);
    checkDrained();
}

std::size_t Proxy::requestsInHand() const
{
    std::size_t count = 0;
    for (const auto &[id, session] : sessions_) {
        count += session->busy() ? 1 : 0;
    }
    return count;
}

void Proxy::checkDrained()
{
    if (draining_ && finished_ && requestsInHand() == 0) {
        const auto finished = std::move(finished_);
        finished_ = nullptr;
        finished();
    }
}

} // namespace daisyhaven::entry

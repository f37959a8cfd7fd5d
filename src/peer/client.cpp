#include "peer/internal/session.h"

#include "observe/observe.h"

#include <event2/bufferevent.h>

#include <sys/socket.h>

namespace daisyhaven::peer {

namespace {

constexpr Milliseconds CheckInterval { 100 };
constexpr Milliseconds PingDelay { 100 };
constexpr Milliseconds UnresponsiveTimeout { 1500 };
constexpr Milliseconds ReconnectDelay { 100 };
constexpr Milliseconds TimerTolerance { 20 };
// TCP retransmits a lost SYN with an exponential delay that starts at 1 s, so a new connection
// attempt succeeds sooner.
constexpr Milliseconds ConnectTimeout { 400 };

} // namespace

// The connection to one address, with its pending calls.
class Connection
{
public:
    Connection(event_base *base, TimerService &timers, const ListeningClock &clock,
               ssl_ctx_st *context, Protection protection, Address address)
        : base_(base), timers_(timers), clock_(clock), context_(context), protection_(protection),
          address_(std::move(address))
    {
        checkTimer_ = timers_.runEvery(CheckInterval, [this] { checkConnection(); });
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection() { session_.reset(); }

    void call(Method method, std::string body, Duration timeout, ClientPool::Callback callback)
    {
        ++internal::mutableTraffic().callsByMethod[method];
        if (!session_ && timers_.now() < reconnectAt_) {
            failAsUnreachable(std::move(callback));
            return;
        }
        if (!session_) {
            connect();
        }
        const std::string path = std::string("/v1/") + methodName(method);
        const std::int32_t streamId =
            session_ ? session_->sendRequest(path, std::move(body)) : std::int32_t { -1 };
        if (streamId < 0) {
            failAsUnreachable(std::move(callback));
            return;
        }
        if (calls_.empty()) {
            pendingSince_ = timers_.now();
        }
        Call &call = calls_[streamId];
        call.callback = std::move(callback);
        call.sentAt = timers_.now();
        call.timeout = timeout;
        startTimeout(streamId, call);
    }

    Duration unresponsiveTime() const
    {
        if (!session_ || calls_.empty()) {
            return Duration(0);
        }
        return clock_.listenedSince(std::max(session_->lastReceived(), pendingSince_));
    }

private:
    struct Call
    {
        ClientPool::Callback callback;
        Instant sentAt;
        Duration timeout { 0 };
        TimerHandle timer;
    };

    Duration remainingTime(const Call &call) const
    {
        return call.timeout - clock_.listenedSince(call.sentAt);
    }

    void startTimeout(std::int32_t streamId, Call &call)
    {
        call.timer =
            timers_.runAfter(remainingTime(call), [this, streamId] { handleTimeout(streamId); });
    }

    void failAsUnreachable(ClientPool::Callback callback)
    {
        timers_.post([callback = std::move(callback), text = address_.toString()] {
            callback(Failure { ResultCode::PeerUnreachable, text });
        });
    }

    void connect()
    {
        bufferevent *connection = internal::makeConnection(base_, -1, context_, protection_);
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        const std::string text = address_.toString();
        evutil_parse_sockaddr_port(text.c_str(), socketAddress, &length);
        if (bufferevent_socket_connect(connection, socketAddress, length) != 0) {
            bufferevent_free(connection);
            reconnectAt_ = timers_.now() + ReconnectDelay;
            return;
        }
        internal::Session::Callbacks callbacks;
        callbacks.message = [this](internal::Message message) { completeCall(std::move(message)); };
        callbacks.closed = [this](const std::string &reason) { close(reason); };
        callbacks.connected = [this] {
            logEvent(Event::PeerConnected, { { "address", address_.toString() } });
        };
        openedAt_ = timers_.now();
        session_ = std::make_unique<internal::Session>(connection, false, protection_,
                                                       std::move(callbacks));
    }

    void completeCall(internal::Message message)
    {
        auto node = calls_.extract(message.streamId);
        if (node.empty()) {
            return;
        }
        const ClientPool::Callback callback = std::move(node.mapped().callback);
        if (message.aborted) {
            callback(Failure { ResultCode::PeerTimeout,
                               "HTTP/2 stream reset by " + address_.toString() });
        } else if (message.resultNumber != 0) {
            callback(Failure { static_cast<ResultCode>(message.resultNumber), message.body });
        } else {
            callback(std::move(message.body));
        }
    }

    void handleTimeout(std::int32_t streamId)
    {
        const auto call = calls_.find(streamId);
        if (call != calls_.end() && remainingTime(call->second) > TimerTolerance) {
            // A reply may have arrived during a long turn of the event loop.
            startTimeout(streamId, call->second);
            return;
        }
        auto node = calls_.extract(streamId);
        if (node.empty()) {
            return;
        }
        // Nothing was received since the call was sent, not even a reply to the pings of
        // checkConnection(), so later calls need a new connection.
        const bool unresponsive = session_ && session_->lastReceived() < node.mapped().sentAt;
        if (unresponsive) {
            logEvent(Event::ConnectionSilent, { { "address", address_.toString() } });
            close("silent");
        } else if (session_) {
            session_->cancelStream(streamId);
        }
        node.mapped().callback(Failure { ResultCode::PeerTimeout, address_.toString() });
    }

    void close(const std::string &reason)
    {
        const bool wasEstablished = session_ && session_->established();
        if (wasEstablished) {
            logEvent(Event::PeerLost, { { "address", address_.toString() }, { "reason", reason } });
        }
        const auto session = std::move(session_);
        session_.reset();
        reconnectAt_ = timers_.now() + ReconnectDelay;
        std::map<std::int32_t, Call> calls;
        calls.swap(calls_);
        const ResultCode code =
            wasEstablished ? ResultCode::PeerTimeout : ResultCode::PeerUnreachable;
        for (auto &[streamId, call] : calls) {
            timers_.post([callback = std::move(call.callback), code, text = address_.toString()] {
                callback(Failure { code, text });
            });
        }
    }

    // Closes the connection if it is not established within ConnectTimeout, or if calls are pending
    // and nothing was received for UnresponsiveTimeout. Sends a ping after PingDelay.
    void checkConnection()
    {
        const bool connectTimedOut =
            session_ && !session_->established() && timers_.now() - openedAt_ > ConnectTimeout;
        if (connectTimedOut) {
            close("connection not established within the connect timeout");
            return;
        }
        if (!session_ || calls_.empty()) {
            return;
        }
        const Duration elapsed = this->unresponsiveTime();
        if (elapsed > UnresponsiveTimeout) {
            logEvent(Event::ConnectionSilent, { { "address", address_.toString() } });
            close("silent");
        } else if (elapsed > PingDelay) {
            session_->sendPing();
        }
    }

    event_base *base_;
    TimerService &timers_;
    const ListeningClock &clock_;
    ssl_ctx_st *context_;
    Protection protection_;
    Address address_;
    Instant reconnectAt_;
    Instant openedAt_;
    Instant pendingSince_;
    TimerHandle checkTimer_;
    std::map<std::int32_t, Call> calls_;
    std::unique_ptr<internal::Session> session_;
};

class ClientPool::Impl
{
public:
    Impl(event_base *base, TimerService &timers, Credentials credentials)
        : base_(base), timers_(timers), clock_(timers), credentials_(std::move(credentials)),
          context_(internal::makeClientContext(credentials_))
    {
    }

    void setLocal(const Address &address, Server &server)
    {
        localAddress_ = address;
        localServer_ = &server;
    }

    // Runs a handler of this process from the event loop. `callback` runs once, with the
    // reply or, after `timeout`, with PeerTimeout.
    void callLocal(Method method, std::string body, Duration timeout, ClientPool::Callback callback)
    {
        struct Pending
        {
            ClientPool::Callback callback;
            TimerHandle timeout;
        };
        auto pending = std::make_shared<Pending>();
        pending->callback = std::move(callback);
        const auto complete = [pending](Reply reply) {
            const auto pendingCallback = std::move(pending->callback);
            pending->callback = nullptr;
            pending->timeout = TimerHandle();
            if (pendingCallback) {
                pendingCallback(std::move(reply));
            }
        };
        timers_.post([this, pending, complete, method, body = std::move(body), timeout]() mutable {
            pending->timeout = timers_.runAfter(timeout, [complete] {
                complete(Failure { ResultCode::PeerTimeout, "local" });
            });
            localServer_->callLocal(method, std::move(body), complete);
        });
    }

    Duration listenedSince(Instant start) const { return clock_.listenedSince(start); }

    Duration unresponsiveTime(const Address &address) const
    {
        const auto found = connections_.find(address);
        return found == connections_.end() ? Duration(0) : found->second->unresponsiveTime();
    }

    bool isLocal(const Address &address) const
    {
        return localServer_ != nullptr && address == localAddress_;
    }

    Connection &connectionTo(const Address &address)
    {
        auto &connection = connections_[address];
        if (!connection) {
            connection = std::make_unique<Connection>(base_, timers_, clock_, context_.get(),
                                                      credentials_.protection, address);
        }
        return *connection;
    }

private:
    event_base *base_;
    TimerService &timers_;
    ListeningClock clock_;
    Credentials credentials_;
    internal::SslContext context_;
    Address localAddress_;
    Server *localServer_ = nullptr;
    std::map<Address, std::unique_ptr<Connection>> connections_;
};

ClientPool::ClientPool(event_base *base, TimerService &timers, Credentials credentials)
    : impl_(std::make_unique<Impl>(base, timers, std::move(credentials)))
{
}

ClientPool::~ClientPool() = default;

void ClientPool::callRaw(const Address &address, Method method, std::string body, Duration timeout,
                         Callback callback)
{
    if (impl_->isLocal(address)) {
        impl_->callLocal(method, std::move(body), timeout, std::move(callback));
        return;
    }
    impl_->connectionTo(address).call(method, std::move(body), timeout, std::move(callback));
}

Duration ClientPool::listenedSince(Instant start) const
{
    return impl_->listenedSince(start);
}

Duration ClientPool::unresponsiveTime(const Address &address) const
{
    return impl_->unresponsiveTime(address);
}

void ClientPool::setLocalServer(const Address &address, Server &server)
{
    impl_->setLocal(address, server);
}

} // namespace daisyhaven::peer

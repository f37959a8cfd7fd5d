#include "peer/internal/session.h"

#include "observe/observe.h"

#include <event2/bufferevent.h>

#include <sys/socket.h>

namespace daisyhaven::peer {

namespace {

constexpr Milliseconds WatchPeriod { 100 };
constexpr Milliseconds PingAfterSilence { 100 };
constexpr Milliseconds CloseAfterSilence { 1500 };
constexpr Milliseconds ReconnectDelay { 100 };
// Opening packets that were lost are sent again ever later: a new connection is quicker.
constexpr Milliseconds ConnectLimit { 400 };

} // namespace

// One connection to one address with its outstanding calls.
class Connection
{
public:
    Connection(event_base *base, TimerService &timers, ssl_ctx_st *context, Protection protection,
               Address address)
        : base_(base), timers_(timers), context_(context), protection_(protection),
          address_(std::move(address))
    {
        watch_ = timers_.every(WatchPeriod, [this] { watch(); });
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection() { session_.reset(); }

    void call(Method method, std::string body, Duration timeout, ClientPool::Callback callback)
    {
        ++internal::mutableTraffic().callsByMethod[method];
        if (!session_ && timers_.now() < reconnectAt_) {
            reject(std::move(callback));
            return;
        }
        if (!session_) {
            open();
        }
        const std::string path = std::string("/v1/") + methodName(method);
        const std::int32_t stream =
            session_ ? session_->request(path, std::move(body)) : std::int32_t { -1 };
        if (stream < 0) {
            reject(std::move(callback));
            return;
        }
        if (calls_.empty()) {
            owesSince_ = timers_.now();
        }
        Call &call = calls_[stream];
        call.callback = std::move(callback);
        call.sentAt = timers_.now();
        call.timeout = timers_.after(timeout, [this, stream] { expire(stream); });
    }

    Duration silence() const
    {
        if (!session_ || calls_.empty()) {
            return Duration(0);
        }
        return timers_.now() - std::max(session_->lastReceived(), owesSince_);
    }

private:
    struct Call
    {
        ClientPool::Callback callback;
        Instant sentAt;
        Subscription timeout;
    };

    void reject(ClientPool::Callback callback)
    {
        timers_.post([callback = std::move(callback), text = address_.text()] {
            callback(Failure { ResultCode::PeerUnreachable, text });
        });
    }

    void open()
    {
        bufferevent *connection = internal::makeConnection(base_, -1, context_, protection_);
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        const std::string text = address_.text();
        evutil_parse_sockaddr_port(text.c_str(), socketAddress, &length);
        if (bufferevent_socket_connect(connection, socketAddress, length) != 0) {
            bufferevent_free(connection);
            reconnectAt_ = timers_.now() + ReconnectDelay;
            return;
        }
        internal::Session::Callbacks callbacks;
        callbacks.message = [this](internal::Message message) { finish(std::move(message)); };
        callbacks.closed = [this](const std::string &reason) { close(reason); };
        callbacks.connected = [this] {
            logEvent(Event::PeerConnected, { { "address", address_.text() } });
        };
        openedAt_ = timers_.now();
        session_ = std::make_unique<internal::Session>(connection, false, protection_,
                                                       std::move(callbacks));
    }

    void finish(internal::Message message)
    {
        auto node = calls_.extract(message.stream);
        if (node.empty()) {
            return;
        }
        const ClientPool::Callback callback = std::move(node.mapped().callback);
        if (message.aborted) {
            callback(Failure { ResultCode::PeerTimeout, "stream reset by " + address_.text() });
        } else if (message.resultNumber != 0) {
            callback(Failure { static_cast<ResultCode>(message.resultNumber), message.body });
        } else {
            callback(std::move(message.body));
        }
    }

    void expire(std::int32_t stream)
    {
        auto node = calls_.extract(stream);
        if (node.empty()) {
            return;
        }
        // Not even the probes of watch() were answered since: the next call needs a new connection.
        const bool dead = session_ && session_->lastReceived() < node.mapped().sentAt;
        if (dead) {
            logEvent(Event::ConnectionSilent, { { "address", address_.text() } });
            close("silent");
        } else if (session_) {
            session_->cancel(stream);
        }
        node.mapped().callback(Failure { ResultCode::PeerTimeout, address_.text() });
    }

    void close(const std::string &reason)
    {
        const bool wasEstablished = session_ && session_->established();
        if (wasEstablished) {
            logEvent(Event::PeerLost, { { "address", address_.text() }, { "reason", reason } });
        }
        const auto session = std::move(session_);
        session_.reset();
        reconnectAt_ = timers_.now() + ReconnectDelay;
        std::map<std::int32_t, Call> calls;
        calls.swap(calls_);
        const ResultCode code =
            wasEstablished ? ResultCode::PeerTimeout : ResultCode::PeerUnreachable;
        for (auto &[stream, call] : calls) {
            timers_.post([callback = std::move(call.callback), code, text = address_.text()] {
                callback(Failure { code, text });
            });
        }
    }

    // Closes the connection if something is due and nothing was received for too long.
    void watch()
    {
        const bool stuck =
            session_ && !session_->established() && timers_.now() - openedAt_ > ConnectLimit;
        if (stuck) {
            close("no connection in time");
            return;
        }
        if (!session_ || calls_.empty()) {
            return;
        }
        const Duration silence = this->silence();
        if (silence > CloseAfterSilence) {
            logEvent(Event::ConnectionSilent, { { "address", address_.text() } });
            close("silent");
        } else if (silence > PingAfterSilence) {
            session_->ping();
        }
    }

    event_base *base_;
    TimerService &timers_;
    ssl_ctx_st *context_;
    Protection protection_;
    Address address_;
    Instant reconnectAt_;
    Instant openedAt_;
    Instant owesSince_;
    Subscription watch_;
    std::map<std::int32_t, Call> calls_;
    std::unique_ptr<internal::Session> session_;
};

class ClientPool::Impl
{
public:
    Impl(event_base *base, TimerService &timers, Credentials credentials)
        : base_(base), timers_(timers), credentials_(std::move(credentials)),
          context_(internal::makeClientContext(credentials_))
    {
    }

    void setLocal(const Address &address, Server &server)
    {
        localAddress_ = address;
        local_ = &server;
    }

    // Calls a handler of this process from the event loop; the answer comes once or the call
    // expires.
    void callLocal(Method method, std::string body, Duration timeout, ClientPool::Callback callback)
    {
        struct Pending
        {
            ClientPool::Callback callback;
            Subscription timeout;
        };
        auto pending = std::make_shared<Pending>();
        pending->callback = std::move(callback);
        const auto finish = [pending](Reply reply) {
            const auto once = std::move(pending->callback);
            pending->callback = nullptr;
            pending->timeout = Subscription();
            if (once) {
                once(std::move(reply));
            }
        };
        timers_.post([this, pending, finish, method, body = std::move(body), timeout]() mutable {
            pending->timeout = timers_.after(timeout, [finish] {
                finish(Failure { ResultCode::PeerTimeout, "local" });
            });
            local_->callLocal(method, std::move(body), finish);
        });
    }

    Duration silence(const Address &address) const
    {
        const auto found = connections_.find(address);
        return found == connections_.end() ? Duration(0) : found->second->silence();
    }

    bool isLocal(const Address &address) const
    {
        return local_ != nullptr && address == localAddress_;
    }

    Connection &to(const Address &address)
    {
        auto &connection = connections_[address];
        if (!connection) {
            connection = std::make_unique<Connection>(base_, timers_, context_.get(),
                                                      credentials_.protection, address);
        }
        return *connection;
    }

private:
    event_base *base_;
    TimerService &timers_;
    Credentials credentials_;
    internal::SslContext context_;
    Address localAddress_;
    Server *local_ = nullptr;
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
    impl_->to(address).call(method, std::move(body), timeout, std::move(callback));
}

Duration ClientPool::silence(const Address &address) const
{
    return impl_->silence(address);
}

void ClientPool::setLocal(const Address &address, Server &server)
{
    impl_->setLocal(address, server);
}

} // namespace daisyhaven::peer

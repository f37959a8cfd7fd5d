#include "peer/internal/session.h"

#include "observe/observe.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace daisyhaven::peer {

namespace {

constexpr std::string_view PathPrefix = "/v1/";
constexpr std::string_view VmPrefix = "vm:";
constexpr int ListenBacklog = 512;

Caller callerFromIdentity(std::string_view identity)
{
    const bool isVm = identity.substr(0, VmPrefix.size()) == VmPrefix;
    const std::size_t colon = identity.find(':');
    return { isVm ? Role::Vm : Role::Operator, std::string(identity.substr(colon + 1)) };
}

} // namespace

class Server::Impl
{
public:
    Impl(event_base *base, Credentials credentials)
        : base_(base), credentials_(std::move(credentials)),
          context_(internal::makeServerContext(credentials_))
    {
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    ~Impl()
    {
        *alive_ = false;
        sessions_.clear();
        if (listener_ != nullptr) {
            evconnlistener_free(listener_);
        }
    }

    Result<void> listen(const Address &address)
    {
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        const std::string text = address.toString();
        if (evutil_parse_sockaddr_port(text.c_str(), socketAddress, &length) != 0) {
            return fail(ResultCode::SettingsInvalid,
                        "not an IP address with a port number: " + text);
        }
        listener_ = evconnlistener_new_bind(base_, &Impl::onAccepted, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE
                                                | LEV_OPT_CLOSE_ON_EXEC,
                                            ListenBacklog, socketAddress, length);
        if (listener_ == nullptr) {
            return fail(ResultCode::SettingsInvalid, "cannot listen on " + text);
        }
        return {};
    }

    void handle(Method method, Role role, Handler handler)
    {
        handlers_[methodName(method)] = { role, std::move(handler) };
    }

    void callLocal(Method method, std::string body, Responder respond)
    {
        const auto entry = handlers_.find(methodName(method));
        if (entry == handlers_.end()) {
            respond(Failure { ResultCode::PeerProtocol, "no handler for the method" });
            return;
        }
        const Caller thisProcess { credentials_.role, credentials_.name };
        entry->second.handler(thisProcess, std::move(body), std::move(respond));
    }

    std::size_t unsentBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[id, session] : sessions_) {
            bytes += session->unsentBytes();
        }
        return bytes;
    }

    std::size_t connectionCount() const { return sessions_.size(); }

private:
    struct HandlerEntry
    {
        Role role = Role::Vm;
        Handler handler;
    };

    static void onAccepted(evconnlistener * /*listener*/, evutil_socket_t socket,
                           sockaddr * /*address*/, int /*length*/, void *user)
    {
        static_cast<Impl *>(user)->openSession(socket);
    }

    void openSession(evutil_socket_t socket)
    {
        bufferevent *connection =
            internal::makeConnection(base_, socket, context_.get(), credentials_.protection);
        if (connection == nullptr) {
            evutil_closesocket(socket);
            return;
        }
        const std::uint64_t id = ++lastSessionId_;
        internal::Session::Callbacks callbacks;
        callbacks.message = [this, id](internal::Message message) {
            dispatch(id, std::move(message));
        };
        callbacks.closed = [this, id](const std::string &) { sessions_.erase(id); };
        sessions_[id] = std::make_unique<internal::Session>(
            connection, true, credentials_.protection, std::move(callbacks));
    }

    void dispatch(std::uint64_t id, internal::Message message)
    {
        if (message.aborted) {
            return;
        }
        internal::Session &session = *sessions_.at(id);
        const Responder respond = makeResponder(id, message.streamId);
        const Caller caller = callerFromIdentity(session.identity());
        const std::string_view path = message.path;
        if (path.substr(0, PathPrefix.size()) != PathPrefix) {
            rejectCall(caller, respond, ResultCode::PeerProtocol,
                       "unknown protocol version " + message.path);
            return;
        }
        const auto entry = handlers_.find(std::string(path.substr(PathPrefix.size())));
        if (entry == handlers_.end()) {
            rejectCall(caller, respond, ResultCode::PeerProtocol, "unknown method " + message.path);
            return;
        }
        if (entry->second.role != caller.role) {
            rejectCall(caller, respond, ResultCode::PeerUnauthorized,
                       "method not allowed for the role of the caller: " + message.path);
            return;
        }
        entry->second.handler(caller, std::move(message.body), respond);
    }

    static void rejectCall(const Caller &caller, const Responder &respond, ResultCode code,
                           const std::string &detail)
    {
        logEvent(Event::PeerRejected, { { "peer", caller.name }, { "detail", detail } });
        respond(Failure { code, detail });
    }

    Responder makeResponder(std::uint64_t id, std::int32_t streamId)
    {
        const std::weak_ptr<bool> alive = alive_;
        return [this, alive, id, streamId](const Reply &reply) {
            const auto serverAlive = alive.lock();
            if (!serverAlive || !*serverAlive) {
                return;
            }
            const auto session = sessions_.find(id);
            if (session != sessions_.end()) {
                session->second->respond(streamId, reply);
            }
        };
    }

    event_base *base_;
    Credentials credentials_;
    internal::SslContext context_;
    evconnlistener *listener_ = nullptr;
    std::uint64_t lastSessionId_ = 0;
    std::map<std::uint64_t, std::unique_ptr<internal::Session>> sessions_;
    std::map<std::string, HandlerEntry, std::less<>> handlers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Server::Server(event_base *base, Credentials credentials)
    : impl_(std::make_unique<Impl>(base, std::move(credentials)))
{
}

Server::~Server() = default;

Result<void> Server::listen(const Address &address)
{
    return impl_->listen(address);
}

std::size_t Server::unsentBytes() const
{
    return impl_->unsentBytes();
}

std::size_t Server::connectionCount() const
{
    return impl_->connectionCount();
}

void Server::registerHandler(Method method, Role role, Handler handler)
{
    impl_->handle(method, role, std::move(handler));
}

void Server::callLocal(Method method, std::string body, Responder respond)
{
    impl_->callLocal(method, std::move(body), std::move(respond));
}

} // namespace daisyhaven::peer

#include "http/http.h"

#include <event2/listener.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <utility>

namespace daisyhaven::http {

namespace {

constexpr int ListenBacklog = 1024;

} // namespace

class Listener::Impl
{
public:
    Impl(AcceptCallback accept, ClientAccount account)
        : acceptCallback_(std::move(accept)), account_(account)
    {
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl()
    {
        if (account_.budget != nullptr) {
            account_.budget->onRoom(account_.group, nullptr);
        }
        if (listener_ != nullptr) {
            evconnlistener_free(listener_);
        }
    }

    bool bind(event_base *base, const sockaddr *address, int length)
    {
        listener_ = evconnlistener_new_bind(base, &Impl::onAccepted, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE
                                                | LEV_OPT_CLOSE_ON_EXEC,
                                            ListenBacklog, address, length);
        if (listener_ != nullptr && account_.budget != nullptr) {
            account_.budget->onRoom(account_.group, [this] { evconnlistener_enable(listener_); });
        }
        return listener_ != nullptr;
    }

private:
    static void onAccepted(evconnlistener *listener, evutil_socket_t socket, sockaddr * /*address*/,
                           int /*length*/, void *user)
    {
        auto &self = *static_cast<Impl *>(user);
        self.acceptCallback_(socket);
        ClientBudget *budget = self.account_.budget;
        // Connections wait in the backlog until there is room.
        if (budget != nullptr && !budget->makeRoom(self.account_.group, monotonicNow())) {
            evconnlistener_disable(listener);
        }
    }

    AcceptCallback acceptCallback_;
    ClientAccount account_;
    evconnlistener *listener_ = nullptr;
};

Listener::Listener(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }
Listener::~Listener() = default;

Result<std::unique_ptr<Listener>> Listener::open(event_base *base, const peer::Address &address,
                                                 AcceptCallback accept, ClientAccount account)
{
    sockaddr_storage storage {};
    int length = sizeof(storage);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
    const std::string text = address.toString();
    if (evutil_parse_sockaddr_port(text.c_str(), socketAddress, &length) != 0) {
        return fail(ResultCode::SettingsInvalid, "not an IP address with a port number: " + text);
    }
    auto impl = std::make_unique<Impl>(std::move(accept), account);
    if (!impl->bind(base, socketAddress, length)) {
        return fail(ResultCode::SettingsInvalid, "cannot listen on " + text);
    }
    return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

} // namespace daisyhaven::http

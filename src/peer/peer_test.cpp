#include "peer/generated/peer.pb.h"
#include "peer/peer.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace daisyhaven::peer {
namespace {

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

// Accepts connections and never sends any data.
class UnresponsiveListener
{
public:
    UnresponsiveListener(event_base *base, const Address &address)
    {
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        evutil_parse_sockaddr_port(address.toString().c_str(), socketAddress, &length);
        listener_ = evconnlistener_new_bind(
            base,
            [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *user) {
                static_cast<UnresponsiveListener *>(user)->sockets_.push_back(socket);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, socketAddress, length);
    }
    UnresponsiveListener(const UnresponsiveListener &) = delete;
    UnresponsiveListener &operator=(const UnresponsiveListener &) = delete;
    ~UnresponsiveListener()
    {
        evconnlistener_free(listener_);
        for (const evutil_socket_t socket : sockets_) {
            evutil_closesocket(socket);
        }
    }

    std::size_t connectionCount() const { return sockets_.size(); }

private:
    evconnlistener *listener_ = nullptr;
    std::vector<evutil_socket_t> sockets_;
};

Credentials unauthenticatedCredentials()
{
    return { Role::Vm, "test", "", "", Protection::None };
}

Address testAddress()
{
    return { "127.0.0.1", static_cast<std::uint16_t>(36000 + ::getpid() % 2000) };
}

// A network partition leaves connections open that carry no data. Calls whose timeout is
// shorter than the unresponsive timeout of the connection must not keep such a connection in use.
TEST(UnresponsiveConnection, IsReplacedAfterACallTimesOut)
{
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    TimerService timers(base.get());
    const UnresponsiveListener listener(base.get(), testAddress());
    ClientPool clients(base.get(), timers, unauthenticatedCredentials());
    const auto call = [&] {
        clients.call<wire::Empty>(testAddress(), Method::Join, wire::Empty {}, Milliseconds(200),
                                  [](const CallResult<wire::Empty> &) {});
        if (listener.connectionCount() >= 2) {
            event_base_loopbreak(base.get());
        }
    };
    const TimerHandle calls = timers.runEvery(Milliseconds(100), call);
    const TimerHandle testTimeout =
        timers.runAfter(Seconds(5), [&] { event_base_loopbreak(base.get()); });
    event_base_dispatch(base.get());
    EXPECT_GE(listener.connectionCount(), 2U);
}

TEST(UnauthenticatedConnection, CallReturnsReplyOfHandler)
{
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    TimerService timers(base.get());
    Server server(base.get(), unauthenticatedCredentials());
    ASSERT_TRUE(std::holds_alternative<bool>(attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(server.listen(testAddress()));
        return true;
    })));
    server.registerTypedHandler<wire::SlotRelease, wire::SlotAnswer>(
        Method::AcquireSlot, Role::Vm,
        [](const Caller &, const wire::SlotRelease &release, auto respond) {
            wire::SlotAnswer reply;
            reply.set_slot(release.slot() + 1);
            respond(reply);
        });
    ClientPool clients(base.get(), timers, unauthenticatedCredentials());
    std::uint64_t slot = 0;
    wire::SlotRelease request;
    request.set_slot(41);
    clients.call<wire::SlotAnswer>(testAddress(), Method::AcquireSlot, request, Seconds(2),
                                   [&](const CallResult<wire::SlotAnswer> &result) {
                                       if (const auto *reply =
                                               std::get_if<wire::SlotAnswer>(&result)) {
                                           slot = reply->slot();
                                       }
                                       event_base_loopbreak(base.get());
                                   });
    event_base_dispatch(base.get());
    EXPECT_EQ(slot, 42U);
}

} // namespace
} // namespace daisyhaven::peer

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

// Takes connections and never says anything.
class MuteListener
{
public:
    MuteListener(event_base *base, const Address &address)
    {
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        evutil_parse_sockaddr_port(address.text().c_str(), socketAddress, &length);
        listener_ = evconnlistener_new_bind(
            base,
            [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *user) {
                static_cast<MuteListener *>(user)->sockets_.push_back(socket);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, socketAddress, length);
    }
    MuteListener(const MuteListener &) = delete;
    MuteListener &operator=(const MuteListener &) = delete;
    ~MuteListener()
    {
        evconnlistener_free(listener_);
        for (const evutil_socket_t socket : sockets_) {
            evutil_closesocket(socket);
        }
    }

    std::size_t connections() const { return sockets_.size(); }

private:
    evconnlistener *listener_ = nullptr;
    std::vector<evutil_socket_t> sockets_;
};

Credentials unprotected()
{
    return { Role::Vm, "test", "", "", Protection::None };
}

Address freeAddress()
{
    return { "127.0.0.1", static_cast<std::uint16_t>(36000 + ::getpid() % 2000) };
}

// A partition leaves connections open that carry nothing: calls with short time limits must not
// keep such a connection alive for ever.
TEST(SilentConnection, IsReplacedOnceACallTimedOutOnIt)
{
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    TimerService timers(base.get());
    const MuteListener listener(base.get(), freeAddress());
    ClientPool clients(base.get(), timers, unprotected());
    const auto call = [&] {
        clients.call<wire::Empty>(freeAddress(), Method::Join, wire::Empty {}, Milliseconds(200),
                                  [](const CallResult<wire::Empty> &) {});
        if (listener.connections() >= 2) {
            event_base_loopbreak(base.get());
        }
    };
    const Subscription calls = timers.every(Milliseconds(100), call);
    const Subscription limit = timers.after(Seconds(5), [&] { event_base_loopbreak(base.get()); });
    event_base_dispatch(base.get());
    EXPECT_GE(listener.connections(), 2U);
}

TEST(Unprotected, CallsAreAnswered)
{
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    TimerService timers(base.get());
    Server server(base.get(), unprotected());
    ASSERT_TRUE(std::holds_alternative<bool>(attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(server.listen(freeAddress()));
        return true;
    })));
    server.handleTyped<wire::SlotRelease, wire::SlotAnswer>(
        Method::AcquireSlot, Role::Vm,
        [](const Caller &, const wire::SlotRelease &release, auto respond) {
            wire::SlotAnswer answer;
            answer.set_slot(release.slot() + 1);
            respond(answer);
        });
    ClientPool clients(base.get(), timers, unprotected());
    std::uint64_t slot = 0;
    wire::SlotRelease question;
    question.set_slot(41);
    clients.call<wire::SlotAnswer>(freeAddress(), Method::AcquireSlot, question, Seconds(2),
                                   [&](const CallResult<wire::SlotAnswer> &result) {
                                       if (const auto *answer =
                                               std::get_if<wire::SlotAnswer>(&result)) {
                                           slot = answer->slot();
                                       }
                                       event_base_loopbreak(base.get());
                                   });
    event_base_dispatch(base.get());
    EXPECT_EQ(slot, 42U);
}

} // namespace
} // namespace daisyhaven::peer

// Requests of a VM that reaches no backend server, sent through other VMs. Pattern: entry VMs lose
// their links to all servers while callers and the other VMs still reach them.
#include "coordination/internal/vmregistry.h"
#include "gateway/gateway.h"
#include "gateway/internal/relayheaders.h"
#include "gateway/internal/requestrelays.h"
#include "peer/generated/peer.pb.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace daisyhaven::gateway {
namespace {

const Instant Start { Seconds(1000) };

// ---- choice of a relay ----

const std::vector<coordination::RequestRelay> Relays { { "10.0.0.1:1", "a" },
                                                       { "10.0.0.2:1", "a" },
                                                       { "10.0.0.3:1", "b" } };

TEST(RequestRelays, SpreadsRequestsAndPrefersTheOwnZone)
{
    RequestRelays relays(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 30; ++i) {
        const auto relay = relays.pick(Start, Relays, "a", {});
        ASSERT_TRUE(relay.has_value());
        relays.recordStart(*relay);
        ++counts[*relay];
    }
    EXPECT_NEAR(counts["10.0.0.1:1"], counts["10.0.0.2:1"], 3);
    EXPECT_LT(counts["10.0.0.3:1"], counts["10.0.0.1:1"]);
    EXPECT_GT(counts["10.0.0.3:1"], 0);
}

struct RelayEndCase
{
    const char *name;
    RequestRelays::Outcome outcome;
    Milliseconds usableAfter;
};

class RelayEnd : public ::testing::TestWithParam<RelayEndCase>
{
};

TEST_P(RelayEnd, DecidesWhenTheRelayIsUsedAgain)
{
    RequestRelays relays(1);
    const std::vector<coordination::RequestRelay> one { Relays.front() };
    relays.recordStart("10.0.0.1:1");
    relays.recordEnd(Start, "10.0.0.1:1", GetParam().outcome);
    const Instant usableAt = Start + Duration(GetParam().usableAfter);
    EXPECT_FALSE(relays.pick(usableAt - Milliseconds(1), one, "a", {}).has_value()
                 && GetParam().usableAfter.count() > 0);
    EXPECT_TRUE(relays.pick(usableAt, one, "a", {}).has_value());
    EXPECT_FALSE(relays.pick(usableAt, one, "a", { "10.0.0.1:1" }).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes, RelayEnd,
    ::testing::Values(
        RelayEndCase { "responded", RequestRelays::Outcome::Responded, Milliseconds(0) },
        RelayEndCase { "refused", RequestRelays::Outcome::Refused, Milliseconds(500) },
        RelayEndCase { "failed", RequestRelays::Outcome::Failed, Milliseconds(2000) }),
    [](const auto &info) { return std::string(info.param.name); });

TEST(VmRegistry, NamesVmsWhoseRequestsSucceedAsRequestRelays)
{
    coordination::VmRegistry registry;
    const auto contact = [](int vm, bool disconnected) {
        const std::string number = std::to_string(vm);
        return coordination::VmContact { "vm-" + number,
                                         "10.0.0." + number + ":1",
                                         false,
                                         { "10.0.0." + number + ":2", "a" },
                                         disconnected };
    };
    for (int vm = 1; vm <= 9; ++vm) {
        registry.recordContact(Start, contact(vm, vm > 6));
    }
    for (int vm = 1; vm <= 5; ++vm) {
        registry.recordSuccess(Start, "vm-" + std::to_string(vm));
    }
    std::mt19937_64 random(7);
    const auto picked = registry.pickRequestRelays(Start, "vm-1", random);
    EXPECT_EQ(picked.size(), 4U); // without vm-1 itself, vm-6 and the disconnected ones
    registry.recordContact(Start, contact(2, true));
    // Too few have succeeded, so vm-6 is named as well.
    EXPECT_EQ(registry.pickRequestRelays(Start, "vm-1", random).size(), 4U);
}

// ---- two gateways in one process, over loopback ----

constexpr const char *RequestId = "request-1";
constexpr std::size_t MaxBodyBytes = 2UL * 1024 * 1024;
constexpr std::uint16_t FirstPort = 28700;

peer::Address localAddress(int offset)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(FirstPort + offset) };
}

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

routing::DocumentParse parseTestDocument(std::string document)
{
    return [document = std::move(document)]() -> routing::ParseProgress {
        routing::RoutingTableSpec spec;
        spec.services = { { "orders", "/", 0, Duration(0), 0 } };
        const auto addRoute = [&](const char *prefix, routing::RouteKind kind,
                                  std::uint32_t maxAttempts) {
            routing::Route route;
            route.name = prefix;
            route.host = "shop.example";
            route.pathPrefix = prefix;
            route.kind = kind;
            route.services = { { "orders", 1 } };
            route.maxAttempts = maxAttempts;
            spec.routes.push_back(route);
        };
        addRoute("/read/", routing::RouteKind::Idempotent, 2);
        addRoute("/read-once/", routing::RouteKind::Idempotent, 1);
        addRoute("/write/", routing::RouteKind::NonIdempotent, 2);
        const auto table = attempt([&] { return routing::RoutingTable::create(spec); });
        return std::get<routing::RoutingTable>(table);
    };
}

// Plays the leader for one VM: names its servers and its relays, and grants each slot request.
class LeaderStandIn
{
public:
    LeaderStandIn(event_base *base, TimerService &timers, const peer::Address &address,
                  std::vector<peer::Address> servers,
                  const std::vector<peer::Address> &requestRelays)
        : timers_(timers), servers_(std::move(servers)),
          server_(base, { peer::Role::Vm, "test", "", "", peer::Protection::None })
    {
        for (const peer::Address &relay : requestRelays) {
            addRequestRelay(relay, "a");
        }
        server_.registerTypedHandler<wire::FleetViewRequest, wire::FleetViewReply>(
            peer::Method::FleetView, peer::Role::Vm,
            [this](const peer::Caller &, const wire::FleetViewRequest &, auto respond) {
                delays_.push_back(
                    timers_.runAfter(Milliseconds(20), [this, respond] { respond(makeView()); }));
            });
        server_.registerTypedHandler<wire::SlotQuestion, wire::SlotAnswer>(
            peer::Method::AcquireSlot, peer::Role::Vm,
            [this](const peer::Caller &, const wire::SlotQuestion &, auto respond) {
                wire::SlotAnswer answer;
                answer.set_server("s0");
                answer.set_address(servers_.front().toString());
                answer.set_slot(++granted_);
                answer.set_epoch(1);
                respond(answer);
            });
        server_.registerTypedHandler<wire::SlotRelease, wire::Empty>(
            peer::Method::ReleaseSlot, peer::Role::Vm,
            [](const peer::Caller &, const wire::SlotRelease &, auto respond) {
                respond(wire::Empty {});
            });
        const auto listening = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(server_.listen(address));
            return true;
        });
        EXPECT_TRUE(std::holds_alternative<bool>(listening));
    }

    void addRequestRelay(const peer::Address &address, const std::string &zone)
    {
        relays_.push_back({ address.toString(), zone });
    }

private:
    wire::FleetViewReply makeView() const
    {
        wire::FleetViewReply reply;
        reply.set_leader(true);
        reply.set_epoch(1);
        reply.set_complete(true);
        reply.set_has_document(true);
        reply.set_document_index(1);
        reply.mutable_state()->set_version(1);
        reply.mutable_state()->set_document("test");
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            wire::FleetServer *server = reply.add_changed();
            server->set_id("s" + std::to_string(i));
            server->set_service("orders");
            server->set_address(servers_[i].toString());
            server->set_slots(4);
        }
        for (const coordination::RequestRelay &relay : relays_) {
            wire::RequestRelay *named = reply.add_request_relays();
            named->set_address(relay.address);
            named->set_availability_zone(relay.zone);
        }
        return reply;
    }

    TimerService &timers_;
    std::vector<peer::Address> servers_;
    std::vector<coordination::RequestRelay> relays_;
    peer::Server server_;
    std::vector<TimerHandle> delays_;
    std::uint64_t granted_ = 0;
};

class RelayedRequests : public ::testing::Test
{
protected:
    enum Port {
        LeaderA,
        LeaderB,
        CallersA,
        CallersB,
        PeersA,
        PeersB,
        RelayA,
        RelayB,
        Backend,
        Dead,
        LeaderC,
        CallersC,
        PeersC,
        RelayC
    };

    RelayedRequests() : base_(event_base_new()), timers_(base_.get())
    {
        const auto opened = attempt([&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(
                backend_,
                http::ApiServer::open(base_.get(), timers_, localAddress(Backend), MaxBodyBytes,
                                      [this](const http::ApiRequest &request,
                                             const http::ApiServer::ResponseCallback &respond) {
                                          ++runs_;
                                          receivedBytes_ = request.body.size();
                                          if (backendResponds_) {
                                              respond(makeBackendResponse());
                                          } else {
                                              unanswered_.push_back(respond);
                                          }
                                      }));
            return true;
        });
        EXPECT_TRUE(std::holds_alternative<bool>(opened));
    }

    static http::ApiResponse makeBackendResponse()
    {
        http::ApiResponse response { 200, "text/plain", "whole body", {} };
        response.headers.add("request-id", RequestId);
        return response;
    }

    struct Vm
    {
        std::unique_ptr<LeaderStandIn> leader;
        std::unique_ptr<peer::ClientPool> clients;
        std::unique_ptr<peer::Server> server;
        std::unique_ptr<Gateway> gateway;
    };

    // Starts a VM whose leader names these servers and request relays, and grants slots of the
    // first server.
    Vm startVm(Port leader, Port callers, Port peers, Port relay,
               std::vector<peer::Address> servers, const std::vector<peer::Address> &requestRelays)
    {
        const peer::Credentials credentials { peer::Role::Vm, "test", "", "",
                                              peer::Protection::None };
        Vm vm;
        vm.leader = std::make_unique<LeaderStandIn>(base_.get(), timers_, localAddress(leader),
                                                    std::move(servers), requestRelays);
        vm.clients = std::make_unique<peer::ClientPool>(base_.get(), timers_, credentials);
        vm.server = std::make_unique<peer::Server>(base_.get(), credentials);
        GatewayOptions options;
        options.vm = "vm-" + std::to_string(callers);
        options.zone = "a";
        options.listenAddress = localAddress(callers);
        options.controlSeeds = { localAddress(leader) };
        options.headers = { "request-id", "deadline-ms", "expected-server", "team", "not-executed",
                            "leaving",    "limit" };
        options.documentParser = &parseTestDocument;
        options.relayAddress = localAddress(peers);
        options.requestRelayAddress = localAddress(relay);
        const auto created = attempt([&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(vm.gateway,
                              Gateway::create(base_.get(), timers_, *vm.server, *vm.clients,
                                              metrics_, std::move(options)));
            return true;
        });
        EXPECT_TRUE(std::holds_alternative<bool>(created));
        return vm;
    }

    // Starts the VM of the caller, which reaches at most the first of its servers, and the one that
    // it uses as a relay.
    void startVms(Port backendOfRelay, Port firstServer = Dead)
    {
        const auto repeat = [](Port port) {
            return std::vector<peer::Address>(4, localAddress(port));
        };
        relay_ = startVm(LeaderB, CallersB, PeersB, RelayB, repeat(backendOfRelay), {});
        std::vector<peer::Address> servers = repeat(Dead);
        servers.front() = localAddress(firstServer);
        vm_ = startVm(LeaderA, CallersA, PeersA, RelayA, servers, { localAddress(RelayB) });
        ASSERT_TRUE(runUntil([&] { return vm_.gateway->isReady() && relay_.gateway->isReady(); }));
    }

    bool runUntil(const std::function<bool()> &done, Duration limit = Seconds(5))
    {
        const Instant end = timers_.now() + limit;
        while (!done() && timers_.now() < end) {
            const TimerHandle pause = timers_.runAfter(Milliseconds(5), [] {});
            event_base_loop(base_.get(), EVLOOP_ONCE);
        }
        return done();
    }

    struct Response
    {
        http::ResponseHead head;
        std::string body;
        bool complete = false;
    };

    // Sends a request to the VM that reaches no server; `response_` receives its response.
    void send(const std::string &path, const std::string &body = "body")
    {
        response_ = {};
        caller_ = std::make_unique<http::ClientConnection>(base_.get(), localAddress(CallersA));
        http::ClientConnection::Callbacks callbacks;
        callbacks.head = [this](const http::ResponseHead &head) { response_.head = head; };
        callbacks.body = [this](std::string_view data) { response_.body += data; };
        callbacks.end = [this](bool) { response_.complete = true; };
        callbacks.closed = [] {};
        callbacks.invalidMessage = [](const Failure &) {};
        caller_->setCallbacks(callbacks);
        http::Headers headers;
        headers.add("Host", "shop.example");
        headers.add("request-id", RequestId);
        headers.add("deadline-ms", "1500");
        caller_->sendHead("POST", path, headers, http::Framing::Chunked, 0);
        caller_->sendBody(body);
        caller_->endRequest();
    }

    std::unique_ptr<event_base, EventBaseDeleter> base_;
    TimerService timers_;
    Metrics metrics_;
    std::unique_ptr<http::ApiServer> backend_;
    std::vector<http::ApiServer::ResponseCallback> unanswered_;
    bool backendResponds_ = true;
    int runs_ = 0;
    std::size_t receivedBytes_ = 0;
    Vm relay_;
    Vm vm_;
    std::unique_ptr<http::ClientConnection> caller_;
    Response response_;
};

// Guards against callers that are not served because their VM reaches no backend server.
TEST_F(RelayedRequests, AreServedThroughAnotherVm)
{
    startVms(Backend);
    for (const char *path : { "/write/1", "/read/1", "/write/2" }) {
        send(path);
        ASSERT_TRUE(runUntil([&] { return response_.complete; }));
        EXPECT_EQ(response_.head.status, 200);
        EXPECT_EQ(response_.body, "whole body");
    }
    EXPECT_EQ(runs_, 3);
}

TEST_F(RelayedRequests, AreRefusedAsNotRunIfTheRelayReachesNoServerEither)
{
    startVms(Dead);
    send("/write/1");
    ASSERT_TRUE(runUntil([&] { return response_.complete; }, Seconds(1)));
    EXPECT_EQ(response_.head.status, 503);
    EXPECT_NE(response_.head.headers.find("retry-after"), nullptr);
    EXPECT_EQ(response_.head.headers.find(RelayRefusedHeader), nullptr);
    EXPECT_EQ(runs_, 0);
}

// A request that may have run must neither run again nor be called "not run".
TEST_F(RelayedRequests, ThatMayHaveRunAreNotSentAgainWhenTheRelayStops)
{
    backendResponds_ = false;
    startVms(Backend);
    send("/write/1");
    ASSERT_TRUE(runUntil([&] { return runs_ == 1; }));
    relay_.gateway.reset();
    ASSERT_TRUE(runUntil([&] { return response_.complete; }, Seconds(3)));
    EXPECT_GE(response_.head.status, 500);
    EXPECT_NE(response_.head.status, 503);
    EXPECT_EQ(runs_, 1);
}

// Guards against a body of which only the rest is sent on, after a relay refused it in the middle.
TEST_F(RelayedRequests, AreNotSentAgainWithoutTheBeginOfTheirBody)
{
    const std::string body(MaxBodyBytes / 2, 'x');
    startVms(Dead);
    const Vm other = startVm(LeaderC, CallersC, PeersC, RelayC, { localAddress(Backend) }, {});
    ASSERT_TRUE(runUntil([&] { return other.gateway->isReady(); }));
    vm_.leader->addRequestRelay(localAddress(RelayC), "other zone");
    runUntil([] { return false; }, Milliseconds(100));
    // Shows the VM that it is disconnected; the relay that refused is then used again.
    send("/write/0");
    ASSERT_TRUE(runUntil([&] { return response_.complete; }));
    runUntil([] { return false; }, Milliseconds(600));
    runs_ = 0;
    send("/write/1", body);
    ASSERT_TRUE(runUntil([&] { return response_.complete; }, Seconds(3)));
    EXPECT_TRUE(runs_ == 0 || receivedBytes_ == body.size()) << receivedBytes_;
    EXPECT_EQ(response_.head.status, runs_ == 0 ? 503 : 200);
}

struct SilentServerCase
{
    const char *name;
    const char *path;
    int runs;
};

class SilentServer : public RelayedRequests, public ::testing::WithParamInterface<SilentServerCase>
{
};

// Guards against requests that run on more servers than their route allows, because the VM took its
// links for lost while the first one was at work.
TEST_P(SilentServer, GetsNoMoreAttemptsThanTheRouteAllows)
{
    startVms(Backend, Backend);
    // Leaves an idle connection to the server, which says nothing about the links any more.
    send("/write/0");
    ASSERT_TRUE(runUntil([&] { return response_.complete; }));
    backendResponds_ = false;
    runs_ = 0;
    send(GetParam().path);
    ASSERT_TRUE(runUntil([&] { return response_.complete; }, Seconds(3)));
    EXPECT_EQ(response_.head.status, 504);
    EXPECT_EQ(runs_, GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(Routes, SilentServer,
                         ::testing::Values(SilentServerCase { "idempotent", "/read/1", 2 },
                                           SilentServerCase { "oneAttempt", "/read-once/1", 1 },
                                           SilentServerCase { "notIdempotent", "/write/1", 1 }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

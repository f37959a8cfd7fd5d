// Gateways of several VMs in one process, over loopback, with a stand-in for their leaders and a
// scripted backend server.
#pragma once

#include "gateway/gateway.h"
#include "peer/generated/peer.pb.h"
#include "testing/eventloop.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <limits>
#include <list>

namespace daisyhaven::gateway {

constexpr const char *RequestId = "request-1";
constexpr std::size_t MaxBodyBytes = 2UL * 1024 * 1024;

// Several tests with this fixture run at the same time, so each process has ports of its own; they
// lie below the range from which the kernel takes ports of outgoing connections.
inline peer::Address localAddress(int offset)
{
    constexpr int FirstPort = 4000;
    constexpr int PortsPerProcess = 16;
    constexpr int PortBlocks = 500;
    const int port = FirstPort + ::getpid() % PortBlocks * PortsPerProcess + offset;
    return { "127.0.0.1", static_cast<std::uint16_t>(port) };
}

// The routes of the tests. A document `idleTimeoutMs=N` sets this limit of callers.
inline routing::DocumentParse parseTestDocument(std::string document)
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
        constexpr std::string_view IdleTimeout = "idleTimeoutMs=";
        if (document.compare(0, IdleTimeout.size(), IdleTimeout) == 0) {
            spec.limits.idleTimeout = Milliseconds(std::stoi(document.substr(IdleTimeout.size())));
        }
        const auto table = attempt([&] { return routing::RoutingTable::create(spec); });
        return std::get<routing::RoutingTable>(table);
    };
}

// Plays the leader for one VM: names its servers and its relays, and grants the slot requests in
// the order of arrival.
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
            [this](const peer::Caller &, const wire::SlotQuestion &question, auto respond) {
                waiting_.emplace_back(question.number(), respond);
                grantFreeSlots();
            });
        server_.registerTypedHandler<wire::SlotRelease, wire::Empty>(
            peer::Method::ReleaseSlot, peer::Role::Vm,
            [this](const peer::Caller &, const wire::SlotRelease &release, auto respond) {
                respond(wire::Empty {});
                if (release.slot() != 0) {
                    --slotsInUse_;
                } else {
                    waiting_.remove_if(
                        [&](const auto &request) { return request.first == release.number(); });
                }
                grantFreeSlots();
            });
        const auto listening = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(server_.listen(address));
            return true;
        });
        EXPECT_TRUE(std::holds_alternative<bool>(listening));
    }

    // Sets how many slots may be in use at a time; none is taken back.
    void setSlots(std::size_t slots)
    {
        slots_ = slots;
        grantFreeSlots();
    }

    // Sets the document that VMs receive; see parseTestDocument().
    void setDocument(const std::string &document) { document_ = document; }

    void addRequestRelay(const peer::Address &address, const std::string &zone)
    {
        relays_.push_back({ address.toString(), zone });
    }

private:
    using SlotResponder = std::function<void(std::variant<wire::SlotAnswer, Failure>)>;

    void grantFreeSlots()
    {
        while (slotsInUse_ < slots_ && !waiting_.empty()) {
            ++slotsInUse_;
            const SlotResponder respond = waiting_.front().second;
            waiting_.pop_front();
            wire::SlotAnswer answer;
            answer.set_server("s0");
            answer.set_address(servers_.front().toString());
            answer.set_slot(++granted_);
            answer.set_epoch(1);
            respond(answer);
        }
    }

    wire::FleetViewReply makeView() const
    {
        wire::FleetViewReply reply;
        reply.set_leader(true);
        reply.set_epoch(1);
        reply.set_complete(true);
        reply.set_has_document(true);
        reply.set_document_index(1);
        reply.mutable_state()->set_version(1);
        reply.mutable_state()->set_document(document_);
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
    std::string document_ = "test";
    std::uint64_t granted_ = 0;
    std::size_t slots_ = std::numeric_limits<std::size_t>::max();
    std::size_t slotsInUse_ = 0;
    // Slot requests without a slot, by number.
    std::list<std::pair<std::uint64_t, SlotResponder>> waiting_;
};

class GatewayFleet : public ::testing::Test
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
        Silent,
        LeaderC,
        CallersC,
        PeersC,
        RelayC
    };

    GatewayFleet() : base_(event_base_new()), timers_(base_.get())
    {
        const auto opened = attempt([&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(
                backend_,
                http::ApiServer::open(base_.get(), timers_, localAddress(Backend), MaxBodyBytes,
                                      [this](const http::ApiRequest &request,
                                             const http::ApiServer::ResponseCallback &respond) {
                                          ++runs_;
                                          ++runsByPath_[request.path];
                                          receivedBytes_ = request.body.size();
                                          if (serveRequest_) {
                                              serveRequest_(request, respond);
                                          } else if (backendResponds_) {
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
        vm.leader->setDocument(document_);
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
        options.gracePeriod = gracePeriod_;
        options.clientBudget = &clientBudget_;
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

    // Starts the VM of the caller before these servers; with `throughRelay`, another VM reaches
    // them and the one of the caller reaches none.
    void startSendingVm(const std::vector<peer::Address> &servers, bool throughRelay)
    {
        if (!throughRelay) {
            vm_ = startVm(LeaderA, CallersA, PeersA, RelayA, servers, {});
            ASSERT_TRUE(runUntil([&] { return vm_.gateway->isReady(); }));
            return;
        }
        relay_ = startVm(LeaderB, CallersB, PeersB, RelayB, servers, {});
        const std::vector<peer::Address> unreachable(4, localAddress(Dead));
        vm_ = startVm(LeaderA, CallersA, PeersA, RelayA, unreachable, { localAddress(RelayB) });
        ASSERT_TRUE(runUntil([&] { return vm_.gateway->isReady() && relay_.gateway->isReady(); }));
    }

    bool runUntil(const std::function<bool()> &done, Duration limit = Seconds(5))
    {
        return testing::runUntil(base_.get(), timers_, done, limit);
    }

    struct Response
    {
        http::ResponseHead head;
        std::string body;
        bool complete = false;
    };

    // Sends a request to `vm_`; `response_` receives its response.
    void send(const std::string &path, const std::string &body = "body",
              Milliseconds deadline = Milliseconds(1500))
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
        headers.add("deadline-ms", std::to_string(deadline.count()));
        caller_->sendHead("POST", path, headers, http::Framing::Chunked, 0);
        caller_->sendBody(body);
        caller_->endRequest();
    }

    testing::EventBase base_;
    TimerService timers_;
    Metrics metrics_;
    ClientBudget clientBudget_ { ClientLimits() };
    std::unique_ptr<http::ApiServer> backend_;
    std::vector<http::ApiServer::ResponseCallback> unanswered_;
    bool backendResponds_ = true;
    // Replaces the response of the backend server, if set.
    http::ApiServer::Handler serveRequest_;
    Duration gracePeriod_ = Seconds(6);
    std::string document_ = "test";
    int runs_ = 0;
    std::map<std::string, int> runsByPath_;
    std::size_t receivedBytes_ = 0;
    Vm relay_;
    Vm vm_;
    std::unique_ptr<http::ClientConnection> caller_;
    Response response_;
};

} // namespace daisyhaven::gateway

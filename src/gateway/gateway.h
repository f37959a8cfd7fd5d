// The HTTP gateway of an entry VM. It accepts requests from callers, obtains a slot for each of
// them and forwards them to backend servers.
//
// A request that was sent to a backend server is retried only if its route is idempotent, or if the
// server or the state of the connection proves that the request did not run. Responses up to a size
// limit are buffered completely before they are forwarded, so that a caller never mistakes a
// truncated response for a complete one and an idempotent request can be retried on another server.
//
// Example:
//     BOOST_LEAF_AUTO(gateway, Gateway::create(base, timers, clients, metrics, options));
//     gateway->drain([&] { event_base_loopbreak(base); });
//
// Thread safety: not thread-safe; use only on the thread of its event loop.
#pragma once

#include "coordination/coordination.h"
#include "http/http.h"
#include "observe/observe.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisyhaven::gateway {

// Names of the header fields that a deployment shares with its callers and backend servers.
struct HeaderNames
{
    // Identifies a request; backend servers echo it in the response.
    std::string requestId;
    // Remaining time in milliseconds until the caller, or this VM, stops waiting for the response.
    std::string deadlineMs;
    // Id of the backend server that the request is addressed to.
    std::string expectedServer;
    // Team on whose behalf the request runs.
    std::string team;
    // Response header that states that the server did not execute the request.
    std::string notExecuted;
    // Response header in which a server says that it leaves.
    std::string serverLeaving;
    // Response header that names the requests per second that a server accepts from all VMs.
    std::string serverLimit;

    auto tied() const
    {
        return std::tie(requestId, deadlineMs, expectedServer, team, notExecuted, serverLeaving,
                        serverLimit);
    }
    friend bool operator==(const HeaderNames &a, const HeaderNames &b)
    {
        return a.tied() == b.tied();
    }
};

struct GatewayOptions
{
    std::string vm;
    std::string zone;
    peer::Address listenAddress;
    std::vector<peer::Address> controlSeeds;
    HeaderNames headers;
    routing::DocumentParser documentParser = nullptr;
    // Time between the shutdown request and the termination of the process.
    Duration gracePeriod = Seconds(6);
    scheduler::RateTolerance rateTolerance;
    // Address of the server that is passed to Gateway::create(), as other VMs reach it.
    peer::Address relayAddress;
    // Address at which this VM accepts requests of other VMs that reach no backend server; without
    // one it accepts none.
    std::optional<peer::Address> requestRelayAddress;
    // Bounds what callers and other VMs hold, if set; it outlives the gateway.
    ClientBudget *clientBudget = nullptr;
};

class Gateway
{
public:
    // `server` receives the calls of VMs that use this one as a relay to the leader. Errors:
    // SettingsInvalid if the listen address cannot be bound.
    static Result<std::unique_ptr<Gateway>> create(event_base *base, TimerService &timers,
                                                   peer::Server &server, peer::ClientPool &clients,
                                                   Metrics &metrics, GatewayOptions options);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    // True if the gateway has a configuration and is not shutting down.
    bool isReady() const;
    // Completes the requests in progress by the schedule of shutdown.h: each of them gets a
    // response before the process ends. `finished` runs once, at the latest shortly before the
    // grace period ends.
    void drain(std::function<void()> finished);
    void setSeeds(std::vector<peer::Address> seeds);

    class Impl;

private:
    explicit Gateway(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::gateway

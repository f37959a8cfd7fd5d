// Tells failures of a backend server from failures of this VM's own network links.
//
// A request that fails in the network does not show which of its two ends is at fault. After such a
// failure the VM opens connections to other servers of the same service. One that succeeds shows
// that the links work, so the failure is the server's. If none of them succeeds, this VM is
// disconnected from the service until one of its further connection attempts succeeds. Connections
// that time out while responses still arrive only show that the links are slow.
//
// Example:
//     reachability.recordFailure(now, { service, server, attemptStartedAt }, servers);
//     for (const ReachabilityAction &action : reachability.takeActions()) { ... }
//
// Thread safety: none. The class does no I/O and reads no clock.
#pragma once

#include "scheduler/scheduler.h"
#include "timer/timer.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::gateway {

// What failed: a request to a server, in the network.
struct NetworkFailure
{
    enum class Kind : std::uint8_t {
        // No connection could be opened, or an open one was reset.
        ConnectionFailed,
        // An open connection delivers no response.
        NoResponse,
    };

    std::string service;
    std::string server;
    Instant attemptStartedAt;
    Kind kind = Kind::ConnectionFailed;
};

// Which end of a failed connection is at fault.
enum class FaultyEnd : std::uint8_t { Server, OwnLinks };

// A connection to this server shall be opened; its outcome is to be recorded.
struct OpenConnection
{
    std::string service;
    std::string server;
    std::string address;
    // The check that needs the connection.
    std::uint64_t check = 0;

    auto tied() const { return std::tie(service, server, address, check); }
    friend bool operator==(const OpenConnection &a, const OpenConnection &b)
    {
        return a.tied() == b.tied();
    }
};

// The failures of the service that were recorded since its last verdict are explained.
struct Verdict
{
    std::string service;
    FaultyEnd faultyEnd = FaultyEnd::Server;
};

// This VM became disconnected from the service, or is connected again.
struct ReachabilityChange
{
    std::string service;
    bool reachable = true;
};

// Why a connection was not established.
enum class ConnectionEnd : std::uint8_t { Refused, TimedOut };

using ReachabilityAction = std::variant<OpenConnection, Verdict, ReachabilityChange>;

class Reachability
{
public:
    using Servers = std::map<std::string, scheduler::KnownServer>;

    // Number of other servers to which connections are opened after a failure.
    static constexpr std::size_t ServersPerCheck = 2;
    // A disconnected VM tries to open a connection this often.
    static constexpr Milliseconds RetryInterval { 300 };

    explicit Reachability(std::uint64_t seed) : random_(seed) { }

    // Records that a request failed. A Verdict for its service follows, at once or after the
    // connections of a check have been opened.
    void recordFailure(Instant now, const NetworkFailure &failure, const Servers &servers);
    // Records that a connection to a server of `service` was established.
    void recordConnection(Instant now, const std::string &service);
    // Records that the connection that `request` asked for was not established.
    void recordFailedConnection(const OpenConnection &request, ConnectionEnd end);
    // Records that a server of `service` responded.
    void recordResponse(Instant now, const std::string &service);
    // Performs work that is due. Call about every 50 ms.
    void tick(Instant now, const Servers &servers);

    bool isDisconnected(const std::string &service) const;
    // Returns true if this VM is disconnected from any service.
    bool isAnyDisconnected() const;
    std::vector<ReachabilityAction> takeActions();

private:
    enum class State : std::uint8_t { Reachable, Checking, Disconnected };

    struct ServiceState
    {
        State state = State::Reachable;
        Instant connectedAt;
        Instant respondedAt;
        std::uint64_t check = 0;
        // Connections of the current check whose outcome is not known.
        std::size_t pendingConnections = 0;
        Instant checkStartedAt;
        bool refused = false;
        Instant nextAttemptAt;
    };

    void startCheck(Instant now, const NetworkFailure &failure, const Servers &servers,
                    ServiceState &service);
    // Returns up to `count` servers of the service, of different zones as far as possible.
    std::vector<const scheduler::KnownServer *> pickServers(const std::string &service,
                                                            const std::string &excluded,
                                                            const Servers &servers,
                                                            std::size_t count);
    void openConnection(const scheduler::KnownServer &server, std::uint64_t check);

    std::mt19937_64 random_;
    std::map<std::string, ServiceState> services_;
    std::vector<ReachabilityAction> actions_;
};

} // namespace daisyhaven::gateway

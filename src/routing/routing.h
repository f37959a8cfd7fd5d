// Routes, services and teams of one complete configuration document. They determine which service
// handles a request, for which team and under which limits.
//
// Unlike configuration::Configuration, which is updated by changes to single declarations, a
// RoutingTable is created from one complete document. Routes are matched by host and path prefix.
//
// Example:
//     BOOST_LEAF_AUTO(table, RoutingTable::create(std::move(spec)));
//     const Route *route = table.findRoute("shop.example", "/orders/17");
//
// Thread safety: a RoutingTable is immutable and can be shared between threads. A
// WeightedServicePicker is not thread-safe.
#pragma once

#include "result/result.h"
#include "timer/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace daisyhaven::routing {

// Whether a request may be retried after it was sent to a backend server, and which of its messages
// is large.
enum class RouteKind : std::uint8_t {
    Idempotent, // may run more than once
    NonIdempotent, // runs at most once
    Upload, // like NonIdempotent, with a large request body
    Download, // like Idempotent, with a large response body
};

// Returns whether a request of this kind may run more than once.
constexpr bool isIdempotent(RouteKind kind)
{
    return kind == RouteKind::Idempotent || kind == RouteKind::Download;
}

// Returns whether the request or the response of this kind has a large body.
constexpr bool hasLargeBody(RouteKind kind)
{
    return kind == RouteKind::Upload || kind == RouteKind::Download;
}

// One of the services among which a route splits its requests, with its weight.
struct WeightedService
{
    std::string service;
    double weight = 1;

    friend bool operator==(const WeightedService &a, const WeightedService &b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // Upper bound on the deadline of a request; absent: only the caller's deadline applies.
    std::optional<Milliseconds> timeout;
    // Target for the response time; a response within it has the most value for the caller.
    Milliseconds targetLatency { 1000 };
    // Lower values are served first; 0 is the highest priority.
    std::uint32_t priority = 1;
    std::vector<WeightedService> services;
    // Maximum number of attempts in which one request is sent to a backend server.
    std::uint32_t maxAttempts = 1;
    // Requests need no team key.
    bool allowUnauthenticated = false;

    auto tied() const
    {
        return std::tie(name, host, pathPrefix, kind, timeout, targetLatency, priority, services,
                        maxAttempts, allowUnauthenticated);
    }
    friend bool operator==(const Route &a, const Route &b) { return a.tied() == b.tied(); }
};

struct Service
{
    std::string name;
    std::string healthPath;
    // Maximum number of connections to one backend server from all VMs together; 0: unlimited.
    std::uint32_t maxConnections = 0;
    // Duration of the cold start of a backend server.
    Duration coldStartDuration { 0 };
    // Requests per second that a backend server can handle during its cold start; 0: unlimited.
    double coldStartRequestsPerSecond = 0;

    auto tied() const
    {
        return std::tie(name, healthPath, maxConnections, coldStartDuration,
                        coldStartRequestsPerSecond);
    }
    friend bool operator==(const Service &a, const Service &b) { return a.tied() == b.tied(); }
};

struct Team
{
    std::string name;
    std::vector<std::string> keys;
    // Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
    // 0: unlimited.
    double requestsPerSecond = 0;
    double burst = 0;

    auto tied() const { return std::tie(name, keys, priority, requestsPerSecond, burst); }
    friend bool operator==(const Team &a, const Team &b) { return a.tied() == b.tied(); }
};

// Limits on requests and connections of callers.
struct CallerLimits
{
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration headerTimeout = Seconds(3);
    Duration idleTimeout = Seconds(15);

    auto tied() const { return std::tie(maxBodyBytes, headerTimeout, idleTimeout); }
    friend bool operator==(const CallerLimits &a, const CallerLimits &b)
    {
        return a.tied() == b.tied();
    }
};

struct RoutingTableSpec
{
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Team> teams;
    CallerLimits limits;
};

class RoutingTable
{
public:
    RoutingTable() = default;
    // Errors: those of RoutingTableBuilder.
    static Result<RoutingTable> create(RoutingTableSpec spec);

    // Returns the route of `host` with the longest path prefix that matches `path`, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Service *findService(const std::string &name) const;
    const Team *findTeam(const std::string &name) const;
    const Team *findTeamByKey(const std::string &key) const;
    const std::vector<Route> &routes() const { return spec_.routes; }
    const std::vector<Service> &services() const { return spec_.services; }
    const std::vector<Team> &teams() const { return spec_.teams; }
    const CallerLimits &limits() const { return spec_.limits; }

private:
    friend class RoutingTableBuilder;

    using PrefixIndex = std::unordered_map<std::string, std::size_t>;

    Result<void> indexServices();
    Result<void> addRoute(Route route);
    Result<void> indexTeams();

    RoutingTableSpec spec_;
    std::unordered_map<std::string, PrefixIndex> routesByHost_;
    std::unordered_map<std::string, std::size_t> services_;
    std::unordered_map<std::string, std::size_t> teams_;
    std::unordered_map<std::string, std::size_t> teamsByKey_;
};

// Returns the host of a Host header in lower case, without the port.
std::string normalizeHost(std::string_view host);

// Creates a RoutingTable route by route, so that a large table needs no long turn of the event
// loop.
class RoutingTableBuilder
{
public:
    // `spec` without routes. Errors: DeclarationInvalid if two services or two teams have the same
    // name, or if two teams share a key.
    static Result<RoutingTableBuilder> create(RoutingTableSpec spec);
    // Errors: DeclarationInvalid if the route has an unknown service, an empty host, a path prefix
    // that does not begin and end with a slash, a timeout that is not positive, a negative weight
    // or no positive weight; RouteConflict if another route has the same host and path prefix.
    Result<void> addRoute(Route route) { return table_.addRoute(std::move(route)); }
    RoutingTable finish() { return std::move(table_); }

private:
    RoutingTable table_;
};

// Splits the requests of each route among its services by smooth weighted round-robin: after any
// number of requests, the split follows the weights as closely as whole requests allow.
class WeightedServicePicker
{
public:
    explicit WeightedServicePicker(std::uint64_t seed) : seed_(seed) { }
    // Returns the service for the next request of `route`.
    const std::string &pick(const Route &route);

private:
    struct RoundRobinState
    {
        std::vector<WeightedService> services;
        std::vector<double> currentWeights;
    };

    std::uint64_t seed_;
    std::unordered_map<std::string, RoundRobinState> statesByRoute_;
};

// More steps are needed to parse the document.
struct ParsingContinues
{
};

// Failures: DeclarationInvalid, RouteConflict.
using ParseProgress = std::variant<ParsingContinues, RoutingTable, Failure>;

// Performs the next step of the parsing of one document: a small part of the work, so that the
// event loop can serve requests between two steps. Not called again after its last step.
using DocumentParse = std::function<ParseProgress()>;

// Starts to parse a configuration document. The deployment defines the format.
using DocumentParser = DocumentParse (*)(std::string document);

// Performs all steps at once.
std::variant<RoutingTable, Failure> parseCompletely(const DocumentParse &parse);

} // namespace daisyhaven::routing

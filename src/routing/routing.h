// Routes, services and teams of one whole configuration document: which request goes where, for
// whom and under which limits.
//
// Unlike configuration::Configuration, which grows by changes of declarations, a RoutingTable is
// made from one document as a whole, and its routes are found by host and path prefix.
//
// Example:
//     BOOST_LEAF_AUTO(table, RoutingTable::make(std::move(parts)));
//     const Route *route = table.findRoute("shop.example", "/orders/17");
//
// Thread safety: immutable values.
#pragma once

#include "result/result.h"
#include "timer/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace daisyhaven::routing {

// What may be done again after a request was sent to a backend server.
enum class RouteKind : std::uint8_t {
    Idempotent, // may run more than once
    NonIdempotent, // runs at most once
    Upload, // as NonIdempotent, with a large body
};

// One of the services that a route divides its requests among.
struct ServiceShare
{
    std::string service;
    double weight = 1;

    friend bool operator==(const ServiceShare &a, const ServiceShare &b)
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
    // Longest time to keep a request waiting; absent: the caller's deadline alone.
    std::optional<Milliseconds> timeout;
    // An answer within this time is worth most to the caller.
    Milliseconds targetLatency { 1000 };
    // 0 is served first.
    std::uint32_t priority = 1;
    std::vector<ServiceShare> services;
    // Most backend servers that one request is sent to.
    std::uint32_t maxAttempts = 1;
    // Needs no key.
    bool open = false;

    auto tied() const
    {
        return std::tie(name, host, pathPrefix, kind, timeout, targetLatency, priority, services,
                        maxAttempts, open);
    }
    friend bool operator==(const Route &a, const Route &b) { return a.tied() == b.tied(); }
};

struct Service
{
    std::string name;
    std::string healthPath;
    // Connections that one backend server accepts from all VMs together; 0: no bound.
    std::uint32_t maxConnections = 0;
    // A backend server is cold for this long after its start.
    Duration coldStart { 0 };
    // Requests a second that a cold backend server bears; 0: no bound.
    double coldRequestsPerSecond = 0;

    auto tied() const
    {
        return std::tie(name, healthPath, maxConnections, coldStart, coldRequestsPerSecond);
    }
    friend bool operator==(const Service &a, const Service &b) { return a.tied() == b.tied(); }
};

struct Team
{
    std::string name;
    std::vector<std::string> keys;
    // Goes before the route's priority.
    std::optional<std::uint32_t> priority;
    // 0: no limit.
    double requestsPerSecond = 0;
    double burst = 0;

    auto tied() const { return std::tie(name, keys, priority, requestsPerSecond, burst); }
    friend bool operator==(const Team &a, const Team &b) { return a.tied() == b.tied(); }
};

// Bounds on what a caller may send.
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

struct TableParts
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
    // Errors: DeclarationInvalid if a route names an unknown service, has no host, no time or no
    // share with a weight, or if two routes share host and prefix, or two teams a key.
    static Result<RoutingTable> make(TableParts parts);

    // Returns the route of `host` with the longest prefix of `path`, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Service *findService(const std::string &name) const;
    const Team *findTeam(const std::string &name) const;
    const Team *findTeamByKey(const std::string &key) const;
    const std::vector<Route> &routes() const { return parts_.routes; }
    const std::vector<Service> &services() const { return parts_.services; }
    const std::vector<Team> &teams() const { return parts_.teams; }
    const CallerLimits &limits() const { return parts_.limits; }

private:
    using PrefixIndex = std::unordered_map<std::string, std::size_t>;

    Result<void> indexServices();
    Result<void> indexRoutes();
    Result<void> indexTeams();

    TableParts parts_;
    std::unordered_map<std::string, PrefixIndex> routesByHost_;
    std::unordered_map<std::string, std::size_t> services_;
    std::unordered_map<std::string, std::size_t> teams_;
    std::unordered_map<std::string, std::size_t> teamsByKey_;
};

// Host of a Host header: without port, in lower case.
std::string normalizedHost(std::string_view host);

// Divides the requests of routes among their services so that each prefix of the sequence follows
// the weights as closely as whole requests can.
class ShareChooser
{
public:
    explicit ShareChooser(std::uint64_t seed) : seed_(seed) { }
    // Returns the service for the next request of `route`.
    const std::string &choose(const Route &route);

private:
    struct Credits
    {
        std::vector<ServiceShare> shares;
        std::vector<double> credit;
    };

    std::uint64_t seed_;
    std::unordered_map<std::string, Credits> byRoute_;
};

// Reads a document into a table. The deployment decides on the format.
using DocumentReader = Result<RoutingTable> (*)(std::string_view document);

} // namespace daisyhaven::routing

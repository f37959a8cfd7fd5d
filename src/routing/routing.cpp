#include "routing/routing.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <random>

namespace daisyhaven::routing {

namespace {

Result<void> checkRoute(const Route &route)
{
    if (route.host.empty()) {
        return fail(ResultCode::DeclarationInvalid, "route " + route.name + ": no host");
    }
    const bool prefix = route.pathPrefix.size() >= 1 && route.pathPrefix.front() == '/'
        && route.pathPrefix.back() == '/';
    if (!prefix) {
        return fail(ResultCode::DeclarationInvalid,
                    "route " + route.name + ": the prefix must begin and end with a slash");
    }
    if (route.timeout && route.timeout->count() <= 0) {
        return fail(ResultCode::DeclarationInvalid, "route " + route.name + ": no time");
    }
    const double weights =
        std::accumulate(route.services.begin(), route.services.end(), 0.0,
                        [](double sum, const ServiceShare &share) { return sum + share.weight; });
    const bool negative = std::any_of(route.services.begin(), route.services.end(),
                                      [](const ServiceShare &share) { return share.weight < 0; });
    if (negative || weights <= 0) {
        return fail(ResultCode::DeclarationInvalid,
                    "route " + route.name + ": no share has a weight");
    }
    return {};
}

} // namespace

std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

Result<RoutingTable> RoutingTable::make(TableParts parts)
{
    RoutingTable table;
    table.parts_ = std::move(parts);
    BOOST_LEAF_CHECK(table.indexServices());
    BOOST_LEAF_CHECK(table.indexRoutes());
    BOOST_LEAF_CHECK(table.indexTeams());
    return table;
}

Result<void> RoutingTable::indexServices()
{
    for (std::size_t i = 0; i < parts_.services.size(); ++i) {
        if (!services_.emplace(parts_.services[i].name, i).second) {
            return fail(ResultCode::DeclarationInvalid,
                        "service " + parts_.services[i].name + " is given twice");
        }
    }
    return {};
}

Result<void> RoutingTable::indexRoutes()
{
    for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
        const Route &route = parts_.routes[i];
        BOOST_LEAF_CHECK(checkRoute(route));
        for (const ServiceShare &share : route.services) {
            if (services_.count(share.service) == 0) {
                return fail(ResultCode::DeclarationInvalid,
                            "route " + route.name + ": unknown service " + share.service);
            }
        }
        PrefixIndex &prefixes = routesByHost_[normalizedHost(route.host)];
        if (!prefixes.emplace(route.pathPrefix, i).second) {
            return fail(ResultCode::RouteConflict,
                        "two routes have host " + route.host + " and prefix " + route.pathPrefix);
        }
    }
    return {};
}

Result<void> RoutingTable::indexTeams()
{
    for (std::size_t i = 0; i < parts_.teams.size(); ++i) {
        const Team &team = parts_.teams[i];
        if (!teams_.emplace(team.name, i).second) {
            return fail(ResultCode::DeclarationInvalid, "team " + team.name + " is given twice");
        }
        for (const std::string &key : team.keys) {
            const auto added = teamsByKey_.emplace(key, i);
            if (!added.second && added.first->second != i) {
                return fail(ResultCode::DeclarationInvalid,
                            "team " + team.name + " shares a key with another team");
            }
        }
    }
    return {};
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto prefixes = routesByHost_.find(normalizedHost(host));
    if (prefixes == routesByHost_.end()) {
        return nullptr;
    }
    // Longest prefix first: cut at each slash from the end.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end()) {
            return &parts_.routes[found->second];
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const Service *RoutingTable::findService(const std::string &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &parts_.services[found->second];
}

const Team *RoutingTable::findTeam(const std::string &name) const
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : &parts_.teams[found->second];
}

const Team *RoutingTable::findTeamByKey(const std::string &key) const
{
    const auto found = teamsByKey_.find(key);
    return found == teamsByKey_.end() ? nullptr : &parts_.teams[found->second];
}

const std::string &ShareChooser::choose(const Route &route)
{
    Credits &credits = byRoute_[route.name];
    if (!(credits.shares == route.services)) {
        credits.shares = route.services;
        // A random start, so that the first requests of many VMs do not all go to one service.
        std::mt19937_64 random(seed_ ^ std::hash<std::string>()(route.name));
        double total = 0;
        for (const ServiceShare &share : route.services) {
            total += share.weight;
        }
        std::uniform_real_distribution<double> start(0, total);
        credits.credit.clear();
        for (std::size_t i = 0; i < route.services.size(); ++i) {
            credits.credit.push_back(start(random));
        }
    }
    double total = 0;
    for (std::size_t i = 0; i < credits.shares.size(); ++i) {
        credits.credit[i] += credits.shares[i].weight;
        total += credits.shares[i].weight;
    }
    std::size_t best = 0;
    for (std::size_t i = 1; i < credits.shares.size(); ++i) {
        const bool eligible = credits.shares[i].weight > 0;
        if (eligible
            && (credits.shares[best].weight <= 0 || credits.credit[i] > credits.credit[best])) {
            best = i;
        }
    }
    credits.credit[best] -= total;
    return credits.shares[best].service;
}

} // namespace daisyhaven::routing

#include "routing/routing.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <random>

namespace daisyhaven::routing {

namespace {

Result<void> validateRoute(const Route &route)
{
    if (route.host.empty()) {
        return fail(ResultCode::DeclarationInvalid, "route " + route.name + ": host is empty");
    }
    const bool validPrefix = route.pathPrefix.size() >= 1 && route.pathPrefix.front() == '/'
        && route.pathPrefix.back() == '/';
    if (!validPrefix) {
        return fail(ResultCode::DeclarationInvalid,
                    "route " + route.name + ": path prefix must begin and end with a slash");
    }
    if (route.timeout && route.timeout->count() <= 0) {
        return fail(ResultCode::DeclarationInvalid,
                    "route " + route.name + ": timeout must be positive");
    }
    const double weights = std::accumulate(route.services.begin(), route.services.end(), 0.0,
                                           [](double sum, const WeightedService &weightedService) {
                                               return sum + weightedService.weight;
                                           });
    const bool negative = std::any_of(
        route.services.begin(), route.services.end(),
        [](const WeightedService &weightedService) { return weightedService.weight < 0; });
    if (negative || weights <= 0) {
        return fail(ResultCode::DeclarationInvalid,
                    "route " + route.name
                        + ": weights must not be negative and one must be positive");
    }
    return {};
}

} // namespace

std::string normalizeHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

Result<RoutingTable> RoutingTable::create(RoutingTableSpec spec)
{
    std::vector<Route> routes = std::move(spec.routes);
    spec.routes.clear();
    BOOST_LEAF_AUTO(builder, RoutingTableBuilder::create(std::move(spec)));
    for (Route &route : routes) {
        BOOST_LEAF_CHECK(builder.addRoute(std::move(route)));
    }
    return builder.finish();
}

Result<RoutingTableBuilder> RoutingTableBuilder::create(RoutingTableSpec spec)
{
    RoutingTableBuilder builder;
    builder.table_.spec_ = std::move(spec);
    BOOST_LEAF_CHECK(builder.table_.indexServices());
    BOOST_LEAF_CHECK(builder.table_.indexTeams());
    return builder;
}

Result<void> RoutingTable::indexServices()
{
    for (std::size_t i = 0; i < spec_.services.size(); ++i) {
        if (!services_.emplace(spec_.services[i].name, i).second) {
            return fail(ResultCode::DeclarationInvalid,
                        "service " + spec_.services[i].name + " is defined more than once");
        }
    }
    return {};
}

Result<void> RoutingTable::addRoute(Route route)
{
    BOOST_LEAF_CHECK(validateRoute(route));
    for (const WeightedService &weightedService : route.services) {
        if (services_.count(weightedService.service) == 0) {
            return fail(ResultCode::DeclarationInvalid,
                        "route " + route.name + ": unknown service " + weightedService.service);
        }
    }
    PrefixIndex &prefixes = routesByHost_[normalizeHost(route.host)];
    if (!prefixes.emplace(route.pathPrefix, spec_.routes.size()).second) {
        return fail(ResultCode::RouteConflict,
                    "more than one route has host " + route.host + " and path prefix "
                        + route.pathPrefix);
    }
    spec_.routes.push_back(std::move(route));
    return {};
}

Result<void> RoutingTable::indexTeams()
{
    for (std::size_t i = 0; i < spec_.teams.size(); ++i) {
        const Team &team = spec_.teams[i];
        if (!teams_.emplace(team.name, i).second) {
            return fail(ResultCode::DeclarationInvalid,
                        "team " + team.name + " is defined more than once");
        }
        for (const std::string &key : team.keys) {
            const auto added = teamsByKey_.emplace(key, i);
            if (!added.second && added.first->second != i) {
                return fail(ResultCode::DeclarationInvalid,
                            "team " + team.name + " has a key that another team has");
            }
        }
    }
    return {};
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto prefixes = routesByHost_.find(normalizeHost(host));
    if (prefixes == routesByHost_.end()) {
        return nullptr;
    }
    // Tries the longest prefix first by cutting the path at each slash from the end.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end()) {
            return &spec_.routes[found->second];
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
    return found == services_.end() ? nullptr : &spec_.services[found->second];
}

const Team *RoutingTable::findTeam(const std::string &name) const
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : &spec_.teams[found->second];
}

const Team *RoutingTable::findTeamByKey(const std::string &key) const
{
    const auto found = teamsByKey_.find(key);
    return found == teamsByKey_.end() ? nullptr : &spec_.teams[found->second];
}

const std::string &WeightedServicePicker::pick(const Route &route)
{
    RoundRobinState &state = statesByRoute_[route.name];
    if (!(state.services == route.services)) {
        state.services = route.services;
        // Random initial weights prevent the first requests of many VMs from all going to one
        // service.
        std::mt19937_64 random(seed_ ^ std::hash<std::string>()(route.name));
        double total = 0;
        for (const WeightedService &weightedService : route.services) {
            total += weightedService.weight;
        }
        std::uniform_real_distribution<double> start(0, total);
        state.currentWeights.clear();
        for (std::size_t i = 0; i < route.services.size(); ++i) {
            state.currentWeights.push_back(start(random));
        }
    }
    double total = 0;
    for (std::size_t i = 0; i < state.services.size(); ++i) {
        state.currentWeights[i] += state.services[i].weight;
        total += state.services[i].weight;
    }
    std::size_t best = 0;
    for (std::size_t i = 1; i < state.services.size(); ++i) {
        const bool eligible = state.services[i].weight > 0;
        if (eligible
            && (state.services[best].weight <= 0
                || state.currentWeights[i] > state.currentWeights[best])) {
            best = i;
        }
    }
    state.currentWeights[best] -= total;
    return state.services[best].service;
}

std::variant<RoutingTable, Failure> parseCompletely(const DocumentParse &parse)
{
    while (true) {
        ParseProgress progress = parse();
        if (auto *table = std::get_if<RoutingTable>(&progress)) {
            return std::move(*table);
        }
        if (auto *failure = std::get_if<Failure>(&progress)) {
            return std::move(*failure);
        }
    }
}

} // namespace daisyhaven::routing

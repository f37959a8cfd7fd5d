#include "configuration/configuration.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace daisyhaven::configuration {

namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t KeyIdBytes = 6;
constexpr double MaxTokenLifetimeSeconds = 0.25;
constexpr double MinTokenLifetimeSeconds = 0.02;

std::string toHex(std::string_view bytes)
{
    static const char *const Alphabet = "0123456789abcdef";
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += Alphabet[byte / 16];
        text += Alphabet[byte % 16];
    }
    return text;
}

std::string routeKey(std::string_view method, std::string_view path)
{
    std::string key(method);
    key += ' ';
    key += path;
    return key;
}

template <class... Visitors> struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template <class... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

std::string summarizeChange(const Change &change)
{
    return std::visit(
        Overloaded {
            [](const Publication &p) {
                return "publish: " + std::to_string(p.upsertedServices.size()) + " services put, "
                    + std::to_string(p.removedServices.size()) + " removed, "
                    + std::to_string(p.upsertedTeams.size()) + " teams put, "
                    + std::to_string(p.removedTeams.size()) + " removed";
            },
            [](const KeyGrant &g) { return "key grant " + g.team + " " + g.keyId; },
            [](const KeyRevocation &w) { return "key withdraw " + w.keyId; },
            [](const AvailabilityZoneState &z) {
                return std::string(z.outOfService ? "zone out " : "zone in ") + z.availabilityZone;
            },
            [](const VmState &v) {
                return std::string(v.outOfService ? "vm out " : "vm in ") + v.vm;
            },
        },
        change.body);
}

std::optional<RouteMatch> Configuration::findRoute(std::string_view method,
                                                   std::string_view path) const
{
    auto entry = routes_.find(routeKey(method, path));
    std::string_view prefix = path;
    while (entry == routes_.end()) {
        const std::size_t end = prefix.size() > 1 ? prefix.size() - 2 : std::string_view::npos;
        const std::size_t slash =
            prefix.size() > 1 ? prefix.rfind('/', end) : std::string_view::npos;
        if (slash == std::string_view::npos) {
            return std::nullopt;
        }
        prefix = prefix.substr(0, slash + 1);
        entry = routes_.find(routeKey(method, prefix));
    }
    return RouteMatch { entry->second.service,
                        &entry->second.service->routes[entry->second.route] };
}

std::shared_ptr<const Service> Configuration::findService(const std::string &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

std::shared_ptr<const Team> Configuration::findTeam(const std::string &name) const
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : found->second;
}

std::shared_ptr<const KeyGrant> Configuration::findKeyByHash(const std::string &keyHash) const
{
    const auto found = keysByHash_.find(keyHash);
    return found == keysByHash_.end() ? nullptr : found->second;
}

std::shared_ptr<const KeyGrant> Configuration::findKeyById(const std::string &keyId) const
{
    const auto found = keysById_.find(keyId);
    return found == keysById_.end() ? nullptr : found->second;
}

Result<void> Configuration::validate(const ChangeBody &body) const
{
    if (const auto *publication = std::get_if<Publication>(&body)) {
        const std::set<std::string> removed(publication->removedServices.begin(),
                                            publication->removedServices.end());
        std::map<std::string, std::string> routeOwners;
        for (const Service &service : publication->upsertedServices) {
            for (const Route &route : service.routes) {
                const std::string key = routeKey(route.method, route.path);
                const auto other = routes_.find(key);
                const bool ownedByOtherService = other != routes_.end()
                    && other->second.service->name != service.name
                    && removed.count(other->second.service->name) == 0;
                const auto [declaredOwner, inserted] = routeOwners.emplace(key, service.name);
                if (ownedByOtherService || !inserted) {
                    const std::string owner =
                        ownedByOtherService ? other->second.service->name : declaredOwner->second;
                    return fail(ResultCode::RouteConflict,
                                key + " is declared by both " + owner + " and " + service.name);
                }
            }
        }
        return {};
    }
    if (const auto *grant = std::get_if<KeyGrant>(&body)) {
        if (!findTeam(grant->team)) {
            return fail(ResultCode::UnknownTeam, grant->team);
        }
        if (grant->keyHash.size() != KeyBytes) {
            return fail(ResultCode::DeclarationInvalid, "the key hash must be 32 bytes long");
        }
        return {};
    }
    if (const auto *revocation = std::get_if<KeyRevocation>(&body)) {
        if (!findKeyById(revocation->keyId)) {
            return fail(ResultCode::UnknownKey, revocation->keyId);
        }
    }
    return {};
}

void Configuration::addRoutes(const std::shared_ptr<const Service> &service)
{
    for (std::size_t i = 0; i < service->routes.size(); ++i) {
        const Route &route = service->routes[i];
        routes_[routeKey(route.method, route.path)] = { service, i };
    }
}

void Configuration::removeRoutes(const Service &service)
{
    for (const Route &route : service.routes) {
        const auto entry = routes_.find(routeKey(route.method, route.path));
        if (entry != routes_.end() && entry->second.service->name == service.name) {
            routes_.erase(entry);
        }
    }
}

void Configuration::removeService(const std::string &name)
{
    const auto found = services_.find(name);
    if (found == services_.end()) {
        return;
    }
    removeRoutes(*found->second);
    services_.erase(found);
}

void Configuration::applyChange(const ChangeBody &body)
{
    ++version_;
    std::visit(Overloaded {
                   [this](const Publication &publication) {
                       for (const std::string &name : publication.removedServices) {
                           removeService(name);
                       }
                       for (const Service &service : publication.upsertedServices) {
                           removeService(service.name);
                       }
                       for (const Service &service : publication.upsertedServices) {
                           auto shared = std::make_shared<const Service>(service);
                           services_[service.name] = shared;
                           addRoutes(shared);
                       }
                       for (const std::string &name : publication.removedTeams) {
                           teams_.erase(name);
                       }
                       for (const Team &team : publication.upsertedTeams) {
                           teams_[team.name] = std::make_shared<const Team>(team);
                       }
                   },
                   [this](const KeyGrant &grant) {
                       auto shared = std::make_shared<const KeyGrant>(grant);
                       keysById_[grant.keyId] = shared;
                       keysByHash_[grant.keyHash] = shared;
                   },
                   [this](const KeyRevocation &revocation) {
                       const auto found = keysById_.find(revocation.keyId);
                       if (found != keysById_.end()) {
                           keysByHash_.erase(found->second->keyHash);
                           keysById_.erase(found);
                       }
                   },
                   [this](const AvailabilityZoneState &state) {
                       if (state.outOfService) {
                           zonesOutOfService_.insert(state.availabilityZone);
                       } else {
                           zonesOutOfService_.erase(state.availabilityZone);
                       }
                   },
                   [this](const VmState &state) {
                       if (state.outOfService) {
                           vmsOutOfService_.insert(state.vm);
                       } else {
                           vmsOutOfService_.erase(state.vm);
                       }
                   },
               },
               body);
}

Publication computePublication(const Configuration &base, const Declarations &declarations)
{
    Publication publication;
    std::set<std::string> services;
    for (const Service &service : declarations.services) {
        services.insert(service.name);
        const auto old = base.findService(service.name);
        if (!old || *old != service) {
            publication.upsertedServices.push_back(service);
        }
    }
    std::set<std::string> teams;
    for (const Team &team : declarations.teams) {
        teams.insert(team.name);
        const auto old = base.findTeam(team.name);
        if (!old || *old != team) {
            publication.upsertedTeams.push_back(team);
        }
    }
    for (const auto &[name, service] : base.services()) {
        if (services.count(name) == 0) {
            publication.removedServices.push_back(name);
        }
    }
    for (const auto &[name, team] : base.teams()) {
        if (teams.count(name) == 0) {
            publication.removedTeams.push_back(name);
        }
    }
    return publication;
}

std::vector<std::string> describePublication(const Configuration &base,
                                             const Publication &publication)
{
    std::vector<std::string> lines;
    for (const Service &service : publication.upsertedServices) {
        const auto old = base.findService(service.name);
        lines.push_back((old ? "~ service " : "+ service ") + service.name);
        for (const Route &route : service.routes) {
            const bool unchanged = old
                && std::find(old->routes.begin(), old->routes.end(), route) != old->routes.end();
            if (!unchanged) {
                lines.push_back("  + route " + routeKey(route.method, route.path));
            }
        }
        for (const Route &route : old ? old->routes : std::vector<Route> {}) {
            const bool unchanged = std::find(service.routes.begin(), service.routes.end(), route)
                != service.routes.end();
            if (!unchanged) {
                lines.push_back("  - route " + routeKey(route.method, route.path));
            }
        }
    }
    for (const std::string &name : publication.removedServices) {
        lines.push_back("- service " + name);
    }
    for (const Team &team : publication.upsertedTeams) {
        lines.push_back((base.findTeam(team.name) ? "~ team " : "+ team ") + team.name);
    }
    for (const std::string &name : publication.removedTeams) {
        lines.push_back("- team " + name);
    }
    return lines;
}

std::string hashKey(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return std::string(reinterpret_cast<const char *>(digest.data()), length);
}

DerivedKey deriveKey(const std::string &secret, const std::string &operationId,
                     const std::string &team)
{
    const std::string message = "team-key/" + operationId + "/" + team;
    std::array<unsigned char, KeyBytes> keyBytes {};
    unsigned int length = KeyBytes;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), keyBytes.data(),
         &length);
    DerivedKey derived;
    derived.key =
        "dh_" + toHex({ reinterpret_cast<const char *>(keyBytes.data()), keyBytes.size() });
    derived.grant.keyHash = hashKey(derived.key);
    derived.grant.keyId = toHex(std::string_view(derived.grant.keyHash).substr(0, KeyIdBytes));
    derived.grant.team = team;
    return derived;
}

double tokenLifetimeSeconds(double rate, double burst)
{
    if (rate <= 0) {
        return 0;
    }
    const double lifetime = std::min(MaxTokenLifetimeSeconds, (burst - 1) / (2 * rate));
    return lifetime < MinTokenLifetimeSeconds ? 0 : lifetime;
}

} // namespace daisyhaven::configuration

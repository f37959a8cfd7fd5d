#include "gateway/internal/reachability.h"

#include <algorithm>
#include <utility>

namespace daisyhaven::gateway {

void Reachability::recordFailure(Instant now, const NetworkFailure &failure, const Servers &servers)
{
    ServiceState &service = services_[failure.service];
    if (service.state == State::Disconnected) {
        actions_.emplace_back(Verdict { failure.service, FaultyEnd::OwnLinks });
        return;
    }
    if (service.state == State::Checking) {
        return;
    }
    // An open connection may work while new ones fail, so a response does not excuse a connection
    // that could not be opened.
    const bool responseProves = failure.kind == NetworkFailure::Kind::NoResponse;
    const bool linksWork = service.connectedAt > failure.attemptStartedAt
        || (responseProves && service.respondedAt > failure.attemptStartedAt);
    if (linksWork) {
        actions_.emplace_back(Verdict { failure.service, FaultyEnd::Server });
        return;
    }
    startCheck(now, failure, servers, service);
    service.nextAttemptAt = now + RetryInterval;
}

void Reachability::startCheck(Instant now, const NetworkFailure &failure, const Servers &servers,
                              ServiceState &service)
{
    const auto picked = pickServers(failure.service, failure.server, servers, ServersPerCheck);
    if (picked.empty()) {
        actions_.emplace_back(Verdict { failure.service, FaultyEnd::Server });
        return;
    }
    service.state = State::Checking;
    ++service.check;
    service.checkStartedAt = now;
    service.refused = false;
    service.pendingConnections = picked.size();
    for (const scheduler::KnownServer *server : picked) {
        openConnection(*server, service.check);
    }
}

std::vector<const scheduler::KnownServer *> Reachability::pickServers(const std::string &service,
                                                                      const std::string &excluded,
                                                                      const Servers &servers,
                                                                      std::size_t count)
{
    std::vector<const scheduler::KnownServer *> candidates;
    for (const auto &[id, server] : servers) {
        const bool usable = server.info.service == service && !server.info.draining;
        if (usable && id != excluded) {
            candidates.push_back(&server);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    // A suspected server says less about the links, and so does a second server of a zone.
    std::set<std::string> zones;
    const auto rank = [&](const scheduler::KnownServer *server) {
        const bool repeatsZone = !zones.insert(server->info.zone).second;
        return (server->suspected ? 2 : 0) + (repeatsZone ? 1 : 0);
    };
    std::vector<std::pair<int, const scheduler::KnownServer *>> ranked;
    ranked.reserve(candidates.size());
    for (const scheduler::KnownServer *server : candidates) {
        ranked.emplace_back(rank(server), server);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<const scheduler::KnownServer *> picked;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        picked.push_back(ranked[i].second);
    }
    return picked;
}

void Reachability::openConnection(const scheduler::KnownServer &server, std::uint64_t check)
{
    actions_.emplace_back(
        OpenConnection { server.info.service, server.info.id, server.info.address, check });
}

void Reachability::recordConnection(Instant now, const std::string &service)
{
    ServiceState &state = services_[service];
    state.connectedAt = now;
    const State previous = std::exchange(state.state, State::Reachable);
    if (previous == State::Checking) {
        actions_.emplace_back(Verdict { service, FaultyEnd::Server });
    } else if (previous == State::Disconnected) {
        actions_.emplace_back(ReachabilityChange { service, true });
    }
}

void Reachability::recordFailedConnection(const OpenConnection &request, ConnectionEnd end)
{
    const std::string &service = request.service;
    ServiceState &state = services_[service];
    if (state.state != State::Checking || state.check != request.check) {
        return;
    }
    --state.pendingConnections;
    state.refused = state.refused || end == ConnectionEnd::Refused;
    if (state.pendingConnections > 0) {
        return;
    }
    const bool linksAreSlow = !state.refused && state.respondedAt > state.checkStartedAt;
    if (linksAreSlow) {
        state.state = State::Reachable;
        actions_.emplace_back(Verdict { service, FaultyEnd::Server });
    } else {
        state.state = State::Disconnected;
        actions_.emplace_back(ReachabilityChange { service, false });
        actions_.emplace_back(Verdict { service, FaultyEnd::OwnLinks });
    }
}

void Reachability::recordResponse(Instant now, const std::string &service)
{
    services_[service].respondedAt = now;
}

void Reachability::tick(Instant now, const Servers &servers)
{
    for (auto &[name, service] : services_) {
        const bool due = service.state == State::Disconnected && now >= service.nextAttemptAt;
        if (!due) {
            continue;
        }
        service.nextAttemptAt = now + RetryInterval;
        for (const scheduler::KnownServer *server : pickServers(name, "", servers, 1)) {
            openConnection(*server, service.check);
        }
    }
}

bool Reachability::isDisconnected(const std::string &service) const
{
    const auto known = services_.find(service);
    return known != services_.end() && known->second.state == State::Disconnected;
}

bool Reachability::isAnyDisconnected() const
{
    return std::any_of(services_.begin(), services_.end(), [](const auto &service) {
        return service.second.state == State::Disconnected;
    });
}

std::vector<ReachabilityAction> Reachability::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace daisyhaven::gateway

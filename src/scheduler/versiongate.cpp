// Scheduler: which versions of a service receive requests during and after a roll-out.
#include "scheduler/scheduler.h"

#include "scheduler/internal/state.h"

namespace daisyhaven::scheduler {

using internal::ServerState;
using internal::ServiceState;
using internal::VersionRole;

namespace internal {

namespace {

// Above the sum of all other selection costs.
constexpr double TargetVersionBonus = 100;

VersionRole roleOf(const VersionGate &gate, const std::string &version)
{
    if (version == gate.target) {
        return VersionRole::Target;
    }
    return gate.replacedVersions.count(version) != 0 ? VersionRole::Replaced
                                                     : VersionRole::Unaffected;
}

bool targetServes(const ServiceState &service)
{
    const auto &limit = service.versionGate->maxTargetRequests;
    return !limit || service.targetRequests < *limit;
}

} // namespace

void applyVersionGate(const ServiceState &service, ServerState &server)
{
    if (!service.versionGate) {
        return;
    }
    server.versionRole = roleOf(*service.versionGate, server.info.version);
    switch (server.versionRole) {
    case VersionRole::Unaffected:
        server.blockedByVersion = false;
        break;
    case VersionRole::Target:
        server.blockedByVersion = !targetServes(service);
        break;
    case VersionRole::Replaced:
        server.blockedByVersion = !service.versionGate->replacedVersionsServe;
        break;
    }
}

void applyVersionGate(ServiceState &service)
{
    for (auto &[id, server] : service.servers) {
        applyVersionGate(service, *server);
    }
}

double versionGateBonus(const ServiceState &service, const ServerState &server)
{
    const bool limited = server.versionRole == VersionRole::Target
        && service.versionGate->maxTargetRequests.has_value();
    return limited ? TargetVersionBonus : 0;
}

} // namespace internal

void Scheduler::setVersionGate(Instant now, const std::string &name, VersionGate gate)
{
    ServiceState &service = getOrCreateService(name);
    if (service.versionGate == gate) {
        return;
    }
    service.versionGate = std::move(gate);
    internal::applyVersionGate(service);
    updateServerCounts(now, service);
    grantWaitingRequests(now, service);
}

VersionLoad Scheduler::versionLoad(Instant now, const std::string &name) const
{
    VersionLoad load;
    const auto known = services_.find(name);
    if (known == services_.end()) {
        return load;
    }
    const ServiceState &service = *known->second;
    load.requests = service.gatedRequests;
    load.targetRequests = service.targetRequests;
    for (const auto &[id, server] : service.servers) {
        load.inFlight += server->inFlightCount();
        if (server->versionRole == VersionRole::Replaced) {
            load.replacedInFlight += server->inFlightCount();
        }
        const bool usable = server->versionRole == VersionRole::Target && isStaying(*server)
            && server->isWarmAndTrusted(now);
        if (usable) {
            ++load.targetServers;
            load.targetSlots += server->info.slots;
        }
    }
    return load;
}

void Scheduler::countForVersionGate(ServiceState &service, const ServerState &server,
                                    const SlotRequest &request)
{
    if (!service.versionGate) {
        return;
    }
    const bool isFirstAttempt = !request.isRetry && !request.hasRateToken;
    service.gatedRequests += isFirstAttempt ? 1 : 0;
    if (server.versionRole != VersionRole::Target) {
        return;
    }
    ++service.targetRequests;
    if (!internal::targetServes(service)) {
        internal::applyVersionGate(service);
    }
}

// A cold server is slow whatever its version, so its results say nothing about the version.
void Scheduler::reportVersionResult(const ServiceState &service, const GrantedSlot &slot,
                                    Outcome outcome, Duration latency)
{
    const auto server = servers_.find(slot.serverId);
    if (!service.versionGate || !service.versionGate->reportsResults || server == servers_.end()) {
        return;
    }
    if (server->second->isWarmingUp(slot.grantedAt)) {
        return;
    }
    actions_.emplace_back(VersionResult { slot.service, slot.serverId, slot.route,
                                          server->second->versionRole == VersionRole::Target,
                                          slot.underLoad, outcome, latency });
}

} // namespace daisyhaven::scheduler

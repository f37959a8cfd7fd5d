#include "scheduler/scheduler.h"

#include "scheduler/internal/crashrecords.h"
#include "scheduler/internal/state.h"
#include "scheduler/internal/teamrates.h"
#include "scheduler/internal/thresholds.h"

namespace daisyhaven::scheduler {

using internal::ServerState;
using internal::ServiceState;
using internal::toDuration;

namespace {

constexpr double ColdStartBurst = 2;
// Fraction of the unreachable VMs' share of the rates that is reserved for them. They limit
// themselves to less than their full share.
constexpr double UnreachableVmShareFraction = 0.75;

} // namespace

Scheduler::Scheduler(std::uint64_t epoch, Limits limits, std::uint64_t seed, Instant now)
    : epoch_(epoch), limits_(limits), random_(seed), startedAt_(now),
      table_(std::make_shared<const routing::RoutingTable>()),
      rateLimiter_(std::make_unique<internal::TeamRateLimiter>(limits)),
      crashRecords_(std::make_unique<internal::CrashRecords>())
{
}

Scheduler::~Scheduler() = default;

std::vector<Action> Scheduler::takeActions()
{
    std::vector<Action> actions;
    actions.swap(actions_);
    return actions;
}

ServiceState &Scheduler::getOrCreateService(const std::string &name)
{
    auto &service = services_[name];
    if (!service) {
        service = std::make_unique<ServiceState>(name, limits_, startedAt_);
        const routing::Service *known = table_->findService(name);
        if (known != nullptr) {
            service->coldRequestsPerSecond = known->coldStartRequestsPerSecond;
            service->coldStartDuration = known->coldStartDuration;
        }
    }
    return *service;
}

void Scheduler::setRoutingTable(Instant now, std::shared_ptr<const routing::RoutingTable> table,
                                const InitialTokens &initialTokens)
{
    table_ = std::move(table);
    rateLimiter_->setRoutingTable(now, *table_, initialTokens);
    for (const routing::Service &known : table_->services()) {
        ServiceState &service = getOrCreateService(known.name);
        service.coldRequestsPerSecond = known.coldStartRequestsPerSecond;
        service.coldStartDuration = known.coldStartDuration;
        for (auto &[id, server] : service.servers) {
            server->coldStartLimiter.reconfigure(known.coldStartRequestsPerSecond, ColdStartBurst,
                                                 now);
        }
    }
}

void Scheduler::setZonesOutOfService(Instant now, const std::set<std::string> &zones)
{
    for (const std::string &zone : evacuatedZones_) {
        if (zones.count(zone) != 0) {
            continue;
        }
        for (auto &[id, server] : servers_) {
            if (server->info.zone == zone) {
                const Duration coldStart =
                    getOrCreateService(server->info.service).coldStartDuration;
                server->zoneRestoreColdUntil = now + coldStart;
            }
        }
    }
    evacuatedZones_ = zones;
}

void Scheduler::addOrUpdateServer(Instant now, const ServerInfo &info)
{
    const auto known = servers_.find(info.id);
    const bool isSameProcess = known != servers_.end()
        && known->second->info.startTimeMs == info.startTimeMs
        && known->second->info.service == info.service;
    if (isSameProcess) {
        ServerState &server = *known->second;
        server.addressReassigned = server.addressReassigned && server.info.address == info.address;
        server.info = info;
    } else {
        removeServer(info.id);
        ServiceState &service = getOrCreateService(info.service);
        auto server = std::make_unique<ServerState>(info, now);
        server->requestLimit.setReservedShare(now, shareReservedForOthers_);
        server->coldStartLimiter = internal::TokenBucket(service.coldRequestsPerSecond,
                                                         ColdStartBurst, ColdStartBurst, now);
        servers_[info.id] = server.get();
        service.servers[info.id] = std::move(server);
    }
    ServiceState &service = getOrCreateService(info.service);
    internal::applyVersionGate(service, *servers_.at(info.id));
    updateServerCounts(now, service);
    grantWaitingRequests(now, service);
}

void Scheduler::removeServer(const std::string &id)
{
    const auto known = servers_.find(id);
    if (known == servers_.end()) {
        return;
    }
    ServiceState &service = getOrCreateService(known->second->info.service);
    servers_.erase(known);
    service.servers.erase(id);
}

void Scheduler::restoreSuspicion(Instant now, const std::string &id)
{
    const auto known = servers_.find(id);
    if (known == servers_.end()) {
        return;
    }
    known->second->health.recordInheritedSuspicion(now);
    known->second->nextProbeAt = now + internal::InitialProbeInterval;
    updateSuspicion(now, *known->second, "suspected by the previous leader");
}

void Scheduler::restoreRequestLimit(Instant now, const std::string &id, double requestsPerSecond)
{
    const auto known = servers_.find(id);
    if (known != servers_.end()) {
        // The previous leader may have granted all of it.
        known->second->requestLimit.record(now, requestsPerSecond);
        known->second->requestLimit.takeChange();
    }
}

void Scheduler::setExternalSlots(Instant now, const std::string &vm,
                                 const std::map<std::string, std::uint32_t> &slotsByServer)
{
    auto &known = externalSlots_[vm];
    if (known == slotsByServer) {
        return;
    }
    const auto adjust = [this](const std::map<std::string, std::uint32_t> &slots, bool add) {
        for (const auto &[id, count] : slots) {
            const auto server = servers_.find(id);
            if (server != servers_.end()) {
                std::uint32_t &externalCount = server->second->externalSlots;
                externalCount =
                    add ? externalCount + count : externalCount - std::min(externalCount, count);
            }
        }
    };
    adjust(known, false);
    known = slotsByServer;
    adjust(known, true);
    for (auto &[name, service] : services_) {
        grantWaitingRequests(now, *service);
    }
}

void Scheduler::recordExternalAdmissions(Instant now, const std::string &team, std::uint32_t count)
{
    rateLimiter_->deductExternalAdmissions(now, team, count);
}

// ---- slot requests ----

void Scheduler::requestSlot(Instant now, SlotRequest request)
{
    if (const auto wait = crashRecords_->tryAdmit(now, request.fingerprint)) {
        reject(now, request, ResultCode::Quarantined, *wait, "the request crashed two servers");
        return;
    }
    ServiceState &service = getOrCreateService(request.service);
    if (request.idempotent) {
        service.lastIdempotentAt = now;
    }
    if (request.isRetry) {
        if (!service.retryBudget.allowsRetry(now, limits_)) {
            reject(now, request, ResultCode::RetryBudgetSpent, Duration(0),
                   "the retry budget of the service is spent");
            return;
        }
    }
    if (!request.hasRateToken) {
        if (const auto wait = rateLimiter_->tryTakeToken(now, request.team)) {
            reject(now, request, ResultCode::RateExceeded, *wait,
                   "the team exceeds its rate limit");
            return;
        }
    }
    service.requestRates.record(now, request.priority, toDuration(typicalLatency(request.route)));
    if (!request.isRetry) {
        service.zoneBalancer.recordRequest(now, request.zone, request.largeBody);
    }
    request.servingZone = service.zoneBalancer.pickZone(request.zone, request.largeBody);
    if (!tryGrant(now, service, request, false)) {
        enqueueOrReject(now, service, std::move(request));
    }
}

// `hasWaitedLong`: the request has waited for a slot, so a server with a higher failure probability
// is acceptable.
bool Scheduler::tryGrant(Instant now, ServiceState &service, const SlotRequest &request,
                         bool hasWaitedLong)
{
    ServerState *server = pickServer(now, service, request, hasWaitedLong);
    if (server == nullptr) {
        return false;
    }
    if (request.isRetry) {
        service.retryBudget.recordRetry(now);
    } else if (!request.hasRateToken) {
        service.retryBudget.recordFirstAttempt(now, limits_);
    }
    grantSlot(now, *server, request);
    countForVersionGate(service, *server, request);
    return true;
}

void Scheduler::tick(Instant now)
{
    checkOverdueSlots(now);
    crashRecords_->removeExpired(now);
    updateAllZoneShares(now);
    for (auto &[name, service] : services_) {
        updateServerCounts(now, *service);
        for (auto &[id, server] : service->servers) {
            updateSuspicion(now, *server, "failure probability decayed over time");
        }
        grantWaitingRequests(now, *service);
        rejectExpiredRequests(now, *service);
    }
}

bool Scheduler::isSuspected(const std::string &server) const
{
    const auto known = servers_.find(server);
    return known != servers_.end() && known->second->suspected;
}

double Scheduler::requestLimit(const std::string &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? 0 : known->second->requestLimit.perSecond();
}

std::set<std::string> Scheduler::busyTeams(Instant now) const
{
    return rateLimiter_->busyTeams(now);
}

void Scheduler::setUnreachableVmShare(Instant now, double share)
{
    const double reserved = share * UnreachableVmShareFraction;
    if (reserved == shareReservedForOthers_) {
        return;
    }
    shareReservedForOthers_ = reserved;
    rateLimiter_->reserveShareForOthers(now, reserved);
    for (auto &[id, server] : servers_) {
        server->requestLimit.setReservedShare(now, reserved);
    }
}

std::uint32_t Scheduler::inFlightCount(const std::string &server) const
{
    const auto known = servers_.find(server);
    return known == servers_.end() ? 0 : known->second->inFlightCount();
}

std::size_t Scheduler::queuedRequestCount() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : services_) {
        count += service->waitingQueue.size();
    }
    return count;
}

double Scheduler::largestWaitingShare() const
{
    double largest = 0;
    for (const auto &[name, service] : services_) {
        const internal::WaitingQueue &queue = service->waitingQueue;
        const auto size = static_cast<double>(std::max<std::size_t>(queue.size(), 1));
        largest = std::max(largest, static_cast<double>(queue.heaviestTeamSize()) / size);
    }
    return largest;
}

} // namespace daisyhaven::scheduler

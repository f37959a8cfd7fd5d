#include "scheduler/scheduler.h"

#include "scheduler/internal/thresholds.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler {

using internal::toSeconds;

namespace {

// Fractions of the tolerated requests per window that all VMs without a leader may use together:
// one in proportion to what the leader admitted on each VM, one in equal shares. The remainder
// covers a leader that returns before it knows what these VMs admitted.
constexpr double FractionByUsage = 0.35;
constexpr double FractionSharedEvenly = 0.45;
// Admissions by the leader are averaged over this time.
constexpr Seconds AdmissionAveragingWindow { 10 };
// Averaging time for a VM that started recently.
constexpr Seconds MinAveragingWindow { 2 };

// Retries of a VM without a leader, as a fraction of the first attempts that it admitted itself.
// The leader's own retries are a fraction of what the leader admitted.
constexpr double RetryRatio = 0.18;
constexpr Seconds RetryWindow { 10 };

// More than the largest difference by chance, so a request leaves its zone only for a server that
// has done better or has fewer requests of this VM.
constexpr double LeavingCost = 1;
// Of the own zone for a request that another zone should serve.
constexpr double StayingCost = 0.5;
constexpr double SuspicionCost = 10;
// A suspicion that the leader has not refreshed for this long is ignored.
constexpr Seconds SuspicionLifetime { 3 };

constexpr Seconds FailureLifetime { 3 };
constexpr Seconds ShedLifetime { 1 };
// A request without a response for this long counts against its server.
constexpr Milliseconds OverdueThreshold { 800 };
constexpr double FailureCost = 20;
constexpr double OverdueCost = 20;
constexpr double ShedCost = 5;
constexpr std::size_t EndsBetweenCleanups = 512;

void dropBefore(std::deque<Instant> &times, Instant before)
{
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

std::size_t countBetween(const std::deque<Instant> &times, Instant from, Instant until)
{
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [&](Instant at) { return at >= from && at <= until; }));
}

} // namespace

// ---- LocalServerStats ----

void LocalServerStats::recordStart(Instant now, const std::string &server)
{
    servers_[server].startTimes.push_back(now);
}

void LocalServerStats::recordEnd(Instant now, const std::string &server, Outcome outcome,
                                 Duration latency)
{
    ServerStats &stats = servers_[server];
    if (!stats.startTimes.empty()) {
        // Removes the start time closest to the one that the latency implies.
        const Instant startedAt = now - latency;
        const auto ended = std::min_element(
            stats.startTimes.begin(), stats.startTimes.end(), [&](Instant a, Instant b) {
                return std::abs((a - startedAt).count()) < std::abs((b - startedAt).count());
            });
        stats.startTimes.erase(ended);
    }
    switch (outcome) {
    case Outcome::Success:
        stats.succeededAt = now;
        break;
    case Outcome::Shed:
        stats.shedAt = now;
        break;
    case Outcome::NotSent:
    case Outcome::Cancelled:
    case Outcome::VmDisconnected:
        break;
    case Outcome::ServerError:
    case Outcome::MalformedResponse:
    case Outcome::ConnectRefused:
    case Outcome::ConnectTimeout:
    case Outcome::ConnectionLost:
    case Outcome::ResponseTimeout:
    case Outcome::WrongServer:
        stats.failedAt = now;
        break;
    }
    if (++endsSinceCleanup_ >= EndsBetweenCleanups) {
        endsSinceCleanup_ = 0;
        removeStaleServers(now);
    }
}

void LocalServerStats::removeStaleServers(Instant now)
{
    const Instant oldest = now - FailureLifetime;
    for (auto server = servers_.begin(); server != servers_.end();) {
        const ServerStats &stats = server->second;
        const bool isStale =
            stats.startTimes.empty() && std::max(stats.succeededAt, stats.failedAt) < oldest;
        server = isStale ? servers_.erase(server) : std::next(server);
    }
}

double LocalServerStats::penalty(Instant now, const std::string &server) const
{
    const auto known = servers_.find(server);
    if (known == servers_.end()) {
        return 0;
    }
    const ServerStats &stats = known->second;
    double cost = 0;
    if (stats.failedAt > stats.succeededAt && now - stats.failedAt < FailureLifetime) {
        cost += FailureCost;
    }
    if (stats.shedAt != Instant() && now - stats.shedAt < ShedLifetime) {
        cost += ShedCost;
    }
    if (!stats.startTimes.empty() && now - stats.startTimes.front() > OverdueThreshold) {
        cost += OverdueCost;
    }
    return cost;
}

// ---- rate limits ----

void LocalLoadBalancer::setSharedLimits(std::size_t entryVmCount, const RateTolerance &tolerance,
                                        const std::set<std::string> &busyTeams)
{
    entryVmCount_ = std::max<std::size_t>(entryVmCount, 1);
    tolerance_ = tolerance;
    busyTeams_ = busyTeams;
}

void LocalLoadBalancer::recordLeaderAdmission(Instant now, const std::string &team)
{
    TeamShare &share = teamShares_[team];
    share.admissions.push_back(now);
    dropBefore(share.admissions, now - tolerance_.window);
    if (firstLeaderAdmissionAt_ == Instant()) {
        // This first admission marks the start of the averaging period and is not counted.
        firstLeaderAdmissionAt_ = now;
        return;
    }
    share.leaderAdmissions.push_back(now);
    dropBefore(share.leaderAdmissions, now - AdmissionAveragingWindow);
}

double LocalLoadBalancer::expectedAdmissions(Instant lastLeaderMessageAt, const std::string &team,
                                             Duration length) const
{
    const auto share = teamShares_.find(team);
    if (share == teamShares_.end()) {
        return 0;
    }
    const auto count = static_cast<double>(
        countBetween(share->second.leaderAdmissions, lastLeaderMessageAt - AdmissionAveragingWindow,
                     lastLeaderMessageAt + AdmissionAveragingWindow));
    const Duration known = std::clamp<Duration>(lastLeaderMessageAt - firstLeaderAdmissionAt_,
                                                MinAveragingWindow, AdmissionAveragingWindow);
    return count * toSeconds(length) / toSeconds(known);
}

// `expected` is the number of requests per window that the leader admitted on this VM. Summed over
// all VMs it is at most the team's limit, or BusyRateFraction of it for a team that is not busy.
double LocalLoadBalancer::localLimit(const routing::Team &team, double expected) const
{
    const bool isBusy = busyTeams_.count(team.name) != 0;
    const double allowed = team.requestsPerSecond * toSeconds(tolerance_.window) + team.burst;
    const double tolerated = allowed * (1 + tolerance_.overshoot) + tolerance_.slack;
    const double maxUsed = allowed * (isBusy ? 1 : BusyRateFraction);
    return expected * FractionByUsage * tolerated / maxUsed
        + FractionSharedEvenly * tolerated / static_cast<double>(entryVmCount_);
}

bool LocalLoadBalancer::tryAdmit(Instant now, Instant lastLeaderMessageAt,
                                 const routing::Team &team)
{
    if (team.requestsPerSecond <= 0) {
        return true;
    }
    TeamShare &share = teamShares_[team.name];
    if (share.drawnAt == Instant() || now - share.drawnAt >= tolerance_.window) {
        std::uniform_real_distribution<double> chance(0, 1);
        share.roundUpThreshold = chance(random_);
        share.drawnAt = now;
    }
    const double limit =
        localLimit(team, expectedAdmissions(lastLeaderMessageAt, team.name, tolerance_.window));
    const double wholeLimit = std::floor(limit);
    const double roundedLimit =
        share.roundUpThreshold < limit - wholeLimit ? wholeLimit + 1 : wholeLimit;
    dropBefore(share.admissions, now - tolerance_.window);
    if (static_cast<double>(share.admissions.size()) >= roundedLimit) {
        return false;
    }
    share.admissions.push_back(now);
    return true;
}

// ---- retries ----

void LocalLoadBalancer::recordFirstAttempt(Instant now, const std::string &service)
{
    std::deque<Instant> &firsts = retryHistories_[service].firstAttempts;
    firsts.push_back(now);
    dropBefore(firsts, now - RetryWindow);
}

bool LocalLoadBalancer::tryAcquireRetry(Instant now, const std::string &service)
{
    RetryHistory &known = retryHistories_[service];
    dropBefore(known.firstAttempts, now - RetryWindow);
    dropBefore(known.retries, now - RetryWindow);
    const double allowed = RetryRatio * static_cast<double>(known.firstAttempts.size());
    if (static_cast<double>(known.retries.size()) + 1 > allowed) {
        return false;
    }
    known.retries.push_back(now);
    return true;
}

// ---- server selection ----

// The VMs draw independently of each other, so together they follow the shares. A share of a zone
// without usable servers stays in the own zone.
const std::string &LocalLoadBalancer::drawZone(const SlotRequest &request,
                                               const std::set<std::string> &usableZones)
{
    std::uniform_real_distribution<double> chance(0, 1);
    double drawn = chance(random_);
    for (const ZoneShare &share : zoneShares_) {
        if (share.service != request.service || share.from != request.zone
            || usableZones.count(share.to) == 0) {
            continue;
        }
        if (drawn < share.share) {
            return share.to;
        }
        drawn -= share.share;
    }
    return request.zone;
}

const KnownServer *LocalLoadBalancer::pickServer(Instant now, Duration viewAge,
                                                 const SlotRequest &request,
                                                 const std::map<std::string, KnownServer> &servers,
                                                 const std::set<std::string> &evacuatedZones,
                                                 const std::map<std::string, std::uint32_t> &inUse)
{
    std::uniform_real_distribution<double> jitter(0, 1);
    std::vector<const KnownServer *> usableServers;
    std::set<std::string> usableZones;
    for (const auto &[id, server] : servers) {
        const ServerInfo &info = server.info;
        const bool usable = info.service == request.service && !info.draining
            && now >= info.coldStartUntil && evacuatedZones.count(info.zone) == 0
            && request.excludedServers.count(id) == 0;
        if (usable) {
            usableServers.push_back(&server);
            usableZones.insert(info.zone);
        }
    }
    const std::string &zone = drawZone(request, usableZones);
    const KnownServer *best = nullptr;
    double bestCost = 0;
    for (const KnownServer *server : usableServers) {
        const std::string &id = server->info.id;
        const auto used = inUse.find(id);
        double cost = jitter(random_) + serverStats_.penalty(now, id);
        cost += used == inUse.end() ? 0 : used->second;
        if (server->info.zone != zone) {
            cost += server->info.zone == request.zone ? StayingCost : LeavingCost;
        }
        cost += server->suspected && viewAge < SuspicionLifetime ? SuspicionCost : 0;
        if (best == nullptr || cost < bestCost) {
            best = server;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace daisyhaven::scheduler

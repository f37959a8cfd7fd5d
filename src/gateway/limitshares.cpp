#include "gateway/internal/limitshares.h"

#include <iterator>

namespace daisyhaven::gateway {

namespace {

// Time between two requests of one VM if all VMs together send `requestsPerSecond`.
Duration requestInterval(double requestsPerSecond, std::size_t entryVmCount)
{
    const double seconds = static_cast<double>(entryVmCount) / requestsPerSecond;
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

// Bounds the memory when servers come and go: once there are more entries than servers in `view`,
// those of other servers are removed.
template <class ByServer>
void removeUnknown(const coordination::FleetView &view, ByServer &byServer)
{
    if (byServer.size() <= view.servers.size()) {
        return;
    }
    for (auto entry = byServer.begin(); entry != byServer.end();) {
        const bool known = view.servers.count(entry->first) != 0;
        entry = known ? std::next(entry) : byServer.erase(entry);
    }
}

} // namespace

void LimitShares::recordLimit(Instant now, const std::string &server, std::uint64_t startTimeMs,
                              double requestsPerSecond, const coordination::FleetView &view)
{
    const bool unlimited = requestsPerSecond <= 0 && heardLimits_.count(server) == 0;
    if (!unlimited) {
        heardLimits_[server] = { startTimeMs, requestsPerSecond, now };
        removeUnknown(view, heardLimits_);
    }
}

std::set<std::string> LimitShares::exhaustedServers(Instant now, Instant lastLeaderContactAt,
                                                    const std::string &service,
                                                    const coordination::FleetView &view)
{
    removeUnknown(view, shares_);
    std::set<std::string> exhausted;
    for (const auto &[id, server] : view.servers) {
        if (server.info.service != service) {
            continue;
        }
        const double limit = currentLimit(lastLeaderContactAt, server);
        if (limit <= 0) {
            continue;
        }
        const Duration interval = requestInterval(limit, view.entryVmCount);
        if (now < currentShare(now, lastLeaderContactAt, id, interval).nextRequestAt) {
            exhausted.insert(id);
        }
    }
    return exhausted;
}

void LimitShares::takeRequest(Instant now, Instant lastLeaderContactAt,
                              const scheduler::KnownServer &server, std::size_t entryVmCount)
{
    const double limit = currentLimit(lastLeaderContactAt, server);
    if (limit > 0) {
        const Duration interval = requestInterval(limit, entryVmCount);
        Share &share = currentShare(now, lastLeaderContactAt, server.info.id, interval);
        share.nextRequestAt = now + interval;
    }
}

double LimitShares::currentLimit(Instant lastLeaderContactAt,
                                 const scheduler::KnownServer &server) const
{
    const auto heard = heardLimits_.find(server.info.id);
    const bool isNewer = heard != heardLimits_.end()
        && heard->second.startTimeMs == server.info.startTimeMs
        && heard->second.heardAt > lastLeaderContactAt;
    return isNewer ? heard->second.requestsPerSecond : server.requestsPerSecond;
}

// All VMs may lose the leader at once, so their first requests are spread over one interval.
LimitShares::Share &LimitShares::currentShare(Instant now, Instant lastLeaderContactAt,
                                              const std::string &server, Duration interval)
{
    const auto [known, isFirst] = shares_.try_emplace(server);
    Share &share = known->second;
    if (isFirst || share.leaderLostAt != lastLeaderContactAt) {
        std::uniform_int_distribution<Duration::rep> wait(0, interval.count());
        share = { lastLeaderContactAt, now + Duration(wait(random_)) };
    }
    return share;
}

} // namespace daisyhaven::gateway

#include "scheduler/scheduler.h"

#include <algorithm>

namespace daisyhaven::scheduler {

namespace {

// What the leader let through in this window tells this VM's share of a team's rate.
constexpr Seconds ShareWindow { 8 };
// A team that was refused within this time spends its whole rate already.
constexpr Seconds RefusalMemory { 8 };
// A team that spends its whole rate goes on with this part of its share.
constexpr double SpentShare = 0.9;
// A team below its rate is taken to spend up to this part of it.
constexpr double UsualPart = 0.7;
// Part of what is tolerated that VMs without a leader use.
constexpr double TolerancePart = 0.85;
constexpr double LargestLocalBurst = 8;

constexpr double CostOfOtherZone = 0.5;
constexpr double CostOfSuspicion = 10;

} // namespace

void LocalChooser::setSharing(std::size_t entryVms, const RateTolerance &tolerance)
{
    entryVms_ = std::max<std::size_t>(entryVms, 1);
    tolerance_ = tolerance;
}

void LocalChooser::noteAdmitted(Instant now, const std::string &team)
{
    Share &share = shares_[team];
    share.bucket.reset();
    share.admitted.push_back(now);
    while (!share.admitted.empty() && now - share.admitted.front() > ShareWindow) {
        share.admitted.pop_front();
    }
}

void LocalChooser::noteRefused(Instant now, const std::string &team)
{
    Share &share = shares_[team];
    share.bucket.reset();
    share.refusedAt = now;
}

bool LocalChooser::admit(Instant now, const routing::Team &team)
{
    if (team.requestsPerSecond <= 0) {
        return true;
    }
    Share &share = shares_[team.name];
    if (!share.bucket) {
        share.bucket = makeShare(now, share, team);
    }
    return share.bucket->take(1, now);
}

// The refill of all VMs together is what the team usually spends; what is tolerated beyond that in
// one window is divided evenly, as a burst of each VM.
internal::TokenBucket LocalChooser::makeShare(Instant now, const Share &share,
                                              const routing::Team &team)
{
    const auto recent = std::count_if(share.admitted.begin(), share.admitted.end(),
                                      [&](Instant at) { return now - at <= ShareWindow; });
    const bool spendsAll = now - share.refusedAt < RefusalMemory;
    const double perSecond = static_cast<double>(recent)
        / std::chrono::duration<double>(ShareWindow).count() * (spendsAll ? SpentShare : 1.0);
    const double window = std::chrono::duration<double>(tolerance_.window).count();
    const double spent = team.requestsPerSecond * window * (spendsAll ? 1.0 : UsualPart)
        + (spendsAll ? team.burst : 0);
    const double tolerated =
        (team.requestsPerSecond * window + team.burst) * (1 + tolerance_.overshoot)
        + tolerance_.slack;
    const double spare = std::max(tolerated * TolerancePart - spent, 0.0);
    const double burst = std::min(spare / static_cast<double>(entryVms_), LargestLocalBurst);
    // A fraction of a token starts as a whole one on that fraction of the VMs.
    std::uniform_real_distribution<double> chance(0, 1);
    const double level = burst >= 1 ? burst : (chance(random_) < burst ? 1.0 : 0.0);
    return internal::TokenBucket(perSecond, std::max(burst, 1.0), level, now);
}

const KnownServer *LocalChooser::choose(Instant now, const Question &question,
                                        const std::map<std::string, KnownServer> &servers,
                                        const std::set<std::string> &zonesOut,
                                        const std::map<std::string, std::uint32_t> &inUse)
{
    std::uniform_real_distribution<double> jitter(0, 1);
    const KnownServer *best = nullptr;
    double bestCost = 0;
    for (const auto &[id, server] : servers) {
        const ServerInfo &info = server.info;
        const bool usable = info.service == question.service && !info.draining
            && now >= info.coldUntil && zonesOut.count(info.zone) == 0
            && question.avoid.count(id) == 0;
        if (!usable) {
            continue;
        }
        const auto used = inUse.find(id);
        double cost = jitter(random_);
        cost += used == inUse.end() ? 0 : used->second;
        cost += info.zone == question.zone ? 0 : CostOfOtherZone;
        cost += server.suspected ? CostOfSuspicion : 0;
        if (best == nullptr || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace daisyhaven::scheduler

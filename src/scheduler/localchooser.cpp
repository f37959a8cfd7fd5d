#include "scheduler/scheduler.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler {

namespace {

// Part of what is tolerated in a window that VMs without a leader may use together; the rest is for
// a leader that comes back before it knows what they let through.
constexpr double LocalPart = 0.75;

// Repeats of a VM without a leader, as a part of its own requests of the last seconds: half of what
// the platform grants for these, whatever the leader spent for others.
constexpr double RepeatRatio = 0.1;
constexpr Seconds RepeatWindow { 10 };

constexpr double CostOfOtherZone = 0.5;
constexpr double CostOfSuspicion = 10;
// Servers recover by themselves within seconds.
constexpr Seconds SuspicionMemory { 3 };

} // namespace

static void dropBefore(std::deque<Instant> &times, Instant before)
{
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

void LocalChooser::setSharing(std::size_t entryVms, const RateTolerance &tolerance)
{
    entryVms_ = std::max<std::size_t>(entryVms, 1);
    tolerance_ = tolerance;
}

void LocalChooser::noteAdmitted(Instant now, const std::string &team)
{
    std::deque<Instant> &admitted = shares_[team].admitted;
    admitted.push_back(now);
    dropBefore(admitted, now - tolerance_.window);
}

bool LocalChooser::admit(Instant now, const routing::Team &team)
{
    if (team.requestsPerSecond <= 0) {
        return true;
    }
    Share &share = shares_[team.name];
    if (share.drawnAt == Instant() || now - share.drawnAt >= tolerance_.window) {
        std::uniform_real_distribution<double> chance(0, 1);
        share.roundsUpBelow = chance(random_);
        share.drawnAt = now;
    }
    const double window = std::chrono::duration<double>(tolerance_.window).count();
    const double tolerated =
        (team.requestsPerSecond * window + team.burst) * (1 + tolerance_.overshoot)
        + tolerance_.slack;
    const double limit = tolerated * LocalPart / static_cast<double>(entryVms_);
    const double whole = std::floor(limit);
    const double rounded = share.roundsUpBelow < limit - whole ? whole + 1 : whole;
    const auto recent = std::count_if(share.admitted.begin(), share.admitted.end(),
                                      [&](Instant at) { return now - at < tolerance_.window; });
    if (static_cast<double>(recent) >= rounded) {
        return false;
    }
    noteAdmitted(now, team.name);
    return true;
}

void LocalChooser::noteFirst(Instant now, const std::string &service)
{
    std::deque<Instant> &firsts = repeats_[service].firsts;
    firsts.push_back(now);
    dropBefore(firsts, now - RepeatWindow);
}

bool LocalChooser::takeRepeat(Instant now, const std::string &service)
{
    Repeats &known = repeats_[service];
    dropBefore(known.firsts, now - RepeatWindow);
    dropBefore(known.repeats, now - RepeatWindow);
    const double allowed = RepeatRatio * static_cast<double>(known.firsts.size());
    if (static_cast<double>(known.repeats.size()) + 1 > allowed) {
        return false;
    }
    known.repeats.push_back(now);
    return true;
}

const KnownServer *LocalChooser::choose(Instant now, Duration viewAge, const Question &question,
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
        cost += server.suspected && viewAge < SuspicionMemory ? CostOfSuspicion : 0;
        if (best == nullptr || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace daisyhaven::scheduler

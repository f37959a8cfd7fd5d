#include "scheduler/internal/zonebalancer.h"

#include "scheduler/internal/thresholds.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler::internal {

namespace {

constexpr Milliseconds UpdateInterval { 200 };
// Time in which the shares cover most of the way to a new result. Callers that move to another zone
// do so over some seconds.
constexpr double ShareTimeConstantSeconds = 1;
// The demand is moved in this many parts.
constexpr double DemandParts = 100;
// Traffic between zones costs money, so a request leaves its zone only if it gains this fraction of
// the service time. A shorter gain would hardly be noticed.
constexpr double MinGain = 0.25;
// The queueing formula holds below this utilization.
constexpr double MaxQueueingUtilization = 0.95;
// Demand beyond that waits for what accumulates in this time.
constexpr double OverloadSeconds = 2;
// Response time of a zone without room.
constexpr double NoRoomSeconds = 3600;
constexpr double NoRoomUtilization = 1e9;
// Of two zones whose gain differs by less, the one with the lower utilization gets the load.
constexpr double EqualGainSeconds = 0.001;

constexpr double MinReportedShare = 0.01;

constexpr double DefaultDistanceSeconds = 0.005;
// The mean of fewer samples says little about the distance, because service times vary.
constexpr std::uint32_t MinDistanceSamples = 200;
constexpr double MinExcessWeight = 0.002;

double ratioOrZero(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

// Mean wait for one of `slots` slots in service times: Sakasegawa's approximation of the M/M/c
// queue.
double waitInServiceTimes(double slots, double utilization)
{
    const double queueing = std::min(utilization, MaxQueueingUtilization);
    const double exponent = std::sqrt(2 * (slots + 1)) - 1;
    return std::pow(queueing, exponent) / (slots * (1 - queueing));
}

} // namespace

void ZoneBalancer::recordRequest(Instant now, const std::string &zone, bool largeBody)
{
    Origin &origin = origins_[zone];
    origin.requests.record(now);
    if (largeBody) {
        origin.largeBodies.record(now);
    }
}

void ZoneBalancer::recordLatency(const std::string &from, const std::string &to, Duration excess)
{
    Excess &known = excesses_[{ from, to }];
    ++known.samples;
    const double weight = std::max(1.0 / known.samples, MinExcessWeight);
    known.seconds += (toSeconds(excess) - known.seconds) * weight;
}

Duration ZoneBalancer::distance(const std::string &from, const std::string &to) const
{
    const auto there = excesses_.find({ from, to });
    const auto here = excesses_.find({ from, from });
    const bool known = there != excesses_.end() && here != excesses_.end()
        && std::min(there->second.samples, here->second.samples) >= MinDistanceSamples;
    const double seconds =
        known ? there->second.seconds - here->second.seconds : DefaultDistanceSeconds;
    return Duration(static_cast<Duration::rep>(std::max(seconds, 0.0) * 1e6));
}

double ZoneBalancer::leavingCostSeconds(const std::string &from, const std::string &to) const
{
    return toSeconds(distance(from, to)) + MinGain * serviceSeconds_;
}

double ZoneBalancer::responseSeconds(const Zone &zone, double load) const
{
    if (zone.room.slots <= 0) {
        return NoRoomSeconds;
    }
    const double used = utilization(zone, load);
    const double inService = serviceSeconds_ * zone.room.slowness;
    const double wait = inService * waitInServiceTimes(zone.room.slots, used);
    const double overload = std::max(used - MaxQueueingUtilization, 0.0);
    return inService + wait + overload * OverloadSeconds;
}

std::vector<ZoneBalancer::Zone>
ZoneBalancer::currentZones(Instant now, const std::map<std::string, ZoneRoom> &rooms) const
{
    std::map<std::string, Zone> zones;
    for (const auto &[name, room] : rooms) {
        zones[name].room = room;
    }
    for (const auto &[name, origin] : origins_) {
        zones[name].demand = origin.requests.perSecond(now) * serviceSeconds_;
    }
    std::vector<Zone> list;
    for (auto &[name, zone] : zones) {
        zone.name = name;
        zone.load = zone.demand;
        zone.responseSeconds = responseSeconds(zone, zone.load);
        list.push_back(std::move(zone));
    }
    return list;
}

double ZoneBalancer::utilization(const Zone &zone, double load)
{
    return zone.room.slots > 0 ? load * zone.room.slowness / zone.room.slots : NoRoomUtilization;
}

// Moves one part of the demand, or what is left of a zone's, where it gains most. Returns false if
// no move gains anything.
bool ZoneBalancer::moveMostUseful(std::vector<Zone> &zones, double part, Flows &flows) const
{
    double bestGain = 0;
    double bestUtilization = 0;
    double bestAmount = 0;
    std::size_t bestFrom = 0;
    std::size_t bestTo = 0;
    for (std::size_t from = 0; from < zones.size(); ++from) {
        const double amount = std::min(part, zones[from].demand);
        if (amount <= 0) {
            continue;
        }
        for (std::size_t to = 0; to < zones.size(); ++to) {
            if (from == to) {
                continue;
            }
            const double load = zones[to].load + amount;
            const double gain = zones[from].responseSeconds - responseSeconds(zones[to], load)
                - leavingCostSeconds(zones[from].name, zones[to].name);
            const double used = utilization(zones[to], load);
            const bool isBetter = gain > bestGain + EqualGainSeconds
                || (gain > 0 && gain > bestGain - EqualGainSeconds && used < bestUtilization);
            if (isBetter) {
                bestGain = gain;
                bestUtilization = used;
                bestAmount = amount;
                bestFrom = from;
                bestTo = to;
            }
        }
    }
    if (bestGain <= 0) {
        return false;
    }
    flows[bestFrom][bestTo] += bestAmount;
    zones[bestFrom].demand -= bestAmount;
    zones[bestFrom].load -= bestAmount;
    zones[bestTo].load += bestAmount;
    zones[bestFrom].responseSeconds = responseSeconds(zones[bestFrom], zones[bestFrom].load);
    zones[bestTo].responseSeconds = responseSeconds(zones[bestTo], zones[bestTo].load);
    return true;
}

ZoneBalancer::Flows ZoneBalancer::spread(std::vector<Zone> zones) const
{
    Flows flows(zones.size(), std::vector<double>(zones.size()));
    double demand = 0;
    for (const Zone &zone : zones) {
        demand += zone.demand;
    }
    const double part = demand / DemandParts;
    // Each zone may have one smaller part.
    const std::size_t maxMoves = static_cast<std::size_t>(DemandParts) + zones.size();
    for (std::size_t i = 0; part > 0 && i < maxMoves; ++i) {
        if (!moveMostUseful(zones, part, flows)) {
            break;
        }
    }
    return flows;
}

bool ZoneBalancer::isUpdateDue(Instant now) const
{
    return updatedAt_ == Instant() || now - updatedAt_ >= UpdateInterval;
}

void ZoneBalancer::update(Instant now, const std::map<std::string, ZoneRoom> &rooms,
                          Duration serviceTime)
{
    const double passed = updatedAt_ == Instant() ? 0 : toSeconds(now - updatedAt_);
    const double step = 1 - std::exp(-passed / ShareTimeConstantSeconds);
    updatedAt_ = now;
    serviceSeconds_ = toSeconds(serviceTime);
    const std::vector<Zone> zones = currentZones(now, rooms);
    const Flows flows = spread(zones);
    for (auto &[name, origin] : origins_) {
        removeSharesWithoutRoom(origin, rooms);
    }
    for (std::size_t from = 0; from < zones.size(); ++from) {
        const auto known = origins_.find(zones[from].name);
        if (known == origins_.end()) {
            continue;
        }
        Origin &origin = known->second;
        origin.largeBodyShare =
            ratioOrZero(origin.largeBodies.perSecond(now), origin.requests.perSecond(now));
        for (std::size_t to = 0; to < zones.size(); ++to) {
            if (from != to && zones[to].room.slots > 0) {
                double &share = origin.shares[zones[to].name];
                share += (ratioOrZero(flows[from][to], zones[from].demand) - share) * step;
            }
        }
    }
}

// At once, since nobody serves these requests there. What they leave stays until other zones take
// it.
void ZoneBalancer::removeSharesWithoutRoom(Origin &origin,
                                           const std::map<std::string, ZoneRoom> &rooms)
{
    for (auto share = origin.shares.begin(); share != origin.shares.end();) {
        const auto room = rooms.find(share->first);
        const bool hasRoom = room != rooms.end() && room->second.slots > 0;
        if (!hasRoom) {
            origin.due.erase(share->first);
        }
        share = hasRoom ? std::next(share) : origin.shares.erase(share);
    }
}

double ZoneBalancer::share(const std::string &from, const std::string &to) const
{
    const auto origin = origins_.find(from);
    if (origin == origins_.end()) {
        return 0;
    }
    const auto share = origin->second.shares.find(to);
    return share == origin->second.shares.end() ? 0 : share->second;
}

std::map<std::pair<std::string, std::string>, double> ZoneBalancer::shares() const
{
    std::map<std::pair<std::string, std::string>, double> shares;
    for (const auto &[from, origin] : origins_) {
        for (const auto &[to, share] : origin.shares) {
            if (share >= MinReportedShare) {
                shares[{ from, to }] = share;
            }
        }
    }
    return shares;
}

const std::string &ZoneBalancer::pickZone(const std::string &zone, bool largeBody)
{
    const auto known = origins_.find(zone);
    if (known == origins_.end()) {
        return zone;
    }
    Origin &origin = known->second;
    double leaving = 0;
    for (const auto &[to, share] : origin.shares) {
        leaving += share;
    }
    if (leaving <= 0) {
        return zone;
    }
    // Small bodies leave first: their bytes cost less on the way.
    const double small = 1 - origin.largeBodyShare;
    const double leavingSmall = std::min(leaving, small);
    const double leavingOfKind = largeBody
        ? ratioOrZero(leaving - leavingSmall, origin.largeBodyShare)
        : ratioOrZero(leavingSmall, small);
    if (leavingOfKind <= 0) {
        return zone;
    }
    const std::string *picked = &zone;
    double mostDue = 1;
    for (const auto &[to, share] : origin.shares) {
        double &due = origin.due[to];
        due += share / leaving * leavingOfKind;
        if (due >= mostDue) {
            mostDue = due;
            picked = &to;
        }
    }
    if (picked != &zone) {
        origin.due[*picked] -= 1;
    }
    return *picked;
}

} // namespace daisyhaven::scheduler::internal

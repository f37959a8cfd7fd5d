// Decides how much of a service's load leaves the availability zone of its callers.
//
// Each zone has demand, the requests of its entry VMs, and room, the slots of its backend servers.
// The balancer predicts the response time in each zone and moves demand, in small parts, to the
// zone with the shortest one (water-filling) as long as a request gains more than the way to the
// other zone costs. Demand is counted where requests come from and not where they are served, so
// sending load away does not change the input of the next decision. The shares follow the result
// slowly.
//
// Example:
//     ZoneBalancer balancer;
//     balancer.recordRequest(now, "a", false);
//     balancer.update(now, { { "a", { 8, 1 } }, { "b", { 40, 1 } } }, Milliseconds(200));
//     const std::string &zone = balancer.pickZone("a", false);
//
// Thread safety: none. The class does no I/O and reads no clock.
#pragma once

#include "scheduler/internal/eventrate.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace daisyhaven::scheduler::internal {

// What the backend servers of a zone can take.
struct ZoneRoom
{
    // Slots of the servers that may receive requests.
    double slots = 0;
    // Mean latency of these servers as a multiple of the typical one.
    double slowness = 1;
};

class ZoneBalancer
{
public:
    // Counts a first attempt of an entry VM in `zone`.
    void recordRequest(Instant now, const std::string &zone, bool largeBody);
    // Records a success. `excess` is the latency beyond the one that is usual for the route and the
    // server; it may be negative.
    void recordLatency(const std::string &from, const std::string &to, Duration excess);
    // Returns whether the shares should be computed again.
    bool isUpdateDue(Instant now) const;
    // Computes the shares again. `serviceTime` is the mean time that a
    // request occupies a slot.
    void update(Instant now, const std::map<std::string, ZoneRoom> &rooms, Duration serviceTime);
    // Returns the zone whose servers the next request from `zone` should prefer. Successive calls
    // spread the requests evenly over time according to the shares; requests with large bodies
    // leave last.
    const std::string &pickZone(const std::string &zone, bool largeBody);
    // Share of the requests from `from` that `to` should serve.
    double share(const std::string &from, const std::string &to) const;
    // All shares of which a caller could notice something, by the zones of callers and servers.
    std::map<std::pair<std::string, std::string>, double> shares() const;
    // Extra time of a request from `from` that `to` serves.
    Duration distance(const std::string &from, const std::string &to) const;

private:
    // Requests from one zone.
    struct Origin
    {
        EventRate requests;
        EventRate largeBodies;
        double largeBodyShare = 0;
        // Share of the requests for each other zone. The rest stays.
        std::map<std::string, double> shares;
        // Requests that are due for each other zone.
        std::map<std::string, double> due;
    };

    struct Excess
    {
        double seconds = 0;
        std::uint32_t samples = 0;
    };

    // A zone while the balancer spreads the demand.
    struct Zone
    {
        std::string name;
        ZoneRoom room;
        // Requests in service at the same time that come from this zone, and those that it serves.
        double demand = 0;
        double load = 0;
        double responseSeconds = 0;
    };

    // Demand that each zone (row) sends to each other one, by index.
    using Flows = std::vector<std::vector<double>>;

    std::vector<Zone> currentZones(Instant now, const std::map<std::string, ZoneRoom> &rooms) const;
    Flows spread(std::vector<Zone> zones) const;
    bool moveMostUseful(std::vector<Zone> &zones, double part, Flows &flows) const;
    static double utilization(const Zone &zone, double load);
    static void removeSharesWithoutRoom(Origin &origin,
                                        const std::map<std::string, ZoneRoom> &rooms);
    double responseSeconds(const Zone &zone, double load) const;
    double leavingCostSeconds(const std::string &from, const std::string &to) const;

    std::map<std::string, Origin> origins_;
    std::map<std::pair<std::string, std::string>, Excess> excesses_;
    double serviceSeconds_ = 0;
    Instant updatedAt_;
};

} // namespace daisyhaven::scheduler::internal

// This VM's shares of the request limits that backend servers name, for requests without a leader.
// The leader keeps the limits for all VMs; without it, each VM sends at most its even share.
#pragma once

#include "coordination/coordination.h"
#include "scheduler/scheduler.h"
#include "timer/timer.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace daisyhaven::gateway {

class LimitShares
{
public:
    explicit LimitShares(std::uint64_t seed) : random_(seed) { }

    // Records that a response of the process of `server` that started at `startTimeMs` named this
    // limit; 0: it named none. Servers that `view` does not name may be forgotten.
    void recordLimit(Instant now, const std::string &server, std::uint64_t startTimeMs,
                     double requestsPerSecond, const coordination::FleetView &view);

    // Returns the servers of `service` whose limit leaves this VM no request at `now`.
    // `lastLeaderContactAt`: what this VM heard later is newer than the view.
    std::set<std::string> exhaustedServers(Instant now, Instant lastLeaderContactAt,
                                           const std::string &service,
                                           const coordination::FleetView &view);

    // Takes a request that is sent to `server` out of this VM's share.
    void takeRequest(Instant now, Instant lastLeaderContactAt, const scheduler::KnownServer &server,
                     std::size_t entryVmCount);

private:
    struct HeardLimit
    {
        std::uint64_t startTimeMs = 0;
        double requestsPerSecond = 0;
        Instant heardAt;
    };

    // Requests of this VM while it has no leader.
    struct Share
    {
        Instant leaderLostAt;
        Instant nextRequestAt;
    };

    double currentLimit(Instant lastLeaderContactAt, const scheduler::KnownServer &server) const;
    Share &currentShare(Instant now, Instant lastLeaderContactAt, const std::string &server,
                        Duration interval);

    std::map<std::string, HeardLimit> heardLimits_;
    std::map<std::string, Share> shares_;
    std::mt19937_64 random_;
};

} // namespace daisyhaven::gateway

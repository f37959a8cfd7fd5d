// Rates and bursts of teams.
#pragma once

#include "scheduler/internal/tokenbucket.h"
#include "scheduler/scheduler.h"

#include <map>
#include <optional>
#include <string>

namespace daisyhaven::scheduler::internal {

class TeamRates
{
public:
    explicit TeamRates(const Limits &limits) : limits_(limits) { }

    // A team that is new here starts with `firstTokens` of its burst.
    void setTable(Instant now, const routing::RoutingTable &table, double firstTokens)
    {
        std::map<std::string, TokenBucket> kept;
        for (const routing::Team &team : table.teams()) {
            if (team.requestsPerSecond <= 0) {
                continue;
            }
            const double rate = team.requestsPerSecond * (1 + limits_.rateOvershoot);
            const double burst = std::max(team.burst, 1.0) + limits_.rateSlack;
            const auto known = buckets_.find(team.name);
            if (known != buckets_.end()) {
                known->second.reshape(rate, burst, now);
                kept[team.name] = known->second;
            } else {
                kept[team.name] = TokenBucket(rate, burst, burst * firstTokens, now);
            }
        }
        buckets_ = std::move(kept);
    }

    // Takes a token; otherwise returns when there will be one.
    std::optional<Duration> take(Instant now, const std::string &team)
    {
        const auto bucket = buckets_.find(team);
        if (bucket == buckets_.end() || bucket->second.take(1, now)) {
            return std::nullopt;
        }
        return bucket->second.waitFor(1, now);
    }

    void spentElsewhere(Instant now, const std::string &team, std::uint32_t count)
    {
        const auto bucket = buckets_.find(team);
        if (bucket != buckets_.end()) {
            bucket->second.owe(count, now);
        }
    }

    void giveBack(Instant now, const std::string &team)
    {
        const auto bucket = buckets_.find(team);
        if (bucket != buckets_.end()) {
            bucket->second.giveBack(1, now);
        }
    }

private:
    Limits limits_;
    std::map<std::string, TokenBucket> buckets_;
};

} // namespace daisyhaven::scheduler::internal

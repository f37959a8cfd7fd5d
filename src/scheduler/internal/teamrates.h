// Rate limits and bursts of teams.
#pragma once

#include "scheduler/internal/eventrate.h"
#include "scheduler/internal/tokenbucket.h"
#include "scheduler/scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisyhaven::scheduler::internal {

class TeamRateLimiter
{
public:
    explicit TeamRateLimiter(const Limits &limits) : limits_(limits) { }

    void setRoutingTable(Instant now, const routing::RoutingTable &table,
                         const InitialTokens &initialTokens)
    {
        std::map<std::string, TokenBucket> kept;
        std::map<std::string, TeamLimit> limits;
        double totalRate = 0;
        for (const routing::Team &team : table.teams()) {
            if (team.requestsPerSecond <= 0) {
                continue;
            }
            const double rate = localRate({ team.requestsPerSecond, team.burst });
            const double burst = localBurst({ team.requestsPerSecond, team.burst });
            const auto existing = buckets_.find(team.name);
            if (existing != buckets_.end()) {
                existing->second.reconfigure(rate, burst, now);
                kept[team.name] = existing->second;
            } else {
                const double level = burst * initialTokens.burstFraction
                    + rate * std::chrono::duration<double>(initialTokens.leaderlessTime).count();
                kept[team.name] = TokenBucket(rate, burst, level, now);
            }
            limits[team.name] = { team.requestsPerSecond, team.burst };
            totalRate += team.requestsPerSecond;
        }
        averageRate_ = limits.empty() ? 1 : totalRate / static_cast<double>(limits.size());
        buckets_ = std::move(kept);
        teamLimits_ = std::move(limits);
    }

    // Reserves `share` of each rate for entry VMs that this leader cannot reach.
    void reserveShareForOthers(Instant now, double share)
    {
        if (share == shareReservedForOthers_) {
            return;
        }
        shareReservedForOthers_ = share;
        for (auto &[name, bucket] : buckets_) {
            const TeamLimit &team = teamLimits_.at(name);
            bucket.reconfigure(localRate(team), localBurst(team), now);
        }
    }

    // Takes a token and returns nullopt, or returns the time until one is available.
    std::optional<Duration> tryTakeToken(Instant now, const std::string &team)
    {
        const auto bucket = buckets_.find(team);
        if (bucket == buckets_.end()) {
            return std::nullopt;
        }
        requestRates_[team].record(now);
        if (bucket->second.tryTake(1, now)) {
            return std::nullopt;
        }
        return bucket->second.timeUntilAvailable(1, now);
    }

    void deductExternalAdmissions(Instant now, const std::string &team, std::uint32_t count)
    {
        const auto bucket = buckets_.find(team);
        if (bucket != buckets_.end()) {
            bucket->second.takeWithDebt(count, now);
        }
    }

    void returnToken(Instant now, const std::string &team)
    {
        const auto bucket = buckets_.find(team);
        if (bucket != buckets_.end()) {
            bucket->second.returnTokens(1, now);
        }
    }

    // Share of the team where room is short, relative to other teams: its rate. A team without a
    // limit counts as an average team with one.
    double weight(const std::string &team) const
    {
        const auto limit = teamLimits_.find(team);
        return limit == teamLimits_.end() ? averageRate_ : limit->second.requestsPerSecond;
    }

    std::set<std::string> busyTeams(Instant now) const
    {
        std::set<std::string> busy;
        for (const auto &[name, demand] : requestRates_) {
            const auto team = teamLimits_.find(name);
            const bool limited = team != teamLimits_.end();
            if (limited
                && demand.perSecond(now) > BusyRateFraction * maxRequestsPerSecond(team->second)) {
                busy.insert(name);
            }
        }
        return busy;
    }

private:
    // The limit of the team in the configuration.
    struct TeamLimit
    {
        double requestsPerSecond = 0;
        double burst = 0;
    };

    // Requests per second that the team may send on average over one rate window, burst included.
    double maxRequestsPerSecond(const TeamLimit &team) const
    {
        const double window = std::chrono::duration<double>(limits_.rateWindow).count();
        return team.requestsPerSecond + team.burst / window;
    }

    double localRate(const TeamLimit &team) const
    {
        return team.requestsPerSecond * (1 + limits_.rateOvershoot) * (1 - shareReservedForOthers_);
    }

    double localBurst(const TeamLimit &team) const
    {
        return std::max(team.burst * (1 - shareReservedForOthers_), 1.0) + limits_.rateSlack;
    }

    Limits limits_;
    std::map<std::string, TokenBucket> buckets_;
    std::map<std::string, TeamLimit> teamLimits_;
    std::map<std::string, EventRate> requestRates_;
    double averageRate_ = 1;
    double shareReservedForOthers_ = 0;
};

} // namespace daisyhaven::scheduler::internal

// State that the Scheduler keeps for services and servers; private to the package.
#pragma once

#include "scheduler/internal/eventrate.h"
#include "scheduler/internal/requestlimit.h"
#include "scheduler/internal/serverhealth.h"
#include "scheduler/internal/thresholds.h"
#include "scheduler/internal/tokenbucket.h"
#include "scheduler/internal/waitingqueue.h"
#include "scheduler/internal/zonebalancer.h"
#include "scheduler/scheduler.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>

namespace daisyhaven::scheduler::internal {

// Counts first attempts and retries of one service in a sliding window.
//
// A store of retries, filled by first attempts and by time, limits shorter times as well: otherwise
// a leader could send all retries of its window at its end, and the next leader those of its own.
class RetryBudget
{
public:
    // Starts with the slack used up at `startedAt`, since the previous leader may have spent it
    // just before.
    RetryBudget(const Limits &limits, Instant startedAt)
        : retries_(static_cast<std::size_t>(std::ceil(limits.retrySlack)), startedAt),
          stored_(limits.retrySlack), storedAt_(startedAt)
    {
    }
    void recordFirstAttempt(Instant now, const Limits &limits)
    {
        firstAttempts_.push_back(now);
        stored_ = std::min(stored_ + limits.retryRatio, limits.retrySlack);
        dropBefore(firstAttempts_, now - limits.retryWindow);
    }
    void recordRetry(Instant now)
    {
        retries_.push_back(now);
        stored_ -= 1;
    }
    // A retry that waits for a slot may be sent at any moment, so it takes its part of the budget
    // while it waits.
    void addWaitingRetry() { ++waitingRetries_; }
    void removeWaitingRetry() { waitingRetries_ -= waitingRetries_ > 0 ? 1 : 0; }

    bool allowsRetry(Instant now, const Limits &limits)
    {
        addStored(now, limits);
        return dropExpiredAndCount(now, limits) + 1 <= maxRetries(limits)
            && stored_ - static_cast<double>(waitingRetries_) >= 1;
    }

    // Returns whether probing every suspected server could use up the remaining retries.
    bool isNearlySpent(Instant now, const Limits &limits)
    {
        return dropExpiredAndCount(now, limits) + ReservedForFailures > maxRetries(limits);
    }

private:
    // Retries that probes leave to requests that fail unexpectedly.
    static constexpr double ReservedForFailures = 10;
    // Part of the slack that time adds to the store in each window.
    static constexpr double StoredPerWindow = 0.5;

    void addStored(Instant now, const Limits &limits)
    {
        const double windows =
            toSeconds(std::max(now - storedAt_, Duration(0))) / toSeconds(limits.retryWindow);
        stored_ =
            std::min(stored_ + limits.retrySlack * StoredPerWindow * windows, limits.retrySlack);
        storedAt_ = std::max(storedAt_, now);
    }

    double dropExpiredAndCount(Instant now, const Limits &limits)
    {
        dropBefore(firstAttempts_, now - limits.retryWindow);
        dropBefore(retries_, now - limits.retryWindow);
        return static_cast<double>(retries_.size() + waitingRetries_);
    }

    double maxRetries(const Limits &limits) const
    {
        return limits.retryRatio * static_cast<double>(firstAttempts_.size()) + limits.retrySlack;
    }

    static void dropBefore(std::deque<Instant> &times, Instant before)
    {
        while (!times.empty() && times.front() < before) {
            times.pop_front();
        }
    }

    std::deque<Instant> firstAttempts_;
    std::deque<Instant> retries_;
    std::size_t waitingRetries_ = 0;
    // Retries that can be sent at once.
    double stored_;
    Instant storedAt_;
};

enum class VersionRole : std::uint8_t { Unaffected, Target, Replaced };

struct ServerState
{
    ServerState(ServerInfo serverInfo, Instant now)
        : info(std::move(serverInfo)), createdAt(now), health(now), lastGrantAt(now)
    {
    }

    ServerInfo info;
    Instant createdAt;
    ServerHealth health;
    RequestLimit requestLimit;
    // The server said in a response that it leaves.
    bool leaving = false;
    TokenBucket coldStartLimiter;
    // The zone's evacuation ended. The server may have become cold in the meantime, so it counts as
    // warming up until then.
    Instant zoneRestoreColdUntil;
    std::uint32_t grantedSlots = 0;
    std::uint32_t externalSlots = 0;
    Instant lastGrantAt;
    // A suspected server receives its next request, a probe, at this time.
    Instant nextProbeAt;
    Duration probeInterval { 0 };
    Instant lastProbeAt;
    // The server shed a request and receives none until then.
    Instant shedBackoffUntil;
    // As of the last SuspicionChange.
    bool suspected = false;
    // Another server responds at this server's address.
    bool addressReassigned = false;
    // What the service's VersionGate says of the server.
    VersionRole versionRole = VersionRole::Unaffected;
    bool blockedByVersion = false;
    // Number of the last selection for a request that excluded this server, and of the last one for
    // a VM that holds an idle connection to it.
    std::uint64_t excludedInSelection = 0;
    std::uint64_t connectedInSelection = 0;

    std::uint32_t inFlightCount() const { return grantedSlots + externalSlots; }
    bool isWarmingUp(Instant now) const
    {
        return now < std::max(info.coldStartUntil, zoneRestoreColdUntil);
    }
    bool isWarmAndTrusted(Instant now) const
    {
        return !isWarmingUp(now) && health.failureProbability(now) < SuspicionThreshold;
    }
};

struct ServiceState
{
    ServiceState(std::string serviceName, const Limits &limits, Instant startedAt)
        : name(std::move(serviceName)), retryBudget(limits, startedAt)
    {
    }

    std::string name;
    std::map<std::string, std::unique_ptr<ServerState>> servers;
    // Absent if no roll-out was ordered.
    std::optional<VersionGate> versionGate;
    // Counted since the first VersionGate.
    std::uint64_t gatedRequests = 0;
    std::uint64_t targetRequests = 0;
    WaitingQueue waitingQueue;
    ZoneBalancer zoneBalancer;
    RequestRateByPriority requestRates;
    RetryBudget retryBudget;
    double microsecondsPerRequest = 150'000;
    double coldRequestsPerSecond = 0;
    Duration coldStartDuration { 0 };
    // Fraction of the recent requests that were lost.
    double lostShare(Instant now) const
    {
        const double lost = lostRate.perSecond(now);
        const double all = lost + answeredRate.perSecond(now);
        return all > 0 ? lost / all : 0;
    }

    // Updated by the last call of updateServerCounts().
    std::uint32_t usableSlots = 0;
    // Slots of servers of typical speed that would serve as much as the usable ones.
    double typicalSlots = 0;
    std::uint32_t serversInService = 0;
    // Too few servers are trusted, so the least suspected of the others are used as well.
    bool usesSuspectedServers = false;
    // Requests that a server answered, and those that failed or were rejected.
    EventRate answeredRate;
    EventRate lostRate;
    // When the last idempotent request arrived.
    Instant lastIdempotentAt;
};

// Applies the service's VersionGate to one server, or to all of them.
void applyVersionGate(const ServiceState &service, ServerState &server);
void applyVersionGate(ServiceState &service);

// Returns how much the server is preferred to those of other versions. While the target version
// may receive a limited number of requests it receives the next ones, so that its slots fill.
double versionGateBonus(const ServiceState &service, const ServerState &server);

} // namespace daisyhaven::scheduler::internal

// Grants the slots of all backend servers of a fleet from one place.
//
// The Scheduler runs on the leader of the control group. Every start and every result of all entry
// VMs passes through it, so slots, cold-start limits, team rates and retry budgets hold exactly
// over all VMs, and a failing backend server is avoided for all VMs as soon as one of them reports
// it. Requests that find no slot wait in order of priority; within a priority, those that can still
// meet their target time come first, and teams get shares by weighted fair queueing. A request that
// cannot be served before its deadline is rejected at once; those of the team that is furthest
// beyond its share are rejected first.
//
// An entry VM without a leader uses LocalLoadBalancer, which selects servers from the VM's own view
// and keeps to this VM's shares of the limits.
//
// Example:
//     Scheduler scheduler(epoch, limits, seed, now);
//     scheduler.setRoutingTable(now, table, initialTokens);
//     scheduler.addOrUpdateServer(now, server);
//     scheduler.requestSlot(now, request);
//     for (const Action &action : scheduler.takeActions()) { ... }
//
// Thread safety: none. The classes do no I/O and read no clock.
#pragma once

#include "result/result.h"
#include "routing/routing.h"

#include "timer/timer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::scheduler {

// How the use of a slot ended.
enum class Outcome : std::uint8_t {
    Success = 0,
    ServerError = 1, // a complete response that reports a failure of the server
    Shed = 2, // the server reported that it did not run the request
    MalformedResponse = 3, // the response is truncated or malformed
    ConnectRefused = 4,
    ConnectTimeout = 5,
    ConnectionLost = 6, // after the request was sent, before a response
    ResponseTimeout = 7, // the attempt timed out
    NotSent = 8, // says nothing about the server
    Cancelled = 9, // the caller disconnected; says nothing about the server
    WrongServer = 10, // another server has the address now
    VmDisconnected = 11, // the VM reaches no server; says nothing about this one
};
// The last value that VMs send as a number.
constexpr Outcome LastOutcome = Outcome::WrongServer;

// What a backend server says of itself in a response.
struct ServerStatement
{
    // The server stops soon and wants no new requests.
    bool leaving = false;
    // The server wants no requests from the VM that it responded to for this time.
    Duration quietFor { 0 };
    // Requests per second that the server accepts from all VMs together; 0 if it names no limit.
    double requestsPerSecond = 0;

    auto tied() const { return std::tie(leaving, quietFor, requestsPerSecond); }
    friend bool operator==(const ServerStatement &a, const ServerStatement &b)
    {
        return a.tied() == b.tied();
    }
};

// A backend server that may receive requests.
struct ServerInfo
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    Instant coldStartUntil;
    // Start time of its process in Unix milliseconds.
    std::uint64_t startTimeMs = 0;
    // Version of its software; empty if it names none.
    std::string version = {};

    auto tied() const
    {
        return std::tie(id, service, address, zone, slots, draining, coldStartUntil, startTimeMs,
                        version);
    }
    friend bool operator==(const ServerInfo &a, const ServerInfo &b)
    {
        return a.tied() == b.tied();
    }
};

// Identifies one attempt of one request in the whole fleet.
struct SlotRequestKey
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequenceNumber = 0;

    auto tied() const { return std::tie(vm, incarnation, sequenceNumber); }
    friend bool operator==(const SlotRequestKey &a, const SlotRequestKey &b)
    {
        return a.tied() == b.tied();
    }
    friend bool operator<(const SlotRequestKey &a, const SlotRequestKey &b)
    {
        return a.tied() < b.tied();
    }
};

// Share of a service's requests from one zone that the servers of another zone should receive.
struct ZoneShare
{
    std::string service;
    std::string from;
    std::string to;
    double share = 0;

    auto tied() const { return std::tie(service, from, to, share); }
    friend bool operator==(const ZoneShare &a, const ZoneShare &b) { return a.tied() == b.tied(); }
};

// A request for a slot.
struct SlotRequest
{
    SlotRequestKey key;
    std::string requestId;
    std::string service;
    std::string team;
    std::string route;
    std::uint32_t priority = 1;
    bool idempotent = false;
    // The request or its response has a large body, so a server in the same zone is preferred.
    bool largeBody = false;
    // An earlier attempt was sent, so this one counts against the retry budget.
    bool isRetry = false;
    // An earlier attempt of this request took a token of the team's rate.
    bool hasRateToken = false;
    Instant deadline;
    // The VM uses no slot that is granted later, whatever the deadline is.
    Instant latestStart = Instant::max();
    // A response by then has its full value; a later one is still useful until the deadline.
    Instant targetTime;
    std::string zone;
    // Zone whose servers are preferred; chosen by the scheduler. Empty: `zone`.
    std::string servingZone;
    std::set<std::string> excludedServers;
    // Servers to which the VM has an idle connection.
    std::set<std::string> connectedServers;
    // Equal for requests that would have the same effect.
    std::uint64_t fingerprint = 0;
};

struct Grant
{
    SlotRequestKey key;
    std::uint64_t slotId = 0;
    std::string serverId;
    std::string address;
    // Start time of the server's process in Unix milliseconds.
    std::uint64_t serverStartTimeMs = 0;
};

struct Rejection
{
    SlotRequestKey key;
    ResultCode code = ResultCode::NoBackendServer;
    Duration retryAfter { 0 };
    // The values behind the decision, for logs.
    std::string reason;
};

// A server became suspected, or is no longer suspected.
struct SuspicionChange
{
    std::string serverId;
    bool suspected = false;
    double failureProbability = 0;
    std::string cause;
};

// The limit that a server names has changed; 0: it names none any more.
struct RequestLimitChange
{
    std::string serverId;
    double requestsPerSecond = 0;
};

// A server said in a response that it leaves.
struct LeavingServer
{
    std::string serverId;
    std::uint64_t startTimeMs = 0;
};

// How a request ended at a server of a service whose versions are compared.
struct VersionResult
{
    std::string service;
    std::string serverId;
    std::string route;
    bool fromTarget = false;
    // Nearly all of the server's slots were in use when the request was sent.
    bool underLoad = false;
    Outcome outcome = Outcome::Success;
    Duration latency { 0 };
};

using Action = std::variant<Grant, Rejection, SuspicionChange, RequestLimitChange, LeavingServer,
                            VersionResult>;

// Which versions of a service receive requests during and after a roll-out. Servers of versions
// that the gate does not name are unaffected.
struct VersionGate
{
    // Version to which the service moves over.
    std::string target;
    std::set<std::string> replacedVersions;
    // Requests that the target version may receive in all, counted from the first gate of the
    // service; no limit if absent.
    std::optional<std::uint64_t> maxTargetRequests = 0;
    bool replacedVersionsServe = true;
    // Results of the service's requests are reported as VersionResult.
    bool reportsResults = false;

    auto tied() const
    {
        return std::tie(target, replacedVersions, maxTargetRequests, replacedVersionsServe,
                        reportsResults);
    }
    friend bool operator==(const VersionGate &a, const VersionGate &b)
    {
        return a.tied() == b.tied();
    }
};

// What a service sent since its first VersionGate, and what its versions have now.
struct VersionLoad
{
    // First attempts to servers of any version, and all attempts to the target version.
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    // Warm, trusted servers of the target version in zones in service, and their slots.
    std::uint32_t targetServers = 0;
    std::uint32_t targetSlots = 0;
    // Requests in flight at servers of the replaced versions, and at all servers.
    std::uint32_t replacedInFlight = 0;
    std::uint32_t inFlight = 0;
};

// Limits that hold over all VMs together.
struct Limits
{
    // A service may make retryRatio x (first attempts) + retrySlack retries in each window.
    double retryRatio = 0.15;
    double retrySlack = 40;
    Duration retryWindow = Seconds(10);
    // Share of a service's servers that receives requests even if their results are bad.
    double floorShare = 0.7;
    // A team may exceed its rate by this fraction, and its burst by this many requests.
    double rateOvershoot = 0;
    double rateSlack = 0;
    Duration rateWindow = Seconds(5);
    // Requests of a service that may wait for a slot at a time.
    std::size_t maxWaitingRequests = 10'000;
};

// Tokens that a team's rate limit starts with.
struct InitialTokens
{
    // Fraction of the burst that is available. The previous leader may have admitted requests for
    // the rest.
    double burstFraction = 1;
    // Time until now during which no leader admitted requests. The tokens of this time are added.
    Duration leaderlessTime { 0 };
};

namespace internal {
struct ServiceState;
struct ServerState;
struct ExpectedWait;
struct WaitingRequest;
class TeamRateLimiter;
class CrashRecords;
} // namespace internal

class Scheduler
{
public:
    Scheduler(std::uint64_t epoch, Limits limits, std::uint64_t seed, Instant now);
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    ~Scheduler();

    // Applies a new configuration. Rate limits of teams that are new to this scheduler start with
    // `initialTokens`.
    void setRoutingTable(Instant now, std::shared_ptr<const routing::RoutingTable> table,
                         const InitialTokens &initialTokens);
    // Sets the zones whose servers receive no requests. The servers of a zone that is no longer in
    // the set count as warming up.
    void setZonesOutOfService(Instant now, const std::set<std::string> &zones);
    // Sets which versions of the service receive requests.
    void setVersionGate(Instant now, const std::string &service, VersionGate gate);
    VersionLoad versionLoad(Instant now, const std::string &service) const;
    void addOrUpdateServer(Instant now, const ServerInfo &server);
    void removeServer(const std::string &id);
    // The previous leader suspected the server, so it starts as if this leader had seen it fail.
    void restoreSuspicion(Instant now, const std::string &id);
    // The previous leader knew of this limit of the server.
    void restoreRequestLimit(Instant now, const std::string &id, double requestsPerSecond);
    // Sets the slots that a VM holds and this scheduler did not grant.
    void setExternalSlots(Instant now, const std::string &vm,
                          const std::map<std::string, std::uint32_t> &slotsByServer);

    // Counts requests of a team that a VM admitted without a leader against the team's rate.
    void recordExternalAdmissions(Instant now, const std::string &team, std::uint32_t count);

    void requestSlot(Instant now, SlotRequest request);
    void cancelRequest(Instant now, const SlotRequestKey &key);
    // Ends the use of a slot. Unknown slots are ignored, since messages may be late or duplicated.
    // `statement` is what the server said of itself, if it responded.
    void releaseSlot(Instant now, std::uint64_t slotId, Outcome outcome, Duration latency,
                     const std::optional<ServerStatement> &statement = std::nullopt);
    // Performs work that is due. Call about every 20 ms.
    void tick(Instant now);

    std::vector<Action> takeActions();
    std::uint64_t epoch() const { return epoch_; }
    bool isSuspected(const std::string &server) const;
    // Returns the limit that the server names, in requests per second; 0 if it names none.
    double requestLimit(const std::string &server) const;
    // Teams whose requests reach most of their rates.
    std::set<std::string> busyTeams(Instant now) const;
    // Shares of requests that should leave their zone, without those too small to matter.
    const std::vector<ZoneShare> &zoneShares() const { return zoneShares_; }
    // Sets the share of the entry VMs that this leader cannot reach. They admit requests by
    // themselves, so most of their share of the rates is reserved for them.
    void setUnreachableVmShare(Instant now, double share);

    // For tests and metrics.
    std::uint32_t inFlightCount(const std::string &server) const;
    std::size_t queuedRequestCount() const;
    // Largest part of the requests that wait for one service that belongs to one team.
    double largestWaitingShare() const;
    // Number of waiting requests that were rejected because others had a better claim.
    std::uint64_t displacedRequestCount() const { return displacedRequestCount_; }
    std::size_t grantedSlotCount() const { return grantedSlots_.size(); }

private:
    struct GrantedSlot
    {
        std::string service;
        std::string serverId;
        std::string vm;
        std::string vmZone;
        std::string route;
        std::string team;
        std::uint64_t fingerprint = 0;
        SlotRequestKey key;
        Instant grantedAt;
        Instant expiresAt;
        std::size_t overdueStepCount = 0;
        // Nearly all of the server's slots were in use when the request was sent.
        bool underLoad = false;
    };

    struct RouteLatency
    {
        double microseconds = 0;
    };

    internal::ServiceState &getOrCreateService(const std::string &name);
    bool tryGrant(Instant now, internal::ServiceState &service, const SlotRequest &request,
                  bool hasWaitedLong);
    internal::ServerState *pickServer(Instant now, internal::ServiceState &service,
                                      const SlotRequest &request, bool hasWaitedLong);
    bool isDueForProbe(Instant now, internal::ServiceState &service, internal::ServerState &server,
                       const SlotRequest &request, bool hasWaitedLong) const;
    double selectionCost(Instant now, const internal::ServerState &server,
                         const SlotRequest &request) const;
    // Marks the servers that the request names, so that a selection need not search for each
    // server's id.
    void markNamedServers(const SlotRequest &request);
    bool isEligible(Instant now, const internal::ServiceState &service,
                    internal::ServerState &server, const SlotRequest &request,
                    bool hasWaitedLong) const;
    // Neither the server nor its zone is being taken out.
    bool isStaying(const internal::ServerState &server) const;
    bool isInService(const internal::ServerState &server) const;
    bool hasCapacity(Instant now, internal::ServerState &server) const;
    void grantSlot(Instant now, internal::ServerState &server, const SlotRequest &request);
    void enqueueOrReject(Instant now, internal::ServiceState &service, SlotRequest request);
    void grantWaitingRequests(Instant now, internal::ServiceState &service);
    void rejectExpiredRequests(Instant now, internal::ServiceState &service);
    void reject(Instant now, const SlotRequest &request, ResultCode code, Duration retryAfter,
                std::string reason);
    void freeSlot(std::uint64_t slotId);
    void countForVersionGate(internal::ServiceState &service, const internal::ServerState &server,
                             const SlotRequest &request);
    void reportVersionResult(const internal::ServiceState &service, const GrantedSlot &slot,
                             Outcome outcome, Duration latency);
    void recordStatement(Instant now, const GrantedSlot &slot, const ServerStatement &statement);
    void checkOverdueSlots(Instant now);
    void updateTypicalLatency(const std::string &route, Duration latency);
    double typicalLatency(const std::string &route) const;
    void updateSuspicion(Instant now, internal::ServerState &server, const std::string &cause);
    Instant latestStartTime(const SlotRequest &request) const;
    double slotsLeftFor(Instant now, const internal::ServiceState &service,
                        std::uint32_t priority) const;
    internal::ExpectedWait expectedWait(Instant now, const internal::ServiceState &service,
                                        std::uint32_t priority, Duration slotTimeAhead) const;
    internal::ExpectedWait expectedWaitOfNew(Instant now, const internal::ServiceState &service,
                                             const SlotRequest &request) const;
    internal::WaitingRequest makeWaiting(Instant now, SlotRequest request) const;
    void rejectLastInOrder(Instant now, internal::ServiceState &service, std::uint32_t priority);
    void updateServerCounts(Instant now, internal::ServiceState &service);
    void updateZoneShares(Instant now, internal::ServiceState &service);
    void updateAllZoneShares(Instant now);
    void recordZoneLatency(internal::ServiceState &service, const GrantedSlot &slot,
                           Duration latency);

    std::uint64_t epoch_;
    Limits limits_;
    std::mt19937_64 random_;
    Instant startedAt_;
    std::shared_ptr<const routing::RoutingTable> table_;
    std::set<std::string> evacuatedZones_;
    std::map<std::string, std::unique_ptr<internal::ServiceState>> services_;
    std::map<std::string, internal::ServerState *> servers_;
    std::map<std::string, std::map<std::string, std::uint32_t>> externalSlots_;
    std::map<std::uint64_t, GrantedSlot> grantedSlots_;
    std::map<SlotRequestKey, std::uint64_t> slotIdsByKey_;
    std::map<std::string, RouteLatency> routeLatencies_;
    std::unique_ptr<internal::TeamRateLimiter> rateLimiter_;
    std::unique_ptr<internal::CrashRecords> crashRecords_;
    // Share of each limit that VMs which this leader cannot reach use.
    double shareReservedForOthers_ = 0;
    std::uint64_t lastSlotId_ = 0;
    std::uint64_t lastSelection_ = 0;
    std::uint64_t displacedRequestCount_ = 0;
    // As of the last update of any service's shares.
    std::vector<ZoneShare> zoneShares_;
    std::vector<Action> actions_;
};

// A team is busy if it requests more than this fraction of what it may send.
constexpr double BusyRateFraction = 0.6;

// By how much a team may exceed its rate and burst, over all VMs together.
struct RateTolerance
{
    // In any window, at most (rate x window + burst) x (1 + overshoot) + slack requests may start.
    double overshoot = 0;
    double slack = 0;
    Duration window = Seconds(5);
};

// A server as listed in the last view that an entry VM received.
struct KnownServer
{
    ServerInfo info;
    bool suspected = false;
    // Requests per second that the server accepts from all VMs together; 0: no limit is known.
    double requestsPerSecond = 0;
    // Sequence number of the server's last announcement.
    std::uint64_t announcementSequence = 0;
};

// What an entry VM recently observed of servers itself, with or without a leader's choice.
class LocalServerStats
{
public:
    void recordStart(Instant now, const std::string &server);
    void recordEnd(Instant now, const std::string &server, Outcome outcome, Duration latency);
    // Selection penalty for recent failures of the server. Successes give no bonus: VMs that all
    // prefer the same server would send it more than it can take if it has become cold without
    // their knowledge.
    double penalty(Instant now, const std::string &server) const;
    std::size_t trackedServerCount() const { return servers_.size(); }

private:
    struct ServerStats
    {
        Instant succeededAt;
        Instant failedAt;
        Instant shedAt;
        // Start times of requests without a response.
        std::deque<Instant> startTimes;
    };

    void removeStaleServers(Instant now);

    std::map<std::string, ServerStats> servers_;
    std::size_t endsSinceCleanup_ = 0;
};

// Selects servers on an entry VM without a leader and admits requests within this VM's shares of
// the limits.
class LocalLoadBalancer
{
public:
    explicit LocalLoadBalancer(std::uint64_t seed) : random_(seed) { }

    // Sets the number of entry VMs that share the limits, the tolerance for all of them together,
    // and the teams that were busy when the leader's last message arrived.
    void setSharedLimits(std::size_t entryVmCount, const RateTolerance &tolerance,
                         const std::set<std::string> &busyTeams);
    // Sets the leader's shares, which this VM's requests follow by chance.
    void setZoneShares(std::vector<ZoneShare> shares) { zoneShares_ = std::move(shares); }
    // Records a request that the leader admitted.
    void recordLeaderAdmission(Instant now, const std::string &team);
    // Returns whether one more request of the team may start, and counts it if so. The requests
    // that this VM admits in any window, with or without a leader, stay below its part of the
    // tolerated total, so that the limit holds whatever the other VMs do. The part depends on what
    // the leader admitted on this VM before `lastLeaderMessageAt`, the time of the leader's last
    // message.
    bool tryAdmit(Instant now, Instant lastLeaderMessageAt, const routing::Team &team);
    // Requests of `team` that the leader typically admitted on this VM in a time of `length`.
    double expectedAdmissions(Instant lastLeaderMessageAt, const std::string &team,
                              Duration length) const;
    // Records the first attempt of a request that this VM admitted without a leader.
    void recordFirstAttempt(Instant now, const std::string &service);
    // Takes one of the retries that this VM may make without a leader; returns false if none is
    // left.
    bool tryAcquireRetry(Instant now, const std::string &service);
    LocalServerStats &serverStats() { return serverStats_; }
    // Returns the server for `request`, or nullptr. `viewAge` is the time since the leader's last
    // message; the leader's suspicions are ignored once they are too old. `inUse` holds the number
    // of this VM's requests by server.
    const KnownServer *pickServer(Instant now, Duration viewAge, const SlotRequest &request,
                                  const std::map<std::string, KnownServer> &servers,
                                  const std::set<std::string> &evacuatedZones,
                                  const std::map<std::string, std::uint32_t> &inUse);

private:
    struct TeamShare
    {
        // Admissions within the last window, by the leader or by this VM.
        std::deque<Instant> admissions;
        // Admissions by the leader within the averaging time.
        std::deque<Instant> leaderAdmissions;
        // A fractional limit is rounded up if its fraction exceeds this threshold, which is drawn
        // at random for each window. So the same fraction of the VMs rounds up.
        double roundUpThreshold = 0;
        Instant drawnAt;
    };

    struct RetryHistory
    {
        std::deque<Instant> firstAttempts;
        std::deque<Instant> retries;
    };

    double localLimit(const routing::Team &team, double expected) const;
    const std::string &drawZone(const SlotRequest &request,
                                const std::set<std::string> &usableZones);

    std::mt19937_64 random_;
    std::size_t entryVmCount_ = 1;
    RateTolerance tolerance_;
    std::set<std::string> busyTeams_;
    std::vector<ZoneShare> zoneShares_;
    std::map<std::string, TeamShare> teamShares_;
    // When the leader admitted the first request of any team on this VM.
    Instant firstLeaderAdmissionAt_;
    std::map<std::string, RetryHistory> retryHistories_;
    LocalServerStats serverStats_;
};

} // namespace daisyhaven::scheduler

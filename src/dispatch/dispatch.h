// Dispatches requests to the backend servers of one service in one availability zone.
//
// One Dispatcher runs on the VM that holds the lease and is notified of every granted slot and
// every result. It counts slots exactly across all entry VMs, limits the slots of a backend server
// during a cold start by a ramp, orders queued requests by priority and then by weighted fair
// queuing between teams, and ejects backend servers with gray failures within the limit of the
// service's EjectionBudget.
//
// Each entry VM holds at most maxSlotsPerVm() slots of one backend server. After a takeover, an
// entry VM that has not reported its slots counts with that many slots on every backend server
// until the longest deadline of the service has passed.
//
// Example:
//     Dispatcher dispatcher(options, term, now);
//     dispatcher.handleAnnouncement(now, announcement, age);
//     dispatcher.acquire(now, request);
//     for (const Action &action : dispatcher.takeActions()) { ... }
//
// Not thread-safe. Performs no I/O and reads no clock.
#pragma once

#include "health/health.h"
#include "result/result.h"
#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::dispatch {

// A backend server that has sent no announcement for this long gets no new requests.
constexpr Milliseconds AnnouncementLifetime { 1800 };

enum class ServerState : std::uint8_t { WarmingUp, Ready, Draining };

// The state that a backend server reports about itself. `load` and `state` are hints.
struct Announcement
{
    std::string address;
    std::uint32_t slots = 0;
    std::uint32_t maxConnections = 0;
    std::uint64_t incarnation = 0;
    double load = 0;
    ServerState state = ServerState::Ready;

    auto tied() const { return std::tie(address, slots, maxConnections, incarnation, load, state); }
    friend bool operator==(const Announcement &a, const Announcement &b)
    {
        return a.tied() == b.tied();
    }
};

// Identifies one attempt of one request across the fleet.
struct AttemptId
{
    std::string vm;
    std::uint64_t vmIncarnation = 0;
    std::uint64_t sequenceNumber = 0;

    auto tied() const { return std::tie(vm, vmIncarnation, sequenceNumber); }
    friend bool operator==(const AttemptId &a, const AttemptId &b) { return a.tied() == b.tied(); }
    friend bool operator<(const AttemptId &a, const AttemptId &b) { return a.tied() < b.tied(); }
};

struct SlotRequest
{
    AttemptId id;
    std::string team;
    double weight = 1;
    std::uint8_t priority = 1; // 0 is the highest, 2 the lowest
    bool idempotent = false;
    std::uint64_t route = 0;
    // Equal for requests with the same effect; identifies requests that crash backend servers.
    std::uint64_t fingerprint = 0;
    // Time from the grant until the slot is freed even if it is not released.
    Duration deadline { 0 };
    // Maximum time to wait for a slot.
    Duration maxWait { 0 };
    // The request spilled over from another availability zone and does not spill over again.
    bool spilled = false;
    // An earlier attempt ran or failed; this attempt counts against the retry budget.
    bool retry = false;
    // Backend servers that earlier attempts used.
    std::set<std::string> excludedServers;
};

struct Grant
{
    AttemptId id;
    std::uint64_t slot = 0;
    std::string address;
    std::uint64_t serverIncarnation = 0;
    // Maximum number of idle connections that the entry VM may keep to this backend server.
    std::uint32_t maxIdleConnections = 0;
    // The entry VM reports a request that has no response after this time as overdue.
    Duration overdueAfter { 0 };
    std::uint32_t maxSlotsPerVm = 0;
};

struct Rejection
{
    AttemptId id;
    ResultCode code = ResultCode::Ok;
    // If not empty, the entry VM sends the request to the dispatcher of this availability zone.
    std::string spillZone;
};

enum class ServerEventKind : std::uint8_t {
    Registered,
    Deregistered,
    ColdStart,
    Ejected,
    Readmitted,
    PathBlocked,
    EjectionWithheld,
    Quarantined,
};

// A state change of a backend server, or a quarantined request, to log and to count in metrics.
struct ServerEvent
{
    ServerEventKind kind = ServerEventKind::Registered;
    std::string server;
    std::string detail;
};

using Action = std::variant<Grant, Rejection, ServerEvent>;

// Selects the backend server with the largest share of available slots.
struct LeastLoaded
{
};
// Baseline: selects the better of two backend servers chosen at random.
struct PowerOfTwoChoices
{
    std::uint64_t seed = 1;
};
using SelectionPolicy = std::variant<LeastLoaded, PowerOfTwoChoices>;

struct Options
{
    std::string zone;
    std::uint32_t coldStartSlots = 1;
    Duration coldStartDuration { 0 };
    // Longest deadline of all routes of the service.
    Duration longestDeadline { 0 };
    health::DetectionPolicy detection;
    SelectionPolicy selection;
};

// State that the dispatcher of one availability zone shares with those of the other zones.
struct ZoneSummary
{
    std::string zone;
    std::uint64_t term = 0;
    // Known backend servers, which are kept for ServerRetention after their last announcement.
    std::uint32_t knownServers = 0;
    // Backend servers that announce themselves and do not drain, including ejected ones.
    std::uint32_t availableServers = 0;
    std::uint32_t availableSlots = 0;
    std::uint32_t queuedRequests = 0;
    std::vector<std::string> ejectedServers;
    // Worst first.
    std::vector<std::string> ejectionCandidates;
};

// Records that a request was running on this process of a backend server when the connection was
// lost.
struct CrashRecord
{
    std::uint64_t fingerprint = 0;
    std::string server;
    std::uint64_t serverIncarnation = 0;

    auto tied() const { return std::tie(fingerprint, server, serverIncarnation); }
    friend bool operator==(const CrashRecord &a, const CrashRecord &b)
    {
        return a.tied() == b.tied();
    }
    friend bool operator<(const CrashRecord &a, const CrashRecord &b)
    {
        return a.tied() < b.tied();
    }
};

// A slot that an entry VM reports to hold.
struct HeldSlot
{
    std::uint64_t slot = 0;
    std::string address;
    Duration remaining { 0 };
    std::uint64_t fingerprint = 0;
    std::uint64_t route = 0;
};

// A process of an entry VM that may hold slots granted by an earlier dispatcher.
struct PossibleHolder
{
    std::string vm;
    std::uint64_t incarnation = 0;
    Duration timeSinceHeartbeat { 0 };
};

namespace internal {
class WaitQueue;
class CrashTracker;
struct Server;
struct QueuedRequest;
} // namespace internal

class Dispatcher
{
public:
    Dispatcher(Options options, std::uint64_t term, Instant now);
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    ~Dispatcher();

    // Replaces the options when the configuration changes.
    void setOptions(Options options);
    // Takes the whole availability zone out of service, or returns it to service through a ramp.
    void setZoneOutOfService(Instant now, bool outOfService);
    // Sets the number of entry VMs that may connect, between which slots and connections are
    // divided.
    void setEntryVmCount(std::size_t count);

    // Starts a takeover. A holder counts with maxSlotsPerVm() slots on every backend server until
    // recordHeldSlots() is called for it.
    void startTakeover(Instant now, const std::vector<PossibleHolder> &holders);
    // Records the slots that one process holds. `slotsPerVm` is the largest value that it received
    // in a grant, 0 if it received none.
    void recordHeldSlots(Instant now, const std::string &vm, std::uint64_t incarnation,
                         const std::vector<HeldSlot> &held, std::uint32_t slotsPerVm);

    // Records an announcement that the backend server made `age` ago.
    void handleAnnouncement(Instant now, const Announcement &announcement, Duration age);
    // Grants a slot, queues the request or rejects it. The result is among takeActions().
    void acquire(Instant now, SlotRequest request);
    // Frees a slot and records how its request ended. Unknown slots are ignored, because messages
    // may arrive late or twice.
    void release(Instant now, std::uint64_t slot, health::Outcome outcome, Duration latency);
    // Records that the request on `slot` has waited for `waited` without a response.
    void recordOverdue(Instant now, std::uint64_t slot, Duration waited);
    // Removes the request from the queue, or frees the slot that it holds.
    void cancel(Instant now, const AttemptId &id);

    // Replaces the latest summaries of the other zones' dispatchers.
    void setOtherZoneSummaries(Instant now, std::vector<ZoneSummary> zones);
    // Replaces the set of backend servers that may be ejected, and readmits those of `mustReadmit`,
    // without which the number of serving backend servers would be below the floor.
    void applyEjectionPermits(Instant now, const std::set<std::string> &mayEject,
                              const std::set<std::string> &mustReadmit);
    // Returns the crash records of this dispatcher and those merged from other dispatchers.
    std::vector<CrashRecord> crashRecords() const;
    // Merges crash records of another dispatcher, except those that are already cleared here.
    void mergeCrashRecords(Instant now, const std::vector<CrashRecord> &records);

    // Handles expired slots, timeouts and outliers. Call about every 20 ms, and after
    // applyEjectionPermits().
    void tick(Instant now);

    // Returns the pending actions, oldest first, and clears them.
    std::vector<Action> takeActions();
    ZoneSummary summary(Instant now) const;
    // Returns summary() for the EjectionBudget and drops the permits of servers that the summary
    // does not list as ejected or as ejection candidates.
    ZoneSummary summarizeAndDropStalePermits(Instant now);
    std::uint64_t term() const { return term_; }
    // Returns how many slots of a backend server with `slots` slots one entry VM may hold.
    std::uint32_t maxSlotsPerVm(std::uint32_t slots) const;
    // Returns the number of slots in use on `address`, for tests and metrics.
    std::uint32_t slotsInUse(const std::string &address) const;
    // Returns the number of slots that the ramp of `address` allows at `now`.
    std::uint32_t allowedSlots(const std::string &address, Instant now) const;
    // True if the backend server is ejected or on probation.
    bool isOutOfRotation(const std::string &address) const;

private:
    // A granted slot that is not yet released.
    struct ActiveSlot
    {
        std::string address;
        std::string vm;
        std::optional<AttemptId> id;
        std::uint64_t fingerprint = 0;
        std::uint64_t route = 0;
        std::string team;
        Instant grantedAt;
        Instant expiresAt;
    };

    // A possible holder that has not reported its slots since the takeover.
    struct UnconfirmedHolder
    {
        Instant expiresAt;
    };

    enum class Placement : std::uint8_t { Placed, NoCapacity, NoServer, Quarantined };

    Placement placeRequest(Instant now, const SlotRequest &request);
    internal::Server *pickServer(Instant now, const SlotRequest &request, bool *anyUsableServer);
    bool isInService(const internal::Server &server, Instant now) const;
    bool canAccept(const internal::Server &server, const SlotRequest &request, Instant now) const;
    std::uint32_t rampSlots(const internal::Server &server, Instant now) const;
    std::uint32_t unconfirmedSlots(const internal::Server &server, Instant now) const;
    void grantSlot(Instant now, internal::Server &server, const SlotRequest &request);
    std::string pickSpillZone(bool needCapacity);
    void reject(const AttemptId &id, ResultCode code, std::string spillZone = "");
    void enqueue(Instant now, SlotRequest request, bool anyUsableServer);
    void grantQueuedRequests(Instant now);
    void freeSlot(std::uint64_t slot);
    void startRamp(internal::Server &server, Instant now, std::uint32_t from);
    void eject(Instant now, internal::Server &server, const std::string &cause);
    void readmit(Instant now, internal::Server &server);
    void reportIfDeregistered(Instant now, internal::Server &server);
    void reportIfWithheld(Instant now, internal::Server &server);
    void processOutliers(Instant now);
    void evaluateProbation(Instant now, internal::Server &server, health::Outcome outcome);
    void emitEvent(ServerEventKind kind, const std::string &server, std::string detail);
    std::uint64_t allocateSlotNumber();

    Options options_;
    std::uint64_t term_;
    bool zoneOutOfService_ = false;
    std::size_t entryVmCount_ = 1;
    std::uint32_t largestReportedSlotsPerVm_ = 0;
    std::uint64_t slotCounter_ = 0;
    std::map<std::string, std::unique_ptr<internal::Server>> servers_;
    std::map<std::uint64_t, ActiveSlot> activeSlots_;
    std::map<AttemptId, std::uint64_t> slotsByAttempt_;
    std::map<std::pair<std::string, std::uint64_t>, UnconfirmedHolder> unconfirmedHolders_;
    std::set<std::uint64_t> releasedBeforeReport_;
    std::unique_ptr<internal::WaitQueue> queue_;
    std::unique_ptr<internal::CrashTracker> crashTracker_;
    health::OutlierDetector detector_;
    std::vector<ZoneSummary> otherZoneSummaries_;
    std::map<std::string, std::uint32_t> spilledSinceSummary_;
    std::set<std::string> ejectionPermits_;
    std::vector<std::string> ejectionCandidates_;
    std::vector<Action> actions_;
    double retryBudget_ = 0;
    std::uint64_t selectionRandomState_ = 1;
    Instant lastDetectorTick_;
};

// Decides which backend servers of one service may be ejected across all availability zones, so
// that at least the fraction `floor` of the known servers stays available. Runs on the VM that
// holds the lease floor:<service>.
//
// Example:
//     EjectionBudget budget(0.6, now);
//     EjectionBudget::Permits permits = budget.recordSummary(now, summary);
class EjectionBudget
{
public:
    struct Permits
    {
        std::set<std::string> mayEject;
        std::set<std::string> mustReadmit;
    };

    EjectionBudget(double floor, Instant now);
    void setFloor(double floor) { floor_ = floor; }
    // Records the summary of one zone and returns the permits of that zone.
    Permits recordSummary(Instant now, const ZoneSummary &summary);
    // Returns the number of backend servers that may be ejected at the same time in all zones.
    std::uint32_t maxEjections() const;

private:
    struct Zone
    {
        ZoneSummary summary;
        Instant reportedAt;
        std::set<std::string> granted;
    };

    std::uint32_t granted() const;

    double floor_;
    Instant grantsStartAt_;
    std::map<std::string, Zone> zones_;
};

} // namespace daisyhaven::dispatch

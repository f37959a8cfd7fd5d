// Coordination of a fleet by the leader of the control group.
//
// ControlTask runs on control VMs. It stores the configuration, the zones out of service, the
// deregistered servers and the roll-outs in the replicated log. While its replica leads, it also
// maintains the directory of backend servers and the Scheduler, and sends changes to all VMs. A
// change is confirmed only after its log entry is committed, and only by a leader that a majority
// has acknowledged within its lease.
//
// LeaderClient runs on every VM. It discovers the leader, maintains the VM's view of the fleet and
// requests slots.
//
// Example:
//     LeaderClient leader(timers, clients, options, callbacks);
//     leader.start();
//     if (leader.hasLeader()) { leader.requestSlot(request, timeout, [](auto result) { ... }); }
//
// Thread safety: every object must be used only on the thread of its event loop.
#pragma once

#include "directory/directory.h"
#include "peer/peer.h"
#include "replication/replication.h"
#include "rollout/rollout.h"
#include "routing/routing.h"
#include "scheduler/scheduler.h"
#include "timer/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::wire {
class FleetViewReply;
class SlotAnswer;
class SlotQuestion;
class SlotRelease;
} // namespace daisyhaven::wire

namespace daisyhaven::coordination {

// A VM that has received no message from the leader for this long picks backend servers locally.
constexpr Milliseconds LeaderTimeout { 700 };

// The state of the fleet as last received from the leader.
struct FleetView
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::map<std::string, scheduler::KnownServer> servers;
    // Index of the log entry that last changed the configuration or the zones out of service.
    std::uint64_t documentIndex = 0;
    // Version of `routingTable`; empty until the first configuration has arrived.
    std::optional<std::uint64_t> configurationVersion;
    std::shared_ptr<const routing::RoutingTable> routingTable;
    std::set<std::string> zonesOutOfService;
    // The newest roll-out of each service that had one.
    std::map<std::string, rollout::Rollout> rollouts;
    std::size_t entryVmCount = 1;
    // Teams that requested most of their rates as of the last message from the leader.
    std::set<std::string> busyTeams;
    // Shares of requests that left their zone as of that message.
    std::vector<scheduler::ZoneShare> zoneShares;
};

// Returns the servers of the service that a VM without a leader must not use because of their
// version.
std::set<std::string> serversBlockedByRollout(const FleetView &view, const std::string &service);

// An entry VM through which another one can send requests to backend servers.
struct RequestRelay
{
    std::string address;
    std::string zone;

    auto tied() const { return std::tie(address, zone); }
    friend bool operator==(const RequestRelay &a, const RequestRelay &b)
    {
        return a.tied() == b.tied();
    }
};

struct LeaderClientOptions
{
    std::string vm;
    std::uint64_t incarnation = 0;
    // Internal addresses of the control VMs that are known at start.
    std::vector<peer::Address> seeds;
    // Internal address of this VM if it is a control VM; the client sends no requests to it.
    std::optional<peer::Address> ownAddress;
    routing::DocumentParser documentParser = nullptr;
    // Address at which this VM serves as a relay. A VM without one uses no relays either.
    std::optional<peer::Address> relayAddress = std::nullopt;
    // This VM as a relay of requests; without an address it is none.
    RequestRelay requestRelay = {};
};

struct LeaderClientCallbacks
{
    // Called after the configuration or the zones out of service have changed.
    std::function<void()> configurationChanged;
    // Returns the number of slots in use that the leader of `epoch` did not grant, by server.
    std::function<std::map<std::string, std::uint32_t>(std::uint64_t epoch)> externalSlots;
    // Returns the requests that were admitted without a leader and not yet reported to one, by
    // team.
    std::function<std::map<std::string, std::uint32_t>()> unreportedAdmissions;
    // Called after a leader has received these counts of unreportedAdmissions().
    std::function<void(const std::map<std::string, std::uint32_t> &)> admissionsReported;
    // Returns whether this VM reaches no server of at least one service.
    std::function<bool()> isDisconnected;
};

class LeaderClient
{
public:
    using SlotCallback = std::function<void(const std::variant<wire::SlotAnswer, Failure> &)>;

    LeaderClient(TimerService &timers, peer::ClientPool &clients, LeaderClientOptions options,
                 LeaderClientCallbacks callbacks);
    LeaderClient(const LeaderClient &) = delete;
    LeaderClient &operator=(const LeaderClient &) = delete;
    ~LeaderClient();

    void start();
    // While inactive, the client sends no requests because this process is the leader.
    void setActive(bool active);
    // Replaces the seeds after a change of the settings.
    void setSeeds(std::vector<peer::Address> seeds);

    const FleetView &view() const;
    // Returns true if the leader sent a message within the last LeaderTimeout in which this process
    // was able to receive one.
    bool hasLeader() const;
    // Returns the address to which calls for the leader are sent: its own or that of a relay.
    std::optional<peer::Address> leader() const;
    // Returns true if the leader is reached through a relay.
    bool usesRelay() const;
    // Returns the time since the last message from a leader, or Duration::max() if there was none.
    Duration timeSinceLeaderContact() const;
    // Returns for how long the leader has sent nothing while a call to it is pending; zero if no
    // call is pending.
    Duration leaderUnresponsiveTime() const;
    // Returns the addresses of all known control VMs.
    std::vector<peer::Address> controlAddresses() const;
    // Returns the VMs through which requests can be sent, as the leader last named them.
    const std::vector<RequestRelay> &requestRelays() const;

    // Requests a slot from the leader. `callback` runs exactly once.
    void requestSlot(const wire::SlotQuestion &request, Duration timeout, SlotCallback callback);
    void releaseSlot(const wire::SlotRelease &release);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Forwards calls of entry VMs that are partitioned from the control group to the leader. The
// callers use it like a leader, so slots, rates and results stay exact while only this VM reaches
// the control group. Calls are forwarded once at most: a VM that uses a relay is none itself.
class LeaderRelay
{
public:
    // Registers the handlers at `server`. All arguments must outlive the relay.
    LeaderRelay(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
                const LeaderClient &leader);
    LeaderRelay(const LeaderRelay &) = delete;
    LeaderRelay &operator=(const LeaderRelay &) = delete;
    ~LeaderRelay();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

struct ControlOptions
{
    std::string vm;
    peer::Address ownAddress;
    std::string dataFolder;
    std::vector<peer::Address> seeds;
    // True at the first start of the whole fleet: the seeds are the initial members of the group.
    bool bootstrap = false;
    // Number of members of the control group when no member is lost.
    std::size_t groupSize = 5;
    scheduler::Limits limits;
    rollout::ExposureLimits exposureLimits;
    routing::DocumentParser documentParser = nullptr;
    // Function with which the replicated log writes to its files; write(2) if empty.
    replication::WriteFunction write = nullptr;
};

// This replica is not the leader. `leader` is the internal address of the leader, if known.
struct LeaderRedirect
{
    std::optional<peer::Address> leader;
};

// The change is committed, now or earlier.
struct Committed
{
};

using ChangeOutcome = std::variant<Committed, LeaderRedirect, Failure>;

// A committed configuration. Operators choose the versions, and the first one may be 0: whether
// there is a configuration is told by a std::optional, never by its version.
struct StoredConfiguration
{
    std::uint64_t version = 0;
    // The document exactly as passed to putConfiguration().
    std::string document;

    auto tied() const { return std::tie(version, document); }
    friend bool operator==(const StoredConfiguration &a, const StoredConfiguration &b)
    {
        return a.tied() == b.tied();
    }
};

// Returns the version for a log line: "none" if there is no configuration.
std::string versionText(const std::optional<std::uint64_t> &version);

constexpr Seconds MaxRolloutDuration { 24 * 3600 };

// An order to move a service over to another version of its servers.
struct RolloutOrder
{
    std::string service;
    // Version to which the service moves over.
    std::string target;
    Duration duration { 0 };
};

class ControlTask
{
public:
    using ChangeCallback = std::function<void(const ChangeOutcome &)>;

    // Errors: RecordDamaged, StorageFailed, IdentityLost.
    static Result<std::unique_ptr<ControlTask>> open(TimerService &timers, peer::Server &server,
                                                     peer::ClientPool &clients,
                                                     ControlOptions options,
                                                     std::function<void(const Failure &)> stopped);
    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;
    ~ControlTask();

    Result<void> start();
    void setSeeds(std::vector<peer::Address> seeds);
    // Call before the process stops. If another control VM waits to join, this one's place goes to
    // it. Calls `done` within about a second, at once if none waits.
    void leave(std::function<void()> done);

    // Commits a configuration. A version that is not above the current one is confirmed and changes
    // nothing. Failures: DeclarationInvalid, RouteConflict.
    void putConfiguration(std::uint64_t version, const std::string &document,
                          const ChangeCallback &done);
    // Returns the newest configuration if this replica is the leader and can serve reads.
    std::variant<StoredConfiguration, LeaderRedirect> readConfiguration() const;
    // Failures: UnknownAvailabilityZone if `zone` is not a name.
    void setZoneOutOfService(const std::string &zone, bool outOfService,
                             const ChangeCallback &done);
    // Commits a roll-out. An order that is in progress already, or that has completed or was rolled
    // back before its time ended, is confirmed and changes nothing. Failures: RolloutInvalid,
    // RolloutInProgress if the service moves over to another version.
    void orderRollout(const RolloutOrder &order, const ChangeCallback &done);
    // Returns the newest roll-out of the service if this replica is the leader and can serve reads.
    // Failures: RolloutUnknown.
    std::variant<rollout::Rollout, LeaderRedirect, Failure>
    readRollout(const std::string &service) const;
    // Failures: AnnouncementInvalid.
    void handleAnnouncement(const directory::Announcement &announcement,
                            const ChangeCallback &done);
    // Deregisters the server `id`; it receives no further requests. Failures: AnnouncementInvalid
    // if `id` is not a name.
    void deregisterServer(const std::string &id, const ChangeCallback &done);

    // Returns the values for the metrics page, by metric name.
    std::map<std::string, double> metrics() const;

private:
    class Impl;
    explicit ControlTask(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::coordination

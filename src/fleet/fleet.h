// Fleet membership of an entry VM: sends heartbeats to the voters, votes on leases if this VM is a
// voter, acquires leases, and tracks the members, the lease holders and the configuration in force.
//
// Lease keys: dispatch:<service>:<zone>, floor:<service>, quota:<shard>, ledger:<shard>.
//
// Example:
//     FleetTask fleet(timers, clients, server, settings, incarnation, metrics);
//     fleet.onLeaseChange([&](const std::string &key, std::optional<std::uint64_t> term) { ... });
//     fleet.start();
//
// Thread safety: not thread-safe; use only on the thread of its event loop.
#pragma once

#include "configuration/configuration.h"
#include "lease/lease.h"
#include "membership/membership.h"
#include "observe/observe.h"
#include "peer/peer.h"
#include "settings/settings.h"
#include "timer/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisyhaven::fleet {

// Return the key of the lease for the named role.
std::string dispatchLeaseKey(const std::string &service, const std::string &zone);
std::string floorLeaseKey(const std::string &service);
std::string quotaLeaseKey(std::uint32_t shard);
std::string ledgerLeaseKey(std::uint32_t shard);

// Maps `name` to a shard number below `shards` by its hash.
std::uint32_t shardOf(std::string_view name, std::uint32_t shards);

// The VM that holds a lease, its peer address and the term of the lease.
struct LeaseHolderAddress
{
    std::string vm;
    peer::Address address;
    std::uint64_t term = 0;

    friend bool operator==(const LeaseHolderAddress &a, const LeaseHolderAddress &b)
    {
        return a.vm == b.vm && a.address == b.address && a.term == b.term;
    }
};

class FleetTask
{
public:
    using LeaseCallback = std::function<void(const std::string &, std::optional<std::uint64_t>)>;

    FleetTask(TimerService &timers, peer::ClientPool &clients, peer::Server &server,
              const settings::VmSettings &settings, std::uint64_t incarnation, Metrics &metrics);
    FleetTask(const FleetTask &) = delete;
    FleetTask &operator=(const FleetTask &) = delete;
    ~FleetTask();

    // Callbacks are registered before start(). The lease callback receives the lease key and the
    // term when this VM acquires the lease, or std::nullopt when it loses the lease.
    void onLeaseChange(LeaseCallback callback);
    void onConfigurationChange(std::function<void()> callback);
    // Calls `callback` when this VM's voter recovers in a fleet in which no configuration was ever
    // published, so that no state can have been lost.
    void onUnpublishedFleet(std::function<void()> callback);
    void start();

    const configuration::Configuration &configuration() const;
    // Returns true if a majority of voters reported no newer configuration within the freshness
    // limit.
    bool isConfigurationFresh() const;
    // Returns the holder of a lease as reported by a majority of voters.
    std::optional<LeaseHolderAddress> leaseHolder(const std::string &key) const;
    // Returns the term of a lease if this VM holds it now.
    std::optional<std::uint64_t> heldLeaseTerm(const std::string &key) const;
    std::optional<Instant> leaseExpiry(const std::string &key) const;
    std::vector<membership::Member> liveMembers() const;
    std::vector<membership::MemberStatus> knownMembers() const;
    std::vector<std::string> knownZones() const;
    std::optional<peer::Address> addressOf(const std::string &vm) const;
    bool isVoterRecovered() const;
    // Releases all leases and acquires no others, before the process terminates.
    void drain();

    const std::string &vmId() const;
    const std::string &availabilityZone() const;
    std::uint64_t incarnation() const;
    const settings::FleetSettings &fleetSettings() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::fleet

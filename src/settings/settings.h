// Validated settings of a process and of the fleet, loaded from TOML files.
//
// The fleet file lists the control VMs, the voters and the key files for the whole fleet. Each VM
// has its own file with its id, availability zone, addresses and the path of the fleet file. Paths
// are relative to the file that contains them. Errors include file, line and field. An unknown
// field is an error that suggests the closest known field.
//
// Example:
//     BOOST_LEAF_AUTO(settings, loadVmSettings("entry-a1.toml", VmRole::Entry));
//
// Errors: SettingsInvalid. Thread safety: pure functions.
#pragma once

#include "peer/peer.h"
#include "result/result.h"

#include <optional>
#include <string>
#include <vector>

namespace daisyhaven::settings {

// A control VM or a voter that is listed in the fleet file.
struct VmEndpoint
{
    std::string id;
    std::string availabilityZone;
    peer::Address peerAddress;

    friend bool operator==(const VmEndpoint &a, const VmEndpoint &b)
    {
        return a.id == b.id && a.availabilityZone == b.availabilityZone
            && a.peerAddress == b.peerAddress;
    }
};

// Timing of leases and heartbeats; identical on every VM of a fleet.
struct LeaseTimings
{
    Duration leaseDuration = Milliseconds(1800);
    Duration heartbeatInterval = Milliseconds(300);
    // Maximum difference between the rates of two clocks, as a fraction.
    double maxClockDrift = 0.01;
    // A VM that received no responses from a majority of voters for this long stops serving routes
    // that need an API key.
    Duration maxStaleness = Milliseconds(2500);
    // A member without a heartbeat for this long is considered to have left.
    Duration memberTimeout = Milliseconds(1500);

    friend bool operator==(const LeaseTimings &a, const LeaseTimings &b)
    {
        return a.leaseDuration == b.leaseDuration && a.heartbeatInterval == b.heartbeatInterval
            && a.maxClockDrift == b.maxClockDrift && a.maxStaleness == b.maxStaleness
            && a.memberTimeout == b.memberTimeout;
    }
};

// Settings that all processes of a fleet share.
struct FleetSettings
{
    std::vector<VmEndpoint> controlVms;
    std::vector<VmEndpoint> voters;
    std::string vmKey;
    std::string operatorKey;
    LeaseTimings timings;
    std::uint32_t quotaShards = 8;
    std::uint32_t ledgerShards = 8;
    // Retention time of the record for an Idempotency-Key.
    Duration ledgerRetention = Seconds(3600);
};

// Settings of one VM.
struct VmSettings
{
    std::string id;
    std::string availabilityZone;
    peer::Address peerAddress;
    // Entry VMs only: listen addresses for callers, backend servers and the platform.
    std::optional<peer::Address> callerAddress;
    std::optional<peer::Address> backendAddress;
    std::optional<peer::Address> platformAddress;
    // Control VMs only: folder for durable state.
    std::string dataFolder;
    // After SIGTERM, the VM accepts requests for this long while its health check fails, so that
    // the platform's load balancer stops sending to it.
    Duration drainGracePeriod = Milliseconds(1000);
    // Time between SIGTERM and the kill of the process.
    Duration terminationGracePeriod = Seconds(30);
    // If empty, logs go to standard error only.
    std::string logFile;
    // If empty, no traces are written.
    std::string traceFile;
    FleetSettings fleet;
};

// Determines which addresses and folders are required in a VM's settings file.
enum class VmRole : std::uint8_t { Entry, Control };

Result<VmSettings> loadVmSettings(const std::string &path, VmRole role);
Result<FleetSettings> loadFleetSettings(const std::string &path);

} // namespace daisyhaven::settings

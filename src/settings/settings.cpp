#include "settings/settings.h"

#include "document/document.h"

#include <filesystem>
#include <set>

namespace daisyhaven::settings {

namespace {

constexpr std::int64_t MaxTimingMs = 60'000;
constexpr std::int64_t MaxShards = 4096;
constexpr std::int64_t MaxRetentionSeconds = 30LL * 24 * 3600;
constexpr double MaxClockDrift = 0.1;

std::string resolvePath(const std::string &base, const std::string &path)
{
    if (path.empty()) {
        return path;
    }
    return (std::filesystem::path(base).parent_path() / path).string();
}

// Reads an address; records an error if it cannot be parsed.
std::optional<peer::Address> readAddress(TomlTableReader &reader, const std::string &field)
{
    const std::string text = reader.requiredString(field);
    if (text.empty()) {
        return std::nullopt;
    }
    const auto parsed = attempt([&] { return peer::parseAddress(text); });
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        reader.addError(field, failure->detail);
        return std::nullopt;
    }
    return std::get<peer::Address>(parsed);
}

VmEndpoint readVmEndpoint(TomlTableReader &reader)
{
    VmEndpoint vm;
    vm.id = reader.requiredString("id");
    vm.availabilityZone = reader.requiredString("availability_zone");
    vm.peerAddress = readAddress(reader, "peer").value_or(peer::Address {});
    return vm;
}

Duration readMs(TomlTableReader &reader, const std::string &field, Duration fallback)
{
    const std::int64_t fallbackMs = std::chrono::duration_cast<Milliseconds>(fallback).count();
    return Milliseconds(reader.integer(field, fallbackMs, 1, MaxTimingMs));
}

void readTimings(TomlTableReader &reader, LeaseTimings &timings)
{
    timings.leaseDuration = readMs(reader, "lease_ms", timings.leaseDuration);
    timings.heartbeatInterval = readMs(reader, "pulse_ms", timings.heartbeatInterval);
    timings.maxStaleness = readMs(reader, "freshness_ms", timings.maxStaleness);
    timings.memberTimeout = readMs(reader, "member_silence_ms", timings.memberTimeout);
    timings.maxClockDrift = reader.number("clock_drift", timings.maxClockDrift, 0, MaxClockDrift);
    if (timings.heartbeatInterval * 3 > timings.leaseDuration) {
        reader.addError("pulse_ms", "must be at most a third of lease_ms");
    }
    if (timings.maxStaleness < timings.heartbeatInterval * 2) {
        reader.addError("freshness_ms", "must be at least twice pulse_ms");
    }
}

void validateVmList(TomlTableReader &reader, const std::string &field,
                    const std::vector<VmEndpoint> &vms)
{
    std::set<std::string> ids;
    for (const VmEndpoint &vm : vms) {
        if (!ids.insert(vm.id).second) {
            reader.addError(field, "\"" + vm.id + "\" is listed more than once");
        }
    }
    if (vms.size() % 2 == 0) {
        reader.addError(field, "must be an odd number of VMs");
    }
}

Result<FleetSettings> readFleet(TomlDocument &document, const std::string &path)
{
    FleetSettings fleet;
    TomlTableReader root = document.root();
    root.readTables("control",
                    [&](TomlTableReader &r) { fleet.controlVms.push_back(readVmEndpoint(r)); });
    root.readTables("voter",
                    [&](TomlTableReader &r) { fleet.voters.push_back(readVmEndpoint(r)); });
    validateVmList(root, "control", fleet.controlVms);
    validateVmList(root, "voter", fleet.voters);
    std::string vmKeyFile;
    std::string operatorKeyFile;
    root.readTable("keys", [&](TomlTableReader &r) {
        vmKeyFile = r.optionalString("vm", "");
        operatorKeyFile = r.optionalString("operator", "");
    });
    root.readTable("timings", [&](TomlTableReader &r) { readTimings(r, fleet.timings); });
    fleet.quotaShards =
        static_cast<std::uint32_t>(root.integer("quota_shards", fleet.quotaShards, 1, MaxShards));
    fleet.ledgerShards =
        static_cast<std::uint32_t>(root.integer("ledger_shards", fleet.ledgerShards, 1, MaxShards));
    const auto retention = std::chrono::duration_cast<Seconds>(fleet.ledgerRetention).count();
    fleet.ledgerRetention =
        Seconds(root.integer("ledger_retention_s", retention, 1, MaxRetentionSeconds));
    root.rejectUnknownFields();
    BOOST_LEAF_CHECK(document.checkErrors());
    if (!vmKeyFile.empty()) {
        BOOST_LEAF_ASSIGN(fleet.vmKey, peer::readKeyFile(resolvePath(path, vmKeyFile)));
    }
    if (!operatorKeyFile.empty()) {
        BOOST_LEAF_ASSIGN(fleet.operatorKey, peer::readKeyFile(resolvePath(path, operatorKeyFile)));
    }
    return fleet;
}

void readEntryAddresses(TomlTableReader &listen, VmSettings &settings)
{
    settings.callerAddress = readAddress(listen, "caller");
    settings.backendAddress = readAddress(listen, "backend");
    settings.platformAddress = readAddress(listen, "platform");
}

} // namespace

Result<FleetSettings> loadFleetSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(document, TomlDocument::load(path, ResultCode::SettingsInvalid));
    return readFleet(*document, path);
}

Result<VmSettings> loadVmSettings(const std::string &path, VmRole role)
{
    BOOST_LEAF_AUTO(document, TomlDocument::load(path, ResultCode::SettingsInvalid));
    VmSettings settings;
    TomlTableReader root = document->root();
    settings.id = root.requiredString("id");
    settings.availabilityZone = root.requiredString("availability_zone");
    const std::string fleetFile = root.requiredString("fleet");
    settings.logFile = resolvePath(path, root.optionalString("log_file", ""));
    settings.traceFile = resolvePath(path, root.optionalString("trace_file", ""));
    settings.drainGracePeriod = readMs(root, "drain_grace_ms", settings.drainGracePeriod);
    settings.terminationGracePeriod =
        readMs(root, "termination_grace_ms", settings.terminationGracePeriod);
    if (role == VmRole::Control) {
        settings.dataFolder = resolvePath(path, root.requiredString("data_folder"));
    }
    if (!root.contains("listen")) {
        root.addError("listen", "is missing");
    }
    root.readTable("listen", [&](TomlTableReader &listen) {
        settings.peerAddress = readAddress(listen, "peer").value_or(peer::Address {});
        if (role == VmRole::Entry) {
            readEntryAddresses(listen, settings);
        }
    });
    root.rejectUnknownFields();
    BOOST_LEAF_CHECK(document->checkErrors());
    BOOST_LEAF_ASSIGN(settings.fleet, loadFleetSettings(resolvePath(path, fleetFile)));
    if (settings.fleet.vmKey.empty()) {
        return fail(ResultCode::SettingsInvalid, path + ": keys.vm is missing in the fleet file");
    }
    return settings;
}

} // namespace daisyhaven::settings

// The configuration of the fleet: services with routes, teams, API keys, and the availability zones
// and VMs that are out of service. Each Change produces the next version of a Configuration.
//
// Example:
//     BOOST_LEAF_AUTO(declarations, loadDeclarations({ "examples/oyma" }));
//     configuration.applyChange(computePublication(configuration, declarations));
//
// Thread safety: value types and pure functions are thread-compatible. ConfigurationStore is not
// synchronized.
#pragma once

#include "result/result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace daisyhaven::wire {
class Change;
class ConfigurationUpdate;
class Snapshot;
class VersionedChange;
} // namespace daisyhaven::wire

namespace daisyhaven::configuration {

// Priority of a route's queued requests; a lower value is served first.
enum class Priority : std::uint8_t { Critical = 0, Normal = 1, Bulk = 2 };

struct Route
{
    std::string method;
    // A path that ends with '/' matches as a prefix; any other path matches exactly.
    std::string path;
    bool idempotent = false;
    bool allowUnauthenticated = false;
    Priority priority = Priority::Normal;
    std::uint32_t deadlineMs = 0;
    std::uint64_t bodyLimitBytes = 0;

    auto tied() const
    {
        return std::tie(method, path, idempotent, allowUnauthenticated, priority, deadlineMs,
                        bodyLimitBytes);
    }
    friend bool operator==(const Route &a, const Route &b) { return a.tied() == b.tied(); }
    friend bool operator!=(const Route &a, const Route &b) { return !(a == b); }
};

struct Service
{
    std::string name;
    // Minimum fraction of the known backend servers that ejection must leave in service.
    double floor = 0.5;
    bool shedImpliesNotExecuted = false;
    // During a cold start a server begins with coldStartInitialSlots slots and ramps up to all of
    // its slots within coldStartDurationMs.
    std::uint32_t coldStartInitialSlots = 1;
    std::uint32_t coldStartDurationMs = 0;
    // Teams that may call the service; empty allows every team.
    std::vector<std::string> allowedTeams;
    std::vector<Route> routes;

    auto tied() const
    {
        return std::tie(name, floor, shedImpliesNotExecuted, coldStartInitialSlots,
                        coldStartDurationMs, allowedTeams, routes);
    }
    friend bool operator==(const Service &a, const Service &b) { return a.tied() == b.tied(); }
    friend bool operator!=(const Service &a, const Service &b) { return !(a == b); }
};

struct Team
{
    std::string name;
    double rate = 0; // requests a second
    double burst = 0; // requests
    double weight = 1;

    auto tied() const { return std::tie(name, rate, burst, weight); }
    friend bool operator==(const Team &a, const Team &b) { return a.tied() == b.tied(); }
    friend bool operator!=(const Team &a, const Team &b) { return !(a == b); }
};

// The grant of an API key to a team. Only the hash of the key is stored, never the key.
struct KeyGrant
{
    std::string keyId;
    std::string keyHash; // SHA-256 of the key, 32 bytes
    std::string team;

    auto tied() const { return std::tie(keyId, keyHash, team); }
    friend bool operator==(const KeyGrant &a, const KeyGrant &b) { return a.tied() == b.tied(); }
};

// Services and teams that a publish operation adds, replaces or removes.
struct Publication
{
    std::vector<Service> upsertedServices;
    std::vector<std::string> removedServices;
    std::vector<Team> upsertedTeams;
    std::vector<std::string> removedTeams;

    bool empty() const
    {
        return upsertedServices.empty() && removedServices.empty() && upsertedTeams.empty()
            && removedTeams.empty();
    }
};

struct KeyRevocation
{
    std::string keyId;
};

struct AvailabilityZoneState
{
    std::string availabilityZone;
    bool outOfService = false;
};

struct VmState
{
    std::string vm;
    bool outOfService = false;
};

using ChangeBody =
    std::variant<Publication, KeyGrant, KeyRevocation, AvailabilityZoneState, VmState>;

// One configuration write by an operator.
struct Change
{
    std::string operationId;
    std::string author;
    std::uint64_t baseVersion = 0;
    ChangeBody body;
};

// Returns a one-line summary of `change` for logs and conflict reports. It contains no key.
std::string summarizeChange(const Change &change);

// The route that matches a request.
struct RouteMatch
{
    std::shared_ptr<const Service> service;
    const Route *route = nullptr;
};

// One version of the configuration. Services, teams and grants are immutable and shared, so a
// request may keep them while newer versions are applied.
class Configuration
{
public:
    std::uint64_t version() const { return version_; }
    std::optional<RouteMatch> findRoute(std::string_view method, std::string_view path) const;
    std::shared_ptr<const Service> findService(const std::string &name) const;
    std::shared_ptr<const Team> findTeam(const std::string &name) const;
    // Returns the grant whose key has the SHA-256 digest `keyHash`.
    std::shared_ptr<const KeyGrant> findKeyByHash(const std::string &keyHash) const;
    std::shared_ptr<const KeyGrant> findKeyById(const std::string &keyId) const;
    bool isZoneOutOfService(const std::string &zone) const
    {
        return zonesOutOfService_.count(zone) != 0;
    }
    bool isVmOutOfService(const std::string &vm) const { return vmsOutOfService_.count(vm) != 0; }
    const std::set<std::string> &zonesOutOfService() const { return zonesOutOfService_; }
    const std::set<std::string> &vmsOutOfService() const { return vmsOutOfService_; }
    const std::map<std::string, std::shared_ptr<const Service>> &services() const
    {
        return services_;
    }
    const std::map<std::string, std::shared_ptr<const Team>> &teams() const { return teams_; }
    const std::map<std::string, std::shared_ptr<const KeyGrant>> &keysById() const
    {
        return keysById_;
    }

    // Checks that `body` can be applied to this version. Errors: RouteConflict, UnknownTeam,
    // UnknownKey, DeclarationInvalid.
    Result<void> validate(const ChangeBody &body) const;

    // Applies `body` and increments the version. `body` must be valid for the current version.
    void applyChange(const ChangeBody &body);
    void setVersion(std::uint64_t version) { version_ = version; }

private:
    struct RouteEntry
    {
        std::shared_ptr<const Service> service;
        std::size_t route = 0;
    };

    void addRoutes(const std::shared_ptr<const Service> &service);
    void removeRoutes(const Service &service);
    void removeService(const std::string &name);

    std::uint64_t version_ = 0;
    std::map<std::string, std::shared_ptr<const Service>> services_;
    std::map<std::string, std::shared_ptr<const Team>> teams_;
    std::map<std::string, std::shared_ptr<const KeyGrant>> keysById_;
    std::unordered_map<std::string, std::shared_ptr<const KeyGrant>> keysByHash_;
    std::unordered_map<std::string, RouteEntry> routes_;
    std::set<std::string> zonesOutOfService_;
    std::set<std::string> vmsOutOfService_;
};

// The merged content of declaration files.
struct Declarations
{
    std::vector<Service> services;
    std::vector<Team> teams;
};

// Parses one declaration file. Error messages name it by `path`. Errors: DeclarationInvalid.
Result<Declarations> parseDeclaration(const std::string &content, const std::string &path);

// Loads and merges every *.toml file below `folders`. Errors: DeclarationInvalid, RouteConflict.
Result<Declarations> loadDeclarations(const std::vector<std::string> &folders);

// Returns the publication that makes the services and teams of `base` equal to `declarations`.
Publication computePublication(const Configuration &base, const Declarations &declarations);

// Returns a textual diff of `publication` against `base`, one line per changed item.
std::vector<std::string> describePublication(const Configuration &base,
                                             const Publication &publication);

// Returns the SHA-256 digest of `key`, 32 bytes.
std::string hashKey(std::string_view key);

// An API key and its grant.
struct DerivedKey
{
    std::string key;
    KeyGrant grant;
};
// Derives the API key of one grant operation from `secret`. A retry of the operation, for example
// after its response was lost, derives the same key. The key cannot be derived without `secret`.
DerivedKey deriveKey(const std::string &secret, const std::string &operationId,
                     const std::string &team);

// A configuration with its most recent changes, so that other processes can be updated
// incrementally instead of by a full snapshot. The version never decreases, except in replace().
class ConfigurationStore
{
public:
    ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;
    ~ConfigurationStore();

    const Configuration &current() const { return current_; }
    std::uint64_t version() const { return current_.version(); }
    // Applies `change` as the next version.
    void appendChange(const Change &change);
    // Applies an update; updates that are not newer have no effect. Errors: PeerProtocol if a
    // change between the current version and the update is missing.
    Result<void> applyUpdate(const wire::ConfigurationUpdate &update);
    // Returns the changes after `version`, or a snapshot if they are no longer kept.
    wire::ConfigurationUpdate updateSince(std::uint64_t version) const;
    // Replaces the configuration, whatever its version, and discards the recent changes.
    void replace(Configuration configuration);

private:
    Configuration current_;
    std::deque<wire::VersionedChange> recentChanges_;
};

// Conversion to and from the messages of the peer protocol.
wire::Change toWire(const Change &change);
Result<Change> fromWire(const wire::Change &message);
wire::Snapshot toSnapshot(const Configuration &configuration);
Result<Configuration> fromSnapshot(const wire::Snapshot &snapshot);

// Returns the maximum time for which a prefetched rate token stays valid, for a team with this rate
// and burst. Returns 0 if the burst is too small for the rate.
double tokenLifetimeSeconds(double rate, double burst);

} // namespace daisyhaven::configuration

#include "configuration/configuration.h"

#include "peer/generated/peer.pb.h"

namespace daisyhaven::configuration {

namespace {

// Number of changes kept for incremental updates; a process further behind gets a snapshot.
constexpr std::size_t MaxRecentChanges = 512;

} // namespace

ConfigurationStore::ConfigurationStore() = default;
ConfigurationStore::~ConfigurationStore() = default;

void ConfigurationStore::appendChange(const Change &change)
{
    current_.applyChange(change.body);
    wire::VersionedChange versioned;
    versioned.set_version(current_.version());
    *versioned.mutable_change() = toWire(change);
    recentChanges_.push_back(std::move(versioned));
    if (recentChanges_.size() > MaxRecentChanges) {
        recentChanges_.pop_front();
    }
}

void ConfigurationStore::replace(Configuration configuration)
{
    current_ = std::move(configuration);
    recentChanges_.clear();
}

Result<void> ConfigurationStore::applyUpdate(const wire::ConfigurationUpdate &update)
{
    if (update.has_snapshot() && update.snapshot().version() > version()) {
        BOOST_LEAF_AUTO(configuration, fromSnapshot(update.snapshot()));
        replace(std::move(configuration));
    }
    for (const wire::VersionedChange &versioned : update.changes()) {
        if (versioned.version() <= version()) {
            continue;
        }
        if (versioned.version() != version() + 1) {
            return fail(ResultCode::PeerProtocol, "configuration update skips a version");
        }
        BOOST_LEAF_AUTO(change, fromWire(versioned.change()));
        appendChange(change);
    }
    return {};
}

wire::ConfigurationUpdate ConfigurationStore::updateSince(std::uint64_t knownVersion) const
{
    wire::ConfigurationUpdate update;
    update.set_version(version());
    if (knownVersion >= version()) {
        return update;
    }
    const bool changesAvailable =
        !recentChanges_.empty() && recentChanges_.front().version() <= knownVersion + 1;
    if (!changesAvailable) {
        *update.mutable_snapshot() = toSnapshot(current_);
        return update;
    }
    for (const wire::VersionedChange &versioned : recentChanges_) {
        if (versioned.version() > knownVersion) {
            *update.add_changes() = versioned;
        }
    }
    return update;
}

} // namespace daisyhaven::configuration

#include "clientbudget/clientbudget.h"

#include <algorithm>
#include <utility>

namespace daisyhaven {

namespace {

// Descriptors that the platform reserves for files.
constexpr std::size_t ReservedDescriptors = 200;
// The rest of the memory is for the program, its view of the fleet and the heap's own loss.
constexpr std::size_t MemoryShareNumerator = 1;
constexpr std::size_t MemoryShareDenominator = 4;
// Of the sockets, a quarter stays free for backend servers, control and other VMs.
constexpr std::size_t ConnectionShareNumerator = 3;
constexpr std::size_t ConnectionShareDenominator = 4;
// Small groups get one part in this many of the connections, and at least MinGroupConnections.
constexpr std::size_t SmallGroupPart = 12;
constexpr std::size_t MinGroupConnections = 16;

template <typename Enum> std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}

// Time without a byte after which a connection may be closed for another one of a full group.
// Requests at the small addresses are single packets, and a readiness probe waits only a second.
Duration graceOf(ClientGroup group)
{
    constexpr Milliseconds SmallRequestGrace { 100 };
    const bool isSmall = group == ClientGroup::Readiness || group == ClientGroup::Metrics;
    return isSmall ? SmallRequestGrace : ClientBudget::RecentProgress;
}

// Rank by which connections are closed for memory: the lowest one first.
int memoryRank(Activity activity, bool movedRecently)
{
    switch (activity) {
    case Activity::Idle:
    case Activity::Receiving:
    case Activity::Sending:
        return movedRecently ? 1 : 0;
    case Activity::Processing:
        return 2;
    }
    return 2;
}

} // namespace

const char *clientGroupName(ClientGroup group)
{
    switch (group) {
    case ClientGroup::Callers:
        return "callers";
    case ClientGroup::RequestRelays:
        return "request_relays";
    case ClientGroup::Readiness:
        return "readiness";
    case ClientGroup::Metrics:
        return "metrics";
    case ClientGroup::Control:
        return "control";
    }
    return "";
}

const char *closeCauseName(CloseCause cause)
{
    switch (cause) {
    case CloseCause::MemoryShort:
        return "memory";
    case CloseCause::DescriptorsShort:
        return "descriptors";
    case CloseCause::NoProgress:
        return "no_progress";
    }
    return "";
}

ClientLimits clientLimitsFor(std::size_t memoryBytes, std::size_t descriptors)
{
    const std::size_t sockets =
        descriptors > 2 * ReservedDescriptors ? descriptors - ReservedDescriptors : descriptors / 2;
    return { memoryBytes / MemoryShareDenominator * MemoryShareNumerator,
             sockets * ConnectionShareNumerator / ConnectionShareDenominator };
}

ClientBudget::ClientBudget(ClientLimits limits) : limits_(limits) { }

ClientBudget::Id ClientBudget::add(ClientGroup group, Instant now, CloseCallback close)
{
    const Id id = ++lastId_;
    Connection &connection = connections_[id];
    connection.group = group;
    connection.lastMoved = now;
    connection.periodStart = now;
    connection.close = std::move(close);
    heldBytes_ += connection.heldBytes;
    ++counts_.at(indexOf(group));
    return id;
}

void ClientBudget::remove(Id id)
{
    const auto connection = connections_.find(id);
    if (connection == connections_.end()) {
        return;
    }
    const std::size_t group = indexOf(connection->second.group);
    heldBytes_ -= connection->second.heldBytes;
    connections_.erase(connection);
    --counts_.at(group);
    if (std::exchange(full_.at(group), false) && roomCallbacks_.at(group)) {
        roomCallbacks_.at(group)();
    }
}

void ClientBudget::update(Id id, const ConnectionUse &use, Instant now)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.closing) {
        return;
    }
    Connection &connection = found->second;
    heldBytes_ -= connection.heldBytes;
    connection.heldBytes = ConnectionBytes + use.heldBytes;
    heldBytes_ += connection.heldBytes;
    if (use.movedBytes > 0) {
        connection.lastMoved = now;
        connection.periodBytes += use.movedBytes;
    }
    if (connection.activity != use.activity) {
        connection.activity = use.activity;
        connection.periodStart = now;
        connection.periodBytes = 0;
    }
    while (heldBytes_ > limits_.bytes) {
        Connection *largest = findLargest(now);
        if (largest == nullptr) {
            return;
        }
        closeConnection(largest, CloseCause::MemoryShort);
    }
}

void ClientBudget::sweep(Instant now)
{
    if (now - lastSweep_ > MaxSweepPause) {
        for (auto &[id, connection] : connections_) {
            connection.periodStart = now;
            connection.periodBytes = 0;
        }
    }
    lastSweep_ = now;
    closeStalled(now);
    for (std::size_t group = 0; group < ClientGroupCount; ++group) {
        if (full_.at(group)) {
            makeRoom(static_cast<ClientGroup>(group), now);
        }
    }
}

void ClientBudget::closeStalled(Instant now)
{
    for (auto &[id, connection] : connections_) {
        const bool awaited =
            connection.activity == Activity::Receiving || connection.activity == Activity::Sending;
        if (!awaited || connection.closing || now - connection.periodStart < ProgressPeriod) {
            continue;
        }
        const bool stalled = connection.periodBytes < MinProgressBytes;
        connection.periodStart = now;
        connection.periodBytes = 0;
        if (stalled) {
            closeConnection(&connection, CloseCause::NoProgress);
        }
    }
}

bool ClientBudget::makeRoom(ClientGroup group, Instant now)
{
    if (connectionCount(group) < maxConnections(group)) {
        return true;
    }
    full_.at(indexOf(group)) = true;
    if (Connection *leastUsed = findLeastUsed(group, now)) {
        closeConnection(leastUsed, CloseCause::DescriptorsShort);
    }
    return false;
}

void ClientBudget::onRoom(ClientGroup group, std::function<void()> callback)
{
    roomCallbacks_.at(indexOf(group)) = std::move(callback);
}

std::size_t ClientBudget::heldBytes(ClientGroup group) const
{
    std::size_t bytes = 0;
    for (const auto &[id, connection] : connections_) {
        bytes += connection.group == group ? connection.heldBytes : 0;
    }
    return bytes;
}

std::size_t ClientBudget::connectionCount(ClientGroup group) const
{
    return counts_.at(indexOf(group));
}

std::size_t ClientBudget::maxConnections(ClientGroup group) const
{
    const std::size_t small = std::max(limits_.connections / SmallGroupPart, MinGroupConnections);
    switch (group) {
    case ClientGroup::RequestRelays:
    case ClientGroup::Readiness:
    case ClientGroup::Metrics:
        return small;
    case ClientGroup::Callers:
    case ClientGroup::Control:
        break;
    }
    return std::max(limits_.connections, 4 * small) - 3 * small;
}

std::uint64_t ClientBudget::closedCount(CloseCause cause) const
{
    return closedCounts_.at(indexOf(cause));
}

void ClientBudget::closeConnection(Connection *connection, CloseCause cause)
{
    ++closedCounts_.at(indexOf(cause));
    heldBytes_ -= connection->heldBytes;
    connection->heldBytes = 0;
    connection->closing = true;
    connection->close(cause);
}

// Returns the connection to close for memory: of the lowest rank the one that holds most.
ClientBudget::Connection *ClientBudget::findLargest(Instant now)
{
    const auto rank = [now](const Connection &connection) {
        return memoryRank(connection.activity, now - connection.lastMoved < RecentProgress);
    };
    Connection *best = nullptr;
    for (auto &[id, connection] : connections_) {
        if (connection.closing) {
            continue;
        }
        const bool better = best == nullptr
            || std::make_tuple(rank(connection), best->heldBytes)
                < std::make_tuple(rank(*best), connection.heldBytes);
        best = better ? &connection : best;
    }
    return best;
}

// Returns the connection of the group whose client is awaited and has moved nothing for longest.
ClientBudget::Connection *ClientBudget::findLeastUsed(ClientGroup group, Instant now)
{
    Connection *best = nullptr;
    for (auto &[id, connection] : connections_) {
        const bool movedRecently = now - connection.lastMoved < graceOf(group);
        if (connection.group != group || connection.closing || movedRecently
            || connection.activity == Activity::Processing) {
            continue;
        }
        best = best == nullptr || connection.lastMoved < best->lastMoved ? &connection : best;
    }
    return best;
}

} // namespace daisyhaven

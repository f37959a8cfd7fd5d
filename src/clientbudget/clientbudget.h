// Decides which connections of clients a VM closes when memory or descriptors run short, and which
// ones have stopped to make progress.
//
// Every connection reports the bytes that it holds: unread input, its request and unsent output.
// The sum stays within one budget. When the budget is exceeded, the connection that holds most and
// moves least is closed first; a request that a backend server may already run is closed last.
//
// Example:
//     ClientBudget budget({ 24'000'000, 400 });
//     const auto close = [&](CloseCause cause) { connection.end(cause); };
//     const auto id = budget.add(ClientGroup::Callers, now, close);
//     budget.update(id, { bytes, Activity::Receiving, movedBytes }, now);
//
// Thread safety: not thread-safe. No I/O and no clock: the time is an argument.
#pragma once

#include "timer/timer.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace daisyhaven {

// What an address serves. Each group has its own share of the connections, so that a crowd at one
// address takes no room from another one.
enum class ClientGroup : std::uint8_t { Callers, RequestRelays, Readiness, Metrics, Control };
constexpr std::array AllClientGroups { ClientGroup::Callers, ClientGroup::RequestRelays,
                                       ClientGroup::Readiness, ClientGroup::Metrics,
                                       ClientGroup::Control };
constexpr std::size_t ClientGroupCount = AllClientGroups.size();
// Returns the name of the group in metrics and events.
const char *clientGroupName(ClientGroup group);

enum class Activity : std::uint8_t {
    // No request is in progress.
    Idle,
    // Waits for bytes of the client: the rest of a head or body.
    Receiving,
    // Works on a request; nothing is expected from the client.
    Processing,
    // Waits until the client takes output.
    Sending,
};

enum class CloseCause : std::uint8_t { MemoryShort, DescriptorsShort, NoProgress };
constexpr std::array AllCloseCauses { CloseCause::MemoryShort, CloseCause::DescriptorsShort,
                                      CloseCause::NoProgress };
constexpr std::size_t CloseCauseCount = AllCloseCauses.size();
const char *closeCauseName(CloseCause cause);

struct ConnectionUse
{
    std::size_t heldBytes = 0;
    Activity activity = Activity::Idle;
    // Bytes that were received or sent since the last update.
    std::size_t movedBytes = 0;

    auto tied() const { return std::tie(heldBytes, activity, movedBytes); }
    friend bool operator==(const ConnectionUse &a, const ConnectionUse &b)
    {
        return a.tied() == b.tied();
    }
};

struct ClientLimits
{
    // Bytes that all connections may hold together.
    std::size_t bytes = 64UL * 1024 * 1024;
    // Connections of all groups together.
    std::size_t connections = 4096;

    auto tied() const { return std::tie(bytes, connections); }
    friend bool operator==(const ClientLimits &a, const ClientLimits &b)
    {
        return a.tied() == b.tied();
    }
};

// Returns the limits of a process that may use this much memory and this many descriptors.
ClientLimits clientLimitsFor(std::size_t memoryBytes, std::size_t descriptors);

class ClientBudget
{
public:
    using Id = std::uint64_t;
    using CloseCallback = std::function<void(CloseCause)>;

    // Memory of a connection beside what it reports: its socket buffers' bookkeeping and parser.
    static constexpr std::size_t ConnectionBytes = 8UL * 1024;
    // A client that is awaited moves at least MinProgressBytes in each ProgressPeriod.
    static constexpr Seconds ProgressPeriod { 10 };
    static constexpr std::size_t MinProgressBytes = 512;
    // A connection that has moved bytes within this time is closed after those that have not.
    static constexpr Milliseconds RecentProgress { 2000 };
    // After a longer pause between two sweeps, this VM was busy or suspended and has received
    // nothing itself, so that the progress of its clients counts anew.
    static constexpr Seconds MaxSweepPause { 2 };

    explicit ClientBudget(ClientLimits limits);
    ClientBudget(const ClientBudget &) = delete;
    ClientBudget &operator=(const ClientBudget &) = delete;

    // Adds a connection. `close` is told at most once to end it, and calls remove() later.
    Id add(ClientGroup group, Instant now, CloseCallback close);
    // The connection has given back its memory and its descriptor.
    void remove(Id id);
    // Records the use of a connection, and closes connections while the budget is exceeded.
    void update(Id id, const ConnectionUse &use, Instant now);
    // Closes connections of clients that are awaited and move too little, and makes room in groups
    // that are full. For regular calls.
    void sweep(Instant now);

    // Returns whether the group may take one more connection. If it is full, one that moves nothing
    // is closed; the callback of onRoom() runs once it is gone.
    bool makeRoom(ClientGroup group, Instant now);
    // Calls `callback` when a group that was full has room again.
    void onRoom(ClientGroup group, std::function<void()> callback);

    std::size_t heldBytes() const { return heldBytes_; }
    std::size_t heldBytes(ClientGroup group) const;
    std::size_t connectionCount(ClientGroup group) const;
    std::size_t maxConnections(ClientGroup group) const;
    std::uint64_t closedCount(CloseCause cause) const;
    const ClientLimits &limits() const { return limits_; }

private:
    struct Connection
    {
        ClientGroup group = ClientGroup::Callers;
        std::size_t heldBytes = ConnectionBytes;
        Activity activity = Activity::Idle;
        Instant lastMoved;
        Instant periodStart;
        std::size_t periodBytes = 0;
        bool closing = false;
        CloseCallback close;
    };
    using Connections = std::map<Id, Connection>;

    void closeConnection(Connection *connection, CloseCause cause);
    void closeStalled(Instant now);
    Connection *findLargest(Instant now);
    Connection *findLeastUsed(ClientGroup group, Instant now);

    ClientLimits limits_;
    Connections connections_;
    Id lastId_ = 0;
    Instant lastSweep_;
    std::size_t heldBytes_ = 0;
    std::array<std::size_t, ClientGroupCount> counts_ {};
    // Groups that refused a connection and have had no room since.
    std::array<bool, ClientGroupCount> full_ {};
    std::array<std::function<void()>, ClientGroupCount> roomCallbacks_;
    std::array<std::uint64_t, CloseCauseCount> closedCounts_ {};
};

} // namespace daisyhaven

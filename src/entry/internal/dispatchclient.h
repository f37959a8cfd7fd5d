// Requests slots from dispatchers for this VM's requests. Keeps the list of held slots, which a
// dispatcher collects when it takes over.
#pragma once

#include "entry/internal/context.h"
#include "health/health.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace daisyhaven::entry {

// Describes the request that needs a slot.
struct SlotRequirements
{
    std::string service;
    std::string team;
    double weight = 1;
    std::uint8_t priority = 1;
    bool idempotent = false;
    std::uint64_t routeHash = 0;
    std::uint64_t fingerprint = 0;
    // Absolute deadline of the request.
    Instant deadline;
    bool isRetry = false;
    std::set<std::string> excludedServers;
};

// A slot on a backend server.
struct Slot
{
    std::uint64_t id = 0;
    std::string service;
    std::string zone;
    std::uint64_t term = 0;
    std::string address;
    std::uint64_t serverIncarnation = 0;
    std::uint32_t maxIdleConnections = 0;
    Duration overdueThreshold { 0 };
};

using SlotResult = std::variant<Slot, Failure>;

class DispatchClient
{
public:
    using Callback = std::function<void(SlotResult)>;

    explicit DispatchClient(Context &context);
    DispatchClient(const DispatchClient &) = delete;
    DispatchClient &operator=(const DispatchClient &) = delete;
    ~DispatchClient();

    // Waits for a slot until the deadline. `callback` runs once, unless cancelled. Returns an id
    // for cancel().
    std::uint64_t acquire(const SlotRequirements &requirements, Callback callback);
    void cancel(std::uint64_t requestId);
    // Releases a slot. `done` runs when the dispatcher has acknowledged it or cannot be reached.
    void release(const Slot &slot, health::Outcome outcome, Duration latency,
                 std::function<void()> done);
    // Reports to the dispatcher that the request on `slot` still waits for its response.
    void reportOverdue(const Slot &slot, Duration waited);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::entry

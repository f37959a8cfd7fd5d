// Decides how long a request waits for a leader of the control group before its VM picks a
// backend server locally.
//
// Cases:
// - The leader was lost a short time ago. A new leader is elected within a second and picks better
//   servers than the VM can, so requests wait while their target latency can still be met.
// - There has been no leader for longer. Requests do not wait.
// - The whole fleet restarts. A VM that knows no server cannot pick one locally, so requests wait
//   as long as they can still be served before their deadline.
#pragma once

#include "timer/timer.h"

#include <algorithm>
#include <cstdint>

namespace daisyhaven::gateway {

// What a VM knows about the leader and the servers when a request needs a slot.
struct LeaderState
{
    // A leader responds to requests in time.
    bool responsive = false;
    // Time since the last message from a leader.
    Duration timeSinceLeaderContact { 0 };
    // The last fleet view contains servers of the request's service.
    bool serversKnown = true;
};

struct WaitingRequest
{
    Instant requestedAt;
    // A response until then meets the target latency of the route and has the most value.
    Instant target;
    Instant deadline;
};

enum class LeaderWaitStep : std::uint8_t { SendToLeader, Wait, PickLocally };

// A lost leader is replaced within this time.
constexpr Milliseconds LeaderTakeoverTime { 1200 };
constexpr Milliseconds MaxWaitForLeader { 450 };
// When all control VMs restart, they need a second to elect a leader and receive announcements from
// servers.
constexpr Milliseconds MaxWaitForFirstView { 2500 };
// Time that a request needs after it obtained a slot.
constexpr Milliseconds MinServiceTime { 250 };

inline LeaderWaitStep nextLeaderWaitStep(Instant now, const WaitingRequest &request,
                                         const LeaderState &leaderState)
{
    if (leaderState.responsive) {
        return LeaderWaitStep::SendToLeader;
    }
    if (!leaderState.serversKnown) {
        const Instant until = std::min(request.requestedAt + Duration(MaxWaitForFirstView),
                                       request.deadline - Duration(MinServiceTime));
        return now < until ? LeaderWaitStep::Wait : LeaderWaitStep::PickLocally;
    }
    const Instant until = std::min(request.requestedAt + Duration(MaxWaitForLeader),
                                   request.target - Duration(MinServiceTime));
    const bool takeoverExpected = leaderState.timeSinceLeaderContact < LeaderTakeoverTime;
    return takeoverExpected && now < until ? LeaderWaitStep::Wait : LeaderWaitStep::PickLocally;
}

} // namespace daisyhaven::gateway

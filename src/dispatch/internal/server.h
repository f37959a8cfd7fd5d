// State that a dispatcher keeps for one backend server.
#pragma once

#include "dispatch/dispatch.h"

namespace daisyhaven::dispatch::internal {

enum class RotationState : std::uint8_t {
    Serving,
    Ejected,
    Probation, // may use one slot at a time until ProbesToReadmit requests succeed
};

struct BlockedPath
{
    Instant blockedUntil;
    Duration backoff { 0 };
};

struct Server
{
    Announcement announcement;
    Instant lastAnnouncedAt;
    RotationState rotationState = RotationState::Serving;

    // The allowed slots grow linearly from rampInitialSlots at rampStart to all slots at
    // rampStart + rampDuration.
    std::uint32_t rampInitialSlots = 0;
    Instant rampStart;
    Duration rampDuration { 0 };

    std::uint32_t inFlight = 0;
    std::uint32_t suspectsInFlight = 0;
    std::map<std::string, std::uint32_t> inFlightByVm;
    std::map<std::string, BlockedPath> blockedPaths;

    // True if an event reported the server as deregistered and it has not returned to service
    // since.
    bool reportedDeregistered = false;
    // Time since which the ejection is wanted but not permitted. This is reported once.
    Instant ejectionWantedSince;
    bool reportedWithheld = false;

    Instant ejectedAt;
    Instant ejectedUntil;
    Duration ejectionBackoff { 0 };
    Instant servingSince;
    int successfulProbes = 0;
    std::uint64_t grantCount = 0;
};

} // namespace daisyhaven::dispatch::internal

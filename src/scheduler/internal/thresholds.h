// Values that the parts of the Scheduler share; private to the package.
#pragma once

#include "timer/timer.h"

namespace daisyhaven::scheduler::internal {

// A server is suspected if its failure probability is at least this value. A lower probability only
// raises its selection cost.
constexpr double SuspicionThreshold = 0.3;
// A request that is not idempotent goes only to servers with a lower failure probability.
constexpr double TrustThreshold = 0.12;
constexpr Milliseconds InitialProbeInterval { 250 };

// Lowest multiple of the usual latency that a server counts with, however fast it is.
constexpr double MinSlowness = 0.5;

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Converts microseconds to a Duration.
inline Duration toDuration(double microseconds)
{
    return Duration(static_cast<Duration::rep>(microseconds));
}

} // namespace daisyhaven::scheduler::internal

// Objects that the components of a gateway share.
#pragma once

#include "gateway/gateway.h"
#include "shutdown/shutdown.h"

#include <optional>

namespace daisyhaven::gateway {

class BackendConnectionPool;
class ReachabilityMonitor;
class RequestRelays;
class SlotClient;

struct GatewayContext
{
    event_base *base;
    TimerService &timers;
    Metrics &metrics;
    const GatewayOptions &options;
    const coordination::LeaderClient &leader;
    SlotClient &slots;
    BackendConnectionPool &pool;
    ReachabilityMonitor &reachability;
    RequestRelays &requestRelays;
    routing::WeightedServicePicker &servicePicker;
    // Set from the signal to stop on.
    const std::optional<ShutdownSchedule> &shutdown;

    Instant now() const { return timers.now(); }
};

} // namespace daisyhaven::gateway

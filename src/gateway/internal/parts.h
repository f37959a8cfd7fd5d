// What the parts of a gateway share.
#pragma once

#include "gateway/gateway.h"

namespace daisyhaven::gateway {

class ServerPool;
class SlotClient;

struct Parts
{
    event_base *base;
    TimerService &timers;
    Metrics &metrics;
    const GatewayOptions &options;
    const coordination::LeaderClient &leader;
    SlotClient &slots;
    ServerPool &pool;
    routing::ShareChooser &shares;

    Instant now() const { return timers.now(); }
};

} // namespace daisyhaven::gateway

// Components and settings that the tasks of an entry VM share.
#pragma once

#include "fleet/fleet.h"
#include "observe/observe.h"
#include "peer/peer.h"
#include "settings/settings.h"
#include "timer/timer.h"

struct event_base;

namespace daisyhaven::entry {

struct Context
{
    event_base *eventBase;
    TimerService &timers;
    peer::Server &server;
    peer::ClientPool &clients;
    fleet::FleetTask &fleet;
    Metrics &metrics;
    TraceWriter &traces;
    const settings::VmSettings &settings;
};

} // namespace daisyhaven::entry

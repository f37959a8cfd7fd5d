// Components and settings that the tasks of an entry VM share.
#pragma once

#include "fleet/fleet.h"
#include "observe/observe.h"
#include "peer/peer.h"
#include "settings/settings.h"
#include "shutdown/shutdown.h"
#include "timer/timer.h"

#include <optional>

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
    // Set from the signal to stop on.
    std::optional<ShutdownSchedule> shutdown = std::nullopt;
};

} // namespace daisyhaven::entry

// Conversion of servers, slot requests and responses between the scheduler's types and the internal
// protocol.
#pragma once

#include "coordination/coordination.h"
#include "directory/directory.h"
#include "peer/generated/peer.pb.h"
#include "rollout/rollout.h"
#include "scheduler/scheduler.h"

#include <map>
#include <set>
#include <string>

namespace daisyhaven::coordination {

// Returns whether `name`, which comes from the log, a snapshot or another VM, can be used. Logs one
// that cannot: a release that took unchecked names may have written it.
bool isReadableName(const std::string &name);
// Returns whether all names in the message can be used. Logs one that cannot.
bool isReadable(const wire::FleetServer &message);
bool isReadable(const wire::Rollout &message);
// Return the items of a state whose names can be used; the roll-outs by service.
std::set<std::string> readableZonesOutOfService(const wire::CoordinationState &state);
std::map<std::string, rollout::Rollout> readableRollouts(const wire::CoordinationState &state);

wire::Rollout toWire(const rollout::Rollout &rollout);
rollout::Rollout fromWire(const wire::Rollout &message);
wire::FleetServer toWire(Instant now, const scheduler::KnownServer &server);
scheduler::KnownServer fromWire(Instant now, const wire::FleetServer &message);
scheduler::KnownServer toKnownServer(const directory::ServerEntry &entry, bool suspected);
directory::Announcement toAnnouncement(Instant now, const scheduler::KnownServer &server);
// Adds what a VM needs to know about the load if it loses the leader.
void addLoadSummary(Instant now, const scheduler::Scheduler &scheduler,
                    wire::FleetViewReply *reply);
void applyLoadSummary(const wire::FleetViewReply &reply, FleetView *view);
wire::SlotAnswer toWire(const scheduler::Grant &grant, std::uint64_t epoch);
wire::SlotAnswer toWire(const scheduler::Rejection &rejection, std::uint64_t epoch);
scheduler::Outcome outcomeFromWire(const wire::SlotRelease &message);
std::optional<scheduler::ServerStatement> statementFromWire(const wire::SlotRelease &message);
scheduler::SlotRequest fromWire(Instant now, const wire::SlotQuestion &message);

} // namespace daisyhaven::coordination

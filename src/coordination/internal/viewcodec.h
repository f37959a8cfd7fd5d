// Conversion of servers, slot requests and responses between the scheduler's types and the internal
// protocol.
#pragma once

#include "directory/directory.h"
#include "peer/generated/peer.pb.h"
#include "scheduler/scheduler.h"

namespace daisyhaven::coordination {

wire::FleetServer toWire(Instant now, const scheduler::KnownServer &server);
scheduler::KnownServer fromWire(Instant now, const wire::FleetServer &message);
scheduler::KnownServer toKnownServer(const directory::ServerEntry &entry, bool suspected);
directory::Announcement toAnnouncement(Instant now, const scheduler::KnownServer &server);
wire::SlotAnswer toWire(const scheduler::Grant &grant, std::uint64_t epoch);
wire::SlotAnswer toWire(const scheduler::Rejection &rejection, std::uint64_t epoch);
scheduler::Outcome outcomeFromWire(const wire::SlotRelease &message);
std::optional<scheduler::ServerStatement> statementFromWire(const wire::SlotRelease &message);
scheduler::SlotRequest fromWire(Instant now, const wire::SlotQuestion &message);

} // namespace daisyhaven::coordination

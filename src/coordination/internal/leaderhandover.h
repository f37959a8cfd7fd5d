// What a new leader takes over from the log and from the view that the previous leader sent it.
#pragma once

#include "coordination/coordination.h"
#include "coordination/internal/durablestate.h"

namespace daisyhaven::coordination {

directory::Directory restoreDirectory(Instant now, const DurableState &state,
                                      const FleetView &view);

// Takes over the suspicions and the request limits that the previous leader knew, so that no
// further requests have to fail, or exceed a limit, before they are known again.
void inheritFindings(Instant now, const FleetView &view, const directory::Directory &directory,
                     scheduler::Scheduler *scheduler);

} // namespace daisyhaven::coordination

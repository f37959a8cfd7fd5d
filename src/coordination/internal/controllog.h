// The replicated log of a control VM on its disk.
#pragma once

#include "coordination/coordination.h"

#include <memory>

namespace daisyhaven::coordination {

// Opens the log. At the first start of the fleet, creates that of an initial member. Errors:
// RecordDamaged, StorageFailed, IdentityLost.
Result<std::unique_ptr<replication::DiskLog>> openLog(const ControlOptions &options);

// Returns the members with which the group was founded, or none if the seeds don't tell: they are
// those of the first start only if this VM and as many others as founded a group are among them.
// For initial members whose log a release before 2026-12 has written, which didn't store them.
consensus::Members foundersAmongSeeds(const ControlOptions &options);

} // namespace daisyhaven::coordination

// The replicated log of a control VM on its disk.
#pragma once

#include "coordination/coordination.h"

#include <memory>

namespace daisyhaven::coordination {

// Opens the log. At the first start of the fleet, creates that of an initial member. Errors:
// RecordDamaged, StorageFailed, IdentityLost.
Result<std::unique_ptr<replication::DiskLog>> openLog(const ControlOptions &options);

} // namespace daisyhaven::coordination

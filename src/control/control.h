// A control VM: a replica of the fleet configuration with durable storage.
//
// Example:
//     BOOST_LEAF_CHECK(initializeDataFolder(settings)); // once, for a new fleet
//     return runControlVm(settings);
//
// Thread safety: runs one event loop on the calling thread.
#pragma once

#include "result/result.h"
#include "settings/settings.h"

namespace daisyhaven::control {

// Creates the data folder of an initial member of the replica group. Errors: StorageFailed;
// IdentityLost if the folder already contains a replica.
Result<void> initializeDataFolder(const settings::VmSettings &settings);

// Runs the control VM until SIGTERM or SIGINT. A data folder without an identity gets a new one;
// that replica joins the group only after an operator adds it as a member. Errors: RecordDamaged,
// StorageFailed, SettingsInvalid.
Result<void> runControlVm(const settings::VmSettings &settings);

} // namespace daisyhaven::control

// The entry VM process. Proxies callers' requests to backend servers, hosts the dispatchers, quota
// and ledger shards whose leases it holds, receives backend servers' announcements, and serves the
// platform's health check and metrics endpoints.
//
// Example:
//     return runEntryVm(settings);
//
// Thread safety: runs one event loop on the calling thread.
#pragma once

#include "result/result.h"
#include "settings/settings.h"

namespace daisyhaven::entry {

// Serves until SIGTERM or SIGINT. Then reports unhealthy, completes all active requests and
// returns. Errors: SettingsInvalid if an address cannot be bound.
Result<void> runEntryVm(const settings::VmSettings &settings);

} // namespace daisyhaven::entry

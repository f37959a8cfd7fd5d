// Checks of announcements against the configuration and the directory.
#pragma once

#include "directory/directory.h"
#include "result/result.h"
#include "routing/routing.h"

#include <string>

namespace daisyhaven::coordination {

// Returns whether the configuration names the service. Without a configuration, which `table` is
// null for, every service counts as configured.
bool isServiceConfigured(const routing::RoutingTable *table, const std::string &service);

// An announcement of a service that the configuration does not name must not replace a server of
// one that it names, by its id or its address. Errors: AnnouncementInvalid.
Result<void> checkReplacedServers(const routing::RoutingTable *table,
                                  const directory::Directory &directory,
                                  const directory::Announcement &announcement);

} // namespace daisyhaven::coordination

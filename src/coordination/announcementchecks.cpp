#include "coordination/internal/announcementchecks.h"

namespace daisyhaven::coordination {

bool isServiceConfigured(const routing::RoutingTable *table, const std::string &service)
{
    return table == nullptr || table->findService(service) != nullptr;
}

Result<void> checkReplacedServers(const routing::RoutingTable *table,
                                  const directory::Directory &directory,
                                  const directory::Announcement &announcement)
{
    if (isServiceConfigured(table, announcement.service)) {
        return {};
    }
    for (const directory::ServerEntry *replaced :
         { directory.find(announcement.id), directory.findByAddress(announcement.address) }) {
        if (replaced != nullptr && isServiceConfigured(table, replaced->announcement.service)) {
            return fail(ResultCode::AnnouncementInvalid,
                        announcement.id + ": unknown service " + announcement.service
                            + " in place of server " + replaced->announcement.id);
        }
    }
    return {};
}

} // namespace daisyhaven::coordination

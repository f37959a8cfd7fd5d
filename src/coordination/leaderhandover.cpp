#include "coordination/internal/leaderhandover.h"

#include "coordination/internal/viewcodec.h"

namespace daisyhaven::coordination {

directory::Directory restoreDirectory(Instant now, const DurableState &state, const FleetView &view)
{
    directory::Directory directory;
    for (const auto &[id, server] : state.servers()) {
        directory.restore(now, toAnnouncement(now, fromWire(now, server)));
    }
    for (const auto &[id, server] : view.servers) {
        directory.restore(now, toAnnouncement(now, server));
    }
    return directory;
}

void inheritFindings(Instant now, const FleetView &view, const directory::Directory &directory,
                     scheduler::Scheduler *scheduler)
{
    for (const auto &[id, server] : view.servers) {
        const directory::ServerEntry *entry = directory.find(id);
        const bool hasFinding = server.suspected || server.requestsPerSecond > 0;
        if (!hasFinding || entry == nullptr) {
            continue;
        }
        scheduler->addOrUpdateServer(now, toKnownServer(*entry, false).info);
        if (entry->announcement.startTimeMs == server.info.startTimeMs) {
            scheduler->restoreRequestLimit(now, id, server.requestsPerSecond);
        }
        if (server.suspected) {
            scheduler->restoreSuspicion(now, id);
        }
    }
}

} // namespace daisyhaven::coordination

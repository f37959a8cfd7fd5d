// Receives backend servers' announcements and forwards them to the dispatcher of their service and
// availability zone. Forwards the latest ones again when another dispatcher takes over.
#pragma once

#include "entry/internal/context.h"
#include "entry/internal/endpointserver.h"

#include <memory>

namespace daisyhaven::entry {

class AnnouncementTask
{
public:
    explicit AnnouncementTask(Context &context);
    AnnouncementTask(const AnnouncementTask &) = delete;
    AnnouncementTask &operator=(const AnnouncementTask &) = delete;
    ~AnnouncementTask();

    // Registers the handler of POST /announce at `endpoints`.
    void registerEndpoints(EndpointServer &endpoints);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::entry

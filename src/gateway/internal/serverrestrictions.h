// Backend servers that have asked this VM for no requests in their responses, because they leave or
// for some time. The VM keeps to it by itself, with or without a leader.
#pragma once

#include "scheduler/scheduler.h"
#include "timer/timer.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisyhaven::gateway {

class ServerRestrictions
{
public:
    using Servers = std::map<std::string, scheduler::KnownServer>;

    // Records what the process of `server` that started at `startTimeMs` said to this VM. Returns
    // whether it asked for something that was not in force already.
    bool record(Instant now, const std::string &server, std::uint64_t startTimeMs,
                const scheduler::ServerStatement &statement);

    // Returns whether the server gets no requests from this VM at `now`. A process that started
    // later under the same id is not restricted.
    bool isBlocked(Instant now, const std::string &server, std::uint64_t startTimeMs) const;

    // Returns the servers of `service` that get no requests from this VM.
    std::set<std::string> blockedServers(Instant now, const std::string &service,
                                         const Servers &servers) const;

    // Returns when the first server of `service` may get requests from this VM, or nothing if one
    // may already.
    std::optional<Instant> blockedUntil(Instant now, const std::string &service,
                                        const Servers &servers) const;

private:
    struct Restriction
    {
        std::uint64_t startTimeMs = 0;
        Instant heardAt;
        bool leaving = false;
        Instant quietUntil;
    };

    const Restriction *find(const std::string &server, std::uint64_t startTimeMs) const;
    void removeExpired(Instant now);

    std::map<std::string, Restriction> restrictions_;
};

} // namespace daisyhaven::gateway

#include "gateway/internal/serverrestrictions.h"

#include <algorithm>

namespace daisyhaven::gateway {

namespace {

// A server that leaves is gone by then, or has started again.
constexpr Seconds LeavingRetention { 120 };

} // namespace

bool ServerRestrictions::record(Instant now, const std::string &server, std::uint64_t startTimeMs,
                                const scheduler::ServerStatement &statement)
{
    if (!statement.leaving && statement.quietFor <= Duration(0)) {
        return false;
    }
    removeExpired(now);
    Restriction &known = restrictions_[server];
    if (known.startTimeMs != startTimeMs) {
        known = Restriction();
    }
    const Instant quietUntil = std::max(known.quietUntil, now + statement.quietFor);
    const bool isNew = (statement.leaving && !known.leaving) || now >= known.quietUntil;
    known.startTimeMs = startTimeMs;
    known.heardAt = now;
    known.leaving = known.leaving || statement.leaving;
    known.quietUntil = quietUntil;
    return isNew;
}

bool ServerRestrictions::isBlocked(Instant now, const std::string &server,
                                   std::uint64_t startTimeMs) const
{
    const Restriction *known = find(server, startTimeMs);
    return known != nullptr && (known->leaving || now < known->quietUntil);
}

std::set<std::string> ServerRestrictions::blockedServers(Instant now, const std::string &service,
                                                         const Servers &servers) const
{
    std::set<std::string> blocked;
    for (const auto &[id, restriction] : restrictions_) {
        const auto server = servers.find(id);
        const bool matches = server != servers.end() && server->second.info.service == service;
        if (matches && isBlocked(now, id, server->second.info.startTimeMs)) {
            blocked.insert(id);
        }
    }
    return blocked;
}

std::optional<Instant> ServerRestrictions::blockedUntil(Instant now, const std::string &service,
                                                        const Servers &servers) const
{
    std::optional<Instant> earliest;
    if (restrictions_.empty()) {
        return earliest;
    }
    for (const auto &[id, server] : servers) {
        if (server.info.service != service || server.info.draining) {
            continue;
        }
        if (!isBlocked(now, id, server.info.startTimeMs)) {
            return std::nullopt;
        }
        const Restriction &known = restrictions_.at(id);
        const Instant until = known.leaving ? known.heardAt + LeavingRetention : known.quietUntil;
        earliest = std::min(earliest.value_or(until), until);
    }
    return earliest;
}

const ServerRestrictions::Restriction *ServerRestrictions::find(const std::string &server,
                                                                std::uint64_t startTimeMs) const
{
    const auto known = restrictions_.find(server);
    const bool sameProcess =
        known != restrictions_.end() && known->second.startTimeMs == startTimeMs;
    return sameProcess ? &known->second : nullptr;
}

void ServerRestrictions::removeExpired(Instant now)
{
    for (auto known = restrictions_.begin(); known != restrictions_.end();) {
        const bool expired = now >= known->second.quietUntil
            && (!known->second.leaving || now - known->second.heardAt > LeavingRetention);
        known = expired ? restrictions_.erase(known) : std::next(known);
    }
}

} // namespace daisyhaven::gateway

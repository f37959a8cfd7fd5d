#include "gateway/internal/backendconnectionpool.h"

#include <algorithm>

namespace daisyhaven::gateway {

namespace {

constexpr std::size_t MaxIdlePerServer = 4;
constexpr Milliseconds IdleSweepInterval { 500 };

} // namespace

BackendConnectionPool::BackendConnectionPool(event_base *base, TimerService &timers)
    : base_(base), timers_(timers)
{
    sweep_ = timers_.runEvery(IdleSweepInterval, [this] { closeExpired(); });
}

PooledConnection BackendConnectionPool::acquire(const std::string &server,
                                                const std::string &address, Duration maxIdleTime)
{
    const Instant now = timers_.now();
    auto &idle = idle_[server];
    while (!idle.empty()) {
        IdleConnection candidate = std::move(idle.back());
        idle.pop_back();
        const bool usable = candidate.connection->isOpen() && now < candidate.until
            && now - candidate.since < maxIdleTime;
        if (usable) {
            return { std::move(candidate.connection), true };
        }
    }
    const auto parsed = attempt([&] { return peer::parseAddress(address); });
    const auto *target = std::get_if<peer::Address>(&parsed);
    // An invalid address yields a connection that fails to open.
    return { std::make_unique<http::ClientConnection>(
                 base_, target == nullptr ? peer::Address {} : *target),
             false };
}

void BackendConnectionPool::release(const std::string &server,
                                    std::unique_ptr<http::ClientConnection> connection,
                                    Duration idleLifetime)
{
    const Instant now = timers_.now();
    connection->setCallbacks({});
    // A slow caller of the last response may have paused it.
    connection->resumeReading();
    auto &idle = idle_[server];
    idle.push_back({ std::move(connection), now, now + idleLifetime });
    if (idle.size() > MaxIdlePerServer) {
        idle.pop_front();
    }
}

void BackendConnectionPool::closeIdle(const std::string &server)
{
    idle_.erase(server);
}

std::set<std::string> BackendConnectionPool::serversWithIdleConnection(Duration maxIdleTime) const
{
    const Instant now = timers_.now();
    std::set<std::string> servers;
    for (const auto &[server, idle] : idle_) {
        const bool usable =
            std::any_of(idle.begin(), idle.end(), [&](const IdleConnection &candidate) {
                return candidate.connection->isOpen() && now < candidate.until
                    && now - candidate.since < maxIdleTime;
            });
        if (usable) {
            servers.insert(server);
        }
    }
    return servers;
}

std::size_t BackendConnectionPool::size() const
{
    std::size_t count = 0;
    for (const auto &[server, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

void BackendConnectionPool::closeExpired()
{
    const Instant now = timers_.now();
    for (auto server = idle_.begin(); server != idle_.end();) {
        auto &idle = server->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                                  [&](const IdleConnection &candidate) {
                                      return !candidate.connection->isOpen()
                                          || now >= candidate.until;
                                  }),
                   idle.end());
        server = idle.empty() ? idle_.erase(server) : std::next(server);
    }
}

} // namespace daisyhaven::gateway

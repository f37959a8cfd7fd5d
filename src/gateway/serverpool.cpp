#include "gateway/internal/serverpool.h"

#include <algorithm>

namespace daisyhaven::gateway {

namespace {

constexpr std::size_t MaxIdlePerServer = 4;
constexpr Milliseconds SweepPeriod { 500 };

} // namespace

ServerPool::ServerPool(event_base *base, TimerService &timers) : base_(base), timers_(timers)
{
    sweep_ = timers_.every(SweepPeriod, [this] { closeOld(); });
}

TakenConnection ServerPool::take(const std::string &server, const std::string &address,
                                 Duration longestIdle)
{
    const Instant now = timers_.now();
    auto &idle = idle_[server];
    while (!idle.empty()) {
        Idle candidate = std::move(idle.back());
        idle.pop_back();
        const bool usable = candidate.connection->isOpen() && now < candidate.until
            && now - candidate.since < longestIdle;
        if (usable) {
            return { std::move(candidate.connection), true };
        }
    }
    const auto parsed = attempt([&] { return peer::parseAddress(address); });
    const auto *target = std::get_if<peer::Address>(&parsed);
    // An unreadable address gives a connection that fails to open.
    return { std::make_unique<http::ClientConnection>(
                 base_, target == nullptr ? peer::Address {} : *target),
             false };
}

void ServerPool::giveBack(const std::string &server,
                          std::unique_ptr<http::ClientConnection> connection, Duration keepFor)
{
    const Instant now = timers_.now();
    connection->setCallbacks({});
    auto &idle = idle_[server];
    idle.push_back({ std::move(connection), now, now + keepFor });
    if (idle.size() > MaxIdlePerServer) {
        idle.pop_front();
    }
}

void ServerPool::drop(const std::string &server)
{
    idle_.erase(server);
}

std::set<std::string> ServerPool::connected(Duration longestIdle) const
{
    const Instant now = timers_.now();
    std::set<std::string> servers;
    for (const auto &[server, idle] : idle_) {
        const bool usable = std::any_of(idle.begin(), idle.end(), [&](const Idle &candidate) {
            return candidate.connection->isOpen() && now < candidate.until
                && now - candidate.since < longestIdle;
        });
        if (usable) {
            servers.insert(server);
        }
    }
    return servers;
}

std::size_t ServerPool::size() const
{
    std::size_t count = 0;
    for (const auto &[server, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

void ServerPool::closeOld()
{
    const Instant now = timers_.now();
    for (auto server = idle_.begin(); server != idle_.end();) {
        auto &idle = server->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                                  [&](const Idle &candidate) {
                                      return !candidate.connection->isOpen()
                                          || now >= candidate.until;
                                  }),
                   idle.end());
        server = idle.empty() ? idle_.erase(server) : std::next(server);
    }
}

} // namespace daisyhaven::gateway

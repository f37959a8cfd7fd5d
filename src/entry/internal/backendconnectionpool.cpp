#include "entry/internal/backendconnectionpool.h"

namespace daisyhaven::entry {

namespace {

// An idle connection that received nothing for longer may have been lost without a notification,
// for example by a middlebox on the path.
constexpr Seconds MaxTrustedIdleTime { 1 };
constexpr Seconds MaxIdleTime { 20 };

} // namespace

PooledConnection BackendConnectionPool::acquire(const std::string &address, bool idempotent)
{
    auto &idle = idleConnections_[address];
    const Instant now = context_.timers.now();
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        const Duration idleTime = now - connection->lastReceived();
        const bool usable = connection->isOpen() && idleTime < MaxIdleTime;
        const bool trusted = idempotent || idleTime < MaxTrustedIdleTime;
        if (usable && trusted) {
            return { std::move(connection), true };
        }
    }
    const auto parsed = attempt([&] { return peer::parseAddress(address); });
    const auto target = std::get_if<peer::Address>(&parsed);
    return { std::make_unique<http::ClientConnection>(
                 context_.eventBase, target == nullptr ? peer::Address {} : *target),
             false };
}

void BackendConnectionPool::release(const std::string &address,
                                    std::unique_ptr<http::ClientConnection> connection,
                                    std::uint32_t limit)
{
    auto &idle = idleConnections_[address];
    connection->setCallbacks({});
    // A slow caller of the last response may have paused it.
    connection->resumeReading();
    idle.push_back(std::move(connection));
    while (idle.size() > limit) {
        idle.pop_front();
    }
}

} // namespace daisyhaven::entry

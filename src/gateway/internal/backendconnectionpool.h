// Pool of idle connections to backend servers.
#pragma once

#include "http/http.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace daisyhaven::gateway {

// A connection acquired from the pool for one request.
struct PooledConnection
{
    std::unique_ptr<http::ClientConnection> connection;
    bool reused = false;
};

class BackendConnectionPool
{
public:
    BackendConnectionPool(event_base *base, TimerService &timers);

    // Returns the connection to `server` that has been idle for the shortest time if that is less
    // than `maxIdleTime`; opens a new one otherwise.
    PooledConnection acquire(const std::string &server, const std::string &address,
                             Duration maxIdleTime);
    // Returns a connection to the pool, which keeps it for `idleLifetime`: as long as the server
    // allows.
    void release(const std::string &server, std::unique_ptr<http::ClientConnection> connection,
                 Duration idleLifetime);
    // Closes all idle connections to `server`, after one of them turned out to be broken.
    void closeIdle(const std::string &server);
    // Returns the servers for which acquire() would reuse a connection.
    std::set<std::string> serversWithIdleConnection(Duration maxIdleTime) const;
    std::size_t size() const;

private:
    struct IdleConnection
    {
        std::unique_ptr<http::ClientConnection> connection;
        Instant since;
        Instant until;
    };

    void closeExpired();

    event_base *base_;
    TimerService &timers_;
    std::map<std::string, std::deque<IdleConnection>> idle_;
    TimerHandle sweep_;
};

} // namespace daisyhaven::gateway

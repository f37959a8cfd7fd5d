// Pool of connections to backend servers. Idle connections are kept for reuse, up to the limit that
// the dispatcher assigns to this VM.
#pragma once

#include "entry/internal/context.h"
#include "http/http.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace daisyhaven::entry {

// A connection acquired for one request.
struct PooledConnection
{
    std::unique_ptr<http::ClientConnection> connection;
    bool reused = false;
};

class BackendConnectionPool
{
public:
    explicit BackendConnectionPool(Context &context) : context_(context) { }

    // Returns an idle connection or opens a new one. A request that is not idempotent gets only an
    // idle connection that received data recently. `address` must be valid.
    PooledConnection acquire(const std::string &address, bool idempotent);
    // Returns a connection whose response was complete to the pool. If more than `limit` are idle,
    // the oldest are closed.
    void release(const std::string &address, std::unique_ptr<http::ClientConnection> connection,
                 std::uint32_t limit);

    // Closes the idle connections. Called when one of them was found to be unresponsive.
    void closeIdle(const std::string &address) { idleConnections_.erase(address); }

private:
    Context &context_;
    std::map<std::string, std::deque<std::unique_ptr<http::ClientConnection>>> idleConnections_;
};

} // namespace daisyhaven::entry

// Idle connections to backend servers.
#pragma once

#include "http/http.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace daisyhaven::gateway {

// A connection taken for one request.
struct TakenConnection
{
    std::unique_ptr<http::ClientConnection> connection;
    bool reused = false;
};

class ServerPool
{
public:
    ServerPool(event_base *base, TimerService &timers);

    // Takes the connection to `server` that was idle for the shortest time, if that is below
    // `longestIdle`, or opens one.
    TakenConnection take(const std::string &server, const std::string &address,
                         Duration longestIdle);
    // Keeps a connection for `keepFor`, what the server allows.
    void giveBack(const std::string &server, std::unique_ptr<http::ClientConnection> connection,
                  Duration keepFor);
    // Closes the idle connections to `server`: one of them was found to be lost.
    void drop(const std::string &server);
    // Servers with a connection that take() would hand out.
    std::set<std::string> connected(Duration longestIdle) const;
    std::size_t size() const;

private:
    struct Idle
    {
        std::unique_ptr<http::ClientConnection> connection;
        Instant since;
        Instant until;
    };

    void closeOld();

    event_base *base_;
    TimerService &timers_;
    std::map<std::string, std::deque<Idle>> idle_;
    Subscription sweep_;
};

} // namespace daisyhaven::gateway

// Watches whether the peer of a connection takes what it is sent; private to the http package.
#pragma once

#include "timer/timer.h"

#include <cstddef>
#include <cstdint>
#include <functional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;

namespace daisyhaven::http::internal {

// Counts as delivered what the peer has acknowledged, also after the output buffer has passed it to
// the kernel. TCP_USER_TIMEOUT can't do this: a peer whose receive window opens by less than a
// segment at a time counts as stalled there, though it reads all the time.
class DeliveryWatch
{
public:
    struct Callbacks
    {
        // The peer has taken this many more bytes. Optional.
        std::function<void(std::size_t)> progressed;
        // The peer has taken everything that was written. Optional.
        std::function<void()> delivered;
        // The peer has taken nothing for the stall limit. The watch has ended.
        std::function<void()> stalled;
    };

    // `connection` is connected, and outlives the watch.
    DeliveryWatch(bufferevent *connection, Milliseconds stallLimit, Callbacks callbacks);
    DeliveryWatch(const DeliveryWatch &) = delete;
    DeliveryWatch &operator=(const DeliveryWatch &) = delete;
    ~DeliveryWatch();

    // Returns the bytes that were written and that the peer has not taken yet.
    std::size_t undelivered() const { return watching_ ? measureUndelivered() : 0; }

private:
    static void onOutputChanged(evbuffer *output, const evbuffer_cb_info *change, void *user);
    static void onCheckEvent(int socket, short what, void *user);
    std::size_t measureUndelivered() const;
    void startWatching();
    void check();

    bufferevent *connection_;
    Milliseconds stallLimit_;
    Callbacks callbacks_;
    event *checkEvent_;
    // From the first write until a check finds everything delivered.
    bool watching_ = false;
    std::uint64_t written_ = 0;
    std::uint64_t delivered_ = 0;
    Instant checkedAt_;
    Instant progressAt_;
};

} // namespace daisyhaven::http::internal

#include "http/internal/deliverywatch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace daisyhaven::http::internal {

namespace {

constexpr timeval CheckInterval { 0, 250'000 };
// After a longer pause, this VM was busy or suspended, and the peer's time starts anew.
constexpr Seconds MaxCheckPause { 2 };

} // namespace

DeliveryWatch::DeliveryWatch(bufferevent *connection, Milliseconds stallLimit, Callbacks callbacks)
    : connection_(connection), stallLimit_(stallLimit), callbacks_(std::move(callbacks)),
      checkEvent_(evtimer_new(bufferevent_get_base(connection), &DeliveryWatch::onCheckEvent, this))
{
    evbuffer *output = bufferevent_get_output(connection_);
    evbuffer_add_cb(output, &DeliveryWatch::onOutputChanged, this);
    // The kernel may have taken some of it already.
    written_ = measureUndelivered();
    if (written_ > 0) {
        startWatching();
    }
}

DeliveryWatch::~DeliveryWatch()
{
    evbuffer_remove_cb(bufferevent_get_output(connection_), &DeliveryWatch::onOutputChanged, this);
    event_free(checkEvent_);
}

void DeliveryWatch::onOutputChanged(evbuffer * /*output*/, const evbuffer_cb_info *change,
                                    void *user)
{
    auto &watch = *static_cast<DeliveryWatch *>(user);
    watch.written_ += change->n_added;
    if (change->n_added > 0 && !watch.watching_) {
        watch.startWatching();
    }
}

void DeliveryWatch::onCheckEvent(int /*socket*/, short /*what*/, void *user)
{
    static_cast<DeliveryWatch *>(user)->check();
}

// Where the kernel doesn't tell what it holds, what it has taken counts as delivered.
std::size_t DeliveryWatch::measureUndelivered() const
{
    int inKernel = 0;
    const bool known = ::ioctl(bufferevent_getfd(connection_), SIOCOUTQ, &inKernel) == 0;
    return evbuffer_get_length(bufferevent_get_output(connection_))
        + (known ? static_cast<std::size_t>(std::max(inKernel, 0)) : 0);
}

void DeliveryWatch::startWatching()
{
    watching_ = true;
    checkedAt_ = monotonicNow();
    progressAt_ = checkedAt_;
    evtimer_add(checkEvent_, &CheckInterval);
}

// A callback may destroy the owner, so each is a copy and the last thing that is done.
void DeliveryWatch::check()
{
    const std::size_t undelivered = measureUndelivered();
    const std::uint64_t delivered = written_ - std::min<std::uint64_t>(written_, undelivered);
    const std::uint64_t progress = delivered - std::min(delivered, delivered_);
    const Instant now = monotonicNow();
    if (progress > 0 || now - checkedAt_ > MaxCheckPause) {
        delivered_ = delivered;
        progressAt_ = now;
    }
    checkedAt_ = now;
    if (undelivered > 0 && now - progressAt_ > stallLimit_) {
        const auto stalled = callbacks_.stalled;
        stalled();
        return;
    }
    watching_ = undelivered > 0;
    if (watching_) {
        evtimer_add(checkEvent_, &CheckInterval);
    }
    if (progress > 0 && callbacks_.progressed) {
        callbacks_.progressed(progress);
    }
    if (!watching_ && callbacks_.delivered) {
        const auto handleDelivered = callbacks_.delivered;
        handleDelivered();
    }
}

} // namespace daisyhaven::http::internal

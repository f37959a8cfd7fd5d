#include "http/internal/connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace daisyhaven::http::internal {

namespace {

constexpr int KeepAliveIdleSeconds = 5;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;
// net.core.wmem_max of Linux where it isn't configured. Autotuning may have given a socket more.
constexpr std::size_t MaxSettableSendBufferBytes = 212'992;

} // namespace

Transport::~Transport()
{
    deliveryWatch_.reset();
    bufferevent_free(connection_);
}

void Transport::write(std::string_view data)
{
    bufferevent_write(connection_, data.data(), data.size());
}

void Transport::writeHead(const std::string &startLine, const Headers &headers, Framing framing,
                          std::uint64_t length, bool writeEmptyLength)
{
    framing_ = framing;
    std::string text = startLine + "\r\n";
    for (const Header &field : headers.fields()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (framing == Framing::Chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (framing == Framing::Length || writeEmptyLength) {
        text += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    write(text + "\r\n");
}

void Transport::writeBody(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    if (framing_ != Framing::Chunked) {
        write(data);
        return;
    }
    std::array<char, 24> size {};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    write({ size.data(), static_cast<std::size_t>(digits) });
    write(data);
    write("\r\n");
}

void Transport::writeBodyEnd()
{
    if (framing_ == Framing::Chunked) {
        write("0\r\n\r\n");
    }
    framing_ = Framing::None;
}

std::size_t Transport::pendingOutput() const
{
    return evbuffer_get_length(bufferevent_get_output(connection_));
}

void Transport::watchDelivery(Milliseconds stallLimit, DeliveryWatch::Callbacks callbacks)
{
    deliveryWatch_ = std::make_unique<DeliveryWatch>(connection_, stallLimit, std::move(callbacks));
}

std::size_t Transport::undeliveredOutput() const
{
    return deliveryWatch_ ? deliveryWatch_->undelivered() : pendingOutput();
}

void Transport::handOverOutput()
{
    const int socket = bufferevent_getfd(connection_);
    int capacity = 0;
    socklen_t length = sizeof(capacity);
    getsockopt(socket, SOL_SOCKET, SO_SNDBUF, &capacity, &length);
    // The kernel doubles the value that is set, for its bookkeeping.
    const auto needed =
        static_cast<int>(std::min<std::size_t>(undeliveredOutput(), MaxSettableSendBufferBytes));
    if (2 * needed > capacity) {
        setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &needed, sizeof(needed));
    }
}

void Transport::setReading(bool enabled)
{
    if (enabled) {
        bufferevent_enable(connection_, EV_READ);
    } else {
        bufferevent_disable(connection_, EV_READ);
    }
}

void setSocketOptions(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof(int));
}

} // namespace daisyhaven::http::internal

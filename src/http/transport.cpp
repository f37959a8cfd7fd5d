#include "http/internal/connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>

namespace daisyhaven::http::internal {

namespace {

constexpr int KeepAliveIdleSeconds = 5;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;

} // namespace

Transport::~Transport()
{
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

void Transport::setReading(bool enabled)
{
    if (enabled) {
        bufferevent_enable(connection_, EV_READ);
    } else {
        bufferevent_disable(connection_, EV_READ);
    }
}

void setSocketOptions(int socket, Milliseconds stallLimit)
{
    const int on = 1;
    const int stallLimitMs = static_cast<int>(stallLimit.count());
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof(int));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &stallLimitMs, sizeof(int));
}

} // namespace daisyhaven::http::internal

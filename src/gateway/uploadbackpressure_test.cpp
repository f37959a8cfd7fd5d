// Uploads to a server that does not read them: the VM must hold a bounded part of their bodies.
#include "testing/gatewayfleet.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisyhaven::gateway {
namespace {

constexpr std::size_t UploadBytes = 60UL * 1024 * 1024;
// Covers the buffers of four sockets, which the kernel enlarges to a few megabytes each.
constexpr std::size_t MaxAcceptedBytes = UploadBytes / 2;
constexpr Milliseconds ObservedTime { 1500 };
// The retained part of a body, and what is read ahead and waits to be written beside it.
constexpr std::size_t MaxHeldBytes = (512UL + 4 * 64UL) * 1024;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

struct UploadCase
{
    const char *name;
    bool chunked;
    bool throughRelay;
};

class UnreadUpload : public GatewayFleet, public ::testing::WithParamInterface<UploadCase>
{
protected:
    // Connections are established, but nobody reads from them.
    UnreadUpload()
    {
        const sockaddr_in address = loopbackAddress(localAddress(Silent).port);
        const int on = 1;
        setsockopt(server_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        EXPECT_EQ(bind(server_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
        EXPECT_EQ(listen(server_, 16), 0);
    }
    ~UnreadUpload() override
    {
        close(server_);
        close(caller_);
    }

    void connectCaller()
    {
        const sockaddr_in address = loopbackAddress(localAddress(CallersA).port);
        ASSERT_EQ(connect(caller_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)),
                  0);
        evutil_make_socket_nonblocking(caller_);
    }

    // Writes what the connection takes of `data`; returns the number of bytes.
    std::size_t offer(std::string_view data) const
    {
        const ssize_t written = ::send(caller_, data.data(), data.size(), MSG_NOSIGNAL);
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    }

    int server_ = socket(AF_INET, SOCK_STREAM, 0);
    int caller_ = socket(AF_INET, SOCK_STREAM, 0);
};

// Guards against an entry VM whose memory fills with uploads until it is killed with all its
// requests, and against uploads that count as larger than what is held of them.
TEST_P(UnreadUpload, IsNotReadBeyondABoundedPart)
{
    startSendingVm(std::vector<peer::Address>(4, localAddress(Silent)), GetParam().throughRelay);
    if (GetParam().throughRelay) {
        // Shows the VM that it reaches no server; from then on it sends to the relay at once.
        send("/write/0", "body", Milliseconds(300));
        ASSERT_TRUE(runUntil([&] { return response_.complete; }));
    }
    connectCaller();
    std::string upload = "POST /write/1 HTTP/1.1\r\nHost: shop.example\r\nrequest-id: request-1\r\n"
                         "deadline-ms: 10000\r\n";
    if (GetParam().chunked) {
        upload += "Transfer-Encoding: chunked\r\n\r\n3c00000\r\n";
    } else {
        upload += "Content-Length: " + std::to_string(UploadBytes) + "\r\n\r\n";
    }
    upload.append(UploadBytes, 'x');
    std::size_t accepted = 0;
    const TimerHandle sending = timers_.runEvery(
        Milliseconds(1), [&] { accepted += offer(std::string_view(upload).substr(accepted)); });
    runUntil([&] { return accepted == upload.size(); }, ObservedTime);
    EXPECT_GT(accepted, 512UL * 1024);
    EXPECT_LT(accepted, MaxAcceptedBytes);
    const std::size_t connections = GetParam().throughRelay ? 2 : 1;
    EXPECT_LT(clientBudget_.heldBytes(), connections * MaxHeldBytes);
}

INSTANTIATE_TEST_SUITE_P(Uploads, UnreadUpload,
                         ::testing::Values(UploadCase { "sized", false, false },
                                           UploadCase { "chunked", true, false },
                                           UploadCase { "throughRelay", false, true }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

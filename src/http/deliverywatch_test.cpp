// Backend servers that read what they are sent slowly, but steadily, aren't taken for stalled ones.
#include "http/http.h"
#include "testing/eventloop.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace daisyhaven::http {
namespace {

constexpr std::size_t BodyBytes = 128UL * 1024;
constexpr std::size_t PieceBytes = 4000;
constexpr int ReceiveBufferBytes = 8192;
constexpr Milliseconds PieceInterval { 150 };
constexpr Seconds TestLimit { 12 };

struct ReaderCase
{
    const char *name;
    std::size_t bytesRead;
};

const ReaderCase ReaderCases[] = {
    { "serverThatReadsAll", BodyBytes },
    { "serverThatStopsToRead", BodyBytes / 8 },
};

class SlowServer : public ::testing::TestWithParam<ReaderCase>
{
protected:
    SlowServer() : base_(event_base_new()), timers_(base_.get())
    {
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(int));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *const anyAddress = reinterpret_cast<sockaddr *>(&address);
        EXPECT_EQ(bind(listener_, anyAddress, length), 0);
        EXPECT_EQ(listen(listener_, 1), 0);
        EXPECT_EQ(getsockname(listener_, anyAddress, &length), 0);
        port_ = ntohs(address.sin_port);
        evutil_make_socket_nonblocking(listener_);
    }
    ~SlowServer() override
    {
        close(listener_);
        close(socket_);
    }

    void readPiece()
    {
        if (socket_ < 0) {
            socket_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        }
        std::array<char, PieceBytes> piece {};
        const bool reads = received_ <= GetParam().bytesRead;
        const ssize_t length = reads ? recv(socket_, piece.data(), piece.size(), 0) : 0;
        received_ += length > 0 ? static_cast<std::size_t>(length) : 0;
    }

    testing::EventBase base_;
    TimerService timers_;
    int listener_ = socket(AF_INET, SOCK_STREAM, 0);
    int socket_ = -1;
    std::uint16_t port_ = 0;
    std::size_t received_ = 0;
};

// Guards against uploads that are reset on their way to a server that reads them steadily, since
// its receive window opens by less than a segment at a time.
TEST_P(SlowServer, IsLeftOnlyIfItStopsToRead)
{
    const TimerHandle reader = timers_.runEvery(PieceInterval, [this] { readPiece(); });
    ClientConnection connection(base_.get(), { "127.0.0.1", port_ });
    bool closed = false;
    ClientConnection::Callbacks callbacks;
    callbacks.closed = [&] { closed = true; };
    connection.setCallbacks(callbacks);
    connection.sendHead("POST", "/upload", {}, Framing::Length, BodyBytes);
    connection.sendBody(std::string(BodyBytes, 'x'));
    connection.endRequest();
    const auto isOver = [&] { return closed || received_ > BodyBytes; };
    ASSERT_TRUE(testing::runUntil(base_.get(), timers_, isOver, TestLimit));
    EXPECT_EQ(closed, GetParam().bytesRead < BodyBytes);
}

INSTANTIATE_TEST_SUITE_P(Uploads, SlowServer, ::testing::ValuesIn(ReaderCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::http

// Requests that a caller sends before earlier ones are answered: they are read one at a time and in
// order, none is read behind a response that closes the connection, and unread ones are bounded.
#include "http/http.h"
#include "testing/eventloop.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace daisyhaven::http {
namespace {

std::string request(const std::string &path, const std::string &fields = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + fields + "\r\n";
}

// A server connection with its caller. Records which requests were read.
class CallerAhead : public ::testing::Test
{
protected:
    CallerAhead() : base_(event_base_new())
    {
        socketpair(AF_UNIX, SOCK_STREAM, 0, sockets_.data());
        evutil_make_socket_nonblocking(sockets_[0]);
        evutil_make_socket_nonblocking(sockets_[1]);
        ServerConnection::Callbacks callbacks;
        callbacks.head = [this](const RequestHead &head) { read_.push_back(head.path); };
        callbacks.body = [](std::string_view) {};
        callbacks.end = [this] { ++ended_; };
        callbacks.invalidMessage = [this](const Failure &) { ++invalid_; };
        callbacks.closed = [] {};
        connection_ = std::make_unique<ServerConnection>(base_.get(), sockets_[0], callbacks);
    }
    ~CallerAhead() override { close(sockets_[1]); }

    void send(const std::string &text)
    {
        EXPECT_EQ(write(sockets_[1], text.data(), text.size()), static_cast<ssize_t>(text.size()));
        for (int turn = 0; turn < 4; ++turn) {
            event_base_loop(base_.get(), EVLOOP_NONBLOCK);
        }
    }

    void respond()
    {
        connection_->sendHead(200, {}, Framing::Length, 0);
        connection_->endResponse();
        send("");
    }

    std::string receive()
    {
        std::array<char, 4096> buffer {};
        const ssize_t length = ::read(sockets_[1], buffer.data(), buffer.size());
        return { buffer.data(), length > 0 ? static_cast<std::size_t>(length) : 0 };
    }

    testing::EventBase base_;
    std::array<int, 2> sockets_ {};
    std::unique_ptr<ServerConnection> connection_;
    std::vector<std::string> read_;
    int ended_ = 0;
    int invalid_ = 0;
};

TEST_F(CallerAhead, RequestIsReadOnceTheOneBeforeIsAnswered)
{
    send(request("/1") + request("/2", "Content-Length: 3\r\n") + "abc" + request("/3"));
    EXPECT_EQ(read_, (std::vector<std::string> { "/1" }));
    respond();
    EXPECT_EQ(read_, (std::vector<std::string> { "/1", "/2" }));
    respond();
    EXPECT_EQ(read_, (std::vector<std::string> { "/1", "/2", "/3" }));
    EXPECT_EQ(ended_, 3);
}

TEST_F(CallerAhead, NothingIsReadBehindAResponseToACallerThatCloses)
{
    send(request("/1", "Connection: close\r\n") + request("/2"));
    respond();
    send(request("/3"));
    EXPECT_EQ(read_, (std::vector<std::string> { "/1" }));
    EXPECT_TRUE(connection_->isClosing());
}

TEST_F(CallerAhead, NothingIsReadBehindAResponseThatCloses)
{
    send(request("/1") + request("/2"));
    connection_->closeAfterResponse();
    respond();
    send(request("/3"));
    EXPECT_EQ(read_, (std::vector<std::string> { "/1" }));
    EXPECT_NE(receive().find("Connection: close"), std::string::npos);
}

// The head of the response names the close since the body is still on its way. The caller counts
// what it sent behind as unread, also if the body ends before the response.
TEST_F(CallerAhead, NothingIsReadBehindAResponseThatBeganBeforeItsRequestEnded)
{
    send(request("/1", "Content-Length: 6\r\n") + "abc");
    connection_->sendHead(200, {}, Framing::Length, 0);
    send("def" + request("/2"));
    EXPECT_EQ(ended_, 1);
    connection_->endResponse();
    send(request("/3"));
    EXPECT_EQ(read_, (std::vector<std::string> { "/1" }));
    EXPECT_NE(receive().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(connection_->isClosing());
}

// A full input was reported again and again, which kept the event loop from anything else.
TEST_F(CallerAhead, UnreadRequestsAreBoundedAndLeaveTheEventLoopIdle)
{
    constexpr int SocketBufferBytes = 16 * 1024;
    setsockopt(sockets_[1], SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    std::string many;
    while (many.size() < SocketBufferBytes) {
        many += request("/many");
    }
    std::size_t taken = 0;
    for (int i = 0; i < 64; ++i) {
        const ssize_t sent = write(sockets_[1], many.data(), many.size());
        taken += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        const timeval limit { 0, 5000 };
        event_base_loopexit(base_.get(), &limit);
        event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    }
    EXPECT_EQ(read_.size(), 1U);
    // The connection holds up to the watermark and one read more; the rest stays with the socket.
    EXPECT_LE(taken, 2 * InputHighWatermarkBytes + 4UL * SocketBufferBytes);
    EXPECT_EQ(event_base_get_num_events(base_.get(), EVENT_BASE_COUNT_ACTIVE), 0);
    for (std::size_t answered = 1; answered <= 100; ++answered) {
        respond();
        EXPECT_EQ(read_.size(), answered + 1);
        receive();
    }
}

} // namespace
} // namespace daisyhaven::http

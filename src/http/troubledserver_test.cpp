// Responses of servers in trouble, over real sockets: what is not a response in HTTP/1.1, or is cut
// off on its way, must not be reported as a complete one.
#include "http/http.h"
#include "testing/eventloop.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <thread>

namespace daisyhaven::http {
namespace {

// How the server ends a connection after it has sent its response.
enum class ConnectionEnd {
    // Reads the whole request first, then closes.
    Close,
    // Closes with unread bytes of the request, which resets the connection.
    CloseWithUnreadInput,
    // Resets the connection.
    Reset,
    // Reads on until the client closes.
    Keep,
};

// Accepts one connection, sends `response` once the first bytes of the request have arrived, and
// ends the connection. Runs on a thread of its own.
class TroubledServer
{
public:
    TroubledServer(std::string response, ConnectionEnd connectionEnd)
        : response_(std::move(response)), connectionEnd_(connectionEnd),
          listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        EXPECT_EQ(bind(listener_, generic, length), 0);
        EXPECT_EQ(listen(listener_, 1), 0);
        EXPECT_EQ(getsockname(listener_, generic, &length), 0);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    TroubledServer(const TroubledServer &) = delete;
    TroubledServer &operator=(const TroubledServer &) = delete;
    ~TroubledServer()
    {
        thread_.join();
        close(listener_);
    }

    peer::Address address() const { return { "127.0.0.1", port_ }; }

private:
    void serve()
    {
        const int connection = accept(listener_, nullptr, nullptr);
        char buffer[1024];
        EXPECT_GT(recv(connection, buffer, sizeof(buffer), 0), 0);
        EXPECT_EQ(send(connection, response_.data(), response_.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(response_.size()));
        switch (connectionEnd_) {
        case ConnectionEnd::Close:
            shutdown(connection, SHUT_WR);
            readUntilEnd(connection);
            break;
        case ConnectionEnd::CloseWithUnreadInput: {
            pollfd input { connection, POLLIN, 0 };
            poll(&input, 1, TestTimeoutMs);
            break;
        }
        case ConnectionEnd::Reset: {
            const linger reset { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            break;
        }
        case ConnectionEnd::Keep:
            readUntilEnd(connection);
            break;
        }
        close(connection);
    }

    static void readUntilEnd(int connection)
    {
        char buffer[64 * 1024];
        while (recv(connection, buffer, sizeof(buffer), 0) > 0) { }
    }

    static constexpr int TestTimeoutMs = 5000;

    std::string response_;
    ConnectionEnd connectionEnd_;
    int listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

struct Outcome
{
    bool headReported = false;
    bool complete = false;
    bool finished = false;
};

// Sends a request with a body of `bodyBytes` and waits until its outcome is known.
Outcome sendRequest(const TroubledServer &server, std::size_t bodyBytes)
{
    const testing::EventBase base(event_base_new());
    TimerService timers(base.get());
    Outcome outcome;
    ClientConnection client(base.get(), server.address());
    ClientConnection::Callbacks callbacks;
    callbacks.head = [&](const ResponseHead &) { outcome.headReported = true; };
    callbacks.body = [](std::string_view) {};
    callbacks.end = [&](bool) {
        outcome.complete = true;
        outcome.finished = true;
    };
    callbacks.invalidMessage = [&](const Failure &) { outcome.finished = true; };
    callbacks.closed = [&] { outcome.finished = true; };
    client.setCallbacks(callbacks);
    Headers headers;
    headers.add("Host", "shop.example");
    client.sendHead("POST", "/", headers, Framing::Length, bodyBytes);
    client.sendBody(std::string(bodyBytes, 'x'));
    client.endRequest();
    testing::runUntil(
        base.get(), timers, [&] { return outcome.finished; }, Seconds(5));
    return outcome;
}

// ---- status lines ----

struct StatusLineCase
{
    const char *name;
    const char *statusLine;
    bool valid;
};

class StatusLine : public ::testing::TestWithParam<StatusLineCase>
{
};

TEST_P(StatusLine, IsReportedOnlyIfItIsValid)
{
    const std::string response =
        std::string(GetParam().statusLine) + "\r\nContent-Length: 3\r\n\r\nabc";
    const TroubledServer server(response, ConnectionEnd::Keep);
    const Outcome outcome = sendRequest(server, 4);
    EXPECT_TRUE(outcome.finished);
    EXPECT_EQ(outcome.headReported, GetParam().valid);
    EXPECT_EQ(outcome.complete, GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(
    Servers, StatusLine,
    ::testing::Values(StatusLineCase { "ok", "HTTP/1.1 200 OK", true },
                      StatusLineCase { "emptyReason", "HTTP/1.1 200 ", true },
                      StatusLineCase { "withoutReason", "HTTP/1.1 200", true },
                      StatusLineCase { "reasonOfSeveralWords", "HTTP/1.1 404 Not Found", true },
                      StatusLineCase { "minorVersion0", "HTTP/1.0 503 Busy", true },
                      StatusLineCase { "minorVersion9", "HTTP/1.9 200 OK", true },
                      StatusLineCase { "greatestStatus", "HTTP/1.1 599 Own", true },
                      StatusLineCase { "zeros", "HTTP/1.1 000 Trouble", false },
                      StatusLineCase { "belowTheFirstClass", "HTTP/1.1 099 Trouble", false },
                      StatusLineCase { "aboveTheLastClass", "HTTP/1.1 600 Trouble", false },
                      StatusLineCase { "nines", "HTTP/1.1 999 Trouble", false },
                      StatusLineCase { "leadingZero", "HTTP/1.1 0200 OK", false },
                      StatusLineCase { "twoDigits", "HTTP/1.1 20 OK", false },
                      StatusLineCase { "fourDigits", "HTTP/1.1 2000 OK", false },
                      StatusLineCase { "overflow", "HTTP/1.1 4294967496 OK", false },
                      StatusLineCase { "plus", "HTTP/1.1 +200 OK", false },
                      StatusLineCase { "minus", "HTTP/1.1 -200 OK", false },
                      StatusLineCase { "letter", "HTTP/1.1 2x0 OK", false },
                      StatusLineCase { "noStatus", "HTTP/1.1 OK", false },
                      StatusLineCase { "twoSpaces", "HTTP/1.1  200 OK", false },
                      StatusLineCase { "noSpaceBehindStatus", "HTTP/1.1 200OK", false },
                      StatusLineCase { "tab", "HTTP/1.1\t200 OK", false },
                      StatusLineCase { "noSpaceBehindVersion", "HTTP/1.1200 OK", false },
                      StatusLineCase { "majorVersion2", "HTTP/2.0 200 OK", false },
                      StatusLineCase { "lowerCase", "http/1.1 200 OK", false },
                      StatusLineCase { "otherProtocol", "ICY/1.1 200 OK", false },
                      StatusLineCase { "emptyLineFirst", "\r\nHTTP/1.1 200 OK", false }),
    [](const auto &info) { return std::string(info.param.name); });

// ---- responses without a length ----

struct EarlyResponseCase
{
    const char *name;
    ConnectionEnd connectionEnd;
    std::size_t uploadBytes;
    bool complete;
};

class EarlyResponse : public ::testing::TestWithParam<EarlyResponseCase>
{
};

// Guards against a part of a response that is taken for all of it, because the error that ended the
// connection was met while the request was still being written.
TEST_P(EarlyResponse, IsCompleteOnlyIfItsConnectionEndsInOrder)
{
    const TroubledServer server("HTTP/1.1 200 OK\r\n\r\npart of the bo", GetParam().connectionEnd);
    const Outcome outcome = sendRequest(server, GetParam().uploadBytes);
    EXPECT_TRUE(outcome.finished);
    EXPECT_EQ(outcome.complete, GetParam().complete);
}

constexpr std::size_t LongUploadBytes = 32UL * 1024 * 1024; // more than socket buffers hold

INSTANTIATE_TEST_SUITE_P(
    Servers, EarlyResponse,
    ::testing::Values(
        EarlyResponseCase { "shortUploadClosed", ConnectionEnd::Close, 4, true },
        EarlyResponseCase { "longUploadReadAndClosed", ConnectionEnd::Close, LongUploadBytes,
                            true },
        EarlyResponseCase { "longUploadReset", ConnectionEnd::Reset, LongUploadBytes, false },
        EarlyResponseCase { "longUploadClosedUnread", ConnectionEnd::CloseWithUnreadInput,
                            LongUploadBytes, false }),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::http

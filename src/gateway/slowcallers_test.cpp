// Callers that read their responses slowly, but steadily, receive them whole.
#include "testing/gatewayfleet.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace daisyhaven::gateway {
namespace {

constexpr Milliseconds IdleTimeout { 500 };
constexpr Milliseconds GracePeriod { 1200 };
constexpr std::size_t ResponseBytes = 300UL * 1024;
// 160 KB in a second.
constexpr std::size_t PieceBytes = 4096;
constexpr Milliseconds PieceInterval { 25 };
constexpr int ReceiveBufferBytes = 8192;

struct SlowCase
{
    const char *name;
    // The VM is told to stop while the caller reads.
    bool vmStops;
};

const SlowCase SlowCases[] = {
    { "longerThanTheIdleTimeout", false },
    { "beyondTheEndOfTheProcess", true },
};

class SlowCaller : public GatewayFleet, public ::testing::WithParamInterface<SlowCase>
{
protected:
    SlowCaller()
    {
        gracePeriod_ = GracePeriod;
        document_ = "idleTimeoutMs=" + std::to_string(IdleTimeout.count());
    }
    ~SlowCaller() override { close(caller_); }

    void sendSlowly()
    {
        setsockopt(caller_, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(int));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(localAddress(CallersA).port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(connect(caller_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)),
                  0);
        evutil_make_socket_nonblocking(caller_);
        const std::string request = "POST /write/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                    "request-id: request-1\r\nContent-Length: 0\r\n\r\n";
        ASSERT_EQ(::send(caller_, request.data(), request.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(request.size()));
    }

    // Reads what has arrived of one piece. Returns true at the end of the connection.
    bool readPiece()
    {
        std::array<char, PieceBytes> piece {};
        const ssize_t length = ::recv(caller_, piece.data(), piece.size(), 0);
        received_ += length > 0 ? static_cast<std::size_t>(length) : 0;
        const bool nothingYet = length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return length == 0 || (length < 0 && !nothingYet);
    }

    int caller_ = socket(AF_INET, SOCK_STREAM, 0);
    std::size_t received_ = 0;
};

// Guards against responses that are reset on their way, since the VM takes a caller that reads for
// an idle one, or ends before the caller has read all.
TEST_P(SlowCaller, ReceivesTheWholeResponse)
{
    serveRequest_ = [](const http::ApiRequest &, const auto &respond) {
        http::ApiResponse response = makeBackendResponse();
        response.body.assign(ResponseBytes, 'x');
        respond(response);
    };
    startSendingVm(std::vector<peer::Address>(4, localAddress(Backend)), false);
    sendSlowly();
    bool ended = false;
    const TimerHandle reader =
        timers_.runEvery(PieceInterval, [&] { ended = ended || readPiece(); });
    ASSERT_TRUE(runUntil([&] { return received_ > 0; }));
    if (GetParam().vmStops) {
        bool exited = false;
        vm_.gateway->drain([&] { exited = true; });
        ASSERT_TRUE(runUntil([&] { return exited; }));
        ASSERT_LT(received_, ResponseBytes);
        const Vm ended = std::move(vm_);
    }
    EXPECT_TRUE(runUntil([&] { return ended || received_ > ResponseBytes; }));
    EXPECT_GT(received_, ResponseBytes);
}

INSTANTIATE_TEST_SUITE_P(Responses, SlowCaller, ::testing::ValuesIn(SlowCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

#include "http/http.h"
#include "testing/eventloop.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace daisyhaven::http {
namespace {

constexpr std::size_t MaxRequestBytes = 1024;

peer::Address testAddress()
{
    // Below the range from which the kernel takes ports of outgoing connections.
    constexpr int FirstPort = 12100;
    constexpr int PortCount = 1000;
    return { "127.0.0.1", static_cast<std::uint16_t>(FirstPort + ::getpid() % PortCount) };
}

struct DrainCase
{
    const char *name;
    // The caller has sent a whole request; otherwise its connection is idle.
    bool sendsRequest;
    // The handler has responded before.
    bool isAnswered;
    int status;
};

const DrainCase DrainCases[] = {
    { "unanswered", true, false, 504 },
    { "answered", true, true, 200 },
    { "idle", false, false, 0 },
};

class ApiServerDrain : public ::testing::TestWithParam<DrainCase>
{
protected:
    ApiServerDrain() : base_(event_base_new()), timers_(base_.get()) { }

    testing::EventBase base_;
    TimerService timers_;
};

// Guards against calls of operators and servers that end with the process of a control VM without a
// response.
TEST_P(ApiServerDrain, AnswersEachCallAndClosesItsConnection)
{
    const DrainCase &testCase = GetParam();
    int handled = 0;
    std::unique_ptr<ApiServer> server;
    const auto opened = attempt([&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(server,
                          ApiServer::open(base_.get(), timers_, testAddress(), MaxRequestBytes,
                                          [&](const ApiRequest &, const auto &respond) {
                                              ++handled;
                                              if (testCase.isAnswered) {
                                                  respond({ 200, "text/plain", "done", {} });
                                              }
                                          }));
        return true;
    });
    ASSERT_TRUE(std::holds_alternative<bool>(opened));
    int status = 0;
    bool complete = false;
    bool closed = false;
    auto caller = std::make_unique<ClientConnection>(base_.get(), testAddress());
    ClientConnection::Callbacks callbacks;
    bool connected = false;
    callbacks.connected = [&] { connected = true; };
    callbacks.head = [&](const ResponseHead &head) { status = head.status; };
    callbacks.body = [](std::string_view) {};
    callbacks.end = [&](bool) { complete = true; };
    callbacks.closed = [&] { closed = true; };
    callbacks.invalidMessage = [](const Failure &) {};
    caller->setCallbacks(callbacks);
    if (testCase.sendsRequest) {
        Headers headers;
        headers.add("Host", "control");
        caller->sendHead("PUT", "/configuration", headers, Framing::Length, 4);
        caller->sendBody("body");
        caller->endRequest();
    }
    const auto isSetUp = [&] {
        return testCase.sendsRequest ? handled == 1 && complete == testCase.isAnswered : connected;
    };
    ASSERT_TRUE(testing::runUntil(base_.get(), timers_, isSetUp, Seconds(2)));
    bool finished = false;
    server->drain({ 504, "text/plain", "stopping", {} }, [&] { finished = true; });
    const auto isOver = [&] { return closed || (complete && !testCase.isAnswered); };
    ASSERT_TRUE(testing::runUntil(base_.get(), timers_, isOver, Seconds(2)));
    EXPECT_EQ(status, testCase.status);
    caller.reset();
    EXPECT_TRUE(testing::runUntil(
        base_.get(), timers_, [&] { return finished; }, Seconds(2)));
}

INSTANTIATE_TEST_SUITE_P(Calls, ApiServerDrain, ::testing::ValuesIn(DrainCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::http

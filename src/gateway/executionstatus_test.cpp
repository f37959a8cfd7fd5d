// What a response says about whether its request ran. A status that promises "not executed" must be
// true for every way in which a request can end.
#include "testing/gatewayfleet.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace daisyhaven::gateway {
namespace {

// ---- result codes ----

struct ConsistentCodeCase
{
    const char *name;
    ResultCode cause;
    // Expected if the request may have been executed; `cause` is kept if it was not.
    ResultCode mayHaveExecuted;
};

class ConsistentCode : public ::testing::TestWithParam<ConsistentCodeCase>
{
};

TEST_P(ConsistentCode, DeniesNoExecutionThatMayHaveHappened)
{
    EXPECT_EQ(consistentWith(ExecutionStatus::NotExecuted, GetParam().cause), GetParam().cause);
    EXPECT_EQ(consistentWith(ExecutionStatus::MayHaveExecuted, GetParam().cause),
              GetParam().mayHaveExecuted);
}

INSTANTIATE_TEST_SUITE_P(
    Codes, ConsistentCode,
    ::testing::Values(
        ConsistentCodeCase { "rate", ResultCode::RateExceeded, ResultCode::BackendFailed },
        ConsistentCodeCase { "deadline", ResultCode::DeadlineUnreachable,
                             ResultCode::BackendFailed },
        ConsistentCodeCase { "storage", ResultCode::StorageFull, ResultCode::BackendFailed },
        ConsistentCodeCase { "connect", ResultCode::BackendConnectFailed,
                             ResultCode::BackendFailed },
        ConsistentCodeCase { "timeout", ResultCode::BackendTimeout, ResultCode::BackendTimeout },
        ConsistentCodeCase { "tooLarge", ResultCode::BodyTooLarge, ResultCode::BodyTooLarge }),
    [](const auto &info) { return std::string(info.param.name); });

// ---- lost connections ----

// A listening socket that accepts nothing and whose queue is full, so that connections hang.
class SilentListener
{
public:
    explicit SilentListener(const peer::Address &address)
    {
        target_.sin_family = AF_INET;
        target_.sin_port = htons(address.port);
        target_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int on = 1;
        setsockopt(sockets_.front(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        EXPECT_EQ(bind(sockets_.front(), target(), sizeof(target_)), 0);
        EXPECT_EQ(listen(sockets_.front(), 1), 0);
        for (std::size_t i = 1; i < sockets_.size(); ++i) {
            evutil_make_socket_nonblocking(sockets_[i]);
            EXPECT_TRUE(connect(sockets_[i], target(), sizeof(target_)) == 0
                        || errno == EINPROGRESS);
        }
    }
    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;
    ~SilentListener()
    {
        for (const int socket : sockets_) {
            close(socket);
        }
    }

private:
    static int openSocket() { return socket(AF_INET, SOCK_STREAM, 0); }
    const sockaddr *target() const { return reinterpret_cast<const sockaddr *>(&target_); }

    sockaddr_in target_ {};
    // The listening socket and the connections that fill its queue.
    std::array<int, 5> sockets_ { openSocket(), openSocket(), openSocket(), openSocket(),
                                  openSocket() };
};

struct LostConnectionCase
{
    const char *name;
    const char *path;
    bool throughRelay;
};

class LostConnection : public GatewayFleet, public ::testing::WithParamInterface<LostConnectionCase>
{
protected:
    // The first server works; a check of the VM's links asks the others, which are silent.
    static std::vector<peer::Address> serversWithSilentOnes()
    {
        std::vector<peer::Address> servers(4, localAddress(Silent));
        servers.front() = localAddress(Backend);
        return servers;
    }

    // Leaves an idle connection, since a new one would prove that the links work, and lets the VM
    // wait longer before it takes a silent server for a sign that they do not.
    void sendSlowRequest()
    {
        backendResponds_ = false;
        send("/write/0");
        ASSERT_TRUE(runUntil([&] { return runs_ == 1; }));
        runUntil([] { return false; }, Milliseconds(500));
        unanswered_.front()(makeBackendResponse());
        ASSERT_TRUE(runUntil([&] { return response_.complete; }));
    }

    const SilentListener silent_ { localAddress(Silent) };
};

// Guards against a request that a server ran and that is answered "not run", because its deadline
// passes while the VM still checks whether its own links caused the loss of the connection.
TEST_P(LostConnection, ShortlyBeforeTheDeadlineIsNotCalledNotExecuted)
{
    startSendingVm(serversWithSilentOnes(), GetParam().throughRelay);
    sendSlowRequest();
    ASSERT_EQ(response_.head.status, 200);
    runs_ = 0;
    send(GetParam().path, "body", Milliseconds(600));
    ASSERT_TRUE(runUntil([&] { return runs_ == 1; }));
    const TimerHandle loss = timers_.runAfter(Milliseconds(500), [this] { backend_.reset(); });
    ASSERT_TRUE(runUntil([&] { return response_.complete; }));
    EXPECT_EQ(runs_, 1);
    EXPECT_GE(response_.head.status, 500);
    EXPECT_FALSE(promisesNotExecuted(response_.head.status)) << response_.head.status;
    EXPECT_EQ(response_.head.headers.find("retry-after"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(Routes, LostConnection,
                         ::testing::Values(LostConnectionCase { "write", "/write/1", false },
                                           LostConnectionCase { "read", "/read/1", false },
                                           LostConnectionCase { "readOnce", "/read-once/1", false },
                                           LostConnectionCase { "relayed", "/write/1", true }),
                         [](const auto &info) { return std::string(info.param.name); });

// ---- no time left ----

struct NoTimeCase
{
    const char *name;
    const char *path;
    Milliseconds timeLeft;
};

class NoTimeLeft : public GatewayFleet, public ::testing::WithParamInterface<NoTimeCase>
{
};

// Guards against servers that are handed the time of the route because a client's time of 0 was
// taken for none named.
TEST_P(NoTimeLeft, IsRejectedAtOnceAndNotRun)
{
    startSendingVm({ localAddress(Backend) }, false);
    const Instant sentAt = timers_.now();
    send(GetParam().path, "body", GetParam().timeLeft);
    ASSERT_TRUE(runUntil([&] { return response_.complete; }));
    EXPECT_LT(timers_.now() - sentAt, Milliseconds(500));
    EXPECT_EQ(runs_, 0);
    EXPECT_TRUE(promisesNotExecuted(response_.head.status)) << response_.head.status;
}

INSTANTIATE_TEST_SUITE_P(Times, NoTimeLeft,
                         ::testing::Values(NoTimeCase { "zeroRead", "/read/1", Milliseconds(0) },
                                           NoTimeCase { "zeroWrite", "/write/1", Milliseconds(0) },
                                           NoTimeCase { "negative", "/read/1", Milliseconds(-5) }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

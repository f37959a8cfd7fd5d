#include "gateway/internal/serverrestrictions.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace daisyhaven::gateway {
namespace {

const Instant Start { Seconds(1000) };

scheduler::ServerStatement leavingStatement()
{
    return { true, Duration(0), 0 };
}

scheduler::ServerStatement quietStatement(Duration duration)
{
    return { false, duration, 0 };
}

class ServerRestrictionsTest : public ::testing::Test
{
protected:
    ServerRestrictionsTest()
    {
        for (const char *id : { "s1", "s2" }) {
            scheduler::KnownServer server;
            server.info.id = id;
            server.info.service = "orders";
            server.info.startTimeMs = 1;
            servers_[id] = server;
        }
    }

    std::set<std::string> blocked(Instant now) const
    {
        return restrictions_.blockedServers(now, "orders", servers_);
    }

    ServerRestrictions::Servers servers_;
    ServerRestrictions restrictions_;
};

// Guards against requests to a server that has said that it leaves, with or without a leader.
TEST_F(ServerRestrictionsTest, LeavingServerStaysBlocked)
{
    EXPECT_TRUE(restrictions_.record(Start, "s1", 1, leavingStatement()));
    EXPECT_EQ(blocked(Start), std::set<std::string> { "s1" });
    EXPECT_EQ(blocked(Start + Seconds(100)), std::set<std::string> { "s1" });
}

// Guards against requests to a server that has asked for none for some time.
TEST_F(ServerRestrictionsTest, QuietServerIsBlockedUntilItsTimeEnds)
{
    EXPECT_TRUE(restrictions_.record(Start, "s1", 1, quietStatement(Seconds(3))));
    EXPECT_EQ(blocked(Start + Milliseconds(2999)), std::set<std::string> { "s1" });
    EXPECT_TRUE(blocked(Start + Seconds(3)).empty());
}

// Guards against a later response that shortens the time, such as one that was under way.
TEST_F(ServerRestrictionsTest, LaterResponseDoesNotShortenTheTime)
{
    restrictions_.record(Start, "s1", 1, quietStatement(Seconds(3)));
    EXPECT_FALSE(restrictions_.record(Start + Seconds(1), "s1", 1, quietStatement(Seconds(1))));
    restrictions_.record(Start + Seconds(1), "s1", 1, {});
    EXPECT_FALSE(blocked(Start + Milliseconds(2500)).empty());
}

// Guards against statements of an earlier process that exclude the next one at the same id.
TEST_F(ServerRestrictionsTest, RestartedServerIsNotBlocked)
{
    restrictions_.record(Start, "s1", 1, leavingStatement());
    servers_["s1"].info.startTimeMs = 2;
    EXPECT_TRUE(blocked(Start).empty());
}

// Guards against requests that wait although no server takes them in time.
TEST_F(ServerRestrictionsTest, ServiceIsBlockedUntilItsFirstServerIsFree)
{
    restrictions_.record(Start, "s1", 1, quietStatement(Seconds(3)));
    EXPECT_EQ(restrictions_.blockedUntil(Start, "orders", servers_), std::nullopt);
    restrictions_.record(Start, "s2", 1, quietStatement(Seconds(2)));
    EXPECT_EQ(restrictions_.blockedUntil(Start, "orders", servers_), Start + Seconds(2));
    EXPECT_EQ(restrictions_.blockedUntil(Start, "uploads", servers_), std::nullopt);
}

} // namespace
} // namespace daisyhaven::gateway

#include "gateway/internal/serverstatements.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace daisyhaven::gateway {
namespace {

struct StatementCase
{
    const char *name;
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    scheduler::ServerStatement expected;
    std::size_t ignoredCount = 0;
};

class ServerStatements : public ::testing::TestWithParam<StatementCase>
{
};

// Guards against statements of servers that are not read, and against damaged ones that are.
TEST_P(ServerStatements, AreReadFromResponses)
{
    HeaderNames names;
    names.serverLeaving = "x-leaving";
    names.serverLimit = "x-limit";
    http::ResponseHead head;
    head.status = GetParam().status;
    for (const auto &[name, value] : GetParam().headers) {
        head.headers.add(name, value);
    }
    const ParsedStatement parsed = parseStatement(head, names);
    EXPECT_EQ(parsed.statement, GetParam().expected);
    EXPECT_EQ(parsed.ignoredHeaders.size(), GetParam().ignoredCount);
}

scheduler::ServerStatement limited(double requestsPerSecond)
{
    return { false, Duration(0), requestsPerSecond };
}

scheduler::ServerStatement quiet(Duration duration)
{
    return { false, duration, 0 };
}

INSTANTIATE_TEST_SUITE_P(
    Headers, ServerStatements,
    ::testing::Values(
        StatementCase { "none", 200, {}, {} },
        StatementCase { "limit", 200, { { "X-Limit", "5.8" } }, limited(5.8) },
        StatementCase { "limitOfZero", 200, { { "X-Limit", "0" } }, limited(0.01) },
        StatementCase { "hugeLimit", 200, { { "X-Limit", "1000000000000" } }, limited(1e6) },
        StatementCase { "negativeLimit", 200, { { "X-Limit", "-1" } }, {}, 1 },
        StatementCase { "emptyLimit", 200, { { "X-Limit", "" } }, {}, 1 },
        StatementCase { "notANumber", 200, { { "X-Limit", "nan" } }, {}, 1 },
        StatementCase { "infinite", 200, { { "X-Limit", "inf" } }, {}, 1 },
        StatementCase { "trailingText", 200, { { "X-Limit", "5/s" } }, {}, 1 },
        StatementCase { "twice", 200, { { "X-Limit", "5" }, { "X-Limit", "6" } }, {}, 1 },
        StatementCase { "leaving", 500, { { "X-Leaving", "1" } }, { true, Duration(0), 0 } },
        StatementCase { "notLeaving", 200, { { "X-Leaving", "0" } }, {} },
        StatementCase { "quiet", 503, { { "Retry-After", "1.5" } }, quiet(Milliseconds(1500)) },
        StatementCase { "quietForLong", 503, { { "Retry-After", "9999" } }, quiet(Seconds(300)) },
        StatementCase {
            "quietUntilDate", 503, { { "Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT" } }, {}, 1 },
        StatementCase { "retryAfterOfSuccess", 200, { { "Retry-After", "2" } }, {} }),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::gateway

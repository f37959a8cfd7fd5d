// Holds the tables in docs/ to the code.
#include "observe/observe.h"
#include "result/result.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace daisyhaven {
namespace {

std::string readDoc(const std::string &name)
{
    std::ifstream stream(std::string(DAISYHAVEN_DOCS) + "/" + name);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::size_t tableRows(const std::string &content)
{
    std::istringstream lines(content);
    std::string line;
    std::size_t count = 0;
    while (std::getline(lines, line)) {
        const bool row = line.size() > 3 && line[0] == '|' && std::isdigit(line[2]) != 0;
        count += row ? 1 : 0;
    }
    return count;
}

TEST(Docs, ResultCodesAreThoseOfTheCode)
{
    const std::string content = readDoc("RESULT_CODES.md");
    for (const ResultInfo &info : resultTable()) {
        const char *run =
            info.executionStatus == ExecutionStatus::NotExecuted ? "not-run" : "may-have-run";
        const std::string row = "| " + std::to_string(static_cast<int>(info.code)) + " | "
            + info.name + " | " + std::to_string(info.httpStatus) + " | " + run + " | "
            + info.meaning + " |";
        EXPECT_NE(content.find(row), std::string::npos) << row;
        EXPECT_EQ(&resultInfo(info.code), &info);
    }
    EXPECT_EQ(tableRows(content), resultTable().size());
}

TEST(Docs, EventsAreThoseOfTheCode)
{
    const std::string content = readDoc("EVENTS.md");
    for (const EventInfo &info : eventTable()) {
        const std::string row = "| " + std::to_string(static_cast<int>(info.event)) + " | "
            + info.name + " | " + info.level + " | " + info.description + " |";
        EXPECT_NE(content.find(row), std::string::npos) << row;
    }
    EXPECT_EQ(tableRows(content), eventTable().size());
}

struct TraceparentCase
{
    const char *header;
    bool valid;
};

class Traceparent : public ::testing::TestWithParam<TraceparentCase>
{
};

TEST_P(Traceparent, IsReadAsTheStandardSays)
{
    TraceContext context;
    EXPECT_EQ(parseTraceparent(GetParam().header, &context), GetParam().valid);
    if (GetParam().valid) {
        EXPECT_EQ(formatTraceparent(context), GetParam().header);
        EXPECT_EQ(newChildSpan(context).traceId, context.traceId);
        EXPECT_NE(newChildSpan(context).spanId, context.spanId);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Headers, Traceparent,
    ::testing::Values(
        TraceparentCase { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true },
        TraceparentCase { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", true },
        TraceparentCase { "00-00000000000000000000000000000000-b7ad6b7169203331-01", false },
        TraceparentCase { "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
        TraceparentCase { "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
        TraceparentCase { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331", false }));

} // namespace
} // namespace daisyhaven

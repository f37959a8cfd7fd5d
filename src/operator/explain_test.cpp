#include "operator/operator.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace daisyhaven::operations {
namespace {

const char *const EntryLog =
    R"(0.1 edge-1 {"timeMs":1000,"process":"edge-1","name":"LeaderLost","epoch":"3"}
{"timeMs":1500,"process":"edge-1","name":"RequestRetried","request":"r1","server":"i-2"}
this is no log line
{"timeMs":1600,"process":"edge-1","name":"RequestFailed","request":"r1","server":"i-1","detail":"status 500"}
{"timeMs":1700,"process":"edge-1","name":"RequestFailed","request":"r2","server":"i-9"}
)";
const char *const ControlLog =
    R"({"timeMs":900,"process":"core-1","name":"ServerChanged","server":"i-1","address":"10.0.0.1:80"}
{"timeMs":1400,"process":"core-1","name":"ServerSuspected","server":"i-1","failingPercent":"60"}
{"timeMs":1450,"process":"core-1","name":"ServerSuspected","server":"i-7","failingPercent":"60"}
)";

class Explain : public ::testing::Test
{
protected:
    Explain()
    {
        std::ofstream(files_[0]) << EntryLog;
        std::ofstream(files_[1]) << ControlLog;
    }
    ~Explain() override
    {
        for (const std::string &file : files_) {
            std::filesystem::remove(file);
        }
    }

    std::string pathPrefix_ =
        std::filesystem::temp_directory_path().string() + "/explain-" + std::to_string(::getpid());
    std::vector<std::string> files_ { pathPrefix_ + "-entry", pathPrefix_ + "-control" };
};

TEST_F(Explain, PrintsRequestLinesInOrderAfterPrecedingSuspicionAndLeadershipEvents)
{
    std::ostringstream out;
    const auto result = attempt([&] { return explainRequest("r1", files_, out); });
    EXPECT_EQ(std::get<int>(result), 0);
    const std::string text = out.str();
    const std::size_t suspected = text.find("ServerSuspected  failingPercent=60  server=i-1");
    const std::size_t lost = text.find("LeaderLost");
    const std::size_t failed = text.find("RequestFailed");
    ASSERT_NE(suspected, std::string::npos) << text;
    ASSERT_NE(lost, std::string::npos) << text;
    ASSERT_NE(failed, std::string::npos) << text;
    EXPECT_LT(lost, suspected);
    EXPECT_LT(suspected, text.find("RequestRetried"));
    EXPECT_LT(text.find("RequestRetried"), failed);
    EXPECT_EQ(text.find("i-9"), std::string::npos);
    EXPECT_EQ(text.find("i-7"), std::string::npos);
    EXPECT_NE(text.find("1 malformed lines were skipped"), std::string::npos);
}

TEST_F(Explain, UnknownRequestReturnsOneAndPrintsMessage)
{
    std::ostringstream out;
    const auto result = attempt([&] { return explainRequest("r0", files_, out); });
    EXPECT_EQ(std::get<int>(result), 1);
    EXPECT_NE(out.str().find("no log line contains request r0"), std::string::npos);
}

TEST_F(Explain, FindsServerSuspicionByIdOrAddress)
{
    for (const char *name : { "i-1", "10.0.0.1:80" }) {
        std::ostringstream out;
        const auto result = attempt([&] { return explainServer(name, files_, out); });
        EXPECT_EQ(std::get<int>(result), 0);
        EXPECT_NE(out.str().find("ServerSuspected"), std::string::npos) << name;
    }
}

TEST_F(Explain, SumsLostRequestsByCauseAndSortsSecondsByLoss)
{
    std::ofstream(files_[0]) << R"({"timeMs":5000,"process":"edge-1","name":"LeaderLost"}
{"timeMs":6100,"process":"edge-1","name":"RequestLate","request":"r1","sends":"1"}
{"timeMs":7100,"process":"edge-1","name":"RequestRefused","request":"r2","result":"QueueFull","detail":"waiting=17"}
{"timeMs":7900,"process":"edge-1","name":"RequestRefused","request":"r3","result":"QueueFull","detail":"waiting=4"}
{"timeMs":8000,"process":"edge-1","name":"RequestRetried","request":"r4"}
)";
    std::ofstream(files_[1]).flush();
    std::ostringstream out;
    const auto result = attempt([&] { return explainSeconds(files_, out); });
    EXPECT_EQ(std::get<int>(result), 0);
    const std::string text = out.str();
    EXPECT_NE(text.find("  2  RequestRefused QueueFull: waiting=#\n"), std::string::npos) << text;
    EXPECT_NE(text.find("  1  late, sends=1\n"), std::string::npos) << text;
    const std::size_t worst = text.find("second 2 of the logs: 2 lost");
    ASSERT_NE(worst, std::string::npos) << text;
    EXPECT_LT(worst, text.find("second 1 of the logs: 0.5 lost"));
    EXPECT_EQ(text.find("second 3"), std::string::npos);
}

TEST_F(Explain, MissingFileReturnsFailure)
{
    std::ostringstream out;
    const auto result =
        attempt([&] { return explainRequest("r1", { pathPrefix_ + "-none" }, out); });
    EXPECT_TRUE(std::holds_alternative<Failure>(result));
}

} // namespace
} // namespace daisyhaven::operations

// What other writers send to the control API: a call that cannot be read is refused, ends no
// process and hides nothing that others say. One control VM with its replicated log runs in the
// test.
#include "platform/internal/controlapi.h"
#include "platform/internal/documents.h"
#include "testing/eventloop.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <filesystem>

namespace daisyhaven::platform {
namespace {

const std::string NotUtf8 = "\xff\xfe";

peer::Address localAddress(int offset)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(14000 + ::getpid() % 2000 * 2 + offset) };
}

std::string announcementText(const std::string &field = "", const std::string &value = "")
{
    std::string text = "{";
    const auto add = [&](const std::string &name, const std::string &usual) {
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + (name == field ? value : usual);
    };
    add("service", "\"s1\"");
    add("address", "\"127.0.0.1:8080\"");
    add("zone", "\"a\"");
    add("version", "\"v1\"");
    add("slots", "4");
    add("state", "\"ready\"");
    add("coldRemainingMs", "0");
    add("sequence", "1");
    add("born", "1700000000000");
    return text + "}";
}

class ControlVm : public ::testing::Test
{
protected:
    ControlVm()
        : base_(event_base_new()), timers_(base_.get()), server_(base_.get(), credentials()),
          clients_(base_.get(), timers_, credentials()),
          folder_(std::filesystem::temp_directory_path()
                  / ("daisyhaven-controlapi-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder_);
        coordination::ControlOptions options;
        options.vm = "control";
        options.ownAddress = localAddress(0);
        options.dataFolder = folder_;
        options.seeds = { options.ownAddress };
        options.bootstrap = true;
        options.groupSize = 1;
        options.documentParser = &parseConfiguration;
        const auto opened = attempt([&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(control_,
                              coordination::ControlTask::open(timers_, server_, clients_,
                                                              std::move(options),
                                                              [](const Failure &) { FAIL(); }));
            BOOST_LEAF_CHECK(control_->start());
            BOOST_LEAF_CHECK(server_.listen(localAddress(0)));
            return true;
        });
        EXPECT_TRUE(std::holds_alternative<bool>(opened));
        api_ = std::make_unique<ControlApi>(*control_, localAddress(1));
        EXPECT_TRUE(runUntil([&] { return control_->metrics().at("daisyhaven_leads") > 0; }));
    }

    ~ControlVm() override
    {
        control_.reset();
        std::filesystem::remove_all(folder_);
    }

    static peer::Credentials credentials()
    {
        return { peer::Role::Vm, "control", "", "", peer::Protection::None };
    }

    bool runUntil(const std::function<bool()> &done, Duration limit = Seconds(5))
    {
        return testing::runUntil(base_.get(), timers_, done, limit);
    }

    // Returns the status of the response to a call, or 0 if there is none.
    int call(const std::string &method, const std::string &path, const std::string &body = "")
    {
        std::optional<http::ApiResponse> response;
        api_->handle({ method, path, body },
                     [&](http::ApiResponse result) { response = std::move(result); });
        runUntil([&] { return response.has_value(); }, Seconds(2));
        lastBody_ = response ? response->body : "";
        return response ? response->status : 0;
    }

    int announce(const std::string &id, const std::string &body)
    {
        return call("PUT", "/instances/" + id, body);
    }

    testing::EventBase base_;
    TimerService timers_;
    peer::Server server_;
    peer::ClientPool clients_;
    std::filesystem::path folder_;
    std::unique_ptr<coordination::ControlTask> control_;
    std::unique_ptr<ControlApi> api_;
    std::string lastBody_;
};

struct UnreadableCallCase
{
    const char *name;
    const char *method;
    std::string path;
    std::string body;
};

class UnreadableCall : public ControlVm, public ::testing::WithParamInterface<UnreadableCallCase>
{
};

// Guards against control VMs that end because the text of an error quotes bytes that are not UTF-8.
TEST_P(UnreadableCall, IsRefusedAndEndsNoProcess)
{
    const int status = call(GetParam().method, GetParam().path, GetParam().body);
    EXPECT_GE(status, 400);
    EXPECT_LT(status, 500);
    EXPECT_TRUE(nlohmann::json::accept(lastBody_)) << lastBody_;
    EXPECT_EQ(announce("i-1", announcementText()), 200);
    EXPECT_EQ(call("DELETE", "/instances/i-1"), 200);
}

UnreadableCallCase announcementCase(const char *name, const char *field, const std::string &value)
{
    return { name, "PUT", "/instances/i-2", announcementText(field, value) };
}

const std::string Unreadable = "\"" + NotUtf8 + "\"";

INSTANTIATE_TEST_SUITE_P(
    Announcements, UnreadableCall,
    ::testing::Values(announcementCase("service", "service", Unreadable),
                      announcementCase("address", "address", Unreadable),
                      announcementCase("zone", "zone", Unreadable),
                      announcementCase("fieldThatIsNotUsed", "version", Unreadable),
                      announcementCase("state", "state", Unreadable),
                      announcementCase("slots", "slots", Unreadable),
                      announcementCase("truncatedCharacter", "service", "\"\xe2\x82\""),
                      announcementCase("overlongCharacter", "service", "\"\xc0\xaf\""),
                      announcementCase("surrogate", "service", "\"\xed\xa0\x80\""),
                      announcementCase("escapedSurrogate", "service", "\"\\ud800\""),
                      announcementCase("controlCharacter", "service", "\"a\x01\""),
                      announcementCase("tooManySlots", "slots", "4294967297"),
                      announcementCase("numberOutOfRange", "coldRemainingMs", "1e999"),
                      announcementCase("anObject", "slots", "{}"),
                      announcementCase("deepArray", "slots", std::string(100000, '[')),
                      UnreadableCallCase { "noObject", "PUT", "/instances/i-2", "[]" },
                      UnreadableCallCase { "empty", "PUT", "/instances/i-2", "" },
                      UnreadableCallCase { "bytes", "PUT", "/instances/i-2", NotUtf8 },
                      UnreadableCallCase { "keyOfBytes", "PUT", "/instances/i-2",
                                           "{\"" + NotUtf8 + "\":1}" }),
    [](const auto &info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    Configurations, UnreadableCall,
    ::testing::Values(UnreadableCallCase { "bytes", "PUT", "/configuration", NotUtf8 },
                      UnreadableCallCase { "version", "PUT", "/configuration",
                                           "{\"version\":" + Unreadable + "}" },
                      UnreadableCallCase { "routes", "PUT", "/configuration",
                                           "{\"version\":\"00000001\",\"services\":{},\"routes\":"
                                               + Unreadable + "}" },
                      UnreadableCallCase {
                          "kind", "PUT", "/configuration",
                          "{\"version\":\"00000001\",\"services\":{\"columns\":[\"name\"],"
                          "\"rows\":[["
                              + Unreadable + "]]},\"routes\":{}}" },
                      UnreadableCallCase { "otherResource", "PUT", "/" + NotUtf8, "" },
                      UnreadableCallCase { "otherMethod", NotUtf8.c_str(), "/configuration", "" }),
    [](const auto &info) { return std::string(info.param.name); });

// ---- names in paths ----

struct UnreadableNameCase
{
    const char *name;
    std::string bytes;
};

class UnreadableName : public ControlVm, public ::testing::WithParamInterface<UnreadableNameCase>
{
protected:
    UnreadableName()
        : client_(timers_, clients_,
                  { "entry", 1, { localAddress(0) }, std::nullopt, &parseConfiguration }, {})
    {
        client_.start();
    }

    bool isKnownAs(const std::string &id, bool draining) const
    {
        const auto &servers = client_.view().servers;
        const auto server = servers.find(id);
        return server != servers.end() && server->second.info.draining == draining;
    }

    coordination::LeaderClient client_;
};

// Guards against a name that the messages and the log of the fleet cannot hold: every later message
// with the same content was rejected as a whole, so that no VM heard of a server that drains.
TEST_P(UnreadableName, IsRefusedAndHidesNothingOfOthers)
{
    ASSERT_EQ(announce("i-1", announcementText()), 200);
    ASSERT_TRUE(runUntil([&] { return isKnownAs("i-1", false); }));
    const char *const configuration = R"({"version":"00000001","routes":{"columns":[],"rows":[]},)"
                                      R"("services":{"columns":[],"rows":[]}})";
    ASSERT_EQ(call("PUT", "/configuration", configuration), 200);
    const std::string &name = GetParam().bytes;
    EXPECT_EQ(announce("i-" + name, announcementText("address", "\"127.0.0.1:9\"")), 400)
        << lastBody_;
    EXPECT_EQ(call("DELETE", "/instances/i-" + name), 400);
    EXPECT_EQ(call("POST", "/evacuation/" + name), 400);
    EXPECT_EQ(call("DELETE", "/evacuation/" + name), 400);
    std::string draining = announcementText("state", "\"draining\"");
    draining.replace(draining.find("\"sequence\":1"), 12, "\"sequence\":2");
    EXPECT_EQ(announce("i-1", draining), 200);
    EXPECT_TRUE(runUntil([&] { return isKnownAs("i-1", true); }, Seconds(1)));
    // A VM that starts later.
    coordination::LeaderClient late(
        timers_, clients_, { "late", 1, { localAddress(0) }, std::nullopt, &parseConfiguration },
        {});
    late.start();
    EXPECT_TRUE(runUntil([&] { return late.view().servers.count("i-1") == 1; }, Seconds(1)));
    EXPECT_EQ(call("POST", "/evacuation/a"), 200);
    EXPECT_TRUE(
        runUntil([&] { return late.view().zonesOutOfService.count("a") == 1; }, Seconds(1)));
}

INSTANTIATE_TEST_SUITE_P(
    Names, UnreadableName,
    ::testing::Values(UnreadableNameCase { "neverPartOfUtf8", "\xff" },
                      UnreadableNameCase { "continuationAlone", "a\x80z" },
                      UnreadableNameCase { "truncated", "\xe2\x82" },
                      UnreadableNameCase { "overlong", "\xc0\xaf" },
                      UnreadableNameCase { "overlongOfThree", "\xe0\x80\xaf" },
                      UnreadableNameCase { "surrogate", "\xed\xa0\x80" },
                      UnreadableNameCase { "aboveUnicode", "\xf4\x90\x80\x80" },
                      UnreadableNameCase { "fiveBytes", "\xf8\x88\x80\x80\x80" },
                      UnreadableNameCase { "latin1", "caf\xe9" },
                      UnreadableNameCase { "controlCharacter", "a\x01" },
                      UnreadableNameCase { "zero", std::string("a\0b", 3) },
                      UnreadableNameCase { "delete", "\x7f" }),
    [](const auto &info) { return std::string(info.param.name); });

// ---- services that nobody configured ----

struct UnknownServiceCase
{
    const char *name;
    const char *id;
    const char *address;
};

class UnknownService : public ControlVm, public ::testing::WithParamInterface<UnknownServiceCase>
{
};

// Guards against an announcement of a service that no configuration names and that takes the id or
// the address of a server in use: the server was removed, and its own later announcements were
// taken for old ones.
TEST_P(UnknownService, TakesNothingFromAServerInUse)
{
    coordination::LeaderClient client(
        timers_, clients_, { "entry", 1, { localAddress(0) }, std::nullopt, &parseConfiguration },
        {});
    client.start();
    const char *const configuration = R"({"version":"00000001","routes":{"columns":[],"rows":[]},)"
                                      R"("services":{"columns":["name"],"rows":[["s1"]]}})";
    ASSERT_EQ(call("PUT", "/configuration", configuration), 200);
    ASSERT_EQ(announce("i-1", announcementText()), 200);
    ASSERT_TRUE(runUntil([&] { return client.view().servers.count("i-1") == 1; }));
    std::string other = announcementText("service", "\"unknown\"");
    other.replace(other.find("127.0.0.1:8080"), 14, GetParam().address);
    other.replace(other.find("1700000000000"), 13, "1700000000001");
    EXPECT_EQ(announce(GetParam().id, other), 400);
    runUntil([] { return false; }, Milliseconds(300));
    const auto &servers = client.view().servers;
    ASSERT_EQ(servers.count("i-1"), 1U);
    EXPECT_EQ(servers.at("i-1").info.service, "s1");
    // The service may be configured later, and its servers may be known before.
    other.replace(other.find(GetParam().address), 14, "127.0.0.1:8090");
    EXPECT_EQ(announce("i-9", other), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Announcements, UnknownService,
    ::testing::Values(UnknownServiceCase { "sameAddress", "i-2", "127.0.0.1:8080" },
                      UnknownServiceCase { "sameId", "i-1", "127.0.0.1:8081" },
                      UnknownServiceCase { "sameIdAndAddress", "i-1", "127.0.0.1:8080" }),
    [](const auto &info) { return std::string(info.param.name); });

// ---- roll-outs ----

class RolloutOrders : public ControlVm
{
protected:
    RolloutOrders()
    {
        const char *const configuration =
            R"({"version":"00000001","routes":{"columns":[],"rows":[]},)"
            R"("services":{"columns":["name"],"rows":[["s1"]]}})";
        EXPECT_EQ(call("PUT", "/configuration", configuration), 200);
        EXPECT_EQ(announce("i-1", announcementText()), 200);
    }

    int order(const std::string &version, double seconds = 12)
    {
        return call("POST", "/rollouts",
                    R"({"service":"s1","targetVersion":")" + version + R"(","durationS":)"
                        + std::to_string(seconds) + "}");
    }

    std::string state()
    {
        EXPECT_EQ(call("GET", "/rollouts/s1"), 200);
        return nlohmann::json::parse(lastBody_).at("state");
    }
};

TEST_F(RolloutOrders, AreConfirmedAndShown)
{
    EXPECT_EQ(call("GET", "/rollouts/s1"), 404);
    EXPECT_EQ(order("v2"), 200);
    EXPECT_EQ(state(), "running");
    EXPECT_EQ(nlohmann::json::parse(lastBody_).at("targetVersion"), "v2");
    EXPECT_EQ(order("v2"), 200);
    EXPECT_EQ(order("v3"), 409);
    EXPECT_EQ(call("GET", "/rollouts/unknown"), 404);
}

// No server of the target version comes.
TEST_F(RolloutOrders, AreRolledBackInTimeWithoutServers)
{
    EXPECT_EQ(order("v2", 1), 200);
    EXPECT_TRUE(runUntil([&] { return state() == "rolled_back"; }, Seconds(2)));
    EXPECT_EQ(order("v3"), 200);
    EXPECT_EQ(state(), "running");
}

struct InvalidOrderCase
{
    const char *name;
    const char *body;
};

class InvalidOrder : public RolloutOrders, public ::testing::WithParamInterface<InvalidOrderCase>
{
};

TEST_P(InvalidOrder, IsRefused)
{
    EXPECT_EQ(call("POST", "/rollouts", GetParam().body), 400);
    EXPECT_TRUE(nlohmann::json::accept(lastBody_)) << lastBody_;
    EXPECT_EQ(call("GET", "/rollouts/s1"), 404);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, InvalidOrder,
    ::testing::Values(
        InvalidOrderCase { "empty", "" }, InvalidOrderCase { "noObject", "[]" },
        InvalidOrderCase { "noVersion", R"({"service":"s1","durationS":12})" },
        InvalidOrderCase { "noDuration", R"({"service":"s1","targetVersion":"v2"})" },
        InvalidOrderCase { "noService", R"({"targetVersion":"v2","durationS":12})" },
        InvalidOrderCase { "unknownService",
                           R"({"service":"s9","targetVersion":"v2","durationS":12})" },
        InvalidOrderCase { "emptyVersion",
                           R"({"service":"s1","targetVersion":"","durationS":12})" },
        InvalidOrderCase { "noTime", R"({"service":"s1","targetVersion":"v2","durationS":0})" },
        InvalidOrderCase { "timeAsText",
                           R"({"service":"s1","targetVersion":"v2","durationS":"12"})" },
        InvalidOrderCase { "bytes", "{\"service\":\"\xff\"}" }),
    [](const auto &info) { return std::string(info.param.name); });

class ReadableName : public ControlVm, public ::testing::WithParamInterface<UnreadableNameCase>
{
};

TEST_P(ReadableName, IsAccepted)
{
    EXPECT_EQ(announce(GetParam().bytes, announcementText()), 200);
    EXPECT_EQ(call("DELETE", "/instances/" + GetParam().bytes), 200);
    EXPECT_EQ(call("POST", "/evacuation/" + GetParam().bytes), 200);
}

INSTANTIATE_TEST_SUITE_P(Names, ReadableName,
                         ::testing::Values(UnreadableNameCase { "ascii", "i-7f3a91c2" },
                                           UnreadableNameCase { "twoBytes", "caf\xc3\xa9" },
                                           UnreadableNameCase { "threeBytes", "\xe2\x82\xac" },
                                           UnreadableNameCase { "lastOfUnicode",
                                                                "\xf4\x8f\xbf\xbf" }),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::platform

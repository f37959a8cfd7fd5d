#include "configuration/configuration.h"

#include "peer/generated/peer.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace daisyhaven::configuration {
namespace {

const std::string Service = R"(
[service]
name = "order-desk"
[[route]]
method = "GET"
path = "/status/"
repeatable = true
deadline_ms = 1000
)";

struct BadDeclaration
{
    const char *name;
    std::string content;
    std::string expected; // expected part of the error message, with line and field
};

class BadDeclarations : public ::testing::TestWithParam<BadDeclaration>
{
};

TEST_P(BadDeclarations, ErrorNamesLineAndField)
{
    const auto parsed = attempt([] { return parseDeclaration(GetParam().content, "f.toml"); });
    const auto *failure = std::get_if<Failure>(&parsed);
    ASSERT_NE(failure, nullptr) << GetParam().name;
    EXPECT_EQ(failure->code, ResultCode::DeclarationInvalid);
    EXPECT_NE(failure->detail.find(GetParam().expected), std::string::npos) << failure->detail;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadDeclarations,
    ::testing::Values(BadDeclaration { "not TOML", "[service\n", "f.toml:1: not TOML" },
                      BadDeclaration { "misspelt", Service + "deadlin_ms = 3\n",
                                       "f.toml:9: route[0].deadlin_ms: unknown field; did you mean "
                                       "\"deadline_ms\"?" },
                      BadDeclaration { "misspelt value", Service + "priority = \"critcal\"\n",
                                       "did you mean \"critical\"?" },
                      BadDeclaration { "contradiction", Service + "body_limit_bytes = 9\n",
                                       "route[0].body_limit_bytes: contradicts method GET" },
                      BadDeclaration { "a burst too small",
                                       "[[team]]\nname = \"t\"\nrate = 100\nburst = 2\n",
                                       "f.toml:4: team[0].burst: must be at least" },
                      BadDeclaration { "missing", "[[team]]\nname = \"t\"\nburst = 2\n",
                                       "team[0].rate: is missing" },
                      BadDeclaration { "wrong type", "[[team]]\nname = 3\nrate = 1\nburst = 2\n",
                                       "f.toml:2: team[0].name: must be a string" },
                      BadDeclaration { "routes alone",
                                       "[[route]]\nmethod = \"GET\"\npath = \"/\"\n"
                                       "repeatable = true\ndeadline_ms = 1\n",
                                       "needs a [service]" }));

Configuration makePublishedConfiguration()
{
    Configuration configuration;
    const auto parsed = attempt([] { return parseDeclaration(Service, "f.toml"); });
    Declarations declarations = std::get<Declarations>(parsed);
    declarations.teams.push_back({ "collectors", 10, 20, 1 });
    configuration.applyChange(computePublication(configuration, declarations));
    return configuration;
}

TEST(Configuration, RoutesMatchByMethodAndPathPrefix)
{
    Configuration configuration = makePublishedConfiguration();
    EXPECT_TRUE(configuration.findRoute("GET", "/status/tile-7/details"));
    EXPECT_FALSE(configuration.findRoute("POST", "/status/tile-7"));
    EXPECT_FALSE(configuration.findRoute("GET", "/statusx"));
    EXPECT_FALSE(configuration.findRoute("GET", "/"));
}

TEST(Configuration, RouteOfAnotherServiceIsRejected)
{
    Configuration configuration = makePublishedConfiguration();
    Publication conflicting;
    daisyhaven::configuration::Service other;
    other.name = "photo-archive";
    other.routes.push_back({ "GET", "/status/", true, false, Priority::Normal, 10, 0 });
    conflicting.upsertedServices.push_back(other);
    const auto valid = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(configuration.validate(conflicting));
        return true;
    });
    ASSERT_TRUE(std::holds_alternative<Failure>(valid));
    EXPECT_EQ(std::get<Failure>(valid).code, ResultCode::RouteConflict);
}

TEST(Keys, SameOperationDerivesSameKey)
{
    const DerivedKey first = deriveKey("secret", "op1", "collectors");
    EXPECT_EQ(first.key, deriveKey("secret", "op1", "collectors").key);
    EXPECT_NE(first.key, deriveKey("secret", "op2", "collectors").key);
    EXPECT_NE(first.key, deriveKey("other", "op1", "collectors").key);
    EXPECT_EQ(first.grant.keyHash, hashKey(first.key));
}

TEST(Keys, RevokedKeyIsNotFound)
{
    Configuration configuration = makePublishedConfiguration();
    const DerivedKey derivedKey = deriveKey("secret", "op1", "collectors");
    configuration.applyChange(derivedKey.grant);
    ASSERT_TRUE(configuration.findKeyByHash(derivedKey.grant.keyHash));
    configuration.applyChange(KeyRevocation { derivedKey.grant.keyId });
    EXPECT_FALSE(configuration.findKeyByHash(derivedKey.grant.keyHash));
}

// Updates that arrive in any order, repeatedly or not at all never decrease the version of a store,
// and the store converges to the configuration of the sender.
TEST(ConfigurationStoreFuzz, VersionNeverDecreasesAndStoresConverge)
{
    const bool passed = rc::check([] {
        ConfigurationStore leader;
        ConfigurationStore follower;
        std::vector<wire::ConfigurationUpdate> updates;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int step : steps) {
            const std::string zone = "z" + std::to_string(step % 5);
            leader.appendChange({ "", "", 0, AvailabilityZoneState { zone, step % 2 == 0 } });
            updates.push_back(
                leader.updateSince(static_cast<std::uint64_t>(step) % (leader.version() + 1)));
            const auto &update = updates[static_cast<std::size_t>(step) % updates.size()];
            const std::uint64_t before = follower.version();
            const auto applied = attempt([&]() -> Result<bool> {
                BOOST_LEAF_CHECK(follower.applyUpdate(update));
                return true;
            });
            static_cast<void>(applied);
            RC_ASSERT(follower.version() >= before);
        }
        const auto last = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(follower.applyUpdate(leader.updateSince(follower.version())));
            return true;
        });
        RC_ASSERT(std::holds_alternative<bool>(last));
        RC_ASSERT(toSnapshot(follower.current()).SerializeAsString()
                  == toSnapshot(leader.current()).SerializeAsString());
    });
    EXPECT_TRUE(passed);
}

} // namespace
} // namespace daisyhaven::configuration

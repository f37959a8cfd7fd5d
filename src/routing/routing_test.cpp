#include "routing/routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace daisyhaven::routing {
namespace {

RoutingTableSpec validSpec()
{
    RoutingTableSpec spec;
    spec.services = { { "orders", "/health", 100, Seconds(3), 9 },
                      { "photos", "/health", 100, Seconds(3), 9 } };
    Route status;
    status.name = "status";
    status.host = "shop.example";
    status.pathPrefix = "/";
    status.kind = RouteKind::Idempotent;
    status.services = { { "orders", 1 } };
    Route order = status;
    order.name = "order";
    order.pathPrefix = "/orders/";
    Route special = status;
    special.name = "special";
    special.pathPrefix = "/orders/special/";
    spec.routes = { status, order, special };
    spec.teams = { { "carvers", { "key-1", "key-2" }, 1, 50, 50 },
                   { "shops", { "key-3" }, std::nullopt, 0, 0 } };
    return spec;
}

RoutingTable makeValidTable()
{
    return std::get<RoutingTable>(attempt([] { return RoutingTable::create(validSpec()); }));
}

struct RouteMatchCase
{
    const char *host;
    const char *path;
    const char *route; // empty: none
};

class RouteMatchTest : public ::testing::TestWithParam<RouteMatchCase>
{
};

TEST_P(RouteMatchTest, ReturnsLongestPrefixOfHost)
{
    const RoutingTable table = makeValidTable();
    const Route *route = table.findRoute(GetParam().host, GetParam().path);
    EXPECT_EQ(route == nullptr ? "" : route->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    Routes, RouteMatchTest,
    ::testing::Values(RouteMatchCase { "shop.example", "/", "status" },
                      RouteMatchCase { "SHOP.example:8080", "/x", "status" },
                      RouteMatchCase { "shop.example", "/orders", "status" },
                      RouteMatchCase { "shop.example", "/orders/", "order" },
                      RouteMatchCase { "shop.example", "/orders/7", "order" },
                      RouteMatchCase { "shop.example", "/orders/special/1", "special" },
                      RouteMatchCase { "shop.example", "/ordersx/1", "status" },
                      RouteMatchCase { "other.example", "/", "" }, RouteMatchCase { "", "/", "" }));

struct InvalidTableCase
{
    const char *name;
    std::function<void(RoutingTableSpec &)> invalidate;
};

class InvalidTableTest : public ::testing::TestWithParam<InvalidTableCase>
{
};

TEST_P(InvalidTableTest, IsRejected)
{
    RoutingTableSpec spec = validSpec();
    GetParam().invalidate(spec);
    const auto made = attempt([&] { return RoutingTable::create(std::move(spec)); });
    EXPECT_TRUE(std::holds_alternative<Failure>(made)) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    InvalidTables, InvalidTableTest,
    ::testing::Values(
        InvalidTableCase { "unknown service",
                           [](RoutingTableSpec &p) {
                               p.routes[0].services = { { "x", 1 } };
                           } },
        InvalidTableCase { "duplicate host and prefix",
                           [](RoutingTableSpec &p) { p.routes[1].pathPrefix = "/"; } },
        InvalidTableCase { "timeout not positive",
                           [](RoutingTableSpec &p) { p.routes[0].timeout = Milliseconds(0); } },
        InvalidTableCase { "empty host", [](RoutingTableSpec &p) { p.routes[0].host = ""; } },
        InvalidTableCase { "shared key",
                           [](RoutingTableSpec &p) { p.teams[1].keys = { "key-2" }; } },
        InvalidTableCase { "zero weight",
                           [](RoutingTableSpec &p) {
                               p.routes[0].services = { { "orders", 0 } };
                           } },
        InvalidTableCase { "negative weight",
                           [](RoutingTableSpec &p) {
                               p.routes[0].services = { { "orders", 3 }, { "photos", -1 } };
                           } },
        InvalidTableCase { "prefix without slash",
                           [](RoutingTableSpec &p) { p.routes[0].pathPrefix = "/orders"; } },
        InvalidTableCase { "duplicate team name",
                           [](RoutingTableSpec &p) { p.teams[1].name = "carvers"; } }),
    [](const auto &info) {
        std::string name = info.param.name;
        std::replace(name.begin(), name.end(), ' ', '_');
        return name;
    });

TEST(TeamTest, IsFoundByEachOfItsKeys)
{
    const RoutingTable table = makeValidTable();
    EXPECT_EQ(table.findTeamByKey("key-2")->name, "carvers");
    EXPECT_EQ(table.findTeamByKey("key-3")->name, "shops");
    EXPECT_EQ(table.findTeamByKey("key-4"), nullptr);
}

// Guards against a skewed split when many VMs handle only a few requests each: if every VM started
// with the same service, the total would not follow the weights.
TEST(WeightedServiceTest, WeightsHoldAcrossManyVmsWithFewRequestsEach)
{
    Route route;
    route.name = "split";
    route.services = { { "orders", 90 }, { "photos", 10 } };
    constexpr int Vms = 40;
    constexpr int RequestsEach = 12;
    int photos = 0;
    for (int vm = 0; vm < Vms; ++vm) {
        WeightedServicePicker picker(static_cast<std::uint64_t>(vm) * 7919 + 1);
        for (int i = 0; i < RequestsEach; ++i) {
            photos += picker.pick(route) == "photos" ? 1 : 0;
        }
    }
    EXPECT_NEAR(photos / double(Vms * RequestsEach), 0.1, 0.03);
}

TEST(WeightedServiceTest, ServiceWithZeroWeightIsNeverPicked)
{
    Route route;
    route.name = "split";
    route.services = { { "orders", 0 }, { "photos", 1 } };
    WeightedServicePicker picker(3);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(picker.pick(route), "photos");
    }
}

} // namespace
} // namespace daisyhaven::routing

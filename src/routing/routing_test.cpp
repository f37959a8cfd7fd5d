#include "routing/routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace daisyhaven::routing {
namespace {

TableParts goodParts()
{
    TableParts parts;
    parts.services = { { "orders", "/health", 100, Seconds(3), 9 },
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
    parts.routes = { status, order, special };
    parts.teams = { { "carvers", { "key-1", "key-2" }, 1, 50, 50 },
                    { "shops", { "key-3" }, std::nullopt, 0, 0 } };
    return parts;
}

RoutingTable goodTable()
{
    return std::get<RoutingTable>(attempt([] { return RoutingTable::make(goodParts()); }));
}

struct MatchCase
{
    const char *host;
    const char *path;
    const char *route; // empty: none
};

class Matches : public ::testing::TestWithParam<MatchCase>
{
};

TEST_P(Matches, TheLongestPrefixOfTheHost)
{
    const RoutingTable table = goodTable();
    const Route *route = table.findRoute(GetParam().host, GetParam().path);
    EXPECT_EQ(route == nullptr ? "" : route->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    Routes, Matches,
    ::testing::Values(MatchCase { "shop.example", "/", "status" },
                      MatchCase { "SHOP.example:8080", "/x", "status" },
                      MatchCase { "shop.example", "/orders", "status" },
                      MatchCase { "shop.example", "/orders/", "order" },
                      MatchCase { "shop.example", "/orders/7", "order" },
                      MatchCase { "shop.example", "/orders/special/1", "special" },
                      MatchCase { "shop.example", "/ordersx/1", "status" },
                      MatchCase { "other.example", "/", "" }, MatchCase { "", "/", "" }));

struct InvalidCase
{
    const char *name;
    std::function<void(TableParts &)> spoil;
};

class Invalid : public ::testing::TestWithParam<InvalidCase>
{
};

TEST_P(Invalid, IsRefused)
{
    TableParts parts = goodParts();
    GetParam().spoil(parts);
    const auto made = attempt([&] { return RoutingTable::make(std::move(parts)); });
    EXPECT_TRUE(std::holds_alternative<Failure>(made)) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Tables, Invalid,
    ::testing::Values(
        InvalidCase { "unknown service",
                      [](TableParts &p) {
                          p.routes[0].services = { { "x", 1 } };
                      } },
        InvalidCase { "same place", [](TableParts &p) { p.routes[1].pathPrefix = "/"; } },
        InvalidCase { "no time", [](TableParts &p) { p.routes[0].timeout = Milliseconds(0); } },
        InvalidCase { "no host", [](TableParts &p) { p.routes[0].host = ""; } },
        InvalidCase { "shared key", [](TableParts &p) { p.teams[1].keys = { "key-2" }; } },
        InvalidCase { "no weight",
                      [](TableParts &p) {
                          p.routes[0].services = { { "orders", 0 } };
                      } },
        InvalidCase { "negative weight",
                      [](TableParts &p) {
                          p.routes[0].services = { { "orders", 3 }, { "photos", -1 } };
                      } },
        InvalidCase { "prefix without slash",
                      [](TableParts &p) { p.routes[0].pathPrefix = "/orders"; } },
        InvalidCase { "team twice", [](TableParts &p) { p.teams[1].name = "carvers"; } }),
    [](const auto &info) {
        std::string name = info.param.name;
        std::replace(name.begin(), name.end(), ' ', '_');
        return name;
    });

TEST(Teams, AreFoundByEachOfTheirKeys)
{
    const RoutingTable table = goodTable();
    EXPECT_EQ(table.findTeamByKey("key-2")->name, "carvers");
    EXPECT_EQ(table.findTeamByKey("key-3")->name, "shops");
    EXPECT_EQ(table.findTeamByKey("key-4"), nullptr);
}

// Many VMs with few requests each: together they must keep to the weights.
TEST(Shares, HoldOverManyVmsWithFewRequestsEach)
{
    Route route;
    route.name = "split";
    route.services = { { "orders", 90 }, { "photos", 10 } };
    constexpr int Vms = 40;
    constexpr int RequestsEach = 12;
    int photos = 0;
    for (int vm = 0; vm < Vms; ++vm) {
        ShareChooser chooser(static_cast<std::uint64_t>(vm) * 7919 + 1);
        for (int i = 0; i < RequestsEach; ++i) {
            photos += chooser.choose(route) == "photos" ? 1 : 0;
        }
    }
    EXPECT_NEAR(photos / double(Vms * RequestsEach), 0.1, 0.03);
}

TEST(Shares, NeverChooseAServiceWithoutWeight)
{
    Route route;
    route.name = "split";
    route.services = { { "orders", 0 }, { "photos", 1 } };
    ShareChooser chooser(3);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(chooser.choose(route), "photos");
    }
}

} // namespace
} // namespace daisyhaven::routing

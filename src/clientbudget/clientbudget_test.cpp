// Who is closed when clients outside the limits take the memory or the connections of a VM.
#include "clientbudget/clientbudget.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace daisyhaven {
namespace {

constexpr std::size_t HeldLimit = 1'000'000;
constexpr std::size_t Large = 600'000;
constexpr std::size_t Small = 100'000;
const Instant Start { Seconds(1000) };
const Instant Later = Start + Seconds(5);

struct Client
{
    const char *name;
    std::size_t heldBytes;
    Activity activity;
    bool moves;
};

struct MemoryCase
{
    const char *name;
    std::vector<Client> clients;
    std::vector<std::string> closed;
};

class MemoryShort : public ::testing::TestWithParam<MemoryCase>
{
};

// Load: bodies that stop short of their end together hold more than the memory of the VM.
TEST_P(MemoryShort, ClosesWhoHoldsMostAndMovesLeast)
{
    ClientBudget budget({ HeldLimit, 100 });
    std::vector<std::string> closed;
    for (const Client &client : GetParam().clients) {
        const auto id = budget.add(ClientGroup::Callers, Start,
                                   [&, client](CloseCause) { closed.emplace_back(client.name); });
        const Instant at = client.moves ? Later : Start;
        budget.update(id, { client.heldBytes, client.activity, 1 }, at);
    }
    const auto last = budget.add(ClientGroup::Callers, Later, [](CloseCause) {});
    budget.update(last, { 0, Activity::Idle, 0 }, Later);
    EXPECT_EQ(closed, GetParam().closed);
    EXPECT_LE(budget.heldBytes(), HeldLimit);
}

const std::vector<MemoryCase> MemoryCases {
    { "withinTheBudget", { { "a", Large, Activity::Receiving, false } }, {} },
    { "largestOfTheStalled",
      { { "small", Small, Activity::Receiving, false },
        { "large", Large, Activity::Receiving, false },
        { "other", Large - 1, Activity::Receiving, false } },
      { "large" } },
    { "stalledBeforeMoving",
      { { "stalled", Small, Activity::Receiving, false },
        { "moving", Large, Activity::Receiving, true },
        { "alsoMoving", HeldLimit - Large - 60'000, Activity::Receiving, true } },
      { "stalled" } },
    { "unreadResponseBeforeRunningRequest",
      { { "running", Large, Activity::Processing, false },
        { "unread", Large / 2, Activity::Sending, false },
        { "next", Small, Activity::Processing, false } },
      { "unread" } },
    { "runningRequestsLast",
      { { "first", Large, Activity::Processing, false },
        { "second", Large, Activity::Processing, false } },
      { "first" } },
};

INSTANTIATE_TEST_SUITE_P(Crowds, MemoryShort, ::testing::ValuesIn(MemoryCases),
                         [](const auto &info) { return std::string(info.param.name); });

struct ProgressCase
{
    const char *name;
    Activity activity;
    std::size_t bytesPerSecond;
    bool closed;
};

class LeastProgress : public ::testing::TestWithParam<ProgressCase>
{
};

// Load: a crowd that sends or reads very slowly, or stops half-way.
TEST_P(LeastProgress, IsAskedOfClientsThatAreAwaited)
{
    ClientBudget budget({ HeldLimit, 100 });
    bool closed = false;
    const auto id = budget.add(ClientGroup::Callers, Start, [&](CloseCause) { closed = true; });
    for (int second = 0; second <= 25; ++second) {
        const Instant now = Start + Seconds(second);
        budget.update(id, { Small, GetParam().activity, GetParam().bytesPerSecond }, now);
        budget.sweep(now);
    }
    EXPECT_EQ(closed, GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(
    Crowds, LeastProgress,
    ::testing::Values(ProgressCase { "stoppedSender", Activity::Receiving, 0, true },
                      ProgressCase { "slowSender", Activity::Receiving, 3, true },
                      ProgressCase { "ordinarySender", Activity::Receiving, 1000, false },
                      ProgressCase { "stoppedReader", Activity::Sending, 0, true },
                      ProgressCase { "ordinaryReader", Activity::Sending, 1000, false },
                      ProgressCase { "runningRequest", Activity::Processing, 0, false },
                      ProgressCase { "idle", Activity::Idle, 0, false }),
    [](const auto &info) { return std::string(info.param.name); });

// Failure: the VM is suspended and reads nothing itself.
TEST(LeastProgressAfterASuspension, CountsAnew)
{
    ClientBudget budget({ HeldLimit, 100 });
    bool closed = false;
    const auto id = budget.add(ClientGroup::Callers, Start, [&](CloseCause) { closed = true; });
    budget.update(id, { Small, Activity::Receiving, 0 }, Start);
    budget.sweep(Start);
    budget.sweep(Start + Seconds(30));
    EXPECT_FALSE(closed);
}

// Load: more connections than descriptors.
TEST(ConnectionsShort, ClosesUnusedOnesAndPausesForBusyOnes)
{
    ClientBudget budget({ 1UL << 30, 100 });
    const std::size_t most = budget.maxConnections(ClientGroup::Callers);
    std::vector<ClientBudget::Id> closed;
    std::vector<ClientBudget::Id> ids;
    for (std::size_t i = 0; i < most; ++i) {
        EXPECT_TRUE(budget.makeRoom(ClientGroup::Callers, Start));
        ids.push_back(budget.add(ClientGroup::Callers, Start,
                                 [&, i](CloseCause) { closed.push_back(ids[i]); }));
        budget.update(ids.back(), { 0, i == 1 ? Activity::Idle : Activity::Processing, 1 }, Start);
    }
    bool hasRoom = false;
    budget.onRoom(ClientGroup::Callers, [&] { hasRoom = true; });
    EXPECT_FALSE(budget.makeRoom(ClientGroup::Callers, Later));
    EXPECT_TRUE(budget.makeRoom(ClientGroup::Readiness, Later));
    EXPECT_EQ(closed, std::vector<ClientBudget::Id> { ids[1] });
    EXPECT_FALSE(hasRoom);
    budget.remove(ids[1]);
    EXPECT_TRUE(hasRoom);
    EXPECT_TRUE(budget.makeRoom(ClientGroup::Callers, Later));
}

} // namespace
} // namespace daisyhaven

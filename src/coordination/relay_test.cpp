// Decisions behind relays: which VMs the leader names as relays, and in which order a VM without a
// leader tries them. Pattern: most entry VMs are partitioned from the control group at once.
#include "coordination/internal/relaylist.h"
#include "coordination/internal/vmregistry.h"

#include <gtest/gtest.h>

#include <set>

namespace daisyhaven::coordination {
namespace {

const Instant Start { Seconds(1000) };

std::string addressOf(int vm)
{
    return "10.0.0.1:" + std::to_string(10000 + vm);
}

VmContact contactOf(int vm, bool relayed = false)
{
    return { "vm-" + std::to_string(vm), addressOf(vm), relayed };
}

struct PartitionCase
{
    const char *name;
    int vms = 0;
    // Share of the VMs that lose the control group after the relays were named.
    double partitionedShare = 0;
    // Share of these VMs for which none of the named relays works.
    double maxShareWithoutRelay = 0;
};

class PartitionedVms : public ::testing::TestWithParam<PartitionCase>
{
};

TEST_P(PartitionedVms, KnowAWorkingRelayInAdvance)
{
    const PartitionCase &partition = GetParam();
    VmRegistry registry;
    for (int vm = 0; vm < partition.vms; ++vm) {
        registry.recordContact(Start, contactOf(vm));
    }
    std::mt19937_64 random(7);
    const int partitioned = static_cast<int>(partition.vms * partition.partitionedShare);
    int withoutRelay = 0;
    for (int vm = 0; vm < partitioned; ++vm) {
        const auto relays = registry.pickRelays(Start, contactOf(vm).vm, random);
        const bool works = std::any_of(relays.begin(), relays.end(), [&](const auto &relay) {
            return relay >= addressOf(partitioned);
        });
        withoutRelay += works ? 0 : 1;
    }
    EXPECT_LE(withoutRelay, partition.maxShareWithoutRelay * partitioned);
}

INSTANTIATE_TEST_SUITE_P(Fleets, PartitionedVms,
                         ::testing::Values(PartitionCase { "oneInFiveOfDozens", 40, 0.2, 0 },
                                           PartitionCase { "halfOfHundreds", 440, 0.5, 0 },
                                           PartitionCase { "nineInTenOfHundreds", 440, 0.9, 0.05 }),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(VmRegistry, NamesOnlyVmsThatReachTheLeaderDirectly)
{
    VmRegistry registry;
    registry.recordContact(Start, contactOf(1));
    registry.recordContact(Start, contactOf(2));
    registry.recordContact(Start, contactOf(3, true));
    registry.recordContact(Start, { "vm-4", "", false });
    const Instant later = Start + Seconds(2);
    registry.recordContact(later, contactOf(2, true));
    registry.recordContact(later, contactOf(5));
    std::mt19937_64 random(7);
    EXPECT_EQ(registry.pickRelays(later, "vm-9", random),
              std::vector<std::string> { addressOf(5) });
    EXPECT_TRUE(registry.pickRelays(later, "vm-5", random).empty());
}

TEST(VmRegistry, VmBehindARelayCountsAsReachable)
{
    VmRegistry registry;
    registry.recordContact(Start, contactOf(1));
    registry.recordContact(Start, contactOf(2));
    const Instant later = Start + Seconds(2);
    registry.recordContact(later, contactOf(1, true));
    EXPECT_EQ(registry.unreachableShare(later), 0.5);
    EXPECT_EQ(registry.recentCount(later), 2U);
    std::vector<std::string> removed;
    registry.removeExpired(Start + Seconds(13),
                           [&](const std::string &vm) { removed.push_back(vm); });
    EXPECT_EQ(removed, std::vector<std::string> { "vm-2" });
    EXPECT_EQ(registry.size(), 1U);
}

TEST(RelayList, TriesEveryRelayAndTheReferredOneFirst)
{
    RelayList list;
    EXPECT_TRUE(list.isOutdated(Start));
    list.replace(Start, { { "a", 1 }, { "b", 1 }, { "c", 1 } });
    EXPECT_FALSE(list.isOutdated(Start + Seconds(1)));
    EXPECT_TRUE(list.isOutdated(Start + Seconds(20)));
    std::set<peer::Address> tried;
    for (int i = 0; i < 2; ++i) {
        for (const peer::Address &relay : list.takeNext(2)) {
            tried.insert(relay);
        }
    }
    EXPECT_EQ(tried.size(), 3U);
    list.tryNext({ "d", 1 });
    EXPECT_EQ(list.takeNext(1).front().host, "d");
    EXPECT_EQ(list.takeNext(9).size(), 4U);
}

} // namespace
} // namespace daisyhaven::coordination

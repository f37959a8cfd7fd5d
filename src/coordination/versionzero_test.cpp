// Configurations whose version is 0, which operators may choose for the first one. Guards against a
// first configuration that is acknowledged and lost because 0 stood for "none is stored".
#include "coordination/internal/documentdownload.h"
#include "coordination/internal/documenthistory.h"
#include "coordination/internal/durablestate.h"
#include "testing/controlgroup.h"

#include <gtest/gtest.h>

namespace daisyhaven::coordination {
namespace {

using testing::readEmptyTable;

struct FirstVersionCase
{
    const char *name;
    std::uint64_t version = 0;
};

class EntryVmTest : public testing::ControlTaskTest
{
protected:
    LeaderClientOptions entryVm(const std::string &vm) const
    {
        return {
            vm, 1, { addressOf(0), addressOf(1), addressOf(2) }, std::nullopt, &readEmptyTable
        };
    }

    bool hasTable(const LeaderClient &client)
    {
        return runUntil([&] { return client.view().routingTable != nullptr; }, Seconds(3));
    }
};

class FirstVersion : public EntryVmTest, public ::testing::WithParamInterface<FirstVersionCase>
{
};

TEST_P(FirstVersion, IsReadBackAlsoAfterRestarts)
{
    startAll();
    ASSERT_TRUE(put(GetParam().version, "first"));
    EXPECT_EQ(read(), "first");
    for (auto &replica : replicas_) {
        replica.reset();
    }
    for (int i = 0; i < Replicas; ++i) {
        startReplica(i, false);
    }
    EXPECT_EQ(read(), "first");
}

TEST_P(FirstVersion, IsKeptWhenItIsSentAgainAndGivesWayToTheNext)
{
    startAll();
    ASSERT_TRUE(put(GetParam().version, "first"));
    ASSERT_TRUE(put(GetParam().version, "other"));
    EXPECT_EQ(read(), "first");
    ASSERT_TRUE(put(GetParam().version + 1, "second"));
    ASSERT_TRUE(put(GetParam().version, "first"));
    EXPECT_EQ(read(), "second");
}

TEST_P(FirstVersion, ReachesReplicasWhoseDisksWereLost)
{
    startAll();
    ASSERT_TRUE(put(GetParam().version, "first"));
    for (int lost = 0; lost < Replicas; ++lost) {
        ASSERT_TRUE(restartWithEmptyDisk(lost));
        EXPECT_EQ(read(), "first") << "disk " << lost;
    }
}

TEST_P(FirstVersion, ReachesVmsThatWereThereAndThatComeLater)
{
    startAll();
    peer::ClientPool clients(base_.get(), timers_, credentials());
    LeaderClient early(timers_, clients, entryVm("entry-1"), {});
    early.start();
    ASSERT_TRUE(put(GetParam().version, "first"));
    EXPECT_TRUE(hasTable(early));
    LeaderClient late(timers_, clients, entryVm("entry-2"), {});
    late.start();
    EXPECT_TRUE(hasTable(late));
    EXPECT_EQ(late.view().configurationVersion, GetParam().version);
    ASSERT_TRUE(put(GetParam().version + 1, "second"));
    EXPECT_TRUE(runUntil([&] {
        return early.view().configurationVersion == GetParam().version + 1
            && late.view().configurationVersion == GetParam().version + 1;
    }));
}

INSTANTIATE_TEST_SUITE_P(Versions, FirstVersion,
                         ::testing::Values(FirstVersionCase { "zero", 0 },
                                           FirstVersionCase { "one", 1 }),
                         [](const auto &info) { return std::string(info.param.name); });

// ---- messages and snapshots, also of releases that took version 0 for none ----

struct SnapshotCase
{
    const char *name;
    // Fields of the snapshot, as any release encodes them.
    std::optional<std::uint64_t> writtenVersion;
    std::optional<StoredConfiguration> held;
    std::optional<StoredConfiguration> expected;
};

class Snapshots : public ::testing::TestWithParam<SnapshotCase>
{
};

TEST_P(Snapshots, AreRestored)
{
    const SnapshotCase &test = GetParam();
    DurableState state;
    if (test.held) {
        wire::CoordinationCommand command;
        command.mutable_configuration()->set_version(test.held->version);
        command.mutable_configuration()->set_document(test.held->document);
        state.apply(1, command);
    }
    wire::CoordinationState written;
    if (test.writtenVersion) {
        written.set_version(*test.writtenVersion);
        written.set_document("written");
    }
    ASSERT_TRUE(std::holds_alternative<bool>(attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(state.restore(written.SerializeAsString()));
        return true;
    })));
    EXPECT_EQ(state.configuration(), test.expected);
}

INSTANTIATE_TEST_SUITE_P(
    Releases, Snapshots,
    ::testing::Values(
        SnapshotCase { "nothingStored", std::nullopt, std::nullopt, std::nullopt },
        SnapshotCase { "zeroStored", 0, std::nullopt, StoredConfiguration { 0, "written" } },
        SnapshotCase { "earlierRelease", 5, std::nullopt, StoredConfiguration { 5, "written" } },
        SnapshotCase { "earlierReleaseIgnoredZero", std::nullopt, StoredConfiguration { 0, "held" },
                       StoredConfiguration { 0, "held" } }),
    [](const auto &info) { return std::string(info.param.name); });

// A VM of an earlier release sends 0 as an absent field, whatever it holds.
TEST(DocumentHistory, AnswersRequestsWithoutVersionsWithTheWholeNewestDocument)
{
    DocumentHistory history;
    EXPECT_FALSE(history.chunk({}).has_version());
    history.add(0, "zero");
    const wire::DocumentChunk first = history.chunk({});
    EXPECT_TRUE(first.has_version());
    EXPECT_EQ(first.version(), 0U);
    EXPECT_FALSE(first.has_base_version());
    history.add(3, "three");
    EXPECT_EQ(history.chunk({}).version(), 3U);
    EXPECT_FALSE(history.chunk({}).has_base_version());
}

TEST(DocumentDownload, HoldsVersionZeroAsTheBaseOfTheNext)
{
    DocumentHistory history;
    DocumentDownload download;
    EXPECT_FALSE(download.isNeeded());
    download.want(0);
    ASSERT_TRUE(download.isNeeded());
    // A replica without a document.
    const auto none = attempt([&] { return download.add(history.chunk(download.nextRequest())); });
    EXPECT_FALSE(std::get<std::optional<ConfigurationDocument>>(none).has_value());
    for (std::uint64_t version = 0; version < 3; ++version) {
        const std::string text = "version " + std::to_string(version);
        history.add(version, text);
        download.want(version);
        ASSERT_TRUE(download.isNeeded());
        const wire::DocumentChunk chunk = history.chunk(download.nextRequest());
        EXPECT_EQ(chunk.has_base_version(), version > 0);
        const auto added = attempt([&] { return download.add(chunk); });
        EXPECT_EQ(std::get<std::optional<ConfigurationDocument>>(added),
                  (ConfigurationDocument { version, text, 0 }));
        EXPECT_FALSE(download.isNeeded());
    }
}

// Guards against VMs that ask without a pause: an order that came before the first configuration
// was never sent to them.
TEST_F(EntryVmTest, ZoneOrderBeforeTheFirstConfigurationReachesVms)
{
    startAll();
    ASSERT_TRUE(runUntil([&] { return leader() != nullptr; }));
    peer::ClientPool clients(base_.get(), timers_, credentials());
    LeaderClient client(timers_, clients, entryVm("entry-1"), {});
    client.start();
    leader()->setZoneOutOfService("a", true, [](const ChangeOutcome &) {});
    EXPECT_TRUE(
        runUntil([&] { return client.view().zonesOutOfService == std::set<std::string> { "a" }; },
                 Seconds(2)));
    const auto before = peer::trafficCounters().callsByMethod.at(peer::Method::FleetView);
    runUntil([] { return false; }, Seconds(1));
    EXPECT_LE(peer::trafficCounters().callsByMethod.at(peer::Method::FleetView) - before, 20U);
}

} // namespace
} // namespace daisyhaven::coordination

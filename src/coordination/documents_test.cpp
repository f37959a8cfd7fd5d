// Distribution of configuration documents to VMs. Pattern: a large document changes in quick
// succession while hundreds of VMs download it over slow links.
#include "coordination/internal/documentdelta.h"
#include "coordination/internal/documentdownload.h"
#include "coordination/internal/documenthistory.h"
#include "timer/timer.h"

#include <gtest/gtest.h>

#include <random>

namespace daisyhaven::coordination {
namespace {

// Index of a changed row that stands for all rows.
constexpr int AllRows = -2;

// Returns a document of `rows` rows, in which the row `changed` differs from other versions.
std::string makeDocument(std::uint64_t version, int rows, int changed = -1)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"rows\":[";
    for (int row = 0; row < rows; ++row) {
        const bool differs = row == changed || changed == AllRows;
        const std::string service = differs ? "moved" + std::to_string(version) : "service";
        text += "[\"route-" + std::to_string(row * 7919) + "\",\"host-" + std::to_string(row % 13)
            + ".example\",\"/path" + std::to_string(row) + "/\",\"idempotent\",1500,\"" + service
            + "\"],";
    }
    return text + "]}";
}

struct DeltaCase
{
    const char *name;
    std::string base;
    std::string target;
    // Part of the target's size that the delta may have.
    double maxShare = 0;
};

class Deltas : public ::testing::TestWithParam<DeltaCase>
{
};

// Guards against confirmed changes that are not in force in time: an update was as long as the
// document if every row had changed in one field.
TEST_P(Deltas, TurnTheBaseIntoTheTarget)
{
    const DeltaCase &test = GetParam();
    const std::string delta = makeDelta(test.base, test.target);
    const auto applied = attempt([&] { return applyDelta(test.base, delta); });
    ASSERT_TRUE(std::holds_alternative<std::string>(applied));
    EXPECT_EQ(std::get<std::string>(applied), test.target);
    EXPECT_LE(static_cast<double>(delta.size()),
              test.maxShare * static_cast<double>(test.target.size()) + 64);
}

INSTANTIATE_TEST_SUITE_P(
    Changes, Deltas,
    ::testing::Values(
        DeltaCase { "wholeDocument", "", makeDocument(1, 500), 1.05 },
        DeltaCase { "unchanged", makeDocument(1, 500), makeDocument(1, 500), 0 },
        DeltaCase { "oneRowOfThousands", makeDocument(1, 4000), makeDocument(2, 4000, 2000), 0.02 },
        DeltaCase { "everyRow", makeDocument(1, 4000), makeDocument(2, 4000, AllRows), 0.1 },
        DeltaCase { "rowsAdded", makeDocument(1, 4000), makeDocument(2, 4100), 0.05 },
        DeltaCase { "rowsRemoved", makeDocument(1, 4000), makeDocument(2, 2000), 0.02 },
        DeltaCase { "emptied", makeDocument(1, 500), "", 1 },
        DeltaCase { "oneRepeatedByte", std::string(5000, 'a'), std::string(90'000, 'a'), 0.2 }),
    [](const auto &info) { return std::string(info.param.name); });

struct DamageCase
{
    const char *name;
    std::string base;
    // The byte that is changed, from the end; 0: none.
    std::size_t changedByte = 0;
    std::size_t missingBytes = 0;
};

class DamagedDeltas : public ::testing::TestWithParam<DamageCase>
{
};

TEST_P(DamagedDeltas, AreRejected)
{
    const DamageCase &test = GetParam();
    std::string delta = makeDelta(makeDocument(1, 50), makeDocument(2, 50, 7));
    if (test.changedByte > 0) {
        delta[delta.size() - test.changedByte] ^= 0x55;
    }
    delta.resize(delta.size() - test.missingBytes);
    const auto applied = attempt([&] { return applyDelta(test.base, delta); });
    ASSERT_TRUE(std::holds_alternative<Failure>(applied));
    EXPECT_EQ(std::get<Failure>(applied).code, ResultCode::PeerProtocol);
}

INSTANTIATE_TEST_SUITE_P(Damages, DamagedDeltas,
                         ::testing::Values(DamageCase { "otherBase", makeDocument(3, 50, 9) },
                                           DamageCase { "noBase", "" },
                                           DamageCase { "changedByte", makeDocument(1, 50), 6 },
                                           DamageCase { "changedChecksum", makeDocument(1, 50), 1 },
                                           DamageCase { "truncated", makeDocument(1, 50), 0, 5 }),
                         [](const auto &info) { return std::string(info.param.name); });

struct LinkCase
{
    const char *name;
    int vms = 0;
    int rows = 0;
    double linkBytesPerSecond = 0;
    Duration changePeriod { 0 };
    int changes = 0;
    // Share of chunks that are lost with their connection.
    double lossShare = 0;
    // Each change concerns every row.
    bool everyRow = false;
};

// Part of a control VM's link that is left to downloads.
constexpr double ReplicaBytesPerSecond = 1e9 / 8 / 2;

// VMs that download from one replica, in virtual time. A chunk arrives after the time that it takes
// on the replica's link and on the VM's; a lost one is requested again after the timeout of the
// call.
class DownloadingFleet
{
public:
    DownloadingFleet(const LinkCase &link, std::uint64_t seed) : link_(link), random_(seed)
    {
        vms_.resize(static_cast<std::size_t>(link.vms));
    }

    void publish(std::uint64_t version, const std::string &document)
    {
        history_.add(version, document);
        for (Vm &vm : vms_) {
            vm.download.want(version);
        }
    }

    void run(Duration length)
    {
        for (const Instant end = now_ + length; now_ < end; now_ += Milliseconds(5)) {
            for (Vm &vm : vms_) {
                step(vm);
            }
            maxBytes_ = std::max(maxBytes_, history_.bytes());
        }
    }

    // Returns the number of VMs whose document has at least `version`.
    int countAt(std::uint64_t version) const
    {
        return static_cast<int>(std::count_if(vms_.begin(), vms_.end(), [&](const Vm &vm) {
            return vm.document.version >= version;
        }));
    }

    const std::string &documentOf(std::size_t vm) const { return vms_[vm].document.text; }
    std::size_t maxBytes() const { return maxBytes_; }

private:
    struct Vm
    {
        DocumentDownload download;
        ConfigurationDocument document;
        std::optional<wire::DocumentChunk> pending;
        Instant busyUntil;
    };

    void step(Vm &vm)
    {
        if (now_ < vm.busyUntil) {
            return;
        }
        if (vm.pending) {
            receive(vm, *std::exchange(vm.pending, std::nullopt));
        }
        if (!vm.download.isNeeded()) {
            return;
        }
        const wire::DocumentChunk chunk = history_.chunk(vm.download.nextRequest());
        if (std::uniform_real_distribution<double>(0, 1)(random_) < link_.lossShare) {
            vm.busyUntil = now_ + Milliseconds(1500);
            return;
        }
        const auto bytes = static_cast<double>(chunk.ByteSizeLong());
        replicaBusyUntil_ =
            std::max(now_, replicaBusyUntil_) + secondsToDuration(bytes / ReplicaBytesPerSecond);
        vm.busyUntil = replicaBusyUntil_ + Milliseconds(4)
            + secondsToDuration(bytes / link_.linkBytesPerSecond);
        vm.pending = chunk;
    }

    static Duration secondsToDuration(double seconds)
    {
        return Duration(static_cast<Duration::rep>(seconds * 1e6));
    }

    static void receive(Vm &vm, const wire::DocumentChunk &chunk)
    {
        const auto added = attempt([&] { return vm.download.add(chunk); });
        ASSERT_FALSE(std::holds_alternative<Failure>(added));
        if (const auto &document = std::get<std::optional<ConfigurationDocument>>(added)) {
            vm.document = *document;
        }
    }

    LinkCase link_;
    std::mt19937_64 random_;
    Instant now_ { Seconds(1000) };
    DocumentHistory history_;
    Instant replicaBusyUntil_;
    std::vector<Vm> vms_;
    std::size_t maxBytes_ = 0;
};

class SlowLinks : public ::testing::TestWithParam<LinkCase>
{
};

// Guards against confirmed changes that are not in force in time: every VM asked anew for the whole
// document before the last response had arrived.
TEST_P(SlowLinks, EveryVersionIsInForceWithinTwoSeconds)
{
    constexpr Milliseconds ApplyBound { 2000 };
    constexpr std::size_t MaxControlBytes = 128UL * 1024 * 1024;
    const LinkCase &link = GetParam();
    DownloadingFleet fleet(link, 11);
    fleet.publish(1, makeDocument(1, link.rows));
    fleet.run(ApplyBound);
    EXPECT_EQ(fleet.countAt(1), link.vms);
    std::uint64_t version = 1;
    int changedRow = 0;
    for (int change = 0; change < link.changes; ++change) {
        ++version;
        changedRow = link.everyRow ? AllRows : change * 17;
        fleet.publish(version, makeDocument(version, link.rows, changedRow));
        fleet.run(link.changePeriod);
        const auto due =
            version - std::min<std::uint64_t>(version - 1, ApplyBound / link.changePeriod);
        EXPECT_EQ(fleet.countAt(due), link.vms) << "version " << due;
    }
    fleet.run(ApplyBound);
    EXPECT_EQ(fleet.countAt(version), link.vms);
    EXPECT_EQ(fleet.documentOf(0), makeDocument(version, link.rows, changedRow));
    EXPECT_LE(fleet.maxBytes(), MaxControlBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Storms, SlowLinks,
    ::testing::Values(
        LinkCase { "dozensOfVms", 129, 4000, 4e6 / 8, Milliseconds(400), 15, 0 },
        LinkCase { "hundredsOfVms", 440, 4000, 4e6 / 8, Milliseconds(330), 12, 0 },
        LinkCase { "everyRowChanges", 440, 4000, 4e6 / 8, Milliseconds(400), 15, 0, true },
        LinkCase { "changesFasterThanDownloads", 129, 2000, 4e6 / 8, Milliseconds(20), 40, 0 }),
    [](const auto &info) { return std::string(info.param.name); });

TEST(SlowLinks, DownloadContinuesAfterLostChunks)
{
    const LinkCase link { "", 40, 2000, 4e6 / 8, Milliseconds(400), 0, 0.2 };
    DownloadingFleet fleet(link, 12);
    fleet.publish(1, makeDocument(1, link.rows));
    fleet.run(Seconds(20));
    EXPECT_EQ(fleet.countAt(1), link.vms);
}

// ---- history and download ----

TEST(DocumentHistory, IsBoundedByBytesAndCount)
{
    DocumentHistory history;
    const std::size_t large = DocumentHistory::MaxDocumentBytes / 3;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        history.add(version, std::string(large, static_cast<char>('a' + version)));
        wire::DocumentRequest request;
        history.chunk(request);
    }
    EXPECT_LE(history.bytes(),
              DocumentHistory::MaxDocumentBytes + DocumentHistory::MaxUpdateBytes + 2 * large);
}

TEST(DocumentDownload, ReplicaThatLagsBehindIsAskedAgain)
{
    DocumentHistory history;
    history.add(1, "one");
    DocumentDownload download;
    download.hold({ 1, "one", 3 });
    download.want(2);
    const auto behind =
        attempt([&] { return download.add(history.chunk(download.nextRequest())); });
    EXPECT_FALSE(std::get<std::optional<ConfigurationDocument>>(behind).has_value());
    EXPECT_TRUE(download.isNeeded());
    EXPECT_FALSE(download.isUnderWay());
    history.add(2, "two");
    const auto current =
        attempt([&] { return download.add(history.chunk(download.nextRequest())); });
    EXPECT_EQ(std::get<std::optional<ConfigurationDocument>>(current),
              (ConfigurationDocument { 2, "two", 0 }));
    EXPECT_FALSE(download.isNeeded());
}

TEST(DocumentDownload, DamagedUpdateIsReplacedByTheWholeDocument)
{
    DocumentHistory history;
    history.add(1, makeDocument(1, 50));
    history.add(2, makeDocument(2, 50, 7));
    DocumentDownload download;
    download.hold({ 1, makeDocument(1, 49), 0 }); // not the document of version 1
    download.want(2);
    const auto damaged =
        attempt([&] { return download.add(history.chunk(download.nextRequest())); });
    EXPECT_TRUE(std::holds_alternative<Failure>(damaged));
    const auto whole = attempt([&] { return download.add(history.chunk(download.nextRequest())); });
    EXPECT_EQ(std::get<std::optional<ConfigurationDocument>>(whole)->text, makeDocument(2, 50, 7));
}

} // namespace
} // namespace daisyhaven::coordination

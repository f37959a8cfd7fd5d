#include "control/internal/controlstate.h"
#include "peer/generated/peer.pb.h"
#include "replication/replication.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace daisyhaven::control {
namespace {

using replication::DiskLog;
using replication::initialMemberId;

class DiskLogTest : public ::testing::Test
{
protected:
    DiskLogTest()
        : folder_((std::filesystem::temp_directory_path()
                   / ("daisyhaven-disklog-" + std::to_string(getpid())))
                      .string())
    {
        std::filesystem::remove_all(folder_);
    }
    ~DiskLogTest() override { std::filesystem::remove_all(folder_); }

    std::variant<std::unique_ptr<DiskLog>, Failure> open()
    {
        return attempt([&] { return DiskLog::open(folder_, "control-a1"); });
    }
    std::unique_ptr<DiskLog> mustOpen()
    {
        auto opened = open();
        return std::move(std::get<std::unique_ptr<DiskLog>>(opened));
    }
    template <class Operation> static bool succeeds(Operation operation)
    {
        const auto done = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(operation());
            return true;
        });
        return std::holds_alternative<bool>(done);
    }
    static consensus::Entry entry(std::uint64_t index, std::uint64_t term)
    {
        return {
            index, term, consensus::EntryKind::Command, "payload" + std::to_string(index), {}
        };
    }
    // Initializes the folder of an initial member and writes entries 1 to `count`.
    void initializeWithEntries(std::uint64_t count)
    {
        ASSERT_TRUE(
            succeeds([&] { return DiskLog::initialize(folder_, "control-a1", initialMembers_); }));
        const auto disk = mustOpen();
        for (std::uint64_t i = 1; i <= count; ++i) {
            ASSERT_TRUE(succeeds([&] { return disk->writeEntries(i, { entry(i, 1) }); }));
        }
    }
    std::string logPath() const { return folder_ + "/log"; }
    void corruptByte(std::uint64_t offset)
    {
        std::fstream file(logPath(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(offset));
        file.put('\x7f');
    }

    std::string folder_;
    consensus::Members initialMembers_ { { "control-a1", initialMemberId("control-a1"),
                                           "127.0.0.1:1" } };
};

// Guards against a replica that takes those who are listed at a later start for its group.
TEST_F(DiskLogTest, FoundersAreStored)
{
    initialMembers_.push_back({ "control-b1", initialMemberId("control-b1"), "127.0.0.1:2" });
    initializeWithEntries(1);
    const auto disk = mustOpen();
    EXPECT_FALSE(disk->lacksMembers());
    EXPECT_EQ(disk->storedState().snapshot.members, initialMembers_);
}

TEST_F(DiskLogTest, FoundersOfAnEarlierReleaseAreLearnedOnce)
{
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ + "/identity", std::ios::binary) << replication::encodeLogRecord(
        R"({"vm":"control-a1","identity":"founder-control-a1","founding":true})");
    {
        const auto disk = mustOpen();
        EXPECT_TRUE(disk->lacksMembers());
        EXPECT_TRUE(disk->storedState().snapshot.members.empty());
        ASSERT_TRUE(succeeds([&] { return disk->setInitialMembers(initialMembers_); }));
        ASSERT_TRUE(succeeds([&] { return disk->setInitialMembers({}); }));
    }
    const auto disk = mustOpen();
    EXPECT_FALSE(disk->lacksMembers());
    EXPECT_EQ(disk->storedState().snapshot.members, initialMembers_);
}

TEST_F(DiskLogTest, ReopenReturnsWrittenState)
{
    initializeWithEntries(600);
    const auto disk = mustOpen();
    ASSERT_EQ(disk->storedState().entries.size(), 600U);
    EXPECT_EQ(disk->storedState().entries.back(), entry(600, 1));
    ASSERT_TRUE(succeeds([&] { return disk->writeHardState({ 7, "someone" }); }));
    // Writing at an existing index replaces the rest of the log.
    ASSERT_TRUE(succeeds([&] {
        return disk->writeEntries(300, { entry(300, 2), entry(301, 2) });
    }));
    ASSERT_TRUE(succeeds([&] {
        return disk->writeSnapshot({ 200, 1, initialMembers_, "state" },
                                   { entry(201, 1), entry(202, 1) });
    }));
    const auto again = mustOpen();
    EXPECT_EQ(again->storedState().hardState, (consensus::HardState { 7, "someone" }));
    EXPECT_EQ(again->storedState().snapshot.index, 200U);
    ASSERT_EQ(again->storedState().entries.size(), 2U);
    EXPECT_EQ(again->storedState().entries.front(), entry(201, 1));
}

TEST_F(DiskLogTest, TornTailIsTruncated)
{
    initializeWithEntries(5);
    std::filesystem::resize_file(logPath(), std::filesystem::file_size(logPath()) + 20);
    const auto disk = mustOpen();
    EXPECT_TRUE(disk->wasTailTruncated());
    EXPECT_EQ(disk->storedState().entries.size(), 5U);
}

TEST_F(DiskLogTest, DamagedSyncedRecordIsRejected)
{
    initializeWithEntries(5);
    for (const std::uint64_t offset :
         { std::uint64_t { 2 }, std::uint64_t { 20 }, std::filesystem::file_size(logPath()) - 2 }) {
        const std::string whole = folder_ + ".copy";
        std::filesystem::copy_file(logPath(), whole);
        corruptByte(offset);
        const auto opened = open();
        const auto *failure = std::get_if<Failure>(&opened);
        ASSERT_NE(failure, nullptr) << offset;
        EXPECT_EQ(failure->code, ResultCode::RecordDamaged);
        std::filesystem::rename(whole, logPath());
    }
}

// Accepts bytes until `availableBytes` is 0, then fails with ENOSPC, possibly within a record.
struct LimitedDisk
{
    std::size_t availableBytes = 0;

    ssize_t write(int file, const void *bytes, std::size_t count)
    {
        const std::size_t taken = std::min(availableBytes, count);
        if (taken == 0) {
            errno = ENOSPC;
            return -1;
        }
        availableBytes -= taken;
        return ::write(file, bytes, taken);
    }
};

struct FullDiskCase
{
    const char *name;
    std::function<Result<void>(DiskLog &)> change;
    std::size_t entriesAfter;
};

class FullDisk : public DiskLogTest, public ::testing::WithParamInterface<FullDiskCase>
{
protected:
    static constexpr std::size_t AmpleBytes = 1 << 20;
};

// For each number of bytes that still fit on the disk: a write that does not fit fails completely,
// entries confirmed earlier survive a restart, and the same write succeeds once space is available.
TEST_P(FullDisk, FailedWriteSucceedsOnceSpaceIsAvailable)
{
    bool succeeded = false;
    for (std::size_t availableBytes = 0; !succeeded; ++availableBytes) {
        std::filesystem::remove_all(folder_);
        initializeWithEntries(5);
        LimitedDisk limited { availableBytes };
        const auto opened = attempt([&] {
            return DiskLog::open(folder_, "control-a1",
                                 [&](int file, const void *bytes, std::size_t count) {
                                     return limited.write(file, bytes, count);
                                 });
        });
        ASSERT_TRUE(std::holds_alternative<std::unique_ptr<DiskLog>>(opened));
        DiskLog &disk = *std::get<std::unique_ptr<DiskLog>>(opened);
        const auto first = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(GetParam().change(disk));
            return true;
        });
        succeeded = std::holds_alternative<bool>(first);
        if (!succeeded) {
            EXPECT_EQ(std::get<Failure>(first).code, ResultCode::StorageFull) << availableBytes;
            EXPECT_GE(mustOpen()->storedState().entries.size()
                          + mustOpen()->storedState().snapshot.index,
                      3U)
                << availableBytes;
            limited.availableBytes = AmpleBytes;
            ASSERT_TRUE(succeeds([&] { return GetParam().change(disk); })) << availableBytes;
        }
        EXPECT_EQ(mustOpen()->storedState().entries.size(), GetParam().entriesAfter)
            << availableBytes;
    }
}

const FullDiskCase FullDiskCases[] = {
    { "append",
      [](DiskLog &disk) {
          return disk.writeEntries(6, { { 6, 1, consensus::EntryKind::Command, "six", {} } });
      },
      6 },
    { "replaceTail",
      [](DiskLog &disk) {
          return disk.writeEntries(4, { { 4, 2, consensus::EntryKind::Command, "four", {} } });
      },
      4 },
    { "vote",
      [](DiskLog &disk) {
          return disk.writeHardState({ 7, "someone" });
      },
      5 },
    { "snapshot",
      [](DiskLog &disk) {
          return disk.writeSnapshot({ 4, 1, {}, "state" },
                                    { { 5, 1, consensus::EntryKind::Command, "five", {} } });
      },
      1 },
};
INSTANTIATE_TEST_SUITE_P(Writes, FullDisk, ::testing::ValuesIn(FullDiskCases),
                         [](const auto &info) { return std::string(info.param.name); });

TEST_F(DiskLogTest, EmptiedFolderGetsNewIdentityAndNoMembers)
{
    initializeWithEntries(3);
    std::filesystem::remove_all(folder_);
    const auto disk = mustOpen();
    EXPECT_NE(disk->identity().replicaId, initialMemberId("control-a1"));
    EXPECT_TRUE(disk->storedState().snapshot.members.empty());
    const std::string identity = disk->identity().replicaId;
    EXPECT_EQ(mustOpen()->identity().replicaId, identity);
}

TEST_F(DiskLogTest, FolderOfAnotherVmAndLogWithoutIdentityAreRejected)
{
    initializeWithEntries(1);
    const auto other = attempt([&] { return DiskLog::open(folder_, "control-b1"); });
    EXPECT_TRUE(std::holds_alternative<Failure>(other));
    std::filesystem::remove(folder_ + "/identity");
    EXPECT_TRUE(std::holds_alternative<Failure>(open()));
}

std::string zoneOutCommand(const std::string &operation, std::uint64_t base,
                           const std::string &author, const std::string &zone)
{
    configuration::Change change;
    change.operationId = operation;
    change.author = author;
    change.baseVersion = base;
    change.body = configuration::AvailabilityZoneState { zone, true };
    return configuration::toWire(change).SerializeAsString();
}

TEST(ControlState, SecondOfTwoConcurrentWritesReportsConflict)
{
    ControlState state;
    EXPECT_EQ(state.apply(zoneOutCommand("op1", 0, "ayse", "a")).result, ResultCode::Ok);
    const OperationOutcome second = state.apply(zoneOutCommand("op2", 0, "mehmet", "b"));
    EXPECT_EQ(second.result, ResultCode::VersionConflict);
    EXPECT_EQ(second.conflictAuthor, "ayse");
    EXPECT_EQ(second.conflictSummary, "zone out a");
}

TEST(ControlState, RetryReturnsFirstOutcomeAfterSnapshotRestore)
{
    ControlState state;
    const OperationOutcome first = state.apply(zoneOutCommand("op1", 0, "ayse", "a"));
    state.apply(zoneOutCommand("op2", 1, "ayse", "b"));
    ControlState restored;
    const auto done = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(restored.restore(state.toSnapshot()));
        return true;
    });
    ASSERT_TRUE(std::holds_alternative<bool>(done));
    EXPECT_EQ(restored.apply(zoneOutCommand("op1", 0, "ayse", "a")), first);
    EXPECT_EQ(restored.apply(zoneOutCommand("op1", 2, "ayse", "a")),
              first); // retry with a newer base version
    EXPECT_EQ(restored.store().version(), 2U);
    // The same id with a different change is rejected.
    EXPECT_EQ(restored.apply(zoneOutCommand("op1", 2, "ayse", "c")).result,
              ResultCode::VersionConflict);
}

} // namespace
} // namespace daisyhaven::control

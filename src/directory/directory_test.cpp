#include "directory/directory.h"

#include <gtest/gtest.h>

namespace daisyhaven::directory {
namespace {

const Instant Start { Seconds(1000) };

Announcement makeAnnouncement(std::uint64_t startTimeMs, std::uint64_t sequence,
                              bool draining = false)
{
    Announcement announcement;
    announcement.id = "i-1";
    announcement.service = "orders";
    announcement.address = "10.0.0.1:80";
    announcement.zone = "a";
    announcement.slots = 4;
    announcement.startTimeMs = startTimeMs;
    announcement.sequence = sequence;
    announcement.draining = draining;
    return announcement;
}

struct AnnouncementOrderCase
{
    const char *name;
    Announcement second;
    AnnounceResult result;
};

class AnnouncementOrderTest : public ::testing::TestWithParam<AnnouncementOrderCase>
{
};

TEST_P(AnnouncementOrderTest, SecondAnnouncementHasExpectedResult)
{
    Directory directory;
    ASSERT_EQ(directory.announce(Start, makeAnnouncement(100, 5), nullptr),
              AnnounceResult::Changed);
    EXPECT_EQ(directory.announce(Start, GetParam().second, nullptr), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(
    SecondAnnouncements, AnnouncementOrderTest,
    ::testing::Values(
        AnnouncementOrderCase { "newer", makeAnnouncement(100, 6), AnnounceResult::Refreshed },
        AnnouncementOrderCase { "repeated", makeAnnouncement(100, 5), AnnounceResult::Stale },
        AnnouncementOrderCase { "late", makeAnnouncement(100, 4), AnnounceResult::Stale },
        AnnouncementOrderCase { "earlierProcess", makeAnnouncement(99, 9), AnnounceResult::Stale },
        AnnouncementOrderCase { "rebornUnderItsId", makeAnnouncement(200, 1),
                                AnnounceResult::Changed },
        AnnouncementOrderCase { "draining", makeAnnouncement(100, 6, true),
                                AnnounceResult::Changed }),
    [](const auto &info) { return info.param.name; });

TEST(DeregisterTest, ProcessStaysRemovedAndLaterProcessIsAccepted)
{
    Directory directory;
    directory.announce(Start, makeAnnouncement(100, 5), nullptr);
    directory.deregister({ "i-1", 100, true }, nullptr);
    EXPECT_EQ(directory.find("i-1"), nullptr);
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(100, 6), nullptr), AnnounceResult::Stale);
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(200, 1), nullptr),
              AnnounceResult::Changed);
    EXPECT_FALSE(directory.find("i-1")->announcement.draining);
}

TEST(DeregisterTest, BeforeFirstAnnouncementMarksEntryDraining)
{
    Directory directory;
    directory.deregister({ "i-1", 150, false }, nullptr);
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(100, 6), nullptr),
              AnnounceResult::Changed);
    EXPECT_TRUE(directory.find("i-1")->announcement.draining);
}

// A network partition delays an announcement until its address belongs to another process.
TEST(AddressTest, BelongsToProcessWithLatestStartTime)
{
    Directory directory;
    std::vector<std::string> removed;
    const auto recordRemoved = [&](const std::string &id) { removed.push_back(id); };
    directory.announce(Start, makeAnnouncement(100, 5), recordRemoved);
    Announcement other = makeAnnouncement(200, 1);
    other.id = "i-2";
    EXPECT_EQ(directory.announce(Start, other, recordRemoved), AnnounceResult::Changed);
    EXPECT_EQ(removed, std::vector<std::string> { "i-1" });
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(100, 6), recordRemoved),
              AnnounceResult::Stale);
    EXPECT_NE(directory.find("i-2"), nullptr);
}

TEST(ColdStartTest, BeginIsAChangeAndContinuationIsARefresh)
{
    Directory directory;
    directory.announce(Start, makeAnnouncement(100, 1), nullptr);
    Announcement cold = makeAnnouncement(100, 2);
    cold.coldStartRemaining = Seconds(3);
    EXPECT_EQ(directory.announce(Start, cold, nullptr), AnnounceResult::Changed);
    cold.sequence = 3;
    cold.coldStartRemaining = Seconds(2);
    EXPECT_EQ(directory.announce(Start + Seconds(1), cold, nullptr), AnnounceResult::Refreshed);
    EXPECT_EQ(directory.find("i-1")->coldStartUntil, Start + Seconds(3));
}

TEST(ColdStartTest, EndsWhenAnnouncedByServer)
{
    Directory directory;
    Announcement cold = makeAnnouncement(100, 5);
    cold.coldStartRemaining = Seconds(3);
    ASSERT_EQ(directory.announce(Start, cold, nullptr), AnnounceResult::Changed);
    EXPECT_EQ(directory.announce(Start + Seconds(1), makeAnnouncement(100, 6), nullptr),
              AnnounceResult::Changed);
    EXPECT_LE(directory.find("i-1")->coldStartUntil, Start + Seconds(1));
    EXPECT_EQ(directory.announce(Start + Seconds(2), makeAnnouncement(100, 7), nullptr),
              AnnounceResult::Refreshed);
}

TEST(ExpiryTest, RemovesServerWithoutRecentAnnouncement)
{
    Directory directory;
    directory.announce(Start, makeAnnouncement(100, 1), nullptr);
    directory.removeExpired(Start + Seconds(5), Seconds(6), nullptr);
    EXPECT_NE(directory.find("i-1"), nullptr);
    directory.removeExpired(Start + Seconds(7), Seconds(6), nullptr);
    EXPECT_EQ(directory.find("i-1"), nullptr);
}

} // namespace
} // namespace daisyhaven::directory

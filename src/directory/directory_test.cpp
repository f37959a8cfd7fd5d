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
    announcement.born = startTimeMs;
    announcement.sequence = sequence;
    announcement.draining = draining;
    return announcement;
}

struct AnnouncementOrderCase
{
    const char *name;
    Announcement second;
    Effect result;
};

class AnnouncementOrderTest : public ::testing::TestWithParam<AnnouncementOrderCase>
{
};

TEST_P(AnnouncementOrderTest, SecondAnnouncementHasExpectedResult)
{
    Directory directory;
    ASSERT_EQ(directory.announce(Start, makeAnnouncement(100, 5), nullptr), Effect::Changed);
    EXPECT_EQ(directory.announce(Start, GetParam().second, nullptr), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(
    SecondAnnouncements, AnnouncementOrderTest,
    ::testing::Values(
        AnnouncementOrderCase { "newer", makeAnnouncement(100, 6), Effect::Refreshed },
        AnnouncementOrderCase { "repeated", makeAnnouncement(100, 5), Effect::Outdated },
        AnnouncementOrderCase { "late", makeAnnouncement(100, 4), Effect::Outdated },
        AnnouncementOrderCase { "earlierProcess", makeAnnouncement(99, 9), Effect::Outdated },
        AnnouncementOrderCase { "rebornUnderItsId", makeAnnouncement(200, 1), Effect::Changed },
        AnnouncementOrderCase { "draining", makeAnnouncement(100, 6, true), Effect::Changed }),
    [](const auto &info) { return info.param.name; });

TEST(DeregisterTest, ProcessStaysRemovedAndLaterProcessIsAccepted)
{
    Directory directory;
    directory.announce(Start, makeAnnouncement(100, 5), nullptr);
    directory.depart({ "i-1", 100, true }, nullptr);
    EXPECT_EQ(directory.find("i-1"), nullptr);
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(100, 6), nullptr), Effect::Outdated);
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(200, 1), nullptr), Effect::Changed);
    EXPECT_FALSE(directory.find("i-1")->said.draining);
}

TEST(DeregisterTest, BeforeFirstAnnouncementMarksEntryDraining)
{
    Directory directory;
    directory.depart({ "i-1", 150, false }, nullptr);
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(100, 6), nullptr), Effect::Changed);
    EXPECT_TRUE(directory.find("i-1")->said.draining);
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
    EXPECT_EQ(directory.announce(Start, other, recordRemoved), Effect::Changed);
    EXPECT_EQ(removed, std::vector<std::string> { "i-1" });
    EXPECT_EQ(directory.announce(Start, makeAnnouncement(100, 6), recordRemoved), Effect::Outdated);
    EXPECT_NE(directory.find("i-2"), nullptr);
}

TEST(ColdStartTest, BeginIsAChangeAndContinuationIsARefresh)
{
    Directory directory;
    directory.announce(Start, makeAnnouncement(100, 1), nullptr);
    Announcement cold = makeAnnouncement(100, 2);
    cold.coldRemaining = Seconds(3);
    EXPECT_EQ(directory.announce(Start, cold, nullptr), Effect::Changed);
    cold.sequence = 3;
    cold.coldRemaining = Seconds(2);
    EXPECT_EQ(directory.announce(Start + Seconds(1), cold, nullptr), Effect::Refreshed);
    EXPECT_EQ(directory.find("i-1")->coldUntil, Start + Seconds(3));
}

TEST(ColdStartTest, EndsWhenAnnouncedByServer)
{
    Directory directory;
    Announcement cold = makeAnnouncement(100, 5);
    cold.coldRemaining = Seconds(3);
    ASSERT_EQ(directory.announce(Start, cold, nullptr), Effect::Changed);
    EXPECT_EQ(directory.announce(Start + Seconds(1), makeAnnouncement(100, 6), nullptr),
              Effect::Changed);
    EXPECT_LE(directory.find("i-1")->coldUntil, Start + Seconds(1));
    EXPECT_EQ(directory.announce(Start + Seconds(2), makeAnnouncement(100, 7), nullptr),
              Effect::Refreshed);
}

TEST(ExpiryTest, RemovesServerWithoutRecentAnnouncement)
{
    Directory directory;
    directory.announce(Start, makeAnnouncement(100, 1), nullptr);
    directory.expire(Start + Seconds(5), Seconds(6), nullptr);
    EXPECT_NE(directory.find("i-1"), nullptr);
    directory.expire(Start + Seconds(7), Seconds(6), nullptr);
    EXPECT_EQ(directory.find("i-1"), nullptr);
}

} // namespace
} // namespace daisyhaven::directory

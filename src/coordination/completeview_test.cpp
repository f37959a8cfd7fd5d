// Complete views of a new leader. Pattern: every entry VM asks for one right after an election.
#include "coordination/internal/completeviewcache.h"

#include <gtest/gtest.h>

namespace daisyhaven::coordination {
namespace {

const Instant Election { Seconds(1000) };

struct ElectionCase
{
    const char *name;
    int vms = 0;
    // Time in which the requests of all VMs arrive.
    Duration arrivals { 0 };
    // The servers may be encoded once in each lifetime of the cache.
    int maxEncodings = 0;
};

class CompleteViews : public ::testing::TestWithParam<ElectionCase>
{
protected:
    EncodedServers encode()
    {
        ++encodings_;
        return { static_cast<std::uint64_t>(encodings_), "servers" };
    }

    CompleteViewCache cache_;
    int encodings_ = 0;
};

TEST_P(CompleteViews, AreEncodedOnceForManyVms)
{
    for (int vm = 0; vm < GetParam().vms; ++vm) {
        const Instant now = Election + GetParam().arrivals * vm / GetParam().vms;
        EXPECT_EQ(cache_.get(now, 2, [&] { return encode(); }).bytes, "servers");
    }
    EXPECT_LE(encodings_, GetParam().maxEncodings);
    EXPECT_GE(encodings_, 1);
}

TEST_P(CompleteViews, AreEncodedAgainByTheNextLeaderAndAfterTheLifetime)
{
    const auto sequenceAt = [&](Instant now, std::uint64_t epoch) {
        return cache_.get(now, epoch, [&] { return encode(); }).sequence;
    };
    EXPECT_EQ(sequenceAt(Election, 2), 1U);
    EXPECT_EQ(sequenceAt(Election + Milliseconds(1), 2), 1U);
    EXPECT_EQ(sequenceAt(Election + Milliseconds(2), 3), 2U);
    EXPECT_EQ(sequenceAt(Election + Milliseconds(2) + CompleteViewCache::Lifetime, 3), 3U);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, CompleteViews,
    ::testing::Values(ElectionCase { "dozensAtOnce", 40, Milliseconds(20), 1 },
                      ElectionCase { "hundredsAtOnce", 440, Milliseconds(90), 1 },
                      ElectionCase { "hundredsInASecond", 440, Seconds(1), 10 }),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace daisyhaven::coordination

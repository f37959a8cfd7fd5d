#include "coordination/internal/controllog.h"

#include <algorithm>
#include <filesystem>

namespace daisyhaven::coordination {

namespace {

// Returns the initial members. The initial ID of a replica is derived from its address,
// which the other initial members know.
consensus::Members toMembers(const std::vector<peer::Address> &seeds)
{
    consensus::Members members;
    for (const peer::Address &seed : seeds) {
        members.push_back(
            { seed.toString(), replication::initialMemberId(seed.toString()), seed.toString() });
    }
    return members;
}

// Seeds that every VM of a new fleet receives at its first start, if the group is as large.
constexpr std::size_t MaxSeedsAtFounding = 3;

bool isSeed(const ControlOptions &options)
{
    return std::find(options.seeds.begin(), options.seeds.end(), options.ownAddress)
        != options.seeds.end();
}

} // namespace

consensus::Members foundersAmongSeeds(const ControlOptions &options)
{
    const std::size_t founders = std::min(options.groupSize, MaxSeedsAtFounding);
    const bool isComplete = isSeed(options) && options.seeds.size() >= founders;
    return isComplete ? toMembers(options.seeds) : consensus::Members {};
}

Result<std::unique_ptr<replication::DiskLog>> openLog(const ControlOptions &options)
{
    std::error_code unreadable; // an unreadable folder is reported when the log is opened
    const bool empty = !std::filesystem::exists(options.dataFolder + "/identity", unreadable);
    if (options.bootstrap && isSeed(options) && empty) {
        BOOST_LEAF_CHECK(replication::DiskLog::initialize(
            options.dataFolder, options.ownAddress.toString(), toMembers(options.seeds)));
    }
    return replication::DiskLog::open(options.dataFolder, options.ownAddress.toString(),
                                      options.write);
}

} // namespace daisyhaven::coordination

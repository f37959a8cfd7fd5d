#include "coordination/internal/controllog.h"

#include <algorithm>
#include <filesystem>

namespace daisyhaven::coordination {

namespace {

// Returns the initial members. The initial ID of a replica is derived from its address,
// which the other initial members know.
consensus::Members initialMembers(const std::vector<peer::Address> &seeds)
{
    consensus::Members members;
    for (const peer::Address &seed : seeds) {
        members.push_back(
            { seed.toString(), replication::initialMemberId(seed.toString()), seed.toString() });
    }
    return members;
}

} // namespace

Result<std::unique_ptr<replication::DiskLog>> openLog(const ControlOptions &options)
{
    const bool isSeed = std::find(options.seeds.begin(), options.seeds.end(), options.ownAddress)
        != options.seeds.end();
    std::error_code unreadable; // an unreadable folder is reported when the log is opened
    const bool empty = !std::filesystem::exists(options.dataFolder + "/identity", unreadable);
    if (options.bootstrap && isSeed && empty) {
        BOOST_LEAF_CHECK(
            replication::DiskLog::initialize(options.dataFolder, options.ownAddress.toString()));
    }
    return replication::DiskLog::open(options.dataFolder, options.ownAddress.toString(),
                                      initialMembers(options.seeds), options.write);
}

} // namespace daisyhaven::coordination

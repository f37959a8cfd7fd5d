// Identifies requests that crash the servers that run them.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <string>

namespace daisyhaven::scheduler::internal {

// Quarantines a request after its connection was lost on two different servers. A success clears
// the records of the request.
class CrashRecords
{
public:
    void recordConnectionLoss(Instant now, std::uint64_t fingerprint, const std::string &server)
    {
        records_[fingerprint][server] = now;
    }

    void recordSuccess(std::uint64_t fingerprint) { records_.erase(fingerprint); }

    bool isQuarantined(Instant now, std::uint64_t fingerprint) const
    {
        const auto record = records_.find(fingerprint);
        if (record == records_.end()) {
            return false;
        }
        std::size_t recent = 0;
        for (const auto &[server, at] : record->second) {
            recent += now - at < RecordLifetime ? 1 : 0;
        }
        return recent >= CrashesToQuarantine;
    }

    void removeExpired(Instant now)
    {
        for (auto record = records_.begin(); record != records_.end();) {
            auto &servers = record->second;
            for (auto crash = servers.begin(); crash != servers.end();) {
                crash =
                    now - crash->second >= RecordLifetime ? servers.erase(crash) : std::next(crash);
            }
            record = servers.empty() ? records_.erase(record) : std::next(record);
        }
    }

private:
    static constexpr std::size_t CrashesToQuarantine = 2;
    static constexpr Seconds RecordLifetime { 120 };

    std::map<std::uint64_t, std::map<std::string, Instant>> records_;
};

} // namespace daisyhaven::scheduler::internal

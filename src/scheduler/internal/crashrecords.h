// Finds requests that crash the servers that run them.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <string>

namespace daisyhaven::scheduler::internal {

// A request whose connection was lost on two servers is quarantined; a success clears it.
class CrashRecords
{
public:
    void lost(Instant now, std::uint64_t fingerprint, const std::string &server)
    {
        records_[fingerprint][server] = now;
    }

    void succeeded(std::uint64_t fingerprint) { records_.erase(fingerprint); }

    bool isQuarantined(Instant now, std::uint64_t fingerprint) const
    {
        const auto record = records_.find(fingerprint);
        if (record == records_.end()) {
            return false;
        }
        std::size_t recent = 0;
        for (const auto &[server, at] : record->second) {
            recent += now - at < Memory ? 1 : 0;
        }
        return recent >= CrashesToQuarantine;
    }

    void expire(Instant now)
    {
        for (auto record = records_.begin(); record != records_.end();) {
            auto &servers = record->second;
            for (auto crash = servers.begin(); crash != servers.end();) {
                crash = now - crash->second >= Memory ? servers.erase(crash) : std::next(crash);
            }
            record = servers.empty() ? records_.erase(record) : std::next(record);
        }
    }

private:
    static constexpr std::size_t CrashesToQuarantine = 2;
    static constexpr Seconds Memory { 120 };

    std::map<std::uint64_t, std::map<std::string, Instant>> records_;
};

} // namespace daisyhaven::scheduler::internal

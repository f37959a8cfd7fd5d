// Identifies requests that crash the servers that run them.
#pragma once

#include "timer/timer.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace daisyhaven::scheduler::internal {

// Quarantines a request after its connection was lost on two different servers. Servers that fail
// for other reasons can lose the same harmless request as well, so a quarantined request is tried
// again a few times. A success clears the records of the request.
class CrashRecords
{
public:
    void recordConnectionLoss(Instant now, std::uint64_t fingerprint, const std::string &server)
    {
        Record &record = records_[fingerprint];
        record.lossByServer[server] = now;
        record.lastLossAt = now;
    }

    void recordSuccess(std::uint64_t fingerprint) { records_.erase(fingerprint); }

    // Admits the request, as a trial if it is quarantined, or returns for how long it is refused.
    std::optional<Duration> tryAdmit(Instant now, std::uint64_t fingerprint)
    {
        const auto found = records_.find(fingerprint);
        if (found == records_.end() || !found->second.isQuarantined(now)) {
            return std::nullopt;
        }
        Record &record = found->second;
        if (record.trials >= TrialDelays.size()) {
            return record.lastLossAt + RecordLifetime - now;
        }
        const Instant trialAt =
            std::max(record.lastLossAt, record.lastTrialAt) + TrialDelays.at(record.trials);
        if (now < trialAt) {
            return trialAt - now;
        }
        ++record.trials;
        record.lastTrialAt = now;
        return std::nullopt;
    }

    void removeExpired(Instant now)
    {
        for (auto record = records_.begin(); record != records_.end();) {
            const bool expired = now - record->second.lastLossAt >= RecordLifetime;
            record = expired ? records_.erase(record) : std::next(record);
        }
    }

private:
    static constexpr std::size_t CrashesToQuarantine = 2;
    static constexpr Seconds RecordLifetime { 120 };
    // Time from a loss or trial to the next trial.
    static constexpr std::array<Seconds, 2> TrialDelays { Seconds(4), Seconds(16) };

    struct Record
    {
        std::map<std::string, Instant> lossByServer;
        Instant lastLossAt;
        Instant lastTrialAt;
        std::size_t trials = 0;

        bool isQuarantined(Instant now) const
        {
            const auto recent =
                std::count_if(lossByServer.begin(), lossByServer.end(),
                              [&](const auto &loss) { return now - loss.second < RecordLifetime; });
            return static_cast<std::size_t>(recent) >= CrashesToQuarantine;
        }
    };

    std::map<std::uint64_t, Record> records_;
};

} // namespace daisyhaven::scheduler::internal

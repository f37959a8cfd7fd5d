#include "dispatch/internal/crashtracker.h"

namespace daisyhaven::dispatch::internal {

namespace {

constexpr std::size_t CrashesToQuarantine = 2;
constexpr Seconds RecordLifetime { 600 };
// A process that still announces itself this long after the connection was lost did not crash.
constexpr Milliseconds AliveProofDelay { 1500 };

} // namespace

bool CrashTracker::recordCrash(Instant now, const CrashRecord &record)
{
    auto &crashes = suspects_[record.fingerprint];
    const bool wasQuarantined = crashes.size() >= CrashesToQuarantine;
    crashes.emplace(Process { record.server, record.serverIncarnation }, now);
    return !wasQuarantined && crashes.size() >= CrashesToQuarantine;
}

bool CrashTracker::recordRemoteCrash(Instant now, const CrashRecord &record)
{
    return cleared_.count(record) == 0 && recordCrash(now, record);
}

void CrashTracker::recordSuccess(Instant now, std::uint64_t fingerprint)
{
    const auto suspect = suspects_.find(fingerprint);
    if (suspect == suspects_.end()) {
        return;
    }
    for (const auto &[process, at] : suspect->second) {
        cleared_[{ fingerprint, process.first, process.second }] = now;
    }
    suspects_.erase(suspect);
}

void CrashTracker::recordAlive(Instant now, const std::string &server, std::uint64_t incarnation)
{
    const Process process { server, incarnation };
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        auto &crashes = suspect->second;
        const auto crash = crashes.find(process);
        if (crash != crashes.end() && now - crash->second > AliveProofDelay) {
            cleared_[{ suspect->first, server, incarnation }] = now;
            crashes.erase(crash);
        }
        suspect = crashes.empty() ? suspects_.erase(suspect) : std::next(suspect);
    }
}

void CrashTracker::removeExpired(Instant now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        bool recent = false;
        for (const auto &[process, at] : suspect->second) {
            recent = recent || now - at < RecordLifetime;
        }
        suspect = recent ? std::next(suspect) : suspects_.erase(suspect);
    }
    for (auto record = cleared_.begin(); record != cleared_.end();) {
        const bool expired = now - record->second > RecordLifetime;
        record = expired ? cleared_.erase(record) : std::next(record);
    }
}

bool CrashTracker::isQuarantined(std::uint64_t fingerprint) const
{
    const auto suspect = suspects_.find(fingerprint);
    return suspect != suspects_.end() && suspect->second.size() >= CrashesToQuarantine;
}

std::vector<CrashRecord> CrashTracker::records() const
{
    std::vector<CrashRecord> records;
    for (const auto &[fingerprint, crashes] : suspects_) {
        for (const auto &[process, at] : crashes) {
            records.push_back({ fingerprint, process.first, process.second });
        }
    }
    return records;
}

} // namespace daisyhaven::dispatch::internal

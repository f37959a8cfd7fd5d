// Finds requests that crash the backend servers that run them.
//
// A request whose connection was lost while it ran is a suspect. A backend server never runs two
// suspects at the same time, and at most one request with the fingerprint of a suspect runs at a
// time. Crashes of two processes quarantine the request. A success, or evidence that the process
// did not crash, clears it.
#pragma once

#include "dispatch/dispatch.h"

namespace daisyhaven::dispatch::internal {

class CrashTracker
{
public:
    // Records a lost connection. Returns true if this crash quarantines the request.
    bool recordCrash(Instant now, const CrashRecord &record);
    // Records a crash that another dispatcher recorded, unless it is already cleared here. Returns
    // true if this crash quarantines the request.
    bool recordRemoteCrash(Instant now, const CrashRecord &record);
    // Clears the request. Its records are not accepted again from other dispatchers.
    void recordSuccess(Instant now, std::uint64_t fingerprint);
    // Records that the process `incarnation` of `server` was alive at `now`, and clears older
    // records of it: the connection was lost without a crash.
    void recordAlive(Instant now, const std::string &server, std::uint64_t incarnation);
    void removeExpired(Instant now);

    bool isSuspect(std::uint64_t fingerprint) const { return suspects_.count(fingerprint) != 0; }
    bool isQuarantined(std::uint64_t fingerprint) const;
    std::vector<CrashRecord> records() const;

private:
    using Process = std::pair<std::string, std::uint64_t>;
    std::map<std::uint64_t, std::map<Process, Instant>> suspects_;
    std::map<CrashRecord, Instant> cleared_;
};

} // namespace daisyhaven::dispatch::internal

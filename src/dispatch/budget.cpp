#include "dispatch/dispatch.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::dispatch {

namespace {

// A new owner of the budget grants no ejections for this long, so that every zone can first report
// the servers that it has already ejected.
constexpr Milliseconds InitialReportTime { 1000 };
// The healthy servers of a zone whose last summary is older than this do not count as available.
constexpr Milliseconds ZoneSummaryTimeout { 2000 };

} // namespace

EjectionBudget::EjectionBudget(double floor, Instant now)
    : floor_(floor), grantsStartAt_(now + InitialReportTime)
{
}

std::uint32_t EjectionBudget::maxEjections() const
{
    std::uint32_t known = 0;
    std::uint32_t available = 0;
    for (const auto &[name, zone] : zones_) {
        known += zone.summary.knownServers;
        available += zone.summary.availableServers;
    }
    const auto minAvailable = static_cast<std::uint32_t>(std::ceil(floor_ * known - 1e-9));
    return available > minAvailable ? available - minAvailable : 0;
}

std::uint32_t EjectionBudget::granted() const
{
    std::uint32_t count = 0;
    for (const auto &[name, zone] : zones_) {
        count += static_cast<std::uint32_t>(zone.granted.size());
    }
    return count;
}

EjectionBudget::Permits EjectionBudget::recordSummary(Instant now, const ZoneSummary &summary)
{
    for (auto &[name, zone] : zones_) {
        if (name != summary.zone && now - zone.reportedAt > ZoneSummaryTimeout) {
            zone.summary.availableServers = static_cast<std::uint32_t>(zone.granted.size());
        }
    }
    Zone &zone = zones_[summary.zone];
    const std::set<std::string> candidates(summary.ejectionCandidates.begin(),
                                           summary.ejectionCandidates.end());
    std::set<std::string> granted(summary.ejectedServers.begin(), summary.ejectedServers.end());
    for (const std::string &address : zone.granted) {
        if (candidates.count(address) != 0) {
            granted.insert(address);
        }
    }
    zone.granted = std::move(granted);
    zone.summary = summary;
    zone.reportedAt = now;
    Permits permits;
    const std::uint32_t limit = this->maxEjections();
    const bool mayGrant = now >= grantsStartAt_;
    for (const std::string &address : summary.ejectionCandidates) {
        if (mayGrant && this->granted() < limit) {
            zone.granted.insert(address);
        }
    }
    std::uint32_t excess = this->granted() > limit ? this->granted() - limit : 0;
    for (const std::string &address : summary.ejectedServers) {
        if (excess > 0) {
            permits.mustReadmit.insert(address);
            --excess;
        }
    }
    for (const std::string &address : zone.granted) {
        if (permits.mustReadmit.count(address) == 0) {
            permits.mayEject.insert(address);
        }
    }
    return permits;
}

} // namespace daisyhaven::dispatch

#include "lease/lease.h"

#include <algorithm>

namespace daisyhaven::lease {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Duration holderLeaseDuration(const LeaseTimings &timings)
{
    return scaled(timings.duration, 1 - 2 * timings.maxClockDrift);
}

Duration abstentionPeriod(const LeaseTimings &timings)
{
    return scaled(timings.duration, 1 + 2 * timings.maxClockDrift);
}

LeaseVoter::LeaseVoter(LeaseTimings timings, Instant startedAt, std::uint64_t termFloor)
    : timings_(timings), abstainsUntil_(startedAt + abstentionPeriod(timings)),
      termFloor_(termFloor
                 + static_cast<std::uint64_t>(
                     std::chrono::duration_cast<Milliseconds>(abstentionPeriod(timings)).count()))
{
}

LeaseResponse LeaseVoter::processRequest(Instant now, const std::string &vm,
                                         std::uint64_t incarnation, const LeaseRequest &request)
{
    if (isAbstaining(now)) {
        return { request.key, request.term, false, termFloor_ };
    }
    Grant &grant = grants_[request.key];
    const bool isSameProcess = grant.vm == vm && grant.incarnation == incarnation;
    const bool isRenewal = isSameProcess && request.term >= grant.term;
    if (request.release) {
        if (isSameProcess && request.term == grant.term) {
            grant.expiresAt = std::min(grant.expiresAt, now);
        }
        return { request.key, request.term, false, grant.term };
    }
    const bool isAvailable =
        now >= grant.expiresAt && request.term > grant.term && request.term >= termFloor_;
    if (!isRenewal && !isAvailable) {
        return { request.key, request.term, false, std::max(grant.term, termFloor_) };
    }
    grant = { vm, incarnation, request.term, now + timings_.duration };
    return { request.key, request.term, true, grant.term };
}

std::vector<membership::LeaseRecord> LeaseVoter::activeLeases(Instant now) const
{
    std::vector<membership::LeaseRecord> leases;
    for (const auto &[key, grant] : grants_) {
        if (now < grant.expiresAt) {
            leases.push_back({ key, grant.vm, grant.incarnation, grant.term });
        }
    }
    return leases;
}

} // namespace daisyhaven::lease

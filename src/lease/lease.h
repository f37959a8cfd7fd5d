// Leases that are granted by a majority of voters.
//
// A voter keeps its grants in memory. After a start it abstains for longer than the longest lease,
// so that it cannot grant the same lease to two holders across a restart. A holder measures its
// lease with its own monotonic clock from the time at which it sent the request, shortened by the
// clock drift margin, so that it stops before any voter can grant the lease to another VM. The term
// of a lease increases with each change of the holder and serves as a fencing token against delayed
// messages.
//
// Example:
//     LeaseHolder holder(voterCount, timings);
//     holder.beginAcquire("quota:3", largestTerm, wallClockMs);
//     std::vector<LeaseRequest> requests = holder.takeRoundRequests();
//     ...
//     holder.recordResponses(voter, sentAt, responses);
//     if (holder.heldTerm("quota:3", now)) { ... }
//
// Assumption: the rates of two monotonic clocks differ by at most LeaseTimings::maxClockDrift, also
// while a process is suspended.
//
// Not thread-safe. Performs no I/O and reads no clock; the current time is a parameter.
#pragma once

#include "membership/membership.h"
#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace daisyhaven::lease {

struct LeaseTimings
{
    Duration duration = Milliseconds(1800);
    double maxClockDrift = 0.01;
};

// Returns how long a holder may rely on a grant, measured from the time it sent the request.
Duration holderLeaseDuration(const LeaseTimings &timings);

// Returns how long a voter grants no lease after its start.
Duration abstentionPeriod(const LeaseTimings &timings);

// Request to a voter to grant or renew a lease, or to release it.
struct LeaseRequest
{
    std::string key;
    std::uint64_t term = 0;
    bool release = false;

    auto tied() const { return std::tie(key, term, release); }
    friend bool operator==(const LeaseRequest &a, const LeaseRequest &b)
    {
        return a.tied() == b.tied();
    }
};

struct LeaseResponse
{
    std::string key;
    std::uint64_t term = 0;
    bool granted = false;
    // Largest term that the voter granted for this lease, or the smallest that it may grant if that
    // is larger.
    std::uint64_t highestTerm = 0;

    auto tied() const { return std::tie(key, term, granted, highestTerm); }
    friend bool operator==(const LeaseResponse &a, const LeaseResponse &b)
    {
        return a.tied() == b.tied();
    }
};

// The grants of one voter.
class LeaseVoter
{
public:
    // `termFloor` is the wall clock time in milliseconds. After a restart the voter no longer knows
    // which terms it granted, so it grants none below the floor. Terms increase across a restart of
    // all voters if the wall clocks of any two VMs differ by less than abstentionPeriod().
    LeaseVoter(LeaseTimings timings, Instant startedAt, std::uint64_t termFloor);

    bool isAbstaining(Instant now) const { return now < abstainsUntil_; }
    // Ends the abstention period immediately. Safe only in a fleet in which no configuration was
    // ever published.
    void endAbstention() { abstainsUntil_ = Instant::min(); }
    // Grants, renews, releases or rejects the lease, and returns the response.
    LeaseResponse processRequest(Instant now, const std::string &vm, std::uint64_t incarnation,
                                 const LeaseRequest &request);
    // Returns the grants that have not expired.
    std::vector<membership::LeaseRecord> activeLeases(Instant now) const;

private:
    struct Grant
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        std::uint64_t term = 0;
        Instant expiresAt;
    };

    LeaseTimings timings_;
    Instant abstainsUntil_;
    std::uint64_t termFloor_;
    std::map<std::string, Grant> grants_;
};

// The leases that one VM holds or tries to acquire.
class LeaseHolder
{
public:
    LeaseHolder(std::size_t voterCount, LeaseTimings timings);

    // Starts to acquire a lease at a term above `largestTerm` and every term seen so far, and not
    // below `termFloor`, which is the wall clock time in milliseconds.
    void beginAcquire(const std::string &key, std::uint64_t largestTerm, std::uint64_t termFloor);
    // Releases a lease, or stops acquiring it, in the next round.
    void beginRelease(const std::string &key);
    // Returns true if the lease is being acquired, is held, or is due for release.
    bool isTracked(const std::string &key) const { return states_.count(key) != 0; }
    // Returns the requests to send to every voter, and drops the leases that they release.
    std::vector<LeaseRequest> takeRoundRequests();
    // Records the responses of the voter with index `voter` to the round that was sent at `sentAt`.
    void recordResponses(std::size_t voter, Instant sentAt,
                         const std::vector<LeaseResponse> &responses);
    // Returns the term of the lease if it is held at `now`.
    std::optional<std::uint64_t> heldTerm(const std::string &key, Instant now) const;
    // Returns the time at which the lease expires or expired, if a majority granted it.
    std::optional<Instant> expiry(const std::string &key) const;
    // Returns true if so many voters rejected the current term that it cannot reach a majority.
    // Call beginRelease(), so that the voters that granted it can grant to others, and retry after
    // a random delay.
    bool isTermRejected(const std::string &key) const;
    // Returns the largest term in any response for the lease, 0 if there is none.
    std::uint64_t highestTermSeen(const std::string &key) const;

private:
    struct State
    {
        std::uint64_t term = 0;
        std::uint64_t highestSeen = 0;
        bool releasing = false;
        std::vector<std::optional<Instant>> grantedAt;
        std::vector<bool> rejected;
    };

    std::size_t majority() const { return voterCount_ / 2 + 1; }

    std::size_t voterCount_;
    LeaseTimings timings_;
    std::map<std::string, State> states_;
};

} // namespace daisyhaven::lease

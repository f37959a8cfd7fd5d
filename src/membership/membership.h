// Membership of entry VMs: the member table of a voter, and the view that a VM merges from the
// reports of several voters.
//
// Each process of a VM has an incarnation number, which increases with each start. A voter keeps an
// incarnation until the retention time has passed since its last heartbeat, so that the requests of
// a terminated process can still be accounted for.
//
// Example:
//     MemberTable table;
//     table.recordHeartbeat(now, member);
//     for (const MemberStatus &status : table.memberStatuses(now)) { ... }
//
// Not thread-safe. Performs no I/O and reads no clock; the current time is a parameter.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace daisyhaven::membership {

// How long a voter keeps an incarnation after its last heartbeat.
constexpr Seconds MemberRetention { 900 };

// What a process reports about itself in each heartbeat.
struct Member
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string availabilityZone;
    std::string peerAddress;
    bool draining = false;
    std::uint64_t configurationVersion = 0;

    auto tied() const
    {
        return std::tie(vm, incarnation, availabilityZone, peerAddress, draining,
                        configurationVersion);
    }
    friend bool operator==(const Member &a, const Member &b) { return a.tied() == b.tied(); }
};

// A member and the time since its last heartbeat.
struct MemberStatus
{
    Member member;
    Duration timeSinceHeartbeat { 0 };

    friend bool operator==(const MemberStatus &a, const MemberStatus &b)
    {
        return a.member == b.member && a.timeSinceHeartbeat == b.timeSinceHeartbeat;
    }
};

// The members known to one voter.
class MemberTable
{
public:
    // Records a heartbeat. Returns false and ignores it if a newer incarnation of the VM is known.
    bool recordHeartbeat(Instant now, const Member &member);
    // Removes incarnations without a heartbeat for longer than MemberRetention.
    void removeExpired(Instant now);
    // Returns every known incarnation, ordered by VM and incarnation.
    std::vector<MemberStatus> memberStatuses(Instant now) const;
    // Returns a hash that changes with the set of members, with the zone, address or draining state
    // of a member, and when a member times out or returns. A member times out if its last heartbeat
    // is older than `heartbeatTimeout`.
    std::uint64_t digest(Instant now, Duration heartbeatTimeout) const;

private:
    struct Entry
    {
        Member member;
        Instant lastHeartbeatAt;
    };
    // By VM and incarnation, the newest incarnation last.
    std::map<std::string, std::map<std::uint64_t, Entry>> entries_;
};

// A lease that a voter has granted.
struct LeaseRecord
{
    std::string key;
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;

    auto tied() const { return std::tie(key, vm, incarnation, term); }
    friend bool operator==(const LeaseRecord &a, const LeaseRecord &b)
    {
        return a.tied() == b.tied();
    }
    friend bool operator<(const LeaseRecord &a, const LeaseRecord &b)
    {
        return a.tied() < b.tied();
    }
};

// Response of one voter to one heartbeat.
struct VoterReport
{
    bool recovering = false;
    std::uint64_t configurationVersion = 0;
    std::vector<MemberStatus> members;
    std::vector<LeaseRecord> leases;
};

// View of the fleet that a VM merges from the latest report of each voter.
class MembershipView
{
public:
    MembershipView(std::size_t voterCount, Duration memberTimeout);

    // Records the response, received at `now`, of the voter with index `voter` to the heartbeat
    // that was sent at `sentAt`. Ignores responses to older heartbeats than the latest one.
    void recordReport(std::size_t voter, Instant sentAt, Instant now, VoterReport report);

    // Returns the latest time such that a majority of voters has responded to heartbeats sent at or
    // after it, or nothing if there is none. Recovering voters do not count.
    std::optional<Instant> majorityFreshSince() const;
    // Returns the largest configuration version in any report, 0 if there is none.
    std::uint64_t newestConfigurationVersion() const;
    // Returns the voter that reported newestConfigurationVersion() most recently, if any.
    std::optional<std::size_t> newestConfigurationVoter() const;
    // Returns the lease as granted by a majority of voters, if any.
    std::optional<LeaseRecord> leaseHolder(const std::string &key) const;
    // Returns the largest term that any voter reports for the lease, 0 if there is none.
    std::uint64_t largestLeaseTerm(const std::string &key) const;
    // Returns the newest incarnation of each VM if any voter received a heartbeat from it within
    // the member timeout.
    std::vector<Member> liveMembers(Instant now) const;
    // Returns every incarnation that any voter reports, with the time since its latest heartbeat at
    // any voter.
    std::vector<MemberStatus> knownMembers(Instant now) const;
    // Returns the newest known incarnation of `vm`, whether live or not.
    std::optional<Member> findMember(const std::string &vm, Instant now) const;
    std::size_t majority() const { return reports_.size() / 2 + 1; }

private:
    struct Entry
    {
        bool hasReport = false;
        Instant sentAt;
        Instant receivedAt;
        VoterReport report;
    };
    std::vector<Entry> reports_;
    Duration memberTimeout_;
};

// Orders `candidates` by preference as holder of the lease `key`: VMs in `zone` first, then by a
// hash of key and VM. Every VM computes the same order from the same candidates.
std::vector<Member> rankLeaseCandidates(const std::string &key, const std::string &zone,
                                        std::vector<Member> candidates);

} // namespace daisyhaven::membership

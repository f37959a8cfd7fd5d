#include "membership/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace daisyhaven::membership {

namespace {

std::uint64_t hashString(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashMember(const Member &member)
{
    std::uint64_t hash = hashString(member.vm, member.incarnation);
    hash = hashString(member.availabilityZone, hash);
    hash = hashString(member.peerAddress, hash);
    return hash + (member.draining ? 1 : 0);
}

} // namespace

bool MemberTable::recordHeartbeat(Instant now, const Member &member)
{
    auto &incarnations = entries_[member.vm];
    const bool isStale = !incarnations.empty() && incarnations.rbegin()->first > member.incarnation;
    if (isStale) {
        return false;
    }
    incarnations[member.incarnation] = { member, now };
    return true;
}

void MemberTable::removeExpired(Instant now)
{
    for (auto vm = entries_.begin(); vm != entries_.end();) {
        auto &incarnations = vm->second;
        for (auto entry = incarnations.begin(); entry != incarnations.end();) {
            const bool isExpired = now - entry->second.lastHeartbeatAt > MemberRetention;
            entry = isExpired ? incarnations.erase(entry) : std::next(entry);
        }
        vm = incarnations.empty() ? entries_.erase(vm) : std::next(vm);
    }
}

std::vector<MemberStatus> MemberTable::memberStatuses(Instant now) const
{
    std::vector<MemberStatus> statuses;
    for (const auto &[vm, incarnations] : entries_) {
        for (const auto &[incarnation, entry] : incarnations) {
            statuses.push_back({ entry.member, now - entry.lastHeartbeatAt });
        }
    }
    return statuses;
}

std::uint64_t MemberTable::digest(Instant now, Duration heartbeatTimeout) const
{
    std::uint64_t digest = 1;
    for (const auto &[vm, incarnations] : entries_) {
        for (const auto &[incarnation, entry] : incarnations) {
            const bool isTimedOut = now - entry.lastHeartbeatAt > heartbeatTimeout;
            digest = digest * 31 + hashMember(entry.member) + (isTimedOut ? 7 : 0);
        }
    }
    return digest;
}

MembershipView::MembershipView(std::size_t voterCount, Duration memberTimeout)
    : reports_(voterCount), memberTimeout_(memberTimeout)
{
}

void MembershipView::recordReport(std::size_t voter, Instant sentAt, Instant now,
                                  VoterReport report)
{
    Entry &entry = reports_.at(voter);
    const bool isStale = entry.hasReport && sentAt < entry.sentAt;
    if (isStale) {
        return;
    }
    entry = { true, sentAt, now, std::move(report) };
}

std::optional<Instant> MembershipView::majorityFreshSince() const
{
    std::vector<Instant> times;
    for (const Entry &entry : reports_) {
        if (entry.hasReport && !entry.report.recovering) {
            times.push_back(entry.sentAt);
        }
    }
    if (times.size() < majority()) {
        return std::nullopt;
    }
    std::sort(times.rbegin(), times.rend());
    return times[majority() - 1];
}

std::uint64_t MembershipView::newestConfigurationVersion() const
{
    std::uint64_t newest = 0;
    for (const Entry &entry : reports_) {
        newest = std::max(newest, entry.hasReport ? entry.report.configurationVersion : 0);
    }
    return newest;
}

std::optional<std::size_t> MembershipView::newestConfigurationVoter() const
{
    const std::uint64_t newest = newestConfigurationVersion();
    std::optional<std::size_t> newestVoter;
    for (std::size_t i = 0; i < reports_.size(); ++i) {
        const Entry &entry = reports_[i];
        if (!entry.hasReport || entry.report.configurationVersion != newest) {
            continue;
        }
        if (!newestVoter || reports_[*newestVoter].sentAt < entry.sentAt) {
            newestVoter = i;
        }
    }
    return newestVoter;
}

std::optional<LeaseRecord> MembershipView::leaseHolder(const std::string &key) const
{
    std::map<LeaseRecord, std::size_t> counts;
    for (const Entry &entry : reports_) {
        for (const LeaseRecord &lease : entry.report.leases) {
            if (lease.key == key && ++counts[lease] >= majority()) {
                return lease;
            }
        }
    }
    return std::nullopt;
}

std::uint64_t MembershipView::largestLeaseTerm(const std::string &key) const
{
    std::uint64_t largest = 0;
    for (const Entry &entry : reports_) {
        for (const LeaseRecord &lease : entry.report.leases) {
            if (lease.key == key) {
                largest = std::max(largest, lease.term);
            }
        }
    }
    return largest;
}

std::vector<MemberStatus> MembershipView::knownMembers(Instant now) const
{
    std::map<std::pair<std::string, std::uint64_t>, MemberStatus> merged;
    for (const Entry &entry : reports_) {
        for (const MemberStatus &status : entry.report.members) {
            const Duration sinceHeartbeat = status.timeSinceHeartbeat + (now - entry.receivedAt);
            const auto id = std::make_pair(status.member.vm, status.member.incarnation);
            const auto [found, inserted] =
                merged.emplace(id, MemberStatus { status.member, sinceHeartbeat });
            if (!inserted && sinceHeartbeat < found->second.timeSinceHeartbeat) {
                found->second = { status.member, sinceHeartbeat };
            }
        }
    }
    std::vector<MemberStatus> statuses;
    statuses.reserve(merged.size());
    for (auto &[id, status] : merged) {
        statuses.push_back(std::move(status));
    }
    return statuses;
}

std::vector<Member> MembershipView::liveMembers(Instant now) const
{
    std::vector<Member> members;
    for (MemberStatus &status : knownMembers(now)) {
        const bool isSameVm = !members.empty() && members.back().vm == status.member.vm;
        if (isSameVm) {
            members.pop_back();
        }
        if (status.timeSinceHeartbeat <= memberTimeout_) {
            members.push_back(std::move(status.member));
        }
    }
    return members;
}

std::optional<Member> MembershipView::findMember(const std::string &vm, Instant now) const
{
    std::optional<Member> newest;
    for (MemberStatus &status : knownMembers(now)) {
        if (status.member.vm == vm) {
            newest = std::move(status.member);
        }
    }
    return newest;
}

std::vector<Member> rankLeaseCandidates(const std::string &key, const std::string &zone,
                                        std::vector<Member> candidates)
{
    const auto rank = [&](const Member &member) {
        return std::make_pair(member.availabilityZone != zone,
                              hashString(key + "/" + member.vm, 0));
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const Member &a, const Member &b) { return rank(a) < rank(b); });
    return candidates;
}

} // namespace daisyhaven::membership

#include "coordination/internal/membershipcontroller.h"

#include <algorithm>

namespace daisyhaven::coordination {

using consensus::MemberInfo;
using consensus::Members;

namespace {

bool contains(const Members &members, const std::string &replicaId)
{
    return std::any_of(members.begin(), members.end(),
                       [&](const MemberInfo &member) { return member.replicaId == replicaId; });
}

const MemberInfo *findByAddress(const Members &members, const std::string &address)
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const MemberInfo &member) {
        return member.peerAddress == address;
    });
    return found == members.end() ? nullptr : &*found;
}

// Returns a member that stops, or else the one that has been silent for the longest time beyond
// MaxSilence, or null.
const MemberInfo *findSilentOrLeaving(const GroupStatus &group)
{
    for (const MemberInfo &member : group.members) {
        if (group.leaving.count(member.replicaId) != 0) {
            return &member;
        }
    }
    const MemberInfo *found = nullptr;
    Duration longest = MembershipController::MaxSilence;
    for (const MemberInfo &member : group.members) {
        const auto silence = group.silence.find(member.replicaId);
        const bool longer = silence != group.silence.end() && silence->second > longest;
        if (longer && member.replicaId != group.self) {
            found = &member;
            longest = silence->second;
        }
    }
    return found;
}

} // namespace

void MembershipController::recordJoinRequest(Instant now, const MemberInfo &member)
{
    for (auto request = joinRequests_.begin(); request != joinRequests_.end();) {
        // Of two identities at one address, the disk of the earlier one is lost.
        const bool superseded = request->first != member.replicaId
            && request->second.member.peerAddress == member.peerAddress;
        const bool done = superseded || isExpired(now, request->second);
        request = done ? joinRequests_.erase(request) : std::next(request);
    }
    leavingSaidAt_.erase(member.replicaId); // it has started again
    const auto added = joinRequests_.emplace(member.replicaId, JoinRequest { member, now, now });
    added.first->second.receivedAt = now;
}

void MembershipController::recordLeaving(Instant now, const std::string &replicaId)
{
    leavingSaidAt_[replicaId] = now;
}

GroupStatus MembershipController::statusOf(Instant now, const consensus::Replica &leader,
                                           const Members &learners) const
{
    GroupStatus status;
    status.members = leader.members();
    status.self = leader.self().replicaId;
    for (const MemberInfo &member : status.members) {
        status.silence[member.replicaId] = leader.timeSinceContact(now, member.replicaId);
    }
    for (const MemberInfo &learner : learners) {
        if (leader.isCaughtUp(now, learner.replicaId)) {
            status.caughtUp.insert(learner.replicaId);
        }
    }
    for (const auto &[replicaId, saidAt] : leavingSaidAt_) {
        status.leaving.insert(replicaId);
    }
    return status;
}

void MembershipController::dropRequests(Instant now, const Members &members)
{
    for (auto request = joinRequests_.begin(); request != joinRequests_.end();) {
        const bool done = isExpired(now, request->second) || contains(members, request->first);
        request = done ? joinRequests_.erase(request) : std::next(request);
    }
    for (auto leaving = leavingSaidAt_.begin(); leaving != leavingSaidAt_.end();) {
        const bool expired = now - leaving->second > JoinRequestLifetime;
        leaving = expired ? leavingSaidAt_.erase(leaving) : std::next(leaving);
    }
}

std::vector<MembershipController::JoinRequest>
MembershipController::requestsByAge(Instant now) const
{
    std::vector<JoinRequest> requests;
    for (const auto &[replicaId, request] : joinRequests_) {
        if (!isExpired(now, request)) {
            requests.push_back(request);
        }
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const JoinRequest &a, const JoinRequest &b) {
                         return a.firstReceivedAt < b.firstReceivedAt;
                     });
    return requests;
}

Result<std::optional<MembershipChange>> MembershipController::reconcile(Instant now,
                                                                        consensus::Replica &leader)
{
    dropRequests(now, leader.members());
    Members learners;
    for (const JoinRequest &request : requestsByAge(now)) {
        learners.push_back(request.member);
    }
    leader.setLearners(now, learners);
    auto change = nextChange(now, statusOf(now, leader, learners));
    if (!change) {
        return change;
    }
    if (const auto *add = std::get_if<AddReplica>(&*change)) {
        BOOST_LEAF_CHECK(leader.addMember(now, add->member));
    } else if (const auto *replace = std::get_if<ReplaceReplica>(&*change)) {
        BOOST_LEAF_CHECK(leader.replaceMember(now, replace->outgoing, replace->incoming));
    } else {
        const auto &remove = std::get<RemoveReplica>(*change);
        BOOST_LEAF_CHECK(leader.removeMember(now, remove.replicaId));
    }
    return change;
}

std::optional<MembershipChange> MembershipController::nextChange(Instant now,
                                                                 const GroupStatus &group) const
{
    const std::vector<JoinRequest> requests = requestsByAge(now);
    // A lost disk is certain, unlike what silence says.
    for (const JoinRequest &request : requests) {
        const MemberInfo *former = findByAddress(group.members, request.member.peerAddress);
        if (former != nullptr && group.caughtUp.count(request.member.replicaId) != 0) {
            return ReplaceReplica { former->replicaId, request.member,
                                    "another replica runs at its address" };
        }
    }
    for (const JoinRequest &request : requests) {
        if (auto change = placeFor(now, request, group)) {
            return change;
        }
    }
    const MemberInfo *silent = findSilentOrLeaving(group);
    if (silent != nullptr && group.members.size() > groupSize_) {
        return RemoveReplica { silent->replicaId,
                               "silent or leaving, and the group exceeds its configured size" };
    }
    return std::nullopt;
}

std::optional<MembershipChange> MembershipController::placeFor(Instant now,
                                                               const JoinRequest &request,
                                                               const GroupStatus &group) const
{
    if (group.caughtUp.count(request.member.replicaId) == 0) {
        return std::nullopt;
    }
    if (group.members.size() < groupSize_) {
        return AddReplica { request.member, "the group is below its configured size" };
    }
    if (const MemberInfo *silent = findSilentOrLeaving(group)) {
        return ReplaceReplica { silent->replicaId, request.member, "silent or leaving" };
    }
    if (now - request.firstReceivedAt > MaxWaitForPlace) {
        return AddReplica { request.member, "no member is silent" };
    }
    return std::nullopt;
}

bool hasLeft(const consensus::Replica &replica, const std::string &replicaId)
{
    const Members &members = replica.members();
    const bool committed = replica.membershipIndex() <= replica.commitIndex();
    return committed && !members.empty() && !contains(members, replicaId);
}

bool shouldRequestToJoin(Instant now, const consensus::Replica &replica, Instant knewLeaderAt)
{
    return !replica.isMember() || now - knewLeaderAt > MaxTimeWithoutLeader;
}

} // namespace daisyhaven::coordination

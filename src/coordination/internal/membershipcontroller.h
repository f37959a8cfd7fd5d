// Decides on the members of the control group. Requests to join come from replicas that are no
// members: empty ones on new VMs, ones whose disk was lost, and ones that were removed while they
// were dark.
//
// A request is evidence that a member is gone. What has to be bounded is the number of members that
// are gone, for each of them takes from what the group can lose. So a replica that has caught up
// takes the place of a member at once, in one change: of the former identity at its address, or
// else of the member that has been silent for the longest time. That member may only be dark. It
// then asks to join when it returns, and takes the place of the one that is gone. A member that
// says that it stops is taken for silent.
//
// The group is never made smaller than its configured size, and no member is removed for its
// silence alone while the group has that size: it may come back with its disk, and counting it as a
// member prevents a majority of too few disks.
#pragma once

#include "consensus/consensus.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisyhaven::coordination {

struct AddReplica
{
    consensus::MemberInfo member;
    std::string reason;
};
struct ReplaceReplica
{
    std::string outgoing; // replica ID
    consensus::MemberInfo incoming;
    std::string reason;
};
struct RemoveReplica
{
    std::string replicaId;
    std::string reason;
};
using MembershipChange = std::variant<AddReplica, ReplaceReplica, RemoveReplica>;

// The group as its leader sees it.
struct GroupStatus
{
    consensus::Members members;
    std::string self;
    // Time since the last message from a member, by replica ID; zero for the leader itself.
    std::map<std::string, Duration> silence;
    // Replicas without a vote that hold the log, by replica ID.
    std::set<std::string> caughtUp;
    // Members that have said that they stop, by replica ID.
    std::set<std::string> leaving = {};
};

class MembershipController
{
public:
    // Silence after which a member gives way to a replica that asks to join, or is removed if the
    // group exceeds its configured size. A new leader hears from all that run well within it.
    static constexpr Milliseconds MaxSilence { 1000 };
    // Time after which a join request expires unless it is sent again.
    static constexpr Seconds JoinRequestLifetime { 2 };
    // A replica that has asked for this long while no member was silent is added to the group.
    static constexpr Seconds MaxWaitForPlace { 3 };

    explicit MembershipController(std::size_t groupSize) : groupSize_(groupSize) { }

    void recordJoinRequest(Instant now, const consensus::MemberInfo &member);

    // Records that a member has said that it stops. Holds as long as a join request.
    void recordLeaving(Instant now, const std::string &replicaId);

    // Returns whether a member that stops should wait until the group has let it go.
    bool hasUseForLeaving(Instant now, const consensus::Members &members) const
    {
        return members.size() > groupSize_ || !requestsByAge(now).empty();
    }

    // Makes the replicas that ask to join learners of the leader `leader`, and makes the next
    // change, if any. Returns the change. Errors: those of consensus::Replica; VersionConflict is
    // expected while a change is in progress.
    Result<std::optional<MembershipChange>> reconcile(Instant now, consensus::Replica &leader);

    // Returns the next change, if any.
    std::optional<MembershipChange> nextChange(Instant now, const GroupStatus &group) const;

    std::size_t waitingCount() const { return joinRequests_.size(); }

private:
    struct JoinRequest
    {
        consensus::MemberInfo member;
        Instant firstReceivedAt;
        Instant receivedAt;
    };

    static bool isExpired(Instant now, const JoinRequest &request)
    {
        return now - request.receivedAt > JoinRequestLifetime;
    }
    // Drops requests that have expired or were granted.
    void dropRequests(Instant now, const consensus::Members &members);
    GroupStatus statusOf(Instant now, const consensus::Replica &leader,
                         const consensus::Members &learners) const;
    // Returns the requests that have not expired, the earliest first.
    std::vector<JoinRequest> requestsByAge(Instant now) const;
    std::optional<MembershipChange> placeFor(Instant now, const JoinRequest &request,
                                             const GroupStatus &group) const;

    std::size_t groupSize_;
    std::map<std::string, JoinRequest> joinRequests_; // by replica ID
    std::map<std::string, Instant> leavingSaidAt_; // by replica ID
};

// Time without a leader after which a replica that takes itself for a member asks to join: it may
// have been removed.
constexpr Milliseconds MaxTimeWithoutLeader { 700 };

// Returns whether the members that `replica` knows are committed and don't include `replicaId`.
bool hasLeft(const consensus::Replica &replica, const std::string &replicaId);

// Returns whether `replica`, which last knew a leader at `knewLeaderAt`, has to ask to join.
bool shouldRequestToJoin(Instant now, const consensus::Replica &replica, Instant knewLeaderAt);

} // namespace daisyhaven::coordination

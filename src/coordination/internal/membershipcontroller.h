// Decides on the members of the control group: a replica that requests to join is added, a replica
// whose disk was lost is replaced by the new one at its address, and an unresponsive replica is
// removed once the group is larger than its configured size.
//
// The group is never made smaller than its configured size: an unresponsive replica may come back
// with its disk, and counting it as a member prevents a majority of too few disks.
#pragma once

#include "consensus/consensus.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace daisyhaven::coordination {

struct AddReplica
{
    consensus::MemberInfo member;
};
struct RemoveReplica
{
    std::string replicaId;
    std::string reason;
};
using MembershipChange = std::variant<AddReplica, RemoveReplica>;

class MembershipController
{
public:
    // Time without a message after which a member is removed if the group is too large.
    static constexpr Seconds RemoveUnresponsiveAfter { 3 };
    // Time after which a join request expires unless it is sent again.
    static constexpr Seconds JoinRequestLifetime { 2 };

    explicit MembershipController(std::size_t groupSize) : groupSize_(groupSize) { }

    void recordJoinRequest(Instant now, const consensus::MemberInfo &member)
    {
        joinRequests_[member.replicaId] = { member, now };
    }

    // Returns the next membership change, if any; changes are made one at a time.
    // `timeSinceContact` returns the time since the last message from a member.
    std::optional<MembershipChange>
    nextChange(Instant now, const consensus::Members &members, const std::string &self,
               const std::function<Duration(const std::string &)> &timeSinceContact)
    {
        for (auto request = joinRequests_.begin(); request != joinRequests_.end();) {
            const bool isMember = contains(members, request->first);
            const bool expired = now - request->second.receivedAt > JoinRequestLifetime;
            request = isMember || expired ? joinRequests_.erase(request) : std::next(request);
        }
        for (const auto &[replicaId, request] : joinRequests_) {
            const consensus::MemberInfo *replaced =
                findByAddress(members, request.member.peerAddress);
            if (replaced != nullptr) {
                return RemoveReplica { replaced->replicaId,
                                       "another replica has joined at its address" };
            }
            return AddReplica { request.member };
        }
        if (members.size() > groupSize_) {
            for (const consensus::MemberInfo &member : members) {
                if (member.replicaId != self
                    && timeSinceContact(member.replicaId) > RemoveUnresponsiveAfter) {
                    return RemoveReplica {
                        member.replicaId, "unresponsive, and the group exceeds its configured size"
                    };
                }
            }
        }
        return std::nullopt;
    }

private:
    struct JoinRequest
    {
        consensus::MemberInfo member;
        Instant receivedAt;
    };

    static bool contains(const consensus::Members &members, const std::string &replicaId)
    {
        for (const consensus::MemberInfo &member : members) {
            if (member.replicaId == replicaId) {
                return true;
            }
        }
        return false;
    }

    static const consensus::MemberInfo *findByAddress(const consensus::Members &members,
                                                      const std::string &address)
    {
        for (const consensus::MemberInfo &member : members) {
            if (member.peerAddress == address) {
                return &member;
            }
        }
        return nullptr;
    }

    std::size_t groupSize_;
    std::map<std::string, JoinRequest> joinRequests_;
};

} // namespace daisyhaven::coordination

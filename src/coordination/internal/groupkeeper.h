// Decides who belongs to the control group: newcomers are taken in, a replica whose disk was lost
// gives way to the one at its address, and a silent one is taken out once the group is larger than
// it need be.
//
// The group is never made smaller than its size without losses: a silent replica may come back with
// its disk, and counting it keeps others from deciding with too few disks.
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
    std::string identity;
    std::string reason;
};
using GroupStep = std::variant<AddReplica, RemoveReplica>;

class GroupKeeper
{
public:
    // A member beyond the group's size is taken out after this silence.
    static constexpr Seconds RemoveAfterSilence { 3 };
    // A request to join is forgotten unless it is repeated.
    static constexpr Seconds JoinMemory { 2 };

    explicit GroupKeeper(std::size_t groupSize) : groupSize_(groupSize) { }

    void wantsToJoin(Instant now, const consensus::MemberInfo &member)
    {
        joining_[member.identity] = { member, now };
    }

    // Returns the next change of members, one at a time. `silenceOf` tells how long a member has
    // not been heard.
    std::optional<GroupStep> nextStep(Instant now, const consensus::Members &members,
                                      const std::string &self,
                                      const std::function<Duration(const std::string &)> &silenceOf)
    {
        for (auto joining = joining_.begin(); joining != joining_.end();) {
            const bool known = contains(members, joining->first);
            const bool forgotten = now - joining->second.askedAt > JoinMemory;
            joining = known || forgotten ? joining_.erase(joining) : std::next(joining);
        }
        for (const auto &[identity, joining] : joining_) {
            const consensus::MemberInfo *old = atAddress(members, joining.member.peerAddress);
            if (old != nullptr) {
                return RemoveReplica { old->identity, "another replica has its address" };
            }
            return AddReplica { joining.member };
        }
        if (members.size() > groupSize_) {
            for (const consensus::MemberInfo &member : members) {
                if (member.identity != self && silenceOf(member.identity) > RemoveAfterSilence) {
                    return RemoveReplica { member.identity, "silent, and replaced" };
                }
            }
        }
        return std::nullopt;
    }

private:
    struct Joining
    {
        consensus::MemberInfo member;
        Instant askedAt;
    };

    static bool contains(const consensus::Members &members, const std::string &identity)
    {
        for (const consensus::MemberInfo &member : members) {
            if (member.identity == identity) {
                return true;
            }
        }
        return false;
    }

    static const consensus::MemberInfo *atAddress(const consensus::Members &members,
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
    std::map<std::string, Joining> joining_;
};

} // namespace daisyhaven::coordination

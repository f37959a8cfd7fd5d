// Keeps the members of the control group up to date: this replica asks to join while it takes no
// part, and changes the members while it leads.
#pragma once

#include "coordination/internal/membershipcontroller.h"
#include "peer/generated/peer.pb.h"
#include "peer/peer.h"
#include "replication/replication.h"
#include "timer/timer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace daisyhaven::coordination {

class GroupMembership
{
public:
    struct Options
    {
        peer::Address ownAddress;
        // Number of members when no member is lost.
        std::size_t groupSize = 5;
    };
    struct Callbacks
    {
        // Returns whether this replica leads and is sure to be the only leader.
        std::function<bool()> isLeading;
        // Returns the addresses of all known control VMs.
        std::function<std::vector<peer::Address>()> controlAddresses;
    };

    // Registers its handler at `server`. All references must outlive this object.
    GroupMembership(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
                    replication::ReplicaRunner &runner, Options options, Callbacks callbacks);
    GroupMembership(const GroupMembership &) = delete;
    GroupMembership &operator=(const GroupMembership &) = delete;

    void start();

    // Gives this replica's place to one that waits to join, if there is one. Calls `done` once the
    // group has let it go, or after a bounded time.
    void leave(std::function<void()> done);

    // Returns the values for the metrics page, by metric name.
    std::map<std::string, double> metrics() const;

private:
    void reconcile();
    void requestToJoinIfNeeded();
    void continueLeaving();
    wire::JoinRequest makeJoinRequest() const;
    void sendToGroup(const wire::JoinRequest &request);
    wire::JoinReply handleRequest(const wire::JoinRequest &request);

    TimerService &timers_;
    peer::Server &server_;
    peer::ClientPool &clients_;
    replication::ReplicaRunner &runner_;
    Options options_;
    Callbacks callbacks_;
    MembershipController controller_;
    Instant knewLeaderAt_;
    TimerHandle reconcileTick_;
    TimerHandle joinTick_;
    Instant leaveBy_;
    std::function<void()> onLeft_; // set while this replica leaves
    bool hasLeft_ = false; // as a leader says
    TimerHandle leaveTick_;
};

} // namespace daisyhaven::coordination

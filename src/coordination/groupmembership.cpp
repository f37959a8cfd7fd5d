#include "coordination/internal/groupmembership.h"

#include "observe/observe.h"

namespace daisyhaven::coordination {

namespace {

constexpr Milliseconds ReconcilePeriod { 100 };
constexpr Milliseconds JoinPeriod { 300 };
constexpr Milliseconds JoinTimeout { 1000 };
constexpr Milliseconds LeavePeriod { 100 };
// The group lets a replica go within some periods unless it has no leader.
constexpr Milliseconds MaxLeaveTime { 1000 };

// What a log line says of a change; no replica: empty.
struct ChangeText
{
    std::string incoming; // address
    std::string outgoing; // replica ID
    std::string reason;
};

ChangeText textOf(const AddReplica &add)
{
    return { add.member.peerAddress, "", add.reason };
}

ChangeText textOf(const ReplaceReplica &replace)
{
    return { replace.incoming.peerAddress, replace.outgoing, replace.reason };
}

ChangeText textOf(const RemoveReplica &remove)
{
    return { "", remove.replicaId, remove.reason };
}

void logChange(const MembershipChange &change, std::size_t members)
{
    const ChangeText text = std::visit([](const auto &kind) { return textOf(kind); }, change);
    logEvent(Event::ControlMemberDecided,
             { { "incoming", text.incoming },
               { "outgoing", text.outgoing },
               { "reason", text.reason },
               { "members", members } });
}

} // namespace

GroupMembership::GroupMembership(TimerService &timers, peer::Server &server,
                                 peer::ClientPool &clients, replication::ReplicaRunner &runner,
                                 Options options, Callbacks callbacks)
    : timers_(timers), server_(server), clients_(clients), runner_(runner),
      options_(std::move(options)), callbacks_(std::move(callbacks)),
      controller_(options_.groupSize)
{
}

void GroupMembership::start()
{
    knewLeaderAt_ = timers_.now();
    server_.registerTypedHandler<wire::JoinRequest, wire::JoinReply>(
        peer::Method::Join, peer::Role::Vm,
        [this](const peer::Caller &, const wire::JoinRequest &request, auto respond) {
            respond(handleRequest(request));
        });
    reconcileTick_ = timers_.runEvery(ReconcilePeriod, [this] { reconcile(); });
    joinTick_ = timers_.runEvery(JoinPeriod, [this] { requestToJoinIfNeeded(); });
}

wire::JoinReply GroupMembership::handleRequest(const wire::JoinRequest &request)
{
    const wire::ReplicaMember &member = request.member();
    wire::JoinReply reply;
    if (request.leaving()) {
        controller_.recordLeaving(timers_.now(), member.identity());
        reply.set_left(callbacks_.isLeading() && hasLeft(runner_.replica(), member.identity()));
        return reply;
    }
    controller_.recordJoinRequest(timers_.now(),
                                  { member.vm(), member.identity(), member.peer_address() });
    return reply;
}

void GroupMembership::reconcile()
{
    if (runner_.replica().leader()) {
        knewLeaderAt_ = timers_.now();
    }
    if (!callbacks_.isLeading()) {
        return;
    }
    const std::size_t members = runner_.replica().members().size();
    const auto result = attempt([&] {
        return runner_.changeMembers([this](Instant now, consensus::Replica &replica) {
            return controller_.reconcile(now, replica);
        });
    });
    if (const auto *change = std::get_if<std::optional<MembershipChange>>(&result)) {
        if (*change) {
            logChange(**change, members);
        }
        return;
    }
    // VersionConflict is expected while another change is in progress; the next period retries.
    const auto &failure = std::get<Failure>(result);
    if (failure.code != ResultCode::VersionConflict) {
        logEvent(Event::ChangeRefused, { { "reason", toString(failure) } });
    }
}

void GroupMembership::requestToJoinIfNeeded()
{
    const bool leaves = onLeft_ != nullptr;
    if (!leaves && shouldRequestToJoin(timers_.now(), runner_.replica(), knewLeaderAt_)) {
        sendToGroup(makeJoinRequest());
    }
}

void GroupMembership::leave(std::function<void()> done)
{
    const Instant now = timers_.now();
    const consensus::Replica &replica = runner_.replica();
    if (!replica.isMember() || !controller_.hasUseForLeaving(now, replica.members())) {
        done();
        return;
    }
    const bool continues = onLeft_ != nullptr;
    onLeft_ = std::move(done);
    if (!continues) {
        leaveBy_ = now + MaxLeaveTime;
        leaveTick_ = timers_.runEvery(LeavePeriod, [this] { continueLeaving(); });
        continueLeaving();
    }
}

void GroupMembership::continueLeaving()
{
    const Instant now = timers_.now();
    const consensus::Replica &replica = runner_.replica();
    const bool left = hasLeft_ || hasLeft(replica, runner_.identity().replicaId);
    if (left || now >= leaveBy_) {
        leaveTick_ = TimerHandle();
        onLeft_();
        return;
    }
    controller_.recordLeaving(now, runner_.identity().replicaId);
    wire::JoinRequest request = makeJoinRequest();
    request.set_leaving(true);
    sendToGroup(request);
}

wire::JoinRequest GroupMembership::makeJoinRequest() const
{
    wire::JoinRequest request;
    *request.mutable_member() =
        replication::toWire({ options_.ownAddress.toString(), runner_.identity().replicaId,
                              options_.ownAddress.toString() });
    return request;
}

void GroupMembership::sendToGroup(const wire::JoinRequest &request)
{
    for (const peer::Address &address : callbacks_.controlAddresses()) {
        if (address != options_.ownAddress) {
            clients_.call<wire::JoinReply>(address, peer::Method::Join, request, JoinTimeout,
                                           [this](const peer::CallResult<wire::JoinReply> &result) {
                                               const auto *reply =
                                                   std::get_if<wire::JoinReply>(&result);
                                               hasLeft_ =
                                                   hasLeft_ || (reply != nullptr && reply->left());
                                           });
        }
    }
}

std::map<std::string, double> GroupMembership::metrics() const
{
    const consensus::Replica &replica = runner_.replica();
    double silent = 0;
    for (const consensus::MemberInfo &member : replica.members()) {
        silent +=
            runner_.timeSinceContact(member.replicaId) > MembershipController::MaxSilence ? 1 : 0;
    }
    return {
        { "daisyhaven_control_members", static_cast<double>(replica.members().size()) },
        { "daisyhaven_control_members_silent", silent },
        { "daisyhaven_control_join_requests", static_cast<double>(controller_.waitingCount()) },
        { "daisyhaven_control_membership_index", static_cast<double>(replica.membershipIndex()) }
    };
}

} // namespace daisyhaven::coordination

#include "coordination/coordination.h"

#include "peer/generated/peer.pb.h"

namespace daisyhaven::coordination {

namespace {

// Longer than the time for which the leader holds a view request open.
constexpr Milliseconds ForwardedViewTimeout { 1000 };
// Covers the delivery of a response that the leader sends at the deadline of the request.
constexpr Milliseconds SlotResponseMargin { 200 };
constexpr Milliseconds ForwardedReleaseTimeout { 2000 };
constexpr Milliseconds ForwardedChunkTimeout { 1000 };
// Bounds the processor time that this VM spends on the calls of others.
constexpr std::size_t MaxServedVms = 24;
// A VM without a view request for this long has found another way to the leader.
constexpr Seconds ServedVmLifetime { 2 };

} // namespace

class LeaderRelay::Impl
{
public:
    Impl(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
         const LeaderClient &leader)
        : timers_(timers), clients_(clients), leader_(leader)
    {
        using peer::Caller;
        using peer::Method;
        using peer::Role;
        server.registerTypedHandler<wire::FleetViewRequest, wire::FleetViewReply>(
            Method::FleetView, Role::Vm,
            [this](const Caller &, const wire::FleetViewRequest &request, auto respond) {
                forwardViewRequest(request, respond);
            });
        server.registerTypedHandler<wire::SlotQuestion, wire::SlotAnswer>(
            Method::AcquireSlot, Role::Vm,
            [this](const Caller &, const wire::SlotQuestion &request, auto respond) {
                const Duration timeout = Milliseconds(request.deadline_ms()) + SlotResponseMargin;
                forward<wire::SlotAnswer>(Method::AcquireSlot, request, timeout, respond);
            });
        server.registerTypedHandler<wire::DocumentRequest, wire::DocumentChunk>(
            Method::DownloadDocument, Role::Vm,
            [this](const Caller &, const wire::DocumentRequest &request, auto respond) {
                forward<wire::DocumentChunk>(Method::DownloadDocument, request,
                                             ForwardedChunkTimeout, respond);
            });
        server.registerTypedHandler<wire::SlotRelease, wire::Empty>(
            Method::ReleaseSlot, Role::Vm,
            [this](const Caller &, const wire::SlotRelease &release, auto respond) {
                forward<wire::Empty>(Method::ReleaseSlot, release, ForwardedReleaseTimeout,
                                     respond);
            });
    }

private:
    template <class Message>
    using TypedResponder = std::function<void(std::variant<Message, Failure>)>;

    // Returns the leader if this VM reaches it directly.
    std::optional<peer::Address> directLeader() const
    {
        const bool direct = leader_.hasLeader() && !leader_.usesRelay();
        return direct ? leader_.leader() : std::nullopt;
    }

    template <class Message>
    void forward(peer::Method method, const google::protobuf::MessageLite &request,
                 Duration timeout, const TypedResponder<Message> &respond)
    {
        const auto leader = directLeader();
        if (!leader) {
            respond(Failure { ResultCode::NotLeader, "this VM does not reach the leader" });
            return;
        }
        clients_.call<Message>(
            *leader, method, request, timeout,
            [respond](const peer::CallResult<Message> &result) { respond(result); });
    }

    void forwardViewRequest(const wire::FleetViewRequest &request,
                            const TypedResponder<wire::FleetViewReply> &respond)
    {
        if (!directLeader() || !canServe(request.vm())) {
            respond(makeReferral());
            return;
        }
        if (request.relay_probe()) {
            wire::FleetViewReply reply;
            reply.set_can_relay(true);
            respond(reply);
            return;
        }
        lastViewRequestByVm_[request.vm()] = timers_.now();
        wire::FleetViewRequest forwarded = request;
        forwarded.set_relayed(true);
        forward<wire::FleetViewReply>(peer::Method::FleetView, forwarded, ForwardedViewTimeout,
                                      respond);
    }

    // Names the relay that this VM uses itself, if any.
    wire::FleetViewReply makeReferral() const
    {
        wire::FleetViewReply reply;
        reply.set_leader(false);
        if (leader_.hasLeader() && leader_.usesRelay()) {
            reply.add_relays(leader_.leader()->toString());
        }
        return reply;
    }

    bool canServe(const std::string &vm)
    {
        const Instant now = timers_.now();
        for (auto served = lastViewRequestByVm_.begin(); served != lastViewRequestByVm_.end();) {
            const bool expired = now - served->second > ServedVmLifetime;
            served = expired ? lastViewRequestByVm_.erase(served) : std::next(served);
        }
        const bool known = lastViewRequestByVm_.count(vm) != 0;
        return known || lastViewRequestByVm_.size() < MaxServedVms;
    }

    TimerService &timers_;
    peer::ClientPool &clients_;
    const LeaderClient &leader_;
    std::map<std::string, Instant> lastViewRequestByVm_;
};

LeaderRelay::LeaderRelay(TimerService &timers, peer::Server &server, peer::ClientPool &clients,
                         const LeaderClient &leader)
    : impl_(std::make_unique<Impl>(timers, server, clients, leader))
{
}

LeaderRelay::~LeaderRelay() = default;

} // namespace daisyhaven::coordination

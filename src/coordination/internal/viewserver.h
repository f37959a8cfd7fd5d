// Answers the view requests of VMs. While this replica leads, a request is held open until
// something that its VM does not hold changes, or for a bounded time (long polling). Otherwise it
// is answered with the address of the leader, once one is known.
#pragma once

#include "coordination/coordination.h"
#include "coordination/internal/completeviewcache.h"
#include "coordination/internal/durablestate.h"
#include "coordination/internal/viewchangelog.h"
#include "coordination/internal/vmregistry.h"
#include "peer/generated/peer.pb.h"

#include <functional>
#include <list>
#include <random>
#include <string>

namespace daisyhaven::coordination {

class ViewServer
{
public:
    // What views are made of.
    struct Sources
    {
        const DurableState &state;
        const directory::Directory &directory;
        const replication::ReplicaRunner &runner;
        const VmRegistry &entryVms;
    };

    // The sources must outlive this object. `leaderRedirect` names the leader if it is another
    // replica.
    ViewServer(Sources sources, std::function<LeaderRedirect()> leaderRedirect);
    ViewServer(const ViewServer &) = delete;
    ViewServer &operator=(const ViewServer &) = delete;

    // `scheduler` must outlive this until stopLeading(), which answers all requests.
    void startLeading(const scheduler::Scheduler &scheduler);
    void stopLeading();

    // Record that a server has changed, or what was found of it, or that it was removed. Findings
    // wait for the next response: VMs use them only without a leader.
    void recordServerChange(const std::string &id);
    void recordFinding(const std::string &id);
    void recordServerRemoval(const std::string &id);

    // Answers a request at once or holds it open. Call only while leading.
    void answer(Instant now, const wire::FleetViewRequest &request, const peer::Responder &respond);
    void answerWithoutLeading(Instant now, const wire::FleetViewRequest &request,
                              const peer::Responder &respond);

    // Makes requests outdated that don't hold the latest changes of servers, at most once a period.
    void publishServers(Instant now);
    // Answers the requests that are outdated or due. Call only while leading.
    void respondToWaiting(Instant now);
    // Answers requests that arrived while there was no leader, as soon as one is known.
    void respondWithoutLeading(Instant now);

private:
    // A view request that is held open until the view changes or `respondBy` has passed.
    struct WaitingRequest
    {
        std::string vm;
        bool wantsRelays = false;
        bool relayed = false;
        bool downloadsDocuments = false;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::uint64_t documentIndex = 0;
        Instant respondBy;
        peer::Responder respond;
    };

    static WaitingRequest makeWaitingRequest(Instant now, const wire::FleetViewRequest &request,
                                             const peer::Responder &respond);
    bool isOutdated(const WaitingRequest &waiting) const;
    void addState(const WaitingRequest &waiting, wire::FleetViewReply *reply) const;
    void addMembers(wire::FleetViewReply *reply) const;
    void addRelays(Instant now, const std::string &vm, wire::FleetViewReply *reply);
    void addChangedServers(Instant now, std::uint64_t since, wire::FleetViewReply *reply) const;
    void addRemovedServers(std::uint64_t since, wire::FleetViewReply *reply) const;
    // Return encoded FleetViewReplies; the first of a replica that doesn't lead.
    std::string encodeRedirectView(const WaitingRequest &waiting) const;
    std::string encodeView(Instant now, const WaitingRequest &waiting);
    EncodedServers encodeAllServers(Instant now) const;

    Sources sources_;
    std::function<LeaderRedirect()> leaderRedirect_;
    // Null while this replica does not lead.
    const scheduler::Scheduler *scheduler_ = nullptr;
    std::list<WaitingRequest> waiting_;
    ViewChangeLog changes_;
    CompleteViewCache completeViews_;
    std::mt19937_64 random_ { std::random_device {}() };
    // Servers changed after `publishedSequence_`, up to which every VM is told at once.
    bool serversChanged_ = false;
    Instant serversPublishedAt_;
    std::uint64_t publishedSequence_ = 0;
};

} // namespace daisyhaven::coordination

#include "coordination/internal/viewserver.h"

#include "coordination/internal/viewcodec.h"

#include <utility>

namespace daisyhaven::coordination {

namespace {

// Time for which a request is held open while nothing changes. Replies that are delayed on a busy
// link must still arrive within LeaderTimeout.
constexpr Milliseconds LongPollTimeout { 250 };
// Changes of servers are published in batches, at most one per period.
constexpr Milliseconds ServerPublishPeriod { 100 };

} // namespace

ViewServer::ViewServer(Sources sources, std::function<LeaderRedirect()> leaderRedirect)
    : sources_(sources), leaderRedirect_(std::move(leaderRedirect))
{
}

void ViewServer::startLeading(const scheduler::Scheduler &scheduler)
{
    scheduler_ = &scheduler;
    changes_ = ViewChangeLog();
    publishedSequence_ = 0;
}

void ViewServer::stopLeading()
{
    scheduler_ = nullptr;
    std::list<WaitingRequest> requests;
    requests.swap(waiting_);
    for (const WaitingRequest &waiting : requests) {
        waiting.respond(encodeRedirectView(waiting));
    }
}

void ViewServer::recordServerChange(const std::string &id)
{
    changes_.recordChange(id);
    serversChanged_ = true;
}

void ViewServer::recordFinding(const std::string &id)
{
    changes_.recordChange(id);
}

void ViewServer::recordServerRemoval(const std::string &id)
{
    changes_.recordRemoval(id);
    serversChanged_ = true;
}

ViewServer::WaitingRequest ViewServer::makeWaitingRequest(Instant now,
                                                          const wire::FleetViewRequest &request,
                                                          const peer::Responder &respond)
{
    return { request.vm(),
             request.wants_relays(),
             request.relayed(),
             request.downloads_documents(),
             request.epoch(),
             request.sequence(),
             request.document_index(),
             now + LongPollTimeout,
             respond };
}

void ViewServer::answer(Instant now, const wire::FleetViewRequest &request,
                        const peer::Responder &respond)
{
    WaitingRequest waiting = makeWaitingRequest(now, request, respond);
    const bool isUrgent = request.disconnected() && request.wants_relays();
    if (isOutdated(waiting) || isUrgent) {
        waiting.respond(encodeView(now, waiting));
        return;
    }
    waiting_.push_back(std::move(waiting));
}

void ViewServer::answerWithoutLeading(Instant now, const wire::FleetViewRequest &request,
                                      const peer::Responder &respond)
{
    WaitingRequest waiting = makeWaitingRequest(now, request, respond);
    const bool hasNews = waiting.documentIndex < sources_.state.lastChangeIndex();
    if (leaderRedirect_().leader || hasNews) {
        waiting.respond(encodeRedirectView(waiting));
        return;
    }
    waiting_.push_back(std::move(waiting));
}

void ViewServer::publishServers(Instant now)
{
    if (serversChanged_ && now - serversPublishedAt_ >= ServerPublishPeriod) {
        serversChanged_ = false;
        serversPublishedAt_ = now;
        publishedSequence_ = changes_.sequence();
    }
}

bool ViewServer::isOutdated(const WaitingRequest &waiting) const
{
    const bool needsServers =
        waiting.epoch != scheduler_->epoch() || waiting.sequence < publishedSequence_;
    return (needsServers && !waiting.relayed)
        || waiting.documentIndex < sources_.state.lastChangeIndex();
}

// Adds the version, the zones out of service and the roll-outs, which may be ordered before the
// first configuration, and the document for a VM of an earlier release.
void ViewServer::addState(const WaitingRequest &waiting, wire::FleetViewReply *reply) const
{
    if (waiting.documentIndex < sources_.state.lastChangeIndex()) {
        reply->set_has_document(true);
        reply->set_document_index(sources_.state.lastChangeIndex());
        *reply->mutable_state() = sources_.state.toViewState(!waiting.downloadsDocuments);
    }
}

std::string ViewServer::encodeRedirectView(const WaitingRequest &waiting) const
{
    wire::FleetViewReply reply;
    reply.set_leader(false);
    if (const auto leader = leaderRedirect_().leader) {
        reply.set_leader_address(leader->toString());
    }
    addMembers(&reply);
    addState(waiting, &reply);
    return reply.SerializeAsString();
}

void ViewServer::addMembers(wire::FleetViewReply *reply) const
{
    for (const consensus::MemberInfo &member : sources_.runner.replica().members()) {
        reply->add_members(member.peerAddress);
    }
}

std::string ViewServer::encodeView(Instant now, const WaitingRequest &waiting)
{
    wire::FleetViewReply reply;
    reply.set_leader(true);
    reply.set_epoch(scheduler_->epoch());
    reply.set_sequence(changes_.sequence());
    reply.set_entry_vms(static_cast<std::uint32_t>(sources_.entryVms.size()));
    addLoadSummary(now, *scheduler_, &reply);
    if (waiting.wantsRelays) {
        addRelays(now, waiting.vm, &reply);
    }
    addState(waiting, &reply);
    if (waiting.relayed) {
        reply.set_servers_omitted(true);
        return reply.SerializeAsString();
    }
    const bool incremental =
        waiting.epoch == scheduler_->epoch() && changes_.covers(waiting.sequence);
    if (incremental) {
        addChangedServers(now, waiting.sequence, &reply);
        addRemovedServers(waiting.sequence, &reply);
        return reply.SerializeAsString();
    }
    addMembers(&reply);
    const EncodedServers &servers =
        completeViews_.get(now, scheduler_->epoch(), [&] { return encodeAllServers(now); });
    reply.set_complete(true);
    reply.set_sequence(servers.sequence);
    // The concatenation of two encoded messages is the encoding of the merged message.
    return reply.SerializeAsString() + servers.bytes;
}

EncodedServers ViewServer::encodeAllServers(Instant now) const
{
    wire::FleetViewReply reply;
    addChangedServers(now, 0, &reply);
    return { changes_.sequence(), reply.SerializeAsString() };
}

void ViewServer::addRelays(Instant now, const std::string &vm, wire::FleetViewReply *reply)
{
    for (std::string &relay : sources_.entryVms.pickRelays(now, vm, random_)) {
        reply->add_relays(std::move(relay));
    }
    for (const RequestRelay &relay : sources_.entryVms.pickRequestRelays(now, vm, random_)) {
        wire::RequestRelay *named = reply->add_request_relays();
        named->set_address(relay.address);
        named->set_availability_zone(relay.zone);
    }
}

// Adds the servers that changed after sequence number `since`.
void ViewServer::addChangedServers(Instant now, std::uint64_t since,
                                   wire::FleetViewReply *reply) const
{
    for (const std::string &id : changes_.changedSince(since)) {
        const directory::ServerEntry *entry = sources_.directory.find(id);
        if (entry != nullptr) {
            scheduler::KnownServer server = toKnownServer(*entry, scheduler_->isSuspected(id));
            server.requestsPerSecond = scheduler_->requestLimit(id);
            *reply->add_changed() = toWire(now, server);
        }
    }
}

void ViewServer::addRemovedServers(std::uint64_t since, wire::FleetViewReply *reply) const
{
    for (const std::string &id : changes_.removedSince(since)) {
        reply->add_removed(id);
    }
}

void ViewServer::respondToWaiting(Instant now)
{
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        if (now < waiting->respondBy && !isOutdated(*waiting)) {
            ++waiting;
            continue;
        }
        waiting->respond(encodeView(now, *waiting));
        waiting = waiting_.erase(waiting);
    }
}

void ViewServer::respondWithoutLeading(Instant now)
{
    const bool leaderKnown = leaderRedirect_().leader.has_value();
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        if (!leaderKnown && now < waiting->respondBy) {
            ++waiting;
            continue;
        }
        waiting->respond(encodeRedirectView(*waiting));
        waiting = waiting_.erase(waiting);
    }
}

} // namespace daisyhaven::coordination

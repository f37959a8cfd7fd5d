#include "entry/internal/dispatchtask.h"

#include "dispatch/dispatch.h"
#include "peer/generated/peer.pb.h"

#include <algorithm>

namespace daisyhaven::entry {

namespace {

constexpr Milliseconds TickPeriod { 20 };
constexpr Milliseconds SummaryPeriod { 100 };
constexpr Milliseconds SummaryTimeout { 500 };
constexpr Milliseconds GatherTimeout { 1000 };
constexpr Milliseconds GatherRetryPeriod { 500 };
// Maximum wait for the dispatchers of the other availability zones to record a crash.
constexpr Milliseconds CrashShareTimeout { 500 };

using AcquireResponder = std::function<void(std::variant<wire::AcquireReply, Failure>)>;

dispatch::Announcement fromWire(const wire::Announcement &message)
{
    dispatch::Announcement announcement;
    announcement.address = message.address();
    announcement.slots = message.slots();
    announcement.maxConnections = message.connections();
    announcement.incarnation = message.incarnation();
    announcement.load = message.load();
    announcement.state = message.state() == "cold" ? dispatch::ServerState::WarmingUp
        : message.state() == "draining"            ? dispatch::ServerState::Draining
                                                   : dispatch::ServerState::Ready;
    return announcement;
}

dispatch::SlotRequest fromWire(const wire::AcquireRequest &message)
{
    dispatch::SlotRequest request;
    request.id = { message.vm(), message.vm_incarnation(), message.request() };
    request.team = message.team();
    request.weight = message.weight();
    request.priority = static_cast<std::uint8_t>(std::min<std::uint32_t>(message.priority(), 2));
    request.idempotent = message.repeatable();
    request.route = message.route();
    request.fingerprint = message.fingerprint();
    request.deadline = Milliseconds(message.deadline_ms());
    request.maxWait = Milliseconds(message.wait_ms());
    request.spilled = message.spilled();
    request.retry = message.retry();
    request.excludedServers.insert(message.avoid().begin(), message.avoid().end());
    return request;
}

wire::ZoneSummary toWire(const std::string &service, const dispatch::ZoneSummary &summary,
                         const std::vector<dispatch::CrashRecord> &crashes)
{
    wire::ZoneSummary message;
    message.set_service(service);
    message.set_availability_zone(summary.zone);
    message.set_term(summary.term);
    message.set_known(summary.knownServers);
    message.set_available(summary.availableServers);
    message.set_free_slots(summary.availableSlots);
    message.set_waiting(summary.queuedRequests);
    for (const std::string &address : summary.ejectedServers) {
        message.add_ejected(address);
    }
    for (const std::string &address : summary.ejectionCandidates) {
        message.add_wants_ejected(address);
    }
    for (const dispatch::CrashRecord &record : crashes) {
        auto *crash = message.add_crashes();
        crash->set_fingerprint(record.fingerprint);
        crash->set_server(record.server);
        crash->set_server_incarnation(record.serverIncarnation);
    }
    return message;
}

dispatch::ZoneSummary fromWire(const wire::ZoneSummary &message)
{
    dispatch::ZoneSummary summary;
    summary.zone = message.availability_zone();
    summary.term = message.term();
    summary.knownServers = message.known();
    summary.availableServers = message.available();
    summary.availableSlots = message.free_slots();
    summary.queuedRequests = message.waiting();
    summary.ejectedServers.assign(message.ejected().begin(), message.ejected().end());
    summary.ejectionCandidates.assign(message.wants_ejected().begin(),
                                      message.wants_ejected().end());
    return summary;
}

std::vector<dispatch::CrashRecord> crashesOf(const wire::ZoneSummary &message)
{
    std::vector<dispatch::CrashRecord> records;
    for (const wire::CrashRecord &crash : message.crashes()) {
        records.push_back({ crash.fingerprint(), crash.server(), crash.server_incarnation() });
    }
    return records;
}

} // namespace

class DispatchTask::Impl
{
public:
    explicit Impl(Context &context) : context_(context)
    {
        context_.fleet.onLeaseChange(
            [this](const std::string &key, std::optional<std::uint64_t> term) {
                onLeaseChanged(key, term);
            });
        context_.fleet.onConfigurationChange([this] { onConfigurationChanged(); });
        registerHandlers();
        tickTimer_ = context_.timers.runEvery(TickPeriod, [this] { tick(); });
        summaryTimer_ = context_.timers.runEvery(SummaryPeriod, [this] { exchangeSummaries(); });
        gatherTimer_ = context_.timers.runEvery(GatherRetryPeriod, [this] { retryGather(); });
    }

private:
    struct HostedDispatcher
    {
        std::string key;
        std::string service;
        std::string zone;
        std::uint64_t term = 0;
        std::unique_ptr<dispatch::Dispatcher> dispatcher;
        std::map<dispatch::AttemptId, AcquireResponder> pendingResponses;
        std::map<std::string, dispatch::ZoneSummary> otherZones;
        std::set<std::string> vmsToGather; // VMs whose held slots are not known yet
        bool isExchanging = false;
    };

    Instant now() const { return context_.timers.now(); }

    // ---- leases and configuration ----

    void onLeaseChanged(const std::string &key, std::optional<std::uint64_t> term)
    {
        if (key.rfind("floor:", 0) == 0) {
            onBudgetLeaseChanged(key.substr(std::string("floor:").size()), term.has_value());
            return;
        }
        if (key.rfind("dispatch:", 0) != 0) {
            return;
        }
        stopHosting(key);
        if (term) {
            startHosting(key, *term);
        }
    }

    void onBudgetLeaseChanged(const std::string &service, bool held)
    {
        const auto declared = context_.fleet.configuration().findService(service);
        if (!held || !declared) {
            budgets_.erase(service);
            return;
        }
        budgets_.insert_or_assign(service, dispatch::EjectionBudget(declared->floor, now()));
    }

    void stopHosting(const std::string &key)
    {
        auto node = hostedDispatchers_.extract(key);
        if (node.empty()) {
            return;
        }
        for (auto &[id, respond] : node.mapped().pendingResponses) {
            respond(Failure { ResultCode::LeaseNotHeld, key });
        }
    }

    void startHosting(const std::string &key, std::uint64_t term)
    {
        const std::size_t first = key.find(':');
        const std::size_t second = key.rfind(':');
        HostedDispatcher &hosted = hostedDispatchers_[key];
        hosted.key = key;
        hosted.service = key.substr(first + 1, second - first - 1);
        hosted.zone = key.substr(second + 1);
        hosted.term = term;
        hosted.dispatcher = std::make_unique<dispatch::Dispatcher>(optionsFor(hosted), term, now());
        applyConfiguration(hosted);
        startGather(hosted);
    }

    dispatch::Options optionsFor(const HostedDispatcher &hosted) const
    {
        dispatch::Options options;
        options.zone = hosted.zone;
        const auto service = context_.fleet.configuration().findService(hosted.service);
        if (!service) {
            return options;
        }
        options.coldStartSlots = service->coldStartInitialSlots;
        options.coldStartDuration = Milliseconds(service->coldStartDurationMs);
        for (const configuration::Route &route : service->routes) {
            options.longestDeadline =
                std::max<Duration>(options.longestDeadline, Milliseconds(route.deadlineMs));
        }
        return options;
    }

    void applyConfiguration(HostedDispatcher &hosted)
    {
        hosted.dispatcher->setOptions(optionsFor(hosted));
        hosted.dispatcher->setZoneOutOfService(
            now(), context_.fleet.configuration().isZoneOutOfService(hosted.zone));
        hosted.dispatcher->setEntryVmCount(context_.fleet.liveMembers().size());
    }

    void onConfigurationChanged()
    {
        for (auto &[key, hosted] : hostedDispatchers_) {
            applyConfiguration(hosted);
        }
        for (auto &[name, budget] : budgets_) {
            if (const auto service = context_.fleet.configuration().findService(name)) {
                budget.setFloor(service->floor);
            }
        }
    }

    // ---- take-over ----

    void startGather(HostedDispatcher &hosted)
    {
        std::vector<dispatch::PossibleHolder> holders;
        for (const membership::MemberStatus &row : context_.fleet.knownMembers()) {
            holders.push_back({ row.member.vm, row.member.incarnation, row.timeSinceHeartbeat });
            hosted.vmsToGather.insert(row.member.vm);
        }
        hosted.dispatcher->startTakeover(now(), holders);
        for (const std::string &vm : std::set<std::string>(hosted.vmsToGather)) {
            requestHeldSlots(hosted.key, vm);
        }
    }

    void retryGather()
    {
        for (auto &[key, hosted] : hostedDispatchers_) {
            for (const std::string &vm : std::set<std::string>(hosted.vmsToGather)) {
                requestHeldSlots(key, vm);
            }
        }
    }

    void requestHeldSlots(const std::string &key, const std::string &vm)
    {
        const auto address = context_.fleet.addressOf(vm);
        HostedDispatcher &hosted = hostedDispatchers_.at(key);
        if (!address) {
            return;
        }
        wire::GatherRequest request;
        request.set_service(hosted.service);
        request.set_availability_zone(hosted.zone);
        request.set_term(hosted.term);
        const std::uint64_t term = hosted.term;
        context_.clients.call<wire::GatherReply>(
            *address, peer::Method::GatherHeldSlots, request, GatherTimeout,
            [this, key, term, vm](peer::CallResult<wire::GatherReply> result) {
                HostedDispatcher *target = findHosted(key, term);
                const auto *reply = std::get_if<wire::GatherReply>(&result);
                if (target != nullptr && reply != nullptr) {
                    handleGatherReply(*target, vm, *reply);
                }
            });
    }

    void handleGatherReply(HostedDispatcher &hosted, const std::string &vm,
                           const wire::GatherReply &reply)
    {
        hosted.vmsToGather.erase(vm);
        std::vector<dispatch::HeldSlot> held;
        for (const wire::HeldSlot &slot : reply.held()) {
            held.push_back({ slot.slot(), slot.address(), Milliseconds(slot.remaining_ms()),
                             slot.fingerprint(), slot.route() });
        }
        hosted.dispatcher->recordHeldSlots(now(), vm, reply.vm_incarnation(), held,
                                           reply.slots_per_vm());
        executeActions(hosted);
    }

    HostedDispatcher *findHosted(const std::string &key, std::uint64_t term)
    {
        const auto found = hostedDispatchers_.find(key);
        const bool isSameTerm = found != hostedDispatchers_.end() && found->second.term == term;
        return isSameTerm ? &found->second : nullptr;
    }

    // Returns the dispatcher of `service` in `zone` if this VM holds its lease now.
    HostedDispatcher *findWithValidLease(const std::string &service, const std::string &zone)
    {
        const std::string key = fleet::dispatchLeaseKey(service, zone);
        const auto term = context_.fleet.heldLeaseTerm(key);
        return term ? findHosted(key, *term) : nullptr;
    }

    // ---- messages ----

    void registerHandlers()
    {
        using peer::Caller;
        using peer::Method;
        using peer::Role;
        context_.server.registerTypedHandler<wire::Announcement, wire::Empty>(
            Method::Announce, Role::Vm,
            [this](const Caller &, const wire::Announcement &message, auto respond) {
                respond(handleAnnouncement(message));
            });
        context_.server.registerTypedHandler<wire::AcquireRequest, wire::AcquireReply>(
            Method::Acquire, Role::Vm,
            [this](const Caller &, const wire::AcquireRequest &message, auto respond) {
                handleAcquire(message, respond);
            });
        context_.server.registerTypedHandler<wire::ReleaseRequest, wire::Empty>(
            Method::Release, Role::Vm,
            [this](const Caller &, const wire::ReleaseRequest &message, auto respond) {
                handleRelease(message, respond);
            });
        context_.server.registerTypedHandler<wire::ZoneSummary, wire::SummaryReply>(
            Method::ExchangeZoneSummaries, Role::Vm,
            [this](const Caller &, const wire::ZoneSummary &message, auto respond) {
                respond(handleSummary(message));
            });
        context_.server.registerTypedHandler<wire::Empty, wire::SummariesReply>(
            Method::ListZoneSummaries, Role::Vm,
            [this](const Caller &, const wire::Empty &, auto respond) {
                respond(currentSummaries());
            });
    }

    std::variant<wire::Empty, Failure> handleAnnouncement(const wire::Announcement &message)
    {
        HostedDispatcher *hosted =
            findWithValidLease(message.service(), message.availability_zone());
        if (hosted == nullptr) {
            return Failure { ResultCode::LeaseNotHeld, message.service() };
        }
        hosted->dispatcher->handleAnnouncement(now(), fromWire(message),
                                               Milliseconds(message.age_ms()));
        executeActions(*hosted);
        return wire::Empty {};
    }

    void handleAcquire(const wire::AcquireRequest &message, const AcquireResponder &respond)
    {
        HostedDispatcher *hosted =
            findWithValidLease(message.service(), message.availability_zone());
        if (hosted == nullptr) {
            respond(Failure { ResultCode::LeaseNotHeld, message.service() });
            return;
        }
        dispatch::SlotRequest request = fromWire(message);
        hosted->pendingResponses[request.id] = respond;
        hosted->dispatcher->acquire(now(), std::move(request));
        executeActions(*hosted);
    }

    void handleRelease(const wire::ReleaseRequest &message,
                       const std::function<void(std::variant<wire::Empty, Failure>)> &respond)
    {
        HostedDispatcher *hosted =
            findWithValidLease(message.service(), message.availability_zone());
        if (hosted == nullptr) {
            respond(Failure { ResultCode::LeaseNotHeld, message.service() });
            return;
        }
        const Duration latency(message.latency_us());
        const auto outcome = static_cast<health::Outcome>(std::min<std::uint32_t>(
            message.outcome(), static_cast<std::uint32_t>(health::Outcome::Truncated)));
        if (message.withdraw()) {
            const dispatch::AttemptId id { message.vm(), message.vm_incarnation(),
                                           message.request() };
            hosted->dispatcher->cancel(now(), id);
            hosted->pendingResponses.erase(id);
        } else if (message.overdue()) {
            hosted->dispatcher->recordOverdue(now(), message.slot(), latency);
        } else {
            hosted->dispatcher->release(now(), message.slot(), outcome, latency);
        }
        executeActions(*hosted);
        const bool crash =
            !message.withdraw() && !message.overdue() && outcome == health::Outcome::ConnectionLost;
        if (crash) {
            shareCrash(*hosted, respond);
        } else {
            respond(wire::Empty {});
        }
    }

    // Responds only after every other zone's dispatcher has recorded the crash or the call has
    // timed out. Otherwise the same request could crash a third backend server through another
    // zone.
    void shareCrash(HostedDispatcher &hosted,
                    const std::function<void(std::variant<wire::Empty, Failure>)> &respond)
    {
        struct Round
        {
            std::size_t outstanding = 1;
        };
        auto round = std::make_shared<Round>();
        const auto finishCall = [round, respond] {
            if (--round->outstanding == 0) {
                respond(wire::Empty {});
            }
        };
        const wire::ZoneSummary summary = toWire(hosted.service, hosted.dispatcher->summary(now()),
                                                 hosted.dispatcher->crashRecords());
        for (const peer::Address &address : otherDispatchers(hosted)) {
            ++round->outstanding;
            context_.clients.call<wire::SummaryReply>(
                address, peer::Method::ExchangeZoneSummaries, summary, CrashShareTimeout,
                [finishCall](const peer::CallResult<wire::SummaryReply> &) { finishCall(); });
        }
        for (auto &[key, other] : hostedDispatchers_) {
            if (other.service == hosted.service && key != hosted.key) {
                other.dispatcher->mergeCrashRecords(now(), hosted.dispatcher->crashRecords());
            }
        }
        finishCall();
    }

    std::vector<peer::Address> otherDispatchers(const HostedDispatcher &hosted) const
    {
        std::vector<peer::Address> addresses;
        for (const std::string &zone : context_.fleet.knownZones()) {
            const auto target =
                context_.fleet.leaseHolder(fleet::dispatchLeaseKey(hosted.service, zone));
            const bool isRemote = target && target->vm != context_.fleet.vmId();
            const bool alreadyAdded = isRemote
                && std::find(addresses.begin(), addresses.end(), target->address)
                    != addresses.end();
            if (isRemote && !alreadyAdded) {
                addresses.push_back(target->address);
            }
        }
        return addresses;
    }

    wire::SummariesReply currentSummaries()
    {
        wire::SummariesReply reply;
        for (auto &[key, hosted] : hostedDispatchers_) {
            if (findWithValidLease(hosted.service, hosted.zone) != nullptr) {
                *reply.add_zones() = toWire(hosted.service, hosted.dispatcher->summary(now()), {});
            }
        }
        return reply;
    }

    // ---- summaries ----

    std::variant<wire::SummaryReply, Failure> handleSummary(const wire::ZoneSummary &message)
    {
        wire::SummaryReply reply;
        const dispatch::ZoneSummary summary = fromWire(message);
        for (auto &[key, hosted] : hostedDispatchers_) {
            if (hosted.service != message.service()) {
                continue;
            }
            hosted.dispatcher->mergeCrashRecords(now(), crashesOf(message));
            if (hosted.zone != summary.zone) {
                *reply.add_zones() = toWire(hosted.service, hosted.dispatcher->summary(now()),
                                            hosted.dispatcher->crashRecords());
            }
        }
        const auto budget = budgets_.find(message.service());
        const bool holdsBudget =
            context_.fleet.heldLeaseTerm(fleet::floorLeaseKey(message.service())).has_value();
        if (budget != budgets_.end() && holdsBudget) {
            const auto permits = budget->second.recordSummary(now(), summary);
            reply.set_has_permits(true);
            for (const std::string &address : permits.mayEject) {
                reply.add_may_eject(address);
            }
            for (const std::string &address : permits.mustReadmit) {
                reply.add_must_readmit(address);
            }
        }
        return reply;
    }

    // Sends each hosted zone's summary to the other zones and the ejection budget. A zone starts a
    // round only after its previous round is complete.
    void exchangeSummaries()
    {
        for (auto &[key, hosted] : hostedDispatchers_) {
            if (!hosted.isExchanging
                && findWithValidLease(hosted.service, hosted.zone) != nullptr) {
                exchangeSummary(hosted);
            }
        }
    }

    void exchangeSummary(HostedDispatcher &hosted)
    {
        std::vector<peer::Address> addresses = otherDispatchers(hosted);
        const auto budget = context_.fleet.leaseHolder(fleet::floorLeaseKey(hosted.service));
        const bool listed = budget
            && std::find(addresses.begin(), addresses.end(), budget->address) != addresses.end();
        if (budget && !listed) {
            addresses.push_back(budget->address);
        }
        for (auto &[key, other] : hostedDispatchers_) {
            if (other.service == hosted.service && key != hosted.key) {
                hosted.otherZones[other.zone] = other.dispatcher->summary(now());
            }
        }
        if (addresses.empty()) {
            mergeOtherZones(hosted);
            return;
        }
        hosted.isExchanging = true;
        auto outstanding = std::make_shared<std::size_t>(addresses.size());
        const wire::ZoneSummary summary =
            toWire(hosted.service, hosted.dispatcher->summarizeAndDropStalePermits(now()),
                   hosted.dispatcher->crashRecords());
        const std::string key = hosted.key;
        const std::uint64_t term = hosted.term;
        for (const peer::Address &address : addresses) {
            context_.clients.call<wire::SummaryReply>(
                address, peer::Method::ExchangeZoneSummaries, summary, SummaryTimeout,
                [this, key, term, outstanding](peer::CallResult<wire::SummaryReply> result) {
                    HostedDispatcher *target = findHosted(key, term);
                    if (target == nullptr) {
                        return;
                    }
                    if (const auto *reply = std::get_if<wire::SummaryReply>(&result)) {
                        mergeReply(*target, *reply);
                    }
                    if (--*outstanding == 0) {
                        target->isExchanging = false;
                        mergeOtherZones(*target);
                    }
                });
        }
    }

    void mergeReply(HostedDispatcher &hosted, const wire::SummaryReply &reply)
    {
        for (const wire::ZoneSummary &zone : reply.zones()) {
            hosted.otherZones[zone.availability_zone()] = fromWire(zone);
            hosted.dispatcher->mergeCrashRecords(now(), crashesOf(zone));
        }
        if (reply.has_permits()) {
            hosted.dispatcher->applyEjectionPermits(
                now(), { reply.may_eject().begin(), reply.may_eject().end() },
                { reply.must_readmit().begin(), reply.must_readmit().end() });
        }
        executeActions(hosted);
    }

    void mergeOtherZones(HostedDispatcher &hosted)
    {
        std::vector<dispatch::ZoneSummary> zones;
        for (const auto &[zone, summary] : hosted.otherZones) {
            const bool usable = !context_.fleet.configuration().isZoneOutOfService(zone)
                && context_.fleet.leaseHolder(fleet::dispatchLeaseKey(hosted.service, zone));
            if (usable && zone != hosted.zone) {
                zones.push_back(summary);
            }
        }
        hosted.dispatcher->setOtherZoneSummaries(now(), std::move(zones));
        executeActions(hosted);
    }

    // ---- actions ----

    void tick()
    {
        for (auto &[key, hosted] : hostedDispatchers_) {
            hosted.dispatcher->setEntryVmCount(context_.fleet.liveMembers().size());
            hosted.dispatcher->tick(now());
            executeActions(hosted);
        }
    }

    void executeActions(HostedDispatcher &hosted)
    {
        for (const dispatch::Action &action : hosted.dispatcher->takeActions()) {
            std::visit([&](const auto &value) { execute(hosted, value); }, action);
        }
    }

    static void sendAcquireReply(HostedDispatcher &hosted, const dispatch::AttemptId &id,
                                 const wire::AcquireReply &reply)
    {
        auto node = hosted.pendingResponses.extract(id);
        if (!node.empty()) {
            node.mapped()(reply);
        }
    }

    void execute(HostedDispatcher &hosted, const dispatch::Grant &grant)
    {
        if (hosted.pendingResponses.count(grant.id) == 0) {
            hosted.dispatcher->cancel(now(), grant.id);
            return;
        }
        wire::AcquireReply reply;
        reply.set_slot(grant.slot);
        reply.set_address(grant.address);
        reply.set_backend_incarnation(grant.serverIncarnation);
        reply.set_term(hosted.term);
        reply.set_idle_connections(grant.maxIdleConnections);
        reply.set_overdue_after_us(static_cast<std::uint32_t>(grant.overdueAfter.count()));
        reply.set_slots_per_vm(grant.maxSlotsPerVm);
        sendAcquireReply(hosted, grant.id, reply);
    }

    void execute(HostedDispatcher &hosted, const dispatch::Rejection &rejection)
    {
        wire::AcquireReply reply;
        reply.set_result(static_cast<std::uint32_t>(rejection.code));
        reply.set_term(hosted.term);
        reply.set_spill_zone(rejection.spillZone);
        sendAcquireReply(hosted, rejection.id, reply);
    }

    void execute(HostedDispatcher &hosted, const dispatch::ServerEvent &serverEvent)
    {
        const auto event = [&] {
            switch (serverEvent.kind) {
            case dispatch::ServerEventKind::Registered:
                return Event::BackendJoined;
            case dispatch::ServerEventKind::Deregistered:
                return Event::BackendLeft;
            case dispatch::ServerEventKind::ColdStart:
                return Event::BackendCold;
            case dispatch::ServerEventKind::Ejected:
                return Event::BackendEjected;
            case dispatch::ServerEventKind::Readmitted:
                return Event::BackendReadmitted;
            case dispatch::ServerEventKind::PathBlocked:
                return Event::PathBlocked;
            case dispatch::ServerEventKind::EjectionWithheld:
                return Event::EjectionWithheld;
            case dispatch::ServerEventKind::Quarantined:
                return Event::RequestQuarantined;
            }
            return Event::BackendJoined;
        }();
        logEvent(event,
                 { { "service", hosted.service },
                   { "zone", hosted.zone },
                   { "server", serverEvent.server },
                   { "detail", serverEvent.detail } });
        if (serverEvent.kind == dispatch::ServerEventKind::Ejected) {
            context_.metrics.addToCounter(
                "daisyhaven_ejections_total",
                { { "service", hosted.service }, { "cause", serverEvent.detail } });
        }
    }

    Context &context_;
    std::map<std::string, HostedDispatcher> hostedDispatchers_;
    std::map<std::string, dispatch::EjectionBudget> budgets_;
    TimerHandle tickTimer_;
    TimerHandle summaryTimer_;
    TimerHandle gatherTimer_;
};

DispatchTask::DispatchTask(Context &context) : impl_(std::make_unique<Impl>(context)) { }
DispatchTask::~DispatchTask() = default;

} // namespace daisyhaven::entry

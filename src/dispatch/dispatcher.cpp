#include "dispatch/dispatch.h"

#include "dispatch/internal/crashtracker.h"
#include "dispatch/internal/server.h"
#include "dispatch/internal/waitqueue.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::dispatch {

using internal::QueuedRequest;
using internal::RotationState;
using internal::Server;

namespace {

// A backend server that sends no announcements still counts as known for the floor for this long.
constexpr Seconds ServerRetention { 60 };
constexpr Milliseconds DetectorPeriod { 50 };
constexpr Milliseconds InitialEjectionBackoff { 2000 };
constexpr Seconds MaxEjectionBackoff { 120 };
// The backoff of a backend server that served for this long since its readmission starts again at
// InitialEjectionBackoff.
constexpr Seconds EjectionBackoffReset { 120 };
constexpr Milliseconds ReadmissionRampDuration { 5000 };
constexpr Milliseconds MinRampDurationAfterShed { 3000 };
constexpr Milliseconds InitialPathBackoff { 2000 };
constexpr Seconds MaxPathBackoff { 60 };
// For this long after its ejection ends, a backend server on probation accepts only idempotent
// requests. After that it accepts any request, so that probation also ends without idempotent
// traffic.
constexpr Seconds IdempotentProbeTimeout { 5 };
constexpr int ProbesToReadmit = 5;
constexpr Milliseconds PermitWaitTimeout { 1000 };
constexpr Seconds WithheldReportReset { 30 };
constexpr double RetryBudgetRatio = 0.1;
constexpr double MaxRetryBudget = 20;
constexpr std::size_t MaxQueuedPerSlot = 8;
constexpr std::size_t MinQueueLimit = 64;
constexpr int SlotCounterBits = 22;
constexpr std::uint32_t SlotsPerVmDivisor = 4;

} // namespace

Dispatcher::Dispatcher(Options options, std::uint64_t term, Instant now)
    : options_(std::move(options)), term_(term), queue_(std::make_unique<internal::WaitQueue>()),
      crashTracker_(std::make_unique<internal::CrashTracker>()), detector_(options_.detection),
      lastDetectorTick_(now)
{
    if (const auto *twoChoices = std::get_if<PowerOfTwoChoices>(&options_.selection)) {
        selectionRandomState_ = twoChoices->seed;
    }
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setOptions(Options options)
{
    options_ = std::move(options);
}

void Dispatcher::setZoneOutOfService(Instant now, bool outOfService)
{
    const bool returnsToService = zoneOutOfService_ && !outOfService;
    zoneOutOfService_ = outOfService;
    if (!returnsToService) {
        return;
    }
    for (auto &[address, server] : servers_) {
        startRamp(*server, now, options_.coldStartSlots);
    }
}

void Dispatcher::setEntryVmCount(std::size_t count)
{
    entryVmCount_ = std::max<std::size_t>(count, 1);
}

std::uint32_t Dispatcher::maxSlotsPerVm(std::uint32_t slots) const
{
    const auto vms = static_cast<std::uint32_t>(entryVmCount_);
    const std::uint32_t twiceEvenShare = (slots * 2 + vms - 1) / vms;
    return std::clamp(std::max(twiceEvenShare, slots / SlotsPerVmDivisor), 1U, std::max(slots, 1U));
}

void Dispatcher::startTakeover(Instant now, const std::vector<PossibleHolder> &holders)
{
    for (const PossibleHolder &holder : holders) {
        const Duration remaining = options_.longestDeadline - holder.timeSinceHeartbeat;
        if (remaining.count() > 0) {
            unconfirmedHolders_[{ holder.vm, holder.incarnation }] = { now + remaining };
        }
    }
}

void Dispatcher::recordHeldSlots(Instant now, const std::string &vm, std::uint64_t incarnation,
                                 const std::vector<HeldSlot> &held, std::uint32_t slotsPerVm)
{
    if (unconfirmedHolders_.erase({ vm, incarnation }) == 0) {
        return;
    }
    largestReportedSlotsPerVm_ = std::max(largestReportedSlotsPerVm_, slotsPerVm);
    for (const HeldSlot &slot : held) {
        const bool skip =
            activeSlots_.count(slot.slot) != 0 || releasedBeforeReport_.count(slot.slot) != 0;
        if (skip) {
            continue;
        }
        ActiveSlot record;
        record.address = slot.address;
        record.vm = vm;
        record.fingerprint = slot.fingerprint;
        record.route = slot.route;
        record.grantedAt = now;
        record.expiresAt = now + slot.remaining;
        activeSlots_[slot.slot] = record;
        const auto server = servers_.find(slot.address);
        if (server != servers_.end()) {
            ++server->second->inFlight;
            ++server->second->inFlightByVm[vm];
        }
    }
    if (unconfirmedHolders_.empty()) {
        releasedBeforeReport_.clear();
    }
}

void Dispatcher::handleAnnouncement(Instant now, const Announcement &announcement, Duration age)
{
    auto &server = servers_[announcement.address];
    const bool isNew = !server;
    if (isNew) {
        server = std::make_unique<Server>();
        for (const auto &[slot, activeSlot] : activeSlots_) {
            if (activeSlot.address == announcement.address) {
                ++server->inFlight;
                ++server->inFlightByVm[activeSlot.vm];
            }
        }
    }
    const Instant announcedAt = now - age;
    const bool outdated = !isNew && announcedAt < server->lastAnnouncedAt;
    const bool fromOldProcess =
        !isNew && announcement.incarnation < server->announcement.incarnation;
    if (outdated || fromOldProcess) {
        return;
    }
    const bool wasTimedOut = !isNew && now - server->lastAnnouncedAt > AnnouncementLifetime;
    const bool restarted = !isNew && announcement.incarnation != server->announcement.incarnation;
    const bool startedWarmUp = announcement.state == ServerState::WarmingUp
        && (isNew || server->announcement.state != ServerState::WarmingUp);
    server->announcement = announcement;
    server->lastAnnouncedAt = announcedAt;
    crashTracker_->recordAlive(now, announcement.address, announcement.incarnation);
    if (isNew || wasTimedOut) {
        server->servingSince = now;
        emitEvent(ServerEventKind::Registered, announcement.address, "");
    }
    if (restarted) {
        detector_.resetServer(announcement.address);
        server->rotationState = RotationState::Serving;
    }
    if (restarted || startedWarmUp) {
        startRamp(*server, now, options_.coldStartSlots);
        emitEvent(ServerEventKind::ColdStart, announcement.address,
                  restarted ? "restarted" : "announced");
    }
    grantQueuedRequests(now);
}

void Dispatcher::startRamp(Server &server, Instant now, std::uint32_t from)
{
    server.rampInitialSlots = std::max(from, 1U);
    server.rampStart = now;
    server.rampDuration = options_.coldStartDuration;
}

std::uint32_t Dispatcher::rampSlots(const Server &server, Instant now) const
{
    const std::uint32_t slots = server.announcement.slots;
    if (server.rotationState == RotationState::Probation) {
        return std::min(slots, 1U);
    }
    const Duration elapsed = now - server.rampStart;
    const bool ramping = server.rampDuration.count() > 0 && elapsed < server.rampDuration;
    if (!ramping || server.rampInitialSlots >= slots) {
        return slots;
    }
    const double share = static_cast<double>(std::max<Duration::rep>(elapsed.count(), 0))
        / static_cast<double>(server.rampDuration.count());
    const double grown = static_cast<double>(slots - server.rampInitialSlots) * share;
    return server.rampInitialSlots + static_cast<std::uint32_t>(std::floor(grown));
}

// Returns the number of slots that may be held by processes that have not reported their slots
// since the takeover.
std::uint32_t Dispatcher::unconfirmedSlots(const Server &server, Instant now) const
{
    const std::uint32_t slots = server.announcement.slots;
    const std::uint32_t each =
        largestReportedSlotsPerVm_ == 0 ? slots : std::min(slots, largestReportedSlotsPerVm_);
    std::uint32_t count = 0;
    for (const auto &[holder, unconfirmed] : unconfirmedHolders_) {
        count += now < unconfirmed.expiresAt ? each : 0;
        if (count >= slots) {
            return slots;
        }
    }
    return count;
}

bool Dispatcher::isInService(const Server &server, Instant now) const
{
    const bool announcedRecently = now - server.lastAnnouncedAt <= AnnouncementLifetime;
    const bool draining = server.announcement.state == ServerState::Draining;
    return !zoneOutOfService_ && announcedRecently && !draining
        && server.rotationState != RotationState::Ejected;
}

bool Dispatcher::canAccept(const Server &server, const SlotRequest &request, Instant now) const
{
    const std::uint32_t used = server.inFlight + unconfirmedSlots(server, now);
    if (used >= rampSlots(server, now)) {
        return false;
    }
    const auto vmSlots = server.inFlightByVm.find(request.id.vm);
    const std::uint32_t ownSlots = vmSlots == server.inFlightByVm.end() ? 0 : vmSlots->second;
    if (ownSlots >= maxSlotsPerVm(server.announcement.slots)) {
        return false;
    }
    const auto path = server.blockedPaths.find(request.id.vm);
    if (path != server.blockedPaths.end() && now < path->second.blockedUntil) {
        return false;
    }
    if (ownSlots > 0 && detector_.hasOverdueRequest(server.announcement.address, request.id.vm)) {
        return false;
    }
    if (server.rotationState == RotationState::Probation) {
        const bool onlyIdempotent = now - server.ejectedUntil < IdempotentProbeTimeout;
        if (!request.idempotent && onlyIdempotent) {
            return false;
        }
    }
    const bool suspect = crashTracker_->isSuspect(request.fingerprint);
    return !suspect || server.suspectsInFlight == 0;
}

Server *Dispatcher::pickServer(Instant now, const SlotRequest &request, bool *anyUsableServer)
{
    std::vector<Server *> candidates;
    for (auto &[address, server] : servers_) {
        if (!isInService(*server, now) || request.excludedServers.count(address) != 0) {
            continue;
        }
        *anyUsableServer = true;
        if (canAccept(*server, request, now)) {
            candidates.push_back(server.get());
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const auto availableShare = [&](const Server &server) {
        const auto allowed = static_cast<double>(rampSlots(server, now));
        return (allowed - server.inFlight) / std::max<double>(server.announcement.slots, 1);
    };
    // Backend servers on probation are preferred, so that their probation ends soon.
    const auto better = [&](const Server *a, const Server *b) {
        const bool probationA = a->rotationState == RotationState::Probation;
        const bool probationB = b->rotationState == RotationState::Probation;
        if (probationA != probationB) {
            return probationA;
        }
        const double availableA = availableShare(*a);
        const double availableB = availableShare(*b);
        return availableA != availableB ? availableA > availableB : a->grantCount < b->grantCount;
    };
    if (std::holds_alternative<PowerOfTwoChoices>(options_.selection)) {
        const auto next = [this] {
            selectionRandomState_ =
                selectionRandomState_ * 6364136223846793005ULL + 1442695040888963407ULL;
            return selectionRandomState_ >> 33;
        };
        Server *first = candidates[next() % candidates.size()];
        Server *second = candidates[next() % candidates.size()];
        return better(first, second) ? first : second;
    }
    return *std::min_element(candidates.begin(), candidates.end(), better);
}

std::uint64_t Dispatcher::allocateSlotNumber()
{
    constexpr std::uint64_t Mask = (1ULL << SlotCounterBits) - 1;
    std::uint64_t slot = 0;
    do {
        slot = (term_ << SlotCounterBits) | (++slotCounter_ & Mask);
    } while (activeSlots_.count(slot) != 0);
    return slot;
}

void Dispatcher::grantSlot(Instant now, Server &server, const SlotRequest &request)
{
    ActiveSlot activeSlot;
    activeSlot.address = server.announcement.address;
    activeSlot.vm = request.id.vm;
    activeSlot.id = request.id;
    activeSlot.fingerprint = request.fingerprint;
    activeSlot.route = request.route;
    activeSlot.team = request.team;
    activeSlot.grantedAt = now;
    activeSlot.expiresAt = now + request.deadline;
    const std::uint64_t slot = allocateSlotNumber();
    slotsByAttempt_[request.id] = slot;
    activeSlots_[slot] = std::move(activeSlot);
    ++server.inFlight;
    ++server.inFlightByVm[request.id.vm];
    server.suspectsInFlight += crashTracker_->isSuspect(request.fingerprint) ? 1 : 0;
    ++server.grantCount;
    if (!request.retry) {
        retryBudget_ = std::min(retryBudget_ + RetryBudgetRatio, MaxRetryBudget);
    }
    Grant grant;
    grant.id = request.id;
    grant.slot = slot;
    grant.address = server.announcement.address;
    grant.serverIncarnation = server.announcement.incarnation;
    const std::uint32_t slots = server.announcement.slots;
    const std::uint32_t extraConnections =
        server.announcement.maxConnections > slots ? server.announcement.maxConnections - slots : 0;
    grant.maxIdleConnections = extraConnections / static_cast<std::uint32_t>(entryVmCount_);
    grant.overdueAfter = detector_.overdueThreshold(request.route);
    grant.maxSlotsPerVm = maxSlotsPerVm(slots);
    actions_.emplace_back(std::move(grant));
}

Dispatcher::Placement Dispatcher::placeRequest(Instant now, const SlotRequest &request)
{
    if (crashTracker_->isQuarantined(request.fingerprint)) {
        return Placement::Quarantined;
    }
    if (crashTracker_->isSuspect(request.fingerprint)) {
        for (const auto &[slot, activeSlot] : activeSlots_) {
            if (activeSlot.fingerprint == request.fingerprint) {
                return Placement::NoCapacity;
            }
        }
    }
    bool anyUsableServer = false;
    Server *server = pickServer(now, request, &anyUsableServer);
    if (server == nullptr) {
        return anyUsableServer ? Placement::NoCapacity : Placement::NoServer;
    }
    grantSlot(now, *server, request);
    return Placement::Placed;
}

// Returns the zone with the most available slots, or "" if there is none. Counts the request as
// sent to that zone, until the next summaries arrive.
std::string Dispatcher::pickSpillZone(bool needCapacity)
{
    const ZoneSummary *best = nullptr;
    std::int64_t bestCapacity = 0;
    for (const ZoneSummary &zone : otherZoneSummaries_) {
        const std::int64_t capacity =
            static_cast<std::int64_t>(zone.availableSlots) - spilledSinceSummary_[zone.zone];
        const bool usable =
            needCapacity ? capacity > 0 : zone.availableServers > zone.ejectedServers.size();
        if (usable && (best == nullptr || capacity > bestCapacity)) {
            best = &zone;
            bestCapacity = capacity;
        }
    }
    if (best == nullptr) {
        return "";
    }
    ++spilledSinceSummary_[best->zone];
    return best->zone;
}

void Dispatcher::reject(const AttemptId &id, ResultCode code, std::string spillZone)
{
    actions_.emplace_back(Rejection { id, code, std::move(spillZone) });
}

void Dispatcher::acquire(Instant now, SlotRequest request)
{
    if (slotsByAttempt_.count(request.id) != 0) {
        return;
    }
    if (request.retry && retryBudget_ < 1) {
        reject(request.id, ResultCode::QueueFull);
        return;
    }
    // A new request gets a slot at once only if the queue is empty, so that it does not overtake
    // requests that are already queued.
    const bool queueEmpty = queue_->size() == 0;
    const Placement placement = queueEmpty ? placeRequest(now, request) : Placement::NoCapacity;
    if (placement == Placement::Placed) {
        retryBudget_ -= request.retry ? 1 : 0;
        return;
    }
    if (placement == Placement::Quarantined || crashTracker_->isQuarantined(request.fingerprint)) {
        reject(request.id, ResultCode::Quarantined);
        return;
    }
    if (!request.spilled) {
        const std::string zone = pickSpillZone(placement != Placement::NoServer);
        if (!zone.empty()) {
            reject(request.id, ResultCode::NoBackendServer, zone);
            return;
        }
    }
    enqueue(now, std::move(request), placement != Placement::NoServer);
    grantQueuedRequests(now);
}

void Dispatcher::enqueue(Instant now, SlotRequest request, bool anyUsableServer)
{
    if (request.maxWait.count() <= 0) {
        reject(request.id,
               anyUsableServer ? ResultCode::DeadlineUnreachable : ResultCode::NoBackendServer);
        return;
    }
    std::size_t slots = 0;
    for (const auto &[address, server] : servers_) {
        slots += isInService(*server, now) ? server->announcement.slots : 0;
    }
    const std::size_t queueLimit = std::max(MinQueueLimit, slots * MaxQueuedPerSlot);
    const Instant waitUntil = now + request.maxWait;
    queue_->push({ std::move(request), now, waitUntil });
    if (queue_->size() <= queueLimit) {
        return;
    }
    if (const auto dropped = queue_->dropFromLongestQueue()) {
        reject(dropped->request.id, ResultCode::QueueFull);
    }
}

void Dispatcher::grantQueuedRequests(Instant now)
{
    std::vector<AttemptId> quarantined;
    const auto tryPlace = [&](const SlotRequest &request) {
        const Placement placement = placeRequest(now, request);
        if (placement == Placement::Quarantined) {
            quarantined.push_back(request.id);
        }
        if (placement == Placement::Placed && request.retry) {
            retryBudget_ -= 1;
        }
        return placement == Placement::Placed;
    };
    while (queue_->size() > 0 && queue_->grantNext(tryPlace)) { }
    for (const AttemptId &id : quarantined) {
        if (queue_->remove(id)) {
            reject(id, ResultCode::Quarantined);
        }
    }
}

void Dispatcher::freeSlot(std::uint64_t slot)
{
    auto node = activeSlots_.extract(slot);
    if (node.empty()) {
        return;
    }
    const ActiveSlot &activeSlot = node.mapped();
    if (activeSlot.id) {
        slotsByAttempt_.erase(*activeSlot.id);
    }
    const auto found = servers_.find(activeSlot.address);
    if (found == servers_.end()) {
        return;
    }
    Server &server = *found->second;
    --server.inFlight;
    const auto vmSlots = server.inFlightByVm.find(activeSlot.vm);
    if (vmSlots != server.inFlightByVm.end() && --vmSlots->second == 0) {
        server.inFlightByVm.erase(vmSlots);
    }
    if (crashTracker_->isSuspect(activeSlot.fingerprint) && server.suspectsInFlight > 0) {
        --server.suspectsInFlight;
    }
}

void Dispatcher::release(Instant now, std::uint64_t slot, health::Outcome outcome, Duration latency)
{
    const auto found = activeSlots_.find(slot);
    if (found == activeSlots_.end()) {
        if (!unconfirmedHolders_.empty()) {
            releasedBeforeReport_.insert(slot);
        }
        return;
    }
    const ActiveSlot activeSlot = found->second;
    freeSlot(slot);
    detector_.recordOutcome(
        now, slot, { activeSlot.address, activeSlot.vm, activeSlot.route, outcome, latency });
    const auto entry = servers_.find(activeSlot.address);
    if (entry == servers_.end()) {
        grantQueuedRequests(now);
        return;
    }
    Server &server = *entry->second;
    if (outcome == health::Outcome::ConnectionLost) {
        const CrashRecord record { activeSlot.fingerprint, activeSlot.address,
                                   server.announcement.incarnation };
        if (crashTracker_->recordCrash(now, record)) {
            emitEvent(ServerEventKind::Quarantined, activeSlot.address,
                      std::to_string(activeSlot.fingerprint));
        }
    }
    const bool responded =
        outcome == health::Outcome::Success || outcome == health::Outcome::ServerError;
    if (responded) {
        crashTracker_->recordSuccess(now, activeSlot.fingerprint);
    }
    if (outcome == health::Outcome::Shed) {
        const std::uint32_t from = std::max(1U, server.inFlight / 2);
        const bool reducesSlots = rampSlots(server, now) > from;
        if (reducesSlots) {
            startRamp(server, now, from);
            server.rampDuration =
                std::max<Duration>(options_.coldStartDuration, MinRampDurationAfterShed);
            emitEvent(ServerEventKind::ColdStart, activeSlot.address, "shed");
        }
    }
    if (outcome == health::Outcome::Success) {
        server.blockedPaths.erase(activeSlot.vm);
    }
    evaluateProbation(now, server, outcome);
    grantQueuedRequests(now);
}

void Dispatcher::recordOverdue(Instant now, std::uint64_t slot, Duration waited)
{
    const auto activeSlot = activeSlots_.find(slot);
    if (activeSlot == activeSlots_.end()) {
        return;
    }
    detector_.recordOverdue(now, slot,
                            { activeSlot->second.address, activeSlot->second.vm,
                              activeSlot->second.route, health::Outcome::TimedOut, waited });
}

void Dispatcher::cancel(Instant now, const AttemptId &id)
{
    if (queue_->remove(id)) {
        return;
    }
    const auto slot = slotsByAttempt_.find(id);
    if (slot != slotsByAttempt_.end()) {
        release(now, slot->second, health::Outcome::NotSent, Duration(0));
    }
}

void Dispatcher::setOtherZoneSummaries(Instant now, std::vector<ZoneSummary> zones)
{
    otherZoneSummaries_ = std::move(zones);
    spilledSinceSummary_.clear();
    bool anyUsableServer = false;
    for (const auto &[address, server] : servers_) {
        anyUsableServer = anyUsableServer || isInService(*server, now);
    }
    if (anyUsableServer || queue_->size() == 0) {
        return;
    }
    // No backend server of this zone is in service, so queued requests spill over to another zone.
    const auto canSpill = [](const QueuedRequest &queued) { return !queued.request.spilled; };
    if (pickSpillZone(false).empty()) {
        return;
    }
    for (const QueuedRequest &queued : queue_->removeIf(canSpill)) {
        reject(queued.request.id, ResultCode::NoBackendServer, pickSpillZone(false));
    }
}

void Dispatcher::mergeCrashRecords(Instant now, const std::vector<CrashRecord> &records)
{
    for (const CrashRecord &record : records) {
        if (crashTracker_->recordRemoteCrash(now, record)) {
            emitEvent(ServerEventKind::Quarantined, record.server,
                      std::to_string(record.fingerprint));
        }
    }
}

std::vector<CrashRecord> Dispatcher::crashRecords() const
{
    return crashTracker_->records();
}

void Dispatcher::emitEvent(ServerEventKind kind, const std::string &server, std::string detail)
{
    actions_.emplace_back(ServerEvent { kind, server, std::move(detail) });
}

void Dispatcher::eject(Instant now, Server &server, const std::string &cause)
{
    const bool readmittedRecently = now - server.servingSince < EjectionBackoffReset;
    const bool again = server.ejectionBackoff.count() > 0 && readmittedRecently;
    const Duration doubled = std::min<Duration>(server.ejectionBackoff * 2, MaxEjectionBackoff);
    server.ejectionBackoff = again ? doubled : Duration(InitialEjectionBackoff);
    server.rotationState = RotationState::Ejected;
    server.ejectedAt = now;
    server.ejectedUntil = now + server.ejectionBackoff;
    server.successfulProbes = 0;
    detector_.resetServer(server.announcement.address);
    emitEvent(ServerEventKind::Ejected, server.announcement.address, cause);
}

void Dispatcher::readmit(Instant now, Server &server)
{
    server.rotationState = RotationState::Serving;
    server.servingSince = now;
    startRamp(server, now, 1);
    server.rampDuration = std::max<Duration>(options_.coldStartDuration, ReadmissionRampDuration);
    detector_.resetServer(server.announcement.address);
    emitEvent(ServerEventKind::Readmitted, server.announcement.address, "");
}

void Dispatcher::evaluateProbation(Instant now, Server &server, health::Outcome outcome)
{
    if (server.rotationState != RotationState::Probation) {
        return;
    }
    if (health::isFailure(outcome)) {
        eject(now, server, "failed on probation");
        return;
    }
    server.successfulProbes += outcome == health::Outcome::Success ? 1 : 0;
    const bool slow = detector_.score(server.announcement.address) >= 0.5;
    if (slow) {
        eject(now, server, "slow on probation");
    } else if (server.successfulProbes >= ProbesToReadmit) {
        readmit(now, server);
    }
}

void Dispatcher::reportIfDeregistered(Instant now, Server &server)
{
    const bool unresponsive = now - server.lastAnnouncedAt > AnnouncementLifetime;
    const bool draining = server.announcement.state == ServerState::Draining;
    const bool left = unresponsive || draining;
    if (left && !server.reportedDeregistered) {
        emitEvent(ServerEventKind::Deregistered, server.announcement.address,
                  draining ? "draining" : "silent");
    }
    server.reportedDeregistered = left;
}

// A permit arrives within two rounds of summaries unless the floor prevents the ejection. An
// ejection that is still not permitted after PermitWaitTimeout is reported as withheld, at most
// once in WithheldReportReset.
void Dispatcher::reportIfWithheld(Instant now, Server &server)
{
    const bool again = now - server.ejectionWantedSince > WithheldReportReset;
    if (again) {
        server.reportedWithheld = false;
    }
    if (again || server.ejectionWantedSince == Instant()) {
        server.ejectionWantedSince = now;
    }
    if (!server.reportedWithheld && now - server.ejectionWantedSince > PermitWaitTimeout) {
        server.reportedWithheld = true;
        emitEvent(ServerEventKind::EjectionWithheld, server.announcement.address, "");
    }
}

void Dispatcher::processOutliers(Instant now)
{
    ejectionCandidates_.clear();
    for (const health::Outlier &outlier : detector_.findOutliers()) {
        const auto found = servers_.find(outlier.server);
        if (found == servers_.end() || found->second->rotationState == RotationState::Ejected) {
            continue;
        }
        if (ejectionPermits_.count(outlier.server) != 0
            || found->second->rotationState == RotationState::Probation) {
            eject(now, *found->second, health::outlierCauseName(outlier.cause));
        } else {
            ejectionCandidates_.push_back(outlier.server);
            reportIfWithheld(now, *found->second);
        }
    }
    for (const health::FailedPath &failedPath : detector_.takeFailedPaths(now)) {
        const auto found = servers_.find(failedPath.server);
        if (found == servers_.end()) {
            continue;
        }
        internal::BlockedPath &path = found->second->blockedPaths[failedPath.vm];
        const Duration doubled = std::min<Duration>(path.backoff * 2, MaxPathBackoff);
        path.backoff = std::max<Duration>(doubled, InitialPathBackoff);
        path.blockedUntil = now + path.backoff;
        emitEvent(ServerEventKind::PathBlocked, failedPath.server, failedPath.vm);
    }
}

void Dispatcher::applyEjectionPermits(Instant now, const std::set<std::string> &mayEject,
                                      const std::set<std::string> &mustReadmit)
{
    ejectionPermits_ = mayEject;
    for (const std::string &address : mustReadmit) {
        const auto found = servers_.find(address);
        const bool out =
            found != servers_.end() && found->second->rotationState != RotationState::Serving;
        if (out) {
            readmit(now, *found->second);
        }
    }
    processOutliers(now);
}

void Dispatcher::tick(Instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[slot, activeSlot] : activeSlots_) {
        if (now >= activeSlot.expiresAt) {
            expired.push_back(slot);
        }
    }
    for (const std::uint64_t slot : expired) {
        freeSlot(slot);
    }
    for (auto unconfirmed = unconfirmedHolders_.begin();
         unconfirmed != unconfirmedHolders_.end();) {
        unconfirmed = now >= unconfirmed->second.expiresAt ? unconfirmedHolders_.erase(unconfirmed)
                                                           : std::next(unconfirmed);
    }
    const auto timedOut = [now](const QueuedRequest &queued) { return now >= queued.waitUntil; };
    for (const QueuedRequest &queued : queue_->removeIf(timedOut)) {
        reject(queued.request.id, ResultCode::DeadlineUnreachable);
    }
    std::set<std::string> excluded;
    for (auto entry = servers_.begin(); entry != servers_.end();) {
        Server &server = *entry->second;
        if (server.rotationState == RotationState::Ejected && now >= server.ejectedUntil) {
            server.rotationState = RotationState::Probation;
            server.successfulProbes = 0;
        }
        if (server.rotationState != RotationState::Serving) {
            excluded.insert(entry->first);
        }
        reportIfDeregistered(now, server);
        const bool shouldRemove =
            now - server.lastAnnouncedAt > ServerRetention && server.inFlight == 0;
        if (shouldRemove) {
            detector_.removeServer(entry->first);
        }
        entry = shouldRemove ? servers_.erase(entry) : std::next(entry);
    }
    if (now - lastDetectorTick_ >= DetectorPeriod) {
        lastDetectorTick_ = now;
        detector_.setExcludedServers(std::move(excluded));
        detector_.tick(now);
        crashTracker_->removeExpired(now);
        processOutliers(now);
    }
    grantQueuedRequests(now);
}

std::vector<Action> Dispatcher::takeActions()
{
    std::vector<Action> actions;
    actions.swap(actions_);
    return actions;
}

ZoneSummary Dispatcher::summary(Instant now) const
{
    ZoneSummary summary;
    summary.zone = options_.zone;
    summary.term = term_;
    summary.queuedRequests = static_cast<std::uint32_t>(queue_->size());
    for (const auto &[address, server] : servers_) {
        ++summary.knownServers;
        const bool out = server->rotationState != RotationState::Serving;
        const bool usable = !zoneOutOfService_
            && now - server->lastAnnouncedAt <= AnnouncementLifetime
            && server->announcement.state != ServerState::Draining;
        summary.availableServers += usable ? 1 : 0;
        if (usable && out) {
            summary.ejectedServers.push_back(address);
        }
        const std::uint32_t used = server->inFlight + unconfirmedSlots(*server, now);
        const std::uint32_t allowed = rampSlots(*server, now);
        if (isInService(*server, now) && !out && used < allowed) {
            summary.availableSlots += allowed - used;
        }
    }
    const bool busy = queue_->size() > 0;
    summary.availableSlots = busy ? 0 : summary.availableSlots;
    summary.ejectionCandidates = ejectionCandidates_;
    return summary;
}

ZoneSummary Dispatcher::summarizeAndDropStalePermits(Instant now)
{
    ZoneSummary taken = summary(now);
    std::set<std::string> mentioned(taken.ejectedServers.begin(), taken.ejectedServers.end());
    mentioned.insert(taken.ejectionCandidates.begin(), taken.ejectionCandidates.end());
    for (auto permit = ejectionPermits_.begin(); permit != ejectionPermits_.end();) {
        permit = mentioned.count(*permit) == 0 ? ejectionPermits_.erase(permit) : std::next(permit);
    }
    return taken;
}

std::uint32_t Dispatcher::slotsInUse(const std::string &address) const
{
    const auto server = servers_.find(address);
    return server == servers_.end() ? 0 : server->second->inFlight;
}

std::uint32_t Dispatcher::allowedSlots(const std::string &address, Instant now) const
{
    const auto server = servers_.find(address);
    return server == servers_.end() ? 0 : rampSlots(*server->second, now);
}

bool Dispatcher::isOutOfRotation(const std::string &address) const
{
    const auto server = servers_.find(address);
    return server != servers_.end() && server->second->rotationState != RotationState::Serving;
}

} // namespace daisyhaven::dispatch

#include "coordination/internal/viewcodec.h"

#include "observe/observe.h"
#include "text/text.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::coordination {

namespace {

// Shares are sent in thousandths.
constexpr double ShareUnits = 1000;

std::uint32_t remainingMilliseconds(Instant now, Instant until)
{
    const auto remaining = std::chrono::ceil<Milliseconds>(until - now).count();
    return remaining > 0 ? static_cast<std::uint32_t>(remaining) : 0;
}

} // namespace

bool isReadableName(const std::string &name)
{
    const bool readable = isName(name);
    if (!readable) {
        logEvent(Event::UnreadableItemIgnored, { { "item", name } });
    }
    return readable;
}

bool isReadable(const wire::FleetServer &message)
{
    const bool readable = isName(message.id()) && isPlainText(message.service())
        && isPlainText(message.address()) && isPlainText(message.availability_zone())
        && isPlainText(message.version());
    if (!readable) {
        logEvent(Event::UnreadableItemIgnored, { { "item", message.id() } });
    }
    return readable;
}

bool isReadable(const wire::Rollout &message)
{
    const auto isPlain = [](const std::string &version) { return isPlainText(version); };
    const bool readable = isName(message.service()) && isName(message.target_version())
        && std::all_of(message.replaced_versions().begin(), message.replaced_versions().end(),
                       isPlain)
        && message.phase() <= static_cast<std::uint32_t>(rollout::LastPhase);
    if (!readable) {
        logEvent(Event::UnreadableItemIgnored, { { "item", message.service() } });
    }
    return readable;
}

std::set<std::string> readableZonesOutOfService(const wire::CoordinationState &state)
{
    std::set<std::string> zones;
    for (const std::string &zone : state.zones_out()) {
        if (isReadableName(zone)) {
            zones.insert(zone);
        }
    }
    return zones;
}

std::map<std::string, rollout::Rollout> readableRollouts(const wire::CoordinationState &state)
{
    std::map<std::string, rollout::Rollout> rollouts;
    for (const wire::Rollout &message : state.rollouts()) {
        if (isReadable(message)) {
            rollouts[message.service()] = fromWire(message);
        }
    }
    return rollouts;
}

wire::Rollout toWire(const rollout::Rollout &rollout)
{
    wire::Rollout message;
    message.set_service(rollout.service);
    message.set_target_version(rollout.target);
    for (const std::string &version : rollout.replacedVersions) {
        message.add_replaced_versions(version);
    }
    message.set_ordered_ms(rollout.orderedAtMs);
    message.set_duration_ms(rollout.durationMs);
    message.set_phase(static_cast<std::uint32_t>(rollout.phase));
    return message;
}

rollout::Rollout fromWire(const wire::Rollout &message)
{
    return { message.service(),
             message.target_version(),
             { message.replaced_versions().begin(), message.replaced_versions().end() },
             message.ordered_ms(),
             message.duration_ms(),
             static_cast<rollout::Phase>(message.phase()) };
}

wire::FleetServer toWire(Instant now, const scheduler::KnownServer &server)
{
    wire::FleetServer message;
    message.set_id(server.info.id);
    message.set_service(server.info.service);
    message.set_address(server.info.address);
    message.set_availability_zone(server.info.zone);
    message.set_slots(server.info.slots);
    message.set_draining(server.info.draining);
    message.set_suspected(server.suspected);
    message.set_cold_ms(remainingMilliseconds(now, server.info.coldStartUntil));
    message.set_born(server.info.startTimeMs);
    message.set_sequence(server.announcementSequence);
    message.set_requests_per_second(server.requestsPerSecond);
    message.set_version(server.info.version);
    return message;
}

scheduler::KnownServer fromWire(Instant now, const wire::FleetServer &message)
{
    scheduler::KnownServer server;
    server.info.id = message.id();
    server.info.service = message.service();
    server.info.address = message.address();
    server.info.zone = message.availability_zone();
    server.info.slots = message.slots();
    server.info.draining = message.draining();
    server.info.coldStartUntil = now + Milliseconds(message.cold_ms());
    server.info.startTimeMs = message.born();
    server.info.version = message.version();
    server.suspected = message.suspected();
    server.announcementSequence = message.sequence();
    server.requestsPerSecond = message.requests_per_second();
    return server;
}

scheduler::KnownServer toKnownServer(const directory::ServerEntry &entry, bool suspected)
{
    scheduler::KnownServer server;
    server.info = { entry.announcement.id,      entry.announcement.service,
                    entry.announcement.address, entry.announcement.zone,
                    entry.announcement.slots,   entry.announcement.draining,
                    entry.coldStartUntil,       entry.announcement.startTimeMs,
                    entry.announcement.version };
    server.suspected = suspected;
    server.announcementSequence = entry.announcement.sequence;
    return server;
}

directory::Announcement toAnnouncement(Instant now, const scheduler::KnownServer &server)
{
    directory::Announcement announcement;
    announcement.id = server.info.id;
    announcement.service = server.info.service;
    announcement.address = server.info.address;
    announcement.zone = server.info.zone;
    announcement.version = server.info.version;
    announcement.slots = server.info.slots;
    announcement.draining = server.info.draining;
    announcement.coldStartRemaining = std::max(server.info.coldStartUntil - now, Duration(0));
    announcement.sequence = server.announcementSequence;
    announcement.startTimeMs = server.info.startTimeMs;
    return announcement;
}

void addLoadSummary(Instant now, const scheduler::Scheduler &scheduler, wire::FleetViewReply *reply)
{
    for (const std::string &team : scheduler.busyTeams(now)) {
        reply->add_busy_teams(team);
    }
    for (const scheduler::ZoneShare &share : scheduler.zoneShares()) {
        // A VM would ignore it.
        if (share.from.empty() || share.to.empty()) {
            continue;
        }
        wire::ZoneShare *message = reply->add_zone_shares();
        message->set_service(share.service);
        message->set_from(share.from);
        message->set_to(share.to);
        message->set_permille(static_cast<std::uint32_t>(std::lround(share.share * ShareUnits)));
    }
}

void applyLoadSummary(const wire::FleetViewReply &reply, FleetView *view)
{
    view->busyTeams = { reply.busy_teams().begin(), reply.busy_teams().end() };
    view->zoneShares.clear();
    for (const wire::ZoneShare &share : reply.zone_shares()) {
        if (isReadableName(share.service()) && isReadableName(share.from())
            && isReadableName(share.to())) {
            view->zoneShares.push_back({ share.service(), share.from(), share.to(),
                                         static_cast<double>(share.permille()) / ShareUnits });
        }
    }
}

wire::SlotAnswer toWire(const scheduler::Grant &grant, std::uint64_t epoch)
{
    wire::SlotAnswer message;
    message.set_epoch(epoch);
    message.set_slot(grant.slotId);
    message.set_server(grant.serverId);
    message.set_address(grant.address);
    message.set_born(grant.serverStartTimeMs);
    return message;
}

wire::SlotAnswer toWire(const scheduler::Rejection &rejection, std::uint64_t epoch)
{
    wire::SlotAnswer message;
    message.set_epoch(epoch);
    message.set_result(static_cast<std::uint32_t>(rejection.code));
    message.set_retry_after_ms(static_cast<std::uint32_t>(rejection.retryAfter.count() / 1000));
    message.set_reason(rejection.reason);
    return message;
}

scheduler::Outcome outcomeFromWire(const wire::SlotRelease &message)
{
    if (message.vm_disconnected()) {
        return scheduler::Outcome::VmDisconnected;
    }
    return static_cast<scheduler::Outcome>(std::min<std::uint32_t>(
        message.outcome(), static_cast<std::uint32_t>(scheduler::LastOutcome)));
}

std::optional<scheduler::ServerStatement> statementFromWire(const wire::SlotRelease &message)
{
    if (!message.has_statement()) {
        return std::nullopt;
    }
    const wire::ServerStatement &statement = message.statement();
    return scheduler::ServerStatement { statement.leaving(), Duration(0),
                                        statement.requests_per_second() };
}

scheduler::SlotRequest fromWire(Instant now, const wire::SlotQuestion &message)
{
    scheduler::SlotRequest request;
    request.key = { message.vm(), message.incarnation(), message.number() };
    request.requestId = message.request_id();
    request.service = message.service();
    request.team = message.team();
    request.route = message.route();
    request.priority = message.priority();
    request.idempotent = message.repeatable();
    request.largeBody = message.bulk();
    request.isRetry = message.retry();
    request.hasRateToken = message.has_token();
    request.deadline = now + Milliseconds(message.deadline_ms());
    if (message.latest_start_ms() != 0) {
        request.latestStart = now + Milliseconds(message.latest_start_ms());
    }
    request.targetTime = now + Milliseconds(message.target_ms());
    request.zone = message.availability_zone();
    request.excludedServers.insert(message.avoid().begin(), message.avoid().end());
    request.connectedServers.insert(message.connected().begin(), message.connected().end());
    request.fingerprint = message.fingerprint();
    return request;
}

} // namespace daisyhaven::coordination

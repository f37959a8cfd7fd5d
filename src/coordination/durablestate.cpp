#include "coordination/internal/durablestate.h"

#include "coordination/internal/viewcodec.h"

#include <algorithm>

namespace daisyhaven::coordination {

namespace {

// Larger than the number of servers that deregister while a delayed announcement of one of them may
// still arrive.
constexpr std::size_t MaxDeregistrations = 4096;

} // namespace

DurableState::Change DurableState::apply(std::uint64_t index,
                                         const wire::CoordinationCommand &command)
{
    if (command.has_configuration()) {
        if (!isNewer(command.configuration().version())) {
            return Change::None;
        }
        configuration_ = { command.configuration().version(), command.configuration().document() };
        lastChangeIndex_ = index;
        return Change::Document;
    }
    if (command.has_zone()) {
        const std::string &zone = command.zone().availability_zone();
        if (!isReadableName(zone)) {
            return Change::None;
        }
        const bool changed = command.zone().out() ? zonesOutOfService_.insert(zone).second
                                                  : zonesOutOfService_.erase(zone) != 0;
        if (!changed) {
            return Change::None;
        }
        lastChangeIndex_ = index;
        return Change::Zones;
    }
    if (command.has_departure()) {
        if (!isReadableName(command.departure().id())) {
            return Change::None;
        }
        recordDeregistration(
            { command.departure().id(), command.departure().born(), command.departure().gone() });
        return Change::Deregistrations;
    }
    if (command.has_servers()) {
        for (const wire::FleetServer &server : command.servers().servers()) {
            recordServer(server);
        }
        for (const std::string &id : command.servers().forgotten()) {
            servers_.erase(id);
        }
        return Change::Servers;
    }
    if (command.has_rollout()) {
        return recordRollout(index, command.rollout());
    }
    return Change::None;
}

// Of two orders or verdicts that race, the first in the log holds.
DurableState::Change DurableState::recordRollout(std::uint64_t index, const wire::Rollout &message)
{
    if (!isReadable(message)) {
        return Change::None;
    }
    rollout::Rollout next = fromWire(message);
    const auto current = rollouts_.find(next.service);
    if (!rollout::isValidSuccessor(current == rollouts_.end() ? nullptr : &current->second, next)) {
        return Change::None;
    }
    rollouts_[next.service] = std::move(next);
    lastChangeIndex_ = index;
    return Change::Rollouts;
}

void DurableState::recordServer(const wire::FleetServer &server)
{
    if (isReadable(server)) {
        servers_[server.id()] = server;
    }
}

void DurableState::recordDeregistration(directory::Deregistration deregistration)
{
    const auto server = servers_.find(deregistration.id);
    const bool appliesToServer =
        server != servers_.end() && server->second.born() <= deregistration.startTimeMs;
    if (appliesToServer) {
        servers_.erase(server);
    }
    const auto existing = std::find_if(
        deregistrations_.begin(), deregistrations_.end(),
        [&](const directory::Deregistration &other) { return other.id == deregistration.id; });
    if (existing != deregistrations_.end()) {
        if (existing->startTimeMs > deregistration.startTimeMs) {
            return;
        }
        deregistration.terminated = deregistration.terminated
            || (existing->terminated && existing->startTimeMs == deregistration.startTimeMs);
        deregistrations_.erase(existing);
    }
    deregistrations_.push_back(std::move(deregistration));
    if (deregistrations_.size() > MaxDeregistrations) {
        deregistrations_.pop_front();
    }
}

wire::CoordinationState DurableState::toViewState(bool withDocument) const
{
    wire::CoordinationState state;
    if (configuration_) {
        state.set_version(configuration_->version);
    }
    if (configuration_ && withDocument) {
        state.set_document(configuration_->document);
    }
    state.set_index(lastChangeIndex_);
    for (const std::string &zone : zonesOutOfService_) {
        state.add_zones_out(zone);
    }
    for (const auto &[service, rollout] : rollouts_) {
        *state.add_rollouts() = coordination::toWire(rollout);
    }
    return state;
}

wire::CoordinationState DurableState::toWire() const
{
    wire::CoordinationState state = toViewState(true);
    for (const directory::Deregistration &deregistration : deregistrations_) {
        auto *added = state.add_departures();
        added->set_id(deregistration.id);
        added->set_born(deregistration.startTimeMs);
        added->set_gone(deregistration.terminated);
    }
    for (const auto &[id, server] : servers_) {
        *state.add_servers() = server;
    }
    return state;
}

Result<void> DurableState::restore(const std::string &snapshot)
{
    wire::CoordinationState state;
    if (!state.ParseFromString(snapshot)) {
        return fail(ResultCode::RecordDamaged,
                    "the snapshot of the replicated log cannot be parsed");
    }
    if (state.has_version()) {
        configuration_ = { state.version(), state.document() };
    }
    lastChangeIndex_ = state.index();
    zonesOutOfService_ = readableZonesOutOfService(state);
    servers_.clear();
    for (const wire::FleetServer &server : state.servers()) {
        recordServer(server);
    }
    rollouts_ = readableRollouts(state);
    deregistrations_.clear();
    for (const wire::Departure &deregistration : state.departures()) {
        if (isReadableName(deregistration.id())) {
            deregistrations_.push_back(
                { deregistration.id(), deregistration.born(), deregistration.gone() });
        }
    }
    return {};
}

} // namespace daisyhaven::coordination

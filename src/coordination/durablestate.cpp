#include "coordination/internal/durablestate.h"

#include <algorithm>

namespace daisyhaven::coordination {

namespace {

// More than leave in the time for which a late announcement may still arrive.
constexpr std::size_t MaxDepartures = 4096;

} // namespace

DurableState::Change DurableState::apply(std::uint64_t index,
                                         const wire::CoordinationCommand &command)
{
    if (command.has_configuration()) {
        if (command.configuration().version() <= version_) {
            return Change::Nothing;
        }
        version_ = command.configuration().version();
        document_ = command.configuration().document();
        index_ = index;
        return Change::Document;
    }
    if (command.has_zone()) {
        const std::string &zone = command.zone().availability_zone();
        const bool changed =
            command.zone().out() ? zonesOut_.insert(zone).second : zonesOut_.erase(zone) != 0;
        if (!changed) {
            return Change::Nothing;
        }
        index_ = index;
        return Change::Zones;
    }
    if (command.has_departure()) {
        remember(
            { command.departure().id(), command.departure().born(), command.departure().gone() });
        return Change::Departures;
    }
    if (command.has_servers()) {
        for (const wire::FleetServer &server : command.servers().servers()) {
            servers_[server.id()] = server;
        }
        for (const std::string &id : command.servers().forgotten()) {
            servers_.erase(id);
        }
        return Change::Servers;
    }
    return Change::Nothing;
}

void DurableState::remember(directory::Departure departure)
{
    const auto server = servers_.find(departure.id);
    const bool left = server != servers_.end() && server->second.born() <= departure.born;
    if (left) {
        servers_.erase(server);
    }
    const auto known =
        std::find_if(departures_.begin(), departures_.end(),
                     [&](const directory::Departure &other) { return other.id == departure.id; });
    if (known != departures_.end()) {
        if (known->born > departure.born) {
            return;
        }
        departure.gone = departure.gone || (known->gone && known->born == departure.born);
        departures_.erase(known);
    }
    departures_.push_back(std::move(departure));
    if (departures_.size() > MaxDepartures) {
        departures_.pop_front();
    }
}

wire::CoordinationState DurableState::forView() const
{
    wire::CoordinationState state;
    state.set_version(version_);
    state.set_document(document_);
    state.set_index(index_);
    for (const std::string &zone : zonesOut_) {
        state.add_zones_out(zone);
    }
    return state;
}

wire::CoordinationState DurableState::toWire() const
{
    wire::CoordinationState state = forView();
    for (const directory::Departure &departure : departures_) {
        auto *added = state.add_departures();
        added->set_id(departure.id);
        added->set_born(departure.born);
        added->set_gone(departure.gone);
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
        return fail(ResultCode::RecordDamaged, "the snapshot of the log cannot be read");
    }
    version_ = state.version();
    document_ = state.document();
    index_ = state.index();
    zonesOut_ = { state.zones_out().begin(), state.zones_out().end() };
    servers_.clear();
    for (const wire::FleetServer &server : state.servers()) {
        servers_[server.id()] = server;
    }
    departures_.clear();
    for (const wire::Departure &departure : state.departures()) {
        departures_.push_back({ departure.id(), departure.born(), departure.gone() });
    }
    return {};
}

} // namespace daisyhaven::coordination

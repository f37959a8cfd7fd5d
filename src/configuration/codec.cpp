#include "configuration/configuration.h"

#include "peer/generated/peer.pb.h"

namespace daisyhaven::configuration {

namespace {

wire::Route toWire(const Route &route)
{
    wire::Route message;
    message.set_method(route.method);
    message.set_path(route.path);
    message.set_repeatable(route.idempotent);
    message.set_open(route.allowUnauthenticated);
    message.set_priority(static_cast<std::uint32_t>(route.priority));
    message.set_deadline_ms(route.deadlineMs);
    message.set_body_limit_bytes(route.bodyLimitBytes);
    return message;
}

Route fromWire(const wire::Route &message)
{
    Route route;
    route.method = message.method();
    route.path = message.path();
    route.idempotent = message.repeatable();
    route.allowUnauthenticated = message.open();
    route.priority = static_cast<Priority>(std::min<std::uint32_t>(message.priority(), 2));
    route.deadlineMs = message.deadline_ms();
    route.bodyLimitBytes = message.body_limit_bytes();
    return route;
}

wire::Service toWire(const Service &service)
{
    wire::Service message;
    message.set_name(service.name);
    message.set_floor(service.floor);
    message.set_shed_means_not_run(service.shedImpliesNotExecuted);
    message.set_cold_start_slots(service.coldStartInitialSlots);
    message.set_cold_start_ms(service.coldStartDurationMs);
    for (const std::string &team : service.allowedTeams) {
        message.add_teams(team);
    }
    for (const Route &route : service.routes) {
        *message.add_routes() = toWire(route);
    }
    return message;
}

Service fromWire(const wire::Service &message)
{
    Service service;
    service.name = message.name();
    service.floor = message.floor();
    service.shedImpliesNotExecuted = message.shed_means_not_run();
    service.coldStartInitialSlots = message.cold_start_slots();
    service.coldStartDurationMs = message.cold_start_ms();
    service.allowedTeams.assign(message.teams().begin(), message.teams().end());
    for (const wire::Route &route : message.routes()) {
        service.routes.push_back(fromWire(route));
    }
    return service;
}

wire::Team toWire(const Team &team)
{
    wire::Team message;
    message.set_name(team.name);
    message.set_rate(team.rate);
    message.set_burst(team.burst);
    message.set_weight(team.weight);
    return message;
}

Team fromWire(const wire::Team &message)
{
    return { message.name(), message.rate(), message.burst(), message.weight() };
}

wire::KeyGrant toWire(const KeyGrant &grant)
{
    wire::KeyGrant message;
    message.set_key_id(grant.keyId);
    message.set_key_hash(grant.keyHash);
    message.set_team(grant.team);
    return message;
}

KeyGrant fromWire(const wire::KeyGrant &message)
{
    return { message.key_id(), message.key_hash(), message.team() };
}

wire::Publication toWire(const Publication &publication)
{
    wire::Publication message;
    for (const Service &service : publication.upsertedServices) {
        *message.add_put_services() = toWire(service);
    }
    for (const std::string &name : publication.removedServices) {
        message.add_removed_services(name);
    }
    for (const Team &team : publication.upsertedTeams) {
        *message.add_put_teams() = toWire(team);
    }
    for (const std::string &name : publication.removedTeams) {
        message.add_removed_teams(name);
    }
    return message;
}

Publication fromWire(const wire::Publication &message)
{
    Publication publication;
    for (const wire::Service &service : message.put_services()) {
        publication.upsertedServices.push_back(fromWire(service));
    }
    publication.removedServices.assign(message.removed_services().begin(),
                                       message.removed_services().end());
    for (const wire::Team &team : message.put_teams()) {
        publication.upsertedTeams.push_back(fromWire(team));
    }
    publication.removedTeams.assign(message.removed_teams().begin(), message.removed_teams().end());
    return publication;
}

// Serializes the body of a change into its message.
struct ChangeBodyEncoder
{
    wire::Change &message;

    void operator()(const Publication &body) const
    {
        *message.mutable_publication() = toWire(body);
    }
    void operator()(const KeyGrant &body) const { *message.mutable_key_grant() = toWire(body); }
    void operator()(const KeyRevocation &body) const
    {
        message.mutable_key_withdrawal()->set_key_id(body.keyId);
    }
    void operator()(const AvailabilityZoneState &body) const
    {
        auto *state = message.mutable_availability_zone_state();
        state->set_availability_zone(body.availabilityZone);
        state->set_out(body.outOfService);
    }
    void operator()(const VmState &body) const
    {
        message.mutable_vm_state()->set_vm(body.vm);
        message.mutable_vm_state()->set_out(body.outOfService);
    }
};

} // namespace

wire::Change toWire(const Change &change)
{
    wire::Change message;
    message.set_operation_id(change.operationId);
    message.set_author(change.author);
    message.set_base_version(change.baseVersion);
    std::visit(ChangeBodyEncoder { message }, change.body);
    return message;
}

Result<Change> fromWire(const wire::Change &message)
{
    Change change;
    change.operationId = message.operation_id();
    change.author = message.author();
    change.baseVersion = message.base_version();
    switch (message.body_case()) {
    case wire::Change::kPublication:
        change.body = fromWire(message.publication());
        break;
    case wire::Change::kKeyGrant:
        change.body = fromWire(message.key_grant());
        break;
    case wire::Change::kKeyWithdrawal:
        change.body = KeyRevocation { message.key_withdrawal().key_id() };
        break;
    case wire::Change::kAvailabilityZoneState:
        change.body = AvailabilityZoneState { message.availability_zone_state().availability_zone(),
                                              message.availability_zone_state().out() };
        break;
    case wire::Change::kVmState:
        change.body = VmState { message.vm_state().vm(), message.vm_state().out() };
        break;
    case wire::Change::BODY_NOT_SET:
        return fail(ResultCode::PeerProtocol, "configuration change has no body");
    }
    return change;
}

wire::Snapshot toSnapshot(const Configuration &configuration)
{
    wire::Snapshot snapshot;
    snapshot.set_version(configuration.version());
    for (const auto &[name, service] : configuration.services()) {
        *snapshot.add_services() = toWire(*service);
    }
    for (const auto &[name, team] : configuration.teams()) {
        *snapshot.add_teams() = toWire(*team);
    }
    for (const auto &[id, grant] : configuration.keysById()) {
        *snapshot.add_keys() = toWire(*grant);
    }
    for (const std::string &zone : configuration.zonesOutOfService()) {
        snapshot.add_zones_out(zone);
    }
    for (const std::string &vm : configuration.vmsOutOfService()) {
        snapshot.add_vms_out(vm);
    }
    return snapshot;
}

Result<Configuration> fromSnapshot(const wire::Snapshot &snapshot)
{
    Configuration configuration;
    Publication publication;
    for (const wire::Service &service : snapshot.services()) {
        publication.upsertedServices.push_back(fromWire(service));
    }
    for (const wire::Team &team : snapshot.teams()) {
        publication.upsertedTeams.push_back(fromWire(team));
    }
    BOOST_LEAF_CHECK(configuration.validate(publication));
    configuration.applyChange(publication);
    for (const wire::KeyGrant &grant : snapshot.keys()) {
        configuration.applyChange(fromWire(grant));
    }
    for (const std::string &zone : snapshot.zones_out()) {
        configuration.applyChange(AvailabilityZoneState { zone, true });
    }
    for (const std::string &vm : snapshot.vms_out()) {
        configuration.applyChange(VmState { vm, true });
    }
    configuration.setVersion(snapshot.version());
    return configuration;
}

} // namespace daisyhaven::configuration

// State machine of the replicated log: the newest configuration document, the zones out of service,
// the deregistered servers, the newest roll-out of each service and the known servers. The known
// servers are stored so that a fleet that lost power serves requests before every server has
// announced itself again. Applying a command is deterministic. Items whose names cannot be read are
// left out.
#pragma once

#include "coordination/coordination.h"
#include "directory/directory.h"
#include "peer/generated/peer.pb.h"
#include "result/result.h"
#include "rollout/rollout.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisyhaven::coordination {

class DurableState
{
public:
    // The part of the state that a command changed.
    enum class Change : std::uint8_t { None, Document, Zones, Deregistrations, Servers, Rollouts };

    Change apply(std::uint64_t index, const wire::CoordinationCommand &command);
    std::string toSnapshot() const { return toWire().SerializeAsString(); }
    // An empty snapshot is the state before the first command. A configuration is kept if the
    // snapshot has none: releases that took version 0 for none left it out. Errors: RecordDamaged.
    Result<void> restore(const std::string &snapshot);
    // Returns the version, the zones out of service, the roll-outs and, if `withDocument`, the
    // document: the part of the state that all VMs need.
    wire::CoordinationState toViewState(bool withDocument) const;

    // The newest configuration; empty until one is committed. Any version may be the first one.
    const std::optional<StoredConfiguration> &configuration() const { return configuration_; }
    // Returns whether `version` is newer than the stored configuration, if there is one.
    bool isNewer(std::uint64_t version) const
    {
        return !configuration_ || version > configuration_->version;
    }
    const std::set<std::string> &zonesOutOfService() const { return zonesOutOfService_; }
    const std::deque<directory::Deregistration> &deregistrations() const
    {
        return deregistrations_;
    }
    const std::map<std::string, wire::FleetServer> &servers() const { return servers_; }
    // The newest roll-out of each service that had one.
    const std::map<std::string, rollout::Rollout> &rollouts() const { return rollouts_; }
    // Index of the log entry that last changed the document, the zones or the roll-outs.
    std::uint64_t lastChangeIndex() const { return lastChangeIndex_; }

private:
    wire::CoordinationState toWire() const;
    void recordServer(const wire::FleetServer &server);
    Change recordRollout(std::uint64_t index, const wire::Rollout &message);
    void recordDeregistration(directory::Deregistration deregistration);

    std::optional<StoredConfiguration> configuration_;
    std::set<std::string> zonesOutOfService_;
    std::deque<directory::Deregistration> deregistrations_;
    std::map<std::string, wire::FleetServer> servers_;
    std::map<std::string, rollout::Rollout> rollouts_;
    std::uint64_t lastChangeIndex_ = 0;
};

} // namespace daisyhaven::coordination

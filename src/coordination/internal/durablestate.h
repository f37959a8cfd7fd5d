// What the replicated log makes: the newest configuration document, the zones that are out, the
// servers that leave, and those that were known, so that a fleet that lost power serves before all
// servers have announced themselves again. Applying a command is deterministic.
#pragma once

#include "directory/directory.h"
#include "peer/generated/peer.pb.h"
#include "result/result.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace daisyhaven::coordination {

class DurableState
{
public:
    // What a command changed.
    enum class Change : std::uint8_t { Nothing, Document, Zones, Departures, Servers };

    Change apply(std::uint64_t index, const wire::CoordinationCommand &command);
    std::string toSnapshot() const { return toWire().SerializeAsString(); }
    // An empty snapshot is the state before the first command. Errors: RecordDamaged.
    Result<void> restore(const std::string &snapshot);
    // Without what only control VMs need.
    wire::CoordinationState forView() const;

    std::uint64_t version() const { return version_; }
    const std::string &document() const { return document_; }
    const std::set<std::string> &zonesOut() const { return zonesOut_; }
    const std::deque<directory::Departure> &departures() const { return departures_; }
    const std::map<std::string, wire::FleetServer> &servers() const { return servers_; }
    // Index of the command that changed the document or the zones last.
    std::uint64_t index() const { return index_; }

private:
    wire::CoordinationState toWire() const;
    void remember(directory::Departure departure);

    std::uint64_t version_ = 0;
    std::string document_;
    std::set<std::string> zonesOut_;
    std::deque<directory::Departure> departures_;
    std::map<std::string, wire::FleetServer> servers_;
    std::uint64_t index_ = 0;
};

} // namespace daisyhaven::coordination

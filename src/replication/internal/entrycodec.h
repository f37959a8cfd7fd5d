// Converts log entries, snapshots and consensus messages of control replicas to and from the inner
// protocol.
#pragma once

#include "consensus/consensus.h"
#include "peer/generated/peer.pb.h"
#include "replication/replication.h"

namespace daisyhaven::replication {

wire::LogEntry toWire(const consensus::Entry &entry);
consensus::Entry fromWire(const wire::LogEntry &message);
wire::ReplicaMembers toWire(const consensus::Members &members);
consensus::Members fromWire(const wire::ReplicaMembers &message);
wire::SnapshotFile toWire(const consensus::Snapshot &snapshot);
consensus::Snapshot fromWire(const wire::SnapshotFile &message);
wire::ConsensusMessage toWire(const consensus::Message &message);
consensus::Message fromWire(const wire::ConsensusMessage &message);

} // namespace daisyhaven::replication

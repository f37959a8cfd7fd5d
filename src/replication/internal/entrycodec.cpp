#include "replication/internal/entrycodec.h"

#include <algorithm>

namespace daisyhaven::replication {

wire::LogEntry toWire(const consensus::Entry &entry)
{
    wire::LogEntry message;
    message.set_index(entry.index);
    message.set_term(entry.term);
    message.set_kind(static_cast<std::uint32_t>(entry.kind));
    message.set_payload(entry.kind == consensus::EntryKind::Membership
                            ? toWire(entry.members).SerializeAsString()
                            : entry.payload);
    return message;
}

consensus::Entry fromWire(const wire::LogEntry &message)
{
    consensus::Entry entry;
    entry.index = message.index();
    entry.term = message.term();
    entry.kind = static_cast<consensus::EntryKind>(std::min<std::uint32_t>(message.kind(), 2));
    if (entry.kind == consensus::EntryKind::Membership) {
        wire::ReplicaMembers members;
        members.ParseFromString(message.payload());
        entry.members = fromWire(members);
    } else {
        entry.payload = message.payload();
    }
    return entry;
}

wire::ReplicaMember toWire(const consensus::MemberInfo &member)
{
    wire::ReplicaMember message;
    message.set_vm(member.vm);
    message.set_identity(member.replicaId);
    message.set_peer_address(member.peerAddress);
    message.set_role(static_cast<std::uint32_t>(member.role));
    return message;
}

wire::ReplicaMembers toWire(const consensus::Members &members)
{
    wire::ReplicaMembers message;
    for (const consensus::MemberInfo &member : members) {
        *message.add_members() = toWire(member);
    }
    return message;
}

consensus::Members fromWire(const wire::ReplicaMembers &message)
{
    consensus::Members members;
    for (const wire::ReplicaMember &member : message.members()) {
        const bool known =
            member.role() <= static_cast<std::uint32_t>(consensus::MemberRole::Outgoing);
        members.push_back({ member.vm(), member.identity(), member.peer_address(),
                            known ? static_cast<consensus::MemberRole>(member.role())
                                  : consensus::MemberRole::Voter });
    }
    return members;
}

wire::SnapshotFile toWire(const consensus::Snapshot &snapshot)
{
    wire::SnapshotFile message;
    message.set_index(snapshot.index);
    message.set_term(snapshot.term);
    *message.mutable_members() = toWire(snapshot.members);
    message.set_state(snapshot.state);
    return message;
}

consensus::Snapshot fromWire(const wire::SnapshotFile &message)
{
    return { message.index(), message.term(), fromWire(message.members()), message.state() };
}

wire::ConsensusMessage toWire(const consensus::Message &message)
{
    wire::ConsensusMessage result;
    result.set_kind(static_cast<std::uint32_t>(message.kind));
    result.set_from(message.from);
    result.set_from_address(message.fromAddress);
    result.set_to(message.to);
    result.set_term(message.term);
    result.set_log_index(message.logIndex);
    result.set_log_term(message.logTerm);
    result.set_commit(message.commitIndex);
    result.set_granted(message.granted);
    result.set_sequence(message.sequence);
    result.set_leader_silence_us(
        static_cast<std::uint64_t>(message.timeSinceLeaderContact.count()));
    for (const consensus::Entry &entry : message.entries) {
        *result.add_entries() = toWire(entry);
    }
    if (message.snapshot) {
        result.set_snapshot(toWire(*message.snapshot).SerializeAsString());
    }
    return result;
}

consensus::Message fromWire(const wire::ConsensusMessage &message)
{
    consensus::Message result;
    result.kind =
        static_cast<consensus::MessageKind>(std::clamp<std::uint32_t>(message.kind(), 1, 7));
    result.from = message.from();
    result.fromAddress = message.from_address();
    result.to = message.to();
    result.term = message.term();
    result.logIndex = message.log_index();
    result.logTerm = message.log_term();
    result.commitIndex = message.commit();
    result.granted = message.granted();
    result.sequence = message.sequence();
    result.timeSinceLeaderContact =
        Duration(static_cast<Duration::rep>(message.leader_silence_us()));
    for (const wire::LogEntry &entry : message.entries()) {
        result.entries.push_back(fromWire(entry));
    }
    wire::SnapshotFile snapshot;
    if (!message.snapshot().empty() && snapshot.ParseFromString(message.snapshot())) {
        result.snapshot = fromWire(snapshot);
    }
    return result;
}

} // namespace daisyhaven::replication

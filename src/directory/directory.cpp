#include "directory/directory.h"

#include <algorithm>

namespace daisyhaven::directory {

namespace {

// A cold start that ends earlier than announced, by more than this, counts as a change.
constexpr Milliseconds MinColdStartReduction { 200 };

// Returns the fields whose change other processes must learn. The sequence is not one of them.
auto significantFields(const Announcement &announcement)
{
    return std::tie(announcement.service, announcement.address, announcement.zone,
                    announcement.slots, announcement.draining, announcement.born);
}

} // namespace

const Entry *Directory::find(const std::string &id) const
{
    const auto entry = entries_.find(id);
    return entry == entries_.end() ? nullptr : &entry->second;
}

void Directory::erase(const std::string &id, const Removed &onRemoved)
{
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) {
        return;
    }
    const auto addressOwner = idsByAddress_.find(entry->second.said.address);
    if (addressOwner != idsByAddress_.end() && addressOwner->second == id) {
        idsByAddress_.erase(addressOwner);
    }
    entries_.erase(entry);
    if (onRemoved) {
        onRemoved(id);
    }
}

bool Directory::hasDeparted(const std::string &id, std::uint64_t startTimeMs) const
{
    const auto deregistration = deregistrations_.find(id);
    return deregistration != deregistrations_.end() && startTimeMs <= deregistration->second.born;
}

Effect Directory::announce(Instant now, const Announcement &announcement, const Removed &onRemoved)
{
    const auto known = entries_.find(announcement.id);
    if (known != entries_.end()) {
        const Announcement &current = known->second.said;
        const bool older = announcement.born < current.born
            || (announcement.born == current.born && announcement.sequence <= current.sequence);
        if (older) {
            return Effect::Outdated;
        }
    }
    const auto deregistration = deregistrations_.find(announcement.id);
    const bool deregistered = hasDeparted(announcement.id, announcement.born);
    if (deregistered && deregistration->second.gone) {
        return Effect::Outdated;
    }
    const auto addressOwner = idsByAddress_.find(announcement.address);
    if (addressOwner != idsByAddress_.end() && addressOwner->second != announcement.id) {
        if (entries_.at(addressOwner->second).said.born > announcement.born) {
            return Effect::Outdated;
        }
        erase(std::string(addressOwner->second), onRemoved);
    }
    const bool sameProcess =
        known != entries_.end() && known->second.said.born == announcement.born;
    const Instant previousColdStartUntil = sameProcess ? known->second.coldUntil : Instant();
    Entry entry;
    entry.said = announcement;
    entry.said.draining = announcement.draining || deregistered;
    entry.heardAt = now;
    entry.coldUntil = now + announcement.coldRemaining;
    const bool coldStartBegan =
        announcement.coldRemaining.count() > 0 && previousColdStartUntil <= now;
    // A new leader restores servers from the log with the cold start state of the time at which the
    // entry was written.
    const bool coldStartEnded = announcement.coldRemaining.count() <= 0
        && previousColdStartUntil > now + MinColdStartReduction;
    const bool changed = !sameProcess || coldStartBegan || coldStartEnded
        || significantFields(known->second.said) != significantFields(entry.said);
    if (known != entries_.end()) {
        idsByAddress_.erase(known->second.said.address);
    }
    idsByAddress_[announcement.address] = announcement.id;
    entries_[announcement.id] = std::move(entry);
    return changed ? Effect::Changed : Effect::Refreshed;
}

void Directory::depart(const Departure &deregistration, const Removed &onRemoved)
{
    Departure &known = deregistrations_[deregistration.id];
    const bool older = deregistration.born < known.born;
    if (older) {
        return;
    }
    const bool wasTerminated =
        known.id == deregistration.id && known.born == deregistration.born && known.gone;
    known = deregistration;
    known.gone = deregistration.gone || wasTerminated;
    const auto entry = entries_.find(deregistration.id);
    if (entry == entries_.end() || entry->second.said.born > deregistration.born) {
        return;
    }
    if (known.gone) {
        erase(deregistration.id, onRemoved);
    } else {
        entry->second.said.draining = true;
    }
}

void Directory::expire(Instant now, Duration maxAge, const Removed &onRemoved)
{
    std::vector<std::string> expired;
    for (const auto &[id, entry] : entries_) {
        if (now - entry.heardAt > maxAge) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        erase(id, onRemoved);
    }
}

void Directory::seed(Instant now, const Announcement &announcement)
{
    announce(now, announcement, nullptr);
}

} // namespace daisyhaven::directory

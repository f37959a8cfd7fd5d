#include "directory/directory.h"

#include "text/text.h"

#include <algorithm>

namespace daisyhaven::directory {

namespace {

// A cold start that ends earlier than announced, by more than this, counts as a change.
constexpr Milliseconds MinColdStartReduction { 200 };

constexpr std::uint32_t MaxSlots = 100'000;
constexpr Seconds MaxColdStart { 3600 };

Result<void> checkName(const char *what, const std::string &name)
{
    if (!isName(name)) {
        return fail(ResultCode::AnnouncementInvalid,
                    std::string(what) + " is empty or is not plain text: " + name);
    }
    return {};
}

// Returns the fields whose change other processes must learn. The sequence is not one of them.
auto significantFields(const Announcement &announcement)
{
    return std::tie(announcement.service, announcement.address, announcement.zone,
                    announcement.version, announcement.slots, announcement.draining,
                    announcement.startTimeMs);
}

} // namespace

Result<void> checkServerId(const std::string &id)
{
    return checkName("id", id);
}

Result<void> checkAnnouncement(const Announcement &announcement)
{
    BOOST_LEAF_CHECK(checkServerId(announcement.id));
    BOOST_LEAF_CHECK(checkName("service", announcement.service));
    BOOST_LEAF_CHECK(checkName("address", announcement.address));
    if (!isPlainText(announcement.zone)) {
        return fail(ResultCode::AnnouncementInvalid, announcement.id + ": zone is not plain text");
    }
    if (!isPlainText(announcement.version)) {
        return fail(ResultCode::AnnouncementInvalid,
                    announcement.id + ": version is not plain text");
    }
    if (announcement.slots == 0 || announcement.slots > MaxSlots) {
        return fail(ResultCode::AnnouncementInvalid, announcement.id + ": slots is out of range");
    }
    const Duration coldStart = announcement.coldStartRemaining;
    if (coldStart < Duration(0) || coldStart > MaxColdStart) {
        return fail(ResultCode::AnnouncementInvalid,
                    announcement.id + ": the time of the cold start is out of range");
    }
    return {};
}

const ServerEntry *Directory::find(const std::string &id) const
{
    const auto entry = entries_.find(id);
    return entry == entries_.end() ? nullptr : &entry->second;
}

const ServerEntry *Directory::findByAddress(const std::string &address) const
{
    const auto owner = idsByAddress_.find(address);
    return owner == idsByAddress_.end() ? nullptr : find(owner->second);
}

void Directory::erase(const std::string &id, const RemovedCallback &onRemoved)
{
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) {
        return;
    }
    const auto addressOwner = idsByAddress_.find(entry->second.announcement.address);
    if (addressOwner != idsByAddress_.end() && addressOwner->second == id) {
        idsByAddress_.erase(addressOwner);
    }
    entries_.erase(entry);
    if (onRemoved) {
        onRemoved(id);
    }
}

bool Directory::isDeregistered(const std::string &id, std::uint64_t startTimeMs) const
{
    const auto deregistration = deregistrations_.find(id);
    return deregistration != deregistrations_.end()
        && startTimeMs <= deregistration->second.startTimeMs;
}

AnnounceResult Directory::announce(Instant now, const Announcement &announcement,
                                   const RemovedCallback &onRemoved)
{
    const auto known = entries_.find(announcement.id);
    if (known != entries_.end()) {
        const Announcement &current = known->second.announcement;
        const bool older = announcement.startTimeMs < current.startTimeMs
            || (announcement.startTimeMs == current.startTimeMs
                && announcement.sequence <= current.sequence);
        if (older) {
            return AnnounceResult::Stale;
        }
    }
    const auto deregistration = deregistrations_.find(announcement.id);
    const bool deregistered = isDeregistered(announcement.id, announcement.startTimeMs);
    if (deregistered && deregistration->second.terminated) {
        return AnnounceResult::Stale;
    }
    const auto addressOwner = idsByAddress_.find(announcement.address);
    if (addressOwner != idsByAddress_.end() && addressOwner->second != announcement.id) {
        if (entries_.at(addressOwner->second).announcement.startTimeMs > announcement.startTimeMs) {
            return AnnounceResult::Stale;
        }
        erase(std::string(addressOwner->second), onRemoved);
    }
    const bool sameProcess = known != entries_.end()
        && known->second.announcement.startTimeMs == announcement.startTimeMs;
    const Instant previousColdStartUntil = sameProcess ? known->second.coldStartUntil : Instant();
    ServerEntry entry;
    entry.announcement = announcement;
    entry.announcement.draining = announcement.draining || deregistered;
    entry.receivedAt = now;
    entry.coldStartUntil = now + announcement.coldStartRemaining;
    const bool coldStartBegan =
        announcement.coldStartRemaining.count() > 0 && previousColdStartUntil <= now;
    // A new leader restores servers from the log with the cold start state of the time at which the
    // entry was written.
    const bool coldStartEnded = announcement.coldStartRemaining.count() <= 0
        && previousColdStartUntil > now + MinColdStartReduction;
    const bool changed = !sameProcess || coldStartBegan || coldStartEnded
        || significantFields(known->second.announcement) != significantFields(entry.announcement);
    if (known != entries_.end()) {
        idsByAddress_.erase(known->second.announcement.address);
    }
    idsByAddress_[announcement.address] = announcement.id;
    entries_[announcement.id] = std::move(entry);
    return changed ? AnnounceResult::Changed : AnnounceResult::Refreshed;
}

void Directory::deregister(const Deregistration &deregistration, const RemovedCallback &onRemoved)
{
    Deregistration &known = deregistrations_[deregistration.id];
    const bool older = deregistration.startTimeMs < known.startTimeMs;
    if (older) {
        return;
    }
    const bool wasTerminated = known.id == deregistration.id
        && known.startTimeMs == deregistration.startTimeMs && known.terminated;
    known = deregistration;
    known.terminated = deregistration.terminated || wasTerminated;
    const auto entry = entries_.find(deregistration.id);
    if (entry == entries_.end()
        || entry->second.announcement.startTimeMs > deregistration.startTimeMs) {
        return;
    }
    if (known.terminated) {
        erase(deregistration.id, onRemoved);
    } else {
        entry->second.announcement.draining = true;
    }
}

void Directory::removeExpired(Instant now, Duration maxAge, const RemovedCallback &onRemoved)
{
    std::vector<std::string> expired;
    for (const auto &[id, entry] : entries_) {
        if (now - entry.receivedAt > maxAge) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        erase(id, onRemoved);
    }
}

void Directory::restore(Instant now, const Announcement &announcement)
{
    announce(now, announcement, nullptr);
}

} // namespace daisyhaven::directory

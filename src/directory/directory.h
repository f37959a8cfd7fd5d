// Directory of the backend servers that announce themselves.
//
// Announcements may arrive late, duplicated, out of order or from processes that have terminated. A
// process is identified by its id and its start time. A process with a later start time replaces
// one with an earlier start time at the same id or address; within one process the announcement
// with the highest sequence is current. A process that deregistered stays deregistered.
//
// Example:
//     Directory directory;
//     if (directory.announce(now, announcement, nullptr) == AnnounceResult::Changed) { ... }
//
// Thread safety: not thread-safe. Performs no I/O and reads no clock.
#pragma once

#include "result/result.h"
#include "timer/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace daisyhaven::directory {

struct Announcement
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    // Version of its software; empty if it names none.
    std::string version;
    std::uint32_t slots = 1;
    bool draining = false;
    // Remaining time of the cold start.
    Duration coldStartRemaining { 0 };
    std::uint64_t sequence = 0;
    // Start time of the process in Unix milliseconds.
    std::uint64_t startTimeMs = 0;
};

// Checks what an announcement says, whoever wrote it: a name, address or number that the fleet's
// messages and log cannot hold must not enter the directory. Errors: AnnouncementInvalid.
Result<void> checkAnnouncement(const Announcement &announcement);

// Checks the id of a server. Errors: AnnouncementInvalid.
Result<void> checkServerId(const std::string &id);

struct ServerEntry
{
    Announcement announcement;
    Instant receivedAt;
    Instant coldStartUntil;
};

enum class AnnounceResult : std::uint8_t {
    Stale, // older than the current state, or from a terminated process
    Refreshed, // no significant field changed
    Changed,
};

// Deregistration of a process.
struct Deregistration
{
    std::string id;
    std::uint64_t startTimeMs = 0;
    // The process has terminated; otherwise it drains.
    bool terminated = false;

    auto tied() const { return std::tie(id, startTimeMs, terminated); }
    friend bool operator==(const Deregistration &a, const Deregistration &b)
    {
        return a.tied() == b.tied();
    }
};

class Directory
{
public:
    // Called with the id of each entry that announce(), deregister() or removeExpired() removes.
    using RemovedCallback = std::function<void(const std::string &id)>;

    AnnounceResult announce(Instant now, const Announcement &announcement,
                            const RemovedCallback &onRemoved);
    // Records the deregistration of a process, whether the process is known or not.
    void deregister(const Deregistration &deregistration, const RemovedCallback &onRemoved);
    // Returns true if a process at `id` with this start time or a later one has deregistered.
    bool isDeregistered(const std::string &id, std::uint64_t startTimeMs) const;
    // Removes entries whose last announcement is older than `maxAge`.
    void removeExpired(Instant now, Duration maxAge, const RemovedCallback &onRemoved);
    // Restores an entry from the state of another process, as if it was announced now.
    void restore(Instant now, const Announcement &announcement);

    const std::map<std::string, ServerEntry> &entries() const { return entries_; }
    const ServerEntry *find(const std::string &id) const;
    const ServerEntry *findByAddress(const std::string &address) const;

private:
    void erase(const std::string &id, const RemovedCallback &onRemoved);

    std::map<std::string, ServerEntry> entries_;
    std::map<std::string, std::string> idsByAddress_;
    std::map<std::string, Deregistration> deregistrations_;
};

} // namespace daisyhaven::directory

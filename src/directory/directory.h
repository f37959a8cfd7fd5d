// Backend servers as they announce themselves.
//
// Announcements come late, twice, out of order and from processes that are gone. A process is known
// by its id and its time of birth; a later birth replaces an earlier one at the same id or address,
// and within one process the highest sequence counts. Once a process has said that it leaves, it
// does not come back.
//
// Example:
//     Directory directory;
//     if (directory.announce(now, announcement) == Effect::Changed) { ... }
//
// Thread safety: none; no I/O and no clock inside.
#pragma once

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
    std::uint32_t slots = 1;
    bool draining = false;
    // How much longer it counts as cold.
    Duration coldRemaining { 0 };
    std::uint64_t sequence = 0;
    // Start of the process, Unix milliseconds.
    std::uint64_t born = 0;
};

struct Entry
{
    Announcement said;
    Instant heardAt;
    Instant coldUntil;
};

enum class Effect : std::uint8_t {
    Outdated, // of a process or a moment that is past
    Refreshed, // nothing new
    Changed,
};

// A process that said that it leaves.
struct Departure
{
    std::string id;
    std::uint64_t born = 0;
    // It has left; otherwise it drains.
    bool gone = false;

    auto tied() const { return std::tie(id, born, gone); }
    friend bool operator==(const Departure &a, const Departure &b) { return a.tied() == b.tied(); }
};

class Directory
{
public:
    // Called with the id of each entry that announce() or depart() removes.
    using Removed = std::function<void(const std::string &id)>;

    Effect announce(Instant now, const Announcement &announcement, const Removed &removed);
    // Records that a process leaves, whether it is known or not.
    void depart(const Departure &departure, const Removed &removed);
    // True if the process that was born then, or a later one, is known to leave.
    bool hasDeparted(const std::string &id, std::uint64_t born) const;
    // Removes entries that were not heard for `silence`.
    void expire(Instant now, Duration silence, const Removed &removed);
    // Takes what another process knew, as heard now.
    void seed(Instant now, const Announcement &known);

    const std::map<std::string, Entry> &entries() const { return entries_; }
    const Entry *find(const std::string &id) const;

private:
    void erase(const std::string &id, const Removed &removed);

    std::map<std::string, Entry> entries_;
    std::map<std::string, std::string> idsByAddress_;
    std::map<std::string, Departure> departures_;
};

} // namespace daisyhaven::directory

// Relays that an entry VM can use while it cannot reach the leader itself.
//
// The leader names relays in advance, chosen at random. A VM that loses the leader tries them in
// turn: when many VMs are partitioned from the control group at once, most of the relays are too.
#pragma once

#include "peer/peer.h"
#include "timer/timer.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace daisyhaven::coordination {

class RelayList
{
public:
    // Returns whether the list is older than RefreshPeriod.
    bool isOutdated(Instant now) const
    {
        return relays_.empty() || now - updatedAt_ >= RefreshPeriod;
    }

    // Replaces the list with relays that the leader named.
    void replace(Instant now, std::vector<peer::Address> relays)
    {
        relays_.assign(relays.begin(), relays.end());
        updatedAt_ = now;
    }

    // Tries `relay` next: another VM reached the leader through it.
    void tryNext(const peer::Address &relay)
    {
        relays_.erase(std::remove(relays_.begin(), relays_.end(), relay), relays_.end());
        relays_.push_front(relay);
        if (relays_.size() > MaxRelays) {
            relays_.pop_back();
        }
    }

    // Returns the next `count` relays to try. The list starts over after the last one.
    std::vector<peer::Address> takeNext(std::size_t count)
    {
        std::vector<peer::Address> next;
        for (std::size_t i = 0; i < std::min(count, relays_.size()); ++i) {
            next.push_back(relays_.front());
            std::rotate(relays_.begin(), relays_.begin() + 1, relays_.end());
        }
        return next;
    }

private:
    static constexpr Seconds RefreshPeriod { 15 };
    static constexpr std::size_t MaxRelays = 64;

    std::deque<peer::Address> relays_;
    Instant updatedAt_;
};

} // namespace daisyhaven::coordination

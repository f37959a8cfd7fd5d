// Other entry VMs through which this VM sends requests while it cannot reach the backend servers
// itself. The leader names VMs whose requests succeed.
#pragma once

#include "coordination/coordination.h"
#include "timer/timer.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisyhaven::gateway {

class RequestRelays
{
public:
    enum class Outcome : std::uint8_t {
        Responded,
        // The relay cannot serve the request and has not run it.
        Refused,
        // The relay could not be reached or did not respond.
        Failed,
    };

    explicit RequestRelays(std::uint64_t seed) : random_(seed) { }

    // Returns the relay with the fewest requests of this VM, in `zone` if possible, without the
    // `excluded` addresses; nothing if none is usable.
    std::optional<std::string> pick(Instant now,
                                    const std::vector<coordination::RequestRelay> &relays,
                                    const std::string &zone, const std::set<std::string> &excluded);
    void recordStart(const std::string &address) { ++relays_[address].inFlight; }
    void recordEnd(Instant now, const std::string &address, Outcome outcome);

private:
    struct RelayState
    {
        std::uint32_t inFlight = 0;
        Instant unusableUntil;
    };

    std::mt19937_64 random_;
    std::map<std::string, RelayState> relays_;
};

} // namespace daisyhaven::gateway

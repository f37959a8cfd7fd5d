// Keeps the servers of a complete view in wire format for a short time.
//
// After an election every VM asks the new leader for a complete view. Encoding all servers again
// for each of hundreds of VMs would keep the leader from its heartbeats, and it would lose its
// lease.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <string>

namespace daisyhaven::coordination {

// All servers as of `sequence`, in wire format.
struct EncodedServers
{
    std::uint64_t sequence = 0;
    std::string bytes;
};

class CompleteViewCache
{
public:
    // The remaining cold starts in a cached view are too long by up to this time.
    static constexpr Milliseconds Lifetime { 100 };

    // Returns the servers that the leader of `epoch` encoded within Lifetime, or else the result of
    // `encode`.
    template <class Encode>
    const EncodedServers &get(Instant now, std::uint64_t epoch, Encode encode)
    {
        const bool usable = epoch == epoch_ && now - encodedAt_ < Lifetime;
        if (!usable) {
            servers_ = encode();
            epoch_ = epoch;
            encodedAt_ = now;
        }
        return servers_;
    }

private:
    EncodedServers servers_;
    std::uint64_t epoch_ = 0;
    Instant encodedAt_;
};

} // namespace daisyhaven::coordination

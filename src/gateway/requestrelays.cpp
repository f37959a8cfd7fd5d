#include "gateway/internal/requestrelays.h"

namespace daisyhaven::gateway {

namespace {

// A request more on a relay of the own zone is better than one less on a relay of another zone.
constexpr double OtherZoneCost = 1.5;
// Short, since the relays that are left are few when most VMs are disconnected.
constexpr Milliseconds RefusalBackoff { 500 };
constexpr Milliseconds FailureBackoff { 2000 };

} // namespace

std::optional<std::string>
RequestRelays::pick(Instant now, const std::vector<coordination::RequestRelay> &relays,
                    const std::string &zone, const std::set<std::string> &excluded)
{
    std::uniform_real_distribution<double> jitter(0, 1);
    const std::string *best = nullptr;
    double bestCost = 0;
    for (const coordination::RequestRelay &relay : relays) {
        const RelayState &state = relays_[relay.address];
        if (excluded.count(relay.address) != 0 || now < state.unusableUntil) {
            continue;
        }
        const double cost =
            state.inFlight + (relay.zone == zone ? 0 : OtherZoneCost) + jitter(random_);
        if (best == nullptr || cost < bestCost) {
            best = &relay.address;
            bestCost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<std::string>(*best);
}

void RequestRelays::recordEnd(Instant now, const std::string &address, Outcome outcome)
{
    RelayState &state = relays_[address];
    --state.inFlight;
    switch (outcome) {
    case Outcome::Responded:
        return;
    case Outcome::Refused:
        state.unusableUntil = now + RefusalBackoff;
        return;
    case Outcome::Failed:
        state.unusableUntil = now + FailureBackoff;
        return;
    }
}

} // namespace daisyhaven::gateway

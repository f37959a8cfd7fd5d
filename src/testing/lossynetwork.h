// A simulated network between state machines, for tests. It delays, duplicates, reorders and drops
// messages, and each direction of a link can be cut separately.
//
// Example:
//     LossyNetwork<Message> network(seed, { 0.1, 0.05, Milliseconds(200) });
//     network.send(now, 0, 1, message);
//     network.deliver(now, [&](int from, int to, const Message &message) { ... });
#pragma once

#include "timer/timer.h"

#include <map>
#include <random>
#include <set>
#include <utility>

namespace daisyhaven::testing {

struct NetworkFaults
{
    double lossProbability = 0;
    double duplicationProbability = 0;
    Duration maxDelay = Milliseconds(2);
};

template <class Message> class LossyNetwork
{
public:
    LossyNetwork(std::uint64_t seed, NetworkFaults faults) : random_(seed), faults_(faults) { }

    void setFaults(NetworkFaults faults) { faults_ = faults; }
    void cutLink(int from, int to) { cutLinks_.insert({ from, to }); }
    void restoreAllLinks() { cutLinks_.clear(); }
    bool isLinkCut(int from, int to) const { return cutLinks_.count({ from, to }) != 0; }

    void send(Instant now, int from, int to, const Message &message)
    {
        if (isLinkCut(from, to) || randomBool(faults_.lossProbability)) {
            return;
        }
        const int copies = randomBool(faults_.duplicationProbability) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            std::uniform_int_distribution<Duration::rep> delay(100, faults_.maxDelay.count());
            inFlight_.emplace(now + Duration(delay(random_)),
                              InFlightMessage { from, to, message });
        }
    }

    // Delivers all messages due by `now`. Messages in flight on a link that is cut are dropped.
    template <class Receive> void deliver(Instant now, Receive &&receive)
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now) {
            const InFlightMessage inFlight = inFlight_.begin()->second;
            inFlight_.erase(inFlight_.begin());
            if (!isLinkCut(inFlight.from, inFlight.to)) {
                receive(inFlight.from, inFlight.to, inFlight.message);
            }
        }
    }

    bool randomBool(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }
    int randomInt(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }

private:
    struct InFlightMessage
    {
        int from;
        int to;
        Message message;
    };

    std::mt19937_64 random_;
    NetworkFaults faults_;
    std::multimap<Instant, InFlightMessage> inFlight_;
    std::set<std::pair<int, int>> cutLinks_;
};

} // namespace daisyhaven::testing

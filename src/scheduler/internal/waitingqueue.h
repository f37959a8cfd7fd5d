// Requests of one service that wait for a slot.
//
// Order: by priority, the most urgent (lowest number) first; within a priority, requests that can
// still meet their target time come first. Each of these groups is in order of arrival.
#pragma once

#include "scheduler/internal/eventrate.h"
#include "scheduler/scheduler.h"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace daisyhaven::scheduler::internal {

struct WaitingRequest
{
    SlotRequest request;
    Instant enqueuedAt;
    // A slot granted until then allows a response within the target time.
    Instant targetStartTime;
    // A slot granted later does not allow a response before the deadline.
    Instant latestStartTime;
};

class WaitingQueue
{
public:
    void push(WaitingRequest waiting)
    {
        byPriority_[waiting.request.priority].push_back(std::move(waiting));
    }

    bool empty() const { return size() == 0; }

    std::size_t size() const
    {
        std::size_t count = 0;
        for (const auto &[priority, requests] : byPriority_) {
            count += requests.size();
        }
        return count;
    }

    // Number of requests that are served before a new one of `priority`.
    std::size_t countAhead(std::uint32_t priority) const
    {
        std::size_t count = 0;
        for (const auto &[other, requests] : byPriority_) {
            count += other <= priority ? requests.size() : 0;
        }
        return count;
    }

    // Offers the requests in order to `tryGrant`, which returns whether it granted a slot. Stops
    // after `maxMisses` requests without a slot.
    template <class TryGrant> void grantInOrder(Instant now, int maxMisses, TryGrant tryGrant)
    {
        for (auto &[priority, requests] : byPriority_) {
            for (const bool inTarget : { true, false }) {
                auto waiting = requests.begin();
                while (waiting != requests.end()) {
                    const bool isEligible = (now <= waiting->targetStartTime) == inTarget;
                    if (isEligible && tryGrant(*waiting)) {
                        waiting = requests.erase(waiting);
                        continue;
                    }
                    if (isEligible && --maxMisses <= 0) {
                        return;
                    }
                    ++waiting;
                }
            }
        }
    }

    // Removes and returns the requests that can no longer be served before their deadlines.
    std::vector<SlotRequest> takeExpired(Instant now)
    {
        std::vector<SlotRequest> expired;
        for (auto &[priority, requests] : byPriority_) {
            for (auto waiting = requests.begin(); waiting != requests.end();) {
                if (now < waiting->latestStartTime) {
                    ++waiting;
                    continue;
                }
                expired.push_back(std::move(waiting->request));
                waiting = requests.erase(waiting);
            }
        }
        return expired;
    }

    std::optional<SlotRequest> remove(const SlotRequestKey &key)
    {
        for (auto &[priority, requests] : byPriority_) {
            for (auto waiting = requests.begin(); waiting != requests.end(); ++waiting) {
                if (waiting->request.key == key) {
                    SlotRequest request = std::move(waiting->request);
                    requests.erase(waiting);
                    return request;
                }
            }
        }
        return std::nullopt;
    }

private:
    std::map<std::uint32_t, std::list<WaitingRequest>> byPriority_;
};

// Arrival rates of requests by priority.
class RequestRateByPriority
{
public:
    void record(Instant now, std::uint32_t priority) { rates_[priority].record(now); }

    // Arrival rate of requests that are more urgent than `priority`.
    double higherPriorityPerSecond(Instant now, std::uint32_t priority) const
    {
        double perSecond = 0;
        for (const auto &[other, rate] : rates_) {
            perSecond += other < priority ? rate.perSecond(now) : 0;
        }
        return perSecond;
    }

private:
    std::map<std::uint32_t, EventRate> rates_;
};

} // namespace daisyhaven::scheduler::internal

// Queue of requests that wait for a slot, ordered by priority and then by weighted fair queuing
// between teams.
#pragma once

#include "dispatch/dispatch.h"

#include <array>
#include <deque>
#include <functional>
#include <list>

namespace daisyhaven::dispatch::internal {

constexpr std::size_t PriorityCount = 3;

struct QueuedRequest
{
    SlotRequest request;
    Instant enqueuedAt;
    Instant waitUntil;
};

class WaitQueue
{
public:
    void push(QueuedRequest queued);
    // Calls `tryPlace` with the oldest request of each team, in fair order, until it returns true,
    // and removes that request. Returns false if `tryPlace` returned true for none.
    bool grantNext(const std::function<bool(const SlotRequest &)> &tryPlace);
    // Removes the request. Returns false if it is not queued.
    bool remove(const AttemptId &id);
    // Removes and returns the requests for which `predicate` holds.
    std::vector<QueuedRequest>
    removeIf(const std::function<bool(const QueuedRequest &)> &predicate);
    // Removes and returns the newest request of the team with the most queued requests relative to
    // its weight, in the lowest priority that has queued requests.
    std::optional<QueuedRequest> dropFromLongestQueue();

    std::size_t size() const { return size_; }
    // Returns the estimated number of requests to be served before a new one of this team, weight
    // and priority.
    double requestsAhead(const SlotRequest &request) const;

private:
    struct Team
    {
        double weight = 1;
        double virtualStart = 0; // virtual start time of the next request
        std::deque<QueuedRequest> queued;
    };
    struct PriorityLevel
    {
        double virtualTime = 0;
        std::map<std::string, Team> teams;
    };

    static std::vector<std::string> teamsInFairOrder(const PriorityLevel &level);

    std::array<PriorityLevel, PriorityCount> levels_;
    std::size_t size_ = 0;
};

} // namespace daisyhaven::dispatch::internal

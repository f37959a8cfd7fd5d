#include "dispatch/internal/waitqueue.h"

#include <algorithm>

namespace daisyhaven::dispatch::internal {

namespace {

constexpr double MinWeight = 0.001;

std::size_t levelOf(const SlotRequest &request)
{
    return std::min<std::size_t>(request.priority, PriorityCount - 1);
}

} // namespace

void WaitQueue::push(QueuedRequest queued)
{
    PriorityLevel &level = levels_[levelOf(queued.request)];
    Team &team = level.teams[queued.request.team];
    team.weight = std::max(queued.request.weight, MinWeight);
    if (team.queued.empty()) {
        team.virtualStart = std::max(team.virtualStart, level.virtualTime);
    }
    team.queued.push_back(std::move(queued));
    ++size_;
}

std::vector<std::string> WaitQueue::teamsInFairOrder(const PriorityLevel &level)
{
    std::vector<std::pair<double, std::string>> order;
    for (const auto &[name, team] : level.teams) {
        if (!team.queued.empty()) {
            order.emplace_back(team.virtualStart, name);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto &[virtualStart, name] : order) {
        names.push_back(std::move(name));
    }
    return names;
}

bool WaitQueue::grantNext(const std::function<bool(const SlotRequest &)> &tryPlace)
{
    for (PriorityLevel &level : levels_) {
        for (const std::string &name : teamsInFairOrder(level)) {
            Team &team = level.teams[name];
            if (!tryPlace(team.queued.front().request)) {
                continue;
            }
            team.queued.pop_front();
            --size_;
            level.virtualTime = std::max(level.virtualTime, team.virtualStart);
            team.virtualStart += 1 / team.weight;
            return true;
        }
    }
    return false;
}

bool WaitQueue::remove(const AttemptId &id)
{
    const auto removed =
        removeIf([&](const QueuedRequest &queued) { return queued.request.id == id; });
    return !removed.empty();
}

std::vector<QueuedRequest>
WaitQueue::removeIf(const std::function<bool(const QueuedRequest &)> &predicate)
{
    std::vector<QueuedRequest> removed;
    for (PriorityLevel &level : levels_) {
        for (auto &[name, team] : level.teams) {
            std::deque<QueuedRequest> remaining;
            for (QueuedRequest &queued : team.queued) {
                if (predicate(queued)) {
                    removed.push_back(std::move(queued));
                } else {
                    remaining.push_back(std::move(queued));
                }
            }
            team.queued = std::move(remaining);
        }
    }
    size_ -= removed.size();
    return removed;
}

std::optional<QueuedRequest> WaitQueue::dropFromLongestQueue()
{
    for (std::size_t i = PriorityCount; i-- > 0;) {
        Team *longest = nullptr;
        double largestShare = 0;
        for (auto &[name, team] : levels_[i].teams) {
            const double share = static_cast<double>(team.queued.size()) / team.weight;
            if (share > largestShare) {
                largestShare = share;
                longest = &team;
            }
        }
        if (longest != nullptr) {
            QueuedRequest dropped = std::move(longest->queued.back());
            longest->queued.pop_back();
            --size_;
            return dropped;
        }
    }
    return std::nullopt;
}

double WaitQueue::requestsAhead(const SlotRequest &request) const
{
    const std::size_t own = levelOf(request);
    double count = 0;
    for (std::size_t i = 0; i < own; ++i) {
        for (const auto &[name, team] : levels_[i].teams) {
            count += static_cast<double>(team.queued.size());
        }
    }
    const auto &teams = levels_[own].teams;
    const auto ownTeam = teams.find(request.team);
    const double ownQueued =
        ownTeam == teams.end() ? 0 : static_cast<double>(ownTeam->second.queued.size());
    const double rounds = (ownQueued + 1) / std::max(request.weight, MinWeight);
    for (const auto &[name, team] : teams) {
        const bool isOwn = name == request.team;
        const double queued = static_cast<double>(team.queued.size());
        count += isOwn ? ownQueued : std::min(queued, rounds * team.weight);
    }
    return count;
}

} // namespace daisyhaven::dispatch::internal

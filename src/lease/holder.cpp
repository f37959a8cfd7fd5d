#include "lease/lease.h"

#include <algorithm>

namespace daisyhaven::lease {

LeaseHolder::LeaseHolder(std::size_t voterCount, LeaseTimings timings)
    : voterCount_(voterCount), timings_(timings)
{
}

void LeaseHolder::beginAcquire(const std::string &key, std::uint64_t largestTerm,
                               std::uint64_t termFloor)
{
    State &state = states_[key];
    state.highestSeen = std::max(state.highestSeen, largestTerm);
    state.term = std::max({ state.highestSeen + 1, state.term + 1, termFloor });
    state.releasing = false;
    state.grantedAt.assign(voterCount_, std::nullopt);
    state.rejected.assign(voterCount_, false);
}

void LeaseHolder::beginRelease(const std::string &key)
{
    const auto found = states_.find(key);
    if (found == states_.end()) {
        return;
    }
    found->second.releasing = true;
    found->second.grantedAt.assign(voterCount_, std::nullopt);
}

std::vector<LeaseRequest> LeaseHolder::takeRoundRequests()
{
    std::vector<LeaseRequest> requests;
    for (auto state = states_.begin(); state != states_.end();) {
        requests.push_back({ state->first, state->second.term, state->second.releasing });
        state = state->second.releasing ? states_.erase(state) : std::next(state);
    }
    return requests;
}

void LeaseHolder::recordResponses(std::size_t voter, Instant sentAt,
                                  const std::vector<LeaseResponse> &responses)
{
    for (const LeaseResponse &response : responses) {
        const auto found = states_.find(response.key);
        if (found == states_.end()) {
            continue;
        }
        State &state = found->second;
        state.highestSeen = std::max(state.highestSeen, response.highestTerm);
        const bool isCurrentTerm = response.term == state.term && !state.releasing;
        if (!isCurrentTerm) {
            continue;
        }
        if (response.granted) {
            auto &grantedAt = state.grantedAt.at(voter);
            grantedAt = std::max(grantedAt.value_or(sentAt), sentAt);
        } else {
            state.rejected.at(voter) = true;
        }
    }
}

std::optional<Instant> LeaseHolder::expiry(const std::string &key) const
{
    const auto found = states_.find(key);
    if (found == states_.end()) {
        return std::nullopt;
    }
    std::vector<Instant> grants;
    for (const auto &grantedAt : found->second.grantedAt) {
        if (grantedAt) {
            grants.push_back(*grantedAt);
        }
    }
    if (grants.size() < majority()) {
        return std::nullopt;
    }
    std::sort(grants.rbegin(), grants.rend());
    return grants[majority() - 1] + holderLeaseDuration(timings_);
}

std::optional<std::uint64_t> LeaseHolder::heldTerm(const std::string &key, Instant now) const
{
    const auto expiresAt = expiry(key);
    if (!expiresAt || now >= *expiresAt) {
        return std::nullopt;
    }
    return states_.at(key).term;
}

bool LeaseHolder::isTermRejected(const std::string &key) const
{
    const auto found = states_.find(key);
    if (found == states_.end()) {
        return false;
    }
    const auto &rejected = found->second.rejected;
    const auto rejections =
        static_cast<std::size_t>(std::count(rejected.begin(), rejected.end(), true));
    return rejections > voterCount_ - majority();
}

std::uint64_t LeaseHolder::highestTermSeen(const std::string &key) const
{
    const auto found = states_.find(key);
    return found == states_.end() ? 0 : found->second.highestSeen;
}

} // namespace daisyhaven::lease

// Assigns sequence numbers to changes of servers, so that a VM receives only the changes that it
// has not seen.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisyhaven::coordination {

class ViewChangeLog
{
public:
    // Records that the server `id` was added or changed.
    void recordChange(const std::string &id)
    {
        removed_.erase(id);
        changed_[id] = ++sequence_;
    }

    void recordRemoval(const std::string &id)
    {
        changed_.erase(id);
        removed_[id] = ++sequence_;
        trimRemovals();
    }

    std::uint64_t sequence() const { return sequence_; }

    // Returns true if the log still holds all changes after `sequence`.
    bool covers(std::uint64_t sequence) const
    {
        return sequence >= oldestSequence_ && sequence <= sequence_;
    }

    std::vector<std::string> changedSince(std::uint64_t sequence) const
    {
        return changedAfter(changed_, sequence);
    }
    std::vector<std::string> removedSince(std::uint64_t sequence) const
    {
        return changedAfter(removed_, sequence);
    }

private:
    using SequenceById = std::map<std::string, std::uint64_t>;

    static constexpr std::size_t MaxRemovals = 4096;

    static std::vector<std::string> changedAfter(const SequenceById &sequences,
                                                 std::uint64_t sequence)
    {
        std::vector<std::string> ids;
        for (const auto &[id, changedAt] : sequences) {
            if (changedAt > sequence) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    void trimRemovals()
    {
        if (removed_.size() > MaxRemovals) {
            removed_.clear();
            oldestSequence_ = sequence_;
        }
    }

    std::uint64_t sequence_ = 0;
    std::uint64_t oldestSequence_ = 0;
    SequenceById changed_;
    SequenceById removed_;
};

} // namespace daisyhaven::coordination

// Numbers the changes of servers, so that a VM is told only what it has not seen.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisyhaven::coordination {

class ViewLog
{
public:
    // The server `id` was added or changed.
    void noteChange(const std::string &id)
    {
        removed_.erase(id);
        changed_[id] = ++sequence_;
    }

    void noteRemoval(const std::string &id)
    {
        changed_.erase(id);
        removed_[id] = ++sequence_;
        dropOldRemovals();
    }

    std::uint64_t sequence() const { return sequence_; }

    // True if the difference to `sequence` is still known.
    bool covers(std::uint64_t sequence) const
    {
        return sequence >= oldest_ && sequence <= sequence_;
    }

    std::vector<std::string> changedSince(std::uint64_t sequence) const
    {
        return since(changed_, sequence);
    }
    std::vector<std::string> removedSince(std::uint64_t sequence) const
    {
        return since(removed_, sequence);
    }

private:
    using Numbers = std::map<std::string, std::uint64_t>;

    static constexpr std::size_t MaxRemovals = 4096;

    static std::vector<std::string> since(const Numbers &numbers, std::uint64_t sequence)
    {
        std::vector<std::string> ids;
        for (const auto &[id, number] : numbers) {
            if (number > sequence) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    void dropOldRemovals()
    {
        if (removed_.size() > MaxRemovals) {
            removed_.clear();
            oldest_ = sequence_;
        }
    }

    std::uint64_t sequence_ = 0;
    std::uint64_t oldest_ = 0;
    Numbers changed_;
    Numbers removed_;
};

} // namespace daisyhaven::coordination

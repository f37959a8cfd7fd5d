// Requests of one service that wait for a slot.
//
// Order: by priority, the most urgent (lowest number) first. Within a priority, requests that can
// still meet their target time come first. Among those, teams take turns by start-time fair
// queueing: each granted slot moves its team back by the slot time that the request is expected to
// use, divided by the team's weight, so a team that sends more waits longer than the others. Within
// a team, the request whose time runs out first comes first.
#pragma once

#include "scheduler/internal/eventrate.h"
#include "scheduler/internal/thresholds.h"
#include "scheduler/scheduler.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
    // How long the request is expected to use its slot.
    Duration slotTime { 0 };
    // Share of the team, relative to other teams.
    double teamWeight = 1;
};

// Time until a request is expected to get a slot.
struct ExpectedWait
{
    // As long as the request can meet its target time.
    Duration beforeTarget { 0 };
    // Once the target time is out of reach, so that newer requests come first.
    Duration afterTarget { 0 };

    bool allowsStart(Instant now, const WaitingRequest &waiting) const
    {
        return now + beforeTarget <= waiting.targetStartTime
            || now + afterTarget <= waiting.latestStartTime;
    }
};

// What a team gets while its requests wait.
struct TeamShare
{
    // Slot time of its waiting requests.
    Duration backlog { 0 };
    // Fraction of the slots of its priority that it gets if all teams that wait use their shares.
    double fairFraction = 1;
    // Slots that it has recently had; more than its fair share if others leave some unused.
    double observedSlots = 0;
};

class WaitingQueue
{
public:
    // Returns whether a slot was granted to the request.
    using TryGrant = std::function<bool(const WaitingRequest &)>;

    WaitingQueue() = default;
    WaitingQueue(const WaitingQueue &) = delete;
    WaitingQueue &operator=(const WaitingQueue &) = delete;

    // Replaces a request with the same key.
    void push(WaitingRequest waiting);

    bool empty() const { return requests_.empty(); }
    std::size_t size() const { return requests_.size(); }

    // Slot time that requests of `priority` and more urgent ones are expected to use.
    Duration slotTimeUpTo(std::uint32_t priority) const;
    // Slot time that is expected to be granted before a new request of `team`.
    Duration slotTimeAhead(std::uint32_t priority, const std::string &team) const;
    TeamShare shareOf(Instant now, std::uint32_t priority, const std::string &team) const;
    // Returns the last request of the team that is furthest beyond its share, in the least urgent
    // priority; nullptr if none waits.
    const WaitingRequest *lastInOrder() const;
    // Number of requests that the team of lastInOrder() has in this priority.
    std::size_t heaviestTeamSize() const;

    // Offers the requests in order to `tryGrant`. Stops after `maxMisses` requests without a slot.
    void grantInOrder(Instant now, int maxMisses, const TryGrant &tryGrant);
    // Removes and returns the requests that can no longer be served before their deadlines.
    std::vector<SlotRequest> takeExpired(Instant now);
    std::optional<SlotRequest> remove(const SlotRequestKey &key);

private:
    enum class Stage : std::uint8_t { BeforeTarget = 0, AfterTarget = 1 };
    static constexpr std::size_t StageCount = 2;

    struct Team;
    struct Level;

    struct Entry
    {
        WaitingRequest waiting;
        // When the request leaves its stage.
        Instant startBy;
        Stage stage = Stage::BeforeTarget;
        std::uint64_t number = 0;
        Team *team = nullptr;
        Level *level = nullptr;
    };

    struct EarlierFirst
    {
        bool operator()(const Entry *a, const Entry *b) const
        {
            return std::tie(a->startBy, a->number) < std::tie(b->startBy, b->number);
        }
    };
    using Entries = std::set<Entry *, EarlierFirst>;

    struct Team
    {
        std::string name;
        std::uint64_t number = 0;
        double weight = 1;
        // Virtual start time of the next request: slot time in microseconds per weight.
        double virtualStart = 0;
        // Slot time of the waiting requests, in microseconds.
        double backlog = 0;
        std::array<Entries, StageCount> stages;
        // When the team had no waiting request last, and the slot time in seconds granted since.
        Instant waitingSince;
        EventRate granted;

        bool isIdle() const;
        double observedSlots(Instant now) const;
        std::size_t size() const;
        // Virtual start time of a further request.
        double virtualFinish() const { return virtualStart + backlog / weight; }
        const Entry &first() const;
        const Entry &last() const;
    };

    // Teams by a virtual time; the number breaks ties.
    using TeamOrder = std::map<std::pair<double, std::uint64_t>, Team *>;

    struct Level
    {
        // Virtual start time of the latest granted request.
        double virtualTime = 0;
        double backlog = 0;
        std::map<std::string, Team> teams;
        // Teams with requests in each stage, by virtual start.
        std::array<TeamOrder, StageCount> turns;
        TeamOrder byFinish;
        // Teams without requests that have used more than their share, by virtual start.
        TeamOrder idle;

        void list(Team &team);
        void unlist(Team &team);
        void forgetIdleTeams();
    };

    static std::size_t indexOf(Stage stage) { return static_cast<std::size_t>(stage); }
    // Offers the requests of one stage. Returns false once `missesLeft` is used up.
    bool grantStage(Instant now, Level &level, Stage stage, int &missesLeft,
                    const TryGrant &tryGrant);
    // Returns the first of the team's requests that is granted; nullptr if none is.
    static Entry *grantOne(const Entries &entries, int maxMisses, int &missesLeft,
                           const TryGrant &tryGrant);
    void updateStages(Instant now);
    void insert(Entry &entry);
    // Moves the team of the entry, which was granted, behind the others.
    static void useTurn(Instant now, const Entry &entry);
    WaitingRequest take(Entry &entry);
    const Team *heaviestTeam() const;

    std::map<SlotRequestKey, Entry> requests_;
    std::map<std::uint32_t, Level> levels_;
    Entries byStartBy_;
    std::uint64_t lastNumber_ = 0;
};

// Slot time that arriving requests ask for, by priority.
class RequestRateByPriority
{
public:
    void record(Instant now, std::uint32_t priority, Duration slotTime)
    {
        rates_[priority].record(now, toSeconds(slotTime));
    }

    // Number of slots that requests more urgent than `priority` keep in use.
    double higherPrioritySlots(Instant now, std::uint32_t priority) const
    {
        double slots = 0;
        for (const auto &[other, rate] : rates_) {
            slots += other < priority ? rate.perSecond(now) : 0;
        }
        return slots;
    }

private:
    std::map<std::uint32_t, EventRate> rates_;
};

} // namespace daisyhaven::scheduler::internal

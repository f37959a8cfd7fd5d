#include "scheduler/internal/waitingqueue.h"

#include "scheduler/internal/thresholds.h"

#include <algorithm>

namespace daisyhaven::scheduler::internal {

namespace {

constexpr double MinWeight = 0.001;
// Keeps virtual time moving for requests with an unknown slot time.
constexpr Duration MinSlotTime { 1 };
// What a team got in a shorter time says little about its share.
constexpr Milliseconds MinObservation { 500 };

double toMicroseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

// ---- teams and levels ----

bool WaitingQueue::Team::isIdle() const
{
    return size() == 0;
}

std::size_t WaitingQueue::Team::size() const
{
    std::size_t count = 0;
    for (const Entries &entries : stages) {
        count += entries.size();
    }
    return count;
}

const WaitingQueue::Entry &WaitingQueue::Team::first() const
{
    return stages.front().empty() ? **stages.back().begin() : **stages.front().begin();
}

const WaitingQueue::Entry &WaitingQueue::Team::last() const
{
    return stages.back().empty() ? **stages.front().rbegin() : **stages.back().rbegin();
}

double WaitingQueue::Team::observedSlots(Instant now) const
{
    const bool tooShort = isIdle() || now - waitingSince < MinObservation;
    return tooShort ? 0 : granted.perSecondSince(now, waitingSince);
}

// Enters the team in the orders that its state calls for. Its virtual times must not change until
// unlist().
void WaitingQueue::Level::list(Team &team)
{
    if (team.isIdle()) {
        idle.emplace(std::pair(team.virtualStart, team.number), &team);
        return;
    }
    for (std::size_t stage = 0; stage < StageCount; ++stage) {
        if (!team.stages.at(stage).empty()) {
            turns.at(stage).emplace(std::pair(team.virtualStart, team.number), &team);
        }
    }
    byFinish.emplace(std::pair(team.virtualFinish(), team.number), &team);
}

void WaitingQueue::Level::unlist(Team &team)
{
    const std::pair start(team.virtualStart, team.number);
    idle.erase(start);
    for (TeamOrder &order : turns) {
        order.erase(start);
    }
    byFinish.erase(std::pair(team.virtualFinish(), team.number));
}

// A team starts at the virtual time at least, so an idle one that lies behind it can be forgotten.
void WaitingQueue::Level::forgetIdleTeams()
{
    while (!idle.empty() && idle.begin()->first.first <= virtualTime) {
        const Team *team = idle.begin()->second;
        idle.erase(idle.begin());
        teams.erase(teams.find(team->name));
    }
}

// ---- changes ----

void WaitingQueue::push(WaitingRequest waiting)
{
    remove(waiting.request.key);
    waiting.slotTime = std::max(waiting.slotTime, MinSlotTime);
    const std::uint32_t priority = waiting.request.priority;
    Level &level = levels_[priority];
    const auto [known, isNew] = level.teams.try_emplace(waiting.request.team);
    Team &team = known->second;
    if (isNew) {
        team.name = known->first;
        team.number = ++lastNumber_;
    }
    Entry entry;
    entry.startBy = std::min(waiting.targetStartTime, waiting.latestStartTime);
    entry.number = ++lastNumber_;
    entry.team = &team;
    entry.level = &level;
    level.unlist(team);
    if (team.isIdle()) {
        team.virtualStart = std::max(team.virtualStart, level.virtualTime);
        team.waitingSince = waiting.enqueuedAt;
        team.granted = EventRate();
    }
    team.weight = std::max(waiting.teamWeight, MinWeight);
    team.backlog += toMicroseconds(waiting.slotTime);
    level.backlog += toMicroseconds(waiting.slotTime);
    const SlotRequestKey key = waiting.request.key;
    entry.waiting = std::move(waiting);
    insert(requests_[key] = std::move(entry));
    level.list(team);
}

void WaitingQueue::insert(Entry &entry)
{
    entry.team->stages.at(indexOf(entry.stage)).insert(&entry);
    byStartBy_.insert(&entry);
}

void WaitingQueue::useTurn(Instant now, const Entry &entry)
{
    Team &team = *entry.team;
    Level &level = *entry.level;
    const Duration slotTime = entry.waiting.slotTime;
    level.unlist(team);
    level.virtualTime = std::max(level.virtualTime, team.virtualStart);
    team.virtualStart += toMicroseconds(slotTime) / team.weight;
    team.granted.record(now, toSeconds(slotTime));
    level.list(team);
}

WaitingRequest WaitingQueue::take(Entry &entry)
{
    Team &team = *entry.team;
    Level &level = *entry.level;
    const double slotTime = toMicroseconds(entry.waiting.slotTime);
    level.unlist(team);
    team.stages.at(indexOf(entry.stage)).erase(&entry);
    byStartBy_.erase(&entry);
    level.backlog -= slotTime;
    team.backlog = team.isIdle() ? 0 : team.backlog - slotTime;
    level.list(team);
    level.forgetIdleTeams();
    WaitingRequest waiting = std::move(entry.waiting);
    requests_.erase(waiting.request.key);
    return waiting;
}

std::optional<SlotRequest> WaitingQueue::remove(const SlotRequestKey &key)
{
    const auto found = requests_.find(key);
    if (found == requests_.end()) {
        return std::nullopt;
    }
    return take(found->second).request;
}

// ---- order ----

// Moves requests whose target time is out of reach to the next stage.
void WaitingQueue::updateStages(Instant now)
{
    auto next = byStartBy_.begin();
    while (next != byStartBy_.end() && (*next)->startBy < now) {
        Entry &entry = **next;
        const bool expires = entry.startBy >= entry.waiting.latestStartTime;
        if (expires) {
            ++next;
            continue;
        }
        next = byStartBy_.erase(next);
        entry.level->unlist(*entry.team);
        entry.team->stages.at(indexOf(entry.stage)).erase(&entry);
        entry.stage = Stage::AfterTarget;
        entry.startBy = entry.waiting.latestStartTime;
        insert(entry);
        entry.level->list(*entry.team);
    }
}

void WaitingQueue::grantInOrder(Instant now, int maxMisses, const TryGrant &tryGrant)
{
    updateStages(now);
    int missesLeft = maxMisses;
    for (auto level = levels_.begin(); level != levels_.end();) {
        for (const Stage stage : { Stage::BeforeTarget, Stage::AfterTarget }) {
            if (!grantStage(now, level->second, stage, missesLeft, tryGrant)) {
                return;
            }
        }
        // The next requests of this priority start from equal shares.
        level = level->second.byFinish.empty() ? levels_.erase(level) : std::next(level);
    }
}

bool WaitingQueue::grantStage(Instant now, Level &level, Stage stage, int &missesLeft,
                              const TryGrant &tryGrant)
{
    TeamOrder &order = level.turns.at(indexOf(stage));
    auto turn = order.begin();
    while (turn != order.end()) {
        const auto position = turn->first;
        const int missesPerTeam = std::max(missesLeft / static_cast<int>(order.size()), 1);
        Entry *granted =
            grantOne(turn->second->stages.at(indexOf(stage)), missesPerTeam, missesLeft, tryGrant);
        if (granted != nullptr) {
            useTurn(now, *granted);
            take(*granted);
        }
        if (missesLeft <= 0) {
            return false;
        }
        turn = order.upper_bound(position);
    }
    return true;
}

WaitingQueue::Entry *WaitingQueue::grantOne(const Entries &entries, int maxMisses, int &missesLeft,
                                            const TryGrant &tryGrant)
{
    int missed = 0;
    for (Entry *entry : entries) {
        if (tryGrant(entry->waiting)) {
            return entry;
        }
        --missesLeft;
        if (++missed >= maxMisses) {
            break;
        }
    }
    return nullptr;
}

std::vector<SlotRequest> WaitingQueue::takeExpired(Instant now)
{
    updateStages(now);
    std::vector<SlotRequest> expired;
    auto next = byStartBy_.begin();
    while (next != byStartBy_.end() && (*next)->startBy <= now) {
        Entry &entry = **next++;
        if (entry.waiting.latestStartTime <= now) {
            expired.push_back(take(entry).request);
        }
    }
    return expired;
}

// ---- predictions ----

Duration WaitingQueue::slotTimeUpTo(std::uint32_t priority) const
{
    double microseconds = 0;
    for (const auto &[other, level] : levels_) {
        microseconds += other <= priority ? level.backlog : 0;
    }
    return toDuration(microseconds);
}

Duration WaitingQueue::slotTimeAhead(std::uint32_t priority, const std::string &team) const
{
    const auto found = levels_.find(priority);
    if (found == levels_.end()) {
        return slotTimeUpTo(priority);
    }
    const Level &level = found->second;
    const auto own = level.teams.find(team);
    const double start = own == level.teams.end()
        ? level.virtualTime
        : std::max(own->second.virtualFinish(), level.virtualTime);
    double ahead = 0;
    for (const auto &[finish, other] : level.byFinish) {
        const bool isOwn = own != level.teams.end() && other == &own->second;
        if (isOwn) {
            ahead += other->backlog;
        } else if (other->virtualStart <= start) {
            // Served as long as its virtual start is not later, so up to one request more.
            const double oneMore = toMicroseconds(other->first().waiting.slotTime);
            const double inTurn = (start - other->virtualStart) * other->weight + oneMore;
            ahead += std::min(other->backlog, inTurn);
        }
    }
    return slotTimeUpTo(priority) - toDuration(level.backlog) + toDuration(ahead);
}

TeamShare WaitingQueue::shareOf(Instant now, std::uint32_t priority, const std::string &team) const
{
    const auto level = levels_.find(priority);
    if (level == levels_.end()) {
        return {};
    }
    const auto found = level->second.teams.find(team);
    const bool waits = found != level->second.teams.end() && !found->second.isIdle();
    if (!waits) {
        return {};
    }
    const Team &own = found->second;
    double weights = 0;
    for (const auto &[finish, other] : level->second.byFinish) {
        weights += other->weight;
    }
    return { toDuration(own.backlog), own.weight / weights, own.observedSlots(now) };
}

const WaitingQueue::Team *WaitingQueue::heaviestTeam() const
{
    for (auto level = levels_.rbegin(); level != levels_.rend(); ++level) {
        if (!level->second.byFinish.empty()) {
            return level->second.byFinish.rbegin()->second;
        }
    }
    return nullptr;
}

const WaitingRequest *WaitingQueue::lastInOrder() const
{
    const Team *team = heaviestTeam();
    return team == nullptr ? nullptr : &team->last().waiting;
}

std::size_t WaitingQueue::heaviestTeamSize() const
{
    const Team *team = heaviestTeam();
    return team == nullptr ? 0 : team->size();
}

} // namespace daisyhaven::scheduler::internal

#include "rollout/rollout.h"

#include "rollout/internal/versioncomparison.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::rollout {

using internal::AnswerCount;
using internal::VersionComparison;

namespace {

// Part of the permitted exposure that is used. The rest is left for requests that are counted
// differently at the servers, such as those cut on their way.
constexpr double UsedExposure = 0.8;
// Part of the slack that is used at once; the rest follows evenly over time, so that a fault that
// begins late is seen.
constexpr double SlackUsedAtOnce = 0.4;
// The first requests to a version, until as many answers are known.
constexpr std::uint64_t FirstRequests = 12;
constexpr std::uint32_t FirstAnswers = 8;
// Further requests are released in steps of half of the version's slots, within these bounds.
constexpr std::uint64_t MinStep = 8;
constexpr std::uint64_t MaxStep = 24;

// The answers of the last seconds are compared by themselves too, for faults that begin late.
constexpr int WindowCount = 2;

// An answer is slow if it took this multiple of the present version's mean for the route.
constexpr double SlowMultiple = 2.5;
constexpr double LatencyWeight = 0.1;

// A version moves over only if no scope's log-likelihood ratio exceeds this one.
constexpr double MaxDoubt = 1.4;
// Answers, and servers that gave them, without which a version isn't taken as good.
constexpr std::uint32_t MinAnswers = 20;
constexpr std::uint32_t MinServers = 3;
// A route that has this share of the present version's answers is important enough to be compared
// by itself.
constexpr double ImportantRouteShare = 0.05;
constexpr std::uint32_t MinRouteAnswers = 4;
// Slots of the target version for each request in flight.
constexpr double CapacityReserve = 1.1;

// Bad answers after which a version that is worse than the present one is rolled back, whatever its
// share of bad answers.
constexpr std::uint32_t MaxBadAnswers = 40;
constexpr double WorseRatio = 1.5;

// Time that moving over takes, as a fraction of the roll-out's duration: from the first moment at
// which it may begin, and from the last one.
constexpr double MoveFraction = 0.3;
constexpr Seconds MinMoveTime { 4 };
constexpr Seconds MaxMoveTime { 10 };
constexpr double LastMoveFraction = 0.25;
constexpr Seconds MaxLastMoveTime { 3 };
// The completion is committed and read by then.
constexpr Milliseconds CommitReserve { 700 };

const std::string AllAnswers = "all answers";
const std::string AnswersUnderLoad = "answers under load";
const std::string RoutePrefix = "route ";

double badShare(const AnswerCount &count)
{
    return count.all == 0 ? 0 : static_cast<double>(count.bad) / count.all;
}

Duration fractionOf(Duration duration, double fraction)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * fraction));
}

} // namespace

bool isFinished(Phase phase)
{
    return phase == Phase::Completed || phase == Phase::RolledBack;
}

bool isValidSuccessor(const Rollout *current, const Rollout &next)
{
    if (current == nullptr || next.orderedAtMs != current->orderedAtMs) {
        return next.phase == Phase::Running && (current == nullptr || isFinished(current->phase));
    }
    const bool sameOrder = next.target == current->target && next.durationMs == current->durationMs;
    switch (current->phase) {
    case Phase::Running:
        return sameOrder && (next.phase == Phase::Completing || next.phase == Phase::RolledBack);
    case Phase::Completing:
        return sameOrder && isFinished(next.phase);
    case Phase::Completed:
    case Phase::RolledBack:
        break;
    }
    return false;
}

bool mayReceiveWithoutLeader(const Rollout &rollout, const std::string &version)
{
    const bool movesOver = rollout.phase == Phase::Completing || rollout.phase == Phase::Completed;
    if (version == rollout.target) {
        return movesOver;
    }
    return !movesOver || rollout.replacedVersions.count(version) == 0;
}

Evaluation::Evaluation(Instant now, Instant deadline, ExposureLimits limits, Start start)
    : startedAt_(now), deadline_(std::max(deadline, now)), limits_(limits), start_(start)
{
}

Evaluation::~Evaluation() = default;

VersionComparison &Evaluation::comparison(const std::string &scope)
{
    auto &known = comparisons_[scope];
    if (!known) {
        known = std::make_unique<VersionComparison>();
    }
    return *known;
}

bool Evaluation::isSlow(const Answer &answer)
{
    const auto latency = static_cast<double>(answer.latency.count());
    double &present = presentLatencies_[answer.route];
    const bool slow = present > 0 && latency > present * SlowMultiple;
    if (!answer.fromTarget && !answer.failed && !answer.cancelled) {
        const double limited = present > 0 ? std::min(latency, present * SlowMultiple) : latency;
        present += (limited - present) * (present > 0 ? LatencyWeight : 1);
    }
    return slow;
}

void Evaluation::recordAnswer(Instant now, const Answer &answer)
{
    const bool slow = isSlow(answer);
    if (answer.cancelled && !slow) {
        return;
    }
    const bool bad = answer.failed || slow;
    comparison(AllAnswers).record(now, answer.server, answer.fromTarget, bad);
    comparison(RoutePrefix + answer.route).record(now, answer.server, answer.fromTarget, bad);
    if (answer.underLoad) {
        comparison(AnswersUnderLoad).record(now, answer.server, answer.fromTarget, bad);
    }
}

double Evaluation::exposureLimit(Instant now, const ServiceLoad &load) const
{
    const double byShare = limits_.share * static_cast<double>(load.requests);
    if (start_ == Start::Inherited) {
        return UsedExposure * byShare;
    }
    const Duration whole = std::max<Duration>(deadline_ - startedAt_, Milliseconds(1));
    const double elapsed = std::clamp(std::chrono::duration<double>(now - startedAt_)
                                          / std::chrono::duration<double>(whole),
                                      0.0, 1.0);
    const double usableSlack = limits_.slack * (SlackUsedAtOnce + (1 - SlackUsedAtOnce) * elapsed);
    return UsedExposure * (byShare + usableSlack);
}

std::uint64_t Evaluation::maxTargetRequests(Instant now, const ServiceLoad &load)
{
    const auto limit = static_cast<std::uint64_t>(exposureLimit(now, load));
    if (comparison(AllAnswers).targetAnswers().all < FirstAnswers) {
        releasedRequests_ = std::max(releasedRequests_, std::min(limit, FirstRequests));
        return releasedRequests_;
    }
    const std::uint64_t step = std::clamp<std::uint64_t>(load.targetSlots / 2, MinStep, MaxStep);
    const bool stepUsed = load.targetRequests >= releasedRequests_;
    if (stepUsed && limit >= releasedRequests_ + step) {
        releasedRequests_ = limit;
    }
    return releasedRequests_;
}

Evaluation::Evidence Evaluation::strongestEvidence(Instant now) const
{
    Evidence strongest;
    for (const auto &[scope, known] : comparisons_) {
        for (const double logOdds :
             { known->logLikelihoodRatio(), known->recentLogLikelihoodRatio(now) }) {
            if (logOdds > strongest.logOdds) {
                strongest = { logOdds, scope };
            }
        }
    }
    return strongest;
}

Decision Evaluation::findFault(Instant now) const
{
    const auto all = comparisons_.find(AllAnswers);
    if (all == comparisons_.end()) {
        return {};
    }
    const AnswerCount target = all->second->targetAnswers();
    const AnswerCount present = all->second->presentAnswers();
    const std::string counts = std::to_string(target.bad) + " of " + std::to_string(target.all)
        + " answers bad, of the present version " + std::to_string(present.bad) + " of "
        + std::to_string(present.all);
    const Evidence evidence = strongestEvidence(now);
    const auto tests = static_cast<double>(comparisons_.size() * WindowCount);
    if (evidence.logOdds > std::log(tests / FalseRollbackRate)) {
        return { Verdict::RollBack,
                 "worse by " + evidence.scope + ", log likelihood ratio "
                     + std::to_string(evidence.logOdds) + ": " + counts };
    }
    const bool worse = badShare(target) > badShare(present) * WorseRatio;
    if (target.bad >= MaxBadAnswers && worse) {
        return { Verdict::RollBack, "many bad answers: " + counts };
    }
    return { Verdict::Continue, counts };
}

// Returns what is missing for the version to be taken as good; empty if nothing is.
std::string Evaluation::missingProof(Instant now, const ServiceLoad &load) const
{
    const auto all = comparisons_.find(AllAnswers);
    if (load.targetServers == 0 || all == comparisons_.end()) {
        return "no server of the target version serves";
    }
    const std::uint32_t answers = all->second->targetAnswers().all;
    const auto servers = all->second->targetServerCount();
    if (answers < MinAnswers || servers < std::min(MinServers, load.targetServers)) {
        return "only " + std::to_string(answers) + " answers of " + std::to_string(servers)
            + " servers";
    }
    const Evidence evidence = strongestEvidence(now);
    if (evidence.logOdds > MaxDoubt) {
        return "doubts about " + evidence.scope + ", log likelihood ratio "
            + std::to_string(evidence.logOdds);
    }
    const double presentAnswers = all->second->presentAnswers().all;
    for (const auto &[scope, known] : comparisons_) {
        const bool important = scope.rfind(RoutePrefix, 0) == 0
            && known->presentAnswers().all > presentAnswers * ImportantRouteShare;
        if (important && known->targetAnswers().all < MinRouteAnswers) {
            return "too few answers on " + scope;
        }
    }
    if (load.targetSlots < load.inFlight * CapacityReserve) {
        return "only " + std::to_string(load.targetSlots) + " slots for "
            + std::to_string(load.inFlight) + " requests in flight";
    }
    return "";
}

Decision Evaluation::decide(Instant now, const ServiceLoad &load) const
{
    Decision fault = findFault(now);
    if (fault.verdict == Verdict::RollBack) {
        return fault;
    }
    const Duration whole = deadline_ - startedAt_;
    const Duration moveTime =
        std::clamp<Duration>(fractionOf(whole, MoveFraction), MinMoveTime, MaxMoveTime);
    if (now < deadline_ - std::min(moveTime, whole / 2)) {
        return {};
    }
    const std::string missing = missingProof(now, load);
    if (missing.empty()) {
        return { Verdict::Complete, fault.reason };
    }
    const Duration lastMoveTime =
        std::min<Duration>(fractionOf(whole, LastMoveFraction), MaxLastMoveTime);
    if (now >= deadline_ - lastMoveTime) {
        return { Verdict::RollBack, missing };
    }
    return {};
}

Decision Evaluation::decideWhileCompleting(Instant now) const
{
    return findFault(now);
}

Instant Evaluation::completionDeadline() const
{
    return deadline_ - std::min<Duration>(CommitReserve, (deadline_ - startedAt_) / 4);
}

} // namespace daisyhaven::rollout

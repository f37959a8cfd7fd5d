#include "rollout/internal/versioncomparison.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace daisyhaven::rollout::internal {

namespace {

// Further probabilities of a bad answer that a worse version may have.
constexpr std::array<double, 4> WorseBy { 0.1, 0.25, 0.5, 0.8 };
// Fraction of the servers that are taken to be in a gray spell, if the present version's servers do
// not show a higher one.
constexpr double MinGrayFraction = 0.15;
// A server that answers at least this badly counts as gray.
constexpr double GrayBadShare = 0.3;
// The present version's rate in the same seconds counts in full beside as many answers of all
// seconds.
constexpr double PriorAnswers = 20;
// The answers of this many seconds, with the present one, are recent.
constexpr std::int64_t RecentSeconds = 5;
// Answers and bad answers that are assumed before any is known.
constexpr AnswerCount InitialCount { 50, 1 };

std::int64_t toSecond(Instant at)
{
    return std::chrono::floor<Seconds>(at.time_since_epoch()).count();
}

AnswerCount total(const CountByServer &counts)
{
    AnswerCount sum;
    for (const auto &[server, count] : counts) {
        sum.add(count);
    }
    return sum;
}

void addAll(CountByServer &to, const CountByServer &from)
{
    for (const auto &[server, count] : from) {
        to[server].add(count);
    }
}

double logOfSum(double logA, double logB)
{
    const double larger = std::max(logA, logB);
    return larger + std::log1p(std::exp(std::min(logA, logB) - larger));
}

// Logarithm of the likelihood of the answers if each is bad with probability `p`.
double logLikelihood(const AnswerCount &count, double p)
{
    return count.bad * std::log(p) + (count.all - count.bad) * std::log1p(-p);
}

// The same if the probability is unknown: its mean over all probabilities from 0 to 1.
double logLikelihoodOfUnknownRate(const AnswerCount &count)
{
    return std::lgamma(count.bad + 1.0) + std::lgamma(count.all - count.bad + 1.0)
        - std::lgamma(count.all + 2.0);
}

double logLikelihoodOfServer(const AnswerCount &count, double p, double grayFraction)
{
    return logOfSum(std::log1p(-grayFraction) + logLikelihood(count, p),
                    std::log(grayFraction) + logLikelihoodOfUnknownRate(count));
}

double logLikelihoodOfServers(const CountByServer &counts, double p, double grayFraction)
{
    double sum = 0;
    for (const auto &[server, count] : counts) {
        sum += logLikelihoodOfServer(count, p, grayFraction);
    }
    return sum;
}

double grayFraction(const CountByServer &present)
{
    const auto gray = std::count_if(present.begin(), present.end(), [](const auto &server) {
        return server.second.bad > GrayBadShare * server.second.all;
    });
    const auto servers = static_cast<double>(std::max<std::size_t>(present.size(), 1));
    return std::clamp(static_cast<double>(gray) / servers, MinGrayFraction, 1 - MinGrayFraction);
}

double badRate(const AnswerCount &sameSeconds, AnswerCount all)
{
    all.add(InitialCount);
    const double overall = static_cast<double>(all.bad) / all.all;
    return (sameSeconds.bad + PriorAnswers * overall) / (sameSeconds.all + PriorAnswers);
}

} // namespace

void VersionComparison::record(Instant now, const std::string &server, bool fromTarget, bool isBad)
{
    const std::int64_t second = toSecond(now);
    recentAnswers_.erase(recentAnswers_.begin(),
                         recentAnswers_.lower_bound(second - RecentSeconds + 1));
    if (fromTarget) {
        lastTargetSecond_ = second;
        answers_.target[server].add(isBad);
        recentAnswers_[second].target[server].add(isBad);
        return;
    }
    presentAnswers_.add(isBad);
    if (second - lastTargetSecond_ <= 1) {
        answers_.present[server].add(isBad);
        recentAnswers_[second].present[server].add(isBad);
    }
}

double VersionComparison::logLikelihoodRatio(const Answers &answers) const
{
    if (answers.target.empty()) {
        return 0;
    }
    const double rate = badRate(total(answers.present), presentAnswers_);
    const double gray = grayFraction(answers.present);
    double worse = -std::numeric_limits<double>::infinity();
    for (const double increase : WorseBy) {
        const double worseRate = rate + (1 - rate) * increase;
        worse = logOfSum(worse, logLikelihoodOfServers(answers.target, worseRate, gray));
    }
    worse -= std::log(static_cast<double>(WorseBy.size()));
    return worse - logLikelihoodOfServers(answers.target, rate, gray);
}

double VersionComparison::logLikelihoodRatio() const
{
    return logLikelihoodRatio(answers_);
}

double VersionComparison::recentLogLikelihoodRatio(Instant now) const
{
    Answers recent;
    const auto first = recentAnswers_.lower_bound(toSecond(now) - RecentSeconds + 1);
    for (auto answers = first; answers != recentAnswers_.end(); ++answers) {
        addAll(recent.target, answers->second.target);
        addAll(recent.present, answers->second.present);
    }
    return logLikelihoodRatio(recent);
}

AnswerCount VersionComparison::targetAnswers() const
{
    return total(answers_.target);
}

} // namespace daisyhaven::rollout::internal

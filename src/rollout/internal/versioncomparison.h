// Compares the answers of two versions of a service that serve in the same seconds.
//
// The test is a likelihood ratio of two explanations of the target version's bad answers. "As
// good": each of its servers answers badly as often as the present version's servers do, except
// those in a gray spell of their own, whose failure rate is unknown. "Worse": besides, every answer
// of the version is bad with a further probability, one of a few that are equally likely. Since a
// gray spell explains the bad answers of one server, only bad answers of several servers count
// against the version.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <string>

namespace daisyhaven::rollout::internal {

struct AnswerCount
{
    std::uint32_t all = 0;
    std::uint32_t bad = 0;

    void add(bool isBad)
    {
        ++all;
        bad += isBad ? 1 : 0;
    }
    void add(const AnswerCount &other)
    {
        all += other.all;
        bad += other.bad;
    }
};

using CountByServer = std::map<std::string, AnswerCount>;

class VersionComparison
{
public:
    void record(Instant now, const std::string &server, bool fromTarget, bool isBad);

    // Return the natural logarithm of the likelihood ratio of "worse" to "as good", for all answers
    // or for those of the last seconds. A ratio that is compared with a bound after each answer
    // exceeds log(1 / p) with a probability of at most p if the version is as good.
    double logLikelihoodRatio() const;
    double recentLogLikelihoodRatio(Instant now) const;

    AnswerCount targetAnswers() const;
    const AnswerCount &presentAnswers() const { return presentAnswers_; }
    std::size_t targetServerCount() const { return answers_.target.size(); }

private:
    struct Answers
    {
        CountByServer target;
        // Only of seconds in which the target version answered as well, or the one after.
        CountByServer present;
    };

    double logLikelihoodRatio(const Answers &answers) const;

    Answers answers_;
    AnswerCount presentAnswers_;
    // The last seconds' answers, by second.
    std::map<std::int64_t, Answers> recentAnswers_;
    std::int64_t lastTargetSecond_ = 0;
};

} // namespace daisyhaven::rollout::internal

#include "scheduler/internal/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace daisyhaven::scheduler::internal {

namespace {

// Transition rates of the model per second: healthy to failing and failing to healthy.
constexpr double FailureRate = 0.03;
constexpr double RecoveryRate = 0.08;
constexpr double SteadyStateFailureProbability = FailureRate / (FailureRate + RecoveryRate);
// Prior for a server without results.
constexpr double InitialFailureProbability = 0.05;

// Likelihood ratios: how much more probable a result is for a failing server than for a healthy
// one.
constexpr double ErrorLikelihoodRatio = 37;
constexpr double SuccessLikelihoodRatio = 0.2;
constexpr double MalformedResponseLikelihoodRatio = 15;
constexpr double ConnectionRefusedLikelihoodRatio = 60;
constexpr double PathFailureLikelihoodRatio = 8;
constexpr double RepeatedPathFailureLikelihoodRatio = 1.5;

constexpr double OverdueLikelihoodRatio = 6;
constexpr double VerySlowLikelihoodRatio = 4;
constexpr double SlowLikelihoodRatio = 1.3;

constexpr double VerySlowLatencyRatio = 4;
constexpr double SlowLatencyRatio = 2.5;
constexpr double SlownessWeight = 0.1;
constexpr double ShedWeight = 0.15;
// Without results the probability changes by about a thousandth in this time.
constexpr Milliseconds CacheLifetime { 10 };
constexpr double MaxProbability = 0.995;
constexpr double MinProbability = 0.002;
// Further failures that one VM reports for the same server within this time more likely have their
// cause in the path between the two.
constexpr Seconds SamePathWindow { 10 };
// A connection timeout does not count against a server that served another VM within this time.
constexpr Seconds OtherVmSuccessWindow { 1 };

double successLikelihoodRatio(double latencyRatio)
{
    if (latencyRatio > VerySlowLatencyRatio) {
        return VerySlowLikelihoodRatio;
    }
    return latencyRatio > SlowLatencyRatio ? SlowLikelihoodRatio : SuccessLikelihoodRatio;
}

} // namespace

ServerHealth::ServerHealth(Instant now)
    : failureProbability_(InitialFailureProbability), updatedAt_(now)
{
}

double ServerHealth::failureProbability(Instant now) const
{
    const bool cached =
        cachedAt_ != Instant() && now >= cachedAt_ && now < cachedAt_ + CacheLifetime;
    if (!cached) {
        cachedProbability_ = computeFailureProbability(now);
        cachedAt_ = now;
    }
    return cachedProbability_;
}

double ServerHealth::computeFailureProbability(Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - updatedAt_).count();
    const double remaining = std::exp(-(FailureRate + RecoveryRate) * std::max(seconds, 0.0));
    return SteadyStateFailureProbability
        + (failureProbability_ - SteadyStateFailureProbability) * remaining;
}

void ServerHealth::applyLikelihoodRatio(Instant now, double likelihoodRatio)
{
    const double prior = computeFailureProbability(now);
    const double odds = prior / (1 - prior) * likelihoodRatio;
    failureProbability_ = std::clamp(odds / (1 + odds), MinProbability, MaxProbability);
    updatedAt_ = now;
    cachedAt_ = Instant();
}

bool ServerHealth::recentlyServedOtherVm(Instant now, const std::string &vm) const
{
    const bool isRecent =
        lastSuccessAt_ != Instant() && now - lastSuccessAt_ < OtherVmSuccessWindow;
    return isRecent && lastSuccessVm_ != vm;
}

double ServerHealth::recordPathFailure(Instant now, const std::string &vm)
{
    const auto known = pathFailures_.find(vm);
    const bool isRepeated = known != pathFailures_.end() && now - known->second < SamePathWindow;
    pathFailures_[vm] = now;
    return isRepeated ? RepeatedPathFailureLikelihoodRatio : PathFailureLikelihoodRatio;
}

void ServerHealth::recordOutcome(Instant now, const std::string &vm, Outcome outcome,
                                 double latencyRatio)
{
    switch (outcome) {
    case Outcome::Success:
        lastSuccessAt_ = now;
        lastSuccessVm_ = vm;
        shedShare_ -= shedShare_ * ShedWeight;
        slowness_ += (std::min(latencyRatio, VerySlowLatencyRatio) - slowness_) * SlownessWeight;
        applyLikelihoodRatio(now, successLikelihoodRatio(latencyRatio));
        return;
    case Outcome::ServerError:
        applyLikelihoodRatio(now, ErrorLikelihoodRatio);
        return;
    case Outcome::MalformedResponse:
        applyLikelihoodRatio(now, MalformedResponseLikelihoodRatio);
        return;
    case Outcome::ConnectRefused:
    case Outcome::WrongServer:
        applyLikelihoodRatio(now, ConnectionRefusedLikelihoodRatio);
        return;
    case Outcome::ConnectTimeout:
        if (!recentlyServedOtherVm(now, vm)) {
            applyLikelihoodRatio(now, recordPathFailure(now, vm));
        }
        return;
    case Outcome::ConnectionLost:
    case Outcome::ResponseTimeout:
        applyLikelihoodRatio(now, recordPathFailure(now, vm));
        return;
    case Outcome::Shed:
        shedShare_ += (1 - shedShare_) * ShedWeight;
        return;
    case Outcome::NotSent:
    case Outcome::Cancelled:
    case Outcome::VmDisconnected:
        return;
    }
}

void ServerHealth::recordInheritedSuspicion(Instant now)
{
    applyLikelihoodRatio(now, ErrorLikelihoodRatio);
}

void ServerHealth::recordOverdue(Instant now)
{
    applyLikelihoodRatio(now, OverdueLikelihoodRatio);
}

void ServerHealth::retractOverdue(Instant now, std::size_t count)
{
    applyLikelihoodRatio(now, std::pow(OverdueLikelihoodRatio, -static_cast<double>(count)));
}

} // namespace daisyhaven::scheduler::internal

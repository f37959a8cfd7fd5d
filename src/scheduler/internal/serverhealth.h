// Estimates the probability that a backend server currently fails its requests.
//
// The model has two hidden states, healthy and failing, with known transition rates. Each result
// updates the probability by its likelihood ratio (Bayes' rule). Without results the probability
// returns to its steady-state value.
#pragma once

#include "scheduler/scheduler.h"

#include <map>
#include <string>

namespace daisyhaven::scheduler::internal {

class ServerHealth
{
public:
    explicit ServerHealth(Instant now);

    // Records that a request of `vm` ended with `outcome`. `latencyRatio` is its latency as a
    // multiple of the typical latency of its route.
    void recordOutcome(Instant now, const std::string &vm, Outcome outcome, double latencyRatio);
    // Records that a request without a response has passed the next overdue threshold, a multiple
    // of the typical latency.
    void recordOverdue(Instant now);
    // Takes back `count` calls of recordOverdue(), whose cause turned out to be the VM.
    void retractOverdue(Instant now, std::size_t count);
    // Records that another observer saw the server fail.
    void recordInheritedSuspicion(Instant now);
    // Probability that the next request fails because of the server.
    double failureProbability(Instant now) const;
    // Moving average of the share of requests that the server shed.
    double shedShare() const { return shedShare_; }
    // Moving average of this server's latency as a multiple of the typical latency of its routes.
    double slowness() const { return slowness_; }

private:
    double computeFailureProbability(Instant now) const;
    void applyLikelihoodRatio(Instant now, double likelihoodRatio);
    double recordPathFailure(Instant now, const std::string &vm);
    bool recentlyServedOtherVm(Instant now, const std::string &vm) const;

    double failureProbability_;
    Instant updatedAt_;
    // Result of failureProbability() at `cachedAt_`; selections compare every server of a service.
    mutable double cachedProbability_ = 0;
    mutable Instant cachedAt_;
    double slowness_ = 1;
    double shedShare_ = 0;
    Instant lastSuccessAt_;
    std::string lastSuccessVm_;
    // When each VM last reported a failure that the network path between them may have caused.
    std::map<std::string, Instant> pathFailures_;
};

} // namespace daisyhaven::scheduler::internal

// Roll-out of a service to a new version of its backend servers.
//
// The servers of the target version run beside those that serve. A Rollout is the durable record of
// one order; the leader commits each change of its phase. While the phase is Running, an Evaluation
// on the leader says how many requests the target version may receive, compares its answers with
// those of the present version in the same seconds, and decides whether the service moves over or
// the roll-out is rolled back.
//
// Example:
//     Evaluation evaluation(now, deadline, terms, Evaluation::Start::Ordered);
//     evaluation.recordAnswer(now, answer);
//     const std::uint64_t limit = evaluation.maxTargetRequests(now, load);
//     const Decision decision = evaluation.decide(now, load);
//
// Thread safety: none. The classes do no I/O and read no clock.
#pragma once

#include "timer/timer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace daisyhaven::rollout {

// The numbers are stored in the replicated log.
enum class Phase : std::uint8_t {
    Running = 0, // the target version receives a limited number of requests
    Completing = 1, // the replaced versions receive none; requests in flight there end
    Completed = 2,
    RolledBack = 3,
};
constexpr Phase LastPhase = Phase::RolledBack;

// One order and how far it has come. A value type.
struct Rollout
{
    std::string service;
    // Version to which the service moves over.
    std::string target;
    // The versions that served when the roll-out was ordered.
    std::set<std::string> replacedVersions;
    // Wall-clock time of the order in Unix milliseconds.
    std::uint64_t orderedAtMs = 0;
    std::uint32_t durationMs = 0;
    Phase phase = Phase::Running;

    auto tied() const
    {
        return std::tie(service, target, replacedVersions, orderedAtMs, durationMs, phase);
    }
    friend bool operator==(const Rollout &a, const Rollout &b) { return a.tied() == b.tied(); }
};

// Returns whether the phase is one that no longer changes.
bool isFinished(Phase phase);

// Returns whether `next` may follow `current` in the replicated log. `current` is null for the
// first roll-out of a service.
bool isValidSuccessor(const Rollout *current, const Rollout &next);

// Returns whether a server of `version` may receive requests from a VM without a leader. Such a VM
// knows neither how many requests the target version has received nor what became of them, so it
// sends it none before the leader has decided.
bool mayReceiveWithoutLeader(const Rollout &rollout, const std::string &version);

// Upper bound of the requests that an unproven version receives: share of the service's requests
// since the order, plus slack.
struct ExposureLimits
{
    double share = 0.1;
    double slack = 50; // requests

    auto tied() const { return std::tie(share, slack); }
    friend bool operator==(const ExposureLimits &a, const ExposureLimits &b)
    {
        return a.tied() == b.tied();
    }
};

// How a request that reached a server ended.
struct Answer
{
    std::string server;
    std::string route;
    bool fromTarget = false;
    bool failed = false;
    // The caller gave up. Counts only if it had waited for long.
    bool cancelled = false;
    // The server had nearly all of its slots in use.
    bool underLoad = false;
    Duration latency { 0 };
};

// What the scheduler counts for the service.
struct ServiceLoad
{
    // Requests sent since the Evaluation started: all first attempts, and all attempts that went to
    // the target version.
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    // Servers of the target version that may be used, and their slots.
    std::uint32_t targetServers = 0;
    std::uint32_t targetSlots = 0;
    // Requests of the service in flight at servers of any version.
    std::uint32_t inFlight = 0;
};

enum class Verdict : std::uint8_t { Continue, Complete, RollBack };

struct Decision
{
    Verdict verdict = Verdict::Continue;
    // The values behind the verdict, for logs.
    std::string reason;
};

// Upper bound of the probability that a version that is as good as the present one is rolled back
// for its answers.
constexpr double FalseRollbackRate = 0.01;

namespace internal {
class VersionComparison;
}

class Evaluation
{
public:
    // Inherited: another leader evaluated the roll-out before. It may have used all of the slack,
    // so none is left.
    enum class Start : std::uint8_t { Ordered, Inherited };

    Evaluation(Instant now, Instant deadline, ExposureLimits limits, Start start);
    Evaluation(const Evaluation &) = delete;
    Evaluation &operator=(const Evaluation &) = delete;
    ~Evaluation();

    void recordAnswer(Instant now, const Answer &answer);
    // Returns how many requests the target version may have received in all by now. The number
    // grows in steps that fill the version's slots for a moment, so that its answers under load are
    // seen while its share of the requests stays small.
    std::uint64_t maxTargetRequests(Instant now, const ServiceLoad &load);
    // Decides while the phase is Running. Without enough answers by the last moment at which the
    // service could still move over in time, the roll-out is rolled back.
    Decision decide(Instant now, const ServiceLoad &load) const;
    // Decides while the phase is Completing: the target version receives all requests and may still
    // turn out to be bad.
    Decision decideWhileCompleting(Instant now) const;
    // The latest time at which a completing roll-out becomes completed.
    Instant completionDeadline() const;

private:
    struct Evidence
    {
        double logOdds = 0;
        std::string scope;
    };

    internal::VersionComparison &comparison(const std::string &scope);
    bool isSlow(const Answer &answer);
    double exposureLimit(Instant now, const ServiceLoad &load) const;
    Evidence strongestEvidence(Instant now) const;
    Decision findFault(Instant now) const;
    std::string missingProof(Instant now, const ServiceLoad &load) const;

    Instant startedAt_;
    Instant deadline_;
    ExposureLimits limits_;
    Start start_;
    std::uint64_t releasedRequests_ = 0;
    // Comparisons by scope: all answers, those of one route, those under load.
    std::map<std::string, std::unique_ptr<internal::VersionComparison>> comparisons_;
    // Mean latency of the present version's answers in microseconds, by route.
    std::map<std::string, double> presentLatencies_;
};

} // namespace daisyhaven::rollout

// Outlier detection for gray failures: finds backend servers, and paths from one entry VM to one
// backend server, whose request results deviate from those of their peers.
//
// Latencies are normalized by the median latency of their route, so that slow and fast routes are
// comparable. Each result of a backend server updates a CUSUM (cumulative sum of log-likelihood
// ratios against the distribution of its peers) for each kind of fault: slow, partly slow, failing,
// partly failing. A backend server is an outlier if its sum exceeds the threshold by at least the
// median of its peers, so that a slowdown of the whole service produces no outlier. A pending
// request contributes the evidence of the time that it has waited so far.
//
// Failures and pending requests of one entry VM are not attributed to a backend server that
// meanwhile responds to other VMs. They are attributed to it once that VM receives a response from
// it again. Until then the path is suspected, and it is reported as failed if the state persists.
//
// Example:
//     OutlierDetector detector(LikelihoodRatioPolicy {});
//     detector.recordOutcome(now, slot,
//                            { "10.0.0.1:80", "entry-a1", route, Outcome::Success, latency });
//     detector.tick(now);
//     for (const Outlier &outlier : detector.findOutliers()) { ... }
//
// Latency is the time from the last byte sent to the first byte received. Not thread-safe. Performs
// no I/O and reads no clock; the current time is a parameter.
#pragma once

#include "timer/timer.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace daisyhaven::health {

// Outcome of a request to a backend server. The values are part of the inner protocol.
enum class Outcome : std::uint8_t {
    Success = 0,
    ServerError = 1, // server error response
    Shed = 2,
    TimedOut = 3,
    ConnectionLost = 4, // the connection closed after the request was sent
    ConnectFailed = 5,
    Cancelled = 6, // the caller disconnected; no evidence about the server
    NotSent = 7, // never sent; no evidence about the server
    Truncated = 8, // the response ended early
};

// Returns true if `outcome` is evidence of a fault of the backend server.
bool isFailure(Outcome outcome);

// Result of one request, or the wait so far of a pending one.
struct Observation
{
    std::string server;
    std::string vm;
    std::uint64_t route = 0;
    Outcome outcome = Outcome::Success;
    Duration latency { 0 };

    auto tied() const { return std::tie(server, vm, route, outcome, latency); }
    friend bool operator==(const Observation &a, const Observation &b)
    {
        return a.tied() == b.tied();
    }
};

enum class OutlierCause : std::uint8_t {
    Slow,
    PartlySlow,
    Stalling,
    Failing,
    PartlyFailing,
    ConsecutiveFailures,
};

const char *outlierCauseName(OutlierCause cause);

// A backend server whose results deviate from those of its peers. A higher score is worse.
struct Outlier
{
    std::string server;
    OutlierCause cause = OutlierCause::Slow;
    double score = 0;

    auto tied() const { return std::tie(server, cause, score); }
    friend bool operator==(const Outlier &a, const Outlier &b) { return a.tied() == b.tied(); }
};

// A path that fails while its backend server responds to other VMs.
struct FailedPath
{
    std::string server;
    std::string vm;

    auto tied() const { return std::tie(server, vm); }
    friend bool operator==(const FailedPath &a, const FailedPath &b)
    {
        return a.tied() == b.tied();
    }
};

// CUSUM test of each result against the results of the peers. The thresholds apply to the sums.
struct LikelihoodRatioPolicy
{
    double latencySumThreshold = 18;
    double failureSumThreshold = 11;
};

// Baseline for comparison: a threshold of consecutive failures, regardless of latency.
struct ConsecutiveFailurePolicy
{
    int consecutiveFailureThreshold = 5;
};

using DetectionPolicy = std::variant<LikelihoodRatioPolicy, ConsecutiveFailurePolicy>;

constexpr std::size_t LatencyBinCount = 64;
constexpr std::size_t LatencyHypothesisCount = 3;
constexpr std::size_t FailureHypothesisCount = 2;

class OutlierDetector
{
public:
    explicit OutlierDetector(DetectionPolicy policy);

    // Records the outcome of the request on `slot` and discards its recordOverdue() evidence.
    void recordOutcome(Instant now, std::uint64_t slot, const Observation &observation);
    // Records that the request on `slot` has been pending for `observation.latency`.
    void recordOverdue(Instant now, std::uint64_t slot, const Observation &observation);
    // Clears the evidence and statistics of `server`, for its readmission.
    void resetServer(const std::string &server);
    // Removes all state of `server`.
    void removeServer(const std::string &server);
    // Sets the servers whose results are excluded from the peer statistics.
    void setExcludedServers(std::set<std::string> servers);
    // Decays the statistics and discards cached models. Call about ten times a second.
    void tick(Instant now);

    // Returns true if a request from `vm` to `server` is overdue. The path should receive no
    // further requests meanwhile.
    bool hasOverdueRequest(const std::string &server, const std::string &vm) const;
    // Returns the outlier servers, highest score first.
    std::vector<Outlier> findOutliers() const;
    // Returns the paths that fail while their server responds to other VMs, and clears their
    // evidence.
    std::vector<FailedPath> takeFailedPaths(Instant now);
    // Returns the time without a response after which a request of `route` is overdue.
    Duration overdueThreshold(std::uint64_t route) const;
    // Returns the highest latency or failure score of `server` as a fraction of its threshold; 0 if
    // the server is unknown.
    double score(const std::string &server) const;

private:
    using Bins = std::array<double, LatencyBinCount>;

    // Sums of log-likelihood ratios of one server, one for each hypothesis about a fault.
    struct EvidenceSums
    {
        std::array<double, LatencyHypothesisCount> latency {};
        double stalled = 0;
        std::array<double, FailureHypothesisCount> failure {};
    };

    struct PathState
    {
        // Failures since the last success, not attributed to the server yet, and the time of the
        // first of them.
        int pendingFailures = 0;
        Instant firstPendingFailureAt;
        // Latest start time among the requests that succeeded.
        Instant lastSuccessStartedAt;
    };

    // Evidence from a pending request that is overdue.
    struct OverdueRequest
    {
        std::string server;
        std::string vm;
        Instant startedAt;
        Duration overdueLimit { 0 };
        std::array<double, LatencyHypothesisCount> latency {};
        double stalled = 0;
    };

    // Sums of one server as fractions of their thresholds.
    struct ServerScores
    {
        std::array<double, LatencyHypothesisCount> latency {};
        double stalled = 0;
        std::array<double, FailureHypothesisCount> failure {};
    };

    // Decayed result counts of one server and the evidence against it.
    struct ServerState
    {
        Bins latencies {};
        double latencyCount = 0;
        double results = 0;
        double failures = 0;
        int consecutiveFailures = 0;
        EvidenceSums evidence;
        std::map<std::string, PathState> paths;
    };

    // Running estimate of the median latency of a route.
    struct RouteMedian
    {
        double microseconds = 0;
        std::uint64_t samples = 0;
    };

    // Log-likelihood ratios for the results of one server, derived from the results of its peers.
    struct LikelihoodModel
    {
        bool valid = false;
        std::array<Bins, LatencyHypothesisCount> latency {};
        std::array<Bins, LatencyHypothesisCount> survival {};
        // Log-likelihood ratio of a wait of at least this long if the server never responds.
        Bins stalled {};
        std::array<double, FailureHypothesisCount> onFailure {};
        std::array<double, FailureHypothesisCount> onSuccess {};
    };

    std::size_t latencyBin(std::uint64_t route, Duration latency) const;
    void updateRouteMedian(std::uint64_t route, Duration latency);
    LikelihoodModel buildModel(const std::string &server) const;
    const LikelihoodModel &findOrBuildModel(const std::string &server);
    void addFailureEvidence(const Observation &observation, ServerState &server);
    void addLatencyEvidence(const Observation &observation, ServerState &server);
    static bool succeedsForOtherVms(const ServerState &server, const std::string &vm,
                                    Instant startedAfter);
    double failureEvidence(const std::string &name, const ServerState &server,
                           std::size_t hypothesis) const;
    double computeOverdueRatio() const;
    ServerScores scoresOf(const std::string &name, const ServerState &server) const;
    std::vector<Outlier> findLikelihoodOutliers(const LikelihoodRatioPolicy &policy) const;
    std::vector<Outlier>
    findConsecutiveFailureOutliers(const ConsecutiveFailurePolicy &policy) const;

    DetectionPolicy policy_;
    std::map<std::string, ServerState> servers_;
    std::map<std::uint64_t, RouteMedian> routeMedians_;
    std::map<std::uint64_t, OverdueRequest> overdueRequests_;
    std::map<std::string, LikelihoodModel> models_;
    std::set<std::string> excludedServers_;
    // Overdue threshold as a multiple of the route median; 0 until enough results are recorded.
    double overdueRatio_ = 0;
    Instant lastTick_;
};

} // namespace daisyhaven::health

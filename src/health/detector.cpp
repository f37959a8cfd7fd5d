#include "health/health.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace daisyhaven::health {

namespace {

constexpr double BinRatio = 1.25;
constexpr std::size_t MedianBin = 22;
constexpr std::size_t TenfoldShiftBins = 10; // 1.25^10 is about 9.3
constexpr std::size_t ThreefoldShiftBins = 5; // 1.25^5 is about 3
constexpr double PartlySlowFraction = 0.1;
// Share of the distribution reserved for unobserved latencies; it shrinks as results accumulate.
constexpr double MaxTailShare = 0.03;
constexpr double MinTailShare = 0.003;
constexpr double TailSamples = 30;
constexpr double TailDecay = 0.85; // per bin above the median
constexpr double MinPeerSamples = 30;
constexpr double MaxLatencyLogRatio = 6; // per result
constexpr double MaxStallLogRatio = 10;
// A wait of this many overdue thresholds counts as MaxStallLogRatio, whatever the tail of the
// latency distribution.
constexpr int StalledWaitFactor = 10;
// A wait this long is sufficient evidence on its own, which matters if few VMs use a server and
// each has one pending request on it.
constexpr int HungWaitFactor = 40;
constexpr Milliseconds MinHungWait { 1000 };
constexpr double HungRequestLogRatio = 20;
constexpr double MinLatencyLogRatio = -2;
constexpr double MaxFailureLogRatio = 4.5;
constexpr double MinBaselineFailureRate = 0.004;
constexpr double MinFailingRate = 0.3;
constexpr double MinPartlyFailingRate = 0.08;
constexpr double SumCapFactor = 2; // sums are capped at this multiple of their threshold
constexpr double MinMedianStep = 0.02;
constexpr double OverdueQuantile = 0.995;
constexpr int MinPathFailures = 3;
// Number of VMs that must have successful requests to a backend server before the failures of
// another VM are attributed to its path.
constexpr int MinRespondingVms = 2;
constexpr Milliseconds MinPathWait { 500 };
constexpr int PathWaitFactor = 4; // multiple of the overdue threshold
constexpr Seconds LatencyHalfLife { 10 };
constexpr Seconds FailureHalfLife { 4 };
constexpr Milliseconds DefaultOverdueThreshold { 1000 };
constexpr Milliseconds MinOverdueThreshold { 5 };

using Bins = std::array<double, LatencyBinCount>;

// Returns `bins` moved by `by` bins towards higher latencies.
Bins shiftBins(const Bins &bins, std::size_t by)
{
    Bins result {};
    for (std::size_t i = 0; i < LatencyBinCount; ++i) {
        result[std::min(i + by, LatencyBinCount - 1)] += bins[i];
    }
    return result;
}

Bins mixBins(const Bins &a, const Bins &b, double fractionOfB)
{
    Bins result {};
    for (std::size_t i = 0; i < LatencyBinCount; ++i) {
        result[i] = a[i] * (1 - fractionOfB) + b[i] * fractionOfB;
    }
    return result;
}

// Returns the fraction of the distribution at or above each bin.
Bins survivalFunction(const Bins &bins)
{
    Bins result {};
    double sum = 0;
    for (std::size_t i = LatencyBinCount; i-- > 0;) {
        sum += bins[i];
        result[i] = sum;
    }
    return result;
}

Bins logLikelihoodRatios(const Bins &faulty, const Bins &healthy)
{
    Bins result {};
    for (std::size_t i = 0; i < LatencyBinCount; ++i) {
        result[i] =
            std::clamp(std::log(faulty[i] / healthy[i]), MinLatencyLogRatio, MaxLatencyLogRatio);
    }
    return result;
}

// Returns the distribution of unobserved latencies: uniform up to the median, geometric decay
// above.
Bins tailDistribution()
{
    Bins weights {};
    double total = 0;
    double weight = 1;
    for (std::size_t i = 0; i < LatencyBinCount; ++i) {
        weight *= i > MedianBin ? TailDecay : 1;
        weights[i] = weight;
        total += weight;
    }
    for (double &value : weights) {
        value /= total;
    }
    return weights;
}

// Smooths the histogram across neighboring bins and gives every bin a probability above zero.
Bins smoothDistribution(const Bins &counts, double total)
{
    static const Bins Tail = tailDistribution();
    const double share = std::clamp(TailSamples / total, MinTailShare, MaxTailShare);
    Bins result {};
    for (std::size_t i = 0; i < LatencyBinCount; ++i) {
        const double below = counts[i == 0 ? 0 : i - 1];
        const double above = counts[std::min(i + 1, LatencyBinCount - 1)];
        const double smooth = (below + 2 * counts[i] + above) / 4;
        result[i] = (1 - share) * smooth / total + share * Tail[i];
    }
    return result;
}

double decayFactor(Duration elapsed, Duration halfLife)
{
    return std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(halfLife.count()));
}

// Returns a lower bound of the log-likelihood ratio for a stalled server after the wait `waited`.
double stallLogRatio(Duration waited, Duration overdueLimit)
{
    if (waited >= overdueLimit * HungWaitFactor && waited >= MinHungWait) {
        return HungRequestLogRatio;
    }
    return waited >= overdueLimit * StalledWaitFactor ? MaxStallLogRatio : 0;
}

double medianOf(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

bool isFailure(Outcome outcome)
{
    switch (outcome) {
    case Outcome::ServerError:
    case Outcome::TimedOut:
    case Outcome::ConnectionLost:
    case Outcome::ConnectFailed:
    case Outcome::Truncated:
        return true;
    case Outcome::Success:
    case Outcome::Shed:
    case Outcome::Cancelled:
    case Outcome::NotSent:
        return false;
    }
    return false;
}

const char *outlierCauseName(OutlierCause cause)
{
    switch (cause) {
    case OutlierCause::Slow:
        return "slow";
    case OutlierCause::PartlySlow:
        return "partly-slow";
    case OutlierCause::Stalling:
        return "stalling";
    case OutlierCause::Failing:
        return "failing";
    case OutlierCause::PartlyFailing:
        return "partly-failing";
    case OutlierCause::ConsecutiveFailures:
        return "consecutive-failures";
    }
    return "";
}

OutlierDetector::OutlierDetector(DetectionPolicy policy) : policy_(policy) { }

std::size_t OutlierDetector::latencyBin(std::uint64_t route, Duration latency) const
{
    const auto found = routeMedians_.find(route);
    const double median =
        found == routeMedians_.end() ? 1 : std::max(found->second.microseconds, 1.0);
    const double ratio = std::max(static_cast<double>(latency.count()), 1.0) / median;
    const double bin = std::floor(std::log(ratio) / std::log(BinRatio)) + MedianBin;
    return static_cast<std::size_t>(std::clamp(bin, 0.0, static_cast<double>(LatencyBinCount - 1)));
}

void OutlierDetector::updateRouteMedian(std::uint64_t route, Duration latency)
{
    RouteMedian &median = routeMedians_[route];
    const double sample = std::max(static_cast<double>(latency.count()), 1.0);
    ++median.samples;
    if (median.samples == 1) {
        median.microseconds = sample;
        return;
    }
    const double step = std::max(MinMedianStep, 1.0 / static_cast<double>(median.samples));
    median.microseconds *= std::exp(sample > median.microseconds ? step : -step);
}

OutlierDetector::LikelihoodModel OutlierDetector::buildModel(const std::string &name) const
{
    LikelihoodModel model;
    Bins counts {};
    double total = 0;
    double results = 0;
    double failures = 0;
    for (const auto &[peer, server] : servers_) {
        if (peer == name || excludedServers_.count(peer) != 0) {
            continue;
        }
        for (std::size_t i = 0; i < LatencyBinCount; ++i) {
            counts[i] += server.latencies[i];
        }
        total += server.latencyCount;
        results += server.results;
        failures += server.failures;
    }
    const double baselineRate =
        std::clamp(results > 0 ? failures / results : 0, MinBaselineFailureRate, 0.9);
    const std::array<double, FailureHypothesisCount> rates {
        std::clamp(baselineRate * 5, MinFailingRate, 0.95),
        std::clamp(baselineRate * 3, MinPartlyFailingRate, 0.95),
    };
    for (std::size_t i = 0; i < FailureHypothesisCount; ++i) {
        model.onFailure[i] = std::min(std::log(rates[i] / baselineRate), MaxFailureLogRatio);
        model.onSuccess[i] = std::log((1 - rates[i]) / (1 - baselineRate));
    }
    if (total < MinPeerSamples) {
        return model;
    }
    const Bins healthy = smoothDistribution(counts, total);
    const Bins tenfold = shiftBins(healthy, TenfoldShiftBins);
    const std::array<Bins, LatencyHypothesisCount> faulty {
        mixBins(healthy, tenfold, 1),
        mixBins(healthy, shiftBins(healthy, ThreefoldShiftBins), 1),
        mixBins(healthy, tenfold, PartlySlowFraction),
    };
    const Bins healthySurvival = survivalFunction(healthy);
    for (std::size_t i = 0; i < LatencyHypothesisCount; ++i) {
        model.latency[i] = logLikelihoodRatios(faulty[i], healthy);
        model.survival[i] = logLikelihoodRatios(survivalFunction(faulty[i]), healthySurvival);
    }
    for (std::size_t i = 0; i < LatencyBinCount; ++i) {
        model.stalled[i] = std::clamp(-std::log(healthySurvival[i]), 0.0, MaxStallLogRatio);
    }
    model.valid = true;
    return model;
}

const OutlierDetector::LikelihoodModel &OutlierDetector::findOrBuildModel(const std::string &server)
{
    auto found = models_.find(server);
    if (found == models_.end()) {
        found = models_.emplace(server, buildModel(server)).first;
    }
    return found->second;
}

void OutlierDetector::addLatencyEvidence(const Observation &observation, ServerState &server)
{
    const std::size_t bin = latencyBin(observation.route, observation.latency);
    const LikelihoodModel &model = findOrBuildModel(observation.server);
    const auto *policy = std::get_if<LikelihoodRatioPolicy>(&policy_);
    if (model.valid && policy != nullptr) {
        const double limit = policy->latencySumThreshold * SumCapFactor;
        for (std::size_t i = 0; i < LatencyHypothesisCount; ++i) {
            double &sum = server.evidence.latency[i];
            sum = std::clamp(sum + model.latency[i][bin], 0.0, limit);
        }
    }
    server.latencies[bin] += 1;
    server.latencyCount += 1;
    updateRouteMedian(observation.route, observation.latency);
}

void OutlierDetector::addFailureEvidence(const Observation &observation, ServerState &server)
{
    const bool failed = isFailure(observation.outcome);
    server.results += 1;
    server.failures += failed ? 1 : 0;
    server.consecutiveFailures = failed ? server.consecutiveFailures + 1 : 0;
    const auto *policy = std::get_if<LikelihoodRatioPolicy>(&policy_);
    if (policy == nullptr || failed) {
        return;
    }
    // The VM receives responses again, so its earlier failures are attributed to the server and not
    // to the path.
    const int pending = server.paths[observation.vm].pendingFailures;
    const LikelihoodModel &model = findOrBuildModel(observation.server);
    const double limit = policy->failureSumThreshold * SumCapFactor;
    for (std::size_t i = 0; i < FailureHypothesisCount; ++i) {
        double &sum = server.evidence.failure[i];
        sum = std::clamp(sum + pending * model.onFailure[i] + model.onSuccess[i], 0.0, limit);
    }
}

void OutlierDetector::recordOutcome(Instant now, std::uint64_t slot, const Observation &observation)
{
    overdueRequests_.erase(slot);
    const bool isInconclusive = observation.outcome == Outcome::Cancelled
        || observation.outcome == Outcome::NotSent || observation.outcome == Outcome::Shed;
    if (isInconclusive) {
        return;
    }
    ServerState &server = servers_[observation.server];
    addFailureEvidence(observation, server);
    const bool hasResponse =
        observation.outcome == Outcome::Success || observation.outcome == Outcome::ServerError;
    if (hasResponse) {
        addLatencyEvidence(observation, server);
    }
    PathState &path = server.paths[observation.vm];
    if (!isFailure(observation.outcome)) {
        path.pendingFailures = 0;
        path.lastSuccessStartedAt = std::max(path.lastSuccessStartedAt, now - observation.latency);
        return;
    }
    if (path.pendingFailures++ == 0) {
        path.firstPendingFailureAt = now;
    }
}

void OutlierDetector::recordOverdue(Instant now, std::uint64_t slot, const Observation &observation)
{
    const LikelihoodModel &model = findOrBuildModel(observation.server);
    OverdueRequest &request = overdueRequests_[slot];
    request.server = observation.server;
    request.vm = observation.vm;
    request.startedAt = now - observation.latency;
    request.overdueLimit = overdueThreshold(observation.route);
    if (!model.valid) {
        return;
    }
    const std::size_t bin = latencyBin(observation.route, observation.latency);
    for (std::size_t i = 0; i < LatencyHypothesisCount; ++i) {
        request.latency[i] = std::max(0.0, model.survival[i][bin]);
    }
    request.stalled =
        std::max(model.stalled[bin], stallLogRatio(observation.latency, request.overdueLimit));
}

bool OutlierDetector::hasOverdueRequest(const std::string &server, const std::string &vm) const
{
    return std::any_of(overdueRequests_.begin(), overdueRequests_.end(), [&](const auto &entry) {
        return entry.second.server == server && entry.second.vm == vm;
    });
}

void OutlierDetector::resetServer(const std::string &name)
{
    const auto server = servers_.find(name);
    if (server != servers_.end()) {
        server->second = ServerState {};
    }
    for (auto entry = overdueRequests_.begin(); entry != overdueRequests_.end();) {
        entry = entry->second.server == name ? overdueRequests_.erase(entry) : std::next(entry);
    }
}

void OutlierDetector::removeServer(const std::string &name)
{
    resetServer(name);
    servers_.erase(name);
    models_.erase(name);
}

void OutlierDetector::setExcludedServers(std::set<std::string> servers)
{
    excludedServers_ = std::move(servers);
}

void OutlierDetector::tick(Instant now)
{
    const Duration elapsed = lastTick_ == Instant() ? Duration(0) : now - lastTick_;
    lastTick_ = now;
    const double latencyDecay = decayFactor(elapsed, LatencyHalfLife);
    const double failureDecay = decayFactor(elapsed, FailureHalfLife);
    for (auto &[name, server] : servers_) {
        for (double &count : server.latencies) {
            count *= latencyDecay;
        }
        server.latencyCount *= latencyDecay;
        server.results *= failureDecay;
        server.failures *= failureDecay;
    }
    models_.clear();
    overdueRatio_ = computeOverdueRatio();
}

// Returns true if at least MinRespondingVms other VMs than `vm` had a successful request that
// started after `startedAfter`.
bool OutlierDetector::succeedsForOtherVms(const ServerState &server, const std::string &vm,
                                          Instant startedAfter)
{
    int respondingVms = 0;
    for (const auto &[other, path] : server.paths) {
        respondingVms += other != vm && path.lastSuccessStartedAt > startedAfter ? 1 : 0;
    }
    return respondingVms >= MinRespondingVms;
}

// Returns the sum of one failure hypothesis, including the pending failures of VMs whose path is
// not suspected.
double OutlierDetector::failureEvidence(const std::string &name, const ServerState &server,
                                        std::size_t hypothesis) const
{
    const auto model = models_.find(name);
    const double onFailure =
        model == models_.end() ? MaxFailureLogRatio : model->second.onFailure[hypothesis];
    double sum = server.evidence.failure[hypothesis];
    for (const auto &[vm, path] : server.paths) {
        const bool isAttributed = path.pendingFailures > 0
            && !succeedsForOtherVms(server, vm, path.firstPendingFailureAt);
        sum += isAttributed ? path.pendingFailures * onFailure : 0;
    }
    return sum;
}

OutlierDetector::ServerScores OutlierDetector::scoresOf(const std::string &name,
                                                        const ServerState &server) const
{
    ServerScores scores;
    const auto *policy = std::get_if<LikelihoodRatioPolicy>(&policy_);
    if (policy == nullptr) {
        return scores;
    }
    std::array<double, LatencyHypothesisCount> latency = server.evidence.latency;
    for (const auto &[slot, request] : overdueRequests_) {
        const bool isAttributed =
            request.server == name && !succeedsForOtherVms(server, request.vm, request.startedAt);
        for (std::size_t i = 0; isAttributed && i < LatencyHypothesisCount; ++i) {
            latency[i] += request.latency[i];
        }
        scores.stalled += isAttributed ? request.stalled / policy->latencySumThreshold : 0;
    }
    for (std::size_t i = 0; i < LatencyHypothesisCount; ++i) {
        scores.latency[i] = latency[i] / policy->latencySumThreshold;
    }
    for (std::size_t i = 0; i < FailureHypothesisCount; ++i) {
        scores.failure[i] = failureEvidence(name, server, i) / policy->failureSumThreshold;
    }
    return scores;
}

std::vector<Outlier>
OutlierDetector::findLikelihoodOutliers(const LikelihoodRatioPolicy & /*policy*/) const
{
    constexpr std::array<OutlierCause, LatencyHypothesisCount> LatencyCauses {
        OutlierCause::Slow, OutlierCause::Slow, OutlierCause::PartlySlow
    };
    constexpr std::array<OutlierCause, FailureHypothesisCount> FailureCauses {
        OutlierCause::Failing, OutlierCause::PartlyFailing
    };
    std::map<std::string, ServerScores> all;
    for (const auto &[name, server] : servers_) {
        all[name] = scoresOf(name, server);
    }
    std::vector<Outlier> verdicts;
    for (const auto &entry : all) {
        const std::string &name = entry.first;
        const ServerScores &own = entry.second;
        Outlier worst { name, OutlierCause::Slow, 0 };
        const auto considerHypothesis = [&](OutlierCause cause, double score, auto peerScore) {
            std::vector<double> peers;
            for (const auto &[peer, scores] : all) {
                if (peer != name && excludedServers_.count(peer) == 0) {
                    peers.push_back(peerScore(scores));
                }
            }
            const bool isOutlier = score >= 1 && score >= 1 + medianOf(std::move(peers));
            if (isOutlier && score > worst.score) {
                worst.cause = cause;
                worst.score = score;
            }
        };
        for (std::size_t i = 0; i < LatencyHypothesisCount; ++i) {
            if (own.latency[i] >= 1) {
                considerHypothesis(LatencyCauses[i], own.latency[i],
                                   [i](const ServerScores &scores) { return scores.latency[i]; });
            }
        }
        if (own.stalled >= 1) {
            considerHypothesis(OutlierCause::Stalling, own.stalled,
                               [](const ServerScores &scores) { return scores.stalled; });
        }
        for (std::size_t i = 0; i < FailureHypothesisCount; ++i) {
            if (own.failure[i] >= 1) {
                considerHypothesis(FailureCauses[i], own.failure[i],
                                   [i](const ServerScores &scores) { return scores.failure[i]; });
            }
        }
        if (worst.score > 0) {
            verdicts.push_back(worst);
        }
    }
    return verdicts;
}

std::vector<Outlier>
OutlierDetector::findConsecutiveFailureOutliers(const ConsecutiveFailurePolicy &policy) const
{
    std::vector<Outlier> verdicts;
    for (const auto &[name, server] : servers_) {
        if (server.consecutiveFailures >= policy.consecutiveFailureThreshold) {
            verdicts.push_back({ name, OutlierCause::ConsecutiveFailures,
                                 static_cast<double>(server.consecutiveFailures) });
        }
    }
    return verdicts;
}

std::vector<Outlier> OutlierDetector::findOutliers() const
{
    const auto *likelihood = std::get_if<LikelihoodRatioPolicy>(&policy_);
    std::vector<Outlier> verdicts = likelihood != nullptr
        ? findLikelihoodOutliers(*likelihood)
        : findConsecutiveFailureOutliers(std::get<ConsecutiveFailurePolicy>(policy_));
    std::sort(verdicts.begin(), verdicts.end(),
              [](const Outlier &a, const Outlier &b) { return a.score > b.score; });
    return verdicts;
}

std::vector<FailedPath> OutlierDetector::takeFailedPaths(Instant now)
{
    std::vector<FailedPath> verdicts;
    if (std::holds_alternative<ConsecutiveFailurePolicy>(policy_)) {
        return verdicts;
    }
    std::set<std::pair<std::string, std::string>> failedPaths;
    for (const auto &[name, server] : servers_) {
        for (const auto &[vm, path] : server.paths) {
            const bool hasEnoughFailures = path.pendingFailures >= MinPathFailures;
            if (hasEnoughFailures && succeedsForOtherVms(server, vm, path.firstPendingFailureAt)) {
                failedPaths.insert({ name, vm });
            }
        }
    }
    for (const auto &[slot, request] : overdueRequests_) {
        const auto server = servers_.find(request.server);
        const Duration maxWait =
            std::max<Duration>(request.overdueLimit * PathWaitFactor, MinPathWait);
        const bool waitedTooLong = server != servers_.end() && now - request.startedAt > maxWait;
        if (waitedTooLong && succeedsForOtherVms(server->second, request.vm, request.startedAt)
            && server->second.paths[request.vm].lastSuccessStartedAt <= request.startedAt) {
            failedPaths.insert({ request.server, request.vm });
        }
    }
    for (const auto &[name, vm] : failedPaths) {
        verdicts.push_back({ name, vm });
        servers_[name].paths.erase(vm);
        for (auto entry = overdueRequests_.begin(); entry != overdueRequests_.end();) {
            const bool same = entry->second.server == name && entry->second.vm == vm;
            entry = same ? overdueRequests_.erase(entry) : std::next(entry);
        }
    }
    return verdicts;
}

double OutlierDetector::computeOverdueRatio() const
{
    Bins counts {};
    double total = 0;
    for (const auto &[name, server] : servers_) {
        for (std::size_t i = 0; i < LatencyBinCount; ++i) {
            counts[i] += server.latencies[i];
        }
        total += server.latencyCount;
    }
    if (total < MinPeerSamples) {
        return 0;
    }
    double below = 0;
    std::size_t bin = 0;
    while (bin + 1 < LatencyBinCount && below + counts[bin] < OverdueQuantile * total) {
        below += counts[bin++];
    }
    return std::pow(BinRatio, static_cast<double>(bin) + 1 - MedianBin);
}

Duration OutlierDetector::overdueThreshold(std::uint64_t route) const
{
    const auto median = routeMedians_.find(route);
    if (median == routeMedians_.end() || overdueRatio_ == 0) {
        return DefaultOverdueThreshold;
    }
    const double after = median->second.microseconds * overdueRatio_;
    return std::max<Duration>(Duration(static_cast<Duration::rep>(after)), MinOverdueThreshold);
}

double OutlierDetector::score(const std::string &name) const
{
    const auto server = servers_.find(name);
    if (server == servers_.end()) {
        return 0;
    }
    const ServerScores own = scoresOf(name, server->second);
    return std::max(*std::max_element(own.latency.begin(), own.latency.end()),
                    *std::max_element(own.failure.begin(), own.failure.end()));
}

} // namespace daisyhaven::health

// Simulates one availability zone in virtual time, for tests and benchmarks of dispatch: entry VMs,
// one dispatcher and backend servers with gray failures. Uses no threads and no sockets.
#pragma once

#include "dispatch/dispatch.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace daisyhaven::dispatch {

enum class FaultKind : std::uint8_t {
    None,
    Slow, // all requests take ten times as long
    PartlySlow, // 10% of the requests take ten times as long
    Failing, // all requests fail
    PartlyFailing, // 30% of the requests fail
    Stalling, // no request gets a response
    Flapping, // all requests fail during every other second
    PathLost, // requests of some entry VMs get no response
};

enum class LoadBalancingMode : std::uint8_t { Dispatcher, LocalLeastRequest };

struct SimulationOptions
{
    int entryVms = 14;
    int servers = 12;
    std::uint32_t slotsPerServer = 4;
    double utilization = 0.6; // as a fraction of all slots
    double meanServiceTimeMs = 40;
    bool exponentialServiceTime = true;
    double failureRate = 0.0005;
    FaultKind fault = FaultKind::None;
    int faultyServers = 1;
    int vmsWithLostPath = 1; // entry VMs that FaultKind::PathLost affects
    Duration faultStart = Seconds(20);
    bool slowAllServers = false;
    health::DetectionPolicy detection;
    SelectionPolicy selection;
    LoadBalancingMode loadBalancingMode = LoadBalancingMode::Dispatcher;
    double floor = 0.5;
    // Request rate of the first of four teams, as a multiple of its fair share.
    double firstTeamLoadFactor = 1;
    Duration deadline = Seconds(2);
};

struct SimulationResult
{
    std::size_t requests = 0;
    std::size_t rejected = 0;
    std::size_t failed = 0;
    std::vector<double> latenciesMs;
    std::map<std::string, std::vector<double>> latenciesByTeamMs;
    std::map<std::string, std::size_t> servedByTeam;
    // Time from the fault to the ejection of the first faulty server; empty if it is not ejected.
    std::optional<Duration> detectionTime;
    // Time from the fault until every lost path is blocked; empty if some path is not blocked.
    std::optional<Duration> pathBlockingTime;
    std::size_t falseEjections = 0;
    std::size_t ejections = 0;
    std::uint32_t minServersInRotation = UINT32_MAX;
};

inline double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

class ZoneSimulator
{
public:
    ZoneSimulator(const SimulationOptions &options, std::uint64_t seed)
        : options_(options), random_(seed), budget_(options_.floor, now_)
    {
        Options dispatcherOptions;
        dispatcherOptions.zone = "a";
        dispatcherOptions.coldStartDuration = Duration(0);
        dispatcherOptions.longestDeadline = options_.deadline;
        dispatcherOptions.detection = options_.detection;
        dispatcherOptions.selection = options_.selection;
        dispatcher_ = std::make_unique<Dispatcher>(dispatcherOptions, 1, now_);
        dispatcher_->setEntryVmCount(static_cast<std::size_t>(options_.entryVms));
        servers_.resize(static_cast<std::size_t>(options_.servers));
        start_ = now_;
    }

    SimulationResult run(Duration duration)
    {
        schedule(now_, [this] { announceAll(); });
        schedule(now_, [this] { tick(); });
        schedule(now_, [this] { exchangeSummary(); });
        schedule(now_, [this] { generateRequest(); });
        const Instant end = now_ + duration;
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        return result_;
    }

private:
    struct Server
    {
        std::vector<Instant> running; // end times of the running requests, for LocalLeastRequest
    };
    struct PendingRequest
    {
        Instant arrivedAt;
        std::string team;
        int vm = 0;
        int attempts = 0;
    };

    static std::string serverName(int server) { return "server" + std::to_string(server); }
    static int serverIndex(const std::string &server) { return std::stoi(server.substr(6)); }

    void schedule(Instant at, std::function<void()> event)
    {
        events_.emplace(at, std::move(event));
    }
    Duration networkDelay() { return Duration(std::uniform_int_distribution<>(100, 400)(random_)); }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
    bool faultActive(int server) const
    {
        return server < options_.faultyServers && now_ - start_ >= options_.faultStart;
    }

    void announceAll()
    {
        for (int i = 0; i < options_.servers; ++i) {
            dispatcher_->handleAnnouncement(
                now_, { serverName(i), options_.slotsPerServer, 350, 1, 0, ServerState::Ready },
                Duration(0));
        }
        schedule(now_ + Milliseconds(500), [this] { announceAll(); });
    }

    void tick()
    {
        dispatcher_->tick(now_);
        flush();
        std::uint32_t serving = 0;
        for (int i = 0; i < options_.servers; ++i) {
            serving += dispatcher_->isOutOfRotation(serverName(i)) ? 0 : 1;
        }
        result_.minServersInRotation = std::min(result_.minServersInRotation, serving);
        schedule(now_ + Milliseconds(20), [this] { tick(); });
    }

    void exchangeSummary()
    {
        const auto permits =
            budget_.recordSummary(now_, dispatcher_->summarizeAndDropStalePermits(now_));
        schedule(now_ + Milliseconds(2), [this, permits] {
            dispatcher_->applyEjectionPermits(now_, permits.mayEject, permits.mustReadmit);
            flush();
        });
        schedule(now_ + Milliseconds(100), [this] { exchangeSummary(); });
    }

    void generateRequest()
    {
        const double total = options_.utilization * options_.servers * options_.slotsPerServer
            / (options_.meanServiceTimeMs / 1000);
        const double factor = options_.firstTeamLoadFactor;
        const double perSecond = total * (3 + factor) / 4;
        const double gap = std::exponential_distribution<>(perSecond)(random_);
        schedule(now_ + Duration(static_cast<Duration::rep>(gap * 1e6) + 1),
                 [this] { generateRequest(); });
        const bool first = uniform() < factor / (3 + factor);
        PendingRequest pending;
        pending.arrivedAt = now_;
        pending.team = first
            ? "team0"
            : "team" + std::to_string(std::uniform_int_distribution<>(1, 3)(random_));
        pending.vm = std::uniform_int_distribution<>(0, options_.entryVms - 1)(random_);
        ++result_.requests;
        sendRequest(++lastRequest_, pending);
    }

    void sendRequest(std::uint64_t request, const PendingRequest &pending)
    {
        pendingRequests_[request] = pending;
        if (options_.loadBalancingMode == LoadBalancingMode::LocalLeastRequest) {
            placeLocally(request);
            return;
        }
        SlotRequest slotRequest;
        slotRequest.id = { "vm" + std::to_string(pending.vm), 1, request };
        slotRequest.team = pending.team;
        slotRequest.idempotent = true;
        slotRequest.fingerprint = request;
        slotRequest.deadline = options_.deadline;
        slotRequest.maxWait = pending.arrivedAt + options_.deadline - now_;
        slotRequest.spilled = true;
        schedule(now_ + networkDelay(), [this, slotRequest] {
            dispatcher_->acquire(now_, slotRequest);
            flush();
        });
    }

    // Baseline: each entry VM selects the server with the fewest of its own requests in flight. A
    // server with no available slot sheds the request, which is attempted up to three times.
    void placeLocally(std::uint64_t request)
    {
        PendingRequest &pending = pendingRequests_[request];
        auto &inFlight = localInFlight_[pending.vm];
        inFlight.resize(static_cast<std::size_t>(options_.servers));
        std::vector<int> best;
        for (int i = 0; i < options_.servers; ++i) {
            const auto count = inFlight[static_cast<std::size_t>(i)];
            if (best.empty() || count < inFlight[static_cast<std::size_t>(best.front())]) {
                best = { i };
            } else if (count == inFlight[static_cast<std::size_t>(best.front())]) {
                best.push_back(i);
            }
        }
        const int server = best[static_cast<std::size_t>(
            std::uniform_int_distribution<>(0, static_cast<int>(best.size()) - 1)(random_))];
        auto &runningRequests = servers_[static_cast<std::size_t>(server)].running;
        runningRequests.erase(std::remove_if(runningRequests.begin(), runningRequests.end(),
                                             [this](Instant t) { return t <= now_; }),
                              runningRequests.end());
        if (runningRequests.size() >= options_.slotsPerServer) {
            if (++pending.attempts >= 3) {
                ++result_.rejected;
                pendingRequests_.erase(request);
                return;
            }
            schedule(now_ + networkDelay(), [this, request] { placeLocally(request); });
            return;
        }
        const Duration service = serviceTime(server);
        runningRequests.push_back(now_ + service);
        ++inFlight[static_cast<std::size_t>(server)];
        const int vm = pending.vm;
        schedule(now_ + service + networkDelay(), [this, request, server, vm] {
            --localInFlight_[vm][static_cast<std::size_t>(server)];
            completeRequest(request);
        });
    }

    Duration serviceTime(int server)
    {
        double ms = options_.meanServiceTimeMs;
        if (options_.exponentialServiceTime) {
            ms *= std::exponential_distribution<>(1)(random_);
        } else {
            ms *= std::lognormal_distribution<>(0, 0.5)(random_);
        }
        const bool active = faultActive(server);
        if (active && options_.fault == FaultKind::Slow) {
            ms *= 10;
        }
        if (active && options_.fault == FaultKind::PartlySlow && uniform() < 0.1) {
            ms *= 10;
        }
        if (options_.slowAllServers && now_ - start_ >= options_.faultStart) {
            ms *= 10;
        }
        return Duration(static_cast<Duration::rep>(ms * 1000) + 1);
    }

    bool fails(int server)
    {
        const bool active = faultActive(server);
        const auto phase = std::chrono::duration_cast<Seconds>(now_ - start_).count() % 2;
        const bool faultApplies = active
            && (options_.fault == FaultKind::Failing
                || (options_.fault == FaultKind::PartlyFailing && uniform() < 0.3)
                || (options_.fault == FaultKind::Flapping && phase == 0));
        return faultApplies || uniform() < options_.failureRate;
    }

    bool responds(int server, int vm) const
    {
        const bool active = faultActive(server);
        const bool pathLost =
            active && options_.fault == FaultKind::PathLost && vm < options_.vmsWithLostPath;
        return !pathLost && !(active && options_.fault == FaultKind::Stalling);
    }

    void flush()
    {
        for (const Action &action : dispatcher_->takeActions()) {
            if (const auto *grant = std::get_if<Grant>(&action)) {
                const Grant grantCopy = *grant;
                schedule(now_ + networkDelay(), [this, grantCopy] { runRequest(grantCopy); });
            } else if (const auto *rejection = std::get_if<Rejection>(&action)) {
                pendingRequests_.erase(rejection->id.sequenceNumber);
                ++result_.rejected;
            } else {
                recordEvent(std::get<ServerEvent>(action));
            }
        }
    }

    void recordEvent(const ServerEvent &serverEvent)
    {
        const bool faulty = !serverEvent.server.empty()
            && faultActive(serverIndex(serverEvent.server)) && options_.fault != FaultKind::None;
        const bool path = options_.fault == FaultKind::PathLost;
        if (serverEvent.kind == ServerEventKind::Ejected) {
            ++result_.ejections;
            result_.falseEjections += faulty && !path ? 0 : 1;
            if (faulty && !result_.detectionTime && serverIndex(serverEvent.server) == 0) {
                result_.detectionTime = now_ - start_ - options_.faultStart;
            }
        }
        if (serverEvent.kind == ServerEventKind::PathBlocked && faulty) {
            blockedPaths_.insert(serverEvent.detail);
            const auto lostPaths = static_cast<std::size_t>(options_.vmsWithLostPath);
            if (blockedPaths_.size() == lostPaths && !result_.pathBlockingTime) {
                result_.pathBlockingTime = now_ - start_ - options_.faultStart;
            }
        }
    }

    void runRequest(const Grant &grant)
    {
        const int server = serverIndex(grant.address);
        const int vm = std::stoi(grant.id.vm.substr(2));
        const std::uint64_t slot = grant.slot;
        const std::uint64_t request = grant.id.sequenceNumber;
        const Instant startedAt = now_;
        const Duration service = serviceTime(server);
        const bool responded = responds(server, vm);
        const Duration remaining = pendingRequests_[request].arrivedAt + options_.deadline - now_;
        const bool inTime = responded && service < remaining;
        const Duration used = inTime ? service : std::max<Duration>(remaining, Duration(1));
        for (Duration at = grant.overdueAfter; at < used; at *= 2) {
            const Duration waited = at;
            schedule(startedAt + at + networkDelay(),
                     [this, slot, waited] { dispatcher_->recordOverdue(now_, slot, waited); });
        }
        const bool failed = inTime && fails(server);
        const auto outcome = !inTime ? health::Outcome::TimedOut
            : failed                 ? health::Outcome::ServerError
                                     : health::Outcome::Success;
        schedule(startedAt + used + networkDelay(),
                 [this, slot, outcome, used, request, failed, inTime] {
                     dispatcher_->release(now_, slot, outcome, used);
                     flush();
                     if (failed || !inTime) {
                         ++result_.failed;
                         pendingRequests_.erase(request);
                     } else {
                         completeRequest(request);
                     }
                 });
    }

    void completeRequest(std::uint64_t request)
    {
        const auto found = pendingRequests_.find(request);
        if (found == pendingRequests_.end()) {
            return;
        }
        const double ms =
            std::chrono::duration<double, std::milli>(now_ - found->second.arrivedAt).count();
        result_.latenciesMs.push_back(ms);
        result_.latenciesByTeamMs[found->second.team].push_back(ms);
        ++result_.servedByTeam[found->second.team];
        pendingRequests_.erase(found);
    }

    SimulationOptions options_;
    std::mt19937_64 random_;
    Instant now_ { Seconds(1000) };
    Instant start_;
    EjectionBudget budget_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<Server> servers_;
    std::map<int, std::vector<int>> localInFlight_;
    std::set<std::string> blockedPaths_;
    std::map<std::uint64_t, PendingRequest> pendingRequests_;
    std::uint64_t lastRequest_ = 0;
    std::multimap<Instant, std::function<void()>> events_;
    SimulationResult result_;
};

} // namespace daisyhaven::dispatch

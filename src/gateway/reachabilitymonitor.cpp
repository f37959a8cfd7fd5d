#include "gateway/internal/reachabilitymonitor.h"

#include "observe/observe.h"

#include <algorithm>
#include <random>

namespace daisyhaven::gateway {

namespace {

constexpr Milliseconds TickInterval { 50 };
// Covers several round trips between availability zones on a busy link.
constexpr Milliseconds CheckTimeout { 250 };
// A connection of a check is kept for the next request for this long.
constexpr Seconds CheckedConnectionLifetime { 3 };
constexpr double LatencyWeight = 0.1;
constexpr double SuspiciousLatencyRatio = 2.5;
constexpr Milliseconds MinSuspiciousSilence { 150 };
constexpr Milliseconds MaxSuspiciousSilence { 1000 };
constexpr Milliseconds InitialSuspiciousSilence { 400 };

} // namespace

struct ReachabilityMonitor::PendingConnection
{
    OpenConnection request;
    std::unique_ptr<http::ClientConnection> connection;
    TimerHandle timeout;
};

ReachabilityMonitor::ReachabilityMonitor(event_base *base, TimerService &timers,
                                         const coordination::LeaderClient &leader,
                                         BackendConnectionPool &pool)
    : base_(base), timers_(timers), leader_(leader), pool_(pool),
      reachability_(std::random_device {}()), tick_(timers.runEvery(TickInterval, [this] {
          reachability_.tick(timers_.now(), leader_.view().servers);
          executeActions();
      }))
{
}

ReachabilityMonitor::~ReachabilityMonitor() = default;

void ReachabilityMonitor::explainFailure(const NetworkFailure &failure, VerdictCallback verdict)
{
    waiting_[failure.service].push_back(std::move(verdict));
    reachability_.recordFailure(timers_.now(), failure, leader_.view().servers);
    executeActions();
}

void ReachabilityMonitor::recordConnection(const std::string &service)
{
    reachability_.recordConnection(timers_.now(), service);
    executeActions();
}

void ReachabilityMonitor::recordResponse(const std::string &service, Duration latency)
{
    reachability_.recordResponse(timers_.now(), service);
    const auto sample = static_cast<double>(latency.count());
    const auto known = latencies_.try_emplace(service, sample).first;
    known->second += (sample - known->second) * LatencyWeight;
}

Duration ReachabilityMonitor::suspiciousSilence(const std::string &service) const
{
    const auto known = latencies_.find(service);
    if (known == latencies_.end()) {
        return InitialSuspiciousSilence;
    }
    const Duration silence(static_cast<Duration::rep>(known->second * SuspiciousLatencyRatio));
    return std::clamp<Duration>(silence, MinSuspiciousSilence, MaxSuspiciousSilence);
}

bool ReachabilityMonitor::isDisconnected(const std::string &service) const
{
    return reachability_.isDisconnected(service);
}

bool ReachabilityMonitor::isAnyDisconnected() const
{
    return reachability_.isAnyDisconnected();
}

void ReachabilityMonitor::executeActions()
{
    for (const ReachabilityAction &action : reachability_.takeActions()) {
        std::visit([this](const auto &value) { execute(value); }, action);
    }
}

void ReachabilityMonitor::execute(const OpenConnection &request)
{
    const std::uint64_t id = ++lastConnection_;
    const auto parsed = attempt([&] { return peer::parseAddress(request.address); });
    const auto *address = std::get_if<peer::Address>(&parsed);
    PendingConnection &pending = connections_[id];
    pending.request = request;
    // An invalid address yields a connection that fails to open.
    pending.connection = std::make_unique<http::ClientConnection>(
        base_, address == nullptr ? peer::Address {} : *address);
    http::ClientConnection::Callbacks callbacks;
    callbacks.connected = [this, id] { finishConnection(id, std::nullopt); };
    callbacks.closed = [this, id] { finishConnection(id, ConnectionEnd::Refused); };
    pending.connection->setCallbacks(std::move(callbacks));
    const bool isOpen = pending.connection->isOpen();
    pending.timeout =
        timers_.runAfter(isOpen ? Duration(CheckTimeout) : Duration(0), [this, id, isOpen] {
            finishConnection(id, isOpen ? ConnectionEnd::TimedOut : ConnectionEnd::Refused);
        });
}

// `failure`: why the connection was not established, if it was not.
void ReachabilityMonitor::finishConnection(std::uint64_t id, std::optional<ConnectionEnd> failure)
{
    auto node = connections_.extract(id);
    if (node.empty()) {
        return;
    }
    PendingConnection &pending = node.mapped();
    const Instant now = timers_.now();
    if (!failure) {
        pool_.release(pending.request.server, std::move(pending.connection),
                      CheckedConnectionLifetime);
        reachability_.recordConnection(now, pending.request.service);
    } else {
        // Destroys the connection outside its own callbacks.
        timers_.post([connection = std::shared_ptr<http::ClientConnection>(
                          std::move(pending.connection))] {});
        reachability_.recordFailedConnection(pending.request, *failure);
    }
    executeActions();
}

void ReachabilityMonitor::execute(const Verdict &verdict)
{
    auto node = waiting_.extract(verdict.service);
    if (node.empty()) {
        return;
    }
    for (const VerdictCallback &callback : node.mapped()) {
        callback(verdict.faultyEnd);
    }
}

void ReachabilityMonitor::execute(const ReachabilityChange &change)
{
    logEvent(change.reachable ? Event::ServersReachable : Event::ServersUnreachable,
             { { "service", change.service } });
}

} // namespace daisyhaven::gateway

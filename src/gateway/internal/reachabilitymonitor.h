// Opens the connections with which a VM tells failures of backend servers from failures of its own
// links, and tells the requests that failed which of the two it was.
#pragma once

#include "gateway/internal/backendconnectionpool.h"
#include "gateway/internal/reachability.h"

#include "coordination/coordination.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisyhaven::gateway {

class ReachabilityMonitor
{
public:
    using VerdictCallback = std::function<void(FaultyEnd)>;

    ReachabilityMonitor(event_base *base, TimerService &timers,
                        const coordination::LeaderClient &leader, BackendConnectionPool &pool);
    ReachabilityMonitor(const ReachabilityMonitor &) = delete;
    ReachabilityMonitor &operator=(const ReachabilityMonitor &) = delete;
    ~ReachabilityMonitor();

    // Finds out which end caused the failure. `verdict` runs once, possibly from within this call.
    void explainFailure(const NetworkFailure &failure, VerdictCallback verdict);
    // Records that a connection to a server of `service` was established.
    void recordConnection(const std::string &service);
    // Records that a server of `service` responded after `latency`.
    void recordResponse(const std::string &service, Duration latency);
    // Returns the time after which a request to `service` without a response may be lost.
    Duration suspiciousSilence(const std::string &service) const;
    bool isDisconnected(const std::string &service) const;
    bool isAnyDisconnected() const;

private:
    struct PendingConnection;

    void executeActions();
    void execute(const OpenConnection &request);
    void execute(const Verdict &verdict);
    void execute(const ReachabilityChange &change);
    void finishConnection(std::uint64_t id, std::optional<ConnectionEnd> failure);

    event_base *base_;
    TimerService &timers_;
    const coordination::LeaderClient &leader_;
    BackendConnectionPool &pool_;
    Reachability reachability_;
    std::map<std::string, std::vector<VerdictCallback>> waiting_;
    // Moving average of the latency by service, in microseconds.
    std::map<std::string, double> latencies_;
    std::map<std::uint64_t, PendingConnection> connections_;
    std::uint64_t lastConnection_ = 0;
    TimerHandle tick_;
};

} // namespace daisyhaven::gateway

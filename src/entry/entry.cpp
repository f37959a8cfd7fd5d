#include "entry/entry.h"

#include "entry/internal/announcementtask.h"
#include "entry/internal/dispatchtask.h"
#include "entry/internal/endpointserver.h"
#include "entry/internal/proxy.h"
#include "peer/generated/peer.pb.h"

#include <event2/event.h>

#include <csignal>

namespace daisyhaven::entry {

namespace {

constexpr Milliseconds HealthCheckPeriod { 50 };
constexpr Milliseconds DrainCheckPeriod { 20 };
constexpr Milliseconds ShutdownFlushDelay { 200 };

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};
struct EventDeleter
{
    void operator()(event *event) const { event_free(event); }
};

class EntryVm
{
public:
    explicit EntryVm(const settings::VmSettings &settings)
        : settings_(settings), eventBase_(event_base_new()), timers_(eventBase_.get()),
          traces_("daisyhaven-" + settings.id, settings.traceFile),
          server_(eventBase_.get(), credentials(settings)),
          clients_(eventBase_.get(), timers_, credentials(settings)),
          fleet_(timers_, clients_, server_, settings,
                 static_cast<std::uint64_t>(wallClockMicroseconds()), metrics_),
          context_ { eventBase_.get(), timers_, server_,   clients_,    fleet_,
                     metrics_,         traces_, settings_, std::nullopt },
          dispatchTask_(context_), dispatchClient_(context_), quota_(context_), ledger_(context_),
          connectionPool_(context_), announcements_(context_),
          proxy_({ context_, dispatchClient_, quota_, ledger_, connectionPool_ })
    {
        clients_.setLocalServer(settings.peerAddress, server_);
    }

    Result<void> run()
    {
        BOOST_LEAF_CHECK(server_.listen(settings_.peerAddress));
        BOOST_LEAF_ASSIGN(platformEndpoints_,
                          EndpointServer::create(eventBase_.get(), *settings_.platformAddress));
        BOOST_LEAF_ASSIGN(backendEndpoints_,
                          EndpointServer::create(eventBase_.get(), *settings_.backendAddress));
        BOOST_LEAF_CHECK(proxy_.listen());
        registerPlatformEndpoints();
        announcements_.registerEndpoints(*backendEndpoints_);
        fleet_.onConfigurationChange([this] { updateHealth(); });
        healthTimer_ = timers_.runEvery(HealthCheckPeriod, [this] { updateHealth(); });
        installSignalHandler(SIGTERM);
        installSignalHandler(SIGINT);
        fleet_.start();
        logEvent(Event::ProcessStarted,
                 { { "vm", settings_.id },
                   { "zone", settings_.availabilityZone },
                   { "caller", settings_.callerAddress->toString() } });
        event_base_dispatch(eventBase_.get());
        traces_.flush();
        logEvent(Event::ProcessStopped, { { "vm", settings_.id } });
        return {};
    }

private:
    static peer::Credentials credentials(const settings::VmSettings &settings)
    {
        return { peer::Role::Vm, settings.id, settings.fleet.vmKey, "" };
    }

    void registerPlatformEndpoints()
    {
        platformEndpoints_->addHandler("/health", [this](const EndpointRequest &) {
            return healthy_
                ? EndpointResponse { 200, "text/plain", "green\n" }
                : EndpointResponse { 503, "text/plain", "red: " + unhealthyReason() + "\n" };
        });
        platformEndpoints_->addHandler("/metrics", [this](const EndpointRequest &) {
            updateTrafficMetrics();
            return EndpointResponse { 200, "text/plain; version=0.0.4", metrics_.expositionText() };
        });
    }

    void updateTrafficMetrics()
    {
        const peer::TrafficCounters &traffic = peer::trafficCounters();
        metrics_.setGauge("daisyhaven_peer_bytes_sent", {}, static_cast<double>(traffic.bytesSent));
        metrics_.setGauge("daisyhaven_peer_bytes_received", {},
                          static_cast<double>(traffic.bytesReceived));
        for (const auto &[method, count] : traffic.callsByMethod) {
            metrics_.setGauge("daisyhaven_peer_calls", { { "method", peer::methodName(method) } },
                              static_cast<double>(count));
        }
    }

    std::string unhealthyReason() const
    {
        if (context_.shutdown) {
            return "stopping";
        }
        const auto &configuration = fleet_.configuration();
        if (configuration.isVmOutOfService(settings_.id)) {
            return "vm out";
        }
        if (configuration.isZoneOutOfService(settings_.availabilityZone)) {
            return "zone out";
        }
        if (!fleet_.isConfigurationFresh()) {
            return "configuration not proven fresh";
        }
        return configuration.services().empty() ? "nothing published" : "";
    }

    void updateHealth()
    {
        const std::string reason = unhealthyReason();
        if (reason.empty() == healthy_) {
            return;
        }
        healthy_ = reason.empty();
        logEvent(Event::HealthChanged,
                 { { "health", healthy_ ? "green" : "red" }, { "reason", reason } });
        metrics_.setGauge("daisyhaven_healthy", {}, healthy_ ? 1 : 0);
    }

    void installSignalHandler(int signalNumber)
    {
        signals_.emplace_back(
            evsignal_new(eventBase_.get(), signalNumber, &EntryVm::onSignal, this));
        event_add(signals_.back().get(), nullptr);
    }

    static void onSignal(evutil_socket_t /*signalNumber*/, short /*what*/, void *user)
    {
        static_cast<EntryVm *>(user)->beginShutdown();
    }

    // Reports unhealthy at once, but accepts requests for the drain grace period, until the
    // platform's load balancer has stopped sending them. Then rejects new requests and completes
    // active ones.
    void beginShutdown()
    {
        if (context_.shutdown) {
            return;
        }
        context_.shutdown = makeShutdownSchedule(timers_.now(), settings_.terminationGracePeriod,
                                                 settings_.drainGracePeriod);
        updateHealth();
        logEvent(Event::ProcessStopping, { { "requests", proxy_.activeRequestCount() } });
        fleet_.drain();
        PlannedStop::Steps steps;
        steps.stopAccepting = [this] {
            proxy_.startDrain([this] { finishShutdown(); });
            drainCheckTimer_ =
                timers_.runEvery(DrainCheckPeriod, [this] { proxy_.finishDrainIfIdle(); });
        };
        steps.endWaiting = [this] { proxy_.endWaitingRequests(); };
        steps.endAll = [this] { proxy_.endAllRequests(); };
        steps.exit = [this] { event_base_loopbreak(eventBase_.get()); };
        plannedStop_.emplace(timers_, *context_.shutdown, std::move(steps));
    }

    void finishShutdown()
    {
        // The delay lets pending outcome reports reach the dispatchers and the ledger.
        flushTimer_ = timers_.runAfter(ShutdownFlushDelay,
                                       [this] { event_base_loopbreak(eventBase_.get()); });
    }

    settings::VmSettings settings_;
    std::unique_ptr<event_base, EventBaseDeleter> eventBase_;
    TimerService timers_;
    Metrics metrics_;
    TraceWriter traces_;
    peer::Server server_;
    peer::ClientPool clients_;
    fleet::FleetTask fleet_;
    Context context_;
    DispatchTask dispatchTask_;
    DispatchClient dispatchClient_;
    QuotaTask quota_;
    LedgerTask ledger_;
    BackendConnectionPool connectionPool_;
    AnnouncementTask announcements_;
    Proxy proxy_;
    std::unique_ptr<EndpointServer> platformEndpoints_;
    std::unique_ptr<EndpointServer> backendEndpoints_;
    std::vector<std::unique_ptr<event, EventDeleter>> signals_;
    bool healthy_ = false;
    std::optional<PlannedStop> plannedStop_;
    TimerHandle healthTimer_;
    TimerHandle drainCheckTimer_;
    TimerHandle flushTimer_;
};

} // namespace

Result<void> runEntryVm(const settings::VmSettings &settings)
{
    EntryVm vm(settings);
    return vm.run();
}

} // namespace daisyhaven::entry

#include "gateway/gateway.h"

#include "gateway/internal/backendconnectionpool.h"
#include "gateway/internal/callersession.h"
#include "gateway/internal/context.h"
#include "gateway/internal/reachabilitymonitor.h"
#include "gateway/internal/requestrelays.h"
#include "gateway/internal/slotclient.h"

#include <algorithm>
#include <map>
#include <random>

namespace daisyhaven::gateway {

namespace {

constexpr Milliseconds ConnectionSweepInterval { 250 };
// After the signal to stop, the load balancer needs this long to remove this VM.
constexpr Milliseconds LoadBalancerDelay { 2600 };
constexpr Seconds GaugeInterval { 10 };
// Bounds the memory and processor time that this VM spends on requests of others.
constexpr std::ptrdiff_t MaxRelayedRequests = 48;

} // namespace

class Gateway::Impl final : public CallerSession::Owner
{
public:
    Impl(event_base *base, TimerService &timers, peer::Server &server, peer::ClientPool &clients,
         Metrics &metrics, GatewayOptions options)
        : base_(base), timers_(timers), metrics_(metrics), options_(std::move(options)),
          leader_(timers, clients,
                  { options_.vm,
                    incarnation_,
                    options_.controlSeeds,
                    std::nullopt,
                    options_.documentParser,
                    options_.relayAddress,
                    { options_.requestRelayAddress ? options_.requestRelayAddress->toString() : "",
                      options_.zone } },
                  { nullptr,
                    [this](std::uint64_t epoch) { return slots_.slotsHeldOutsideEpoch(epoch); },
                    [this] { return slots_.unreportedLocalAdmissions(); },
                    [this](const auto &spent) { slots_.markAdmissionsReported(spent); },
                    [this] { return reachability_.isAnyDisconnected(); } }),
          relay_(timers, server, clients, leader_),
          slots_(timers, leader_, metrics, options_.vm, incarnation_, options_.rateTolerance),
          pool_(base, timers), reachability_(base, timers, leader_, pool_),
          requestRelays_(std::random_device {}()),
          servicePicker_(std::random_device {}()), context_ {
              base_, timers_,       metrics_,       options_,       leader_,  slots_,
              pool_, reachability_, requestRelays_, servicePicker_, shutdown_
          }
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_ASSIGN(listener_,
                          http::Listener::open(
                              base_, options_.listenAddress,
                              [this](int socket) { accept(socket, RequestOrigin::Caller); },
                              account(RequestOrigin::Caller)));
        if (options_.requestRelayAddress) {
            BOOST_LEAF_ASSIGN(relayListener_,
                              http::Listener::open(
                                  base_, *options_.requestRelayAddress,
                                  [this](int socket) { accept(socket, RequestOrigin::OtherVm); },
                                  account(RequestOrigin::OtherVm)));
        }
        leader_.start();
        sweep_ = timers_.runEvery(ConnectionSweepInterval, [this] { sweep(); });
        return {};
    }

    bool isReady() const { return !shutdown_ && leader_.view().routingTable != nullptr; }
    bool isStopping() const override { return shutdown_.has_value(); }
    bool mayStartRequests() const override
    {
        return !shutdown_ || timers_.now() < shutdown_->sendUntil;
    }
    bool mayRelay() const override
    {
        const auto relayed =
            std::count_if(sessions_.begin(), sessions_.end(),
                          [](const auto &session) { return session.second->isRelayedExchange(); });
        return !isStopping() && relayed <= MaxRelayedRequests;
    }
    const GatewayContext &context() const override { return context_; }
    void setSeeds(std::vector<peer::Address> seeds) { leader_.setSeeds(std::move(seeds)); }

    void drain(std::function<void()> finished)
    {
        if (shutdown_) {
            return;
        }
        shutdown_ = makeShutdownSchedule(timers_.now(), options_.gracePeriod, LoadBalancerDelay);
        finished_ = std::move(finished);
        logShutdownStart();
        forEachExchange(&Exchange::shortenWait);
        PlannedStop::Steps steps;
        steps.stopAccepting = [this] { listener_.reset(); };
        steps.endWaiting = [this] { forEachExchange(&Exchange::endIfWaiting); };
        steps.endAll = [this] { endAllSessions(); };
        steps.exit = [this] { finishShutdown(); };
        plannedStop_.emplace(timers_, *shutdown_, std::move(steps));
    }

    void removeSession(std::uint64_t id) override
    {
        auto node = sessions_.extract(id);
        if (!node.empty()) {
            // Destroys the connection outside its own callbacks.
            timers_.post([session = std::move(node.mapped())] {});
        }
    }

private:
    // Returns a copy: what is done with a session may remove it.
    std::vector<std::shared_ptr<CallerSession>> openSessions() const
    {
        std::vector<std::shared_ptr<CallerSession>> open;
        for (const auto &[id, session] : sessions_) {
            open.push_back(session);
        }
        return open;
    }

    // Calls `method` for each request in progress.
    void forEachExchange(void (Exchange::*method)())
    {
        for (const auto &session : openSessions()) {
            if (const auto exchange = session->exchange()) {
                ((*exchange).*method)();
            }
        }
    }

    // Gives each request its final response. Connections close once it has been delivered.
    void endAllSessions()
    {
        forEachExchange(&Exchange::endForShutdown);
        for (const auto &session : openSessions()) {
            session->closeForExit();
        }
    }

    void accept(int socket, RequestOrigin origin)
    {
        const std::uint64_t id = ++lastSession_;
        const auto session = std::make_shared<CallerSession>(*this, id, origin);
        sessions_[id] = session;
        session->open(base_, socket, account(origin));
    }

    http::ClientAccount account(RequestOrigin origin) const
    {
        const bool isCaller = origin == RequestOrigin::Caller;
        return { options_.clientBudget,
                 isCaller ? ClientGroup::Callers : ClientGroup::RequestRelays };
    }

    void sweep()
    {
        const Instant now = timers_.now();
        const auto &table = leader_.view().routingTable;
        const routing::CallerLimits limits = table ? table->limits() : routing::CallerLimits {};
        const bool closeIdle = shutdown_ && now > shutdown_->acceptUntil;
        std::vector<std::shared_ptr<CallerSession>> expired;
        std::vector<std::shared_ptr<CallerSession>> idle;
        for (const auto &[id, session] : sessions_) {
            if (session->hasActiveExchange()) {
                continue;
            }
            const bool headerTimedOut = session->isReadingMessage()
                && session->sinceLastReceived(now) > limits.headerTimeout;
            const bool idleTimedOut =
                !session->isReadingMessage() && session->idleTime(now) > limits.idleTimeout;
            if (headerTimedOut || idleTimedOut) {
                expired.push_back(session);
            } else if (closeIdle && !session->isBusy()) {
                idle.push_back(session);
            }
        }
        for (const auto &session : expired) {
            session->abort();
        }
        // The caller may not have received its last response completely.
        for (const auto &session : idle) {
            session->closeGracefully();
        }
        if (closeIdle && sessions_.empty()) {
            finishShutdown();
        }
        updateGauges(now);
    }

    void updateGauges(Instant now)
    {
        if (now - gaugesAt_ < GaugeInterval) {
            return;
        }
        gaugesAt_ = now;
        const coordination::FleetView &view = leader_.view();
        metrics_.setGauge("daisyhaven_connections_of_callers", {},
                          static_cast<double>(sessions_.size()));
        metrics_.setGauge("daisyhaven_idle_server_connections", {},
                          static_cast<double>(pool_.size()));
        metrics_.setGauge("daisyhaven_view_epoch", {}, static_cast<double>(view.epoch));
        metrics_.setGauge("daisyhaven_configuration_held", {}, view.configurationVersion ? 1 : 0);
        metrics_.setGauge("daisyhaven_configuration_version", {},
                          static_cast<double>(view.configurationVersion.value_or(0)));
        metrics_.setGauge("daisyhaven_has_leader", {}, leader_.hasLeader() ? 1 : 0);
        metrics_.setGauge("daisyhaven_servers_unreachable", {},
                          reachability_.isAnyDisconnected() ? 1 : 0);
        metrics_.setGauge("daisyhaven_uses_relay", {}, leader_.usesRelay() ? 1 : 0);
    }

    void logShutdownStart() const
    {
        std::map<Exchange::Stage, std::size_t> counts;
        for (const auto &[id, session] : sessions_) {
            if (const auto exchange = session->exchange()) {
                ++counts[exchange->stage()];
            }
        }
        std::vector<Field> fields { { "connections", sessions_.size() } };
        for (const auto &[stage, count] : counts) {
            fields.emplace_back(stageName(stage), count);
        }
        logEvent(Event::ShutdownStarted, fields);
    }

    void finishShutdown()
    {
        const auto finished = std::move(finished_);
        finished_ = nullptr;
        if (finished) {
            finished();
        }
    }

    event_base *base_;
    TimerService &timers_;
    Metrics &metrics_;
    GatewayOptions options_;
    std::uint64_t incarnation_ = static_cast<std::uint64_t>(wallClockMicroseconds());
    coordination::LeaderClient leader_;
    coordination::LeaderRelay relay_;
    SlotClient slots_;
    BackendConnectionPool pool_;
    ReachabilityMonitor reachability_;
    RequestRelays requestRelays_;
    routing::WeightedServicePicker servicePicker_;
    GatewayContext context_;
    std::unique_ptr<http::Listener> listener_;
    std::unique_ptr<http::Listener> relayListener_;
    std::uint64_t lastSession_ = 0;
    std::map<std::uint64_t, std::shared_ptr<CallerSession>> sessions_;
    std::optional<ShutdownSchedule> shutdown_;
    std::optional<PlannedStop> plannedStop_;
    Instant gaugesAt_;
    std::function<void()> finished_;
    TimerHandle sweep_;
};

Gateway::Gateway(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }
Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::create(event_base *base, TimerService &timers,
                                                 peer::Server &server, peer::ClientPool &clients,
                                                 Metrics &metrics, GatewayOptions options)
{
    auto impl = std::make_unique<Impl>(base, timers, server, clients, metrics, std::move(options));
    BOOST_LEAF_CHECK(impl->start());
    return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

bool Gateway::isReady() const
{
    return impl_->isReady();
}

void Gateway::drain(std::function<void()> finished)
{
    impl_->drain(std::move(finished));
}

void Gateway::setSeeds(std::vector<peer::Address> seeds)
{
    impl_->setSeeds(std::move(seeds));
}

} // namespace daisyhaven::gateway

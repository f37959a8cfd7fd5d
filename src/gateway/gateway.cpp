#include "gateway/gateway.h"

#include "gateway/internal/backendconnectionpool.h"
#include "gateway/internal/context.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/reachabilitymonitor.h"
#include "gateway/internal/requestrelays.h"
#include "gateway/internal/slotclient.h"

#include <algorithm>
#include <map>
#include <random>

namespace daisyhaven::gateway {

namespace {

constexpr Milliseconds ConnectionSweepInterval { 250 };
// After the shutdown request, the load balancer needs this long to remove this VM. After that, no
// connection is accepted and idle connections of callers are closed.
constexpr Milliseconds StopAcceptingDelay { 2600 };
// The shutdown finishes this long before the process would be killed.
constexpr Milliseconds ShutdownReserve { 700 };
constexpr Seconds GaugeInterval { 10 };
// Bounds the memory and processor time that this VM spends on requests of others.
constexpr std::ptrdiff_t MaxRelayedRequests = 48;

} // namespace

// One connection of a caller with its current request.
class CallerSession : public http::ResponseSink, public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(Gateway::Impl &gateway, std::uint64_t id, RequestOrigin origin)
        : gateway_(gateway), id_(id), origin_(origin)
    {
    }

    void open(event_base *base, int socket, http::ClientAccount account);
    bool isBusy() const
    {
        return exchange_ != nullptr || callerDisconnected_ || connection_->hasPendingOutput()
            || connection_->isReadingMessage() || connection_->isClosing();
    }
    bool hasActiveExchange() const { return exchange_ != nullptr || callerDisconnected_; }
    bool isRelayedExchange() const
    {
        return origin_ == RequestOrigin::OtherVm && hasActiveExchange();
    }
    bool isReadingMessage() const { return connection_->isReadingMessage(); }
    Instant lastReceived() const { return connection_->lastReceived(); }
    void abort() { connection_->abort(); }
    void closeGracefully() { connection_->closeGracefully(); }

    void sendHead(int status, const http::Headers &headers, http::Framing framing,
                  std::uint64_t length) override;
    void sendBody(std::string_view data) override { connection_->sendBody(data); }
    void endResponse() override { connection_->endResponse(); }
    void abortResponse() override { connection_->abort(); }
    void sendContinue() override { connection_->sendContinue(); }
    void pauseBody() override { connection_->pauseReading(); }
    void resumeBody() override { connection_->resumeReading(); }
    bool isOutputFull() const override { return connection_->isOutputFull(); }

private:
    void startExchange(http::RequestHead head);
    void exchangeFinished();
    void rejectInvalid(const Failure &failure);
    void onClosed();

    Gateway::Impl &gateway_;
    std::uint64_t id_;
    RequestOrigin origin_;
    bool callerDisconnected_ =
        false; // the caller closed its connection while its request is still in progress
    std::shared_ptr<Exchange> exchange_;
    std::unique_ptr<http::ServerConnection> connection_;
};

class Gateway::Impl
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
              base_,  timers_, metrics_,      options_,       leader_,
              slots_, pool_,   reachability_, requestRelays_, servicePicker_
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

    bool isReady() const { return !stoppingSince_ && leader_.view().routingTable != nullptr; }
    bool isStopping() const { return stoppingSince_.has_value(); }
    bool mayRelay() const
    {
        const auto relayed =
            std::count_if(sessions_.begin(), sessions_.end(),
                          [](const auto &session) { return session.second->isRelayedExchange(); });
        return !isStopping() && relayed <= MaxRelayedRequests;
    }
    const GatewayContext &context() const { return context_; }
    void setSeeds(std::vector<peer::Address> seeds) { leader_.setSeeds(std::move(seeds)); }

    void drain(std::function<void()> finished)
    {
        if (stoppingSince_) {
            return;
        }
        stoppingSince_ = timers_.now();
        finished_ = std::move(finished);
        stopAcceptingTimer_ = timers_.runAfter(StopAcceptingDelay, [this] { listener_.reset(); });
        shutdownTimer_ =
            timers_.runAfter(options_.gracePeriod - ShutdownReserve, [this] { finishShutdown(); });
    }

    void removeSession(std::uint64_t id)
    {
        auto node = sessions_.extract(id);
        if (!node.empty()) {
            // Destroys the connection outside its own callbacks.
            timers_.post([session = std::move(node.mapped())] {});
        }
    }

private:
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
        const bool closeIdle = stoppingSince_ && now - *stoppingSince_ > StopAcceptingDelay;
        std::vector<std::shared_ptr<CallerSession>> expired;
        std::vector<std::shared_ptr<CallerSession>> idle;
        for (const auto &[id, session] : sessions_) {
            if (session->hasActiveExchange()) {
                continue;
            }
            const Duration sinceLastReceived = now - session->lastReceived();
            const bool headerTimedOut =
                session->isReadingMessage() && sinceLastReceived > limits.headerTimeout;
            const bool idleTimedOut =
                !session->isReadingMessage() && sinceLastReceived > limits.idleTimeout;
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
    std::optional<Instant> stoppingSince_;
    Instant gaugesAt_;
    std::function<void()> finished_;
    TimerHandle sweep_;
    TimerHandle stopAcceptingTimer_;
    TimerHandle shutdownTimer_;
};

void CallerSession::open(event_base *base, int socket, http::ClientAccount account)
{
    http::ServerConnection::Callbacks callbacks;
    callbacks.head = [this](http::RequestHead head) { startExchange(std::move(head)); };
    callbacks.body = [this](std::string_view data) {
        if (const auto exchange = exchange_) {
            exchange->onBodyData(data);
        }
    };
    callbacks.end = [this] {
        if (const auto exchange = exchange_) {
            exchange->onBodyEnd();
        }
    };
    callbacks.invalidMessage = [this](const Failure &failure) { rejectInvalid(failure); };
    callbacks.closed = [this] { onClosed(); };
    callbacks.drained = [this] {
        if (const auto exchange = exchange_) {
            exchange->onSinkDrained();
        }
    };
    callbacks.refuse = [this] {
        const auto exchange = exchange_;
        return exchange && exchange->refuseForMemory();
    };
    callbacks.heldBytes = [this] { return exchange_ ? exchange_->heldBytes() : 0; };
    connection_ =
        std::make_unique<http::ServerConnection>(base, socket, std::move(callbacks), account);
}

void CallerSession::sendHead(int status, const http::Headers &headers, http::Framing framing,
                             std::uint64_t length)
{
    if (gateway_.isStopping()) {
        connection_->closeAfterResponse();
    }
    connection_->sendHead(status, headers, framing, length);
}

void CallerSession::startExchange(http::RequestHead head)
{
    exchange_ = std::make_shared<Exchange>(gateway_.context(), this, std::move(head), origin_);
    const auto exchange = exchange_;
    const std::weak_ptr<CallerSession> weak = weak_from_this();
    const auto finished = [weak] {
        if (const auto self = weak.lock()) {
            self->exchangeFinished();
        }
    };
    if (origin_ == RequestOrigin::OtherVm && !gateway_.mayRelay()) {
        exchange->refuseRelayed("this VM is stopping or relays too many requests", finished);
        return;
    }
    exchange->start(finished);
}

void CallerSession::exchangeFinished()
{
    exchange_.reset();
    // Reading may still be paused by the body of the previous request.
    connection_->resumeReading();
    if (callerDisconnected_) {
        callerDisconnected_ = false;
        gateway_.removeSession(id_);
    }
}

void CallerSession::rejectInvalid(const Failure &failure)
{
    connection_->closeAfterResponse();
    if (const auto exchange = exchange_) {
        exchange->onInvalidMessage(failure);
        return;
    }
    http::RequestHead head;
    head.method = "GET";
    const auto exchange =
        std::make_shared<Exchange>(gateway_.context(), this, std::move(head), origin_);
    exchange_ = exchange;
    const std::weak_ptr<CallerSession> weak = weak_from_this();
    exchange->rejectUnparsed(failure, [weak] {
        if (const auto self = weak.lock()) {
            self->exchangeFinished();
        }
    });
}

void CallerSession::onClosed()
{
    if (const auto exchange = exchange_) {
        callerDisconnected_ = true;
        exchange->onCallerDisconnected();
        return;
    }
    gateway_.removeSession(id_);
}

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

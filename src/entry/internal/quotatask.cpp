#include "entry/internal/quotatask.h"

#include "peer/generated/peer.pb.h"

#include <algorithm>

namespace daisyhaven::entry {

namespace {

constexpr Milliseconds TickPeriod { 10 };
constexpr Milliseconds RequestTimeout { 500 };

} // namespace

class QuotaTask::Impl
{
public:
    explicit Impl(Context &context) : context_(context)
    {
        context_.fleet.onLeaseChange(
            [this](const std::string &key, std::optional<std::uint64_t> term) {
                if (key.rfind("quota:", 0) == 0) {
                    onLeaseChanged(key, term.has_value());
                }
            });
        context_.fleet.onConfigurationChange([this] { onConfigurationChanged(); });
        context_.server.registerTypedHandler<wire::TokenRequest, wire::TokenReply>(
            peer::Method::RequestTokens, peer::Role::Vm,
            [this](const peer::Caller &, const wire::TokenRequest &request, auto respond) {
                respond(handleTokenRequest(request));
            });
        tickTimer_ = context_.timers.runEvery(TickPeriod, [this] { tick(); });
    }

    std::uint64_t acquireToken(const std::string &team, Instant waitUntil, Callback callback)
    {
        const std::uint64_t requestId = ++lastRequestId_;
        TeamPool &pool = poolFor(team);
        pool.callbacks[requestId] = std::move(callback);
        pool.tokens.addWaiter(now(), { requestId, waitUntil });
        deliverAndRequestTokens(team, pool);
        return requestId;
    }

    void cancel(const std::string &team, std::uint64_t requestId)
    {
        TeamPool &pool = poolFor(team);
        pool.tokens.removeWaiter(requestId);
        pool.callbacks.erase(requestId);
    }

private:
    struct TeamPool
    {
        quota::TokenPool tokens { quota::Prefetch {} };
        std::map<std::uint64_t, Callback> callbacks;
    };

    Instant now() const { return context_.timers.now(); }

    std::string leaseFor(const std::string &team) const
    {
        return fleet::quotaLeaseKey(
            fleet::shardOf(team, context_.fleet.fleetSettings().quotaShards));
    }

    // ---- as an owner ----

    void onLeaseChanged(const std::string &key, bool isHeld)
    {
        owners_.erase(key);
        if (isHeld) {
            owners_.emplace(key, quota::QuotaOwner(now()));
            onConfigurationChanged();
        }
    }

    void onConfigurationChanged()
    {
        for (const auto &[name, team] : context_.fleet.configuration().teams()) {
            const auto owner = owners_.find(leaseFor(name));
            if (owner != owners_.end()) {
                owner->second.setTeam(now(), { name, team->rate, team->burst });
            }
        }
    }

    std::variant<wire::TokenReply, Failure> handleTokenRequest(const wire::TokenRequest &request)
    {
        const std::string key = leaseFor(request.team());
        const auto owner = owners_.find(key);
        if (owner == owners_.end() || !context_.fleet.heldLeaseTerm(key)) {
            return Failure { ResultCode::LeaseNotHeld, key };
        }
        quota::TokenRequest tokenRequest;
        tokenRequest.team = request.team();
        tokenRequest.vm = request.vm();
        tokenRequest.vmIncarnation = request.vm_incarnation();
        tokenRequest.sequence = request.sequence();
        tokenRequest.requestedTokens = request.count();
        tokenRequest.queuedRequests = request.waiting();
        tokenRequest.maxWait = Milliseconds(request.max_wait_ms());
        for (const wire::TokenReturn &returned : request.returned()) {
            tokenRequest.returnedTokens.push_back({ returned.grant(), returned.count() });
        }
        const quota::TokenResponse response = owner->second.grantTokens(now(), tokenRequest);
        wire::TokenReply reply;
        reply.set_grant(response.grantId);
        reply.set_granted(response.grantedTokens);
        reply.set_lifetime_us(static_cast<std::uint32_t>(response.lifetime.count()));
        reply.set_refused(response.rejectedRequests);
        const auto retry = std::chrono::ceil<Milliseconds>(response.retryAfter);
        reply.set_retry_after_ms(static_cast<std::uint32_t>(retry.count()));
        return reply;
    }

    // ---- for this VM's requests ----

    TeamPool &poolFor(const std::string &team) { return pools_[team]; }

    void tick()
    {
        for (auto &[team, pool] : pools_) {
            deliverAndRequestTokens(team, pool);
        }
    }

    void deliverAndRequestTokens(const std::string &team, TeamPool &pool)
    {
        deliverDecisions(pool);
        requestTokens(team, pool);
    }

    void deliverDecisions(TeamPool &pool)
    {
        for (const quota::TokenPool::Decision &decision : pool.tokens.takeDecisions(now())) {
            auto node = pool.callbacks.extract(decision.requestId);
            if (node.empty()) {
                continue;
            }
            if (decision.granted) {
                node.mapped()(TokenGranted { decision.validUntil });
                continue;
            }
            const ResultCode code = decision.ownerUnavailable ? ResultCode::QuotaOwnerUnavailable
                                                              : ResultCode::RateExceeded;
            node.mapped()(TokenRejected { code, decision.retryAfter });
        }
    }

    void requestTokens(const std::string &team, TeamPool &pool)
    {
        const auto target = context_.fleet.leaseHolder(leaseFor(team));
        const auto tokenRequest = target ? pool.tokens.startNextRequest(now()) : std::nullopt;
        if (!tokenRequest) {
            return;
        }
        wire::TokenRequest request;
        request.set_vm(context_.fleet.vmId());
        request.set_vm_incarnation(context_.fleet.incarnation());
        request.set_team(team);
        request.set_sequence(tokenRequest->sequence);
        request.set_count(tokenRequest->requestedTokens);
        request.set_waiting(tokenRequest->queuedRequests);
        const auto wait = std::chrono::duration_cast<Milliseconds>(tokenRequest->maxWait);
        request.set_max_wait_ms(static_cast<std::uint32_t>(wait.count()));
        for (const quota::TokenReturn &returned : tokenRequest->returnedTokens) {
            auto *message = request.add_returned();
            message->set_grant(returned.grantId);
            message->set_count(returned.count);
        }
        const Instant requestedAt = now();
        context_.clients.call<wire::TokenReply>(
            target->address, peer::Method::RequestTokens, request, RequestTimeout,
            [this, team, requestedAt](const peer::CallResult<wire::TokenReply> &result) {
                handleResponse(team, requestedAt, result);
            });
    }

    void handleResponse(const std::string &team, Instant requestedAt,
                        const peer::CallResult<wire::TokenReply> &result)
    {
        TeamPool &pool = poolFor(team);
        const auto *reply = std::get_if<wire::TokenReply>(&result);
        if (reply == nullptr) {
            pool.tokens.handleRequestFailure(now());
            return;
        }
        quota::TokenResponse response;
        response.grantId = reply->grant();
        response.grantedTokens = reply->granted();
        response.lifetime = Duration(reply->lifetime_us());
        response.rejectedRequests = reply->refused();
        response.retryAfter = Milliseconds(reply->retry_after_ms());
        pool.tokens.handleResponse(now(), requestedAt, response);
        deliverAndRequestTokens(team, pool);
    }

    Context &context_;
    std::uint64_t lastRequestId_ = 0;
    std::map<std::string, quota::QuotaOwner> owners_;
    std::map<std::string, TeamPool> pools_;
    TimerHandle tickTimer_;
};

QuotaTask::QuotaTask(Context &context) : impl_(std::make_unique<Impl>(context)) { }
QuotaTask::~QuotaTask() = default;

std::uint64_t QuotaTask::acquireToken(const std::string &team, Instant waitUntil, Callback callback)
{
    return impl_->acquireToken(team, waitUntil, std::move(callback));
}

void QuotaTask::cancel(const std::string &team, std::uint64_t requestId)
{
    impl_->cancel(team, requestId);
}

} // namespace daisyhaven::entry

// The part of an exchange in which another entry VM serves as a relay, or this one does.
#include "gateway/internal/exchange.h"
#include "gateway/internal/relayheaders.h"

#include <charconv>

namespace daisyhaven::gateway {

namespace {

constexpr std::size_t MaxRelaysPerRequest = 6;

// Returns the version of the configuration that the sending VM holds; empty if it names none.
std::optional<std::uint64_t> versionOfSender(const http::Headers &headers)
{
    const std::string *field = headers.find(RelayVersionHeader);
    std::uint64_t version = 0;
    const bool readable = field != nullptr
        && std::from_chars(field->data(), field->data() + field->size(), version).ec == std::errc();
    return readable ? std::optional(version) : std::nullopt;
}

// Returns the number in a header field, or 0 if it is missing or invalid.
std::uint64_t numberOrZero(const http::Headers &headers, const char *name)
{
    const std::string *field = headers.find(name);
    std::uint64_t number = 0;
    if (field != nullptr) {
        std::from_chars(field->data(), field->data() + field->size(), number);
    }
    return number;
}

} // namespace

// ---- this VM as a relay ----

Result<void> Exchange::readRelayHeaders()
{
    if (versionOfSender(head_.headers) > context_.leader.view().configurationVersion) {
        return fail(ResultCode::NotReady, "the VM that sent it holds a newer configuration");
    }
    sentAttempts_ = static_cast<std::uint32_t>(numberOrZero(head_.headers, RelayAttemptsHeader));
    hasRateToken_ = numberOrZero(head_.headers, RelayTokenHeader) != 0;
    return {};
}

void Exchange::refuseRelayed(const std::string &reason, std::function<void()> finished)
{
    finished_ = std::move(finished);
    refuseAsRelay(reason);
}

void Exchange::refuseAsRelay(const std::string &reason)
{
    const int status = 503;
    logOutcome("refused as a relay", ResultCode::NotReady, reason);
    http::Headers headers;
    headers.add(RelayRefusedHeader, "1");
    headers.add(context_.options.headers.requestId, requestId_);
    if (sink_ != nullptr) {
        sink_->sendHead(status, headers, http::Framing::Length, 0);
    }
    responded_ = true;
    recordMetrics(status);
    finish();
}

// ---- another VM as a relay ----

void Exchange::sendToRelay()
{
    if (isRelayed()) {
        if (mayHaveRun() || earlierResponse_) {
            respondWithoutServers();
        } else {
            refuseAsRelay("this VM reaches no backend server either");
        }
        return;
    }
    const auto relay = attemptedRelays_.size() < MaxRelaysPerRequest
        ? context_.requestRelays.pick(context_.now(), context_.leader.requestRelays(),
                                      context_.options.zone, attemptedRelays_)
        : std::nullopt;
    if (!relay) {
        respondWithoutServers();
        return;
    }
    attemptedRelays_.insert(*relay);
    context_.requestRelays.recordStart(*relay);
    context_.metrics.addToCounter("daisyhaven_requests_relayed_total", {});
    relay_ = *relay;
    Slot way;
    way.server = "relay " + *relay;
    way.address = *relay;
    startCall(way, makeRelayRequest(), makeRelayCallbacks());
}

CallRequest Exchange::makeRelayRequest() const
{
    CallRequest request = makeForwardedRequest();
    http::Headers replaced;
    replaced.add(context_.options.headers.deadlineMs, "");
    replaced.add(RelayVersionHeader, "");
    replaced.add(RelayAttemptsHeader, "");
    replaced.add(RelayTokenHeader, "");
    addForwardedHeaders(replaced, &request.headers);
    request.headers.add(RelayVersionHeader,
                        coordination::versionText(context_.leader.view().configurationVersion));
    request.headers.add(RelayAttemptsHeader, std::to_string(sentAttempts_));
    request.headers.add(RelayTokenHeader, hasRateToken_ ? "1" : "0");
    return request;
}

CallCallbacks Exchange::makeRelayCallbacks()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    CallCallbacks callbacks = makeCallCallbacks();
    callbacks.onResponse = [weak](const http::ResponseHead &head, const std::string &body) {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::CallingBackend) {
            self->onRelayResponse(head, body);
        }
    };
    callbacks.onFailed = [weak](const CallFailure &failure) {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::CallingBackend) {
            self->onRelayFailed(failure);
        }
    };
    return callbacks;
}

void Exchange::onRelayResponse(const http::ResponseHead &head, const std::string &body)
{
    const bool notExecuted = promisesNotExecuted(head.status);
    if (notExecuted) {
        call_->recordNotExecuted();
    }
    if (head.headers.find(RelayRefusedHeader) != nullptr) {
        endCall(RequestRelays::Outcome::Refused);
        if (mayRetry()) {
            requestSlot(sentAttempts_ > 0);
        } else {
            respondWithFailure(ResultCode::BackendShed, "the relay refused the request");
        }
        return;
    }
    endCall(RequestRelays::Outcome::Responded);
    if (notExecuted && mayHaveRun()) {
        // True for the attempt of the relay, but an earlier one may have run.
        respondWithFailure(ResultCode::BackendFailed, "status " + std::to_string(head.status));
        return;
    }
    forwardResponse(head, body);
}

void Exchange::onRelayFailed(const CallFailure &failure)
{
    endCall(RequestRelays::Outcome::Failed);
    retryOrFail(failure);
}

} // namespace daisyhaven::gateway

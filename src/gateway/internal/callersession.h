// One connection of a caller, or of another entry VM that uses this one as a relay, with the
// request that it currently serves.
#pragma once

#include "gateway/internal/context.h"
#include "gateway/internal/exchange.h"
#include "http/http.h"

#include <cstdint>
#include <memory>

namespace daisyhaven::gateway {

class CallerSession : public http::ResponseSink, public std::enable_shared_from_this<CallerSession>
{
public:
    // The gateway that accepted the connection. It outlives the session.
    class Owner
    {
    public:
        virtual const GatewayContext &context() const = 0;
        // Returns true while responses end their connections.
        virtual bool isStopping() const = 0;
        // Returns false once this VM, which stops, sends no more requests to servers.
        virtual bool mayStartRequests() const = 0;
        // Returns whether this VM takes another request of an entry VM.
        virtual bool mayRelay() const = 0;
        // Destroys the session, outside its own callbacks.
        virtual void removeSession(std::uint64_t id) = 0;

    protected:
        ~Owner() = default;
    };

    CallerSession(Owner &owner, std::uint64_t id, RequestOrigin origin)
        : owner_(owner), id_(id), origin_(origin)
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
    // Returns the request in progress, or nullptr.
    std::shared_ptr<Exchange> exchange() const { return exchange_; }
    bool isReadingMessage() const { return connection_->isReadingMessage(); }
    Duration sinceLastReceived(Instant now) const { return now - connection_->lastReceived(); }
    // Returns for how long the caller has neither sent anything nor had anything left to receive.
    // The end of an output is noticed by the next call.
    Duration idleTime(Instant now);
    void abort() { connection_->abort(); }
    void closeGracefully() { connection_->closeGracefully(); }
    void closeForExit() { connection_->closeForExit(); }

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

    Owner &owner_;
    std::uint64_t id_;
    RequestOrigin origin_;
    // The caller closed its connection while its request is still in progress.
    bool callerDisconnected_ = false;
    // When output was pending last, as far as noticed.
    Instant outputPendingAt_;
    std::shared_ptr<Exchange> exchange_;
    std::unique_ptr<http::ServerConnection> connection_;
};

} // namespace daisyhaven::gateway

#include "http/internal/connection.h"
#include "http/internal/message.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <utility>

namespace daisyhaven::http {

namespace {

// A client that neither closes its side nor stops sending is cut off this long after its response.
constexpr timeval LingerLimit { 3, 0 };

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Answer";
    }
}

} // namespace

class ServerConnection::Impl : public internal::MessageSink
{
public:
    Impl(event_base *base, int socket, Callbacks callbacks, ClientAccount account)
        : transport_(
            bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
          callbacks_(std::move(callbacks)), parser_(htp_type_request, *this),
          budget_(account.budget), endEvent_(evtimer_new(base, &Impl::onEndEvent, this))
    {
        internal::setSocketOptions(socket);
        bufferevent_setcb(transport_.get(), &Impl::onReadable, &Impl::onOutputDrained,
                          &Impl::onEvent, this);
        bufferevent_setwatermark(transport_.get(), EV_READ, 0, InputHighWatermarkBytes);
        bufferevent_setwatermark(transport_.get(), EV_WRITE, OutputLowWatermarkBytes, 0);
        bufferevent_enable(transport_.get(), EV_READ | EV_WRITE);
        transport_.watchDelivery(internal::ClientStallLimit,
                                 { [this](std::size_t bytes) { handleProgress(bytes); },
                                   [this] { startLingerIfDelivered(); }, [this] { abort(); } });
        if (budget_ != nullptr) {
            evbuffer_add_cb(bufferevent_get_input(transport_.get()), &Impl::onInputChanged, this);
            budgetId_ = budget_->add(account.group, monotonicNow(),
                                     [this](CloseCause cause) { cutOff(cause); });
        }
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl() override
    {
        event_free(endEvent_);
        if (budget_ != nullptr) {
            evbuffer_remove_cb(bufferevent_get_input(transport_.get()), &Impl::onInputChanged,
                               this);
            budget_->remove(budgetId_);
        }
    }

    // Tells the budget what this connection holds.
    void reportUse()
    {
        if (budget_ == nullptr) {
            return;
        }
        const std::size_t buffered = evbuffer_get_length(bufferevent_get_input(transport_.get()))
            + transport_.pendingOutput();
        const std::size_t ownerHeld = callbacks_.heldBytes ? callbacks_.heldBytes() : 0;
        budget_->update(budgetId_,
                        { buffered + ownerHeld, activity(), std::exchange(movedBytes_, 0) },
                        monotonicNow());
    }

    void setReading(bool enabled)
    {
        readingPaused_ = !enabled;
        transport_.setReading(enabled && !cutOff_);
        reportUse();
    }

    bool onHead(internal::RawHead raw) override
    {
        const auto validated =
            attempt([&] { return internal::validateRequestHead(std::move(raw)); });
        if (const auto *failure = std::get_if<Failure>(&validated)) {
            rejection_ = *failure;
            return false;
        }
        responding_ = true;
        keepAlive_ = keepAlive_ && std::get<RequestHead>(validated).keepAlive;
        callbacks_.head(std::get<RequestHead>(validated));
        return true;
    }

    bool onBody(std::string_view data) override
    {
        callbacks_.body(data);
        return true;
    }

    void onEnd() override
    {
        requestEnded_ = true;
        callbacks_.end();
    }

    void sendHead(int status, const Headers &headers, Framing framing, std::uint64_t length)
    {
        std::string statusLine = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status);
        Headers allHeaders = headers;
        // The caller takes what it sent behind this response as unread, also if its request ends
        // before the response does.
        keepAlive_ = keepAlive_ && requestEnded_;
        if (!keepAlive_) {
            allHeaders.add("Connection", "close");
        }
        const bool bodiless = status == 204 || status == 304 || status < 200;
        transport_.writeHead(statusLine, allHeaders, framing, length, !bodiless);
    }

    void endResponse()
    {
        transport_.writeBodyEnd();
        responding_ = false;
        if (!keepAlive_ || !requestEnded_) {
            closeAfterOutput();
            return;
        }
        requestEnded_ = false;
        awaitingNextRequest_ = true;
        if (std::exchange(inputIsFull_, false)) {
            transport_.setReading(true);
        }
        processInput();
    }

    // Returns true while the caller has not read enough earlier responses for another request.
    bool isNextRequestHeldBack() const
    {
        return awaitingNextRequest_ && transport_.pendingOutput() > OutputLowWatermarkBytes;
    }

    void closeAfterOutput()
    {
        closing_ = true;
        reportUse();
        bufferevent_setwatermark(transport_.get(), EV_WRITE, 0, 0);
        endSending();
    }

    bool isClosing() const { return closing_; }

    void abort()
    {
        closing_ = true;
        bufferevent_disable(transport_.get(), EV_READ | EV_WRITE);
        const LingerOption reset { 1, 0 };
        setsockopt(bufferevent_getfd(transport_.get()), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        reportClosedOnce();
    }

    internal::Transport &transport() { return transport_; }
    void closeAfterResponse() { keepAlive_ = false; }
    bool isReadingMessage() const
    {
        return parser_.isInMessage() && !requestEnded_ && !awaitingNextRequest_;
    }
    Instant lastReceived() const { return lastReceived_; }

private:
    using LingerOption = struct linger;

    static void onInputChanged(evbuffer * /*input*/, const evbuffer_cb_info *change, void *user)
    {
        implOf(user).movedBytes_ += change->n_added;
    }
    static void onEndEvent(evutil_socket_t /*socket*/, short /*what*/, void *user)
    {
        implOf(user).end();
    }

    // Refuses the request that is being served, or else resets the connection.
    void end()
    {
        const bool isServing = !closing_ && !closed_ && requestEnded_ && responding_;
        keepAlive_ = false;
        if (!isServing || !callbacks_.refuse || !callbacks_.refuse()) {
            abort();
        }
    }

    // Ends the connection from the event loop: the budget may be told from within any callback.
    void cutOff(CloseCause /*cause*/)
    {
        cutOff_ = true;
        bufferevent_disable(transport_.get(), EV_READ);
        event_active(endEvent_, EV_TIMEOUT, 0);
    }

    Activity activity() const
    {
        if (transport_.undeliveredOutput() > 0) {
            return Activity::Sending;
        }
        if (closing_) {
            return Activity::Receiving;
        }
        if (isReadingMessage()) {
            return readingPaused_ ? Activity::Processing : Activity::Receiving;
        }
        return responding_ ? Activity::Processing : Activity::Idle;
    }

    static Impl &implOf(void *user) { return *static_cast<Impl *>(user); }
    static void onReadable(bufferevent * /*connection*/, void *user)
    {
        implOf(user).processInput();
    }
    static void onOutputDrained(bufferevent * /*connection*/, void *user)
    {
        implOf(user).handleOutputDrained();
    }

    static void onEvent(bufferevent * /*connection*/, short what, void *user)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
            implOf(user).reportClosedOnce();
        }
    }

    void handleOutputDrained()
    {
        if (closing_) {
            endSending();
            return;
        }
        if (awaitingNextRequest_) {
            processInput();
            return;
        }
        reportUse();
        if (callbacks_.drained) {
            callbacks_.drained();
        }
    }

    void handleProgress(std::size_t bytes)
    {
        movedBytes_ += bytes;
        reportUse();
    }

    // Shuts down the sending side of a closing connection once the kernel has its output.
    void endSending()
    {
        if (transport_.pendingOutput() == 0 && !sendingEnded_) {
            sendingEnded_ = true;
            shutdown(bufferevent_getfd(transport_.get()), SHUT_WR);
            // Unread input would reset the connection at its end, and keep its timeout from
            // running.
            evbuffer *input = bufferevent_get_input(transport_.get());
            evbuffer_drain(input, evbuffer_get_length(input));
            bufferevent_enable(transport_.get(), EV_READ);
            startLingerIfDelivered();
        }
    }

    // Waits until the caller closes the connection or a timeout passes, which runs from when the
    // caller has its response: closing earlier could reset the connection before.
    void startLingerIfDelivered()
    {
        if (!sendingEnded_ || lingering_ || transport_.undeliveredOutput() > 0) {
            return;
        }
        lingering_ = true;
        const timeval lingerTimeout { 1, 0 };
        bufferevent_set_timeouts(transport_.get(), &lingerTimeout, nullptr);
        event_add(endEvent_, &LingerLimit);
    }

    void reportClosedOnce()
    {
        if (!closed_) {
            closed_ = true;
            callbacks_.closed();
        }
    }

    void processInput()
    {
        evbuffer *input = bufferevent_get_input(transport_.get());
        lastReceived_ = monotonicNow();
        if (parsing_) {
            return;
        }
        if (closing_ || cutOff_) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        parsing_ = true;
        while (!closed_ && !closing_ && !isNextRequestHeldBack() && parseInput(input)) { }
        parsing_ = false;
        pauseIfInputIsFull(input);
        reportInvalidMessage();
        reportUse();
    }

    // Requests that the caller sent ahead fill the input. libevent reports a full input again and
    // again, so reading pauses until the next request is due.
    void pauseIfInputIsFull(evbuffer *input)
    {
        if (evbuffer_get_length(input) >= InputHighWatermarkBytes) {
            inputIsFull_ = true;
            transport_.setReading(false);
        }
    }

    // Parses input until the end of a message at most. Returns whether more of it can be parsed.
    bool parseInput(evbuffer *input)
    {
        if (std::exchange(awaitingNextRequest_, false)) {
            parser_.reset();
        }
        const std::size_t length = evbuffer_get_length(input);
        if (length == 0 || parser_.state() != internal::ParseState::NeedsInput) {
            return false;
        }
        const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
        const std::size_t consumed = parser_.feed(data, length);
        evbuffer_drain(input, consumed);
        return consumed > 0;
    }

    void reportInvalidMessage()
    {
        Failure failure;
        switch (parser_.state()) {
        case internal::ParseState::NeedsInput:
        case internal::ParseState::Finished:
            return;
        case internal::ParseState::Rejected:
            failure = rejection_;
            break;
        case internal::ParseState::HeadTooLarge:
            failure = { ResultCode::HeaderTooLarge, "" };
            break;
        case internal::ParseState::Malformed:
            failure = { ResultCode::MalformedRequest, "" };
            break;
        }
        if (!invalidReported_) {
            invalidReported_ = true;
            keepAlive_ = false;
            callbacks_.invalidMessage(failure);
        }
    }

    internal::Transport transport_;
    Callbacks callbacks_;
    internal::MessageParser parser_;
    Failure rejection_;
    bool responding_ = false;
    bool keepAlive_ = true;
    bool requestEnded_ = false;
    // The response has ended, and the parser still holds the state of its request.
    bool awaitingNextRequest_ = false;
    // The parser runs. A callback may end a response then, which must not start the parser again:
    // the input still holds what it has just parsed.
    bool parsing_ = false;
    // Reading is paused since the input holds as much as it may.
    bool inputIsFull_ = false;
    bool closing_ = false;
    // The sending side has been shut down.
    bool sendingEnded_ = false;
    bool lingering_ = false;
    bool closed_ = false;
    bool invalidReported_ = false;
    bool readingPaused_ = false;
    // The budget has told this connection to end.
    bool cutOff_ = false;
    ClientBudget *budget_;
    ClientBudget::Id budgetId_ = 0;
    // Received or sent since the last report to the budget.
    std::size_t movedBytes_ = 0;
    // Ends the connection from the event loop.
    event *endEvent_;
    Instant lastReceived_ = monotonicNow();
};

ServerConnection::ServerConnection(event_base *base, int socket, Callbacks callbacks,
                                   ClientAccount account)
    : impl_(std::make_unique<Impl>(base, socket, std::move(callbacks), account))
{
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::pauseReading()
{
    impl_->setReading(false);
}

void ServerConnection::resumeReading()
{
    impl_->setReading(true);
}

void ServerConnection::sendContinue()
{
    impl_->transport().write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::sendHead(int status, const Headers &headers, Framing framing,
                                std::uint64_t length)
{
    impl_->sendHead(status, headers, framing, length);
}

void ServerConnection::sendBody(std::string_view data)
{
    impl_->transport().writeBody(data);
    impl_->reportUse();
}

void ServerConnection::endResponse()
{
    impl_->endResponse();
}

void ServerConnection::abort()
{
    impl_->abort();
}

void ServerConnection::closeGracefully()
{
    impl_->closeAfterOutput();
}

void ServerConnection::closeForExit()
{
    impl_->transport().handOverOutput();
    if (!impl_->isClosing()) {
        impl_->closeAfterOutput();
    }
}

bool ServerConnection::isClosing() const
{
    return impl_->isClosing();
}

void ServerConnection::closeAfterResponse()
{
    impl_->closeAfterResponse();
}

bool ServerConnection::isOutputFull() const
{
    return impl_->transport().pendingOutput() > OutputHighWatermarkBytes;
}

bool ServerConnection::hasPendingOutput() const
{
    return impl_->transport().undeliveredOutput() > 0;
}

bool ServerConnection::isReadingMessage() const
{
    return impl_->isReadingMessage();
}

Instant ServerConnection::lastReceived() const
{
    return impl_->lastReceived();
}

} // namespace daisyhaven::http

#include "http/internal/connection.h"
#include "http/internal/message.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <utility>

namespace daisyhaven::http {

class ClientConnection::Impl : public internal::MessageSink
{
public:
    Impl(event_base *base, const peer::Address &address)
        : transport_(
            bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
          parser_(htp_type_response, *this), lastReceived_(monotonicNow())
    {
        bufferevent_setcb(transport_.get(), &Impl::onReadable, &Impl::onOutputDrained,
                          &Impl::onEvent, this);
        bufferevent_setwatermark(transport_.get(), EV_READ, 0, InputHighWatermarkBytes);
        bufferevent_setwatermark(transport_.get(), EV_WRITE, OutputLowWatermarkBytes, 0);
        bufferevent_enable(transport_.get(), EV_READ | EV_WRITE);
        evbuffer_add_cb(bufferevent_get_output(transport_.get()), &Impl::onOutputChanged, this);
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        const std::string text = address.toString();
        const bool valid = evutil_parse_sockaddr_port(text.c_str(), socketAddress, &length) == 0;
        if (!valid || bufferevent_socket_connect(transport_.get(), socketAddress, length) != 0) {
            open_ = false;
        }
    }

    ~Impl() override
    {
        evbuffer_remove_cb(bufferevent_get_output(transport_.get()), &Impl::onOutputChanged, this);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void setCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

    void sendHead(const std::string &method, const std::string &target, const Headers &headers,
                  Framing framing, std::uint64_t length)
    {
        isHeadRequest_ = method == "HEAD";
        awaitingResponse_ = true;
        sentBytes_ = 0;
        const bool hasBody = method != "GET" && method != "HEAD";
        transport_.writeHead(method + " " + target + " HTTP/1.1", headers, framing, length,
                             hasBody);
    }

    bool onHead(internal::RawHead raw) override
    {
        const auto validated = attempt([&]() -> Result<ResponseHead> {
            BOOST_LEAF_CHECK(internal::checkFields(raw.headers));
            BOOST_LEAF_AUTO(body, internal::bodyLength(raw.headers, raw.minor));
            ResponseHead head;
            head.status = raw.status;
            head.framing = body.framing;
            head.contentLength = body.length;
            head.keepAlive = raw.keepAlive;
            head.headers = raw.headers;
            return head;
        });
        if (const auto *failure = std::get_if<Failure>(&validated)) {
            rejection_ = { ResultCode::BackendMalformed, failure->detail };
            return false;
        }
        ResponseHead head = std::get<ResponseHead>(validated);
        const bool hasNoBody = isHeadRequest_ || head.status == 204 || head.status == 304;
        if (head.status < 200) {
            rejection_ = { ResultCode::BackendMalformed,
                           "interim responses (status below 200) are not supported" };
            return false;
        }
        discarding_ =
            callbacks_.belongsToCurrentRequest && !callbacks_.belongsToCurrentRequest(head);
        if (discarding_) {
            const bool canDiscard = !hasNoBody && head.framing != Framing::None && head.keepAlive;
            rejection_ = { ResultCode::BackendCrossed, "the response belongs to another request" };
            return canDiscard;
        }
        if (!hasNoBody && head.framing == Framing::None) {
            keepAlive_ = false;
            untilClose_ = true;
            head.framing = Framing::UntilClose;
            callbacks_.head(std::move(head));
            // Stops the parser, which would report the message as complete here. The body is passed
            // on unparsed until the connection closes.
            return false;
        }
        keepAlive_ = head.keepAlive;
        // The parser would wait for the body that the header fields announce, but a response to
        // HEAD and the statuses 204 and 304 have none.
        const bool endsAtHead = hasNoBody && (head.framing != Framing::None);
        if (endsAtHead) {
            keepAlive_ = false;
            head.framing = isHeadRequest_ ? head.framing : Framing::None;
        }
        callbacks_.head(std::move(head));
        if (endsAtHead) {
            endsAtHead_ = true;
            return false;
        }
        return true;
    }

    bool onBody(std::string_view data) override
    {
        if (!discarding_) {
            callbacks_.body(data);
        }
        return true;
    }

    void onEnd() override { messageComplete_ = true; }

    internal::Transport &transport() { return transport_; }
    void close() { bufferevent_disable(transport_.get(), EV_READ | EV_WRITE); }
    bool mayHaveSent() const { return sentBytes_ > 0; }
    bool isOpen() const { return open_; }
    Instant lastReceived() const { return lastReceived_; }

private:
    static Impl &implOf(void *user) { return *static_cast<Impl *>(user); }
    static void onReadable(bufferevent * /*connection*/, void *user)
    {
        implOf(user).processInput();
    }

    static void onOutputDrained(bufferevent * /*connection*/, void *user)
    {
        if (implOf(user).callbacks_.drained) {
            implOf(user).callbacks_.drained();
        }
    }

    static void onOutputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *user)
    {
        implOf(user).sentBytes_ += info->n_deleted;
    }

    static void onEvent(bufferevent *connection, short what, void *user)
    {
        Impl &impl = implOf(user);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            internal::setSocketOptions(bufferevent_getfd(connection));
            impl.watchDelivery();
            // The callback may replace the callbacks.
            if (const auto connected = impl.callbacks_.connected) {
                connected();
            }
            return;
        }
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
            impl.open_ = false;
            const bool responseComplete =
                impl.untilClose_ && (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
            if (responseComplete) {
                impl.untilClose_ = false;
                const auto end = impl.callbacks_.end;
                end(false);
                return;
            }
            if (const auto closed = impl.callbacks_.closed) {
                closed();
            }
        }
    }

    void watchDelivery()
    {
        internal::DeliveryWatch::Callbacks callbacks;
        callbacks.stalled = [this] {
            open_ = false;
            if (const auto closed = callbacks_.closed) {
                closed();
            }
        };
        transport_.watchDelivery(internal::ServerStallLimit, std::move(callbacks));
    }

    void processInput()
    {
        lastReceived_ = monotonicNow();
        evbuffer *input = bufferevent_get_input(transport_.get());
        if (!awaitingResponse_) {
            // Data without a pending request: the next response could be attributed to the wrong
            // request, so the connection must not be used again.
            open_ = false;
            evbuffer_drain(input, evbuffer_get_length(input));
            if (callbacks_.closed) {
                callbacks_.closed();
            }
            return;
        }
        while (evbuffer_get_length(input) > 0
               && parser_.state() == internal::ParseState::NeedsInput) {
            const std::size_t length = evbuffer_get_length(input);
            const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            const std::size_t consumed = parser_.feed(data, length);
            evbuffer_drain(input, consumed);
            if (consumed == 0) {
                break;
            }
            const bool discarded = discarding_ && messageComplete_;
            if (discarded) {
                discarding_ = false;
                messageComplete_ = false;
                parser_.reset();
            }
        }
        if (untilClose_) {
            forwardRawBody(input);
            return;
        }
        finishResponse(evbuffer_get_length(input));
    }

    void forwardRawBody(evbuffer *input)
    {
        const std::size_t length = evbuffer_get_length(input);
        if (length > 0) {
            const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            callbacks_.body({ data, length });
            evbuffer_drain(input, length);
        }
    }

    void finishResponse(std::size_t unreadBytes)
    {
        if (parser_.state() == internal::ParseState::NeedsInput) {
            return;
        }
        awaitingResponse_ = false;
        if (messageComplete_ || endsAtHead_) {
            const bool reusable = messageComplete_ && keepAlive_ && unreadBytes == 0 && open_;
            messageComplete_ = false;
            endsAtHead_ = false;
            parser_.reset();
            const auto end = callbacks_.end;
            end(reusable);
            return;
        }
        const Failure failure = parser_.state() == internal::ParseState::Rejected
            ? rejection_
            : Failure { ResultCode::BackendMalformed, "the response is not valid HTTP/1.1" };
        open_ = false;
        const auto invalid = callbacks_.invalidMessage;
        invalid(failure);
    }

    internal::Transport transport_;
    Callbacks callbacks_;
    internal::MessageParser parser_;
    Failure rejection_;
    Instant lastReceived_;
    std::uint64_t sentBytes_ = 0;
    bool isHeadRequest_ = false;
    bool awaitingResponse_ = false;
    bool keepAlive_ = true;
    bool messageComplete_ = false;
    bool endsAtHead_ = false;
    bool untilClose_ = false;
    bool discarding_ = false;
    bool open_ = true;
};

ClientConnection::ClientConnection(event_base *base, const peer::Address &address)
    : impl_(std::make_unique<Impl>(base, address))
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::setCallbacks(Callbacks callbacks)
{
    impl_->setCallbacks(std::move(callbacks));
}

void ClientConnection::sendHead(const std::string &method, const std::string &target,
                                const Headers &headers, Framing framing, std::uint64_t length)
{
    impl_->sendHead(method, target, headers, framing, length);
}

void ClientConnection::sendBody(std::string_view data)
{
    impl_->transport().writeBody(data);
}

void ClientConnection::endRequest()
{
    impl_->transport().writeBodyEnd();
}

void ClientConnection::pauseReading()
{
    impl_->transport().setReading(false);
}

void ClientConnection::resumeReading()
{
    impl_->transport().setReading(true);
}

void ClientConnection::close()
{
    impl_->close();
}

bool ClientConnection::isOutputFull() const
{
    return impl_->transport().pendingOutput() > OutputHighWatermarkBytes;
}

std::size_t ClientConnection::pendingOutput() const
{
    return impl_->transport().pendingOutput();
}

bool ClientConnection::mayHaveSentRequest() const
{
    return impl_->mayHaveSent();
}

bool ClientConnection::isOpen() const
{
    return impl_->isOpen();
}

Instant ClientConnection::lastReceived() const
{
    return impl_->lastReceived();
}

} // namespace daisyhaven::http

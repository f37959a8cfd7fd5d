#include "http/internal/connection.h"
#include "http/internal/message.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

namespace daisyhaven::http {

class ClientConnection::Impl : public internal::MessageSink
{
public:
    Impl(event_base *base, const peer::Address &address)
        : transport_(
            bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
          reader_(htp_type_response, *this), lastReceived_(monotonicNow())
    {
        bufferevent_setcb(transport_.get(), &Impl::readReady, &Impl::written, &Impl::eventReady,
                          this);
        bufferevent_setwatermark(transport_.get(), EV_READ, 0, InputHighBytes);
        bufferevent_setwatermark(transport_.get(), EV_WRITE, OutputLowBytes, 0);
        bufferevent_enable(transport_.get(), EV_READ | EV_WRITE);
        evbuffer_add_cb(bufferevent_get_output(transport_.get()), &Impl::outputChanged, this);
        sockaddr_storage storage {};
        int length = sizeof(storage);
        auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
        const std::string text = address.text();
        const bool valid = evutil_parse_sockaddr_port(text.c_str(), socketAddress, &length) == 0;
        if (!valid || bufferevent_socket_connect(transport_.get(), socketAddress, length) != 0) {
            open_ = false;
        }
    }

    ~Impl() override
    {
        evbuffer_remove_cb(bufferevent_get_output(transport_.get()), &Impl::outputChanged, this);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void setCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

    void sendHead(const std::string &method, const std::string &target, const Headers &headers,
                  Framing framing, std::uint64_t length)
    {
        isHead_ = method == "HEAD";
        awaiting_ = true;
        drainedBytes_ = 0;
        const bool hasBody = method != "GET" && method != "HEAD";
        transport_.writeHead(method + " " + target + " HTTP/1.1", headers, framing, length,
                             hasBody);
    }

    bool onHead(internal::RawHead raw) override
    {
        const auto checked = attempt([&]() -> Result<ResponseHead> {
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
        if (const auto *failure = std::get_if<Failure>(&checked)) {
            refusal_ = { ResultCode::BackendMalformed, failure->detail };
            return false;
        }
        ResponseHead head = std::get<ResponseHead>(checked);
        const bool bodiless = isHead_ || head.status == 204 || head.status == 304;
        if (head.status < 200) {
            refusal_ = { ResultCode::BackendMalformed, "interim answers are not supported" };
            return false;
        }
        skipping_ = callbacks_.belongs && !callbacks_.belongs(head);
        if (skipping_) {
            const bool skippable = !bodiless && head.framing != Framing::None && head.keepAlive;
            refusal_ = { ResultCode::BackendCrossed, "the answer belongs to another request" };
            return skippable;
        }
        if (!bodiless && head.framing == Framing::None) {
            keepAlive_ = false;
            untilClose_ = true;
            head.framing = Framing::UntilClose;
            callbacks_.head(std::move(head));
            // The parser would take the message for whole.
            return false;
        }
        keepAlive_ = head.keepAlive;
        // The parser would wait for a body that never comes.
        const bool endsHere = bodiless && (head.framing != Framing::None);
        if (endsHere) {
            keepAlive_ = false;
            head.framing = isHead_ ? head.framing : Framing::None;
        }
        callbacks_.head(std::move(head));
        if (endsHere) {
            endsAtHead_ = true;
            return false;
        }
        return true;
    }

    bool onBody(std::string_view data) override
    {
        if (!skipping_) {
            callbacks_.body(data);
        }
        return true;
    }

    void onEnd() override { finished_ = true; }

    internal::Transport &transport() { return transport_; }
    bool mayHaveSent() const { return drainedBytes_ > 0; }
    bool isOpen() const { return open_; }
    Instant lastReceived() const { return lastReceived_; }

private:
    static Impl &self(void *user) { return *static_cast<Impl *>(user); }
    static void readReady(bufferevent * /*connection*/, void *user) { self(user).readMore(); }

    static void written(bufferevent * /*connection*/, void *user)
    {
        if (self(user).callbacks_.drained) {
            self(user).callbacks_.drained();
        }
    }

    static void outputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *user)
    {
        self(user).drainedBytes_ += info->n_deleted;
    }

    static void eventReady(bufferevent *connection, short what, void *user)
    {
        Impl &impl = self(user);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            internal::prepareSocket(bufferevent_getfd(connection));
            if (impl.callbacks_.connected) {
                impl.callbacks_.connected();
            }
            return;
        }
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
            impl.open_ = false;
            const bool wholeAnswer =
                impl.untilClose_ && (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
            if (wholeAnswer) {
                impl.untilClose_ = false;
                const auto end = impl.callbacks_.end;
                end(false);
                return;
            }
            if (impl.callbacks_.closed) {
                impl.callbacks_.closed();
            }
        }
    }

    void readMore()
    {
        lastReceived_ = monotonicNow();
        evbuffer *input = bufferevent_get_input(transport_.get());
        if (!awaiting_) {
            // Bytes that nobody asked for: the connection cannot be trusted any more.
            open_ = false;
            evbuffer_drain(input, evbuffer_get_length(input));
            if (callbacks_.closed) {
                callbacks_.closed();
            }
            return;
        }
        while (evbuffer_get_length(input) > 0 && reader_.state() == internal::ReadState::Wants) {
            const std::size_t length = evbuffer_get_length(input);
            const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            const std::size_t consumed = reader_.feed(data, length);
            evbuffer_drain(input, consumed);
            if (consumed == 0) {
                break;
            }
            const bool skipped = skipping_ && finished_;
            if (skipped) {
                skipping_ = false;
                finished_ = false;
                reader_.restart();
            }
        }
        if (untilClose_) {
            passRawBody(input);
            return;
        }
        settle(evbuffer_get_length(input));
    }

    void passRawBody(evbuffer *input)
    {
        const std::size_t length = evbuffer_get_length(input);
        if (length > 0) {
            const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            callbacks_.body({ data, length });
            evbuffer_drain(input, length);
        }
    }

    void settle(std::size_t unread)
    {
        if (reader_.state() == internal::ReadState::Wants) {
            return;
        }
        awaiting_ = false;
        if (finished_ || endsAtHead_) {
            const bool reusable = finished_ && keepAlive_ && unread == 0 && open_;
            finished_ = false;
            endsAtHead_ = false;
            reader_.restart();
            const auto end = callbacks_.end;
            end(reusable);
            return;
        }
        const Failure failure = reader_.state() == internal::ReadState::Refused
            ? refusal_
            : Failure { ResultCode::BackendMalformed, "not HTTP/1.1" };
        open_ = false;
        const auto invalid = callbacks_.invalid;
        invalid(failure);
    }

    internal::Transport transport_;
    Callbacks callbacks_;
    internal::MessageReader reader_;
    Failure refusal_;
    Instant lastReceived_;
    std::uint64_t drainedBytes_ = 0;
    bool isHead_ = false;
    bool awaiting_ = false;
    bool keepAlive_ = true;
    bool finished_ = false;
    bool endsAtHead_ = false;
    bool untilClose_ = false;
    bool skipping_ = false;
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
    impl_->transport().writeEnd();
}

void ClientConnection::pauseReading()
{
    impl_->transport().setReading(false);
}

void ClientConnection::resumeReading()
{
    impl_->transport().setReading(true);
}

bool ClientConnection::outputFull() const
{
    return impl_->transport().pendingOutput() > OutputHighBytes;
}

bool ClientConnection::mayHaveSent() const
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

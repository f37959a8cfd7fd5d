#include "http/http.h"

#include <map>

namespace daisyhaven::http {

namespace {

// Serves one connection; answers may come after the handler has returned.
class ApiSession : public std::enable_shared_from_this<ApiSession>
{
public:
    ApiSession(TimerService &timers, std::size_t maxBodyBytes, ApiServer::Handler handler,
               std::function<void()> closed)
        : timers_(timers), maxBodyBytes_(maxBodyBytes), handler_(std::move(handler)),
          closed_(std::move(closed))
    {
    }

    void open(event_base *base, int socket)
    {
        ServerConnection::Callbacks callbacks;
        callbacks.head = [this](RequestHead head) { begin(std::move(head)); };
        callbacks.body = [this](std::string_view data) { addBody(data); };
        callbacks.end = [this] { askHandler(); };
        callbacks.invalid = [this](const Failure &failure) {
            connection_->closeAfterAnswer();
            ++exchange_;
            answer({ resultInfo(failure.code).httpStatus, "text/plain", failure.detail, {} });
        };
        callbacks.closed = [this] { closed_(); };
        connection_ = std::make_unique<ServerConnection>(base, socket, std::move(callbacks));
    }

private:
    void begin(RequestHead head)
    {
        request_ = { std::move(head.method), std::move(head.path), "" };
        tooLarge_ = head.contentLength > maxBodyBytes_;
        if (head.expectsContinue) {
            connection_->sendContinue();
        }
    }

    void addBody(std::string_view data)
    {
        tooLarge_ = tooLarge_ || request_.body.size() + data.size() > maxBodyBytes_;
        if (!tooLarge_) {
            request_.body.append(data);
        }
    }

    // Answers from the event loop, so that the connection is never re-entered.
    void askHandler()
    {
        const std::uint64_t exchange = ++exchange_;
        const std::weak_ptr<ApiSession> weak = weak_from_this();
        const ApiServer::Respond respond = [weak, exchange](const ApiAnswer &answer) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->timers_.post([weak, exchange, answer] {
                const auto session = weak.lock();
                if (session && session->exchange_ == exchange) {
                    ++session->exchange_;
                    session->answer(answer);
                }
            });
        };
        if (tooLarge_) {
            respond({ 413, "text/plain", "the body is too large\n", {} });
            return;
        }
        handler_(request_, respond);
    }

    void answer(const ApiAnswer &answer)
    {
        Headers headers = answer.headers;
        if (!answer.body.empty()) {
            headers.add("Content-Type", answer.contentType);
        }
        connection_->sendHead(answer.status, headers, Framing::Length, answer.body.size());
        connection_->sendBody(answer.body);
        connection_->endAnswer();
    }

    TimerService &timers_;
    std::size_t maxBodyBytes_;
    ApiServer::Handler handler_;
    std::function<void()> closed_;
    ApiRequest request_;
    bool tooLarge_ = false;
    // Grows with each request and each answer; an answer to an older one is dropped.
    std::uint64_t exchange_ = 0;
    std::unique_ptr<ServerConnection> connection_;
};

} // namespace

class ApiServer::Impl
{
public:
    Impl(event_base *base, TimerService &timers, std::size_t maxBodyBytes, Handler handler)
        : base_(base), timers_(timers), maxBodyBytes_(maxBodyBytes), handler_(std::move(handler))
    {
    }

    Result<void> listen(const peer::Address &address)
    {
        BOOST_LEAF_ASSIGN(listener_,
                          Listener::open(base_, address, [this](int socket) { accept(socket); }));
        return {};
    }

private:
    void accept(int socket)
    {
        const std::uint64_t id = ++lastSession_;
        const auto session =
            std::make_shared<ApiSession>(timers_, maxBodyBytes_, handler_, [this, id] {
                auto node = sessions_.extract(id);
                if (!node.empty()) {
                    // Destroys the connection outside its own callbacks.
                    timers_.post([closed = std::move(node.mapped())] {});
                }
            });
        sessions_[id] = session;
        session->open(base_, socket);
    }

    event_base *base_;
    TimerService &timers_;
    std::size_t maxBodyBytes_;
    Handler handler_;
    std::unique_ptr<Listener> listener_;
    std::uint64_t lastSession_ = 0;
    std::map<std::uint64_t, std::shared_ptr<ApiSession>> sessions_;
};

ApiServer::ApiServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }
ApiServer::~ApiServer() = default;

Result<std::unique_ptr<ApiServer>> ApiServer::open(event_base *base, TimerService &timers,
                                                   const peer::Address &address,
                                                   std::size_t maxBodyBytes, Handler handler)
{
    auto impl = std::make_unique<Impl>(base, timers, maxBodyBytes, std::move(handler));
    BOOST_LEAF_CHECK(impl->listen(address));
    return std::unique_ptr<ApiServer>(new ApiServer(std::move(impl)));
}

} // namespace daisyhaven::http

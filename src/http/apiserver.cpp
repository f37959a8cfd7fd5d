#include "http/http.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace daisyhaven::http {

namespace {

// A body that needs more memory gets this part of its size at least.
constexpr std::size_t BodyGrowthDivisor = 8;

// Serves one connection. Responses may arrive after the handler has returned.
class ApiSession : public std::enable_shared_from_this<ApiSession>
{
public:
    ApiSession(TimerService &timers, std::size_t maxBodyBytes, ApiServer::Handler handler,
               ClientAccount account, std::function<void()> closed)
        : timers_(timers), maxBodyBytes_(maxBodyBytes), handler_(std::move(handler)),
          account_(account), closedCallback_(std::move(closed))
    {
    }

    void open(event_base *base, int socket)
    {
        ServerConnection::Callbacks callbacks;
        callbacks.head = [this](RequestHead head) { beginRequest(std::move(head)); };
        callbacks.body = [this](std::string_view data) { addBody(data); };
        callbacks.end = [this] { invokeHandler(); };
        callbacks.invalidMessage = [this](const Failure &failure) {
            connection_->closeAfterResponse();
            ++exchangeId_;
            sendResponse({ resultInfo(failure.code).httpStatus, "text/plain", failure.detail, {} });
        };
        callbacks.closed = [this] { closedCallback_(); };
        // A body that grows takes more than its size.
        callbacks.heldBytes = [this] { return request_.body.capacity() + request_.path.size(); };
        connection_ =
            std::make_unique<ServerConnection>(base, socket, std::move(callbacks), account_);
    }

    // Sends `unanswered` to the current request, if it has no response yet, and closes the
    // connection.
    void drain(const ApiResponse &unanswered)
    {
        connection_->closeAfterResponse();
        if (awaitsResponse_) {
            ++exchangeId_;
            sendResponse(unanswered);
        }
        if (!connection_->isClosing()) {
            connection_->closeGracefully();
        }
    }

private:
    void beginRequest(RequestHead head)
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
        if (tooLarge_) {
            request_.body = std::string();
            return;
        }
        reserveFor(data.size());
        request_.body.append(data);
    }

    // A string that grows by itself doubles its memory, and holds the old one beside it meanwhile.
    void reserveFor(std::size_t more)
    {
        const std::string &body = request_.body;
        if (body.size() + more <= body.capacity()) {
            return;
        }
        std::string larger;
        larger.reserve(body.size() + std::max(more, body.size() / BodyGrowthDivisor));
        larger.append(body);
        request_.body = std::move(larger);
    }

    // Sends the response from the event loop, so that the connection is not re-entered from its own
    // callback.
    void invokeHandler()
    {
        const std::uint64_t exchangeId = ++exchangeId_;
        awaitsResponse_ = true;
        const std::weak_ptr<ApiSession> weakSession = weak_from_this();
        const ApiServer::ResponseCallback respond = [weakSession,
                                                     exchangeId](const ApiResponse &response) {
            const auto apiSession = weakSession.lock();
            if (!apiSession) {
                return;
            }
            apiSession->timers_.post([weakSession, exchangeId, response] {
                const auto session = weakSession.lock();
                if (session && session->exchangeId_ == exchangeId) {
                    ++session->exchangeId_;
                    session->sendResponse(response);
                }
            });
        };
        if (tooLarge_) {
            respond({ 413, "text/plain", "the request body exceeds the size limit\n", {} });
            return;
        }
        handler_(request_, respond);
    }

    void sendResponse(const ApiResponse &response)
    {
        awaitsResponse_ = false;
        Headers headers = response.headers;
        if (!response.body.empty()) {
            headers.add("Content-Type", response.contentType);
        }
        connection_->sendHead(response.status, headers, Framing::Length, response.body.size());
        connection_->sendBody(response.body);
        request_ = {};
        connection_->endResponse();
    }

    TimerService &timers_;
    std::size_t maxBodyBytes_;
    ApiServer::Handler handler_;
    ClientAccount account_;
    std::function<void()> closedCallback_;
    ApiRequest request_;
    bool tooLarge_ = false;
    // The handler has a complete request.
    bool awaitsResponse_ = false;
    // Incremented at each request and each response. A response for an earlier value is discarded.
    std::uint64_t exchangeId_ = 0;
    std::unique_ptr<ServerConnection> connection_;
};

} // namespace

class ApiServer::Impl
{
public:
    Impl(event_base *base, TimerService &timers, std::size_t maxBodyBytes, Handler handler,
         ClientAccount account)
        : base_(base), timers_(timers), maxBodyBytes_(maxBodyBytes), handler_(std::move(handler)),
          account_(account)
    {
    }

    Result<void> listen(const peer::Address &address)
    {
        BOOST_LEAF_ASSIGN(
            listener_,
            Listener::open(
                base_, address, [this](int socket) { acceptConnection(socket); }, account_));
        return {};
    }

    void drain(const ApiResponse &unanswered, std::function<void()> finished)
    {
        listener_.reset();
        drained_ = std::move(finished);
        std::vector<std::shared_ptr<ApiSession>> open;
        for (const auto &[id, session] : sessions_) {
            open.push_back(session);
        }
        for (const auto &session : open) {
            session->drain(unanswered);
        }
        reportIfDrained();
    }

private:
    void reportIfDrained()
    {
        if (drained_ && sessions_.empty()) {
            timers_.post(std::exchange(drained_, nullptr));
        }
    }

    void acceptConnection(int socket)
    {
        const std::uint64_t id = ++lastSessionId_;
        const auto session =
            std::make_shared<ApiSession>(timers_, maxBodyBytes_, handler_, account_, [this, id] {
                auto node = sessions_.extract(id);
                if (!node.empty()) {
                    // Destroys the connection from the event loop, outside its own callbacks.
                    timers_.post([closed = std::move(node.mapped())] {});
                }
                reportIfDrained();
            });
        sessions_[id] = session;
        session->open(base_, socket);
    }

    event_base *base_;
    TimerService &timers_;
    std::size_t maxBodyBytes_;
    Handler handler_;
    ClientAccount account_;
    std::unique_ptr<Listener> listener_;
    std::uint64_t lastSessionId_ = 0;
    std::map<std::uint64_t, std::shared_ptr<ApiSession>> sessions_;
    std::function<void()> drained_;
};

ApiServer::ApiServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) { }
ApiServer::~ApiServer() = default;

void ApiServer::drain(const ApiResponse &unanswered, std::function<void()> finished)
{
    impl_->drain(unanswered, std::move(finished));
}

Result<std::unique_ptr<ApiServer>> ApiServer::open(event_base *base, TimerService &timers,
                                                   const peer::Address &address,
                                                   std::size_t maxBodyBytes, Handler handler,
                                                   ClientAccount account)
{
    auto impl = std::make_unique<Impl>(base, timers, maxBodyBytes, std::move(handler), account);
    BOOST_LEAF_CHECK(impl->listen(address));
    return std::unique_ptr<ApiServer>(new ApiServer(std::move(impl)));
}

} // namespace daisyhaven::http

#include "http/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <sys/socket.h>

#include <array>

namespace daisyhaven::http {
namespace {

struct EventBaseDeleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

peer::Address address()
{
    return { "127.0.0.1", static_cast<std::uint16_t>(38000 + ::getpid() % 2000) };
}

enum class Ending { Keep, Close, Reset };

struct AnswerCase
{
    const char *name;
    const char *bytes;
    Ending ending;
    // What the client must make of it.
    const char *body; // nullptr: no whole answer
    bool reusable;
};

// A server that sends the bytes of a case as soon as a request arrives.
class ScriptedServer
{
public:
    ScriptedServer(event_base *base, const AnswerCase &answer) : base_(base), answer_(answer)
    {
        auto opened = attempt([&] {
            return Listener::open(base, address(), [this](int socket) { accept(socket); });
        });
        listener_ = std::move(std::get<std::unique_ptr<Listener>>(opened));
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;
    ~ScriptedServer()
    {
        if (connection_ != nullptr) {
            bufferevent_free(connection_);
        }
    }

private:
    void accept(int socket)
    {
        connection_ = bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            connection_, [](bufferevent *, void *user) { self(user).requested(); },
            [](bufferevent *, void *user) { self(user).written(); }, nullptr, this);
        bufferevent_enable(connection_, EV_READ | EV_WRITE);
    }

    static ScriptedServer &self(void *user) { return *static_cast<ScriptedServer *>(user); }

    void requested()
    {
        evbuffer *input = bufferevent_get_input(connection_);
        evbuffer_drain(input, evbuffer_get_length(input));
        bufferevent_write(connection_, answer_.bytes, std::string_view(answer_.bytes).size());
        answered_ = true;
    }

    void written()
    {
        if (!answered_) {
            return;
        }
        if (answer_.ending == Ending::Close) {
            shutdown(bufferevent_getfd(connection_), SHUT_WR);
        } else if (answer_.ending == Ending::Reset) {
            const linger reset { 1, 0 };
            setsockopt(bufferevent_getfd(connection_), SOL_SOCKET, SO_LINGER, &reset,
                       sizeof(reset));
            bufferevent_free(connection_);
            connection_ = nullptr;
        }
    }

    event_base *base_;
    const AnswerCase &answer_;
    std::unique_ptr<Listener> listener_;
    bufferevent *connection_ = nullptr;
    bool answered_ = false;
};

class Answers : public ::testing::TestWithParam<AnswerCase>
{
};

TEST_P(Answers, AreWholeOrNot)
{
    const AnswerCase &answer = GetParam();
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    TimerService timers(base.get());
    const ScriptedServer server(base.get(), answer);
    std::string body;
    std::optional<std::string> whole;
    bool reusable = false;
    bool settled = false;
    const auto settle = [&] {
        settled = true;
        event_base_loopbreak(base.get());
    };
    auto client = std::make_unique<ClientConnection>(base.get(), address());
    ClientConnection::Callbacks callbacks;
    callbacks.belongs = [](const ResponseHead &head) {
        const std::string *id = head.headers.find("X-Id");
        return id != nullptr && *id == "mine";
    };
    callbacks.head = [](const ResponseHead &) {};
    callbacks.body = [&](std::string_view data) { body.append(data); };
    callbacks.end = [&](bool mayReuse) {
        whole = body;
        reusable = mayReuse;
        settle();
    };
    callbacks.invalid = [&](const Failure &) { settle(); };
    callbacks.closed = settle;
    client->setCallbacks(callbacks);
    client->sendHead("GET", "/", {}, Framing::None, 0);
    client->endRequest();
    const Subscription limit = timers.after(Seconds(2), settle);
    event_base_dispatch(base.get());
    EXPECT_TRUE(settled);
    EXPECT_EQ(whole.has_value(), answer.body != nullptr);
    if (whole && answer.body != nullptr) {
        EXPECT_EQ(*whole, answer.body);
        EXPECT_EQ(reusable, answer.reusable);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Servers, Answers,
    ::testing::Values(
        AnswerCase { "sized", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
                     Ending::Keep, "abc", true },
        AnswerCase { "chunked",
                     "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n0\r\n\r\n",
                     Ending::Keep, "abc", true },
        AnswerCase { "endsWithItsConnection", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nabc",
                     Ending::Close, "abc", false },
        AnswerCase { "withoutLengthAndReset", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nabc",
                     Ending::Reset, nullptr, false },
        AnswerCase { "truncated", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nabc",
                     Ending::Close, nullptr, false },
        AnswerCase { "ofAnotherRequestFirst",
                     "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nxyz"
                     "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
                     Ending::Keep, "abc", true },
        AnswerCase { "ofAnotherRequestWithoutLength", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nxyz",
                     Ending::Close, nullptr, false },
        AnswerCase {
            "withMoreBytesBehind",
            "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n",
            Ending::Keep, "abc", false },
        AnswerCase { "noAnswerAtAll", "hello\r\n\r\n", Ending::Keep, nullptr, false }),
    [](const auto &info) { return info.param.name; });

// ---- what may have been sent ----

// Whatever a server has received, its client knows that it may have sent it, before any callback
// says that the connection is open: a request is never taken for unsent while a server runs it.
TEST(Sent, IsKnownBeforeTheServerCanAct)
{
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    bool received = false;
    std::unique_ptr<ServerConnection> server;
    auto listener = attempt([&] {
        return Listener::open(base.get(), address(), [&](int socket) {
            ServerConnection::Callbacks callbacks;
            callbacks.head = [&](const RequestHead &) { received = true; };
            callbacks.end = [] {};
            callbacks.closed = [] {};
            server = std::make_unique<ServerConnection>(base.get(), socket, callbacks);
        });
    });
    ASSERT_TRUE(std::holds_alternative<std::unique_ptr<Listener>>(listener));
    ClientConnection client(base.get(), address());
    client.setCallbacks({});
    Headers headers;
    headers.add("Host", "shop.example");
    client.sendHead("GET", "/", headers, Framing::None, 0);
    EXPECT_FALSE(client.mayHaveSent());
    for (int turn = 0; turn < 2000 && !received; ++turn) {
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
        EXPECT_TRUE(!received || client.mayHaveSent());
    }
    EXPECT_TRUE(received);
}

// ---- messages that come in pieces ----

// Sends `message` to a server connection, cut at `cuts`, and returns what the connection made of
// it.
std::string readInPieces(const std::string &message, const std::vector<std::size_t> &cuts)
{
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    std::array<int, 2> sockets {};
    socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data());
    evutil_make_socket_nonblocking(sockets[0]);
    std::string text;
    ServerConnection::Callbacks callbacks;
    callbacks.head = [&](const RequestHead &head) {
        text += head.method + " " + head.path + "?" + head.query + "\n";
        for (const Header &field : head.headers.fields()) {
            text += field.name + "=" + field.value + "\n";
        }
    };
    callbacks.body = [&](std::string_view data) { text.append(data); };
    callbacks.end = [&] { text += "<end>"; };
    callbacks.invalid = [&](const Failure &failure) { text += toString(failure); };
    callbacks.closed = [] {};
    const ServerConnection connection(base.get(), sockets[0], callbacks);
    std::size_t from = 0;
    for (std::size_t i = 0; i <= cuts.size(); ++i) {
        const std::size_t to = i < cuts.size() ? cuts[i] : message.size();
        EXPECT_EQ(write(sockets[1], message.data() + from, to - from),
                  static_cast<ssize_t>(to - from));
        from = to;
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
    close(sockets[1]);
    return text;
}

const std::string RequestInPieces = "POST /orders/special/17?x=1&y=2 HTTP/1.1\r\n"
                                    "Host: shop.example\r\n"
                                    "X-Request: 9c41d07be2a35f68\r\n"
                                    "Content-Length: 11\r\n\r\nhello world";

const std::string ChunkedInPieces = "POST /photos/17 HTTP/1.1\r\n"
                                    "Host: shop.example\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "1b\r\nabcdefghijklmnopqrstuvwxyz!\r\n"
                                    "5\r\nhello\r\n0\r\n\r\n";

class Pieces : public ::testing::TestWithParam<std::string>
{
};

// Slow links split messages anywhere: what is read must not depend on it.
TEST_P(Pieces, ASplitAnywhereChangesNothing)
{
    const std::string whole = readInPieces(GetParam(), {});
    ASSERT_NE(whole.find("<end>"), std::string::npos) << whole;
    for (std::size_t cut = 1; cut < GetParam().size(); ++cut) {
        EXPECT_EQ(readInPieces(GetParam(), { cut }), whole) << "cut at " << cut;
    }
}

TEST_P(Pieces, ByteByByteChangesNothing)
{
    std::vector<std::size_t> cuts;
    for (std::size_t cut = 1; cut < GetParam().size(); ++cut) {
        cuts.push_back(cut);
    }
    EXPECT_EQ(readInPieces(GetParam(), cuts), readInPieces(GetParam(), {}));
}

INSTANTIATE_TEST_SUITE_P(Messages, Pieces, ::testing::Values(RequestInPieces, ChunkedInPieces));

} // namespace
} // namespace daisyhaven::http

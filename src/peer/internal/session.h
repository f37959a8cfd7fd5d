// One HTTP/2 session over one authenticated connection; private to the peer package.
#pragma once

#include "peer/peer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;
struct nghttp2_session;
struct ssl_ctx_st;

namespace daisyhaven::peer::internal {

struct SslContextDeleter
{
    void operator()(ssl_ctx_st *context) const;
};
using SslContext = std::unique_ptr<ssl_ctx_st, SslContextDeleter>;

// Makes a TLS context that authenticates both ends by pre-shared keys. `credentials` must outlive
// the context.
SslContext makeServerContext(const Credentials &credentials);
SslContext makeClientContext(const Credentials &credentials);

// A finished stream: a request on servers, a reply on clients.
struct Message
{
    std::int32_t stream = 0;
    std::string path;
    std::string body;
    int status = 0;
    int resultNumber = 0;
    bool aborted = false;
};

class Session
{
public:
    struct Callbacks
    {
        std::function<void(Message)> message;
        // The connection is gone; the session may be destroyed inside the call.
        std::function<void(const std::string &reason)> closed;
        std::function<void()> connected;
    };

    // Takes ownership of `connection`.
    Session(bufferevent *connection, bool isServer, Protection protection, Callbacks callbacks);
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session();

    // Sends a request; returns its stream id or a negative number.
    std::int32_t request(const std::string &path, std::string body);
    // Answers stream `stream`.
    void respond(std::int32_t stream, const Reply &reply);
    // Gives up waiting for stream `stream`.
    void cancel(std::int32_t stream);
    void ping();

    bool established() const { return established_; }
    Instant lastReceived() const { return lastReceived_; }
    // Identity that the other end proved, on servers.
    const std::string &identity() const { return identity_; }

private:
    friend struct SessionHooks;

    struct Stream
    {
        Message incoming;
        std::string outgoing;
        std::size_t offset = 0;
    };

    void receive();
    void flush();
    void handleEvent(short what);
    void handshakeDone();
    std::string provenIdentity() const;

    bufferevent *connection_;
    nghttp2_session *session_ = nullptr;
    Callbacks callbacks_;
    std::map<std::int32_t, Stream> streams_;
    std::vector<Message> finished_;
    bool isServer_;
    Protection protection_;
    bool established_ = false;
    Instant lastReceived_;
    std::string identity_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Opens a connection for `protection`: with TLS, `context` makes it; `socket` is -1 for a client.
bufferevent *makeConnection(event_base *base, int socket, ssl_ctx_st *context,
                            Protection protection);

// Mutable counters behind peer::traffic().
Traffic &mutableTraffic();

} // namespace daisyhaven::peer::internal

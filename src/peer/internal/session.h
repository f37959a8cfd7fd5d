// An HTTP/2 session on one connection; private to the peer package.
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

// Make TLS contexts that authenticate both ends by pre-shared keys; empty with Protection::None.
// `credentials` must outlive the context.
SslContext makeServerContext(const Credentials &credentials);
SslContext makeClientContext(const Credentials &credentials);

// The message received on a closed stream: a request on servers, a response on clients.
struct Message
{
    std::int32_t streamId = 0;
    std::string path;
    std::string body;
    int status = 0;
    // ResultCode of the response as a number; 0 for success.
    int resultNumber = 0;
    // The stream was reset; no other field but `streamId` is set.
    bool aborted = false;
};

class Session
{
public:
    struct Callbacks
    {
        std::function<void(Message)> message;
        // Called when the connection is lost; the callee may destroy the session.
        std::function<void(const std::string &reason)> closed;
        std::function<void()> connected;
    };

    // Takes ownership of `connection`.
    Session(bufferevent *connection, bool isServer, Protection protection, Callbacks callbacks);
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session();

    // Submits a request. Returns its stream id, or a negative nghttp2 error code.
    std::int32_t sendRequest(const std::string &path, std::string body);
    // Submits the response on a stream; has no effect if the stream is closed.
    void respond(std::int32_t streamId, const Reply &reply);
    // Resets a stream with the HTTP/2 error code CANCEL.
    void cancelStream(std::int32_t streamId);
    void sendPing();

    // Returns the bytes of requests and responses that the connection has not taken yet.
    std::size_t unsentBytes() const;

    bool established() const { return established_; }
    Instant lastReceived() const { return lastReceived_; }
    // On servers, the PSK identity of the client; empty on clients.
    const std::string &identity() const { return identity_; }

private:
    friend struct SessionCallbacks;

    struct Stream
    {
        Message incoming;
        std::string outgoing;
        std::size_t outgoingOffset = 0;
    };

    void processInput();
    void flushOutput();
    void handleEvent(short what);
    void completeHandshake();
    std::string authenticatedIdentity() const;

    bufferevent *connection_;
    nghttp2_session *session_ = nullptr;
    Callbacks callbacks_;
    std::map<std::int32_t, Stream> streams_;
    std::vector<Message> finishedMessages_;
    bool isServer_;
    Protection protection_;
    bool established_ = false;
    Instant lastReceived_;
    std::string identity_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Creates a bufferevent for `socket`, or for an outgoing connection if `socket` is -1. `context` is
// used only with Protection::PreSharedKeys.
bufferevent *makeConnection(event_base *base, int socket, ssl_ctx_st *context,
                            Protection protection);

// The counters that peer::trafficCounters() returns.
TrafficCounters &mutableTraffic();

} // namespace daisyhaven::peer::internal

// HTTP/1.1 connections from callers and to backend servers, which stream in both directions with
// bounded buffers. Messages are parsed by libevhtp's parser; sockets are managed by libevent.
//
// A message with more than one Content-Length or Transfer-Encoding field, with an invalid one, or
// with none where one is required is rejected: guessing where a message ends would allow request
// smuggling.
//
// Example:
//     ServerConnection::Callbacks callbacks;
//     callbacks.head = [&](RequestHead head) { ... };
//     auto connection = std::make_unique<ServerConnection>(base, socket, callbacks);
//
// Thread safety: not thread-safe. Each object is used only on the thread of its event loop.
// Callbacks must not destroy the connection that invokes them; use TimerService::post().
#pragma once

#include "clientbudget/clientbudget.h"
#include "peer/peer.h"
#include "result/result.h"
#include "timer/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace daisyhaven::http {

constexpr std::size_t MaxHeadBytes = 16UL * 1024;
// Watermarks of the output buffer: producers pause above the high one and resume below the low one.
constexpr std::size_t OutputHighWatermarkBytes = 256UL * 1024;
constexpr std::size_t OutputLowWatermarkBytes = 64UL * 1024;
// Reading from the socket pauses while this much input is unprocessed.
constexpr std::size_t InputHighWatermarkBytes = 64UL * 1024;

struct Header
{
    std::string name;
    std::string value;

    friend bool operator==(const Header &a, const Header &b)
    {
        return a.name == b.name && a.value == b.value;
    }
};

// Header fields in order of arrival. Names are case-insensitive.
class Headers
{
public:
    void add(std::string name, std::string value)
    {
        fields_.push_back({ std::move(name), std::move(value) });
    }
    // Returns the first value of `name`, or nullptr if there is none.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Header> &fields() const { return fields_; }

private:
    std::vector<Header> fields_;
};

// How the end of a body is determined. UntilClose: a response body that ends when the connection
// is closed.
enum class Framing : std::uint8_t { None, Length, Chunked, UntilClose };

struct RequestHead
{
    std::string method;
    std::string path;
    std::string query; // without the leading '?'
    Headers headers;
    Framing framing = Framing::None;
    std::uint64_t contentLength = 0;
    bool keepAlive = true;
    bool expectsContinue = false;
};

struct ResponseHead
{
    int status = 0;
    Headers headers;
    Framing framing = Framing::None;
    std::uint64_t contentLength = 0;
    bool keepAlive = true;
};

// Returns true for header fields that apply to a single connection and are not forwarded. Also true
// for Content-Length and Expect, which each connection sets for itself.
bool isHopByHopHeader(std::string_view name);

// Receives the response of one exchange and applies backpressure to the request body.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    virtual void sendHead(int status, const Headers &headers, Framing framing,
                          std::uint64_t length) = 0;
    virtual void sendBody(std::string_view data) = 0;
    // Ends a complete response.
    virtual void endResponse() = 0;
    // Aborts a response that cannot be completed.
    virtual void abortResponse() = 0;
    virtual void sendContinue() = 0;
    virtual void pauseBody() = 0;
    virtual void resumeBody() = 0;
    // Returns true while the producer of the response must pause.
    virtual bool isOutputFull() const = 0;
};

// The budget to which connections report what they hold, if any, and their share of it.
struct ClientAccount
{
    ClientBudget *budget = nullptr;
    ClientGroup group = ClientGroup::Callers;
};

class ServerConnection
{
public:
    struct Callbacks
    {
        std::function<void(RequestHead)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> end;
        // The request is invalid. A response may be sent, after which the connection closes.
        std::function<void(const Failure &)> invalidMessage;
        std::function<void()> closed;
        // Pending output fell to OutputLowWatermarkBytes.
        std::function<void()> drained;
        // Returns the bytes that the owner holds for the request. May be empty.
        std::function<std::size_t()> heldBytes;
        // The budget is short while a complete request is served. Returns true if the request has
        // not run and was refused; otherwise the connection is reset. May be empty.
        std::function<bool()> refuse;
    };

    // The budget must outlive the connection, which it may reset when memory or descriptors run
    // short or the client makes no progress.
    ServerConnection(event_base *base, int socket, Callbacks callbacks, ClientAccount account = {});
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;
    ~ServerConnection();

    void pauseReading();
    void resumeReading();
    void sendContinue();
    // Framing::None sends `Content-Length: 0` unless the status forbids a body.
    void sendHead(int status, const Headers &headers, Framing framing, std::uint64_t length);
    void sendBody(std::string_view data);
    // Ends the response. The next request is read if the connection is persistent; otherwise the
    // connection closes after the output has been written.
    void endResponse();
    // Resets the connection, so that the caller can tell that the response is incomplete. Output
    // that the caller has not received yet is lost.
    void abort();
    // Closes the connection once the caller has received all output. The `closed` callback runs
    // when the caller has closed its side or a timeout has passed.
    void closeGracefully();
    // Returns true from the start of a graceful close until the `closed` callback.
    bool isClosing() const;
    // Makes the connection close after the current response.
    void closeAfterResponse();
    bool isOutputFull() const;
    // Returns true while the caller has not received all response bytes.
    bool hasPendingOutput() const;
    // Closes the connection as closeGracefully() does, for the end of the process: the kernel takes
    // the output as far as it allows, and delivers it.
    void closeForExit();
    // Returns true from the first byte of a request until its end.
    bool isReadingMessage() const;
    Instant lastReceived() const;

    class Impl;

private:
    std::unique_ptr<Impl> impl_;
};

class ClientConnection
{
public:
    struct Callbacks
    {
        std::function<void()> connected;
        // Returns whether the response belongs to the current request; other responses are read and
        // discarded. If empty, every response belongs to the current request.
        std::function<bool(const ResponseHead &)> belongsToCurrentRequest;
        std::function<void(ResponseHead)> head;
        std::function<void(std::string_view)> body;
        // The response is complete. `reusable`: another request may be sent on this connection.
        std::function<void(bool reusable)> end;
        // The response is invalid. The connection must be destroyed.
        std::function<void(const Failure &)> invalidMessage;
        std::function<void()> closed;
        std::function<void()> drained;
    };

    ClientConnection(event_base *base, const peer::Address &address);
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;
    ~ClientConnection();

    // Replaces the callbacks, for the next request on a persistent connection.
    void setCallbacks(Callbacks callbacks);
    void sendHead(const std::string &method, const std::string &target, const Headers &headers,
                  Framing framing, std::uint64_t length);
    void sendBody(std::string_view data);
    void endRequest();
    void pauseReading();
    void resumeReading();
    // Sends and reads nothing more; no callback runs. For a connection that is destroyed later,
    // outside its own callbacks: until then it could still be established and send its request.
    void close();
    bool isOutputFull() const;
    // Returns the bytes that wait to be written to the socket.
    std::size_t pendingOutput() const;
    // Returns true once a byte of the current request may have been sent. False proves that the
    // server did not receive any of it.
    bool mayHaveSentRequest() const;
    bool isOpen() const;
    Instant lastReceived() const;

    class Impl;

private:
    std::unique_ptr<Impl> impl_;
};

// Accepts connections from callers.
class Listener
{
public:
    using AcceptCallback = std::function<void(int socket)>;

    // Accepting pauses while the group of `account` is full. Errors: SettingsInvalid if the address
    // cannot be bound.
    static Result<std::unique_ptr<Listener>> open(event_base *base, const peer::Address &address,
                                                  AcceptCallback accept,
                                                  ClientAccount account = {});
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();

    class Impl;

private:
    explicit Listener(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

// A request to an ApiServer, with its complete body.
struct ApiRequest
{
    std::string method;
    std::string path;
    std::string body;
};

struct ApiResponse
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
    Headers headers;
};

// A small HTTP server whose handler may respond asynchronously.
//
// Example:
//     BOOST_LEAF_AUTO(server, ApiServer::open(
//         base, timers, address, maxBodyBytes,
//         [](const ApiRequest &request, const ApiServer::ResponseCallback &respond) {
//             respond({ 200, "text/plain", "ready", {} });
//         }));
class ApiServer
{
public:
    // Only the first call has an effect, and none after the connection was closed.
    using ResponseCallback = std::function<void(ApiResponse)>;
    using Handler = std::function<void(const ApiRequest &, const ResponseCallback &)>;

    // Requests with a body above `maxBodyBytes` are rejected with status 413. Errors:
    // SettingsInvalid if the address cannot be bound.
    static Result<std::unique_ptr<ApiServer>> open(event_base *base, TimerService &timers,
                                                   const peer::Address &address,
                                                   std::size_t maxBodyBytes, Handler handler,
                                                   ClientAccount account = {});
    ApiServer(const ApiServer &) = delete;
    ApiServer &operator=(const ApiServer &) = delete;
    ~ApiServer();

    // Accepts no more connections, sends `unanswered` to each request that has no response yet, and
    // closes the connections once their responses have been received. `finished` runs once, when no
    // connection is left. For the end of the process; call it once.
    void drain(const ApiResponse &unanswered, std::function<void()> finished);

    class Impl;

private:
    explicit ApiServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::http

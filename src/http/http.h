// HTTP/1.1 connections of callers and to backend servers, streaming in both directions with bounded
// buffers. Messages are parsed by libevhtp's parser; sockets are libevent's.
//
// A message whose length is given twice, or not at all where it must be, is refused: it is never
// guessed where a message ends.
//
// Example:
//     ServerConnection::Callbacks callbacks;
//     callbacks.head = [&](RequestHead head) { ... };
//     auto connection = std::make_unique<ServerConnection>(base, socket, callbacks);
//
// Thread safety: all objects belong to the thread of their event loop. Callbacks must not destroy
// the connection that calls them; use TimerService::post().
#pragma once

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
// Output above this makes the producer pause.
constexpr std::size_t OutputHighBytes = 256UL * 1024;
constexpr std::size_t OutputLowBytes = 64UL * 1024;
constexpr std::size_t InputHighBytes = 64UL * 1024;

struct Header
{
    std::string name;
    std::string value;

    friend bool operator==(const Header &a, const Header &b)
    {
        return a.name == b.name && a.value == b.value;
    }
};

// Header fields in order; names compare without case.
class Headers
{
public:
    void add(std::string name, std::string value)
    {
        fields_.push_back({ std::move(name), std::move(value) });
    }
    // Returns the first value, or nullptr.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Header> &fields() const { return fields_; }

private:
    std::vector<Header> fields_;
};

// How the end of a body is known. UntilClose: an answer that ends with its connection.
enum class Framing : std::uint8_t { None, Length, Chunked, UntilClose };

struct RequestHead
{
    std::string method;
    std::string path;
    std::string query; // without '?'
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

// True for fields that belong to one connection and are not passed on.
bool isHopByHop(std::string_view name);

// Where the answer goes and what holds the request's body back.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void sendHead(int status, const Headers &headers, Framing framing,
                          std::uint64_t length) = 0;
    virtual void sendBody(std::string_view data) = 0;
    // The answer is whole.
    virtual void endAnswer() = 0;
    // The answer cannot be made whole.
    virtual void abortAnswer() = 0;
    virtual void sendContinue() = 0;
    virtual void pauseBody() = 0;
    virtual void resumeBody() = 0;
    virtual bool outputFull() const = 0;
};

class ServerConnection
{
public:
    struct Callbacks
    {
        std::function<void(RequestHead)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> end;
        // The caller's message is invalid. An answer may be sent; the connection then closes.
        std::function<void(const Failure &)> invalid;
        std::function<void()> closed;
        // Output fell below OutputLowBytes.
        std::function<void()> drained;
    };

    ServerConnection(event_base *base, int socket, Callbacks callbacks);
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;
    ~ServerConnection();

    void pauseReading();
    void resumeReading();
    void sendContinue();
    // Framing None sends a whole empty body.
    void sendHead(int status, const Headers &headers, Framing framing, std::uint64_t length);
    void sendBody(std::string_view data);
    // Ends the answer; the next request is read if the connection is kept.
    void endAnswer();
    // Breaks the connection so that the caller cannot take the answer for whole.
    void abort();
    // Answers after which the connection closes.
    void closeAfterAnswer();
    bool outputFull() const;
    // True while bytes of an answer have not left this process.
    bool hasPendingOutput() const;
    // True from the first byte of a message to its end.
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
        // Returns whether the answer belongs to the present request; others are read and dropped.
        // May be empty: every answer belongs to it.
        std::function<bool(const ResponseHead &)> belongs;
        std::function<void(ResponseHead)> head;
        std::function<void(std::string_view)> body;
        // The answer is whole. `reusable`: another request may be sent.
        std::function<void(bool reusable)> end;
        // The answer cannot be read. The connection must be destroyed.
        std::function<void(const Failure &)> invalid;
        std::function<void()> closed;
        std::function<void()> drained;
    };

    ClientConnection(event_base *base, const peer::Address &address);
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;
    ~ClientConnection();

    // Replaces the callbacks, for the next request on a kept connection.
    void setCallbacks(Callbacks callbacks);
    void sendHead(const std::string &method, const std::string &target, const Headers &headers,
                  Framing framing, std::uint64_t length);
    void sendBody(std::string_view data);
    void endRequest();
    void pauseReading();
    void resumeReading();
    bool outputFull() const;
    // True once a byte of the present request may have left this process.
    bool mayHaveSent() const;
    bool isOpen() const;
    Instant lastReceived() const;

    class Impl;

private:
    std::unique_ptr<Impl> impl_;
};

// Listens for callers' connections.
class Listener
{
public:
    using Accept = std::function<void(int socket)>;

    // Errors: SettingsInvalid if the address cannot be bound.
    static Result<std::unique_ptr<Listener>> open(event_base *base, const peer::Address &address,
                                                  Accept accept);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();

    class Impl;

private:
    explicit Listener(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

// A request to an ApiServer, with its whole body.
struct ApiRequest
{
    std::string method;
    std::string path;
    std::string body;
};

struct ApiAnswer
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
    Headers headers;
};

// A small HTTP server whose handler may answer later.
//
// Example:
//     server->handle([](const ApiRequest &request, const ApiServer::Respond &respond) {
//         respond({ 200, "text/plain", "ready" });
//     });
class ApiServer
{
public:
    // Runs once; calls after the connection has gone have no effect.
    using Respond = std::function<void(ApiAnswer)>;
    using Handler = std::function<void(const ApiRequest &, const Respond &)>;

    // Larger bodies get 413. Errors: SettingsInvalid if the address cannot be bound.
    static Result<std::unique_ptr<ApiServer>> open(event_base *base, TimerService &timers,
                                                   const peer::Address &address,
                                                   std::size_t maxBodyBytes, Handler handler);
    ApiServer(const ApiServer &) = delete;
    ApiServer &operator=(const ApiServer &) = delete;
    ~ApiServer();

    class Impl;

private:
    explicit ApiServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::http

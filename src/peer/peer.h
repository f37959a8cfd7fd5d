// The RPC protocol between daisyhaven's own processes: Protocol Buffers over HTTP/2 (nghttp2).
// Connections are mutually authenticated by pre-shared keys over TLS 1.2 (ECDHE-PSK), or are plain
// TCP in deployments that distribute no keys.
//
// A call is one HTTP/2 stream: POST /v1/<method> with the request message as its body; the response
// carries the reply message or a Failure. The protocol version is part of the path, so that
// processes of two versions can run side by side; an unknown version is rejected with PeerProtocol.
// A stream whose body exceeds MaxMessageBytes is reset.
//
// Example:
//     Server server(base, credentials);
//     server.registerHandler(Method::Heartbeat, Role::Vm,
//                            [&](const Caller &, std::string body, Responder respond) {
//                                respond(reply.SerializeAsString());
//                            });
//     ClientPool clients(base, timers, credentials);
//     clients.call<wire::PulseReply>(address, Method::Heartbeat, request, Milliseconds(500),
//                                    [](CallResult<wire::PulseReply> result) { ... });
//
// Errors: PeerTimeout (no response within the timeout or the stream failed; the call may have been
// executed), PeerUnreachable (the connection was never established), PeerProtocol,
// PeerUnauthorized, or the Failure returned by the handler.
//
// Thread safety: not thread-safe. Each object is used only on the thread of its event loop.
#pragma once

#include "result/result.h"
#include "timer/timer.h"

#include <google/protobuf/message_lite.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

struct event_base;

namespace daisyhaven::peer {

constexpr std::size_t MaxMessageBytes = 64UL * 1024 * 1024;

enum class Role : std::uint8_t { Vm, Operator };

enum class Method : std::uint8_t {
    Heartbeat,
    StoreConfiguration,
    Configuration,
    Announce,
    Acquire,
    Release,
    GatherHeldSlots,
    ExchangeZoneSummaries,
    RequestTokens,
    LedgerStart,
    LedgerFinish,
    LedgerStore,
    LedgerCopy,
    Consensus,
    OperatorWrite,
    Status,
    ChangeControlMember,
    ListZoneSummaries,
    FleetView,
    AcquireSlot,
    ReleaseSlot,
    Join,
    DownloadDocument,
};

// Returns the name of `method` as used in request paths, logs and metrics.
const char *methodName(Method method);

// An IP address and TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend bool operator==(const Address &a, const Address &b)
    {
        return a.host == b.host && a.port == b.port;
    }
    friend bool operator!=(const Address &a, const Address &b) { return !(a == b); }
    friend bool operator<(const Address &a, const Address &b)
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

// Parses an address such as "127.0.0.1:7000" or "[::1]:7000". Errors: SettingsInvalid.
Result<Address> parseAddress(std::string_view text);

// Whether connections are authenticated and encrypted by pre-shared keys.
enum class Protection : std::uint8_t { PreSharedKeys, None };

// Identity and pre-shared keys of this process. An empty key disables the role that it belongs to.
struct Credentials
{
    Role role = Role::Vm;
    std::string name;
    std::string vmKey;
    std::string operatorKey;
    // With None, callers are not authenticated and all of them have Role::Vm.
    Protection protection = Protection::PreSharedKeys;
};

// Reads a key file, which holds 64 lower-case hexadecimal digits. Errors: SettingsInvalid.
Result<std::string> readKeyFile(const std::string &path);

// The authenticated client of a connection.
struct Caller
{
    Role role = Role::Vm;
    std::string name;
};

using Reply = std::variant<std::string, Failure>;
using Responder = std::function<void(Reply)>;
using Handler = std::function<void(const Caller &, std::string body, Responder)>;

// Process-wide counters of messages, bytes and calls.
struct TrafficCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::map<Method, std::uint64_t> callsByMethod;
};

// Returns the counters of this process.
const TrafficCounters &trafficCounters();

class Server
{
public:
    Server(event_base *base, Credentials credentials);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    // Binds and listens. Errors: SettingsInvalid if the address cannot be bound.
    Result<void> listen(const Address &address);

    // Registers `handler` for `method`. Only callers of exactly `role` may call the method; others
    // receive PeerUnauthorized.
    void registerHandler(Method method, Role role, Handler handler);

    // Runs the handler of `method` for a call from this process, without a connection or a role
    // check.
    void callLocal(Method method, std::string body, Responder respond);

    // Returns the bytes of responses that the connections have not taken yet.
    std::size_t unsentBytes() const;

    // Returns the number of open connections.
    std::size_t connectionCount() const;

    // Registers a handler that takes a parsed message and returns an encoded one. A body that
    // cannot be parsed is rejected with PeerProtocol.
    template <class Request>
    void registerParsedHandler(
        Method method, Role role,
        std::function<void(const Caller &, const Request &, const Responder &)> handler)
    {
        registerHandler(
            method, role,
            [handler](const Caller &caller, const std::string &body, const Responder &respond) {
                Request request;
                if (!request.ParseFromString(body)) {
                    respond(Failure { ResultCode::PeerProtocol,
                                      "request body is not a valid message" });
                    return;
                }
                handler(caller, request, respond);
            });
    }

    // Like registerParsedHandler(), with a handler that returns a message too.
    template <class Request, class Response>
    void
    registerTypedHandler(Method method, Role role,
                         std::function<void(const Caller &, const Request &,
                                            std::function<void(std::variant<Response, Failure>)>)>
                             handler)
    {
        registerParsedHandler<Request>(
            method, role,
            [handler](const Caller &caller, const Request &request, const Responder &respond) {
                handler(caller, request, [respond](const std::variant<Response, Failure> &reply) {
                    if (auto *failure = std::get_if<Failure>(&reply)) {
                        respond(*failure);
                        return;
                    }
                    respond(std::get<Response>(reply).SerializeAsString());
                });
            });
    }

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

template <class Message> using CallResult = std::variant<Message, Failure>;

// Keeps one connection to each called process. A connection is opened on demand and closed when its
// peer becomes unresponsive.
class ClientPool
{
public:
    using Callback = std::function<void(Reply)>;

    ClientPool(event_base *base, TimerService &timers, Credentials credentials);
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;
    ~ClientPool();

    // Routes calls to `address` to `server` in this process, without a connection.
    void setLocalServer(const Address &address, Server &server);

    // Returns the time since `start` during which this process was able to receive messages.
    Duration listenedSince(Instant start) const;

    // Returns how long calls to `address` have been pending without any data received from it while
    // this process was able to receive some; zero if no call is pending. The pool sends HTTP/2
    // pings meanwhile, so a slow handler alone does not make a process unresponsive.
    Duration unresponsiveTime(const Address &address) const;

    // Calls `method` at `address` with a serialized request. `callback` runs exactly once, never
    // from within this function.
    void callRaw(const Address &address, Method method, std::string body, Duration timeout,
                 Callback callback);

    // Like callRaw(), with parsed messages.
    template <class Message>
    void call(const Address &address, Method method, const google::protobuf::MessageLite &request,
              Duration timeout, std::function<void(CallResult<Message>)> callback)
    {
        callRaw(address, method, request.SerializeAsString(), timeout, [callback](Reply reply) {
            if (auto *failure = std::get_if<Failure>(&reply)) {
                callback(*failure);
                return;
            }
            Message message;
            if (!message.ParseFromString(std::get<std::string>(reply))) {
                callback(Failure { ResultCode::PeerProtocol, "reply body is not a valid message" });
                return;
            }
            callback(std::move(message));
        });
    }

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::peer

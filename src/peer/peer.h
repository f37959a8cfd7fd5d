// The inner protocol: Protocol Buffers over nghttp2 streams between daisyhaven's own processes,
// mutually authenticated by pre-shared keys over TLS 1.2 (ECDHE-PSK), or without protection where a
// deployment hands out no keys.
//
// A call is one HTTP/2 stream: POST /v1/<method>, the request message as body, the reply message
// or a Failure as answer. The version stands in the path, so that processes of two versions can
// work side by side; an unknown version is refused with PeerProtocol. Bodies above
// MaxMessageBytes are refused.
//
// Example:
//     Server server(base, credentials);
//     server.handle(Method::Pulse, Role::Vm, [&](const Caller &, std::string body, Responder r) {
//         r(reply.SerializeAsString());
//     });
//     ClientPool clients(base, timers, credentials);
//     clients.call<wire::PulseReply>(address, Method::Pulse, request, Milliseconds(500),
//                                    [](CallResult<wire::PulseReply> result) { ... });
//
// Errors: PeerTimeout (no answer in time; the call may have been carried out), PeerUnreachable
// (not sent), PeerProtocol, PeerUnauthorized, or the Failure of the handler.
//
// Thread safety: all objects belong to the thread of their event loop.
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
    Pulse,
    Hold,
    Configuration,
    Announce,
    Acquire,
    Release,
    Gather,
    Summary,
    Tokens,
    LedgerStart,
    LedgerFinish,
    LedgerStore,
    LedgerCopy,
    Consensus,
    Write,
    Status,
    AddControl,
    Summaries,
    FleetView,
    AcquireSlot,
    ReleaseSlot,
    Join,
};

// Returns the name of `method` in paths, logs and metrics.
const char *methodName(Method method);

// An IP address and TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
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

// Parses "127.0.0.1:7000" or "[::1]:7000". Errors: SettingsInvalid.
Result<Address> parseAddress(std::string_view text);

// Whether connections are authenticated and encrypted by pre-shared keys.
enum class Protection : std::uint8_t { PreSharedKeys, None };

// Identity and keys of this process. An empty key disables the role.
struct Credentials
{
    Role role = Role::Vm;
    std::string name;
    std::string vmKey;
    std::string operatorKey;
    // With None, every caller counts as a VM.
    Protection protection = Protection::PreSharedKeys;
};

// Reads a key file: 64 hexadecimal digits. Errors: SettingsInvalid.
Result<std::string> readKeyFile(const std::string &path);

// The authenticated other end of a connection.
struct Caller
{
    Role role = Role::Vm;
    std::string name;
};

using Reply = std::variant<std::string, Failure>;
using Responder = std::function<void(Reply)>;
using Handler = std::function<void(const Caller &, std::string body, Responder)>;

// Counts of messages and bytes of this process, for reports.
struct Traffic
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::map<Method, std::uint64_t> callsByMethod;
};

const Traffic &traffic();

class Server
{
public:
    Server(event_base *base, Credentials credentials);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    // Binds and listens. Errors: SettingsInvalid if the address cannot be bound.
    Result<void> listen(const Address &address);

    // Serves `method` for callers of `role`; callers of role Vm may not use operator methods and
    // the other way round.
    void handle(Method method, Role role, Handler handler);

    // Serves a call of this process itself.
    void callLocal(Method method, std::string body, Responder respond);

    // Serves `method` with typed messages.
    template <class Request, class Response>
    void handleTyped(Method method, Role role,
                     std::function<void(const Caller &, const Request &,
                                        std::function<void(std::variant<Response, Failure>)>)>
                         handler)
    {
        handle(method, role,
               [handler](const Caller &caller, const std::string &body, const Responder &respond) {
                   Request request;
                   if (!request.ParseFromString(body)) {
                       respond(Failure { ResultCode::PeerProtocol, "unreadable message" });
                       return;
                   }
                   handler(caller, request,
                           [respond](const std::variant<Response, Failure> &reply) {
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

// One connection to each process called, opened when needed and closed when silent.
class ClientPool
{
public:
    using Callback = std::function<void(Reply)>;

    ClientPool(event_base *base, TimerService &timers, Credentials credentials);
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;
    ~ClientPool();

    // Calls to `address` go to `server` of this same process, without a connection.
    void setLocal(const Address &address, Server &server);

    // Returns how long the process at `address` has owed an answer without sending anything; zero
    // if it owes none. It is probed meanwhile.
    Duration silence(const Address &address) const;

    // Calls `method` at `address`. `callback` runs once, never from inside this function.
    void callRaw(const Address &address, Method method, std::string body, Duration timeout,
                 Callback callback);

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
                callback(Failure { ResultCode::PeerProtocol, "unreadable message" });
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

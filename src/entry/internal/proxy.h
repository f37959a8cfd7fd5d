// Accepts callers' connections and processes each request: admission, slot acquisition, forwarding
// to a backend server, response.
#pragma once

#include "entry/internal/backendconnectionpool.h"
#include "entry/internal/context.h"
#include "entry/internal/dispatchclient.h"
#include "entry/internal/ledgertask.h"
#include "entry/internal/quotatask.h"
#include "http/http.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace daisyhaven::entry {

struct ProxyDependencies
{
    Context &context;
    DispatchClient &dispatch;
    QuotaTask &quota;
    LedgerTask &ledger;
    BackendConnectionPool &connectionPool;
};

class CallerSession;

class Proxy
{
public:
    explicit Proxy(ProxyDependencies dependencies);
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;
    ~Proxy();

    // Errors: SettingsInvalid if the callers' address cannot be bound.
    Result<void> listen();
    // Rejects new requests from now on. `finished` runs once all active requests are complete.
    void startDrain(std::function<void()> finished);
    bool isDraining() const { return draining_; }
    // Ends the requests that no backend server works on.
    void endWaitingRequests();
    // Ends all requests. Connections close once their callers have the responses.
    void endAllRequests();
    std::size_t activeRequestCount() const;
    // Runs the drain callback if a drain is in progress and no request is active.
    void finishDrainIfIdle();

private:
    friend class CallerSession;

    void accept(int socket);
    std::vector<std::shared_ptr<CallerSession>> openSessions() const;
    void removeSession(std::uint64_t sessionId);

    ProxyDependencies dependencies_;
    bool draining_ = false;
    std::function<void()> drainCallback_;
    std::uint64_t lastSessionId_ = 0;
    std::map<std::uint64_t, std::shared_ptr<CallerSession>> sessions_;
    std::unique_ptr<http::Listener> listener_;
};

} // namespace daisyhaven::entry

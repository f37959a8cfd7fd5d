// Obtains slots from the leader, or picks servers locally while there is no leader.
#pragma once

#include "coordination/coordination.h"
#include "gateway/internal/leaderwait.h"
#include "gateway/internal/limitshares.h"
#include "gateway/internal/serverrestrictions.h"
#include "observe/observe.h"
#include "scheduler/scheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace daisyhaven::gateway {

struct Slot
{
    std::string server;
    std::string address;
    std::uint64_t number = 0;
    // Term of the leader that granted the slot; 0: picked locally by this VM.
    std::uint64_t epoch = 0;
    // Start time of the server's process in Unix milliseconds.
    std::uint64_t serverStartTimeMs = 0;

    bool isLocal() const { return epoch == 0; }
};

struct SlotRejection
{
    ResultCode code = ResultCode::NoBackendServer;
    Duration retryAfter { 0 };
    std::string reason;
};

using SlotResult = std::variant<Slot, SlotRejection>;

// Returns whether the network, and so this VM's own links, may have caused the outcome.
bool isNetworkFailure(scheduler::Outcome outcome);

class SlotClient
{
public:
    using Callback = std::function<void(const SlotResult &)>;

    SlotClient(TimerService &timers, coordination::LeaderClient &leader, Metrics &metrics,
               std::string vm, std::uint64_t incarnation,
               const scheduler::RateTolerance &rateTolerance);

    // Requests a slot and sets `slotRequest.key`. Returns the id of the request. `callback` runs
    // once unless the request is cancelled.
    std::uint64_t requestSlot(scheduler::SlotRequest slotRequest, Callback callback);
    void cancel(std::uint64_t slotRequestId);
    // `statement` is what the server said of itself, if it responded.
    void release(const Slot &slot, scheduler::Outcome outcome, Duration latency,
                 const std::optional<scheduler::ServerStatement> &statement = std::nullopt);
    // Records what the server said as soon as its response begins.
    void recordStatement(const Slot &slot, const scheduler::ServerStatement &statement);

    // Number of slots in use by server that the leader of `epoch` did not grant.
    std::map<std::string, std::uint32_t> slotsHeldOutsideEpoch(std::uint64_t epoch) const;
    // Requests by team that this VM admitted without a leader in the rate window, in excess of the
    // usual count, and that are not reported to a leader yet. Removes admissions older than the
    // window.
    std::map<std::string, std::uint32_t> unreportedLocalAdmissions();
    void markAdmissionsReported(const std::map<std::string, std::uint32_t> &admissions);
    // Returns the server as listed in the last view, or nullptr.
    const scheduler::ServerInfo *findServer(const std::string &id) const;
    // Returns the members of `servers` that belong to `service`.
    std::set<std::string> filterByService(const std::set<std::string> &servers,
                                          const std::string &service) const;
    // Returns the servers of `service` in path backoff, or an empty set if that is most of them.
    // Removes expired backoff entries.
    std::set<std::string> unreachableServers(const std::string &service);

private:
    struct PendingRequest
    {
        scheduler::SlotRequest slotRequest;
        Callback callback;
        WaitingRequest waiting;
        // The request was sent to the current leader.
        bool sentToLeader = false;
    };

    // Backoff after the network path to a server failed.
    struct PathBackoff
    {
        Instant until;
        Duration delay { 0 };
    };

    bool isLeaderResponsive() const;
    void recordPathFailure(Instant now, const std::string &server);
    std::size_t serverCount(const std::string &service) const;
    // Returns a zero Instant if no message from a leader was ever received.
    Instant lastLeaderContactAt() const;
    void processPending(std::uint64_t slotRequestId);
    void sendToLeader(std::uint64_t slotRequestId);
    std::optional<Instant> blockedUntil(const std::string &service) const;
    std::set<std::string> blockedServers(const std::string &service) const;
    bool isBlocked(const Slot &slot) const;
    void rejectBlocked(std::uint64_t slotRequestId, Instant blockedUntil);
    void requestOtherServer(std::uint64_t slotRequestId, const Slot &blocked);
    std::map<std::string, std::uint32_t> slotsInUseByServer() const;
    const scheduler::KnownServer *pickServer(scheduler::SlotRequest request);
    void onLeaderResponse(std::uint64_t slotRequestId,
                          const std::variant<wire::SlotAnswer, Failure> &result);
    void onSlotGranted(std::uint64_t slotRequestId, const wire::SlotAnswer &response);
    void sendCancellation(std::uint64_t slotRequestId);
    void pickLocally(std::uint64_t slotRequestId, const std::string &cause);
    SlotResult grantLocally(const scheduler::SlotRequest &slotRequest);
    void complete(std::uint64_t slotRequestId, const SlotResult &result);
    void checkPendingRequests();
    void recordSlotUse(const Slot &slot);

    TimerService &timers_;
    coordination::LeaderClient &leader_;
    Metrics &metrics_;
    std::string vm_;
    std::uint64_t incarnation_;
    scheduler::RateTolerance rateTolerance_;
    scheduler::LocalLoadBalancer chooser_;
    ServerRestrictions restrictions_;
    LimitShares limitShares_;
    std::uint64_t lastSlotRequestId_ = 0;
    std::map<std::uint64_t, PendingRequest> pending_;
    // Number of slots in use by epoch and server.
    std::map<std::uint64_t, std::map<std::string, std::uint32_t>> slotsInUse_;
    std::map<std::string, std::deque<Instant>> localAdmissions_;
    std::map<std::string, PathBackoff> pathBackoffs_;
    TimerHandle pendingCheckTimer_;
};

} // namespace daisyhaven::gateway

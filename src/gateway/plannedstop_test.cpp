// A VM that is told to stop gives every request that it holds a response before its process ends.
#include "shutdown/shutdown.h"
#include "testing/gatewayfleet.h"

#include <gtest/gtest.h>

#include <random>

namespace daisyhaven::gateway {
namespace {

constexpr Milliseconds GracePeriod { 1200 };
constexpr Milliseconds LongDeadline { 10000 };
constexpr std::size_t UploadBytes = 90UL * 1024;

class PlannedStopFleet : public GatewayFleet
{
protected:
    // A caller with one request. Its response counts only if it is complete.
    struct Caller
    {
        std::unique_ptr<http::ClientConnection> connection;
        std::string path;
        int status = 0;
        bool complete = false;
        Instant startedAt;
        Instant endedAt;
    };

    PlannedStopFleet() { gracePeriod_ = GracePeriod; }

    static http::Headers requestHeaders()
    {
        http::Headers headers;
        headers.add("Host", "shop.example");
        headers.add("request-id", RequestId);
        headers.add("deadline-ms", std::to_string(LongDeadline.count()));
        return headers;
    }

    Caller &addCaller(const std::string &path)
    {
        callers_.push_back(std::make_unique<Caller>());
        Caller &caller = *callers_.back();
        caller.path = path;
        caller.startedAt = timers_.now();
        caller.connection =
            std::make_unique<http::ClientConnection>(base_.get(), localAddress(CallersA));
        http::ClientConnection::Callbacks callbacks;
        callbacks.head = [&caller](const http::ResponseHead &head) { caller.status = head.status; };
        callbacks.body = [](std::string_view) {};
        callbacks.end = [this, &caller](bool) {
            caller.complete = true;
            caller.endedAt = timers_.now();
        };
        callbacks.closed = [] {};
        callbacks.invalidMessage = [](const Failure &) {};
        caller.connection->setCallbacks(callbacks);
        return caller;
    }

    // `wholeBody`: false leaves the end of the body out.
    Caller &sendRequest(const std::string &path, std::size_t bodyBytes = 4, bool wholeBody = true)
    {
        Caller &caller = addCaller(path);
        caller.connection->sendHead("POST", path, requestHeaders(), http::Framing::Chunked, 0);
        caller.connection->sendBody(std::string(bodyBytes, 'x'));
        if (wholeBody) {
            caller.connection->endRequest();
        }
        return caller;
    }

    void runFor(Duration duration)
    {
        const Instant end = timers_.now() + duration;
        runUntil([&] { return timers_.now() >= end; }, duration + Seconds(1));
    }

    void stop(Vm &vm)
    {
        schedule_ = makeShutdownSchedule(timers_.now(), GracePeriod, GracePeriod);
        vm.gateway->drain([this] { exited_ = true; });
    }

    std::vector<std::unique_ptr<Caller>> callers_;
    ShutdownSchedule schedule_;
    bool exited_ = false;
};

// Where the signal finds the request.
enum class HeldAt : std::uint8_t {
    Slot,
    Body,
    Configuration,
    Retry,
    ServerThatEnds,
    ServerThatHangs,
    RelayThatStops,
    RelayThatHangs,
};

struct StopCase
{
    const char *name;
    HeldAt heldAt;
    const char *path;
    std::size_t bodyBytes;
    int status;
    int runs;
    // The response comes once no request is sent to servers any more; otherwise once responses are
    // no longer awaited.
    bool endsWithWaiting;
};

const StopCase StopCases[] = {
    { "orderForASlot", HeldAt::Slot, "/write/1", 4, 503, 0, true },
    { "readForASlot", HeldAt::Slot, "/read/1", 4, 503, 0, true },
    { "uploadForASlot", HeldAt::Slot, "/write/1", UploadBytes, 503, 0, true },
    { "orderForTheRestOfItsBody", HeldAt::Body, "/write/1", 4, 503, 0, true },
    { "orderForAConfiguration", HeldAt::Configuration, "/write/1", 4, 503, 0, true },
    { "readForASlotOfItsRetry", HeldAt::Retry, "/read/1", 4, 500, 1, true },
    { "orderForAServerThatEnds", HeldAt::ServerThatEnds, "/write/1", 4, 200, 1, false },
    { "orderForAServerThatHangs", HeldAt::ServerThatHangs, "/write/1", 4, 504, 1, false },
    { "orderForASlotOfARelayThatStops", HeldAt::RelayThatStops, "/write/1", 4, 503, 0, true },
    { "orderForARelayThatHangs", HeldAt::RelayThatHangs, "/write/1", 4, 504, 1, false },
};

class PlannedStopTest : public PlannedStopFleet, public ::testing::WithParamInterface<StopCase>
{
protected:
    void startFor(HeldAt heldAt)
    {
        const std::vector<peer::Address> servers(4, localAddress(Backend));
        if (heldAt == HeldAt::Configuration) {
            vm_ = startVm(LeaderA, CallersA, PeersA, RelayA, servers, {});
            return;
        }
        const bool usesRelay = heldAt == HeldAt::RelayThatStops || heldAt == HeldAt::RelayThatHangs;
        startSendingVm(servers, usesRelay);
        LeaderStandIn &leader = *(usesRelay ? relay_ : vm_).leader;
        if (heldAt == HeldAt::Slot || heldAt == HeldAt::RelayThatStops) {
            leader.setSlots(0);
        }
        if (heldAt == HeldAt::Retry) {
            serveRequest_ = [&leader](const http::ApiRequest &, const auto &respond) {
                leader.setSlots(0);
                http::ApiResponse response = makeBackendResponse();
                response.status = 500;
                respond(response);
            };
        } else if (heldAt == HeldAt::ServerThatEnds) {
            serveRequest_ = [this](const http::ApiRequest &, const auto &respond) {
                delays_.push_back(timers_.runAfter(GracePeriod * 2 / 3,
                                                   [respond] { respond(makeBackendResponse()); }));
            };
        } else {
            backendResponds_ = false;
        }
    }

    std::vector<TimerHandle> delays_;
};

// Guards against the end of the process cutting off requests that wait for anything when the signal
// comes: their callers got neither an answer nor a refusal.
TEST_P(PlannedStopTest, EndsEachRequestBeforeTheProcess)
{
    const StopCase &testCase = GetParam();
    startFor(testCase.heldAt);
    if (testCase.heldAt == HeldAt::Configuration) {
        vm_.leader.reset();
    }
    const Caller &caller =
        sendRequest(testCase.path, testCase.bodyBytes, testCase.heldAt != HeldAt::Body);
    runFor(Milliseconds(200));
    ASSERT_FALSE(caller.complete);
    stop(testCase.heldAt == HeldAt::RelayThatStops ? relay_ : vm_);
    ASSERT_TRUE(runUntil([&] { return exited_ || caller.complete; }));
    EXPECT_TRUE(caller.complete);
    EXPECT_EQ(caller.status, testCase.status);
    EXPECT_EQ(runs_, testCase.runs);
    const Instant endsBy = testCase.endsWithWaiting ? schedule_.sendUntil : schedule_.respondUntil;
    EXPECT_LT(caller.endedAt, endsBy + Milliseconds(100));
}

INSTANTIATE_TEST_SUITE_P(Stages, PlannedStopTest, ::testing::ValuesIn(StopCases),
                         [](const auto &info) { return std::string(info.param.name); });

class DrawnPlannedStop : public PlannedStopFleet, public ::testing::WithParamInterface<unsigned>
{
};

// Guards against a kind of wait, or a moment between two of them, that a planned stop forgets.
TEST_P(DrawnPlannedStop, AnswersAllThatItHasRead)
{
    constexpr int RequestCount = 24;
    std::mt19937 random(GetParam());
    const auto draw = [&](int from, int to) {
        return Milliseconds(std::uniform_int_distribution<int>(from, to)(random));
    };
    std::vector<TimerHandle> timers;
    serveRequest_ = [&](const http::ApiRequest &, const auto &respond) {
        const bool fails = draw(0, 9) == Milliseconds(0);
        timers.push_back(timers_.runAfter(draw(1, 400), [respond, fails] {
            http::ApiResponse response = makeBackendResponse();
            response.status = fails ? 500 : 200;
            respond(response);
        }));
    };
    startSendingVm(std::vector<peer::Address>(4, localAddress(Backend)), false);
    vm_.leader->setSlots(2);
    for (int i = 0; i < RequestCount; ++i) {
        const std::string path = (i % 2 == 0 ? "/write/" : "/read/") + std::to_string(i);
        const std::size_t bodyBytes = i % 5 == 0 ? UploadBytes : 4;
        timers.push_back(timers_.runAfter(
            draw(0, 900), [this, path, bodyBytes] { sendRequest(path, bodyBytes); }));
    }
    runFor(draw(50, 500));
    stop(vm_);
    ASSERT_TRUE(runUntil([&] { return exited_; }));
    for (const auto &caller : callers_) {
        const int runs = runsByPath_[caller->path];
        // A connection that comes as the listener closes may not be accepted any more.
        const bool isAccepted = caller->startedAt + Milliseconds(50) < schedule_.acceptUntil;
        const bool mustBeAnswered = isAccepted || runs > 0;
        EXPECT_TRUE(caller->complete || !mustBeAnswered) << caller->path << " runs " << runs;
        EXPECT_FALSE(caller->status == 503 && runs > 0) << caller->path << " ran";
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DrawnPlannedStop, ::testing::Range(1U, 7U));

class LateRequest : public PlannedStopFleet
{
};

// Guards against a request that runs and ends with the process: it came on a connection whose
// earlier response began before the signal and so did not close it.
TEST_F(LateRequest, OnAKeptConnectionIsRefused)
{
    startSendingVm(std::vector<peer::Address>(4, localAddress(Backend)), false);
    backendResponds_ = false;
    Caller &caller = sendRequest("/write/1");
    ASSERT_TRUE(runUntil([&] { return unanswered_.size() == 1; }));
    // The response begins before the signal and ends after the last request was sent to a server.
    http::ApiResponse large = makeBackendResponse();
    large.body.assign(8UL * 1024 * 1024, 'x');
    caller.connection->pauseReading();
    unanswered_.front()(large);
    runFor(Milliseconds(200));
    stop(vm_);
    runFor(schedule_.sendUntil - timers_.now() + Milliseconds(50));
    ASSERT_FALSE(caller.complete);
    caller.connection->resumeReading();
    ASSERT_TRUE(runUntil([&] { return caller.complete; }, Milliseconds(400)));
    EXPECT_EQ(caller.status, 200);
    caller.complete = false;
    caller.connection->sendHead("POST", "/write/2", requestHeaders(), http::Framing::Length, 4);
    caller.connection->sendBody("late");
    caller.connection->endRequest();
    ASSERT_TRUE(runUntil([&] { return exited_ || caller.complete; }));
    EXPECT_TRUE(caller.complete);
    EXPECT_EQ(caller.status, 503);
    EXPECT_EQ(runs_, 1);
}

} // namespace
} // namespace daisyhaven::gateway

// The end of an exchange: rejections, logs, metrics and the release of its state.
#include "gateway/internal/exchange.h"

#include <array>
#include <cstdio>

namespace daisyhaven::gateway {

namespace {

constexpr Milliseconds RetryAfterMemoryShort { 500 };

// Formats seconds with three decimals: the Retry-After header of this gateway may hold fractions.
std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace

const char *stageName(Exchange::Stage stage)
{
    switch (stage) {
    case Exchange::Stage::ReadingBody:
        return "reading-body";
    case Exchange::Stage::AwaitingSlot:
        return "awaiting-slot";
    case Exchange::Stage::CallingBackend:
        return "calling-backend";
    case Exchange::Stage::AwaitingVerdict:
        return "awaiting-verdict";
    case Exchange::Stage::Done:
        return "done";
    }
    return "unknown";
}

void Exchange::reject(ResultCode cause, const std::string &detail, Duration retryAfter)
{
    const ResultCode code = consistentWith(executionStatus(), cause);
    const ResultInfo &info = resultInfo(code);
    http::Headers headers;
    headers.add("X-Daisyhaven-Result", std::to_string(static_cast<int>(code)));
    const bool notRunStatus = promisesNotExecuted(info.httpStatus);
    if (isRelayed()) {
        headers.add(context_.options.headers.requestId, requestId_);
    }
    if (notRunStatus && retryAfter.count() > 0) {
        headers.add("Retry-After", formatSeconds(retryAfter));
    }
    logOutcome(notRunStatus ? "refused" : "failed", code, detail);
    releaseSlot(scheduler::Outcome::Cancelled);
    if (sink_ != nullptr) {
        const std::string text = std::string(info.name) + "\n";
        sink_->sendHead(info.httpStatus, headers, http::Framing::Length, text.size());
        sink_->sendBody(head_.method == "HEAD" ? std::string_view() : std::string_view(text));
    }
    context_.metrics.addToCounter("daisyhaven_refused_total", { { "cause", info.name } });
    responded_ = true;
    recordMetrics(info.httpStatus);
    finish();
}

bool Exchange::refuseForMemory()
{
    const bool waits = stage_ == Stage::ReadingBody || stage_ == Stage::AwaitingSlot;
    if (!waits || mayHaveRun() || responseStarted_) {
        return false;
    }
    cancelSlotRequest();
    reject(ResultCode::MemoryShort, "clients hold the memory of this VM", RetryAfterMemoryShort);
    return true;
}

void Exchange::refuseAtShutdown(std::function<void()> finished)
{
    finished_ = std::move(finished);
    endForShutdown();
}

void Exchange::endIfWaiting()
{
    if (stage_ != Stage::CallingBackend) {
        endForShutdown();
    }
}

void Exchange::endForShutdown()
{
    if (stage_ == Stage::Done) {
        return;
    }
    recordEndedByShutdown();
    if (isRelayed() && !mayHaveRun() && !earlierResponse_) {
        cancelSlotRequest();
        releaseSlot(scheduler::Outcome::Cancelled);
        refuseAsRelay("this VM is stopping");
        return;
    }
    endEarly(mayHaveRun() ? ResultCode::VmStopped : ResultCode::Draining, "this VM is stopping");
}

void Exchange::endEarly(ResultCode cause, const std::string &detail)
{
    cancelSlotRequest();
    releaseSlot(scheduler::Outcome::Cancelled);
    if (responseStarted_) {
        abortResponse(cause, detail);
        return;
    }
    respondWithFailure(cause, detail);
}

void Exchange::logOutcome(const char *what, ResultCode code, const std::string &detail) const
{
    const auto &view = context_.leader.view();
    const ResultInfo &info = resultInfo(code);
    const bool notRun = info.executionStatus == ExecutionStatus::NotExecuted && !mayHaveRun();
    logEvent(notRun ? Event::RequestRefused : Event::RequestFailed,
             { { "request", requestId_ },
               { "what", what },
               { "result", info.name },
               { "detail", detail },
               { "route", route_ == nullptr ? "" : route_->name },
               { "service", service_ },
               { "server", lastServer_ },
               { "team", team_ == nullptr ? "" : team_->name },
               { "sends", sentAttempts_ },
               { "unsentTries", unsentAttempts_ },
               { "ageMs", (context_.now() - startedAt_).count() / 1000 },
               { "msLeft", (deadline_ - context_.now()).count() / 1000 },
               { "leader", context_.leader.hasLeader() ? "yes" : "no" },
               { "epoch", view.epoch },
               { "viewSequence", view.sequence },
               { "version", coordination::versionText(view.configurationVersion) } });
}

void Exchange::recordEndedByShutdown() const
{
    const Duration sinceSignal = context_.now() - context_.shutdown->signalledAt;
    logEvent(Event::RequestEndedByShutdown,
             { { "request", requestId_ },
               { "stage", stageName(stage_) },
               { "mayHaveRun", mayHaveRun() ? "yes" : "no" },
               { "responseStarted", responseStarted_ ? "yes" : "no" },
               { "relayed", isRelayed() ? "yes" : "no" },
               { "service", service_ },
               { "server", lastServer_ },
               { "ageMs", (context_.now() - startedAt_).count() / 1000 },
               { "sinceSignalMs", sinceSignal.count() / 1000 } });
    context_.metrics.addToCounter("daisyhaven_requests_ended_by_shutdown_total",
                                  { { "stage", stageName(stage_) } });
}

void Exchange::logIfLate() const
{
    const Duration age = context_.now() - startedAt_;
    if (age <= Duration(route_->targetLatency)) {
        return;
    }
    logEvent(Event::RequestLate,
             { { "request", requestId_ },
               { "route", route_->name },
               { "service", service_ },
               { "server", lastServer_ },
               { "ageMs", age.count() / 1000 },
               { "targetMs", route_->targetLatency.count() },
               { "serverMs", backendTime_.count() / 1000 },
               { "sends", sentAttempts_ },
               { "unsentTries", unsentAttempts_ } });
}

void Exchange::recordMetrics(int status) const
{
    context_.metrics.addToCounter("daisyhaven_requests_total",
                                  { { "route", route_ == nullptr ? "" : route_->name },
                                    { "status", std::to_string(status) } });
    context_.metrics.observe(
        "daisyhaven_request_seconds",
        { { "kind",
            route_ != nullptr && routing::isIdempotent(route_->kind) ? "idempotent" : "other" } },
        std::chrono::duration<double>(context_.now() - startedAt_).count());
}

void Exchange::finish()
{
    stage_ = Stage::Done;
    deadlineTimer_ = TimerHandle();
    releaseSlot(scheduler::Outcome::Cancelled);
    body_.release();
    const auto finished = std::move(finished_);
    finished_ = nullptr;
    http::ResponseSink *sink = sink_;
    sink_ = nullptr;
    const auto self = shared_from_this();
    if (finished) {
        finished();
    }
    if (sink != nullptr && responded_) {
        sink->endResponse();
    }
}

} // namespace daisyhaven::gateway

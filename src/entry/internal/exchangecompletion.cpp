// Completes an exchange: local error responses, the ledger record, the trace and metrics.
#include "entry/internal/exchange.h"
#include "text/text.h"

#include <nlohmann/json.hpp>

namespace daisyhaven::entry {

namespace {

const char *runStatementName(ExecutionStatus statement)
{
    return statement == ExecutionStatus::NotExecuted ? "not-run" : "may-have-run";
}

} // namespace

void Exchange::reject(ResultCode code, const std::string &detail)
{
    reject(code, detail, Duration(0));
}

void Exchange::reject(ResultCode cause, const std::string &detail, Duration retryAfter)
{
    const ExecutionStatus executed =
        mayHaveRun_ ? ExecutionStatus::MayHaveExecuted : ExecutionStatus::NotExecuted;
    const ResultCode code = consistentWith(executed, cause);
    const ResultInfo &info = resultInfo(code);
    resultCode_ = code;
    const nlohmann::json document {
        { "code", static_cast<int>(code) },
        { "name", info.name },
        { "run", runStatementName(info.executionStatus) },
        { "detail", detail },
        { "requestId", requestId_ },
    };
    const std::string text = toJsonText(document) + "\n";
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    headers.add("X-Daisyhaven-Result", std::to_string(static_cast<int>(code)));
    headers.add("X-Daisyhaven-Run", runStatementName(info.executionStatus));
    if (code == cause && retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<Seconds>(retryAfter).count();
        headers.add("Retry-After", std::to_string(seconds));
    }
    if (sink_ != nullptr) {
        const std::string_view body = requestHead_.method == "HEAD" ? std::string_view() : text;
        sink_->sendHead(info.httpStatus, headers, http::Framing::Length, text.size());
        sink_->sendBody(body);
    }
    dependencies_.context.metrics.addToCounter(
        "daisyhaven_refused_total", { { "cause", info.name }, { "team", admission_.teamName() } });
    const bool isLogged = static_cast<int>(code) >= 300;
    if (isLogged) {
        logEvent(Event::RequestFailed,
                 { { "request", requestId_ }, { "result", info.name }, { "server", detail } });
    }
    recordResponseMetrics(info.httpStatus);
    responded_ = true;
    finish();
}

void Exchange::endIfWaiting()
{
    if (stage_ != Stage::Forwarding) {
        endForShutdown();
    }
}

void Exchange::endForShutdown()
{
    if (stage_ == Stage::Done) {
        return;
    }
    const Instant signalledAt = dependencies_.context.shutdown->signalledAt;
    logEvent(
        Event::RequestEndedByShutdown,
        { { "request", requestId_ },
          { "stage", stageName() },
          { "mayHaveRun", mayHaveRun_ || (attempt_ && attempt_->mayHaveSent()) ? "yes" : "no" },
          { "responseStarted", responseStarted_ ? "yes" : "no" },
          { "ageMs", (now() - startedAt_).count() / 1000 },
          { "sinceSignalMs", (now() - signalledAt).count() / 1000 } });
    dependencies_.context.metrics.addToCounter("daisyhaven_requests_ended_by_shutdown_total",
                                               { { "stage", stageName() } });
    endEarly({ ResultCode::Draining, ResultCode::VmStopped, health::Outcome::Cancelled });
}

const char *Exchange::stageName() const
{
    switch (stage_) {
    case Stage::ReadingBody:
        return "reading-body";
    case Stage::AcquiringToken:
        return "acquiring-token";
    case Stage::RecordingStart:
        return "recording-start";
    case Stage::AcquiringSlot:
        return "acquiring-slot";
    case Stage::Forwarding:
        return "forwarding";
    case Stage::Done:
        return "done";
    }
    return "unknown";
}

void Exchange::recordLedgerFinish()
{
    if (!ledgerStarted_) {
        return;
    }
    ledgerStarted_ = false;
    dependencies_.ledger.recordFinish(ledgerKey_, ledgerAttemptId_, ledgerState_,
                                      std::move(ledgerResponse_));
}

void Exchange::finish()
{
    stage_ = Stage::Done;
    deadlineTimer_ = TimerHandle();
    recordLedgerFinish();
    attempt_.reset();
    bodyBuffer_.clear();
    bodyBuffer_.shrink_to_fit();
    Span span;
    span.context = trace_;
    span.parentSpanId = parentSpanId_;
    span.name = "entry " + requestHead_.method;
    span.startMicroseconds = startTimeMicroseconds_;
    span.endMicroseconds = wallClockMicroseconds();
    span.failed = resultCode_ != ResultCode::Ok;
    span.attributes = { { "http.route", admission_.route.path },
                        { "team", admission_.teamName() },
                        { "vm", dependencies_.context.fleet.vmId() },
                        { "result", resultInfo(resultCode_).name } };
    dependencies_.context.traces.write(span);
    const auto finished = std::move(finishedCallback_);
    finishedCallback_ = nullptr;
    http::ResponseSink *sink = sink_;
    sink_ = nullptr;
    if (finished) {
        finished();
    }
    if (sink != nullptr && responded_) {
        sink->endResponse();
    }
}

void Exchange::startSpan(const std::string &name)
{
    spanContext_ = newChildSpan(trace_);
    openSpan_ = { name, wallClockMicroseconds() };
}

void Exchange::endSpan(bool failed)
{
    if (openSpan_.name.empty()) {
        return;
    }
    Span span;
    span.context = spanContext_;
    span.parentSpanId = trace_.spanId;
    span.name = openSpan_.name;
    span.startMicroseconds = openSpan_.startedAt;
    span.endMicroseconds = wallClockMicroseconds();
    span.failed = failed;
    dependencies_.context.traces.write(span);
    openSpan_ = OpenSpan {};
}

void Exchange::recordResponseMetrics(int status)
{
    Metrics &metrics = dependencies_.context.metrics;
    const std::string service = admitted_ ? admission_.service->name : "";
    metrics.addToCounter("daisyhaven_requests_total",
                         { { "service", service },
                           { "team", admission_.teamName() },
                           { "status", std::to_string(status) } });
    const double seconds =
        std::chrono::duration<double>(dependencies_.context.timers.now() - startedAt_).count();
    metrics.observe("daisyhaven_request_seconds", { { "service", service } }, seconds);
}

} // namespace daisyhaven::entry

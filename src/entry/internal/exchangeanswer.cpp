// The end of an exchange: answers of the fleet's own, ledger, trace and metrics.
#include "entry/internal/exchange.h"

#include <nlohmann/json.hpp>

namespace daisyhaven::entry {

namespace {

const char *runText(RunStatement statement)
{
    return statement == RunStatement::NotRun ? "not-run" : "may-have-run";
}

} // namespace

void Exchange::refuse(ResultCode code, const std::string &detail)
{
    refuse(code, detail, Duration(0));
}

void Exchange::refuse(ResultCode code, const std::string &detail, Duration retryAfter)
{
    const ResultInfo &info = resultInfo(code);
    resultCode_ = code;
    const nlohmann::json document {
        { "code", static_cast<int>(code) },    { "name", info.name },
        { "run", runText(info.runStatement) }, { "detail", detail },
        { "requestId", requestId_ },
    };
    const std::string text =
        document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    headers.add("X-Daisyhaven-Result", std::to_string(static_cast<int>(code)));
    headers.add("X-Daisyhaven-Run", runText(info.runStatement));
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<Seconds>(retryAfter).count();
        headers.add("Retry-After", std::to_string(seconds));
    }
    if (sink_ != nullptr) {
        const std::string_view body = head_.method == "HEAD" ? std::string_view() : text;
        sink_->sendHead(info.httpStatus, headers, http::Framing::Length, text.size());
        sink_->sendBody(body);
    }
    parts_.context.metrics.add("daisyhaven_refused_total",
                               { { "cause", info.name }, { "team", admission_.teamName() } });
    const bool worthLogging = static_cast<int>(code) >= 300;
    if (worthLogging) {
        logEvent(Event::RequestFailed,
                 { { "request", requestId_ }, { "result", info.name }, { "server", detail } });
    }
    countAnswer(info.httpStatus);
    answered_ = true;
    finish();
}

void Exchange::finishLedger()
{
    if (!ledgerStarted_) {
        return;
    }
    ledgerStarted_ = false;
    parts_.ledger.finish(ledgerKey_, ledgerAttempt_, ledgerState_, std::move(ledgerAnswer_));
}

void Exchange::finish()
{
    stage_ = Stage::Done;
    deadline_ = Subscription();
    finishLedger();
    try_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    Span span;
    span.context = trace_;
    span.parentSpanId = parentSpan_;
    span.name = "entry " + head_.method;
    span.startMicroseconds = startedAtWallClock_;
    span.endMicroseconds = wallClockMicroseconds();
    span.failed = resultCode_ != ResultCode::Ok;
    span.attributes = { { "http.route", admission_.route.path },
                        { "team", admission_.teamName() },
                        { "vm", parts_.context.fleet.vm() },
                        { "result", resultInfo(resultCode_).name } };
    parts_.context.traces.write(span);
    const auto finished = std::move(finished_);
    finished_ = nullptr;
    http::AnswerSink *sink = sink_;
    sink_ = nullptr;
    if (finished) {
        finished();
    }
    if (sink != nullptr && answered_) {
        sink->endAnswer();
    }
}

void Exchange::startPiece(const std::string &name)
{
    pieceTrace_ = childOf(trace_);
    piece_ = { name, wallClockMicroseconds() };
}

void Exchange::endPiece(bool failed)
{
    if (piece_.name.empty()) {
        return;
    }
    Span span;
    span.context = pieceTrace_;
    span.parentSpanId = trace_.spanId;
    span.name = piece_.name;
    span.startMicroseconds = piece_.startedAt;
    span.endMicroseconds = wallClockMicroseconds();
    span.failed = failed;
    parts_.context.traces.write(span);
    piece_ = Piece {};
}

void Exchange::countAnswer(int status)
{
    Metrics &metrics = parts_.context.metrics;
    const std::string service = admitted_ ? admission_.service->name : "";
    metrics.add("daisyhaven_requests_total",
                { { "service", service },
                  { "team", admission_.teamName() },
                  { "status", std::to_string(status) } });
    const double seconds =
        std::chrono::duration<double>(parts_.context.timers.now() - startedAt_).count();
    metrics.observe("daisyhaven_request_seconds", { { "service", service } }, seconds);
}

} // namespace daisyhaven::entry

#include "observe/observe.h"
#include "text/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace daisyhaven {

namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceparentLength = 55;
constexpr int SpanKindServer = 2;
constexpr int StatusError = 2;

std::string randomHex(std::size_t digits)
{
    thread_local std::mt19937_64 generator { std::random_device {}() };
    static const char *const Alphabet = "0123456789abcdef";
    std::string text(digits, '0');
    for (char &c : text) {
        c = Alphabet[generator() % 16];
    }
    return text;
}

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

nlohmann::json toOtlpAttribute(const Field &field)
{
    return { { "key", field.name() }, { "value", { { "stringValue", field.value() } } } };
}

std::string formatAsNanoseconds(std::int64_t microseconds)
{
    return std::to_string(microseconds) + "000";
}

} // namespace

bool parseTraceparent(std::string_view header, TraceContext *context)
{
    if (header.size() != TraceparentLength || header.substr(0, 3) != "00-") {
        return false;
    }
    const std::string_view traceId = header.substr(3, TraceIdDigits);
    const std::string_view spanId = header.substr(36, SpanIdDigits);
    const std::string_view flags = header.substr(53, 2);
    const bool separated = header[35] == '-' && header[52] == '-';
    const bool hexadecimal = isLowerHex(traceId) && isLowerHex(spanId) && isLowerHex(flags);
    if (!separated || !hexadecimal || isAllZero(traceId) || isAllZero(spanId)) {
        return false;
    }
    context->traceId = traceId;
    context->spanId = spanId;
    context->sampled = (flags[1] - '0') % 2 == 1;
    return true;
}

std::string formatTraceparent(const TraceContext &context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

TraceContext newRootSpan()
{
    return { randomHex(TraceIdDigits), randomHex(SpanIdDigits), true };
}

TraceContext newChildSpan(const TraceContext &parent)
{
    return { parent.traceId, randomHex(SpanIdDigits), parent.sampled };
}

TraceWriter::TraceWriter(std::string serviceName, const std::string &file)
    : serviceName_(std::move(serviceName))
{
    if (!file.empty()) {
        stream_.open(file, std::ios::app);
    }
}

void TraceWriter::write(const Span &span)
{
    if (!isEnabled() || !span.context.sampled) {
        return;
    }
    nlohmann::json attributes = nlohmann::json::array();
    for (const Field &field : span.attributes) {
        attributes.push_back(toOtlpAttribute(field));
    }
    nlohmann::json record {
        { "traceId", span.context.traceId },
        { "spanId", span.context.spanId },
        { "name", span.name },
        { "kind", SpanKindServer },
        { "startTimeUnixNano", formatAsNanoseconds(span.startMicroseconds) },
        { "endTimeUnixNano", formatAsNanoseconds(span.endMicroseconds) },
        { "attributes", attributes },
        { "status", { { "code", span.failed ? StatusError : 0 } } },
    };
    if (!span.parentSpanId.empty()) {
        record["parentSpanId"] = span.parentSpanId;
    }
    const nlohmann::json resource {
        { "attributes", { toOtlpAttribute(Field("service.name", serviceName_)) } },
    };
    const nlohmann::json scope { { "spans", { record } } };
    const nlohmann::json line {
        { "resourceSpans", { { { "resource", resource }, { "scopeSpans", { scope } } } } },
    };
    stream_ << toJsonText(line) << "\n";
}

void TraceWriter::flush()
{
    stream_.flush();
}

} // namespace daisyhaven

#include "entry/internal/admission.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace daisyhaven::entry {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxKeyLength = 256;
constexpr std::size_t MaxIdempotencyKeyLength = 255;

Result<std::string> parseBearerKey(const http::Headers &headers)
{
    if (headers.count("authorization") == 0) {
        return fail(ResultCode::KeyMissing, "");
    }
    const std::string &value = *headers.find("authorization");
    const bool bearer = value.size() > BearerPrefix.size()
        && strncasecmp(value.data(), BearerPrefix.data(), BearerPrefix.size()) == 0;
    if (!bearer || headers.count("authorization") > 1 || value.size() > MaxKeyLength) {
        return fail(ResultCode::KeyInvalid, "");
    }
    return value.substr(BearerPrefix.size());
}

Result<Duration> parseDeadline(const http::Headers &headers, Duration routeDeadline)
{
    const std::string *text = headers.find("x-deadline-ms");
    if (text == nullptr) {
        return routeDeadline;
    }
    std::int64_t ms = 0;
    const char *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, ms);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && ms > 0
        && headers.count("x-deadline-ms") == 1;
    if (!valid) {
        return fail(ResultCode::InvalidDeadline, "");
    }
    return std::min<Duration>(routeDeadline, Milliseconds(std::min<std::int64_t>(ms, INT32_MAX)));
}

// Accepts the quoted structured-field string of the Idempotency-Key Internet-Draft and an unquoted
// value.
Result<std::string> parseIdempotencyKey(const http::Headers &headers)
{
    std::string value = *headers.find("idempotency-key");
    const bool quoted = value.size() >= 2 && value.front() == '"' && value.back() == '"';
    if (quoted) {
        value = value.substr(1, value.size() - 2);
    }
    const bool printable = std::all_of(value.begin(), value.end(), [](unsigned char c) {
        return c > ' ' && c < 127 && c != '"' && c != '\\';
    });
    const bool valid = headers.count("idempotency-key") == 1 && printable && !value.empty()
        && value.size() <= MaxIdempotencyKeyLength;
    if (!valid) {
        return fail(ResultCode::InvalidIdempotencyKey, "");
    }
    return value;
}

Result<void> authorizeTeam(const configuration::Configuration &configuration,
                           bool configurationFresh, const http::RequestHead &head,
                           Admission &admission)
{
    if (!configurationFresh) {
        return fail(ResultCode::ConfigurationStale, "");
    }
    BOOST_LEAF_AUTO(key, parseBearerKey(head.headers));
    admission.keyHash = configuration::hashKey(key);
    const auto grant = configuration.findKeyByHash(admission.keyHash);
    admission.team = grant ? configuration.findTeam(grant->team) : nullptr;
    if (!admission.team) {
        return fail(ResultCode::KeyInvalid, "");
    }
    const auto &teams = admission.service->allowedTeams;
    const bool allowed =
        teams.empty() || std::find(teams.begin(), teams.end(), admission.team->name) != teams.end();
    if (!allowed) {
        return fail(ResultCode::TeamNotAllowed, admission.team->name);
    }
    return {};
}

} // namespace

Result<Admission> admit(const configuration::Configuration &configuration, bool configurationFresh,
                        const http::RequestHead &head, Instant now)
{
    const auto match = configuration.findRoute(head.method, head.path);
    if (!match) {
        // A VM whose configuration is not proven fresh may not know a new route yet.
        const ResultCode code =
            configurationFresh ? ResultCode::UnknownRoute : ResultCode::ConfigurationStale;
        return fail(code, head.method + " " + head.path);
    }
    Admission admission;
    admission.service = match->service;
    admission.route = *match->route;
    if (!admission.route.allowUnauthenticated) {
        BOOST_LEAF_CHECK(authorizeTeam(configuration, configurationFresh, head, admission));
    }
    const bool tooLarge = head.framing == http::Framing::Length
        && head.contentLength > admission.route.bodyLimitBytes;
    if (tooLarge) {
        return fail(ResultCode::BodyTooLarge,
                    "at most " + std::to_string(admission.route.bodyLimitBytes) + " bytes");
    }
    BOOST_LEAF_AUTO(deadline,
                    parseDeadline(head.headers, Milliseconds(admission.route.deadlineMs)));
    admission.deadline = now + deadline;
    const bool hasIdempotencyKey =
        !admission.route.idempotent && head.headers.find("idempotency-key") != nullptr;
    if (hasIdempotencyKey) {
        BOOST_LEAF_ASSIGN(admission.idempotencyKey, parseIdempotencyKey(head.headers));
    }
    return admission;
}

TraceContext traceContextOf(const http::RequestHead &head)
{
    TraceContext traceContext = newRootSpan();
    const std::string *header = head.headers.find("traceparent");
    if (header != nullptr && head.headers.count("traceparent") == 1) {
        parseTraceparent(*header, &traceContext);
    }
    return traceContext;
}

} // namespace daisyhaven::entry

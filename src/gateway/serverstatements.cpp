#include "gateway/internal/serverstatements.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace daisyhaven::gateway {

namespace {

constexpr unsigned ServiceUnavailableStatus = 503;
constexpr std::string_view RetryAfterHeader = "retry-after";
constexpr double MaxRequestsPerSecond = 1e6;
// A server that wants none still gets a request at times, which shows whether the limit is lifted.
constexpr double MinRequestsPerSecond = 0.01;
// A mistaken value must not exclude a server for good.
constexpr double MaxQuietSeconds = 300;

// Returns the number in a header that occurs once, or nothing if it is not a plain decimal number.
std::optional<double> parseDecimal(const http::Headers &headers, std::string_view name)
{
    if (headers.count(name) != 1) {
        return std::nullopt;
    }
    const std::string &text = *headers.find(name);
    double number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(number);
    return valid && !std::signbit(number) ? std::optional<double>(number) : std::nullopt;
}

} // namespace

ParsedStatement parseStatement(const http::ResponseHead &head, const HeaderNames &names)
{
    ParsedStatement parsed;
    const auto readNumber = [&](std::string_view name) {
        const auto number = parseDecimal(head.headers, name);
        if (!number && head.headers.count(name) != 0) {
            parsed.ignoredHeaders.emplace_back(name);
        }
        return number;
    };
    const std::string *leaving = head.headers.find(names.serverLeaving);
    parsed.statement.leaving = leaving != nullptr && *leaving == "1";
    if (const auto limit = readNumber(names.serverLimit)) {
        parsed.statement.requestsPerSecond =
            std::clamp(*limit, MinRequestsPerSecond, MaxRequestsPerSecond);
    }
    if (head.status == ServiceUnavailableStatus) {
        if (const auto seconds = readNumber(RetryAfterHeader)) {
            parsed.statement.quietFor = std::chrono::ceil<Duration>(
                std::chrono::duration<double>(std::min(*seconds, MaxQuietSeconds)));
        }
    }
    return parsed;
}

} // namespace daisyhaven::gateway

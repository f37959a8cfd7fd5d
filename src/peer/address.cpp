#include "peer/internal/session.h"

#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <fstream>

namespace daisyhaven::peer {

namespace {

constexpr std::size_t KeyDigitCount = 64;

int hexDigitValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

} // namespace

const char *methodName(Method method)
{
    static constexpr std::array<const char *, 23> Names {
        "pulse",         "hold",         "configuration",     "announce",   "acquire",
        "release",       "gather",       "summary",           "tokens",     "ledger-start",
        "ledger-finish", "ledger-store", "ledger-copy",       "consensus",  "write",
        "status",        "add-control",  "summaries",         "fleet-view", "acquire-slot",
        "release-slot",  "join",         "download-document",
    };
    return Names[static_cast<std::size_t>(method)];
}

Result<Address> parseAddress(std::string_view text)
{
    const std::string addressText(text);
    sockaddr_storage storage {};
    int length = sizeof(storage);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
    const std::size_t colon = addressText.rfind(':');
    if (colon == std::string::npos
        || evutil_parse_sockaddr_port(addressText.c_str(), socketAddress, &length) != 0) {
        return fail(ResultCode::SettingsInvalid,
                    "not an IP address with a port number: " + addressText);
    }
    std::uint16_t port = 0;
    const char *end = addressText.data() + addressText.size();
    const auto parseResult = std::from_chars(addressText.data() + colon + 1, end, port);
    if (parseResult.ec != std::errc() || parseResult.ptr != end || port == 0) {
        return fail(ResultCode::SettingsInvalid,
                    "not a port number between 1 and 65535: " + addressText);
    }
    return Address { addressText.substr(0, colon), port };
}

Result<std::string> readKeyFile(const std::string &path)
{
    std::ifstream file(path);
    std::string digits;
    if (!(file >> digits) || digits.size() != KeyDigitCount) {
        return fail(ResultCode::SettingsInvalid,
                    path + ": the key is not 64 lower-case hexadecimal digits");
    }
    std::string key;
    for (std::size_t i = 0; i < KeyDigitCount; i += 2) {
        const int high = hexDigitValue(digits[i]);
        const int low = hexDigitValue(digits[i + 1]);
        if (high < 0 || low < 0) {
            return fail(ResultCode::SettingsInvalid,
                        path + ": the key is not 64 lower-case hexadecimal digits");
        }
        key += static_cast<char>(high * 16 + low);
    }
    return key;
}

const TrafficCounters &trafficCounters()
{
    return internal::mutableTraffic();
}

} // namespace daisyhaven::peer

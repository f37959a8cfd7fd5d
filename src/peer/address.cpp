#include "peer/internal/session.h"

#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <fstream>

namespace daisyhaven::peer {

namespace {

constexpr std::size_t KeyDigits = 64;

int hexValue(char c)
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
    static constexpr std::array<const char *, 22> Names {
        "pulse",         "hold",         "configuration", "announce",   "acquire",
        "release",       "gather",       "summary",       "tokens",     "ledger-start",
        "ledger-finish", "ledger-store", "ledger-copy",   "consensus",  "write",
        "status",        "add-control",  "summaries",     "fleet-view", "acquire-slot",
        "release-slot",  "join",
    };
    return Names[static_cast<std::size_t>(method)];
}

Result<Address> parseAddress(std::string_view text)
{
    const std::string copy(text);
    sockaddr_storage storage {};
    int length = sizeof(storage);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&storage);
    const std::size_t colon = copy.rfind(':');
    if (colon == std::string::npos
        || evutil_parse_sockaddr_port(copy.c_str(), socketAddress, &length) != 0) {
        return fail(ResultCode::SettingsInvalid, "not an IP address with a port: " + copy);
    }
    std::uint16_t port = 0;
    const char *end = copy.data() + copy.size();
    const auto parsed = std::from_chars(copy.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return fail(ResultCode::SettingsInvalid, "not a port: " + copy);
    }
    return Address { copy.substr(0, colon), port };
}

Result<std::string> readKeyFile(const std::string &path)
{
    std::ifstream stream(path);
    std::string digits;
    if (!(stream >> digits) || digits.size() != KeyDigits) {
        return fail(ResultCode::SettingsInvalid, path + ": not a key of 64 hexadecimal digits");
    }
    std::string key;
    for (std::size_t i = 0; i < KeyDigits; i += 2) {
        const int high = hexValue(digits[i]);
        const int low = hexValue(digits[i + 1]);
        if (high < 0 || low < 0) {
            return fail(ResultCode::SettingsInvalid, path + ": not a key of 64 hexadecimal digits");
        }
        key += static_cast<char>(high * 16 + low);
    }
    return key;
}

const Traffic &traffic()
{
    return internal::mutableTraffic();
}

} // namespace daisyhaven::peer

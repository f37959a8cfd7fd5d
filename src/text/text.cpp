#include "text/text.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>

namespace daisyhaven {

namespace {

struct CodePointRange
{
    std::uint32_t first;
    std::uint32_t last;
};

// Code points by the number of continuation bytes; a longer encoding of the same code point, a
// surrogate and what lies above are not well-formed.
constexpr std::array<CodePointRange, 4> CodePoints { {
    { 0x00, 0x7f },
    { 0x80, 0x7ff },
    { 0x800, 0xffff },
    { 0x10000, 0x10ffff },
} };
constexpr CodePointRange Surrogates { 0xd800, 0xdfff };
constexpr std::size_t InvalidLeadByte = 4;

bool contains(const CodePointRange &range, std::uint32_t codePoint)
{
    return codePoint >= range.first && codePoint <= range.last;
}

// Returns how many bytes follow `lead`, or InvalidLeadByte.
std::size_t continuationCount(unsigned char lead)
{
    if (lead < 0x80) {
        return 0;
    }
    if (lead < 0xc0 || lead >= 0xf8) {
        return InvalidLeadByte;
    }
    return lead < 0xe0 ? 1 : (lead < 0xf0 ? 2 : 3);
}

bool isControlCharacter(std::uint32_t codePoint)
{
    return codePoint < 0x20 || contains({ 0x7f, 0x9f }, codePoint);
}

} // namespace

bool isPlainText(std::string_view text)
{
    while (!text.empty()) {
        const auto lead = static_cast<unsigned char>(text.front());
        const std::size_t count = continuationCount(lead);
        if (count == InvalidLeadByte || text.size() <= count) {
            return false;
        }
        std::uint32_t codePoint = count == 0 ? lead : lead & (0x3fU >> count);
        for (std::size_t i = 1; i <= count; ++i) {
            const auto byte = static_cast<unsigned char>(text[i]);
            if ((byte & 0xc0U) != 0x80) {
                return false;
            }
            codePoint = codePoint << 6U | (byte & 0x3fU);
        }
        const bool wellFormed =
            contains(CodePoints.at(count), codePoint) && !contains(Surrogates, codePoint);
        if (!wellFormed || isControlCharacter(codePoint)) {
            return false;
        }
        text.remove_prefix(count + 1);
    }
    return true;
}

bool isName(std::string_view text)
{
    return !text.empty() && isPlainText(text);
}

std::string toJsonText(const nlohmann::json &document, int indent)
{
    return document.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string toJsonText(const nlohmann::ordered_json &document)
{
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace daisyhaven

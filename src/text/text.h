// Text that crosses the border of a process.
//
// Thread safety: all functions are safe to call from any thread.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace daisyhaven {

// Returns whether `text` is well-formed UTF-8 (RFC 3629) without control characters, so that it can
// stand in a log line, a header field and a message. True for an empty text.
bool isPlainText(std::string_view text);

// Returns whether `text` can name something: plain text that is not empty.
bool isName(std::string_view text);

// Returns `document` as JSON text on one line, or indented by `indent` spaces. Unlike the library's
// dump(), never throws for a string that is not UTF-8: what cannot be read is replaced by U+FFFD.
std::string toJsonText(const nlohmann::json &document, int indent = -1);
std::string toJsonText(const nlohmann::ordered_json &document);

} // namespace daisyhaven

// Compressed differences between two versions of a configuration document. A new version mostly
// repeats the previous one, if only in parts of each row, and hundreds of VMs download each
// version.
#pragma once

#include "result/result.h"

#include <string>
#include <string_view>

namespace daisyhaven::coordination {

// Longest document that a delta may expand to.
constexpr std::size_t MaxExpandedBytes = 64UL * 1024 * 1024;

// Returns a delta that turns `base` into `target`, with a checksum of `target`.
std::string makeDelta(std::string_view base, std::string_view target);

// Returns the document that `delta` makes of `base`. Errors: PeerProtocol if the delta is damaged,
// was made for another base, or expands to more than MaxExpandedBytes.
Result<std::string> applyDelta(std::string_view base, std::string_view delta);

} // namespace daisyhaven::coordination

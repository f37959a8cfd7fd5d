// Differences between two versions of a configuration document. A new version mostly repeats the
// previous one, and hundreds of VMs download each version.
#pragma once

#include "peer/generated/peer.pb.h"
#include "result/result.h"

#include <string>
#include <string_view>

namespace daisyhaven::coordination {

// Returns a delta that turns `base` into `target`. The result depends only on the arguments.
wire::DocumentDelta makeDelta(std::string_view base, std::string_view target);

// Returns the document that `delta` makes of `base`. Errors: PeerProtocol if a piece lies outside
// of `base`.
Result<std::string> applyDelta(std::string_view base, const wire::DocumentDelta &delta);

} // namespace daisyhaven::coordination

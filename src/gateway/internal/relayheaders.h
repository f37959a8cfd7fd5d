// Header fields between an entry VM and the one that it uses as a relay of requests.
#pragma once

namespace daisyhaven::gateway {

// Version of the configuration that the sending VM holds. A relay with an older one refuses.
constexpr const char *RelayVersionHeader = "Dh-Relay-Version";
// Attempts of the request that were sent to a server before, so that retries count once.
constexpr const char *RelayAttemptsHeader = "Dh-Relay-Attempts";
// "1" if the request has taken a token of its team's rate.
constexpr const char *RelayTokenHeader = "Dh-Relay-Token";
// In a response: the relay cannot serve the request, and it has not run.
constexpr const char *RelayRefusedHeader = "Dh-Relay-Refused";

} // namespace daisyhaven::gateway

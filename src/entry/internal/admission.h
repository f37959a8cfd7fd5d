// Admission of caller requests: checks the request head against the configuration.
#pragma once

#include "configuration/configuration.h"
#include "http/http.h"
#include "observe/observe.h"
#include "result/result.h"
#include "timer/timer.h"

#include <memory>
#include <optional>
#include <string>

namespace daisyhaven::entry {

// Describes an admitted request.
struct Admission
{
    std::shared_ptr<const configuration::Service> service;
    configuration::Route route;
    // Null on routes that allow anonymous requests.
    std::shared_ptr<const configuration::Team> team;
    std::string keyHash;
    Instant deadline;
    std::optional<std::string> idempotencyKey;

    std::string teamName() const { return team ? team->name : ""; }
};

// Admits or rejects a request. `configurationFresh` says whether `configuration` is proven fresh.
// Errors: UnknownRoute, KeyMissing, KeyInvalid, TeamNotAllowed, InvalidDeadline, BodyTooLarge,
// InvalidIdempotencyKey, ConfigurationStale.
Result<Admission> admit(const configuration::Configuration &configuration, bool configurationFresh,
                        const http::RequestHead &head, Instant now);

// Returns the trace context of the caller's traceparent header, or a new one.
TraceContext traceContextOf(const http::RequestHead &head);

} // namespace daisyhaven::entry

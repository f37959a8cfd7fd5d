// Numbered result codes, and errors returned as values.
//
// Every rejection, failure and response that daisyhaven itself generates carries one ResultCode. A
// test checks that the table in docs/RESULT_CODES.md matches this header.
//
// Example:
//     Result<int> parsePort(std::string_view text);
//     ...
//     return fail(ResultCode::SettingsInvalid, "listen.port: not a number");
//
// Thread safety: all functions are safe to call from any thread.
#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace daisyhaven {

// The numbers are stable: a number is never reused with another meaning.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    // 1xx: the caller's request is invalid or not allowed.
    MalformedRequest = 101,
    HeaderTooLarge = 102,
    ConflictingFraming = 103,
    BodyTooLarge = 104,
    UnknownRoute = 105,
    KeyMissing = 106,
    KeyInvalid = 107,
    TeamNotAllowed = 108,
    InvalidDeadline = 109,
    InvalidIdempotencyKey = 110,
    IdempotencyKeyReused = 111,
    // 2xx: the fleet rejected the request; this attempt did not execute it.
    RateExceeded = 201,
    QueueFull = 202,
    DeadlineUnreachable = 203,
    NoBackendServer = 204,
    ConfigurationStale = 205,
    Draining = 206,
    Quarantined = 207,
    QuotaOwnerUnavailable = 208,
    DispatcherUnavailable = 209,
    LedgerUnavailable = 210,
    RequestInProgress = 211,
    RetryBudgetSpent = 212,
    NotReady = 213,
    MemoryShort = 214,
    // 3xx: the connection to the backend server, its response, or the outcome of the request.
    BackendConnectFailed = 301,
    BackendShed = 302,
    BackendFailed = 303,
    BackendTimeout = 304,
    BackendTruncated = 305,
    BackendCrossed = 306,
    BackendMalformed = 307,
    OutcomeUnknown = 308,
    CallerGone = 309,
    VmStopped = 310,
    // 4xx: settings, declarations and operator commands.
    SettingsInvalid = 401,
    DeclarationInvalid = 402,
    RouteConflict = 403,
    VersionConflict = 404,
    FloorViolated = 405,
    UnknownTeam = 406,
    UnknownAvailabilityZone = 407,
    UnknownVm = 408,
    OperationOutcomeUnknown = 409,
    NotInForce = 410,
    UnknownKey = 411,
    RolloutInvalid = 412,
    RolloutInProgress = 413,
    RolloutUnknown = 414,
    // 5xx: the state of the fleet, its storage and its processes.
    ControlUnavailable = 501,
    NotLeader = 502,
    RecordDamaged = 503,
    StorageFailed = 504,
    PeerTimeout = 505,
    PeerUnreachable = 506,
    PeerProtocol = 507,
    PeerUnauthorized = 508,
    LeaseNotHeld = 509,
    IdentityLost = 510,
    AnnouncementInvalid = 511,
    StorageFull = 512,
};

// States in a generated response whether a backend server may have executed the request.
enum class ExecutionStatus : std::uint8_t { NotExecuted, MayHaveExecuted };

// One row of the result code table.
struct ResultInfo
{
    ResultCode code;
    const char *name;
    int httpStatus;
    ExecutionStatus executionStatus;
    const char *meaning;
};

// Returns the table of all result codes, ordered by number.
const std::vector<ResultInfo> &resultTable();

// Returns the table row of `code`, which must be a defined result code.
const ResultInfo &resultInfo(ResultCode code);

// Returns whether `httpStatus` promises the caller that its request was not executed and never will
// be, so that it may send any request again.
bool promisesNotExecuted(int httpStatus);

// Returns `code`, or BackendFailed if `code` denies the execution of a request that may have been
// executed. Codes that blame the caller's message are kept: no caller sends that one again.
ResultCode consistentWith(ExecutionStatus status, ResultCode code);

// An error value: the result code and a detail text for operators.
struct Failure
{
    ResultCode code = ResultCode::Ok;
    std::string detail;

    friend bool operator==(const Failure &a, const Failure &b)
    {
        return a.code == b.code && a.detail == b.detail;
    }
};

template <class T> using Result = boost::leaf::result<T>;

// Returns an error that converts to a Result<T> of any T.
inline boost::leaf::error_id fail(ResultCode code, std::string detail)
{
    return boost::leaf::new_error(Failure { code, std::move(detail) });
}

// Calls `operation`, which returns Result<T>, and returns a variant of T and Failure. An error that
// carries no Failure becomes StorageFailed.
template <class Operation> auto attempt(Operation &&operation)
{
    using T = std::decay_t<decltype(operation().value())>;
    using Value = std::variant<T, Failure>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Value> {
            BOOST_LEAF_AUTO(value, operation());
            return Value(std::in_place_index<0>, std::move(value));
        },
        [](const Failure &failure) { return Value(std::in_place_index<1>, failure); },
        [] {
            return Value(std::in_place_index<1>,
                         Failure { ResultCode::StorageFailed, "error without a result code" });
        });
}

// Formats as "E401 SettingsInvalid: detail".
std::string toString(const Failure &failure);

} // namespace daisyhaven

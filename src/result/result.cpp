#include "result/result.h"

#include <algorithm>
#include <array>

namespace daisyhaven {

const std::vector<ResultInfo> &resultTable()
{
    static constexpr auto NotRun = ExecutionStatus::NotExecuted;
    static constexpr auto MayHaveRun = ExecutionStatus::MayHaveExecuted;
    using Code = ResultCode;
    static const std::vector<ResultInfo> ResultTable {
        { Code::Ok, "Ok", 200, MayHaveRun, "The operation succeeded." },
        { Code::MalformedRequest, "MalformedRequest", 400, NotRun,
          "The request is not valid HTTP/1.1." },
        { Code::HeaderTooLarge, "HeaderTooLarge", 431, NotRun,
          "The request line and headers exceed the bound." },
        { Code::ConflictingFraming, "ConflictingFraming", 400, NotRun,
          "The headers give more than one body length." },
        { Code::BodyTooLarge, "BodyTooLarge", 413, NotRun, "The body exceeds the route's bound." },
        { Code::UnknownRoute, "UnknownRoute", 404, NotRun,
          "No published route has this method and path." },
        { Code::KeyMissing, "KeyMissing", 401, NotRun,
          "The route needs a team's key and none came." },
        { Code::KeyInvalid, "KeyInvalid", 401, NotRun,
          "The key is unknown, malformed or withdrawn." },
        { Code::TeamNotAllowed, "TeamNotAllowed", 403, NotRun,
          "The key's team is not declared for this service." },
        { Code::InvalidDeadline, "InvalidDeadline", 400, NotRun,
          "X-Deadline-Ms is not a whole number above zero." },
        { Code::InvalidIdempotencyKey, "InvalidIdempotencyKey", 400, NotRun,
          "Idempotency-Key is malformed or given twice." },
        { Code::IdempotencyKeyReused, "IdempotencyKeyReused", 422, NotRun,
          "The Idempotency-Key belongs to a different request." },
        { Code::RateExceeded, "RateExceeded", 429, NotRun,
          "The team is above its rate and burst." },
        { Code::QueueFull, "QueueFull", 503, NotRun, "The team's share of the queue is full." },
        { Code::DeadlineUnreachable, "DeadlineUnreachable", 503, NotRun,
          "The request could not start before its deadline." },
        { Code::NoBackendServer, "NoBackendServer", 503, NotRun,
          "No backend server may take the request." },
        { Code::ConfigurationStale, "ConfigurationStale", 503, NotRun,
          "The VM cannot prove that its configuration is the newest." },
        { Code::Draining, "Draining", 503, NotRun, "The VM is shutting down." },
        { Code::Quarantined, "Quarantined", 503, NotRun,
          "The request has crashed the backend servers that ran it." },
        { Code::QuotaOwnerUnavailable, "QuotaOwnerUnavailable", 503, NotRun,
          "No owner of the team's rate answered in time." },
        { Code::DispatcherUnavailable, "DispatcherUnavailable", 503, NotRun,
          "No dispatcher of the service answered in time." },
        { Code::LedgerUnavailable, "LedgerUnavailable", 503, NotRun,
          "The ledger could not record the request before its start." },
        { Code::RequestInProgress, "RequestInProgress", 409, MayHaveRun,
          "An earlier send of this Idempotency-Key is still running." },
        { Code::RetryBudgetSpent, "RetryBudgetSpent", 503, NotRun,
          "The fleet may not send another request of this service a second time now." },
        { Code::NotReady, "NotReady", 503, NotRun, "The VM holds no configuration yet." },
        { Code::MemoryShort, "MemoryShort", 503, NotRun,
          "The VM has no memory left for requests of clients." },
        { Code::BackendConnectFailed, "BackendConnectFailed", 502, NotRun,
          "No connection to a backend server could be opened." },
        { Code::BackendShed, "BackendShed", 503, NotRun,
          "The backend server shed the request and its service declares that as not run." },
        { Code::BackendFailed, "BackendFailed", 502, MayHaveRun,
          "The backend server closed the connection before answering." },
        { Code::BackendTimeout, "BackendTimeout", 504, MayHaveRun,
          "The deadline passed while the backend server was working." },
        { Code::BackendTruncated, "BackendTruncated", 502, MayHaveRun,
          "The backend server's answer ended early." },
        { Code::BackendCrossed, "BackendCrossed", 502, MayHaveRun,
          "The answer carries another request's id." },
        { Code::BackendMalformed, "BackendMalformed", 502, MayHaveRun,
          "The backend server's answer is not valid or not framed." },
        { Code::OutcomeUnknown, "OutcomeUnknown", 409, MayHaveRun,
          "An earlier send of this Idempotency-Key started; its outcome is not known." },
        { Code::CallerGone, "CallerGone", 499, MayHaveRun,
          "The caller closed its connection; recorded in traces only." },
        { Code::VmStopped, "VmStopped", 504, MayHaveRun,
          "The VM stopped while the backend server was working." },
        { Code::SettingsInvalid, "SettingsInvalid", 500, NotRun, "A settings file is invalid." },
        { Code::DeclarationInvalid, "DeclarationInvalid", 500, NotRun,
          "A declaration file is invalid." },
        { Code::RouteConflict, "RouteConflict", 500, NotRun, "Two files claim the same route." },
        { Code::VersionConflict, "VersionConflict", 500, NotRun,
          "The write was based on a version that is no longer the newest." },
        { Code::FloorViolated, "FloorViolated", 500, NotRun,
          "Taking this out would leave less than the floor." },
        { Code::UnknownTeam, "UnknownTeam", 500, NotRun, "No published team has this name." },
        { Code::UnknownAvailabilityZone, "UnknownAvailabilityZone", 500, NotRun,
          "No VM is in an availability zone of this name." },
        { Code::UnknownVm, "UnknownVm", 500, NotRun, "No VM has this name." },
        { Code::OperationOutcomeUnknown, "OperationOutcomeUnknown", 500, MayHaveRun,
          "The write may have been accepted; sending it again with its operation id tells." },
        { Code::NotInForce, "NotInForce", 500, MayHaveRun,
          "Accepted, but not yet in force on every VM." },
        { Code::UnknownKey, "UnknownKey", 500, NotRun, "No granted key has this id." },
        { Code::RolloutInvalid, "RolloutInvalid", 500, NotRun,
          "The order of a roll-out names an unknown service or has an invalid field." },
        { Code::RolloutInProgress, "RolloutInProgress", 500, NotRun,
          "The service moves over to another version already." },
        { Code::RolloutUnknown, "RolloutUnknown", 500, NotRun,
          "No roll-out of this service was ordered." },
        { Code::ControlUnavailable, "ControlUnavailable", 503, NotRun,
          "No control leader could be reached." },
        { Code::NotLeader, "NotLeader", 503, NotRun, "This control replica is not the leader." },
        { Code::RecordDamaged, "RecordDamaged", 500, NotRun,
          "A stored record fails its checksum; the replica stops." },
        { Code::StorageFailed, "StorageFailed", 500, MayHaveRun,
          "Writing or syncing a file failed." },
        { Code::PeerTimeout, "PeerTimeout", 504, MayHaveRun,
          "A process of the fleet did not answer in time." },
        { Code::PeerUnreachable, "PeerUnreachable", 503, NotRun,
          "No connection to a process of the fleet." },
        { Code::PeerProtocol, "PeerProtocol", 500, NotRun,
          "A message between processes is invalid or of an unknown version." },
        { Code::PeerUnauthorized, "PeerUnauthorized", 403, NotRun,
          "The peer's identity may not call this method." },
        { Code::LeaseNotHeld, "LeaseNotHeld", 503, NotRun,
          "The VM asked is not the holder of the lease." },
        { Code::IdentityLost, "IdentityLost", 500, NotRun,
          "The data folder does not hold this replica's identity; it must be added anew." },
        { Code::AnnouncementInvalid, "AnnouncementInvalid", 400, NotRun,
          "A backend server's announcement is invalid." },
        { Code::StorageFull, "StorageFull", 503, MayHaveRun,
          "The disk takes no more bytes; the replica goes on once there is room." },
    };
    return ResultTable;
}

const ResultInfo &resultInfo(ResultCode code)
{
    const auto &table = resultTable();
    const auto row = std::lower_bound(
        table.begin(), table.end(), code,
        [](const ResultInfo &info, ResultCode searched) { return info.code < searched; });
    return *row;
}

bool promisesNotExecuted(int httpStatus)
{
    static constexpr std::array<int, 4> Statuses { 408, 421, 429, 503 };
    return std::find(Statuses.begin(), Statuses.end(), httpStatus) != Statuses.end();
}

ResultCode consistentWith(ExecutionStatus status, ResultCode code)
{
    const ResultInfo &info = resultInfo(code);
    const bool deniesExecution = promisesNotExecuted(info.httpStatus)
        || (info.httpStatus >= 500 && info.executionStatus == ExecutionStatus::NotExecuted);
    const bool contradicts = status == ExecutionStatus::MayHaveExecuted && deniesExecution;
    return contradicts ? ResultCode::BackendFailed : code;
}

std::string toString(const Failure &failure)
{
    const ResultInfo &info = resultInfo(failure.code);
    std::string text = "E" + std::to_string(static_cast<int>(info.code));
    text += " ";
    text += info.name;
    if (!failure.detail.empty()) {
        text += ": " + failure.detail;
    }
    return text;
}

} // namespace daisyhaven

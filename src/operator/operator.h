// The operators' commands: check, publish, keys, zones, VMs, control replicas, status and explain.
//
// Every write carries an operation id and the configuration version that it is based on. A write
// without a response is retried with the same id until its outcome is known or its timeout expires.
//
// Example:
//     OperatorClient client(fleet, "alice");
//     BOOST_LEAF_AUTO(report, client.write(change, false, true));
//
// Thread safety: not thread-safe; each call blocks and runs an event loop until it completes.
#pragma once

#include "configuration/configuration.h"
#include "result/result.h"
#include "settings/settings.h"
#include "timer/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace daisyhaven::wire {
class StatusReply;
} // namespace daisyhaven::wire

namespace daisyhaven::operations {

// The result of an accepted write: the new version, and how long it took until the write was
// accepted and until it was in force on every VM.
struct WriteResult
{
    std::uint64_t version = 0;
    bool inForceEverywhere = false;
    Duration acceptedAfter { 0 };
    Duration inForceAfter { 0 };

    friend bool operator==(const WriteResult &a, const WriteResult &b)
    {
        return a.version == b.version && a.inForceEverywhere == b.inForceEverywhere
            && a.acceptedAfter == b.acceptedAfter && a.inForceAfter == b.inForceAfter;
    }
};

// Returns a new random operation id.
std::string newOperationId();

class OperatorClient
{
public:
    OperatorClient(const settings::FleetSettings &fleet, const std::string &operatorName);
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;
    ~OperatorClient();

    // Returns the status of the control leader. Errors: ControlUnavailable.
    Result<wire::StatusReply> status(bool includeConfiguration, bool includeSummaries);
    // Returns the status of one control VM, which need not be the leader. Errors: UnknownVm, and
    // those of the call to the VM.
    Result<wire::StatusReply> controlVmStatus(const std::string &vm);
    // Sends `change` with retries until its outcome is known. If `wait` is set, then waits until
    // the change is in force on every VM that may serve. Errors: those of the write,
    // OperationOutcomeUnknown, ControlUnavailable.
    Result<WriteResult> write(const configuration::Change &change, bool force, bool wait);
    // Adds or removes a control replica. Errors: ControlUnavailable, VersionConflict.
    Result<void> changeControlMember(const std::string &vm, const std::string &identity,
                                     const std::string &peerAddress, bool remove);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Runs one operator command; prints to standard output and standard error. Returns the exit code:
// 0 success, 2 invalid input, 3 rejected, 4 control unavailable or outcome unknown.
int runCommand(int argumentCount, char **arguments);

// Prints the history of one request from the structured logs of any number of processes: first the
// suspicion and leadership events that precede the request, then its own log lines in order.
// Returns the exit code. Errors: SettingsInvalid if a file cannot be read; malformed lines are
// skipped and counted.
Result<int> explainRequest(const std::string &request, const std::vector<std::string> &files,
                           std::ostream &out);

// Prints the suspicion and state changes of one backend server, given by id or address. Returns the
// exit code. Errors: as for explainRequest().
Result<int> explainServer(const std::string &server, const std::vector<std::string> &files,
                          std::ostream &out);

// Sums the requests that were refused, failed or late by cause, and prints the causes of the
// seconds in which most were lost. Returns the exit code. Errors: as for explainRequest().
Result<int> explainSeconds(const std::vector<std::string> &files, std::ostream &out);

} // namespace daisyhaven::operations

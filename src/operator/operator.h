// The operators' commands: check, publish, keys, zones, VMs, control replicas, status and explain.
//
// Every write carries an operation id and the version it was based on. A write whose answer was
// lost is sent again with its id until its outcome is known or the time is over.
//
// Example:
//     OperatorClient client(fleet, "alice");
//     BOOST_LEAF_AUTO(report, client.write(change, false, true));
//
// Thread safety: none; each call runs an event loop until it is done.
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

// What became of a write.
struct WriteReport
{
    std::uint64_t version = 0;
    bool inForceEverywhere = false;
    Duration acceptedAfter { 0 };
    Duration inForceAfter { 0 };

    friend bool operator==(const WriteReport &a, const WriteReport &b)
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

    // Status of the leader. Errors: ControlUnavailable.
    Result<wire::StatusReply> status(bool includeConfiguration, bool includeSummaries);
    // Status of one control VM, leader or not. Errors: ControlUnavailable.
    Result<wire::StatusReply> statusOf(const std::string &vm);
    // Sends `change` until its outcome is known, then, if `wait` says so, waits until it is in
    // force on every VM that may serve. Errors: those of the write, OperationOutcomeUnknown,
    // ControlUnavailable.
    Result<WriteReport> write(const configuration::Change &change, bool force, bool wait);
    // Adds or removes a control replica. Errors: ControlUnavailable, VersionConflict.
    Result<void> changeControl(const std::string &vm, const std::string &identity,
                               const std::string &peerAddress, bool remove);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Runs one command of operators; prints to standard output and standard error. Returns the exit
// code: 0 done, 2 invalid input, 3 refused, 4 unavailable or unknown.
int runCommand(int argumentCount, char **arguments);

// Prints what structured logs of any number of processes say of one request: its lines in order,
// and before them what its VM and the leader believed. Returns the exit code. Errors:
// SettingsInvalid if a file cannot be read; unreadable lines are counted and passed over.
Result<int> explainRequest(const std::string &request, const std::vector<std::string> &files,
                           std::ostream &out);

// Prints how the belief about one backend server, named by id or address, changed.
Result<int> explainServer(const std::string &server, const std::vector<std::string> &files,
                          std::ostream &out);

} // namespace daisyhaven::operations

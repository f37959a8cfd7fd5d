#include "operator/operator.h"

#include "peer/generated/peer.pb.h"
#include "text/text.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace daisyhaven::operations {

namespace {

constexpr int ExitInvalid = 2;
constexpr int ExitRejected = 3;
constexpr int ExitUnavailable = 4;
constexpr Seconds ReplicaJoinTimeout { 30 };

const char *const Usage = R"(daisyhaven, operator commands.

Usage:
  daisyhaven check FOLDER...
  daisyhaven publish --fleet=FILE [--as=NAME] [--base=VERSION] [--operation=ID] [--dry-run] FOLDER...
  daisyhaven key grant TEAM --fleet=FILE [--as=NAME] [--base=VERSION] [--operation=ID]
  daisyhaven key withdraw KEYID --fleet=FILE [--as=NAME] [--base=VERSION] [--operation=ID]
  daisyhaven zone (out|in) ZONE --fleet=FILE [--as=NAME] [--base=VERSION] [--operation=ID] [--force] [--no-wait]
  daisyhaven vm (out|in) VM --fleet=FILE [--as=NAME] [--base=VERSION] [--operation=ID] [--force] [--no-wait]
  daisyhaven replica (add|remove) VM --fleet=FILE [--as=NAME] [--identity=IDENTITY]
  daisyhaven status --fleet=FILE [--as=NAME] [--json]
  daisyhaven explain request REQUEST FILE...
  daisyhaven explain server SERVER FILE...
  daisyhaven explain seconds FILE...
  daisyhaven -h | --help

Options:
  --fleet=FILE         The fleet file.
  --as=NAME            Name of the operator, recorded with each change [default: operator].
  --base=VERSION       Reject the write unless this version is still the newest.
  --operation=ID       Retry a write that received no response.
  --dry-run            Print the changes without publishing them.
  --no-wait            Do not wait until the change is in force everywhere.
  --force              Take out of service even if capacity falls below the floor.
  --identity=IDENTITY  Replica to remove if a VM has more than one.
  --json               Print the status as JSON.
  -h --help            Show this help.

Exit codes:
  0  success; in force everywhere
  1  wrong usage
  2  invalid input
  3  rejected
  4  control unavailable, outcome unknown, or not yet in force everywhere
)";

using Options = std::map<std::string, docopt::value>;

int exitCodeFor(ResultCode code)
{
    switch (code) {
    case ResultCode::SettingsInvalid:
    case ResultCode::DeclarationInvalid:
    case ResultCode::RouteConflict:
    case ResultCode::UnknownTeam:
    case ResultCode::UnknownKey:
    case ResultCode::UnknownVm:
    case ResultCode::UnknownAvailabilityZone:
        return ExitInvalid;
    case ResultCode::VersionConflict:
    case ResultCode::FloorViolated:
        return ExitRejected;
    default:
        return ExitUnavailable;
    }
}

std::string optionText(const Options &options, const char *name)
{
    const auto &value = options.at(name);
    return value.isString() ? value.asString() : "";
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count()) + " ms";
}

// The commands that send requests to a fleet.
class FleetCommands
{
public:
    FleetCommands(const Options &options, settings::FleetSettings fleet)
        : options_(options), fleet_(std::move(fleet)), client_(fleet_, optionText(options, "--as"))
    {
    }

    Result<int> publish()
    {
        BOOST_LEAF_AUTO(declarations,
                        configuration::loadDeclarations(options_.at("FOLDER").asStringList()));
        BOOST_LEAF_AUTO(status, client_.status(true, false));
        BOOST_LEAF_AUTO(base, configuration::fromSnapshot(status.configuration()));
        const configuration::Publication publication =
            configuration::computePublication(base, declarations);
        if (publication.empty() && optionText(options_, "--operation").empty()) {
            std::cout << "no changes; version " << base.version() << " is in force\n";
            return 0;
        }
        for (const std::string &line : configuration::describePublication(base, publication)) {
            std::cout << line << "\n";
        }
        if (options_.at("--dry-run").asBool()) {
            return 0;
        }
        return write(publication, base.version());
    }

    Result<int> grantKey()
    {
        const std::string team = optionText(options_, "TEAM");
        const std::string operationId = operationIdOrNew();
        const configuration::DerivedKey newKey =
            configuration::deriveKey(fleet_.operatorKey, operationId, team);
        BOOST_LEAF_AUTO(version, fetchNewestVersion());
        BOOST_LEAF_AUTO(exitCode, write(newKey.grant, version, operationId));
        std::cout << "key id " << newKey.grant.keyId << "\nkey " << newKey.key << "\n";
        return exitCode;
    }

    Result<int> withdrawKey()
    {
        BOOST_LEAF_AUTO(version, fetchNewestVersion());
        return write(configuration::KeyRevocation { optionText(options_, "KEYID") }, version);
    }

    Result<int> setZone()
    {
        const std::string zone = optionText(options_, "ZONE");
        BOOST_LEAF_AUTO(status, client_.status(false, false));
        bool known = false;
        for (const wire::Member &member : status.members()) {
            known = known || member.availability_zone() == zone;
        }
        for (const settings::VmEndpoint &voter : fleet_.voters) {
            known = known || voter.availabilityZone == zone;
        }
        if (!known) {
            return fail(ResultCode::UnknownAvailabilityZone, zone);
        }
        return write(configuration::AvailabilityZoneState { zone, options_.at("out").asBool() },
                     status.version());
    }

    Result<int> setVm()
    {
        const std::string vm = optionText(options_, "VM");
        BOOST_LEAF_AUTO(status, client_.status(false, false));
        bool known = false;
        for (const wire::Member &member : status.members()) {
            known = known || member.vm() == vm;
        }
        if (!known && options_.at("out").asBool()) {
            return fail(ResultCode::UnknownVm, vm);
        }
        return write(configuration::VmState { vm, options_.at("out").asBool() }, status.version());
    }

    Result<int> changeReplica()
    {
        const std::string vm = optionText(options_, "VM");
        return options_.at("remove").asBool() ? removeReplica(vm) : addReplica(vm);
    }

    Result<int> printStatus()
    {
        BOOST_LEAF_AUTO(status, client_.status(true, true));
        if (options_.at("--json").asBool()) {
            std::cout << toJsonText(toJson(status), 2) << "\n";
        } else {
            printText(status);
        }
        return 0;
    }

private:
    std::string operationIdOrNew() const
    {
        const std::string given = optionText(options_, "--operation");
        return given.empty() ? newOperationId() : given;
    }

    Result<std::uint64_t> fetchNewestVersion()
    {
        BOOST_LEAF_AUTO(status, client_.status(false, false));
        return status.version();
    }

    Result<int> write(configuration::ChangeBody body, std::uint64_t newest)
    {
        return write(std::move(body), newest, operationIdOrNew());
    }

    Result<int> write(configuration::ChangeBody body, std::uint64_t newest,
                      const std::string &operationId)
    {
        configuration::Change change;
        change.operationId = operationId;
        change.author = optionText(options_, "--as");
        change.baseVersion = newest;
        const std::string base = optionText(options_, "--base");
        if (!base.empty()) {
            if (base.find_first_not_of("0123456789") != std::string::npos || base.size() > 18) {
                return fail(ResultCode::SettingsInvalid,
                            "--base: not a configuration version: " + base);
            }
            change.baseVersion = std::stoull(base);
        }
        change.body = std::move(body);
        const bool force = options_.count("--force") != 0 && options_.at("--force").asBool();
        const bool wait = options_.count("--no-wait") == 0 || !options_.at("--no-wait").asBool();
        BOOST_LEAF_AUTO(report, client_.write(change, force, wait));
        std::cout << "version " << report.version << " accepted after "
                  << formatMilliseconds(report.acceptedAfter);
        if (!wait) {
            std::cout << "\n";
            return 0;
        }
        if (!report.inForceEverywhere) {
            std::cout << "; not yet in force on every VM, see: daisyhaven status\n";
            return ExitUnavailable;
        }
        std::cout << ", in force everywhere after " << formatMilliseconds(report.inForceAfter)
                  << "\n";
        return 0;
    }

    Result<int> addReplica(const std::string &vm)
    {
        BOOST_LEAF_AUTO(newReplica, client_.controlVmStatus(vm));
        std::string address;
        for (const settings::VmEndpoint &control : fleet_.controlVms) {
            address = control.id == vm ? control.peerAddress.toString() : address;
        }
        // An earlier replica of this VM has lost its disk and must leave the quorum before the new
        // one joins.
        BOOST_LEAF_AUTO(before, client_.status(false, false));
        for (const wire::ReplicaMember &member : before.control()) {
            if (member.vm() == vm && member.identity() != newReplica.identity()) {
                BOOST_LEAF_CHECK(client_.changeControlMember(vm, member.identity(), "", true));
                std::cout << "removed " << member.identity() << "\n";
            }
        }
        const auto deadline = std::chrono::steady_clock::now() + ReplicaJoinTimeout;
        while (std::chrono::steady_clock::now() < deadline) {
            const auto joinAttempt = attempt([&]() -> Result<bool> {
                BOOST_LEAF_CHECK(
                    client_.changeControlMember(vm, newReplica.identity(), address, false));
                BOOST_LEAF_AUTO(status, client_.status(false, false));
                bool joined = false;
                for (const wire::ReplicaMember &member : status.control()) {
                    joined = joined || member.identity() == newReplica.identity();
                }
                return joined;
            });
            if (const bool *joined = std::get_if<bool>(&joinAttempt);
                joined != nullptr && *joined) {
                std::cout << newReplica.identity() << " on " << vm << " joined the control group\n";
                return 0;
            }
            std::this_thread::sleep_for(Milliseconds(200));
        }
        return fail(ResultCode::NotInForce,
                    vm + " has not caught up with the control log yet; run the command again");
    }

    Result<int> removeReplica(const std::string &vm)
    {
        const std::string wanted = optionText(options_, "--identity");
        BOOST_LEAF_AUTO(status, client_.status(false, false));
        for (const wire::ReplicaMember &member : status.control()) {
            const bool match = member.vm() == vm && (wanted.empty() || member.identity() == wanted);
            if (match) {
                BOOST_LEAF_CHECK(client_.changeControlMember(vm, member.identity(), "", true));
                std::cout << "removed " << member.identity() << "\n";
                return 0;
            }
        }
        return fail(ResultCode::UnknownVm, vm + " has no matching control replica");
    }

    static nlohmann::json toJson(const wire::StatusReply &status)
    {
        nlohmann::json document {
            { "version", status.version() },
            { "held_by_voters_version", status.held_by_voters_version() },
            { "in_force_version", status.in_force_version() },
            { "leader", status.vm() },
            { "term", status.term() },
            { "log_entries", status.log_entries() },
        };
        document["control"] = nlohmann::json::array();
        for (const wire::ReplicaMember &member : status.control()) {
            document["control"].push_back({ { "vm", member.vm() },
                                            { "identity", member.identity() },
                                            { "address", member.peer_address() } });
        }
        document["vms"] = nlohmann::json::array();
        for (const wire::Member &member : status.members()) {
            document["vms"].push_back({ { "vm", member.vm() },
                                        { "availability_zone", member.availability_zone() },
                                        { "configuration_version", member.configuration_version() },
                                        { "silent_ms", member.silent_ms() },
                                        { "draining", member.draining() } });
        }
        document["services"] = nlohmann::json::array();
        for (const wire::ZoneSummary &zone : status.zones()) {
            document["services"].push_back(
                { { "service", zone.service() },
                  { "availability_zone", zone.availability_zone() },
                  { "known", zone.known() },
                  { "available", zone.available() },
                  { "ejected",
                    std::vector<std::string>(zone.ejected().begin(), zone.ejected().end()) },
                  { "free_slots", zone.free_slots() },
                  { "waiting", zone.waiting() } });
        }
        const wire::Snapshot &configuration = status.configuration();
        document["zones_out"] = std::vector<std::string>(configuration.zones_out().begin(),
                                                         configuration.zones_out().end());
        document["vms_out"] = std::vector<std::string>(configuration.vms_out().begin(),
                                                       configuration.vms_out().end());
        document["keys"] = nlohmann::json::array();
        for (const wire::KeyGrant &grant : configuration.keys()) {
            document["keys"].push_back({ { "key_id", grant.key_id() }, { "team", grant.team() } });
        }
        return document;
    }

    static void printText(const wire::StatusReply &status)
    {
        std::cout << "version " << status.version() << ", held by a majority of voters "
                  << status.held_by_voters_version() << ", in force everywhere "
                  << status.in_force_version() << "\n";
        std::cout << "control leader " << status.vm() << ", term " << status.term() << "\n";
        for (const wire::ReplicaMember &member : status.control()) {
            std::cout << "  replica " << member.identity() << " on " << member.vm() << "\n";
        }
        for (const wire::Member &member : status.members()) {
            std::cout << "vm " << member.vm() << " zone " << member.availability_zone()
                      << " version " << member.configuration_version() << " silent "
                      << member.silent_ms() << " ms" << (member.draining() ? " draining" : "")
                      << "\n";
        }
        for (const wire::ZoneSummary &zone : status.zones()) {
            std::cout << "service " << zone.service() << " zone " << zone.availability_zone()
                      << ": " << zone.available() << " of " << zone.known()
                      << " backend servers available, " << zone.ejected_size() << " ejected, "
                      << zone.free_slots() << " free slots, " << zone.waiting() << " waiting\n";
        }
        for (const std::string &zone : status.configuration().zones_out()) {
            std::cout << "zone " << zone << " is out of service\n";
        }
        for (const std::string &vm : status.configuration().vms_out()) {
            std::cout << "vm " << vm << " is out of service\n";
        }
    }

    const Options &options_;
    settings::FleetSettings fleet_;
    OperatorClient client_;
};

Result<int> check(const Options &options)
{
    const auto folders = options.at("FOLDER").asStringList();
    BOOST_LEAF_AUTO(declarations, configuration::loadDeclarations(folders));
    std::size_t routes = 0;
    for (const configuration::Service &service : declarations.services) {
        routes += service.routes.size();
    }
    std::cout << "ok: " << declarations.services.size() << " services, " << routes << " routes, "
              << declarations.teams.size() << " teams\n";
    return 0;
}

Result<int> explain(const Options &options)
{
    const auto files = options.at("FILE").asStringList();
    if (options.at("request").asBool()) {
        return explainRequest(options.at("REQUEST").asString(), files, std::cout);
    }
    if (options.at("seconds").asBool()) {
        return explainSeconds(files, std::cout);
    }
    return explainServer(options.at("SERVER").asString(), files, std::cout);
}

Result<int> runSelectedCommand(const Options &options)
{
    if (options.at("explain").asBool()) {
        return explain(options);
    }
    if (options.at("check").asBool()) {
        return check(options);
    }
    BOOST_LEAF_AUTO(fleet, settings::loadFleetSettings(optionText(options, "--fleet")));
    if (fleet.operatorKey.empty()) {
        return fail(ResultCode::SettingsInvalid, "the fleet file does not set keys.operator");
    }
    FleetCommands commands(options, std::move(fleet));
    if (options.at("publish").asBool()) {
        return commands.publish();
    }
    if (options.at("grant").asBool()) {
        return commands.grantKey();
    }
    if (options.at("withdraw").asBool()) {
        return commands.withdrawKey();
    }
    if (options.at("zone").asBool()) {
        return commands.setZone();
    }
    if (options.at("vm").asBool()) {
        return commands.setVm();
    }
    if (options.at("replica").asBool()) {
        return commands.changeReplica();
    }
    return commands.printStatus();
}

} // namespace

int runCommand(int argumentCount, char **arguments)
{
    const std::vector<std::string> commandLine(arguments + 1, arguments + argumentCount);
    const Options options = docopt::docopt(Usage, commandLine, true);
    const auto result = attempt([&] { return runSelectedCommand(options); });
    if (const auto *failure = std::get_if<Failure>(&result)) {
        std::cerr << toString(*failure) << "\n";
        return exitCodeFor(failure->code);
    }
    return std::get<int>(result);
}

} // namespace daisyhaven::operations

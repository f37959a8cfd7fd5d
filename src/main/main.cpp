// Entry point of the daisyhaven binary, which runs the server roles and the operator commands.
#include "control/control.h"
#include "entry/entry.h"
#include "observe/observe.h"
#include "operator/operator.h"
#include "platform/platform.h"
#include "settings/settings.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>
#include <string_view>

namespace daisyhaven {

namespace {

constexpr int ExitInvalidSettings = 2;
constexpr int ExitRoleFailed = 5;

const char *const RoleUsage = R"(daisyhaven, server roles.

Usage:
  daisyhaven entry --settings=FILE
  daisyhaven control --settings=FILE
  daisyhaven control-init --settings=FILE
  daisyhaven platform entry
  daisyhaven platform control
  daisyhaven -h | --help

Options:
  --settings=FILE  Settings of this VM.
  -h --help        Show this help.

The platform roles read the settings file that the platform specifies (docs/OPERATIONS.md).

Operator commands: daisyhaven check|publish|key|zone|vm|replica|status --help
)";

bool isRoleCommand(std::string_view word)
{
    return word == "entry" || word == "control" || word == "control-init" || word == "platform";
}

int reportFailure(const Failure &failure, int exitCode)
{
    std::cerr << toString(failure) << "\n";
    return exitCode;
}

int runPlatformRole(bool entry)
{
    const auto runResult = attempt([&]() -> Result<bool> {
        using platform::PlatformRole;
        BOOST_LEAF_CHECK(platform::runRole(entry ? PlatformRole::Entry : PlatformRole::Control));
        return true;
    });
    const auto *failure = std::get_if<Failure>(&runResult);
    return failure == nullptr ? 0 : reportFailure(*failure, ExitRoleFailed);
}

int runRole(int argumentCount, char **arguments)
{
    // The platform may send SIGHUP as soon as the process exists; its default would end the
    // process. Roles that reload their settings replace this with a handler.
    std::signal(SIGHUP, SIG_IGN);
    const std::vector<std::string> commandLine(arguments + 1, arguments + argumentCount);
    const auto options = docopt::docopt(RoleUsage, commandLine, true);
    startLogging("start", "", LogLevel::Error);
    if (options.at("platform").asBool()) {
        return runPlatformRole(options.at("entry").asBool());
    }
    const bool entry = options.at("entry").asBool();
    const auto role = entry ? settings::VmRole::Entry : settings::VmRole::Control;
    const auto loadResult = attempt(
        [&] { return settings::loadVmSettings(options.at("--settings").asString(), role); });
    if (const auto *failure = std::get_if<Failure>(&loadResult)) {
        logEvent(Event::SettingsRejected, { { "reason", toString(*failure) } });
        return reportFailure(*failure, ExitInvalidSettings);
    }
    const auto &settings = std::get<settings::VmSettings>(loadResult);
    startLogging(settings.id, settings.logFile, LogLevel::Info);
    const auto runResult = attempt([&]() -> Result<bool> {
        if (entry) {
            BOOST_LEAF_CHECK(entry::runEntryVm(settings));
        } else if (options.at("control").asBool()) {
            BOOST_LEAF_CHECK(control::runControlVm(settings));
        } else {
            BOOST_LEAF_CHECK(control::initializeDataFolder(settings));
        }
        return true;
    });
    const auto *failure = std::get_if<Failure>(&runResult);
    return failure == nullptr ? 0 : reportFailure(*failure, ExitRoleFailed);
}

} // namespace

} // namespace daisyhaven

int main(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const bool roleCommand = argumentCount > 1 && daisyhaven::isRoleCommand(arguments[1]);
    try {
        if (roleCommand || argumentCount < 2) {
            return daisyhaven::runRole(argumentCount, arguments);
        }
        daisyhaven::startLogging("operator", "", daisyhaven::LogLevel::Error);
        return daisyhaven::operations::runCommand(argumentCount, arguments);
    } catch (const std::exception &error) {
        std::cerr << "ended by an exception: " << error.what() << "\n";
        return daisyhaven::ExitRoleFailed;
    }
}

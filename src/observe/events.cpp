#include "observe/observe.h"
#include "text/text.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace daisyhaven {

namespace {

constexpr int LogBufferLines = 1024;
constexpr int MaxLinesPerSecond = 200;

const char *const LogPattern = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p %c %m%n";

log4cxx::LoggerPtr &processLogger()
{
    static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("daisyhaven");
    return logger;
}

const EventInfo &findEventInfo(Event event)
{
    const auto &table = eventTable();
    return *std::lower_bound(
        table.begin(), table.end(), event,
        [](const EventInfo &row, Event searched) { return row.event < searched; });
}

std::string quoteIfNeeded(const std::string &value)
{
    const bool needsNoQuotes =
        !value.empty() && value.find_first_of(" \"\\=\n\r\t") == std::string::npos;
    if (needsNoQuotes) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return text + "\"";
}

// Returns the process name for structured logging, or an empty string while it is not enabled.
std::string &structuredProcessName()
{
    static std::string name;
    return name;
}

// Limits the number of log lines written per second.
class LineRateLimiter
{
public:
    // Returns whether a line may be written at `now`; counts the line as dropped if not.
    bool admit(std::chrono::steady_clock::time_point now)
    {
        if (now - secondStart_ >= std::chrono::seconds(1)) {
            secondStart_ = now;
            lines_ = 0;
        }
        if (lines_ < MaxLinesPerSecond) {
            ++lines_;
            return true;
        }
        ++droppedLines_;
        return false;
    }

    std::uint64_t takeDroppedCount()
    {
        const std::uint64_t dropped = droppedLines_;
        droppedLines_ = 0;
        return dropped;
    }

private:
    std::chrono::steady_clock::time_point secondStart_;
    int lines_ = 0;
    std::uint64_t droppedLines_ = 0;
};

std::string formatStructuredLine(const EventInfo &info, const std::vector<Field> &fields)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line;
    line["timeMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    line["level"] = info.level;
    line["process"] = structuredProcessName();
    line["event"] = static_cast<int>(info.event);
    line["name"] = info.name;
    for (const Field &field : fields) {
        line[field.name()] = field.value();
    }
    return toJsonText(line);
}

void logStructured(const EventInfo &info, const std::vector<Field> &fields)
{
    static LineRateLimiter rateLimiter;
    if (!rateLimiter.admit(std::chrono::steady_clock::now())) {
        return;
    }
    const std::uint64_t dropped = rateLimiter.takeDroppedCount();
    if (dropped > 0) {
        const std::vector<Field> count { { "count", dropped } };
        LOG4CXX_WARN(processLogger(),
                     formatStructuredLine(findEventInfo(Event::LogLinesDropped), count));
    }
    LOG4CXX_INFO(processLogger(), formatStructuredLine(info, fields));
}

} // namespace

const std::vector<EventInfo> &eventTable()
{
    static const std::vector<EventInfo> Table {
        { Event::ProcessStarted, "ProcessStarted", "info", "The process serves." },
        { Event::ProcessStopping, "ProcessStopping", "info",
          "SIGTERM came: health is red, requests in hand are finished." },
        { Event::ProcessStopped, "ProcessStopped", "info", "The process ends." },
        { Event::SettingsRejected, "SettingsRejected", "error", "The settings are invalid." },
        { Event::SettingsReloaded, "SettingsReloaded", "info", "The settings were read again." },
        { Event::LogLinesDropped, "LogLinesDropped", "warn",
          "More lines were due than the limit allows; `count` were left out." },
        { Event::MemoryGrown, "MemoryGrown", "info",
          "The heap has grown; what is unsent and what the log holds." },
        { Event::EventLoopDelayed, "EventLoopDelayed", "warn",
          "The process received and sent nothing for this time, busy or suspended." },
        { Event::MetricsUnavailable, "MetricsUnavailable", "warn",
          "The metrics endpoint cannot listen; it is tried again, and all else goes on." },
        { Event::ClientsClosed, "ClientsClosed", "warn",
          "Connections of clients were closed since the last such line: memory or descriptors ran "
          "short, or they made no progress." },
        { Event::ShutdownStarted, "ShutdownStarted", "info",
          "A planned stop begins; the number of requests in hand, by stage." },
        { Event::HealthChanged, "HealthChanged", "info", "The health page changed colour." },
        { Event::ConfigurationApplied, "ConfigurationApplied", "info",
          "A newer configuration is in force on this VM." },
        { Event::ConfigurationStale, "ConfigurationStale", "warn",
          "No majority of voters was heard in time; keyed routes are refused." },
        { Event::ConfigurationFetched, "ConfigurationFetched", "info",
          "A configuration was read from another process." },
        { Event::ControlElected, "ControlElected", "info", "This control replica leads." },
        { Event::ControlSteppedDown, "ControlSteppedDown", "warn",
          "This control replica no longer leads." },
        { Event::ControlSnapshot, "ControlSnapshot", "info", "The log was compacted." },
        { Event::ControlLogRepaired, "ControlLogRepaired", "warn",
          "A torn tail was cut from the log." },
        { Event::ControlRefusedStart, "ControlRefusedStart", "error",
          "The data folder is damaged or not this replica's own." },
        { Event::ControlMemberChanged, "ControlMemberChanged", "info",
          "The set of control replicas changed." },
        { Event::ChangeAccepted, "ChangeAccepted", "info",
          "An operator's change was committed by a majority of control replicas." },
        { Event::LeaderFound, "LeaderFound", "info",
          "This process follows a leader of the control group." },
        { Event::LeaderLost, "LeaderLost", "warn",
          "This process has no leader of the control group and decides by itself." },
        { Event::ZoneChanged, "ZoneChanged", "info", "An availability zone was taken out or in." },
        { Event::ChangeRefused, "ChangeRefused", "warn", "An operator's change was refused." },
        { Event::StorageFull, "StorageFull", "error",
          "The disk of this control VM is full; its replica takes no part until there is room." },
        { Event::StorageRegained, "StorageRegained", "info",
          "The disk takes bytes again; the replica takes part again." },
        { Event::SyncedMarkKept, "SyncedMarkKept", "warn",
          "The mark of what is synced could not be raised; the older one stays." },
        { Event::RolloutChanged, "RolloutChanged", "info",
          "The roll-out of a service entered another phase." },
        { Event::RolloutRefused, "RolloutRefused", "warn",
          "The order of a roll-out was refused; nothing changed." },
        { Event::RolloutDecided, "RolloutDecided", "info",
          "The leader proposes another phase of a roll-out, for this reason." },
        { Event::ControlMemberDecided, "ControlMemberDecided", "info",
          "The leader changes the members of the control group, for this reason." },
        { Event::ControlFoundersLearned, "ControlFoundersLearned", "info",
          "The folder of an initial member, written by an earlier release, now names the group." },
        { Event::LeaseAcquired, "LeaseAcquired", "info", "This VM holds a lease." },
        { Event::LeaseLost, "LeaseLost", "warn", "This VM no longer holds a lease." },
        { Event::VoterRecovered, "VoterRecovered", "info",
          "A restarted voter counts again for leases and versions." },
        { Event::MemberJoined, "MemberJoined", "info", "An entry VM joined the fleet." },
        { Event::MemberLeft, "MemberLeft", "warn", "An entry VM left or fell silent." },
        { Event::BackendJoined, "BackendJoined", "info", "A backend server announced itself." },
        { Event::BackendLeft, "BackendLeft", "info",
          "A backend server drains or stopped announcing itself." },
        { Event::BackendEjected, "BackendEjected", "warn",
          "A backend server gets no new work because of its results." },
        { Event::BackendReadmitted, "BackendReadmitted", "info",
          "An ejected backend server gets work again, by a ramp." },
        { Event::BackendCold, "BackendCold", "info",
          "A backend server starts its cold-start ramp." },
        { Event::PathBlocked, "PathBlocked", "warn",
          "One entry VM no longer uses one backend server." },
        { Event::EjectionWithheld, "EjectionWithheld", "warn",
          "A backend server looks gray but the floor forbids its ejection." },
        { Event::RequestQuarantined, "RequestQuarantined", "warn",
          "A request that crashed its backend servers is refused from now on." },
        { Event::ConnectionSilent, "ConnectionSilent", "warn",
          "A connection was silent past its due and was closed." },
        { Event::ServerSuspected, "ServerSuspected", "warn",
          "Results say that a backend server fails; it gets trial requests only." },
        { Event::ServerCleared, "ServerCleared", "info",
          "A suspected backend server gets work again." },
        { Event::ServerChanged, "ServerChanged", "info",
          "What a backend server says of itself changed." },
        { Event::ServerLimitChanged, "ServerLimitChanged", "info",
          "The limit that a backend server names has changed; 0: it names none." },
        { Event::ServerStatementHeard, "ServerStatementHeard", "info",
          "A backend server told this VM that it leaves, or wants nothing for a while." },
        { Event::ServerStatementIgnored, "ServerStatementIgnored", "warn",
          "A header in which a backend server speaks of itself has no valid value." },
        { Event::ServersUnreachable, "ServersUnreachable", "warn",
          "This VM reaches no server of the service; its requests take another way." },
        { Event::ServersReachable, "ServersReachable", "info",
          "This VM reaches servers of the service again." },
        { Event::AnnouncementRefused, "AnnouncementRefused", "warn",
          "What was said of a backend server cannot be used; nothing of it was taken over." },
        { Event::PeerConnected, "PeerConnected", "info",
          "A connection between processes is open." },
        { Event::PeerLost, "PeerLost", "warn", "A connection between processes was lost." },
        { Event::PeerRejected, "PeerRejected", "warn",
          "A peer's identity, version or message was refused." },
        { Event::UnreadableItemIgnored, "UnreadableItemIgnored", "warn",
          "An item of a view, a log entry or a snapshot has no readable name; the rest was used." },
        { Event::RequestFailed, "RequestFailed", "warn",
          "A caller's request got an answer of the fleet's own." },
        { Event::RequestRefused, "RequestRefused", "info",
          "A caller's request was refused; it did not run." },
        { Event::RequestRetried, "RequestRetried", "info",
          "A request goes to another backend server." },
        { Event::RequestLate, "RequestLate", "info",
          "A request was answered after the target of its route." },
        { Event::RequestEndedByShutdown, "RequestEndedByShutdown", "warn",
          "A planned stop ended a request before its response." },
        { Event::LedgerRecovered, "LedgerRecovered", "info",
          "A ledger replica copied its shard and counts again." },
    };
    return Table;
}

void startLogging(const std::string &processName, const std::string &file, LogLevel level)
{
    using namespace log4cxx;
    const LayoutPtr layout(new PatternLayout(LogPattern));
    const AppenderPtr console(new ConsoleAppender(layout, ConsoleAppender::getSystemErr()));
    Logger::getRootLogger()->removeAllAppenders();
    Logger::getRootLogger()->addAppender(console);
    if (!file.empty()) {
        const AppenderPtr appender(new FileAppender(layout, file, true));
        Logger::getRootLogger()->addAppender(appender);
    }
    Logger::getRootLogger()->setLevel(level == LogLevel::Info ? Level::getInfo()
                                                              : Level::getError());
    processLogger() = Logger::getLogger("daisyhaven." + processName);
}

void startStructuredLogging(const std::string &processName)
{
    using namespace log4cxx;
    const LayoutPtr layout(new PatternLayout("%m%n"));
    const AppenderPtr console(new ConsoleAppender(layout, ConsoleAppender::getSystemOut()));
    AsyncAppenderPtr buffered(new AsyncAppender());
    buffered->setBufferSize(LogBufferLines);
    buffered->setBlocking(false);
    buffered->addAppender(console);
    Logger::getRootLogger()->removeAllAppenders();
    Logger::getRootLogger()->addAppender(buffered);
    Logger::getRootLogger()->setLevel(Level::getInfo());
    processLogger() = Logger::getLogger("daisyhaven." + processName);
    structuredProcessName() = processName;
}

void logEvent(Event event, const std::vector<Field> &fields)
{
    const EventInfo &info = findEventInfo(event);
    if (!structuredProcessName().empty()) {
        logStructured(info, fields);
        return;
    }
    std::string message = "event=" + std::to_string(static_cast<int>(event));
    message += " name=";
    message += info.name;
    for (const Field &field : fields) {
        message += " " + field.name() + "=" + quoteIfNeeded(field.value());
    }
    const std::string_view level = info.level;
    if (level == "error") {
        LOG4CXX_ERROR(processLogger(), message);
    } else if (level == "warn") {
        LOG4CXX_WARN(processLogger(), message);
    } else {
        LOG4CXX_INFO(processLogger(), message);
    }
}

} // namespace daisyhaven

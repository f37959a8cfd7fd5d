#include "operator/internal/logreader.h"
#include "operator/operator.h"
#include "text/text.h"

#include <set>

namespace daisyhaven::operations {

namespace {

using internal::fieldText;
using internal::LogLine;
using internal::ParsedLogs;
using internal::readLogs;

// How far before the last line of a request its related events are printed.
constexpr std::int64_t SuspicionWindowMs = 30'000;
constexpr std::int64_t LeadershipWindowMs = 10'000;

void printLine(std::ostream &out, const LogLine &line, std::int64_t originMs)
{
    out << (line.timeMs - originMs) << " ms  " << line.process << "  " << line.name;
    static const std::set<std::string> HeaderFields { "timeMs", "process", "name", "level",
                                                      "event" };
    for (const auto &[key, value] : line.fields.items()) {
        const std::string text = value.is_string() ? value.get<std::string>() : toJsonText(value);
        if (HeaderFields.count(key) == 0 && !text.empty()) {
            out << "  " << key << "=" << text;
        }
    }
    out << "\n";
}

bool isServerStateEvent(const LogLine &line)
{
    static const std::set<std::string> Names { "ServerSuspected", "ServerCleared", "ServerChanged",
                                               "BackendLeft" };
    return Names.count(line.name) != 0;
}

bool isLeadershipEvent(const LogLine &line)
{
    static const std::set<std::string> Names { "LeaderFound",          "LeaderLost",
                                               "ControlElected",       "ControlSteppedDown",
                                               "ConfigurationApplied", "ZoneChanged" };
    return Names.count(line.name) != 0;
}

void printMalformedLineCount(std::ostream &out, const ParsedLogs &logs)
{
    if (logs.malformedLines > 0) {
        out << logs.malformedLines << " malformed lines were skipped\n";
    }
}

} // namespace

Result<int> explainRequest(const std::string &request, const std::vector<std::string> &files,
                           std::ostream &out)
{
    BOOST_LEAF_AUTO(logs, readLogs(files));
    std::vector<const LogLine *> requestLines;
    std::set<std::string> servers;
    std::set<std::string> processes;
    for (const LogLine &line : logs.lines) {
        if (fieldText(line, "request") == request) {
            requestLines.push_back(&line);
            servers.insert(fieldText(line, "server"));
            processes.insert(line.process);
        }
    }
    servers.erase("");
    if (requestLines.empty()) {
        out << "no log line contains request " << request << "\n";
        printMalformedLineCount(out, logs);
        return 1;
    }
    const std::int64_t end = requestLines.back()->timeMs;
    out << "server state and leadership events before the request:\n";
    for (const LogLine &line : logs.lines) {
        const bool concernsServer = isServerStateEvent(line)
            && servers.count(fieldText(line, "server")) != 0 && line.timeMs <= end
            && line.timeMs >= end - SuspicionWindowMs;
        const bool concernsProcess = isLeadershipEvent(line) && processes.count(line.process) != 0
            && line.timeMs <= end && line.timeMs >= end - LeadershipWindowMs;
        if (concernsServer || concernsProcess) {
            printLine(out, line, end);
        }
    }
    out << "log lines of the request:\n";
    for (const LogLine *line : requestLines) {
        printLine(out, *line, end);
    }
    printMalformedLineCount(out, logs);
    return 0;
}

Result<int> explainServer(const std::string &server, const std::vector<std::string> &files,
                          std::ostream &out)
{
    BOOST_LEAF_AUTO(logs, readLogs(files));
    std::set<std::string> ids { server };
    for (const LogLine &line : logs.lines) {
        if (fieldText(line, "address") == server) {
            ids.insert(fieldText(line, "server"));
        }
    }
    std::optional<std::int64_t> start;
    for (const LogLine &line : logs.lines) {
        if (isServerStateEvent(line) && ids.count(fieldText(line, "server")) != 0) {
            start = start.value_or(line.timeMs);
            printLine(out, line, *start);
        }
    }
    if (!start) {
        out << "no log line contains server " << server << "\n";
    }
    printMalformedLineCount(out, logs);
    return start ? 0 : 1;
}

} // namespace daisyhaven::operations

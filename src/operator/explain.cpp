#include "operator/operator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

namespace daisyhaven::operations {

namespace {

using nlohmann::json;

// What is told of the time before a request.
constexpr std::int64_t BeliefWindowMs = 30'000;
constexpr std::int64_t LeaderWindowMs = 10'000;

struct LogLine
{
    std::int64_t timeMs = 0;
    std::string process;
    std::string name;
    json fields;
};

struct Logs
{
    std::vector<LogLine> lines;
    std::size_t unreadable = 0;
};

// A line may carry a prefix of whoever collected it.
std::optional<LogLine> parseLine(const std::string &text)
{
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const json fields = json::parse(text.substr(start), nullptr, false);
    const bool usable = fields.is_object() && fields.contains("timeMs")
        && fields["timeMs"].is_number_integer() && fields.contains("name")
        && fields["name"].is_string();
    if (!usable) {
        return std::nullopt;
    }
    return LogLine { fields["timeMs"].get<std::int64_t>(), fields.value("process", ""),
                     fields["name"].get<std::string>(), fields };
}

Result<Logs> readLogs(const std::vector<std::string> &files)
{
    Logs logs;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            return fail(ResultCode::SettingsInvalid, "cannot read " + file);
        }
        std::string text;
        while (std::getline(stream, text)) {
            if (auto line = parseLine(text)) {
                logs.lines.push_back(std::move(*line));
            } else if (!text.empty()) {
                ++logs.unreadable;
            }
        }
    }
    std::stable_sort(logs.lines.begin(), logs.lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.timeMs < b.timeMs; });
    return logs;
}

std::string textField(const LogLine &line, const char *name)
{
    const auto field = line.fields.find(name);
    if (field == line.fields.end()) {
        return "";
    }
    return field->is_string() ? field->get<std::string>() : field->dump();
}

void print(std::ostream &out, const LogLine &line, std::int64_t zeroMs)
{
    out << (line.timeMs - zeroMs) << " ms  " << line.process << "  " << line.name;
    static const std::set<std::string> Shown { "timeMs", "process", "name", "level", "event" };
    for (const auto &[key, value] : line.fields.items()) {
        const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (Shown.count(key) == 0 && !text.empty()) {
            out << "  " << key << "=" << text;
        }
    }
    out << "\n";
}

bool isBelief(const LogLine &line)
{
    static const std::set<std::string> Names { "ServerSuspected", "ServerCleared", "ServerChanged",
                                               "BackendLeft" };
    return Names.count(line.name) != 0;
}

bool isLeadership(const LogLine &line)
{
    static const std::set<std::string> Names { "LeaderFound",          "LeaderLost",
                                               "ControlElected",       "ControlSteppedDown",
                                               "ConfigurationApplied", "ZoneChanged" };
    return Names.count(line.name) != 0;
}

void reportUnreadable(std::ostream &out, const Logs &logs)
{
    if (logs.unreadable > 0) {
        out << logs.unreadable << " lines could not be read and were passed over\n";
    }
}

} // namespace

Result<int> explainRequest(const std::string &request, const std::vector<std::string> &files,
                           std::ostream &out)
{
    BOOST_LEAF_AUTO(logs, readLogs(files));
    std::vector<const LogLine *> story;
    std::set<std::string> servers;
    std::set<std::string> processes;
    for (const LogLine &line : logs.lines) {
        if (textField(line, "request") == request) {
            story.push_back(&line);
            servers.insert(textField(line, "server"));
            processes.insert(line.process);
        }
    }
    servers.erase("");
    if (story.empty()) {
        out << "no line names request " << request << "\n";
        reportUnreadable(out, logs);
        return 1;
    }
    const std::int64_t end = story.back()->timeMs;
    out << "what its entry VM and the leader believed before:\n";
    for (const LogLine &line : logs.lines) {
        const bool ofServer = isBelief(line) && servers.count(textField(line, "server")) != 0
            && line.timeMs <= end && line.timeMs >= end - BeliefWindowMs;
        const bool ofProcess = isLeadership(line) && processes.count(line.process) != 0
            && line.timeMs <= end && line.timeMs >= end - LeaderWindowMs;
        if (ofServer || ofProcess) {
            print(out, line, end);
        }
    }
    out << "the request:\n";
    for (const LogLine *line : story) {
        print(out, *line, end);
    }
    reportUnreadable(out, logs);
    return 0;
}

Result<int> explainServer(const std::string &server, const std::vector<std::string> &files,
                          std::ostream &out)
{
    BOOST_LEAF_AUTO(logs, readLogs(files));
    std::set<std::string> ids { server };
    for (const LogLine &line : logs.lines) {
        if (textField(line, "address") == server) {
            ids.insert(textField(line, "server"));
        }
    }
    std::optional<std::int64_t> start;
    for (const LogLine &line : logs.lines) {
        if (isBelief(line) && ids.count(textField(line, "server")) != 0) {
            start = start.value_or(line.timeMs);
            print(out, line, *start);
        }
    }
    if (!start) {
        out << "no line names server " << server << "\n";
    }
    reportUnreadable(out, logs);
    return start ? 0 : 1;
}

} // namespace daisyhaven::operations

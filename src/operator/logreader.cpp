#include "operator/internal/logreader.h"

#include "text/text.h"

#include <algorithm>
#include <fstream>
#include <optional>

namespace daisyhaven::operations::internal {

namespace {

using nlohmann::json;

// Parses one structured log line. Log collectors may have put a prefix before the JSON object.
std::optional<LogLine> parseLine(const std::string &text)
{
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const json fields = json::parse(text.substr(start), nullptr, false);
    const bool valid = fields.is_object() && fields.contains("timeMs")
        && fields["timeMs"].is_number_integer() && fields.contains("name")
        && fields["name"].is_string();
    if (!valid) {
        return std::nullopt;
    }
    return LogLine { fields["timeMs"].get<std::int64_t>(), fields.value("process", ""),
                     fields["name"].get<std::string>(), fields };
}

} // namespace

Result<ParsedLogs> readLogs(const std::vector<std::string> &files)
{
    ParsedLogs logs;
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
                ++logs.malformedLines;
            }
        }
    }
    std::stable_sort(logs.lines.begin(), logs.lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.timeMs < b.timeMs; });
    return logs;
}

std::string fieldText(const LogLine &line, const char *name)
{
    const auto field = line.fields.find(name);
    if (field == line.fields.end()) {
        return "";
    }
    return field->is_string() ? field->get<std::string>() : toJsonText(*field);
}

} // namespace daisyhaven::operations::internal

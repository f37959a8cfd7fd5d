// Reads structured log lines that processes wrote; private to the operator package.
#pragma once

#include "result/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace daisyhaven::operations::internal {

struct LogLine
{
    // Wall-clock time of the VM that wrote the line.
    std::int64_t timeMs = 0;
    std::string process;
    std::string name;
    nlohmann::json fields;
};

struct ParsedLogs
{
    // In order of time.
    std::vector<LogLine> lines;
    std::size_t malformedLines = 0;
};

// Reads the log lines of all files. Errors: SettingsInvalid if a file cannot be read.
Result<ParsedLogs> readLogs(const std::vector<std::string> &files);

// Returns the value of a field as text, or an empty string if the line has no such field.
std::string fieldText(const LogLine &line, const char *name);

} // namespace daisyhaven::operations::internal

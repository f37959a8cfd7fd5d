#include "document/document.h"

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>

namespace daisyhaven {

namespace {

constexpr std::size_t MaxSuggestionDistance = 3;
constexpr std::size_t MaxFileBytes = 16UL * 1024 * 1024;

std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
        }
    }
    return row.back();
}

std::string rangeMessage(double low, double high)
{
    std::ostringstream text;
    text << "must be between " << low << " and " << high;
    return text.str();
}

} // namespace

std::string nearestName(const std::string &name, const std::vector<std::string> &known)
{
    std::string nearest;
    std::size_t best = std::min(MaxSuggestionDistance, name.size() / 2) + 1;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

Result<std::unique_ptr<TomlDocument>> TomlDocument::load(const std::string &path, ResultCode code)
{
    std::ifstream stream(path);
    if (!stream) {
        return fail(code, path + ": cannot open the file");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return parse(content.str(), path, code);
}

Result<std::unique_ptr<TomlDocument>> TomlDocument::parse(const std::string &content,
                                                          const std::string &path, ResultCode code)
{
    if (content.size() > MaxFileBytes) {
        return fail(code, path + ": larger than 16 MiB");
    }
    auto document = std::make_unique<TomlDocument>();
    document->path_ = path;
    document->code_ = code;
    try {
        document->table_ = toml::parse(content, path);
    } catch (const toml::parse_error &error) {
        const auto line = error.source().begin.line;
        return fail(code,
                    path + ":" + std::to_string(line)
                        + ": not TOML: " + std::string(error.description()));
    }
    return document;
}

void TomlDocument::addError(int line, const std::string &field, const std::string &reason)
{
    errors_.push_back(path_ + ":" + std::to_string(line) + ": " + field + ": " + reason);
}

Result<void> TomlDocument::checkErrors() const
{
    if (errors_.empty()) {
        return {};
    }
    std::string text;
    for (const std::string &error : errors_) {
        text += (text.empty() ? "" : "\n") + error;
    }
    return fail(code_, text);
}

TomlTableReader::TomlTableReader(TomlDocument &document, const toml::table &table, std::string path)
    : document_(document), table_(table), path_(std::move(path))
{
}

const toml::node *TomlTableReader::findAndMarkRead(const std::string &field)
{
    readFields_.insert(field);
    return table_.get(field);
}

std::string TomlTableReader::fieldPath(const std::string &field) const
{
    return path_.empty() ? field : path_ + "." + field;
}

bool TomlTableReader::contains(const std::string &field) const
{
    return table_.contains(field);
}

int TomlTableReader::line() const
{
    return static_cast<int>(table_.source().begin.line);
}

void TomlTableReader::addError(const std::string &field, const std::string &reason)
{
    const toml::node *node = table_.get(field);
    const int at = node == nullptr ? line() : static_cast<int>(node->source().begin.line);
    document_.addError(at, fieldPath(field), reason);
}

void TomlTableReader::rejectUnknownFields()
{
    const std::vector<std::string> known(readFields_.begin(), readFields_.end());
    for (const auto &[key, node] : table_) {
        const std::string name(key.str());
        if (readFields_.count(name) != 0) {
            continue;
        }
        const std::string nearest = nearestName(name, known);
        const std::string hint = nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
        addError(name, "unknown field" + hint);
    }
}

std::string TomlTableReader::requiredString(const std::string &field)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        addError(field, "is missing");
        return "";
    }
    std::string value = optionalString(field, "");
    if (value.empty() && node->is_string()) {
        addError(field, "must not be empty");
    }
    return value;
}

std::string TomlTableReader::optionalString(const std::string &field, const std::string &fallback)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_string()) {
        addError(field, "must be a string");
        return fallback;
    }
    return node->as_string()->get();
}

bool TomlTableReader::boolean(const std::string &field, bool fallback)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_boolean()) {
        addError(field, "must be true or false");
        return fallback;
    }
    return node->as_boolean()->get();
}

double TomlTableReader::number(const std::string &field, std::optional<double> fallback, double low,
                               double high)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        if (!fallback) {
            addError(field, "is missing");
        }
        return fallback.value_or(low);
    }
    if (!node->is_number()) {
        addError(field, "must be a number");
        return low;
    }
    const double value = *node->value<double>();
    const bool inside = value >= low && value <= high;
    if (!inside) {
        addError(field, rangeMessage(low, high));
        return low;
    }
    return value;
}

std::int64_t TomlTableReader::integer(const std::string &field,
                                      std::optional<std::int64_t> fallback, std::int64_t low,
                                      std::int64_t high)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        if (!fallback) {
            addError(field, "is missing");
        }
        return fallback.value_or(low);
    }
    if (!node->is_integer()) {
        addError(field, "must be an integer");
        return low;
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < low || value > high) {
        addError(field, "must be between " + std::to_string(low) + " and " + std::to_string(high));
        return low;
    }
    return value;
}

std::vector<std::string> TomlTableReader::stringArray(const std::string &field)
{
    const toml::node *node = findAndMarkRead(field);
    std::vector<std::string> values;
    if (node == nullptr) {
        return values;
    }
    if (!node->is_array()) {
        addError(field, "must be an array of strings");
        return values;
    }
    for (const toml::node &element : *node->as_array()) {
        if (!element.is_string()) {
            addError(field, "must be an array of strings");
            return {};
        }
        values.push_back(element.as_string()->get());
    }
    return values;
}

} // namespace daisyhaven

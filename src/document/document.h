// Validating reader for TOML files. The type and range of each field are checked when it is read. A
// field that was never read is an error with file, line and the closest known field name.
//
// Example:
//     BOOST_LEAF_AUTO(document, TomlDocument::load(path, ResultCode::SettingsInvalid));
//     TomlTableReader root = document.root();
//     const std::string id = root.requiredString("id");
//     BOOST_LEAF_CHECK(document.checkErrors());
//
// Errors are collected; checkErrors() reports all of them, one per line. The classes are not
// thread-safe.
#pragma once

#include "result/result.h"

#include <toml++/toml.h>

#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisyhaven {

// Returns the entry of `known` that is closest to `name`, or "" if none is similar.
std::string nearestName(const std::string &name, const std::vector<std::string> &known);

class TomlDocument;

// Reads the fields of one TOML table. A field that is invalid records an error and yields its
// fallback or lower bound, so that reading can continue.
class TomlTableReader
{
public:
    TomlTableReader(TomlDocument &document, const toml::table &table, std::string path);

    std::string requiredString(const std::string &field);
    std::string optionalString(const std::string &field, const std::string &fallback);
    bool boolean(const std::string &field, bool fallback);
    double number(const std::string &field, std::optional<double> fallback, double low,
                  double high);
    std::int64_t integer(const std::string &field, std::optional<std::int64_t> fallback,
                         std::int64_t low, std::int64_t high);
    std::vector<std::string> stringArray(const std::string &field);
    // Calls `read` with a reader of the table `field` if it is present.
    template <class Read> void readTable(const std::string &field, Read &&read);
    // Calls `read` with a reader of each table in the array `field`.
    template <class Read> void readTables(const std::string &field, Read &&read);

    bool contains(const std::string &field) const;
    // Records an error at the line of `field`, or of the table if the field is absent.
    void addError(const std::string &field, const std::string &reason);
    // Records an error for each field that no function has read.
    void rejectUnknownFields();
    int line() const;

private:
    const toml::node *findAndMarkRead(const std::string &field);
    std::string fieldPath(const std::string &field) const;

    TomlDocument &document_;
    const toml::table &table_;
    std::string path_;
    std::set<std::string> readFields_;
};

// A parsed TOML document and the errors found in it.
class TomlDocument
{
public:
    // Loads and parses the file. Errors: `code` if it cannot be read or is not valid TOML.
    static Result<std::unique_ptr<TomlDocument>> load(const std::string &path, ResultCode code);
    // Parses `content`. Error messages name it by `path`.
    static Result<std::unique_ptr<TomlDocument>> parse(const std::string &content,
                                                       const std::string &path, ResultCode code);

    TomlTableReader root() { return TomlTableReader(*this, table_, ""); }
    const std::string &path() const { return path_; }
    void addError(int line, const std::string &field, const std::string &reason);
    // Fails with `code` and all recorded errors if there are any.
    Result<void> checkErrors() const;

private:
    std::string path_;
    ResultCode code_ = ResultCode::Ok;
    toml::table table_;
    std::vector<std::string> errors_;
};

template <class Read> void TomlTableReader::readTable(const std::string &field, Read &&read)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        return;
    }
    if (!node->is_table()) {
        addError(field, "must be a table");
        return;
    }
    TomlTableReader reader(document_, *node->as_table(), fieldPath(field));
    read(reader);
    reader.rejectUnknownFields();
}

template <class Read> void TomlTableReader::readTables(const std::string &field, Read &&read)
{
    const toml::node *node = findAndMarkRead(field);
    if (node == nullptr) {
        return;
    }
    const bool arrayOfTables =
        node->is_array() && node->as_array()->is_homogeneous(toml::node_type::table);
    if (!arrayOfTables) {
        addError(field, "must be an array of tables, [[" + fieldPath(field) + "]]");
        return;
    }
    int position = 0;
    for (const toml::node &element : *node->as_array()) {
        const std::string path = fieldPath(field) + "[" + std::to_string(position++) + "]";
        TomlTableReader reader(document_, *element.as_table(), path);
        read(reader);
        reader.rejectUnknownFields();
    }
}

} // namespace daisyhaven

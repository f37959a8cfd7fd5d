#include "configuration/configuration.h"

#include "document/document.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace daisyhaven::configuration {

namespace {

constexpr std::int64_t MaxDeadlineMs = 600'000;
constexpr std::int64_t MaxBodyBytes = 1LL << 32;
constexpr std::int64_t MaxColdStartMs = 3'600'000;
constexpr std::int64_t MaxSlots = 100'000;
constexpr double MaxRate = 1e6;
constexpr double MaxWeight = 1000;
constexpr std::size_t MaxNameLength = 64;
const std::vector<std::string> Methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
const std::vector<std::string> Priorities { "critical", "normal", "bulk" };

bool isValidName(const std::string &name)
{
    const bool validCharacters = std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-' || c == '_';
    });
    return validCharacters && name.size() <= MaxNameLength;
}

std::string readName(TomlTableReader &reader, const std::string &field)
{
    std::string name = reader.requiredString(field);
    if (!isValidName(name)) {
        reader.addError(field, "must be at most 64 characters from a-z, 0-9, '-' and '_'");
    }
    return name;
}

std::size_t readChoice(TomlTableReader &reader, const std::string &field, const std::string &value,
                       const std::vector<std::string> &choices)
{
    const auto found = std::find(choices.begin(), choices.end(), value);
    if (found != choices.end()) {
        return static_cast<std::size_t>(found - choices.begin());
    }
    const std::string nearest = nearestName(value, choices);
    const std::string hint = nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
    reader.addError(field, "unknown value \"" + value + "\"" + hint);
    return 0;
}

bool isValidPath(const std::string &path)
{
    const bool validCharacters = std::all_of(path.begin(), path.end(), [](unsigned char c) {
        return c > ' ' && c < 127 && c != '?' && c != '#';
    });
    return !path.empty() && path.front() == '/' && validCharacters
        && path.find("//") == std::string::npos && path.find("/../") == std::string::npos;
}

Route readRoute(TomlTableReader &reader)
{
    Route route;
    route.method = Methods[readChoice(reader, "method", reader.requiredString("method"), Methods)];
    route.path = reader.requiredString("path");
    if (!isValidPath(route.path)) {
        reader.addError("path",
                        "must start with '/' and must not contain '//', '/../', '?' or '#'");
    }
    if (!reader.contains("repeatable")) {
        reader.addError("repeatable", "is missing");
    }
    route.idempotent = reader.boolean("repeatable", false);
    route.allowUnauthenticated = reader.boolean("open", false);
    const std::string priority = reader.optionalString("priority", "normal");
    route.priority = static_cast<Priority>(readChoice(reader, "priority", priority, Priorities));
    route.deadlineMs =
        static_cast<std::uint32_t>(reader.integer("deadline_ms", {}, 1, MaxDeadlineMs));
    route.bodyLimitBytes =
        static_cast<std::uint64_t>(reader.integer("body_limit_bytes", 0, 0, MaxBodyBytes));
    const bool hasNoBody = route.method == "GET" || route.method == "HEAD";
    if (hasNoBody && route.bodyLimitBytes != 0) {
        reader.addError("body_limit_bytes", "contradicts method " + route.method);
    }
    if (hasNoBody && !route.idempotent) {
        reader.addError("repeatable", "must be true for method " + route.method);
    }
    return route;
}

void readColdStart(TomlTableReader &reader, Service &service)
{
    service.coldStartInitialSlots =
        static_cast<std::uint32_t>(reader.integer("initial_slots", 1, 1, MaxSlots));
    service.coldStartDurationMs =
        static_cast<std::uint32_t>(reader.integer("ramp_ms", {}, 0, MaxColdStartMs));
}

void rejectDuplicateRoutes(TomlTableReader &reader, const Service &service)
{
    std::set<std::string> seen;
    for (const Route &route : service.routes) {
        if (!seen.insert(route.method + " " + route.path).second) {
            reader.addError("route", "declares " + route.method + " " + route.path + " twice");
        }
    }
}

Service readService(TomlTableReader &reader)
{
    Service service;
    service.name = readName(reader, "name");
    service.floor = reader.number("floor", 0.5, 0, 1);
    service.shedImpliesNotExecuted = reader.boolean("shed_means_not_run", false);
    service.allowedTeams = reader.stringArray("teams");
    reader.readTable("cold_start", [&](TomlTableReader &r) { readColdStart(r, service); });
    return service;
}

Team readTeam(TomlTableReader &reader)
{
    Team team;
    team.name = readName(reader, "name");
    team.rate = reader.number("rate", {}, 0.001, MaxRate);
    team.burst = reader.number("burst", {}, 1, MaxRate);
    team.weight = reader.number("weight", 1.0, 0.001, MaxWeight);
    if (tokenLifetimeSeconds(team.rate, team.burst) == 0) {
        reader.addError("burst", "must be at least 1 + 0.04 x rate");
    }
    return team;
}

std::vector<std::string> declarationFiles(const std::string &folder)
{
    std::vector<std::string> files;
    std::error_code error;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder, error)) {
        if (entry.is_regular_file() && entry.path().extension() == ".toml") {
            files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

// Merges the declarations of several files and detects duplicate and conflicting entries.
class DeclarationMerger
{
public:
    Result<void> add(const Declarations &file, const std::string &path)
    {
        for (const Service &service : file.services) {
            BOOST_LEAF_CHECK(
                recordDeclaration("service " + service.name, path, ResultCode::DeclarationInvalid));
            for (const Route &route : service.routes) {
                BOOST_LEAF_CHECK(recordDeclaration("route " + route.method + " " + route.path, path,
                                                   ResultCode::RouteConflict));
            }
            merged_.services.push_back(service);
        }
        for (const Team &team : file.teams) {
            BOOST_LEAF_CHECK(
                recordDeclaration("team " + team.name, path, ResultCode::DeclarationInvalid));
            merged_.teams.push_back(team);
        }
        return {};
    }

    Result<Declarations> mergedDeclarations() const
    {
        std::vector<std::string> teams;
        for (const Team &team : merged_.teams) {
            teams.push_back(team.name);
        }
        for (const Service &service : merged_.services) {
            for (const std::string &team : service.allowedTeams) {
                if (std::find(teams.begin(), teams.end(), team) != teams.end()) {
                    continue;
                }
                const std::string nearest = nearestName(team, teams);
                const std::string hint =
                    nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
                return fail(ResultCode::DeclarationInvalid,
                            declaredIn_.at("service " + service.name)
                                + ": service.teams: unknown team \"" + team + "\"" + hint);
            }
        }
        return merged_;
    }

private:
    Result<void> recordDeclaration(const std::string &what, const std::string &path,
                                   ResultCode code)
    {
        const auto [entry, inserted] = declaredIn_.emplace(what, path);
        if (!inserted) {
            return fail(code, what + " is declared in " + entry->second + " and in " + path);
        }
        return {};
    }

    Declarations merged_;
    std::map<std::string, std::string> declaredIn_;
};

} // namespace

Result<Declarations> parseDeclaration(const std::string &content, const std::string &path)
{
    BOOST_LEAF_AUTO(document, TomlDocument::parse(content, path, ResultCode::DeclarationInvalid));
    Declarations declarations;
    TomlTableReader root = document->root();
    root.readTable("service",
                   [&](TomlTableReader &r) { declarations.services.push_back(readService(r)); });
    std::vector<Route> routes;
    root.readTables("route", [&](TomlTableReader &r) { routes.push_back(readRoute(r)); });
    root.readTables("team", [&](TomlTableReader &r) { declarations.teams.push_back(readTeam(r)); });
    if (declarations.services.empty() && !routes.empty()) {
        root.addError("route", "needs a [service] in the same file");
    }
    if (!declarations.services.empty()) {
        declarations.services.front().routes = std::move(routes);
        rejectDuplicateRoutes(root, declarations.services.front());
    }
    root.rejectUnknownFields();
    BOOST_LEAF_CHECK(document->checkErrors());
    return declarations;
}

Result<Declarations> loadDeclarations(const std::vector<std::string> &folders)
{
    DeclarationMerger merger;
    for (const std::string &folder : folders) {
        const std::vector<std::string> files = declarationFiles(folder);
        if (files.empty()) {
            return fail(ResultCode::DeclarationInvalid, folder + ": contains no *.toml file");
        }
        for (const std::string &file : files) {
            std::ifstream stream(file);
            const std::string content((std::istreambuf_iterator<char>(stream)),
                                      std::istreambuf_iterator<char>());
            BOOST_LEAF_AUTO(declarations, parseDeclaration(content, file));
            BOOST_LEAF_CHECK(merger.add(declarations, file));
        }
    }
    return merger.mergedDeclarations();
}

} // namespace daisyhaven::configuration

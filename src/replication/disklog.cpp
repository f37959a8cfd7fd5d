#include "replication/replication.h"

#include "observe/observe.h"
#include "replication/internal/entrycodec.h"
#include "text/text.h"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <xxhash.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace daisyhaven::replication {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t HeaderBytes = LengthBytes + ChecksumBytes;
constexpr std::size_t MaxRecordBytes = 64UL * 1024 * 1024;
constexpr std::size_t IdentityBytes = 8;

std::uint64_t payloadChecksum(std::string_view payload)
{
    // The length seeds the checksum, so that a range of zeros is not a valid record.
    return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size() + 1);
}

Failure makeStorageFailure(const std::string &what)
{
    const bool full = errno == ENOSPC || errno == EDQUOT;
    return { full ? ResultCode::StorageFull : ResultCode::StorageFailed,
             what + ": " + std::strerror(errno) };
}

// After a failed sync the kernel may drop data that later syncs report as written. A failed sync is
// therefore never retried, whatever its cause, and never reported as StorageFull.
Result<void> syncFile(int file, const std::string &name)
{
    if (::fdatasync(file) != 0) {
        return fail(ResultCode::StorageFailed,
                    name + ": fdatasync failed: " + std::strerror(errno));
    }
    return {};
}

Result<void> writeAll(const WriteFunction &write, int file, std::string_view bytes,
                      const std::string &name)
{
    while (!bytes.empty()) {
        const ssize_t written = write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return boost::leaf::new_error(makeStorageFailure(name));
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

Result<void> syncFolder(const std::string &folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0) {
        return boost::leaf::new_error(makeStorageFailure(folder));
    }
    const int result = ::fsync(handle);
    ::close(handle);
    if (result != 0) {
        return boost::leaf::new_error(makeStorageFailure(folder));
    }
    return {};
}

// Replaces a file atomically: writes and syncs a temporary file and renames it to `name`.
Result<void> replaceFile(const WriteFunction &write, const std::string &folder,
                         const std::string &name, std::string_view bytes)
{
    const std::string target = folder + "/" + name;
    const std::string temporary = target + ".new";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) {
        return boost::leaf::new_error(makeStorageFailure(temporary));
    }
    const auto written = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(writeAll(write, file, bytes, temporary));
        BOOST_LEAF_CHECK(syncFile(file, temporary));
        return true;
    });
    ::close(file);
    if (const auto *failure = std::get_if<Failure>(&written)) {
        return boost::leaf::new_error(*failure);
    }
    if (::rename(temporary.c_str(), target.c_str()) != 0) {
        return boost::leaf::new_error(makeStorageFailure(target));
    }
    return syncFolder(folder);
}

bool fileExists(const std::string &path)
{
    std::error_code unreadable; // reported when the file is opened
    return std::filesystem::exists(path, unreadable);
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    return std::string((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
}

// Reads a file that holds one record.
Result<std::string> readRecordFile(const std::string &path)
{
    const std::string bytes = readFile(path);
    BOOST_LEAF_AUTO(decoded, decodeLog(bytes, bytes.size()));
    if (decoded.payloads.size() != 1) {
        return fail(ResultCode::RecordDamaged, path);
    }
    return decoded.payloads.front();
}

std::string generateReplicaId()
{
    std::array<unsigned char, IdentityBytes> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string text = "spare-";
    for (const unsigned char byte : bytes) {
        std::array<char, 3> digits {};
        std::snprintf(digits.data(), digits.size(), "%02x", byte);
        text += digits.data();
    }
    return text;
}

Result<void> writeIdentity(const WriteFunction &write, const std::string &folder,
                           const ReplicaIdentity &identity)
{
    nlohmann::json members = nlohmann::json::array();
    for (const consensus::MemberInfo &member : identity.initialMembers) {
        members.push_back({ { "vm", member.vm },
                            { "identity", member.replicaId },
                            { "address", member.peerAddress } });
    }
    const nlohmann::json document { { "vm", identity.vm },
                                    { "identity", identity.replicaId },
                                    { "founding", identity.isInitialMember },
                                    { "members", members } };
    return replaceFile(write, folder, "identity", encodeLogRecord(toJsonText(document)));
}

Result<ReplicaIdentity> readIdentity(const std::string &folder)
{
    BOOST_LEAF_AUTO(payload, readRecordFile(folder + "/identity"));
    const auto document = nlohmann::json::parse(payload, nullptr, false);
    if (!document.is_object()) {
        return fail(ResultCode::RecordDamaged, folder + "/identity");
    }
    ReplicaIdentity identity { document.value("vm", ""),
                               document.value("identity", ""),
                               document.value("founding", false),
                               {} };
    for (const auto &member : document.value("members", nlohmann::json::array())) {
        identity.initialMembers.push_back(
            { member.value("vm", ""), member.value("identity", ""), member.value("address", "") });
    }
    return identity;
}

std::string encodeSyncedOffset(std::uint64_t bytes)
{
    std::string payload(sizeof(bytes), '\0');
    std::memcpy(payload.data(), &bytes, sizeof(bytes));
    return encodeLogRecord(payload);
}

// Returns the offset in the `synced` file, or 0 if the file is torn: it is written without a sync.
std::uint64_t decodeSyncedOffset(std::string_view record)
{
    std::uint64_t bytes = 0;
    const auto decoded = attempt([&] { return decodeLog(record, 0); });
    const auto *log = std::get_if<DecodedLog>(&decoded);
    const bool isComplete = log != nullptr && log->payloads.size() == 1
        && log->payloads.front().size() == sizeof(bytes);
    if (isComplete) {
        std::memcpy(&bytes, log->payloads.front().data(), sizeof(bytes));
    }
    return bytes;
}

} // namespace

std::string initialMemberId(const std::string &vm)
{
    return "founder-" + vm;
}

std::string encodeLogRecord(std::string_view payload)
{
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t checksum = payloadChecksum(payload);
    std::string record(HeaderBytes, '\0');
    std::memcpy(record.data(), &length, LengthBytes);
    std::memcpy(record.data() + LengthBytes, &checksum, ChecksumBytes);
    record.append(payload);
    return record;
}

Result<DecodedLog> decodeLog(std::string_view bytes, std::uint64_t syncedBytes)
{
    DecodedLog log;
    while (log.validBytes < bytes.size()) {
        const std::string_view remaining = bytes.substr(log.validBytes);
        std::uint32_t length = 0;
        std::uint64_t checksum = 0;
        bool isComplete = remaining.size() >= HeaderBytes;
        if (isComplete) {
            std::memcpy(&length, remaining.data(), LengthBytes);
            std::memcpy(&checksum, remaining.data() + LengthBytes, ChecksumBytes);
            isComplete = length <= MaxRecordBytes && remaining.size() - HeaderBytes >= length;
        }
        const std::string_view payload = isComplete ? remaining.substr(HeaderBytes, length) : "";
        if (!isComplete || payloadChecksum(payload) != checksum) {
            break;
        }
        log.payloads.emplace_back(payload);
        log.validBytes += HeaderBytes + length;
        log.recordEnds.push_back(log.validBytes);
    }
    if (log.validBytes < syncedBytes) {
        return fail(ResultCode::RecordDamaged,
                    "record at byte " + std::to_string(log.validBytes)
                        + " is truncated or fails its checksum");
    }
    return log;
}

DiskLog::DiskLog(std::string folder, ReplicaIdentity identity, WriteFunction write)
    : folder_(std::move(folder)), identity_(std::move(identity)), write_(std::move(write))
{
}

DiskLog::~DiskLog()
{
    if (logFile_ >= 0) {
        ::close(logFile_);
    }
    if (syncedFile_ >= 0) {
        ::close(syncedFile_);
    }
}

Result<void> DiskLog::initialize(const std::string &folder, const std::string &vm,
                                 const consensus::Members &initialMembers)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return fail(ResultCode::StorageFailed, folder + ": " + error.message());
    }
    if (fileExists(folder + "/identity") || fileExists(folder + "/log")) {
        return fail(ResultCode::IdentityLost,
                    folder + " already contains a replica identity or a log");
    }
    return writeIdentity(&::write, folder, { vm, initialMemberId(vm), true, initialMembers });
}

Result<std::unique_ptr<DiskLog>> DiskLog::open(const std::string &folder, const std::string &vm,
                                               WriteFunction write)
{
    if (!write) {
        write = &::write;
    }
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (!fileExists(folder + "/identity")) {
        if (fileExists(folder + "/log") || fileExists(folder + "/snapshot")) {
            return fail(ResultCode::IdentityLost,
                        folder + " contains a log or a snapshot but no replica identity");
        }
        BOOST_LEAF_CHECK(writeIdentity(write, folder, { vm, generateReplicaId(), false, {} }));
    }
    BOOST_LEAF_AUTO(identity, readIdentity(folder));
    if (identity.vm != vm) {
        return fail(ResultCode::IdentityLost,
                    folder + " belongs to VM " + identity.vm + ", not to VM " + vm);
    }
    std::unique_ptr<DiskLog> disk(new DiskLog(folder, std::move(identity), std::move(write)));
    BOOST_LEAF_CHECK(disk->load());
    return disk;
}

bool DiskLog::lacksMembers() const
{
    const auto &entries = storedState_.entries;
    const bool isInLog = std::any_of(entries.begin(), entries.end(), [](const auto &entry) {
        return entry.kind == consensus::EntryKind::Membership;
    });
    return identity_.isInitialMember && storedState_.snapshot.members.empty() && !isInLog;
}

Result<void> DiskLog::setInitialMembers(const consensus::Members &members)
{
    if (!lacksMembers()) {
        return {};
    }
    ReplicaIdentity identity = identity_;
    identity.initialMembers = members;
    BOOST_LEAF_CHECK(writeIdentity(write_, folder_, identity));
    identity_ = std::move(identity);
    storedState_.snapshot.members = members;
    return {};
}

Result<void> DiskLog::load()
{
    storedState_.snapshot.members = identity_.initialMembers;
    if (fileExists(path("hardstate"))) {
        BOOST_LEAF_AUTO(payload, readRecordFile(path("hardstate")));
        wire::HardState message;
        if (!message.ParseFromString(payload)) {
            return fail(ResultCode::RecordDamaged, path("hardstate"));
        }
        storedState_.hardState = { message.term(), message.voted_for() };
    }
    if (fileExists(path("snapshot"))) {
        BOOST_LEAF_AUTO(payload, readRecordFile(path("snapshot")));
        wire::SnapshotFile message;
        if (!message.ParseFromString(payload)) {
            return fail(ResultCode::RecordDamaged, path("snapshot"));
        }
        storedState_.snapshot = fromWire(message);
    }
    return openLog();
}

Result<void> DiskLog::openLog()
{
    const std::string bytes = readFile(path("log"));
    BOOST_LEAF_AUTO(decoded, decodeLog(bytes, decodeSyncedOffset(readFile(path("synced")))));
    for (const std::string &payload : decoded.payloads) {
        wire::LogEntry message;
        if (!message.ParseFromString(payload)) {
            return fail(ResultCode::RecordDamaged, path("log"));
        }
        consensus::Entry entry = fromWire(message);
        const std::uint64_t expected =
            storedState_.entries.empty() ? entry.index : storedState_.entries.back().index + 1;
        if (entry.index != expected) {
            return fail(ResultCode::RecordDamaged,
                        path("log") + ": entry indexes are not contiguous");
        }
        storedState_.entries.push_back(std::move(entry));
    }
    tailWasTruncated_ = decoded.validBytes < bytes.size();
    recordEnds_ = std::move(decoded.recordEnds);
    firstIndex_ = storedState_.entries.empty() ? storedState_.snapshot.index + 1
                                               : storedState_.entries.front().index;
    if (firstIndex_ > storedState_.snapshot.index + 1) {
        return fail(ResultCode::RecordDamaged,
                    path("log") + ": entries between snapshot and log are missing");
    }
    logFile_ = ::open(path("log").c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    syncedFile_ = ::open(path("synced").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (logFile_ < 0 || syncedFile_ < 0) {
        return boost::leaf::new_error(makeStorageFailure(path("log")));
    }
    if (::ftruncate(logFile_, static_cast<off_t>(decoded.validBytes)) != 0
        || ::fsync(logFile_) != 0) {
        return boost::leaf::new_error(makeStorageFailure(path("log")));
    }
    // Keeps only the entries after the snapshot. A crash between writing the snapshot and rewriting
    // the log leaves older ones behind.
    std::vector<consensus::Entry> retained;
    for (const consensus::Entry &entry : storedState_.entries) {
        if (entry.index > storedState_.snapshot.index) {
            retained.push_back(entry);
        }
    }
    const bool hasObsoleteEntries = retained.size() < storedState_.entries.size();
    storedState_.entries = std::move(retained);
    if (hasObsoleteEntries) {
        BOOST_LEAF_CHECK(rewriteLog(storedState_.snapshot.index + 1, storedState_.entries));
    }
    return syncFolder(folder_);
}

Result<void> DiskLog::replaceFile(const std::string &name, std::string_view bytes)
{
    return replication::replaceFile(write_, folder_, name, bytes);
}

// The synced offset may be lower than the synced length of the log, but never higher: it is lowered
// before the log is truncated, and raised after the log is synced.
Result<void> DiskLog::writeSyncedOffset(std::uint64_t bytes)
{
    if (::lseek(syncedFile_, 0, SEEK_SET) != 0) {
        return boost::leaf::new_error(makeStorageFailure(path("synced")));
    }
    return writeAll(write_, syncedFile_, encodeSyncedOffset(bytes), path("synced"));
}

// The offset is not synced here, and a failed write of it is only logged, because a lower offset is
// safe: more of the log then counts as a possibly torn tail, where only corruption that no read has
// detected yet could be truncated instead of reported.
void DiskLog::advanceSyncedOffset()
{
    const auto raised = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(writeSyncedOffset(recordEnds_.empty() ? 0 : recordEnds_.back()));
        return true;
    });
    if (const auto *failure = std::get_if<Failure>(&raised)) {
        logEvent(Event::SyncedMarkKept, { { "reason", toString(*failure) } });
    }
}

Result<void> DiskLog::truncateLog(std::uint64_t bytes)
{
    BOOST_LEAF_CHECK(writeSyncedOffset(bytes));
    BOOST_LEAF_CHECK(syncFile(syncedFile_, path("synced")));
    if (::ftruncate(logFile_, static_cast<off_t>(bytes)) != 0) {
        return boost::leaf::new_error(makeStorageFailure(path("log")));
    }
    return {};
}

Result<void> DiskLog::writeHardState(const consensus::HardState &state)
{
    wire::HardState message;
    message.set_term(state.term);
    message.set_voted_for(state.votedFor);
    return replaceFile("hardstate", encodeLogRecord(message.SerializeAsString()));
}

Result<void> DiskLog::writeSnapshot(const consensus::Snapshot &snapshot,
                                    const std::vector<consensus::Entry> &tail)
{
    // A crash between the two steps leaves entries that the snapshot covers; openLog() drops them.
    BOOST_LEAF_CHECK(
        replaceFile("snapshot", encodeLogRecord(toWire(snapshot).SerializeAsString())));
    return rewriteLog(snapshot.index + 1, tail);
}

Result<void> DiskLog::rewriteLog(std::uint64_t firstIndex,
                                 const std::vector<consensus::Entry> &entries)
{
    std::string bytes;
    std::vector<std::uint64_t> ends;
    for (const consensus::Entry &entry : entries) {
        bytes += encodeLogRecord(toWire(entry).SerializeAsString());
        ends.push_back(bytes.size());
    }
    // The old offset does not apply to the new file, so it is reset first.
    BOOST_LEAF_CHECK(writeSyncedOffset(0));
    BOOST_LEAF_CHECK(syncFile(syncedFile_, path("synced")));
    BOOST_LEAF_CHECK(replaceFile("log", bytes));
    const int log = ::open(path("log").c_str(), O_RDWR | O_APPEND | O_CLOEXEC, 0600);
    if (log < 0) {
        return fail(ResultCode::StorageFailed, path("log") + ": " + std::strerror(errno));
    }
    ::close(logFile_);
    logFile_ = log;
    recordEnds_ = std::move(ends);
    firstIndex_ = firstIndex;
    hasTornTail_ = false;
    advanceSyncedOffset();
    return {};
}

Result<void> DiskLog::writeEntries(std::uint64_t from, const std::vector<consensus::Entry> &entries)
{
    const std::uint64_t nextIndex = firstIndex_ + recordEnds_.size();
    if (from < firstIndex_ || from > nextIndex) {
        return fail(ResultCode::StorageFailed,
                    "the index of the first entry does not continue the log");
    }
    std::vector<std::uint64_t> ends(
        recordEnds_.begin(), recordEnds_.begin() + static_cast<std::ptrdiff_t>(from - firstIndex_));
    const std::uint64_t keptBytes = ends.empty() ? 0 : ends.back();
    if (from < nextIndex || hasTornTail_) {
        BOOST_LEAF_CHECK(truncateLog(keptBytes));
        recordEnds_ = ends;
    }
    std::string bytes;
    for (const consensus::Entry &entry : entries) {
        bytes += encodeLogRecord(toWire(entry).SerializeAsString());
        ends.push_back(keptBytes + bytes.size());
    }
    hasTornTail_ = true;
    BOOST_LEAF_CHECK(writeAll(write_, logFile_, bytes, path("log")));
    BOOST_LEAF_CHECK(syncFile(logFile_, path("log")));
    hasTornTail_ = false;
    recordEnds_ = std::move(ends);
    advanceSyncedOffset();
    return {};
}

} // namespace daisyhaven::replication

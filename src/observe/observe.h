// Structured logs, metrics and traces.
//
// Logs consist of numbered events; a test checks that docs/EVENTS.md matches eventTable(). Metrics
// are exported in the Prometheus text exposition format. Traces are spans with W3C trace context,
// written as OTLP JSON lines. API keys of teams must never be passed to any function here.
//
// Example:
//     logEvent(Event::LeaseAcquired, { { "lease", key }, { "term", term } });
//     metrics.addToCounter("daisyhaven_refused_total", { { "cause", "RateExceeded" } });
//
// Thread safety: logEvent() may be called from any thread. Metrics and TraceWriter are not
// thread-safe; each instance is used from one thread.
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisyhaven {

// Numbered log events. Numbers are stable across releases and are never reused.
enum class Event : std::uint16_t {
    ProcessStarted = 1001,
    ProcessStopping = 1002,
    ProcessStopped = 1003,
    SettingsRejected = 1004,
    SettingsReloaded = 1005,
    LogLinesDropped = 1006,
    MemoryGrown = 1007,
    EventLoopDelayed = 1008,
    MetricsUnavailable = 1009,
    ClientsClosed = 1010,
    ShutdownStarted = 1011,
    HealthChanged = 1101,
    ConfigurationApplied = 1201,
    ConfigurationStale = 1202,
    ConfigurationFetched = 1203,
    ControlElected = 1301,
    ControlSteppedDown = 1302,
    ControlSnapshot = 1303,
    ControlLogRepaired = 1304,
    ControlRefusedStart = 1305,
    ControlMemberChanged = 1306,
    ChangeAccepted = 1307,
    LeaderFound = 1308,
    LeaderLost = 1309,
    ZoneChanged = 1310,
    ChangeRefused = 1311,
    StorageFull = 1312,
    StorageRegained = 1313,
    SyncedMarkKept = 1314,
    RolloutChanged = 1315,
    RolloutRefused = 1316,
    RolloutDecided = 1317,
    ControlMemberDecided = 1318,
    ControlFoundersLearned = 1319,
    LeaseAcquired = 1401,
    LeaseLost = 1402,
    VoterRecovered = 1403,
    MemberJoined = 1501,
    MemberLeft = 1502,
    BackendJoined = 1601,
    BackendLeft = 1602,
    BackendEjected = 1603,
    BackendReadmitted = 1604,
    BackendCold = 1605,
    PathBlocked = 1606,
    EjectionWithheld = 1607,
    RequestQuarantined = 1608,
    ConnectionSilent = 1609,
    ServerSuspected = 1610,
    ServerCleared = 1611,
    ServerChanged = 1612,
    ServerLimitChanged = 1613,
    ServerStatementHeard = 1614,
    ServerStatementIgnored = 1615,
    ServersUnreachable = 1616,
    ServersReachable = 1617,
    AnnouncementRefused = 1618,
    PeerConnected = 1701,
    PeerLost = 1702,
    PeerRejected = 1703,
    UnreadableItemIgnored = 1704,
    RequestFailed = 1801,
    RequestRefused = 1802,
    RequestRetried = 1803,
    RequestLate = 1804,
    RequestEndedByShutdown = 1805,
    LedgerRecovered = 1901,
};

// Catalogue entry of one event: its name, log level and description.
struct EventInfo
{
    Event event;
    const char *name;
    const char *level;
    const char *description;
};

// Returns the whole event catalogue, sorted by event number.
const std::vector<EventInfo> &eventTable();

// A named value attached to a log event or a span.
class Field
{
public:
    Field(std::string name, std::string value)
        : name_(std::move(name)), value_(std::move(value)) { }
    Field(std::string name, const char *value) : name_(std::move(name)), value_(value) { }
    template <class Number, class = std::enable_if_t<std::is_arithmetic_v<Number>>>
    Field(std::string name, Number value) : name_(std::move(name)), value_(std::to_string(value))
    {
    }

    const std::string &name() const { return name_; }
    const std::string &value() const { return value_; }

private:
    std::string name_;
    std::string value_;
};

enum class LogLevel : std::uint8_t { Info, Error };

// Sends events of `level` and above to standard error, and also to `file` unless it is empty.
void startLogging(const std::string &processName, const std::string &file, LogLevel level);

// Writes events to standard output as JSON, one object per line. Logging never blocks the calling
// thread, even if standard output is not drained: lines beyond the buffer or the rate limit are
// dropped, and LogLinesDropped reports how many the rate limit dropped.
void startStructuredLogging(const std::string &processName);

// Logs one event, either as "event=1401 name=LeaseAcquired key=value ..." or, after
// startStructuredLogging(), as a JSON object.
void logEvent(Event event, const std::vector<Field> &fields);

// Returns the bytes of the heap that this process has allocated and not freed.
std::size_t heapBytesInUse();

// Ordered label names and values that identify one time series.
using Labels = std::vector<std::pair<std::string, std::string>>;

// Registry of the counters, gauges and latency summaries of one process.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    // Adds `amount` to a counter.
    void addToCounter(std::string_view name, const Labels &labels, double amount = 1);
    // Sets a gauge to `value`.
    void setGauge(std::string_view name, const Labels &labels, double value);
    // Adds one sample, in seconds, to a summary that exports quantiles 0.5, 0.9 and 0.99.
    void observe(std::string_view name, const Labels &labels, double seconds);
    // Returns the value of a counter or gauge, or 0 if the series does not exist.
    double value(std::string_view name, const Labels &labels) const;
    // Returns all time series in the Prometheus text exposition format.
    std::string expositionText() const;

private:
    class Summary;
    std::map<std::string, std::map<std::string, double>, std::less<>> counters_;
    std::map<std::string, std::map<std::string, double>, std::less<>> gauges_;
    std::map<std::string, std::map<std::string, std::unique_ptr<Summary>>, std::less<>> summaries_;
};

// W3C trace context of one span.
struct TraceContext
{
    std::string traceId; // 32 hexadecimal digits
    std::string spanId; // 16 hexadecimal digits
    bool sampled = true;

    friend bool operator==(const TraceContext &a, const TraceContext &b)
    {
        return a.traceId == b.traceId && a.spanId == b.spanId && a.sampled == b.sampled;
    }
};

// Parses a traceparent header. Returns false and leaves `context` unchanged if it is invalid.
bool parseTraceparent(std::string_view header, TraceContext *context);

// Formats `context` as a traceparent header.
std::string formatTraceparent(const TraceContext &context);

// Returns the context of a root span in a new, sampled trace.
TraceContext newRootSpan();

// Returns the context of a new span in the trace of `parent`; the sampling flag is inherited.
TraceContext newChildSpan(const TraceContext &parent);

// One finished span. Times are microseconds since the Unix epoch.
struct Span
{
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    std::int64_t startMicroseconds = 0;
    std::int64_t endMicroseconds = 0;
    std::vector<Field> attributes;
    bool failed = false;
};

// Appends spans to a file, one OTLP JSON document per line. Disabled if the path is empty.
class TraceWriter
{
public:
    TraceWriter(std::string serviceName, const std::string &file);

    bool isEnabled() const { return stream_.is_open(); }
    void write(const Span &span);
    void flush();

private:
    std::string serviceName_;
    std::ofstream stream_;
};

} // namespace daisyhaven

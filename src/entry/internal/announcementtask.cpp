#include "entry/internal/announcementtask.h"

#include "dispatch/dispatch.h"
#include "peer/generated/peer.pb.h"
#include "text/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace daisyhaven::entry {

namespace {

constexpr Milliseconds ForwardTimeout { 500 };
constexpr Milliseconds ForwardPeriod { 50 };
constexpr std::uint64_t MaxSlots = 100'000;
constexpr std::uint64_t MaxConnections = 1'000'000;

// Parses the fields of an announcement and keeps the first error.
class AnnouncementParser
{
public:
    explicit AnnouncementParser(const nlohmann::json &document) : document_(document) { }

    std::string parseString(const char *field)
    {
        knownFields_.push_back(field);
        if (!document_.contains(field) || !document_[field].is_string()
            || document_[field].get<std::string>().empty()) {
            recordError(field, "must be a non-empty string");
            return "";
        }
        return document_[field].get<std::string>();
    }

    std::uint64_t parseInteger(const char *field, std::uint64_t low, std::uint64_t high)
    {
        knownFields_.push_back(field);
        if (!document_.contains(field) || !document_[field].is_number_unsigned()) {
            recordError(field, "must be a non-negative integer");
            return low;
        }
        const auto value = document_[field].get<std::uint64_t>();
        if (value < low || value > high) {
            recordError(field, "is out of range");
        }
        return value;
    }

    double parseOptionalNumber(const char *field)
    {
        knownFields_.push_back(field);
        const bool isNumber = document_.contains(field) && document_[field].is_number();
        return isNumber ? document_[field].get<double>() : 0;
    }

    void rejectUnknownFields()
    {
        for (const auto &[key, value] : document_.items()) {
            if (std::find(knownFields_.begin(), knownFields_.end(), key) == knownFields_.end()) {
                recordError(key.c_str(), "is an unknown field");
            }
        }
    }

    void recordError(const char *field, const char *reason)
    {
        if (error_.empty()) {
            error_ = std::string(field) + " " + reason;
        }
    }

    const std::string &error() const { return error_; }

private:
    const nlohmann::json &document_;
    std::vector<std::string> knownFields_;
    std::string error_;
};

Result<wire::Announcement> parseAnnouncement(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return fail(ResultCode::AnnouncementInvalid, "the body is not a JSON object");
    }
    AnnouncementParser parser(document);
    wire::Announcement announcement;
    announcement.set_service(parser.parseString("service"));
    announcement.set_address(parser.parseString("address"));
    announcement.set_availability_zone(parser.parseString("availability_zone"));
    announcement.set_slots(static_cast<std::uint32_t>(parser.parseInteger("slots", 1, MaxSlots)));
    announcement.set_connections(
        static_cast<std::uint32_t>(parser.parseInteger("connections", 1, MaxConnections)));
    announcement.set_incarnation(parser.parseInteger("incarnation", 0, UINT64_MAX));
    announcement.set_load(parser.parseOptionalNumber("load"));
    announcement.set_state(parser.parseString("state"));
    parser.rejectUnknownFields();
    static constexpr std::array<std::string_view, 3> States { "cold", "ready", "draining" };
    if (std::find(States.begin(), States.end(), announcement.state()) == States.end()) {
        parser.recordError("state", "must be cold, ready or draining");
    }
    if (announcement.connections() < announcement.slots()) {
        parser.recordError("connections", "must be at least slots");
    }
    if (!parser.error().empty()) {
        return fail(ResultCode::AnnouncementInvalid, parser.error());
    }
    const auto address = attempt([&] { return peer::parseAddress(announcement.address()); });
    if (std::holds_alternative<Failure>(address)) {
        return fail(ResultCode::AnnouncementInvalid, "address must be an IP address with a port");
    }
    return announcement;
}

} // namespace

class AnnouncementTask::Impl
{
public:
    explicit Impl(Context &context) : context_(context)
    {
        forwardTimer_ = context_.timers.runEvery(ForwardPeriod, [this] { forwardPending(); });
    }

    EndpointResponse handleAnnouncement(const EndpointRequest &request)
    {
        const auto parsed = attempt([&] { return parseAnnouncement(request.body); });
        if (const auto *failure = std::get_if<Failure>(&parsed)) {
            const nlohmann::json document { { "code", static_cast<int>(failure->code) },
                                            { "name", resultInfo(failure->code).name },
                                            { "detail", failure->detail } };
            return { 400, "application/json", toJsonText(document) + "\n" };
        }
        const auto &announcement = std::get<wire::Announcement>(parsed);
        KnownServer &server = servers_[{ announcement.service(), announcement.address() }];
        server.announcement = announcement;
        server.receivedAt = context_.timers.now();
        forward(server);
        const bool published =
            context_.fleet.configuration().findService(announcement.service()) != nullptr;
        const nlohmann::json document { { "accepted", true }, { "published", published } };
        return { 200, "application/json", toJsonText(document) + "\n" };
    }

private:
    struct KnownServer
    {
        wire::Announcement announcement;
        Instant receivedAt;
        std::optional<fleet::LeaseHolderAddress> forwardedTo;
    };

    std::optional<fleet::LeaseHolderAddress> dispatcherOf(const KnownServer &server) const
    {
        return context_.fleet.leaseHolder(fleet::dispatchLeaseKey(
            server.announcement.service(), server.announcement.availability_zone()));
    }

    void forward(KnownServer &server)
    {
        server.forwardedTo = dispatcherOf(server);
        if (!server.forwardedTo) {
            return;
        }
        wire::Announcement message = server.announcement;
        const Duration age = context_.timers.now() - server.receivedAt;
        message.set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(age).count()));
        const std::pair<std::string, std::string> key { message.service(), message.address() };
        context_.clients.call<wire::Empty>(
            server.forwardedTo->address, peer::Method::Announce, message, ForwardTimeout,
            [this, key](const peer::CallResult<wire::Empty> &result) {
                const auto found = servers_.find(key);
                if (found != servers_.end() && std::holds_alternative<Failure>(result)) {
                    found->second.forwardedTo.reset();
                }
            });
    }

    // Forwards unexpired announcements to dispatchers that have not received them, for example
    // after a takeover, and removes expired ones.
    void forwardPending()
    {
        const Instant now = context_.timers.now();
        for (auto entry = servers_.begin(); entry != servers_.end();) {
            KnownServer &server = entry->second;
            if (now - server.receivedAt > dispatch::AnnouncementLifetime) {
                entry = servers_.erase(entry);
                continue;
            }
            const auto dispatcher = dispatcherOf(server);
            const bool isForwarded =
                server.forwardedTo && dispatcher && *server.forwardedTo == *dispatcher;
            if (dispatcher && !isForwarded) {
                forward(server);
            }
            ++entry;
        }
    }

    Context &context_;
    std::map<std::pair<std::string, std::string>, KnownServer> servers_;
    TimerHandle forwardTimer_;
};

AnnouncementTask::AnnouncementTask(Context &context) : impl_(std::make_unique<Impl>(context)) { }
AnnouncementTask::~AnnouncementTask() = default;

void AnnouncementTask::registerEndpoints(EndpointServer &endpoints)
{
    endpoints.addHandler("/announce", [this](const EndpointRequest &request) {
        return impl_->handleAnnouncement(request);
    });
}

} // namespace daisyhaven::entry

// The begin of an exchange: its route and team, its deadline and its body.
#include "gateway/internal/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace daisyhaven::gateway {

namespace {

constexpr std::size_t MaxFingerprintBodyBytes = 4096;
// Deadline of a request without a deadline header.
constexpr Seconds DefaultDeadline { 30 };
// Requests wait this long until a VM that has just started receives its configuration: control VMs
// that start at the same time need a second to elect a leader.
constexpr Milliseconds MaxWaitForConfiguration { 1500 };
constexpr Milliseconds ConfigurationCheckInterval { 25 };
constexpr std::string_view BearerPrefix = "Bearer ";

std::string bearerToken(const http::Headers &headers)
{
    const std::string *field = headers.find("authorization");
    const bool bearer =
        field != nullptr && field->compare(0, BearerPrefix.size(), BearerPrefix) == 0;
    return bearer ? field->substr(BearerPrefix.size()) : "";
}

// Returns the approximate memory of a head: many short fields take far more than their text.
std::size_t memoryOf(const http::RequestHead &head)
{
    std::size_t bytes = head.path.size() + head.query.size();
    for (const http::Header &field : head.headers.fields()) {
        bytes += sizeof(http::Header) + field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace

Exchange::Exchange(const GatewayContext &context, http::ResponseSink *sink, http::RequestHead head,
                   RequestOrigin origin)
    : context_(context), sink_(sink), head_(std::move(head)), origin_(origin),
      headBytes_(memoryOf(head_)), startedAt_(context.now()),
      deadline_(startedAt_ + DefaultDeadline)
{
    const std::string *id = head_.headers.find(context_.options.headers.requestId);
    requestId_ = id == nullptr ? "" : *id;
}

// Admission runs in the next iteration of the event loop, so that a body that arrived with the head
// is read first.
void Exchange::start(std::function<void()> finished)
{
    finished_ = std::move(finished);
    const std::weak_ptr<Exchange> weak = weak_from_this();
    context_.timers.post([weak] {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::ReadingBody) {
            self->admit();
        }
    });
}

void Exchange::rejectUnparsed(const Failure &failure, std::function<void()> finished)
{
    finished_ = std::move(finished);
    reject(failure.code, failure.detail, Duration(0));
}

void Exchange::admit()
{
    parseDeadline();
    if (isRelayed()) {
        const auto read = attempt([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(readRelayHeaders());
            return true;
        });
        if (const auto *failure = std::get_if<Failure>(&read)) {
            refuseAsRelay(failure->detail);
            return;
        }
    }
    const auto found = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(resolveRouteAndTeam());
        return true;
    });
    if (const auto *failure = std::get_if<Failure>(&found)) {
        const bool wait = failure->code == ResultCode::NotReady
            && context_.now() - startedAt_ < MaxWaitForConfiguration && context_.now() < deadline_;
        if (wait) {
            scheduleAdmission();
            return;
        }
        reject(failure->code, failure->detail, Milliseconds(500));
        return;
    }
    if (route_->timeout) {
        deadline_ = std::min(deadline_, startedAt_ + Duration(*route_->timeout));
    }
    if (context_.now() >= deadline_) {
        reject(ResultCode::DeadlineUnreachable, "deadline passed before admission", Duration(0));
        return;
    }
    const std::weak_ptr<Exchange> weak = weak_from_this();
    deadlineTimer_ = context_.timers.runAfter(deadline_ - context_.now(), [weak] {
        if (const auto self = weak.lock()) {
            self->onDeadline();
        }
    });
    admitted_ = true;
    const bool tooLarge =
        std::max(body_.receivedBytes(), head_.contentLength) > table_->limits().maxBodyBytes;
    if (tooLarge) {
        reject(ResultCode::BodyTooLarge, "", Duration(0));
        return;
    }
    if (head_.expectsContinue && !body_.hasEnded() && sink_ != nullptr) {
        sink_->sendContinue();
    }
    if (head_.framing == http::Framing::None) {
        body_.end();
    }
    if (body_.isReady()) {
        requestFirstSlot();
    }
}

void Exchange::scheduleAdmission()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    deadlineTimer_ = context_.timers.runAfter(ConfigurationCheckInterval, [weak] {
        const auto self = weak.lock();
        if (self && self->stage_ == Stage::ReadingBody) {
            self->admit();
        }
    });
}

Result<void> Exchange::resolveRouteAndTeam()
{
    table_ = context_.leader.view().routingTable;
    if (!table_) {
        return fail(ResultCode::NotReady, "no configuration received yet");
    }
    const std::string *host = head_.headers.find("host");
    route_ = table_->findRoute(host == nullptr ? "" : *host, head_.path);
    if (route_ == nullptr) {
        return fail(ResultCode::UnknownRoute, "");
    }
    const std::string key = bearerToken(head_.headers);
    team_ = key.empty() ? nullptr : table_->findTeamByKey(key);
    const bool keyNeeded = !table_->teams().empty() && !route_->allowUnauthenticated;
    if (keyNeeded && team_ == nullptr) {
        return fail(key.empty() ? ResultCode::KeyMissing : ResultCode::KeyInvalid, "");
    }
    service_ = context_.servicePicker.pick(*route_);
    return {};
}

void Exchange::parseDeadline()
{
    const std::string *field = head_.headers.find(context_.options.headers.deadlineMs);
    if (field == nullptr) {
        return;
    }
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(field->data(), field->data() + field->size(), milliseconds);
    if (parsed.ec == std::errc()) {
        // A client that waits no longer says 0.
        deadline_ = startedAt_ + Milliseconds(std::max<std::int64_t>(milliseconds, 0));
    }
}

void Exchange::onBodyData(std::string_view data)
{
    if (stage_ == Stage::Done) {
        return;
    }
    body_.append(data);
    if (!admitted_) {
        return;
    }
    if (body_.receivedBytes() > table_->limits().maxBodyBytes) {
        reject(ResultCode::BodyTooLarge, "", Duration(0));
        return;
    }
    if (stage_ == Stage::CallingBackend) {
        body_.forward(call_.get(), sink_);
        return;
    }
    if (body_.isFull()) {
        body_.pause(sink_);
    }
    if (stage_ == Stage::ReadingBody && body_.isReady()) {
        requestFirstSlot();
    }
}

void Exchange::onBodyEnd()
{
    if (stage_ == Stage::Done) {
        return;
    }
    body_.end();
    if (!admitted_) {
        return;
    }
    if (stage_ == Stage::ReadingBody) {
        requestFirstSlot();
    } else if (stage_ == Stage::CallingBackend) {
        body_.forward(call_.get(), sink_);
    }
}

// Runs once the body is complete or has reached the retained size.
void Exchange::requestFirstSlot()
{
    const std::string team = team_ == nullptr ? "" : team_->name;
    std::string text = head_.method + " " + requestTarget() + " " + team + " "
        + std::to_string(body_.receivedBytes()) + " ";
    text.append(body_.held(), 0, MaxFingerprintBodyBytes);
    fingerprint_ = XXH3_64bits(text.data(), text.size());
    requestSlot(sentAttempts_ > 0);
}

std::string Exchange::requestTarget() const
{
    return head_.query.empty() ? head_.path : head_.path + "?" + head_.query;
}

} // namespace daisyhaven::gateway

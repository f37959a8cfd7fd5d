#include "gateway/internal/requestbody.h"

#include <algorithm>
#include <utility>

namespace daisyhaven::gateway {

namespace {

// Bytes of a body that are read before a slot is requested, and that are retained for a retry.
constexpr std::size_t MaxRetainedBytes = 512UL * 1024;
// What is read beyond that before reading pauses.
constexpr std::size_t ReadAheadBytes = 64UL * 1024;

} // namespace

void RequestBody::append(std::string_view data)
{
    receivedBytes_ += data.size();
    makeRoom(data.size());
    buffer_.append(data);
}

// Doubles the room as std::string would, but not beyond what a body holds at most.
void RequestBody::makeRoom(std::size_t bytes)
{
    const std::size_t needed = buffer_.size() + bytes;
    if (needed <= buffer_.capacity()) {
        return;
    }
    std::string larger;
    larger.reserve(
        std::max(needed, std::min(2 * buffer_.capacity(), MaxRetainedBytes + ReadAheadBytes)));
    larger += buffer_;
    buffer_ = std::move(larger);
}

bool RequestBody::isFull() const
{
    return buffer_.size() >= MaxRetainedBytes;
}

void RequestBody::forward(BackendCall *call, http::ResponseSink *sink)
{
    if (forwarded_) {
        return;
    }
    if (!call->outputFull()) {
        send(call);
    }
    if (call->outputFull()) {
        pause(sink);
    } else {
        resume(sink);
    }
}

void RequestBody::send(BackendCall *call)
{
    if (receivedBytes_ >= MaxRetainedBytes) {
        retained_ = false;
    }
    if (retained_ && !ended_) {
        // The body is sent once it is complete or too large to be retained.
        return;
    }
    call->sendBody(buffer_);
    if (!retained_) {
        release();
    }
    if (ended_) {
        forwarded_ = true;
        call->endBody();
    }
}

void RequestBody::pause(http::ResponseSink *sink)
{
    if (!ended_ && !paused_ && sink != nullptr) {
        paused_ = true;
        sink->pauseBody();
    }
}

void RequestBody::resume(http::ResponseSink *sink)
{
    if (paused_ && sink != nullptr) {
        paused_ = false;
        sink->resumeBody();
    }
}

void RequestBody::release()
{
    buffer_.clear();
    buffer_.shrink_to_fit();
}

} // namespace daisyhaven::gateway

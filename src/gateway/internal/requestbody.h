// The body of one request, on its way from the caller to a backend server.
#pragma once

#include "gateway/internal/backendcall.h"

#include <string>

namespace daisyhaven::gateway {

// Retains a body while it is small, so that it can be sent again. Of a larger one, the caller's
// connection is read only as fast as the server takes it.
class RequestBody
{
public:
    void append(std::string_view data);
    void end() { ended_ = true; }
    bool hasEnded() const { return ended_; }
    // Returns true once a server can be given the body: it is complete, or too large to be
    // retained.
    bool isReady() const { return ended_ || isFull(); }
    bool isFull() const;
    // Returns true while another attempt could send the body from its begin.
    bool isRetained() const { return retained_; }
    std::uint64_t receivedBytes() const { return receivedBytes_; }
    // Returns the memory that is held, beside what the call holds.
    std::size_t heldBytes() const { return buffer_.capacity(); }
    // Returns the part that is held: not yet sent, or retained.
    const std::string &held() const { return buffer_; }

    void startAttempt() { forwarded_ = false; }
    // Sends what the server takes to the call, and pauses or resumes reading from the caller.
    // `sink` may be null: the caller has gone.
    void forward(BackendCall *call, http::ResponseSink *sink);
    // Returns true once the current attempt has the whole body.
    bool isForwarded() const { return forwarded_; }
    // Stops reading from the caller, unless nothing more is to be read.
    void pause(http::ResponseSink *sink);
    void release();

private:
    void makeRoom(std::size_t bytes);
    void send(BackendCall *call);
    void resume(http::ResponseSink *sink);

    std::string buffer_;
    std::uint64_t receivedBytes_ = 0;
    bool ended_ = false;
    bool paused_ = false;
    bool retained_ = true;
    bool forwarded_ = false;
};

} // namespace daisyhaven::gateway

// Reads HTTP/1.1 messages with libevhtp's parser; private to the http package.
#pragma once

#include "http/http.h"

extern "C" {
#include <evhtp/parser.h>
}

#include <memory>

namespace daisyhaven::http::internal {

// What a parsed head says, before it is checked.
struct RawHead
{
    std::string method;
    std::string path;
    std::string arguments;
    int status = 0;
    int major = 1;
    int minor = 1;
    bool keepAlive = true;
    Headers headers;
};

// Receives the parts of one message at a time.
class MessageSink
{
public:
    virtual ~MessageSink() = default;
    // Returns false to stop reading: the message is refused.
    virtual bool onHead(RawHead head) = 0;
    virtual bool onBody(std::string_view data) = 0;
    virtual void onEnd() = 0;
};

enum class ReadState : std::uint8_t { Wants, Finished, Refused, HeadTooLarge, Malformed };

class MessageReader
{
public:
    MessageReader(htp_type type, MessageSink &sink);

    // Feeds bytes; returns how many belong to the present message. Stops after its end. Takes
    // nothing until the whole head is there.
    std::size_t feed(const char *data, std::size_t length);
    ReadState state() const { return state_; }
    // Prepares for the next message.
    void restart();
    bool inMessage() const { return inMessage_; }

private:
    friend struct ParserHooks;

    struct ParserDeleter
    {
        void operator()(htparser *parser) const { free(parser); }
    };

    htp_type type_;
    MessageSink &sink_;
    std::unique_ptr<htparser, ParserDeleter> parser_;
    RawHead head_;
    std::string fieldName_;
    std::size_t headBytes_ = 0;
    bool headDone_ = false;
    bool inMessage_ = false;
    ReadState state_ = ReadState::Wants;
};

// Body length of a message as its headers give it. Errors: ConflictingFraming, MalformedRequest.
struct BodyLength
{
    Framing framing = Framing::None;
    std::uint64_t length = 0;
};
Result<BodyLength> bodyLength(const Headers &headers, int minorVersion);

// Errors: MalformedRequest if a name or value holds characters that HTTP forbids.
Result<void> checkFields(const Headers &headers);

} // namespace daisyhaven::http::internal

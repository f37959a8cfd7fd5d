// Parses HTTP/1.1 messages: heads and bodies of a known length with libevhtp's parser, chunks with
// a decoder of our own. What bodyLength() finds decides between them. Private to the http package.
#pragma once

#include "http/http.h"
#include "http/internal/chunkdecoder.h"

extern "C" {
#include <evhtp/parser.h>
}

#include <memory>
#include <optional>

namespace daisyhaven::http::internal {

// The start line and header fields of a message, parsed but not validated.
struct RawHead
{
    std::string method;
    std::string path;
    std::string query;
    int status = 0;
    int major = 1;
    int minor = 1;
    bool keepAlive = true;
    Headers headers;
};

// Receives the parts of a message in order.
class MessageSink
{
public:
    virtual ~MessageSink() = default;
    // onHead() and onBody() return false to stop the parser: the message is rejected.
    virtual bool onHead(RawHead head) = 0;
    virtual bool onBody(std::string_view data) = 0;
    virtual void onEnd() = 0;
};

enum class ParseState : std::uint8_t { NeedsInput, Finished, Rejected, HeadTooLarge, Malformed };

class MessageParser
{
public:
    MessageParser(htp_type type, MessageSink &sink);

    // Parses `data` and returns the number of consumed bytes, which all belong to the current
    // message. Stops at the end of the message. Consumes nothing until `data` holds the complete
    // head.
    std::size_t feed(const char *data, std::size_t length);
    ParseState state() const { return state_; }
    // Resets the parser for the next message.
    void reset();
    bool isInMessage() const { return inMessage_; }

private:
    friend struct ParserCallbacks;

    std::size_t decodeChunks(std::string_view data);

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
    bool headParsed_ = false;
    bool inMessage_ = false;
    // Set while a body in chunks is decoded.
    std::optional<ChunkDecoder> chunks_;
    ParseState state_ = ParseState::NeedsInput;
};

// The framing and length of a body.
struct BodyLength
{
    Framing framing = Framing::None;
    std::uint64_t length = 0;
};
// Returns the body length that the header fields declare. Errors: ConflictingFraming.
Result<BodyLength> bodyLength(const Headers &headers, int minorVersion);

// Errors: MalformedRequest if a name or value contains a character that HTTP forbids.
Result<void> checkFields(const Headers &headers);

// Returns the head of a request. Errors: MalformedRequest, and those of bodyLength().
Result<RequestHead> validateRequestHead(RawHead raw);

} // namespace daisyhaven::http::internal

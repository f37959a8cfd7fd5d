#include "http/internal/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace daisyhaven::http {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isTokenCharacter(char c)
{
    static constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || TokenPunctuation.find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool hasDotSegment(const std::string &path)
{
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const bool encodedDot = path[i] == '%' && i + 2 < path.size() && path[i + 1] == '2'
            && (path[i + 2] == 'e' || path[i + 2] == 'E');
        decoded += encodedDot ? '.' : path[i];
        i += encodedDot ? 2 : 0;
    }
    decoded += '/';
    return decoded.find("/../") != std::string::npos || decoded.find("/./") != std::string::npos
        || path.find("//") != std::string::npos;
}

} // namespace

const std::string *Headers::find(std::string_view name) const
{
    for (const Header &field : fields_) {
        if (equalsIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(),
                      [&](const Header &field) { return equalsIgnoringCase(field.name, name); }));
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> Names {
        "connection", "keep-alive",     "proxy-authenticate", "proxy-authorization",
        "te",         "trailer",        "transfer-encoding",  "upgrade",
        "expect",     "content-length",
    };
    return std::any_of(Names.begin(), Names.end(), [&](std::string_view hopByHopName) {
        return equalsIgnoringCase(hopByHopName, name);
    });
}

namespace internal {

// Callbacks for the C interface of libevhtp's parser, which takes free or static functions.
struct ParserCallbacks
{
    static MessageParser &parserOf(htparser *parser)
    {
        return *static_cast<MessageParser *>(htparser_get_userdata(parser));
    }

    static int begin(htparser *parser)
    {
        parserOf(parser).inMessage_ = true;
        return 0;
    }

    static int path(htparser *parser, const char *data, size_t length)
    {
        parserOf(parser).head_.path.append(data, length);
        return 0;
    }

    static int query(htparser *parser, const char *data, size_t length)
    {
        parserOf(parser).head_.query.append(data, length);
        return 0;
    }

    static int fieldName(htparser *parser, const char *data, size_t length)
    {
        parserOf(parser).fieldName_.assign(data, length);
        return 0;
    }

    static int fieldValue(htparser *parser, const char *data, size_t length)
    {
        MessageParser &messageParser = parserOf(parser);
        messageParser.head_.headers.add(messageParser.fieldName_, std::string(data, length));
        return 0;
    }

    static int headComplete(htparser *parser)
    {
        MessageParser &messageParser = parserOf(parser);
        RawHead &head = messageParser.head_;
        messageParser.headParsed_ = true;
        head.major = htparser_get_major(parser);
        head.minor = htparser_get_minor(parser);
        head.keepAlive = htparser_should_keep_alive(parser) != 0;
        if (messageParser.type_ == htp_type_request) {
            const char *method = htparser_get_methodstr(parser);
            head.method = method == nullptr ? "" : method;
        } else {
            head.status = static_cast<int>(htparser_get_status(parser));
        }
        const bool chunked = isChunked(head);
        if (!messageParser.sink_.onHead(std::move(head))) {
            messageParser.state_ = ParseState::Rejected;
            return 1;
        }
        if (chunked) {
            messageParser.chunks_.emplace(MaxHeadBytes);
        }
        // Stops libevhtp's parser before a body in chunks.
        return chunked ? 1 : 0;
    }

    static bool isChunked(const RawHead &head)
    {
        const auto found = attempt([&] { return bodyLength(head.headers, head.minor); });
        const auto *length = std::get_if<BodyLength>(&found);
        return length != nullptr && length->framing == Framing::Chunked;
    }

    static int body(htparser *parser, const char *data, size_t length)
    {
        MessageParser &messageParser = parserOf(parser);
        if (!messageParser.sink_.onBody({ data, length })) {
            messageParser.state_ = ParseState::Rejected;
            return 1;
        }
        return 0;
    }

    // Stops the parser, so that it does not consume bytes of the next message.
    static int end(htparser *parser)
    {
        parserOf(parser).state_ = ParseState::Finished;
        return 1;
    }
};

namespace {

htparse_hooks makeParserCallbacks()
{
    htparse_hooks parserCallbacks {};
    parserCallbacks.on_msg_begin = &ParserCallbacks::begin;
    parserCallbacks.path = &ParserCallbacks::path;
    parserCallbacks.args = &ParserCallbacks::query;
    parserCallbacks.hdr_key = &ParserCallbacks::fieldName;
    parserCallbacks.hdr_val = &ParserCallbacks::fieldValue;
    parserCallbacks.on_hdrs_complete = &ParserCallbacks::headComplete;
    parserCallbacks.body = &ParserCallbacks::body;
    parserCallbacks.on_msg_complete = &ParserCallbacks::end;
    return parserCallbacks;
}

} // namespace

MessageParser::MessageParser(htp_type type, MessageSink &sink)
    : type_(type), sink_(sink), parser_(htparser_new())
{
    reset();
}

void MessageParser::reset()
{
    htparser_init(parser_.get(), type_);
    htparser_set_userdata(parser_.get(), this);
    head_ = RawHead {};
    fieldName_.clear();
    headBytes_ = 0;
    headParsed_ = false;
    inMessage_ = false;
    chunks_.reset();
    state_ = ParseState::NeedsInput;
}

// Returns the number of consumed bytes.
std::size_t MessageParser::decodeChunks(std::string_view data)
{
    const std::size_t consumed =
        chunks_->decode(data, [this](std::string_view part) { return sink_.onBody(part); });
    switch (chunks_->state()) {
    case ChunkDecoder::State::NeedsInput:
        break;
    case ChunkDecoder::State::Finished:
        state_ = ParseState::Finished;
        break;
    case ChunkDecoder::State::Malformed:
        state_ = ParseState::Malformed;
        break;
    case ChunkDecoder::State::Stopped:
        state_ = ParseState::Rejected;
        break;
    }
    return consumed;
}

// libevhtp's parser corrupts a request line that arrives in pieces, so it is fed complete heads
// only.
static bool containsCompleteHead(std::string_view data)
{
    return data.find("\r\n\r\n") != std::string_view::npos
        || data.find("\n\n") != std::string_view::npos;
}

// Returns whether a response head starts with a status line of HTTP/1.x whose status belongs to one
// of the five classes. libevhtp's parser also accepts other versions, statuses and separators.
static bool hasValidStatusLine(std::string_view head)
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::size_t MinorVersionAt = Version.size();
    constexpr std::size_t StatusAt = MinorVersionAt + 2;
    constexpr std::size_t StatusEnd = StatusAt + 3;
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    const bool hasVersion = head.size() > StatusEnd && head.substr(0, Version.size()) == Version
        && isDigit(head[MinorVersionAt]) && head[StatusAt - 1] == ' ';
    if (!hasVersion) {
        return false;
    }
    const bool isStatus = head[StatusAt] >= '1' && head[StatusAt] <= '5'
        && isDigit(head[StatusAt + 1]) && isDigit(head[StatusAt + 2]);
    return isStatus
        && (head[StatusEnd] == ' ' || head[StatusEnd] == '\r' || head[StatusEnd] == '\n');
}

std::size_t MessageParser::feed(const char *data, std::size_t length)
{
    static htparse_hooks parserCallbacks = makeParserCallbacks();
    if (state_ != ParseState::NeedsInput) {
        return 0;
    }
    inMessage_ = inMessage_ || length > 0;
    if (!headParsed_ && !containsCompleteHead({ data, length })) {
        state_ = length > MaxHeadBytes ? ParseState::HeadTooLarge : ParseState::NeedsInput;
        return 0;
    }
    const bool isResponseHead = type_ == htp_type_response && !headParsed_;
    if (isResponseHead && !hasValidStatusLine({ data, length })) {
        state_ = ParseState::Malformed;
        return 0;
    }
    const bool headWasParsed = headParsed_;
    std::size_t consumed =
        chunks_ ? 0 : htparser_run(parser_.get(), &parserCallbacks, data, length);
    if (chunks_ && state_ == ParseState::NeedsInput) {
        consumed += decodeChunks({ data + consumed, length - consumed });
    }
    if (!headWasParsed) {
        headBytes_ += headParsed_ ? 0 : consumed;
        if (headBytes_ > MaxHeadBytes) {
            state_ = ParseState::HeadTooLarge;
            return consumed;
        }
    }
    if (state_ == ParseState::Finished) {
        sink_.onEnd();
        return consumed;
    }
    if (state_ == ParseState::NeedsInput && !chunks_
        && htparser_get_error(parser_.get()) != htparse_error_none) {
        // The parser also reports htparse_error_too_big for a Content-Length that is not a number.
        const bool headTooLarge = htparser_get_error(parser_.get()) == htparse_error_too_big
            && headBytes_ > MaxHeadBytes / 2;
        state_ = headTooLarge ? ParseState::HeadTooLarge : ParseState::Malformed;
    }
    return consumed;
}

Result<BodyLength> bodyLength(const Headers &headers, int minorVersion)
{
    const std::size_t contentLengthCount = headers.count("content-length");
    const std::size_t transferEncodingCount = headers.count("transfer-encoding");
    if (contentLengthCount + transferEncodingCount > 1) {
        return fail(ResultCode::ConflictingFraming,
                    "more than one Content-Length or Transfer-Encoding field");
    }
    if (transferEncodingCount == 1) {
        const bool chunked = equalsIgnoringCase(*headers.find("transfer-encoding"), "chunked");
        if (!chunked || minorVersion < 1) {
            return fail(ResultCode::ConflictingFraming,
                        "Transfer-Encoding is not chunked or the message is not HTTP/1.1");
        }
        return BodyLength { Framing::Chunked, 0 };
    }
    if (contentLengthCount == 0) {
        return BodyLength {};
    }
    const std::string &text = *headers.find("content-length");
    std::uint64_t length = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return fail(ResultCode::ConflictingFraming, "Content-Length is not a decimal number");
    }
    return BodyLength { Framing::Length, length };
}

Result<void> checkFields(const Headers &headers)
{
    for (const Header &field : headers.fields()) {
        const bool validName = !field.name.empty()
            && std::all_of(field.name.begin(), field.name.end(), isTokenCharacter);
        const bool validValue =
            std::all_of(field.value.begin(), field.value.end(), isValueCharacter);
        if (!validName || !validValue) {
            return fail(ResultCode::MalformedRequest,
                        "header field name or value contains a forbidden character");
        }
    }
    return {};
}

Result<RequestHead> validateRequestHead(RawHead raw)
{
    BOOST_LEAF_CHECK(checkFields(raw.headers));
    if (raw.major != 1) {
        return fail(ResultCode::MalformedRequest, "the HTTP major version is not 1");
    }
    const std::size_t hostCount = raw.headers.count("host");
    const bool hostValid = hostCount == 1 || (hostCount == 0 && raw.minor == 0);
    if (!hostValid) {
        return fail(ResultCode::MalformedRequest, "the request must have exactly one Host field");
    }
    if (raw.path.empty() || raw.path.front() != '/' || hasDotSegment(raw.path)) {
        return fail(ResultCode::MalformedRequest,
                    "the path is not absolute or contains empty or dot segments");
    }
    BOOST_LEAF_AUTO(body, bodyLength(raw.headers, raw.minor));
    RequestHead head;
    head.method = std::move(raw.method);
    head.path = std::move(raw.path);
    head.query = std::move(raw.query);
    const std::string *expect = raw.headers.find("expect");
    head.expectsContinue = expect != nullptr && raw.minor >= 1;
    head.headers = std::move(raw.headers);
    head.framing = body.framing;
    head.contentLength = body.length;
    head.keepAlive = raw.keepAlive;
    return head;
}

} // namespace internal

} // namespace daisyhaven::http

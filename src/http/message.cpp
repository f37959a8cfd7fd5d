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
    static constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || Marks.find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != 0x7f);
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

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> Names {
        "connection", "keep-alive",     "proxy-authenticate", "proxy-authorization",
        "te",         "trailer",        "transfer-encoding",  "upgrade",
        "expect",     "content-length",
    };
    return std::any_of(Names.begin(), Names.end(),
                       [&](std::string_view hop) { return equalsIgnoringCase(hop, name); });
}

namespace internal {

// The callbacks of libevhtp's parser, which cannot be members.
struct ParserHooks
{
    static MessageReader &self(htparser *parser)
    {
        return *static_cast<MessageReader *>(htparser_get_userdata(parser));
    }

    static int begin(htparser *parser)
    {
        self(parser).inMessage_ = true;
        return 0;
    }

    static int path(htparser *parser, const char *data, size_t length)
    {
        self(parser).head_.path.append(data, length);
        return 0;
    }

    static int arguments(htparser *parser, const char *data, size_t length)
    {
        self(parser).head_.arguments.append(data, length);
        return 0;
    }

    static int fieldName(htparser *parser, const char *data, size_t length)
    {
        self(parser).fieldName_.assign(data, length);
        return 0;
    }

    static int fieldValue(htparser *parser, const char *data, size_t length)
    {
        MessageReader &reader = self(parser);
        reader.head_.headers.add(reader.fieldName_, std::string(data, length));
        return 0;
    }

    static int headDone(htparser *parser)
    {
        MessageReader &reader = self(parser);
        RawHead &head = reader.head_;
        reader.headDone_ = true;
        head.major = htparser_get_major(parser);
        head.minor = htparser_get_minor(parser);
        head.keepAlive = htparser_should_keep_alive(parser) != 0;
        if (reader.type_ == htp_type_request) {
            const char *method = htparser_get_methodstr(parser);
            head.method = method == nullptr ? "" : method;
        } else {
            head.status = static_cast<int>(htparser_get_status(parser));
        }
        if (!reader.sink_.onHead(std::move(head))) {
            reader.state_ = ReadState::Refused;
            return 1;
        }
        return 0;
    }

    static int body(htparser *parser, const char *data, size_t length)
    {
        MessageReader &reader = self(parser);
        if (!reader.sink_.onBody({ data, length })) {
            reader.state_ = ReadState::Refused;
            return 1;
        }
        return 0;
    }

    // Stops the parser, so that bytes of a next message stay unread.
    static int end(htparser *parser)
    {
        self(parser).state_ = ReadState::Finished;
        return 1;
    }
};

namespace {

htparse_hooks makeHooks()
{
    htparse_hooks hooks {};
    hooks.on_msg_begin = &ParserHooks::begin;
    hooks.path = &ParserHooks::path;
    hooks.args = &ParserHooks::arguments;
    hooks.hdr_key = &ParserHooks::fieldName;
    hooks.hdr_val = &ParserHooks::fieldValue;
    hooks.on_hdrs_complete = &ParserHooks::headDone;
    hooks.body = &ParserHooks::body;
    hooks.on_msg_complete = &ParserHooks::end;
    return hooks;
}

} // namespace

MessageReader::MessageReader(htp_type type, MessageSink &sink)
    : type_(type), sink_(sink), parser_(htparser_new())
{
    restart();
}

void MessageReader::restart()
{
    htparser_init(parser_.get(), type_);
    htparser_set_userdata(parser_.get(), this);
    head_ = RawHead {};
    fieldName_.clear();
    headBytes_ = 0;
    headDone_ = false;
    inMessage_ = false;
    state_ = ReadState::Wants;
}

// The parser spoils a request line that it gets in pieces, so it gets heads whole.
static bool holdsWholeHead(std::string_view data)
{
    return data.find("\r\n\r\n") != std::string_view::npos
        || data.find("\n\n") != std::string_view::npos;
}

std::size_t MessageReader::feed(const char *data, std::size_t length)
{
    static htparse_hooks hooks = makeHooks();
    if (state_ != ReadState::Wants) {
        return 0;
    }
    inMessage_ = inMessage_ || length > 0;
    if (!headDone_ && !holdsWholeHead({ data, length })) {
        state_ = length > MaxHeadBytes ? ReadState::HeadTooLarge : ReadState::Wants;
        return 0;
    }
    const bool headBefore = headDone_;
    const std::size_t consumed = htparser_run(parser_.get(), &hooks, data, length);
    if (!headBefore) {
        headBytes_ += headDone_ ? 0 : consumed;
        if (headBytes_ > MaxHeadBytes) {
            state_ = ReadState::HeadTooLarge;
            return consumed;
        }
    }
    if (state_ == ReadState::Finished) {
        sink_.onEnd();
        return consumed;
    }
    if (state_ == ReadState::Wants && htparser_get_error(parser_.get()) != htparse_error_none) {
        // The parser also says "too big" of a length that is not a number.
        const bool tooBig = htparser_get_error(parser_.get()) == htparse_error_too_big
            && headBytes_ > MaxHeadBytes / 2;
        state_ = tooBig ? ReadState::HeadTooLarge : ReadState::Malformed;
    }
    return consumed;
}

Result<BodyLength> bodyLength(const Headers &headers, int minorVersion)
{
    const std::size_t lengths = headers.count("content-length");
    const std::size_t encodings = headers.count("transfer-encoding");
    if (lengths + encodings > 1) {
        return fail(ResultCode::ConflictingFraming, "more than one body length");
    }
    if (encodings == 1) {
        const bool chunked = equalsIgnoringCase(*headers.find("transfer-encoding"), "chunked");
        if (!chunked || minorVersion < 1) {
            return fail(ResultCode::ConflictingFraming, "unknown transfer encoding");
        }
        return BodyLength { Framing::Chunked, 0 };
    }
    if (lengths == 0) {
        return BodyLength {};
    }
    const std::string &text = *headers.find("content-length");
    std::uint64_t length = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return fail(ResultCode::ConflictingFraming, "Content-Length is not a number");
    }
    return BodyLength { Framing::Length, length };
}

Result<void> checkFields(const Headers &headers)
{
    for (const Header &field : headers.fields()) {
        const bool name = !field.name.empty()
            && std::all_of(field.name.begin(), field.name.end(), isTokenCharacter);
        const bool value = std::all_of(field.value.begin(), field.value.end(), isValueCharacter);
        if (!name || !value) {
            return fail(ResultCode::MalformedRequest, "forbidden character in a header");
        }
    }
    return {};
}

} // namespace internal

} // namespace daisyhaven::http

#include "http/internal/chunkdecoder.h"

#include <algorithm>
#include <charconv>

namespace daisyhaven::http::internal {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr int HexadecimalBase = 16;
// Larger chunks than any body may be; their sizes can be added up without overflow.
constexpr std::uint64_t MaxChunkBytes = std::uint64_t { 1 } << 62U;

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || byte == 0x7f;
}

} // namespace

std::size_t ChunkDecoder::decode(std::string_view data, const BodyCallback &onBody)
{
    std::size_t consumed = 0;
    while (state_ == State::NeedsInput && consumed < data.size()) {
        const std::string_view rest = data.substr(consumed);
        if (remaining_ > 0) {
            const std::string_view part =
                rest.substr(0, std::min<std::uint64_t>(remaining_, rest.size()));
            remaining_ -= part.size();
            consumed += part.size();
            state_ = onBody(part) ? State::NeedsInput : State::Stopped;
            continue;
        }
        const auto line = takeLine(rest);
        if (!line) {
            break;
        }
        consumed += line->size();
        readLine(*line);
    }
    return consumed;
}

std::optional<std::string_view> ChunkDecoder::takeLine(std::string_view data)
{
    const std::size_t end = data.find('\n');
    if (end != std::string_view::npos) {
        return data.substr(0, end + 1);
    }
    std::size_t maxBytes = MaxSizeLineBytes;
    if (nextLine_ == LineKind::DataEnd) {
        maxBytes = LineEnd.size() - 1;
    } else if (nextLine_ == LineKind::Trailer) {
        maxBytes = maxTrailerBytes_ - trailerBytes_;
    }
    if (data.size() > maxBytes) {
        state_ = State::Malformed;
    }
    return std::nullopt;
}

void ChunkDecoder::readLine(std::string_view line)
{
    switch (nextLine_) {
    case LineKind::Size:
        readSize(line);
        break;
    case LineKind::DataEnd:
        state_ = line == LineEnd ? State::NeedsInput : State::Malformed;
        nextLine_ = LineKind::Size;
        break;
    case LineKind::Trailer:
        readTrailer(line);
        break;
    }
}

// A size in hexadecimal digits, blanks, and extensions behind a semicolon.
void ChunkDecoder::readSize(std::string_view line)
{
    const bool endsProperly = line.size() > LineEnd.size() && line.size() <= MaxSizeLineBytes
        && line.substr(line.size() - LineEnd.size()) == LineEnd;
    const std::string_view text = endsProperly ? line.substr(0, line.size() - LineEnd.size()) : "";
    std::uint64_t size = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, size, HexadecimalBase);
    const std::string_view behind(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    const std::size_t extensions = behind.find_first_not_of(" \t");
    const bool valid = !text.empty() && parsed.ec == std::errc() && size <= MaxChunkBytes
        && (extensions == std::string_view::npos || behind[extensions] == ';')
        && std::none_of(behind.begin(), behind.end(), isControl);
    if (!valid) {
        state_ = State::Malformed;
        return;
    }
    remaining_ = size;
    nextLine_ = size == 0 ? LineKind::Trailer : LineKind::DataEnd;
}

// None of the fields behind the last chunk is used. An empty line ends the body.
void ChunkDecoder::readTrailer(std::string_view line)
{
    trailerBytes_ += line.size();
    if (trailerBytes_ > maxTrailerBytes_) {
        state_ = State::Malformed;
    } else if (line == LineEnd || line == "\n") {
        state_ = State::Finished;
    }
}

} // namespace daisyhaven::http::internal

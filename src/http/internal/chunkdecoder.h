// Decodes the chunks of a body and the trailer section behind them; private to the http package.
// Extensions of chunks and the fields of the trailer section are skipped.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace daisyhaven::http::internal {

class ChunkDecoder
{
public:
    // Stopped: the callback did not take a part of the body.
    enum class State : std::uint8_t { NeedsInput, Finished, Malformed, Stopped };

    // Takes a part of the body. Returns false to stop.
    using BodyCallback = std::function<bool(std::string_view part)>;

    // Bound of the line with a chunk's size and extensions, in bytes.
    static constexpr std::size_t MaxSizeLineBytes = 4096;

    // The trailer section may have `maxTrailerBytes`.
    explicit ChunkDecoder(std::size_t maxTrailerBytes) : maxTrailerBytes_(maxTrailerBytes) { }

    // Decodes `data` and returns the number of consumed bytes. The others belong to the next
    // message if the body has ended, or else have to come again with more behind them.
    std::size_t decode(std::string_view data, const BodyCallback &onBody);

    State state() const { return state_; }

private:
    enum class LineKind : std::uint8_t { Size, DataEnd, Trailer };

    // Returns the line at the start of `data` with its end, if it is complete.
    std::optional<std::string_view> takeLine(std::string_view data);
    void readLine(std::string_view line);
    void readSize(std::string_view line);
    void readTrailer(std::string_view line);

    std::size_t maxTrailerBytes_;
    State state_ = State::NeedsInput;
    // The line that is due once the data of the present chunk are complete.
    LineKind nextLine_ = LineKind::Size;
    std::uint64_t remaining_ = 0; // bytes of the present chunk
    std::size_t trailerBytes_ = 0;
};

} // namespace daisyhaven::http::internal

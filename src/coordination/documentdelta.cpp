#include "coordination/internal/documentdelta.h"

#include <xxhash.h>

#include <array>
#include <unordered_map>
#include <vector>

namespace daisyhaven::coordination {

namespace {

// Bounds of the length of a block, in bytes.
constexpr std::size_t MinBlockBytes = 64;
constexpr std::size_t MaxBlockBytes = 2048;
// A block ends where these bits of the rolling hash are zero: every 256 bytes on average.
constexpr std::uint64_t BoundaryMask = 0xFF00000000000000;

const std::array<std::uint64_t, 256> &byteHashes()
{
    static const std::array<std::uint64_t, 256> hashes = [] {
        std::array<std::uint64_t, 256> values {};
        for (std::size_t byte = 0; byte < values.size(); ++byte) {
            values[byte] = XXH64(&byte, sizeof(byte), 0);
        }
        return values;
    }();
    return hashes;
}

// Splits `text` at boundaries that depend only on the bytes before them, so that text that was
// moved by an insertion is split into the same blocks.
std::vector<std::string_view> splitIntoBlocks(std::string_view text)
{
    std::vector<std::string_view> blocks;
    std::size_t begin = 0;
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        hash = (hash << 1U) + byteHashes()[static_cast<unsigned char>(text[i])];
        const std::size_t length = i + 1 - begin;
        const bool ends = (length >= MinBlockBytes && (hash & BoundaryMask) == 0)
            || length >= MaxBlockBytes || i + 1 == text.size();
        if (ends) {
            blocks.push_back(text.substr(begin, length));
            begin = i + 1;
        }
    }
    return blocks;
}

std::uint64_t hashOf(std::string_view block)
{
    return XXH3_64bits(block.data(), block.size());
}

// Adds a piece, or extends the last one if the two are adjacent.
class DeltaBuilder
{
public:
    void copy(std::size_t offset, std::size_t length)
    {
        auto *last = lastPiece();
        if (last != nullptr && last->length() > 0 && last->offset() + last->length() == offset) {
            last->set_length(last->length() + length);
            return;
        }
        auto *piece = delta_.add_pieces();
        piece->set_offset(offset);
        piece->set_length(length);
    }

    void insert(std::string_view text)
    {
        auto *last = lastPiece();
        auto *piece = last != nullptr && last->length() == 0 ? last : delta_.add_pieces();
        piece->mutable_literal()->append(text);
    }

    wire::DocumentDelta take() { return std::move(delta_); }

private:
    wire::DocumentDelta::Piece *lastPiece()
    {
        return delta_.pieces().empty() ? nullptr : delta_.mutable_pieces(delta_.pieces_size() - 1);
    }

    wire::DocumentDelta delta_;
};

} // namespace

wire::DocumentDelta makeDelta(std::string_view base, std::string_view target)
{
    std::unordered_map<std::uint64_t, std::string_view> baseBlocks;
    for (const std::string_view block : splitIntoBlocks(base)) {
        baseBlocks.emplace(hashOf(block), block);
    }
    DeltaBuilder builder;
    for (const std::string_view block : splitIntoBlocks(target)) {
        const auto found = baseBlocks.find(hashOf(block));
        if (found != baseBlocks.end() && found->second == block) {
            builder.copy(static_cast<std::size_t>(found->second.data() - base.data()),
                         block.size());
        } else {
            builder.insert(block);
        }
    }
    return builder.take();
}

Result<std::string> applyDelta(std::string_view base, const wire::DocumentDelta &delta)
{
    std::string document;
    for (const wire::DocumentDelta::Piece &piece : delta.pieces()) {
        if (piece.length() == 0) {
            document += piece.literal();
            continue;
        }
        const bool inside =
            piece.offset() <= base.size() && piece.length() <= base.size() - piece.offset();
        if (!inside) {
            return fail(ResultCode::PeerProtocol, "a piece of the delta lies outside of its base");
        }
        document += base.substr(piece.offset(), piece.length());
    }
    return document;
}

} // namespace daisyhaven::coordination

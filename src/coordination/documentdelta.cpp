#include "coordination/internal/documentdelta.h"

#include <zstd.h>

#include <memory>
#include <new>

namespace daisyhaven::coordination {

namespace {

constexpr int CompressionLevel = 3;
// Bounds of the window, as the logarithm of its bytes.
constexpr int MinWindowLog = 16;
constexpr int MaxWindowLog = 27;

struct ContextDeleter
{
    void operator()(ZSTD_CCtx *context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx *context) const { ZSTD_freeDCtx(context); }
};

// Compression fails only for lack of memory, since the output is large enough for any input.
std::size_t checked(std::size_t result)
{
    if (ZSTD_isError(result) != 0) {
        throw std::bad_alloc();
    }
    return result;
}

// Returns the smallest window that covers `bytes`.
int windowLogFor(std::size_t bytes)
{
    int log = MinWindowLog;
    while (log < MaxWindowLog && (std::size_t { 1 } << static_cast<unsigned>(log)) < bytes) {
        ++log;
    }
    return log;
}

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
    if (!context) {
        throw std::bad_alloc();
    }
    const auto set = [&](ZSTD_cParameter parameter, int value) {
        checked(ZSTD_CCtx_setParameter(context.get(), parameter, value));
    };
    set(ZSTD_c_compressionLevel, CompressionLevel);
    set(ZSTD_c_checksumFlag, 1);
    set(ZSTD_c_windowLog, windowLogFor(base.size() + target.size()));
    checked(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    std::string delta(ZSTD_compressBound(target.size()), '\0');
    delta.resize(checked(
        ZSTD_compress2(context.get(), delta.data(), delta.size(), target.data(), target.size())));
    return delta;
}

Result<std::string> applyDelta(std::string_view base, std::string_view delta)
{
    const unsigned long long size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    const bool validSize = size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR
        && size <= MaxExpandedBytes;
    if (!validSize) {
        return fail(ResultCode::PeerProtocol, "the delta has no valid size");
    }
    const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
    if (!context) {
        throw std::bad_alloc();
    }
    checked(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
    std::string document(size, '\0');
    const std::size_t result = ZSTD_decompressDCtx(context.get(), document.data(), document.size(),
                                                   delta.data(), delta.size());
    if (ZSTD_isError(result) != 0) {
        return fail(ResultCode::PeerProtocol,
                    std::string("the delta cannot be applied: ") + ZSTD_getErrorName(result));
    }
    return document;
}

} // namespace daisyhaven::coordination

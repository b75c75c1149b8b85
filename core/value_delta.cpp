#include "core/value_delta.hpp"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace savorydock {

namespace {

/// Covers a base and a value of the largest size.
constexpr int max_window_bits = 23;
constexpr int min_window_bits = 10;
constexpr int compression_level = 3;

struct free_context {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

int window_bits(std::size_t bytes) {
    return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_bits,
                      max_window_bits);
}

} // namespace

std::string encode_delta(std::string_view value, std::string_view base) {
    const std::unique_ptr<ZSTD_CCtx, free_context> context(ZSTD_createCCtx());
    if (!context || value.size() > max_delta_value_bytes ||
        base.size() > max_delta_value_bytes) {
        return {};
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                           compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           window_bits(value.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string bytes(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size = ZSTD_compress2(
        context.get(), bytes.data(), bytes.size(), value.data(), value.size());
    if (ZSTD_isError(size) != 0) {
        return {};
    }
    bytes.resize(size);
    return bytes;
}

outcome<std::string> decode_delta(std::string_view bytes,
                                  std::string_view base) {
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > max_delta_value_bytes) {
        return failure{result_code::bad_frame, "not a delta of allowed size"};
    }
    const std::unique_ptr<ZSTD_DCtx, free_context> context(ZSTD_createDCtx());
    if (!context) {
        return failure{result_code::bad_frame, "out of memory"};
    }
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_bits);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(size, '\0');
    const std::size_t restored = ZSTD_decompressDCtx(
        context.get(), value.data(), value.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(restored) != 0 || restored != value.size()) {
        return failure{result_code::bad_frame, "a damaged delta"};
    }
    return value;
}

} // namespace savorydock

#pragma once

#include "core/ids.hpp"
#include "core/utf8.hpp"
#include "servers/membership/stable_hash.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace savorydock {

/// Keys of callers' streams in the platform's store, besides those in
/// `servers/batch/job_keys.hpp`:
///
/// s/REQUEST   origin of the stream that this attempt began
/// c/streams   origins of all streams without such a record, by route
///
/// @{
inline constexpr std::string_view stream_record_prefix = "s/";
inline constexpr std::string_view stream_defaults_key = "c/streams";

/// Longest id of a request that fits into a key of the store. Keys are text.
inline constexpr std::size_t max_stream_id_bytes = 190;

/// Longer ids are replaced by their hash. Thread safe.
[[nodiscard]] inline std::string stream_record_key(const request_id& first) {
    const bool is_hashed =
        first.text().size() > max_stream_id_bytes || !is_utf8(first.text());
    return std::string(stream_record_prefix) +
           (is_hashed ? '#' + std::to_string(stable_hash(first.text()))
                      : first.text());
}
/// @}

} // namespace savorydock

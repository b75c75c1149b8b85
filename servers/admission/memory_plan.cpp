#include "servers/admission/memory_plan.hpp"

#include <algorithm>
#include <limits>

namespace savorydock {

namespace {

constexpr std::size_t most_answer_bytes = 48U << 20U;
constexpr std::size_t most_result_bytes = 48U << 20U;
constexpr std::size_t percent = 100;
/// Three quarters of this must hold one body of 32 MB on a machine of 120 MB.
constexpr std::size_t caller_percent = 45;
constexpr std::size_t answer_percent = 20;
constexpr std::size_t result_percent = 10;
constexpr std::size_t peer_percent = 10;
constexpr std::size_t reserved_descriptors = 200;
/// What a body may use of the memory of its thread; the rest is for small
/// requests.
constexpr std::size_t body_percent = 75;
/// A parsed value takes 16 bytes; the parser's stack and its copies while it
/// grows take three times as much.
constexpr std::size_t value_bytes = 64;
/// For the head and the bytes of one read.
constexpr std::size_t head_bytes = 262'144;

} // namespace

memory_plan make_memory_plan(std::size_t memory_bytes, std::size_t threads) {
    if (memory_bytes == 0) {
        return {.caller_bytes = std::numeric_limits<std::size_t>::max(),
                .answer_bytes = most_answer_bytes,
                .result_bytes = most_result_bytes,
                .peer_bytes = std::numeric_limits<std::size_t>::max()};
    }
    const auto part = [&](std::size_t share) {
        return memory_bytes / percent * share;
    };
    return {.caller_bytes = part(caller_percent),
            .answer_bytes =
                std::min(most_answer_bytes, part(answer_percent) / threads),
            .result_bytes = std::min(most_result_bytes, part(result_percent)),
            .peer_bytes = part(peer_percent)};
}

std::size_t min_caller_bytes(std::size_t max_body_bytes, std::size_t threads) {
    return (max_body_bytes + head_bytes) * percent / body_percent * threads;
}

std::size_t min_memory_mb(std::size_t max_body_bytes, std::size_t threads) {
    const std::size_t bytes =
        min_caller_bytes(max_body_bytes, threads) * percent / caller_percent;
    return (bytes >> 20U) + 1;
}

std::size_t estimate_parsed_bytes(std::string_view json) {
    const auto begins_value = [](char sign) {
        return sign == ',' || sign == ':' || sign == '[' || sign == '{';
    };
    const auto values =
        std::count_if(json.begin(), json.end(), begins_value) + 1;
    return json.size() + static_cast<std::size_t>(values) * value_bytes;
}

std::uint32_t max_caller_connections(std::size_t max_descriptors,
                                     std::uint32_t unlimited) {
    if (max_descriptors <= reserved_descriptors) {
        return unlimited;
    }
    const std::size_t usable = max_descriptors - reserved_descriptors;
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(unlimited, usable - usable / 3));
}

} // namespace savorydock

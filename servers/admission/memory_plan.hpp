#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorydock {

/// How an instance divides the memory of its machine.
struct memory_plan {
    /// Requests of callers, and answers that they have not read yet.
    std::size_t caller_bytes;
    /// Answers that are being received from upstreams, for each traffic thread.
    std::size_t answer_bytes;
    /// Results of jobs that are kept for their readers.
    std::size_t result_bytes;
    /// Messages of other instances that are not complete yet.
    std::size_t peer_bytes;
};

/// Divides the memory of a machine; 0 if it isn't known. The rest, a tenth and
/// more, is for the process itself, which takes some 16 MB. Precondition:
/// threads > 0. Thread safe.
[[nodiscard]] memory_plan make_memory_plan(std::size_t memory_bytes,
                                           std::size_t threads = 1);

/// The least memory of callers with which a body of this size can be received
/// by each thread. Thread safe.
[[nodiscard]] std::size_t min_caller_bytes(std::size_t max_body_bytes,
                                           std::size_t threads);

/// The least memory of a machine, in units of 1 MiB, for which
/// `make_memory_plan` gives callers that much. Thread safe.
[[nodiscard]] std::size_t min_memory_mb(std::size_t max_body_bytes,
                                        std::size_t threads);

/// An upper bound of the memory that a JSON text takes while it is parsed,
/// beside the text itself. Thread safe.
[[nodiscard]] std::size_t estimate_parsed_bytes(std::string_view json);

/// The number of callers' connections, so that upstreams, peers and the store
/// keep a third of the descriptors that aren't reserved. `max_descriptors` is 0
/// if it isn't limited. Thread safe.
[[nodiscard]] std::uint32_t max_caller_connections(std::size_t max_descriptors,
                                                   std::uint32_t unlimited);

} // namespace savorydock

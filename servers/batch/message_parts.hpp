#pragma once

#include "servers/batch/run_message.hpp"

#include <cstddef>
#include <vector>

namespace savorydock {

/// Splits messages that the link between instances would drop for their size.
/// Thread safe.
///
/// Load pattern: a planner starts items with large bodies, or an instance hands
/// over many long texts at a takeover.
/// @{

/// Upper limit on the encoded size of a task.
[[nodiscard]] std::size_t encoded_size(const run_task& task);

/// The parts together have the same effect as the order. Each has at most
/// `max_bytes`, unless a single task is larger.
[[nodiscard]] std::vector<runner_command> split(runner_command order,
                                                std::size_t max_bytes);

/// The parts together have the same effect as the update, in their order. Each
/// has at most `max_bytes`, unless a single text is larger.
[[nodiscard]] std::vector<runner_update> split(runner_update update,
                                               std::size_t max_bytes);
/// @}

} // namespace savorydock

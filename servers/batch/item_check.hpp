#pragma once

#include "core/outcome.hpp"
#include "servers/batch/batch_job.hpp"

namespace savorydock {

/// Checks that each item and its scoring call can be sent as exactly one
/// request. Errors: `invalid_document`, with the item and what is wrong. Thread
/// safe.
[[nodiscard]] outcome<done> check_items(const batch_job& job);

} // namespace savorydock

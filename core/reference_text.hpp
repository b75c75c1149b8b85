#pragma once

#include <string>

namespace savorydock {

/// docs/RESULT_CODES.md as it must be, written from the source. Thread safe.
[[nodiscard]] std::string write_result_code_reference();

/// docs/LOG_EVENTS.md as it must be, written from the source. Thread safe.
[[nodiscard]] std::string write_log_event_reference();

} // namespace savorydock

#pragma once

#include <string>

namespace savorydock {

/// Generates the content of docs/RESULT_CODES.md. Thread safe.
[[nodiscard]] std::string write_result_code_reference();

/// Generates the content of docs/LOG_EVENTS.md. Thread safe.
[[nodiscard]] std::string write_log_event_reference();

} // namespace savorydock

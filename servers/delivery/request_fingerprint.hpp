#pragma once

#include "core/http_message.hpp"

#include <string>

namespace savorydock {

/// Identifies a plain request by its content: host, method, target and body.
/// Callers send a request again under a new id, but with the same content.
/// Equal on all instances. Thread safe.
[[nodiscard]] std::string fingerprint_of(const http_request& request);

} // namespace savorydock

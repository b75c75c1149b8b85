#pragma once

#include "core/logger.hpp"
#include "platform/request_codec.hpp"
#include "servers/fleet/fleet_state.hpp"

namespace savorydock {

/// Records the request limit that an upstream's answer names, and logs changes.
/// Call for each answer, on the traffic thread.
void record_request_limit(fleet_state& fleet, const upstream_id& upstream,
                          const platform::upstream_answer_metadata& answer,
                          logger& log);

} // namespace savorydock

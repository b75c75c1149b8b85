#pragma once

#include "core/logger.hpp"
#include "drivers/http/http_client.hpp"
#include "platform/request_codec.hpp"
#include "servers/fleet/fleet_state.hpp"

namespace savorydock {

/// Takes note of an answer of an upstream that says that it leaves: it gets no
/// further requests from this instance, and the idle connections to it are
/// closed. Returns true if that is new. Call it for every answer. Not thread
/// safe: all calls must come from one traffic thread.
bool record_leaving(fleet_state& fleet, const upstream_id& upstream,
                    const endpoint& address,
                    const platform::upstream_answer_metadata& answer,
                    http_client& client, logger& log);

} // namespace savorydock

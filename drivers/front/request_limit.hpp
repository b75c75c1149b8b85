#pragma once

#include "core/logger.hpp"
#include "platform/request_codec.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace savorydock {

/// Records the request limit that an upstream's answer names, and logs changes.
/// Call for each answer, on the traffic thread.
void record_request_limit(fleet_state& fleet, const upstream_id& upstream,
                          const platform::upstream_answer_metadata& answer,
                          logger& log);

/// Reserves a request to the upstream within the limit that it named. Returns
/// when the request may be sent, or nothing if that is later than `latest`.
[[nodiscard]] std::optional<steady_time>
reserve_request(upstream_pool& pool, const upstream_id& upstream,
                steady_time latest, steady_time now);

/// Returns at that time, or at once if it is over.
boost::asio::awaitable<void> wait_until(steady_time time);

} // namespace savorydock

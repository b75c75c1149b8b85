#pragma once

#include "core/clock.hpp"
#include "core/http_message.hpp"
#include "servers/fleet/upstream_pool.hpp"

#include <cstdint>
#include <optional>

namespace savorydock {

/// Returns the likely cost of the request, or nothing if the pool does not
/// place calls by cost. `features` holds what the request itself doesn't say.
[[nodiscard]] std::optional<call_cost>
estimate_cost(const upstream_pool& pool, const service_name& service,
              request_features features, const http_request& request);

/// Counts a call in the pool while it is in progress, and records its end, also
/// if the coroutine is cancelled.
class placed_call {
public:
    /// `pool` must outlive this object, and `cost` too, which is null if calls
    /// are not placed by cost.
    placed_call(upstream_pool& pool, upstream_id upstream,
                const call_cost* cost);
    placed_call(const placed_call&) = delete;
    placed_call& operator=(const placed_call&) = delete;
    ~placed_call() { end(call_outcome::cancelled); }

    /// Only the first call has an effect.
    void end(call_outcome how);

private:
    upstream_pool& pool_;
    upstream_id upstream_;
    const call_cost* cost_;
    steady_time started_at_;
    std::uint64_t number_ = 0;
    bool has_ended_ = false;
};

} // namespace savorydock

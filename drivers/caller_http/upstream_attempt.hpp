#pragma once

#include "drivers/caller_http/caller_request.hpp"

#include <vector>

namespace savorydock {

/// The upstreams that one request has tried and the one it uses now. While an
/// upstream is in use, the router counts the request as in flight there. Not
/// thread safe.
class upstream_attempt {
public:
    /// `excluded` are upstreams to which the request must not be sent.
    upstream_attempt(traffic_services& services, const caller_request& request,
                     std::vector<upstream_id> excluded);
    ~upstream_attempt();
    upstream_attempt(const upstream_attempt&) = delete;
    upstream_attempt& operator=(const upstream_attempt&) = delete;

    /// Chooses the next upstream and records the decision.
    /// Errors: `not_run_no_upstream`, `not_run_overloaded`.
    [[nodiscard]] outcome<route_choice> begin(std::uint64_t prefix_hash,
                                              std::uint32_t expected_tokens);

    /// Ends the use of the current upstream and reports how it behaved.
    /// `is_usable_again`: the request may be sent to this upstream again.
    void finish(const call_evidence& seen, bool is_usable_again);

    /// Upstreams used so far, the current one included.
    [[nodiscard]] std::uint32_t count() const { return count_; }

private:
    traffic_services& services_;
    const caller_request& request_;
    std::vector<upstream_id> tried_;
    upstream_id current_;
    std::uint32_t count_ = 0;
};

} // namespace savorydock

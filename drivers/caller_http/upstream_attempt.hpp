#pragma once

#include "drivers/caller_http/caller_request.hpp"

#include <vector>

namespace savorydock {

/// The upstreams that one request has tried, and the one it uses now. Counts
/// the request in flight while it exists. Not thread safe.
class upstream_attempt {
public:
    /// `excluded` are upstreams that the request must not go to.
    upstream_attempt(traffic_services& services, const caller_request& request,
                     std::vector<upstream_id> excluded);
    ~upstream_attempt();
    upstream_attempt(const upstream_attempt&) = delete;
    upstream_attempt& operator=(const upstream_attempt&) = delete;

    /// Chooses the next upstream; notes the decision.
    /// Errors: `not_run_no_upstream`, `not_run_overloaded`.
    [[nodiscard]] outcome<route_choice> begin(std::uint64_t prefix_hash,
                                              std::uint32_t expected_tokens);

    /// Ends the use of the current upstream and tells what was seen of it.
    /// `is_usable_again` says that the request may come back to it.
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

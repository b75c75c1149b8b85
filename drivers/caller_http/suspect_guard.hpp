#pragma once

#include "drivers/caller_http/caller_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace savorydock {

/// Prevents one request from crashing several upstreams in succession. A
/// request that was running when an upstream was lost needs a permit to run
/// again, on one upstream at a time, and is refused once it is blocked. Used on
/// one traffic thread.
class suspect_guard {
public:
    /// `content` is the input that could crash an upstream: path and body, or
    /// prompt.
    suspect_guard(traffic_services& services, const caller_request& request,
                  std::string_view content, std::size_t worker);
    ~suspect_guard();
    suspect_guard(const suspect_guard&) = delete;
    suspect_guard& operator=(const suspect_guard&) = delete;

    /// Whether the request is blocked, that is, refused on every upstream.
    [[nodiscard]] bool is_request_blocked() const;

    /// Upstreams to which the request must not be sent.
    [[nodiscard]] std::vector<upstream_id> excluded() const;

    /// Waits until the request may run on the upstream; a suspect request waits
    /// for a permit. Errors: `not_run_suspect_request`.
    boost::asio::awaitable<outcome<done>> enter(upstream_id upstream);

    /// Ends the run on the upstream that was entered last and reports its
    /// result to control.
    void leave(result_code code);

    [[nodiscard]] const std::string& fingerprint() const {
        return fingerprint_;
    }

private:
    [[nodiscard]] bool is_suspect() const;
    boost::asio::awaitable<bool> request_permit(upstream_id upstream);

    traffic_services& services_;
    const caller_request& request_;
    std::string fingerprint_;
    std::size_t worker_;
    upstream_id entered_;
    std::string permit_;
    /// Upstreams lost while this request ran. Counted here as well because
    /// control learns of them with a delay.
    std::uint32_t losses_ = 0;
};

} // namespace savorydock

#pragma once

#include "drivers/caller_http/caller_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace savorydock {

/// Keeps one request from crashing one upstream after another: a request that
/// ran when an upstream was lost runs by permit only, on one upstream at a
/// time, and is refused once it is held. Lives on one traffic thread.
class suspect_guard {
public:
    /// `content` is what an upstream would choke on: path and body, or prompt.
    suspect_guard(traffic_services& services, const caller_request& request,
                  std::string_view content, std::size_t worker);
    ~suspect_guard();
    suspect_guard(const suspect_guard&) = delete;
    suspect_guard& operator=(const suspect_guard&) = delete;

    /// Whether the request is held now.
    [[nodiscard]] bool is_held() const;

    /// Upstreams that the request must not go to.
    [[nodiscard]] std::vector<upstream_id> excluded() const;

    /// Waits for the right to run on the upstream. Errors:
    /// `not_run_suspect_request`.
    boost::asio::awaitable<outcome<done>> enter(upstream_id upstream);

    /// Ends the run on the upstream that was entered last.
    void leave(result_code code);

    [[nodiscard]] const std::string& fingerprint() const {
        return fingerprint_;
    }

private:
    [[nodiscard]] bool is_marked() const;
    boost::asio::awaitable<bool> ask_permit(upstream_id upstream);

    traffic_services& services_;
    const caller_request& request_;
    std::string fingerprint_;
    std::size_t worker_;
    upstream_id entered_;
    std::string permit_;
    /// Upstreams lost in this run; control learns of them with a delay.
    std::uint32_t losses_ = 0;
};

} // namespace savorydock

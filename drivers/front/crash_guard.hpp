#pragma once

#include "core/http_message.hpp"
#include "core/logger.hpp"
#include "core/result_code.hpp"
#include "servers/delivery/suspect_list.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <string>

namespace savorydock {

/// Reports the runs of one request to the instance's `suspect_list` and tells
/// whether the request is blocked because it crashes upstreams. Used on the
/// traffic thread only.
class crash_guard {
public:
    /// All references must outlive the guard. `id` is for the log.
    crash_guard(suspect_list& suspects, const http_request& request,
                std::string id, logger& log);

    /// Whether the request must not be sent any more.
    [[nodiscard]] bool is_blocked();

    /// The upstream has answered the request.
    void on_answered();
    /// The run ended without a complete answer, for this reason. Only the loss
    /// of the connection counts as a crash.
    void on_failed(const upstream_entry& upstream, result_code code);

private:
    const std::string& fingerprint();

    suspect_list& suspects_;
    const http_request& request_;
    std::string id_;
    logger& log_;
    /// Empty until it is needed first.
    std::string fingerprint_;
};

} // namespace savorydock

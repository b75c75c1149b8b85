#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "drivers/http/http_server.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace savorydock {

/// Injected faults of a fake engine, set at start or by POST /faults.
struct engine_faults {
    /// The process exits when a prompt contains this text.
    std::string crash_on;
    /// The next `cut_count` streams that reach this many tokens are
    /// disconnected there; 0 disables it.
    std::uint32_t cut_after = 0;
    std::uint32_t cut_count = 0;
    /// Token events carry no weight version.
    bool has_no_version = false;
    /// This many swaps fail after half of `swap_time`.
    std::uint32_t failing_swaps = 0;
    bool ignores_fencing = false;
    bool is_leaving = false;
    /// This many orders take effect without sending a response.
    std::uint32_t lost_order_answers = 0;
    std::chrono::milliseconds token_delay{2};
    std::chrono::milliseconds swap_time{50};
};

/// A test double for a model engine. It supports completions as server-sent
/// events, resuming, cancelling, orders to load weights, and load reports. A
/// token depends only on the prompt, the seed and its position, so a resumed
/// completion can be compared with an uninterrupted one.
///
/// Thread safe. Runs on its own thread pool.
class fake_engine {
public:
    fake_engine(weight_version version, engine_faults faults);

    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);

    /// The token at `position` of the completion of `prompt`.
    [[nodiscard]] static std::string token_at(const std::string& prompt,
                                              std::uint32_t seed,
                                              std::uint32_t position);

    [[nodiscard]] weight_version version() const;
    /// The number of completions started for each prompt.
    [[nodiscard]] std::map<std::string, std::uint32_t> begun() const;
    void set_faults(const engine_faults& faults);

private:
    using task = boost::asio::awaitable<void>;

    task handle(http_exchange& exchange);
    task complete(http_exchange& exchange);
    task order(http_exchange& exchange);
    task send_state(http_exchange& exchange);
    task cancel(http_exchange& exchange);
    task change_faults(http_exchange& exchange);
    bool consume_cut(std::uint32_t position);
    bool consume_cancel(const std::string& id);

    mutable std::mutex mutex_;
    weight_version version_;
    weight_version loading_ = 0;
    fencing_number fencing_ = 0;
    std::uint32_t running_ = 0;
    engine_faults faults_;
    std::set<std::string> cancelled_;
    std::map<std::string, std::uint32_t> begun_;
    traffic_pool pool_{1};
    http_server server_;
};

} // namespace savorydock

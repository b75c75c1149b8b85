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

/// Faults of a fake engine; set at start or by POST /faults.
struct engine_faults {
    /// A prompt that contains this text ends the process.
    std::string crash_on;
    /// Streams are cut after this many tokens, `cut_count` times; 0 is never.
    std::uint32_t cut_after = 0;
    std::uint32_t cut_count = 0;
    /// Events carry no version.
    bool has_no_version = false;
    /// Swaps fail after half their time, this many times.
    std::uint32_t failing_swaps = 0;
    bool ignores_fencing = false;
    bool is_leaving = false;
    /// An order takes effect but its answer is lost, this many times.
    std::uint32_t lost_order_answers = 0;
    std::chrono::milliseconds token_delay{2};
    std::chrono::milliseconds swap_time{50};
};

/// A stand-in for a model engine: completions as server-sent events, resume,
/// cancel, orders, load. The token at a position depends on prompt and seed
/// only, so that a resumed answer can be compared with a whole one.
///
/// Thread safe. Runs on a pool of its own.
class fake_engine {
public:
    fake_engine(weight_version version, engine_faults faults);

    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);

    /// The token at a position of the answer to a prompt.
    [[nodiscard]] static std::string token_at(const std::string& prompt,
                                              std::uint32_t seed,
                                              std::uint32_t position);

    [[nodiscard]] weight_version version() const;
    /// How often each prompt was begun.
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
    bool take_cut(std::uint32_t position);
    bool take_cancel(const std::string& id);

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

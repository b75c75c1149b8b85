#pragma once

#include "core/clock.hpp"
#include "servers/duties/true_clock.hpp"
#include "servers/duties/usage_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace savorydock {

struct usage_meter_options {
    instance_id self;
    /// Differs between processes of the same instance.
    std::uint64_t process = 0;
    std::chrono::milliseconds window_length{5'000};
    /// Counts of a window are final this long after its end. Covers the time
    /// after which a request that was sent counts as begun, plus a random delay
    /// so that the instances don't all send at once.
    std::chrono::milliseconds final_delay{400};
    /// Windows without a record that are kept while the store is away.
    std::size_t max_windows = 720;
    /// Windows in one message.
    std::size_t max_sent_windows = 64;
};

/// Counts the requests of this instance by window and organisation, and decides
/// what to send to the holder of the duty.
///
/// Load pattern: counts change with each request, messages and holders get
/// lost. Changed counts are sent while the window lasts, so that a crash loses
/// little, and final ones until the holder confirms them.
///
/// Not thread safe.
class usage_meter {
public:
    usage_meter(usage_meter_options options, true_time started_at);

    /// Counts a request of the organisation that was begun at this time.
    void on_run_began(const organisation_id& organisation, true_time at);

    /// The counts that the holder lacks; nothing if it has all, or if they were
    /// sent less than `interval` ago.
    [[nodiscard]] std::optional<process_counts>
    next_message(true_time now, steady_time steady_now,
                 std::chrono::milliseconds interval);

    /// All counts that aren't recorded, for the end of the process.
    [[nodiscard]] process_counts all() const;

    void on_receipt(const usage_receipt& receipt);

    /// A new holder lacks all counts that aren't recorded.
    void on_holder_changed();

    [[nodiscard]] usage_window window_of(true_time time) const;

private:
    struct window_state {
        run_counts counts;
        bool has_changed = false;
        /// The holder has the final counts.
        bool is_received = false;
    };

    [[nodiscard]] true_time end_of(usage_window window) const;
    /// Adds the windows up to this one, also those without requests.
    void open_windows(usage_window last);
    [[nodiscard]] process_counts make_empty() const;

    usage_meter_options options_;
    usage_window first_window_;
    /// All windows before this one have been added.
    usage_window next_window_;
    std::map<usage_window, window_state> windows_;
    std::optional<steady_time> sent_at_;
};

} // namespace savorydock

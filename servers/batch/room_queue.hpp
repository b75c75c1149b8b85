#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace savorydock {

struct room_queue_options {
    /// How long smaller items may start before an item that has no room, until
    /// an engine is reserved for it.
    std::chrono::milliseconds reserve_after{500};
    /// Maximum share of the engines that are reserved, or run an item for which
    /// they were reserved. At least one engine may be.
    double max_share = 0.125;
};

/// Decides for which items an engine is reserved.
///
/// Load pattern: an item that needs most of an engine's cache waits, while
/// smaller items keep coming and fill each engine again as soon as it has some
/// room. A reserved engine takes no other items until this one fits. The item
/// that has been passed over for the longest time comes first, whatever its
/// priority: the limit on reservations leaves most engines to others.
///
/// Not thread safe; deterministic.
class room_queue {
public:
    explicit room_queue(room_queue_options options = {})
        : options_(options) {}

    /// Begins a round of placements.
    void begin_round() { candidates_.clear(); }
    /// No engine has room for the item, though some have free slots.
    void on_no_room(const item_key& item, std::uint64_t cache_tokens);
    /// An item of this size was placed.
    void on_placed(std::uint64_t cache_tokens, steady_time now);
    /// The item doesn't wait any more.
    void on_left(const item_key& item) { waiting_.erase(item); }
    /// The item's reservation expired; others come first now.
    void on_expired(const item_key& item, steady_time now);
    /// The job isn't planned any more.
    void forget(const job_id& job);
    void clear();

    [[nodiscard]] bool has_candidates() const { return !candidates_.empty(); }
    /// Returns the items without room in this round that have been passed over
    /// for long enough, as many as may get an engine. `used` engines are
    /// reserved or run an item for which they were reserved.
    [[nodiscard]] std::vector<item_key>
    choose(std::size_t engines, std::size_t used, steady_time now) const;

private:
    struct waiting_item {
        std::uint64_t cache_tokens = 0;
        /// When a smaller item first started before it.
        std::optional<steady_time> passed_over_at;
    };

    room_queue_options options_;
    /// Items that found no room in some round.
    std::map<item_key, waiting_item> waiting_;
    /// Those of this round.
    std::vector<item_key> candidates_;
};

} // namespace savorydock

#pragma once

#include "servers/duties/usage_message.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace savorydock {

/// The counts of all instances by window. Merging counts twice, in another
/// order, or older ones after newer ones gives the same sums. Not thread safe.
class usage_tally {
public:
    /// Merges counts of windows from `first` to `last`. Returns the number of
    /// windows outside of them that have counts.
    std::size_t merge(const process_counts& counts, usage_window first,
                      usage_window last);

    /// Whether each of the instances has sent its final counts of the window,
    /// or started later.
    [[nodiscard]] bool
    is_complete(usage_window window,
                const std::set<instance_id>& instances) const;

    [[nodiscard]] run_counts sum(usage_window window) const;

    void erase_before(usage_window window);

    /// Everything but the counts of one instance, for a new holder.
    [[nodiscard]] usage_counts copy_without(const instance_id& instance) const;

private:
    struct source {
        instance_id instance;
        std::uint64_t process = 0;

        auto operator<=>(const source&) const = default;
    };
    struct source_counts {
        usage_window first_window = 0;
        std::map<usage_window, window_counts> windows;
    };

    std::map<source, source_counts> sources_;
};

} // namespace savorydock

#pragma once

#include "servers/duties/true_clock.hpp"
#include "servers/duties/usage_message.hpp"
#include "servers/duties/usage_tally.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// Prefix of the keys of usage reports in the store: u/WINDOW.
inline constexpr std::string_view usage_prefix = "u/";

/// Returns the key of a window's record. Thread safe.
[[nodiscard]] std::string usage_key(usage_window window);
/// Returns the window that a key names; nothing for other keys. Thread safe.
[[nodiscard]] std::optional<usage_window> window_of_key(std::string_view key);

/// The text of a record without a report: the deployment started in its window.
inline constexpr std::string_view usage_start_text = "start";

/// The report of a window as it is stored and sent.
struct usage_record {
    usage_window window = 0;
    std::string text;

    [[nodiscard]] bool is_report() const {
        return !text.empty() && text != usage_start_text;
    }

    bool operator==(const usage_record&) const = default;
};

/// A change of the records, in one transaction under the holder's term.
struct usage_write {
    std::vector<usage_record> records;
    std::vector<usage_window> removed;
};

struct usage_ledger_options {
    std::chrono::milliseconds window_length{5'000};
    /// A window is recorded no sooner after its end, even if all known
    /// instances have sent their counts: others may have registered just now.
    std::chrono::milliseconds min_wait{1'500};
    /// A window is recorded without the counts that are missing then.
    std::chrono::milliseconds max_wait{6'000};
    /// Windows whose counts are kept by an instance that isn't the holder.
    std::size_t max_copied_windows = 24;
    /// Writes the report of a window; equal counts must give equal texts.
    std::function<std::string(usage_window, const run_counts&)> make_text;
};

/// Decides on the holder when a window's report is complete, what the store
/// must contain before it is sent, and which report is sent next. Instances
/// that aren't the holder only keep counts in it, as copies.
///
/// A report is sent only after its text is stored, and never changes then. The
/// newest record stays in the store after it was answered, so that a successor
/// knows which window comes next; older answered ones are removed when the next
/// one is written. A successor sends all records that it finds, unchanged.
///
/// Load pattern: holders fail between any two of these steps, answers get lost,
/// and the store or the platform is away for many windows.
///
/// Not thread safe.
class usage_ledger {
public:
    explicit usage_ledger(usage_ledger_options options)
        : options_(std::move(options)) {}

    /// This instance became the holder. Forgets the records of earlier terms;
    /// nothing is recorded or sent until `on_records`.
    void begin_term();
    void end_term();

    /// Whether the records must be read from the store.
    [[nodiscard]] bool must_read() const { return is_holder_ && !is_loaded_; }

    /// The records in the store, read after the term began. If there are none,
    /// reports begin after `first_window`.
    void on_records(std::vector<usage_record> records,
                    usage_window first_window);

    /// Counts arrived from an instance or from this one. Returns the number of
    /// windows that came too late for their reports.
    std::size_t on_counts(const process_counts& counts, true_time now);

    /// Another holder has recorded all windows before this one.
    void on_recorded_elsewhere(usage_window recorded_before);

    /// The change that the store needs now. `instances` are those registered.
    /// Returns the same change again until `on_written` or `end_term`.
    [[nodiscard]] std::optional<usage_write>
    next_write(true_time now, const std::set<instance_id>& instances);
    void on_written();

    /// The report that must be sent next; it repeats until `on_answered`.
    [[nodiscard]] const usage_record* next_report() const;
    void on_answered(usage_window window);

    /// All windows before this one are recorded; 0 if unknown.
    [[nodiscard]] usage_window recorded_before() const {
        return recorded_before_;
    }
    [[nodiscard]] std::size_t waiting_reports() const {
        return reports_.size();
    }
    [[nodiscard]] const usage_tally& tally() const { return tally_; }

private:
    [[nodiscard]] usage_window window_of(true_time time) const;
    [[nodiscard]] true_time end_of(usage_window window) const;
    [[nodiscard]] bool is_closed(usage_window window, true_time now,
                                 const std::set<instance_id>& instances) const;
    void close_windows(true_time now, const std::set<instance_id>& instances);

    usage_ledger_options options_;
    usage_tally tally_;
    bool is_holder_ = false;
    bool is_loaded_ = false;
    usage_window recorded_before_ = 0;
    /// The next window whose text will be made.
    usage_window next_window_ = 0;
    /// Texts that aren't in the store yet.
    std::deque<usage_record> unrecorded_;
    /// A write that may have taken effect.
    std::optional<usage_write> write_;
    /// Recorded reports without an answer.
    std::deque<usage_record> reports_;
    /// Records in the store that are no longer needed, except the newest.
    std::set<usage_window> answered_;
};

} // namespace savorydock

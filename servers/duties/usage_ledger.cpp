#include "servers/duties/usage_ledger.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace savorydock {

namespace {

/// With the condition on the term, these fit into one transaction of the store.
constexpr std::size_t max_written_records = 8;
constexpr std::size_t max_removed_records = 16;
/// Texts that are made ahead while the store is away.
constexpr std::size_t max_unrecorded = 4'096;
/// Windows ahead of the own clock that are accepted from other instances, whose
/// clocks differ a little.
constexpr usage_window max_windows_ahead = 1;

} // namespace

std::string usage_key(usage_window window) {
    return std::string(usage_prefix) + std::to_string(window);
}

std::optional<usage_window> window_of_key(std::string_view key) {
    if (!key.starts_with(usage_prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(usage_prefix.size());
    usage_window window = 0;
    const auto [end, error] =
        std::from_chars(key.data(), key.data() + key.size(), window);
    if (error != std::errc() || end != key.data() + key.size()) {
        return std::nullopt;
    }
    return window;
}

usage_window usage_ledger::window_of(true_time time) const {
    const auto since =
        std::max(time.time_since_epoch(), std::chrono::milliseconds(0));
    return static_cast<usage_window>(since / options_.window_length);
}

true_time usage_ledger::end_of(usage_window window) const {
    return true_time(options_.window_length *
                     static_cast<std::int64_t>(window + 1));
}

void usage_ledger::begin_term() {
    end_term();
    is_holder_ = true;
}

void usage_ledger::end_term() {
    is_holder_ = false;
    is_loaded_ = false;
    unrecorded_.clear();
    write_.reset();
    reports_.clear();
    answered_.clear();
}

void usage_ledger::on_records(std::vector<usage_record> records,
                              usage_window first_window) {
    if (!must_read()) {
        return;
    }
    is_loaded_ = true;
    std::sort(records.begin(), records.end(),
              [](const usage_record& left, const usage_record& right) {
                  return left.window < right.window;
              });
    if (records.empty()) {
        // Without this record a successor would not know the windows between
        // the start of the deployment and its own term.
        unrecorded_.push_back(
            {.window = first_window, .text = std::string(usage_start_text)});
        next_window_ = first_window + 1;
        recorded_before_ = first_window;
        return;
    }
    next_window_ = records.back().window + 1;
    recorded_before_ = next_window_;
    tally_.erase_before(next_window_);
    for (usage_record& record : records) {
        if (record.is_report()) {
            reports_.push_back(std::move(record));
        } else {
            answered_.insert(record.window);
        }
    }
}

std::size_t usage_ledger::on_counts(const process_counts& counts,
                                    true_time now) {
    const usage_window current = window_of(now);
    usage_window first = current < options_.max_copied_windows
                             ? 0
                             : current - options_.max_copied_windows;
    if (is_loaded_) {
        first = next_window_;
    } else {
        tally_.erase_before(first);
        first = std::max(first, recorded_before_);
    }
    return tally_.merge(counts, first, current + max_windows_ahead);
}

void usage_ledger::on_recorded_elsewhere(usage_window recorded_before) {
    if (is_holder_) {
        return;
    }
    recorded_before_ = std::max(recorded_before_, recorded_before);
    tally_.erase_before(recorded_before_);
}

bool usage_ledger::is_closed(usage_window window, true_time now,
                             const std::set<instance_id>& instances) const {
    const true_time end = end_of(window);
    return now >= end + options_.max_wait ||
           (now >= end + options_.min_wait &&
            tally_.is_complete(window, instances));
}

void usage_ledger::close_windows(true_time now,
                                 const std::set<instance_id>& instances) {
    while (unrecorded_.size() < max_unrecorded &&
           is_closed(next_window_, now, instances)) {
        unrecorded_.push_back({.window = next_window_,
                               .text = options_.make_text(
                                   next_window_, tally_.sum(next_window_))});
        ++next_window_;
    }
    // The texts of these windows are made, but the store may be away for long.
    const usage_window current = window_of(now);
    if (current > options_.max_copied_windows) {
        tally_.erase_before(
            std::min(next_window_, current - options_.max_copied_windows));
    }
}

std::optional<usage_write>
usage_ledger::next_write(true_time now,
                         const std::set<instance_id>& instances) {
    if (!is_loaded_) {
        return std::nullopt;
    }
    close_windows(now, instances);
    if (write_ || unrecorded_.empty()) {
        return write_;
    }
    usage_write write;
    while (write.records.size() < max_written_records && !unrecorded_.empty()) {
        write.records.push_back(std::move(unrecorded_.front()));
        unrecorded_.pop_front();
    }
    for (const usage_window window : answered_) {
        if (write.removed.size() < max_removed_records) {
            write.removed.push_back(window);
        }
    }
    write_ = std::move(write);
    return write_;
}

void usage_ledger::on_written() {
    if (!write_) {
        return;
    }
    for (const usage_window window : write_->removed) {
        answered_.erase(window);
    }
    for (usage_record& record : write_->records) {
        recorded_before_ = record.window + 1;
        if (record.is_report()) {
            reports_.push_back(std::move(record));
        } else {
            answered_.insert(record.window);
        }
    }
    write_.reset();
    tally_.erase_before(recorded_before_);
}

const usage_record* usage_ledger::next_report() const {
    return reports_.empty() ? nullptr : &reports_.front();
}

void usage_ledger::on_answered(usage_window window) {
    if (!reports_.empty() && reports_.front().window == window) {
        reports_.pop_front();
        answered_.insert(window);
    }
}

} // namespace savorydock

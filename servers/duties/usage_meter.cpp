#include "servers/duties/usage_meter.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

usage_meter::usage_meter(usage_meter_options options, true_time started_at)
    : options_(std::move(options))
    , first_window_(window_of(started_at))
    , next_window_(first_window_) {}

usage_window usage_meter::window_of(true_time time) const {
    const auto since =
        std::max(time.time_since_epoch(), std::chrono::milliseconds(0));
    return static_cast<usage_window>(since / options_.window_length);
}

true_time usage_meter::end_of(usage_window window) const {
    return true_time(options_.window_length *
                     static_cast<std::int64_t>(window + 1));
}

void usage_meter::open_windows(usage_window last) {
    // After a long suspension only the last windows can still be kept.
    const usage_window oldest =
        last < options_.max_windows ? 0 : last + 1 - options_.max_windows;
    next_window_ = std::max(next_window_, oldest);
    for (; next_window_ <= last; ++next_window_) {
        windows_.try_emplace(next_window_);
    }
    windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

void usage_meter::on_run_began(const organisation_id& organisation,
                               true_time at) {
    const usage_window window = std::max(window_of(at), first_window_);
    open_windows(window);
    const auto found = windows_.find(window);
    if (found == windows_.end()) {
        // Its report was recorded already.
        return;
    }
    window_state& state = found->second;
    ++state.counts[organisation];
    state.has_changed = true;
    state.is_received = false;
}

process_counts usage_meter::make_empty() const {
    return {.instance = options_.self,
            .process = options_.process,
            .first_window = first_window_};
}

std::optional<process_counts>
usage_meter::next_message(true_time now, steady_time steady_now,
                          std::chrono::milliseconds interval) {
    open_windows(window_of(now));
    if (sent_at_ && steady_now < *sent_at_ + interval) {
        return std::nullopt;
    }
    process_counts message = make_empty();
    for (auto& [window, state] : windows_) {
        const bool is_final = now >= end_of(window) + options_.final_delay;
        if (state.is_received || !(is_final || state.has_changed)) {
            continue;
        }
        if (message.windows.size() == options_.max_sent_windows) {
            break;
        }
        state.has_changed = false;
        message.windows.push_back(
            {.window = window, .is_final = is_final, .counts = state.counts});
    }
    if (message.windows.empty()) {
        return std::nullopt;
    }
    sent_at_ = steady_now;
    return message;
}

process_counts usage_meter::all() const {
    process_counts message = make_empty();
    for (const auto& [window, state] : windows_) {
        message.windows.push_back({.window = window, .counts = state.counts});
    }
    return message;
}

void usage_meter::on_receipt(const usage_receipt& receipt) {
    if (receipt.process != options_.process) {
        return;
    }
    for (const usage_window window : receipt.windows) {
        const auto found = windows_.find(window);
        if (found != windows_.end() && !found->second.has_changed) {
            found->second.is_received = true;
        }
    }
    // The current window must stay, whatever the holder's clock says.
    const usage_window recorded = std::min(
        receipt.recorded_before, next_window_ == 0 ? 0 : next_window_ - 1);
    windows_.erase(windows_.begin(), windows_.lower_bound(recorded));
}

void usage_meter::on_holder_changed() {
    for (auto& [window, state] : windows_) {
        state.is_received = false;
        state.has_changed = state.has_changed || !state.counts.empty();
    }
    sent_at_.reset();
}

} // namespace savorydock

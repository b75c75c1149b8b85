#include "drivers/store/store_mirror.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// How long one watch waits. Each wait is a paid call; a watch that the store
/// cuts shows by its connection, which the kernel probes.
constexpr std::chrono::milliseconds watch_wait{1'500};
/// Pause before a failed call is repeated: the bound of configuration is two
/// seconds on the smallest sites, so a return is noticed well within it.
constexpr std::chrono::milliseconds first_pause{50};
constexpr std::chrono::milliseconds longest_pause{400};
constexpr std::uint32_t max_doublings = 3;

} // namespace

store_mirror::store_mirror(asio::io_context& context, store_client& client,
                           std::string prefix, store_mirror_listener& listener,
                           logger& log)
    : context_(context)
    , client_(client)
    , prefix_(std::move(prefix))
    , listener_(listener)
    , log_(log) {}

asio::awaitable<void> store_mirror::run() {
    bool must_read = true;
    while (true) {
        const bool is_done = must_read ? co_await reread() : co_await follow();
        if (is_done) {
            must_read = false;
            failures_in_row_ = 0;
            continue;
        }
        // After a cut the store may have dropped its history, and a new watch
        // at an old revision would wait for ever: only a reading tells.
        must_read = true;
        co_await pause();
    }
}

asio::awaitable<void> store_mirror::pause() {
    const auto factor = 1U << std::min(failures_in_row_, max_doublings);
    ++failures_in_row_;
    asio::steady_timer timer(context_);
    timer.expires_after(std::min(first_pause * factor, longest_pause));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> store_mirror::reread() {
    auto page = co_await client_.read_range(prefix_);
    if (!page) {
        log_.write(log_event::store_call_failed,
                   "call=range prefix=" + prefix_ + " reason=\"" +
                       page.reason().detail + '"');
        co_return false;
    }
    std::vector<store_change> changes;
    std::set<std::string> present;
    for (stored_value& value : page->values) {
        present.insert(value.key);
        stored_value& known = values_[value.key];
        if (known.modified != value.modified) {
            known = value;
            changes.push_back({.value = std::move(value)});
        }
    }
    for (auto at = values_.begin(); at != values_.end();) {
        if (present.contains(at->first)) {
            ++at;
            continue;
        }
        changes.push_back({.value = std::move(at->second), .is_removed = true});
        at = values_.erase(at);
    }
    revision_ = page->revision;
    is_filled_ = true;
    log_.write(log_event::store_history_reread,
               "prefix=" + prefix_ + " revision=" + std::to_string(revision_) +
                   " keys=" + std::to_string(values_.size()) +
                   " changes=" + std::to_string(changes.size()));
    listener_.on_changes(changes, true);
    co_return true;
}

asio::awaitable<bool> store_mirror::follow() {
    auto changes = co_await client_.watch(prefix_, revision_, watch_wait);
    if (!changes) {
        log_.write(log_event::store_call_failed,
                   "call=watch prefix=" + prefix_ +
                       " after=" + std::to_string(revision_) + " reason=\"" +
                       changes.reason().detail + '"');
        co_return false;
    }
    std::vector<store_change> fresh;
    for (store_change& change : changes->changes) {
        const auto known = values_.find(change.value.key);
        if (known != values_.end() &&
            known->second.modified >= change.value.modified) {
            continue;
        }
        if (change.is_removed) {
            if (known != values_.end()) {
                values_.erase(known);
            }
        } else {
            values_[change.value.key] = change.value;
        }
        fresh.push_back(std::move(change));
    }
    revision_ = std::max(revision_, changes->revision);
    if (!fresh.empty()) {
        listener_.on_changes(fresh, false);
    }
    co_return true;
}

} // namespace savorydock

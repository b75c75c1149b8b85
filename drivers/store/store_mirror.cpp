#include "drivers/store/store_mirror.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

/// How long a watch waits. The store may lose a watch without closing its
/// connection, and a configuration must take effect within 2 s.
constexpr std::chrono::milliseconds watch_wait{1'200};
/// Pause before the first retry of a failed call; doubled for each further one.
constexpr std::chrono::milliseconds first_pause{50};
constexpr std::uint32_t max_doublings = 8;
constexpr std::chrono::hours until_woken{24};
/// Pause after changes, so that one call reads several: engines update their
/// entries with each load report, dozens of times a second on large sites.
constexpr std::chrono::milliseconds gather_time{200};

} // namespace

store_mirror::store_mirror(asio::io_context& context, store_client& client,
                           std::string prefix, store_mirror_listener& listener,
                           logger& log)
    : client_(client)
    , prefix_(std::move(prefix))
    , listener_(listener)
    , log_(log)
    , wake_(context) {}

void store_mirror::set_mode(mirror_mode mode) {
    if (mode == mode_) {
        return;
    }
    // Changes made while the mirror was off are found by a reread, not by a
    // watch.
    must_read_ = must_read_ || mode_ == mirror_mode::off;
    mode_ = mode;
    wake_.cancel();
}

void store_mirror::restart() {
    must_read_ = true;
    wake_.cancel();
}

void store_mirror::apply_changes(std::vector<store_change> changes,
                                 store_revision revision) {
    const auto fresh = copy_.merge(std::move(changes), revision);
    if (!fresh.empty()) {
        listener_.on_changes(fresh, false);
    }
}

void store_mirror::apply_snapshot(std::vector<stored_value> values,
                                  store_revision revision) {
    listener_.on_changes(copy_.replace(std::move(values), revision), true);
}

asio::awaitable<void> store_mirror::run() {
    while (true) {
        const bool is_waiting_for_store =
            must_read_ && !is_probing_ && !client_.is_reachable();
        if (mode_ == mirror_mode::off || is_waiting_for_store) {
            co_await sleep(until_woken);
            continue;
        }
        const bool is_done = must_read_ ? co_await reread() : co_await follow();
        if (is_done) {
            failures_in_row_ = 0;
            continue;
        }
        // After a connection loss the store may have dropped its history, and
        // a new watch from an old revision would wait forever. Only a reread
        // detects that.
        must_read_ = true;
        co_await pause();
    }
}

asio::awaitable<void> store_mirror::sleep(std::chrono::milliseconds time) {
    wake_.expires_after(time);
    co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> store_mirror::pause() {
    const auto factor = 1U << std::min(failures_in_row_, max_doublings);
    ++failures_in_row_;
    co_await sleep(std::min(first_pause * factor, longest_pause_));
}

void store_mirror::confirm(boot_clock::time_point time) {
    answered_at_ = std::chrono::steady_clock::now();
    confirmed_at_ = std::max(confirmed_at_, std::optional(time));
}

asio::awaitable<bool> store_mirror::reread() {
    const boot_clock::time_point sent_at = boot_clock::now();
    auto page = co_await client_.read_range(prefix_, {}, relay_use::none);
    if (!page) {
        log_.write(log_event::store_call_failed,
                   "call=range prefix=" + prefix_ + " reason=\"" +
                       page.reason().detail + '"');
        co_return false;
    }
    must_read_ = false;
    confirm(sent_at);
    const auto changes = copy_.replace(std::move(page->values), page->revision);
    log_.write(log_event::store_history_reread,
               "prefix=" + prefix_ +
                   " revision=" + std::to_string(page->revision) +
                   " keys=" + std::to_string(copy_.values().size()) +
                   " changes=" + std::to_string(changes.size()));
    listener_.on_changes(changes, true);
    co_return true;
}

asio::awaitable<bool> store_mirror::follow() {
    wake_.expires_after(until_woken);
    const boot_clock::time_point sent_at = boot_clock::now();
    auto result =
        co_await (client_.watch(prefix_, copy_.revision(), watch_wait) ||
                  wake_.async_wait(asio::as_tuple(asio::use_awaitable)));
    if (result.index() == 1) {
        co_return true;
    }
    auto& changes = std::get<0>(result);
    if (!changes) {
        log_.write(log_event::store_call_failed,
                   "call=watch prefix=" + prefix_ +
                       " after=" + std::to_string(copy_.revision()) +
                       " reason=\"" + changes.reason().detail + '"');
        co_return false;
    }
    const bool has_changes = !changes->changes.empty();
    // The store answers a watch without changes at the end of its wait.
    const bool has_waited =
        !has_changes && boot_clock::now() >= sent_at + watch_wait;
    confirm(has_waited ? sent_at + watch_wait : sent_at);
    apply_changes(std::move(changes->changes), changes->revision);
    if (has_changes) {
        co_await sleep(gather_time);
    }
    co_return true;
}

} // namespace savorydock

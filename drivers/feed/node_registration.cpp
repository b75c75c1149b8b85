#include "drivers/feed/node_registration.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// The entry only states where others send messages. Failed instances are
/// detected by other means, so the lease may be long and renewals rare.
constexpr std::chrono::milliseconds lease_time{12'000};
constexpr std::chrono::milliseconds renewal_period{4'000};
/// Pause after a failed call, doubled with each further failure up to the
/// maximum: all instances retry their calls during an outage of the store.
constexpr std::chrono::milliseconds first_failure_pause{400};
constexpr std::chrono::milliseconds longest_failure_pause{1'600};

} // namespace

node_registration::node_registration(asio::io_context& context,
                                     store_client& store, node_entry entry,
                                     logger& log)
    : store_(store)
    , entry_(std::move(entry))
    , log_(log)
    , timer_(context) {}

asio::awaitable<bool> node_registration::register_once() {
    const auto lease = co_await store_.grant(lease_time);
    if (!lease) {
        co_return false;
    }
    store_transaction transaction;
    transaction.writes.push_back({.key = node_key(entry_.instance),
                                  .value = encode_node_entry(entry_),
                                  .lease = lease->id});
    const auto written = co_await store_.commit(std::move(transaction));
    if (!written) {
        co_return false;
    }
    lease_ = lease->id;
    co_return true;
}

asio::awaitable<void> node_registration::run() {
    std::chrono::milliseconds failure_pause = first_failure_pause;
    while (!is_retired_) {
        bool is_done = false;
        if (lease_ == 0) {
            is_done = co_await register_once();
        } else {
            const auto renewed = co_await store_.renew(lease_);
            is_done = renewed.has_value();
            if (!renewed &&
                renewed.reason().code == result_code::lease_not_held) {
                log_.write(log_event::lease_lost,
                           "scope=" + node_key(entry_.instance));
                lease_ = 0;
                continue;
            }
        }
        timer_.expires_after(is_done ? renewal_period : failure_pause);
        failure_pause =
            is_done ? first_failure_pause
                    : std::min(failure_pause * 2, longest_failure_pause);
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> node_registration::announce_leaving() {
    entry_.is_leaving = true;
    if (lease_ == 0) {
        co_return;
    }
    store_transaction transaction;
    transaction.writes.push_back({.key = node_key(entry_.instance),
                                  .value = encode_node_entry(entry_),
                                  .lease = lease_});
    const auto written = co_await store_.commit(std::move(transaction));
    if (!written) {
        // The others keep sending new runs, and this instance refuses each,
        // until the entry is removed.
        log_.write(log_event::store_call_failed,
                   "call=leave key=" + node_key(entry_.instance) +
                       " reason=\"" + written.reason().detail + '"');
    }
}

asio::awaitable<void> node_registration::retire() {
    is_retired_ = true;
    timer_.cancel();
    if (lease_ != 0) {
        co_await store_.end_lease(lease_);
    }
}

} // namespace savorydock

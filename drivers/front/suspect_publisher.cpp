#include "drivers/front/suspect_publisher.hpp"

#include "core/wire_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Pause between two transactions. Bounds the calls of a fleet in which many
/// upstreams crash at once.
constexpr std::chrono::milliseconds write_interval{100};
/// Pause after a failed call, doubled with each further failure up to the
/// maximum.
constexpr std::chrono::milliseconds first_failure_pause{200};
constexpr std::chrono::milliseconds longest_failure_pause{1'600};

} // namespace

suspect_publisher::suspect_publisher(asio::io_context& context,
                                     store_client& store,
                                     suspect_list& suspects, logger& log)
    : store_(store)
    , suspects_(suspects)
    , log_(log)
    , timer_(context) {
    suspects_.on_due_changed([this] { timer_.cancel(); });
}

asio::awaitable<void> suspect_publisher::run() {
    std::chrono::milliseconds failure_pause = first_failure_pause;
    while (true) {
        const steady_time now = std::chrono::steady_clock::now();
        const auto due = suspects_.next_due();
        if (!due || *due > now) {
            timer_.expires_at(due.value_or(steady_time::max()));
            co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const bool is_written = co_await write_due();
        const auto pause = is_written ? write_interval : failure_pause;
        failure_pause =
            is_written ? first_failure_pause
                       : std::min(failure_pause * 2, longest_failure_pause);
        // Not interrupted by further marks.
        asio::steady_timer wait(timer_.get_executor(), pause);
        co_await wait.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<bool> suspect_publisher::ensure_lease() {
    const steady_time now = std::chrono::steady_clock::now();
    const auto lifetime = suspects_.mark_lifetime();
    // Keys that are written with an old lease would not last long enough.
    if (lease_ != 0 && now + lifetime / 2 < lease_end_) {
        co_return true;
    }
    const auto lease = co_await store_.grant(lifetime);
    if (!lease) {
        log_.write(log_event::store_call_failed,
                   "call=suspect_lease reason=\"" + lease.reason().detail +
                       '"');
        co_return false;
    }
    lease_ = lease->id;
    lease_end_ = now + lease->time_to_live;
    co_return true;
}

asio::awaitable<bool> suspect_publisher::write_due() {
    if (!co_await ensure_lease()) {
        co_return false;
    }
    const steady_time now = std::chrono::steady_clock::now();
    auto marks = suspects_.take_due(now);
    if (marks.size() > max_transaction_entries) {
        const auto rest = marks.begin() + max_transaction_entries;
        suspects_.put_back({std::make_move_iterator(rest),
                            std::make_move_iterator(marks.end())},
                           now);
        marks.erase(rest, marks.end());
    }
    store_transaction transaction;
    for (const shared_mark& shared : marks) {
        transaction.writes.push_back(
            {.key = std::string(suspect_prefix) + shared.mark.incident,
             .value = wire::encode(shared),
             .lease = lease_});
    }
    const auto written = co_await store_.commit(std::move(transaction));
    if (written) {
        co_return true;
    }
    log_.write(log_event::store_call_failed,
               "call=suspect_marks count=" + std::to_string(marks.size()) +
                   " reason=\"" + written.reason().detail + '"');
    if (written.reason().code == result_code::lease_not_held) {
        lease_ = 0;
    }
    suspects_.put_back(std::move(marks), now);
    co_return false;
}

void suspect_publisher::on_change(const store_change& change) {
    // The key's lease has ended or was taken away. The mark expires by itself.
    if (change.is_removed) {
        return;
    }
    const auto shared = wire::decode<shared_mark>(change.value.value);
    if (!shared) {
        log_.write(log_event::peer_frame_refused,
                   "key=" + change.value.key + " reason=\"" +
                       shared.reason().detail + '"');
        return;
    }
    suspects_.merge(*shared, std::chrono::steady_clock::now());
}

} // namespace savorydock

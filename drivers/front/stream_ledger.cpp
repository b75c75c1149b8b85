#include "drivers/front/stream_ledger.hpp"

#include "core/wire_codec.hpp"
#include "servers/streams/stream_keys.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Pause after a failed write.
constexpr std::chrono::milliseconds failure_pause{100};
/// Pause after a failed deletion; nothing waits for it.
constexpr std::chrono::milliseconds deletion_pause{5'000};

std::int64_t wall_milliseconds_of(steady_time time) {
    const auto left = time - std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch() + left)
        .count();
}

} // namespace

stream_ledger::stream_ledger(asio::io_context& context, store_client& store,
                             stream_ledger_options options, logger& log)
    : context_(context)
    , store_(store)
    , options_(std::move(options))
    , log_(log) {}

void stream_ledger::on_defaults_change(const store_change& change) {
    if (change.is_removed) {
        defaults_.clear();
        return;
    }
    auto defaults = wire::decode<default_origins>(change.value.value);
    if (!defaults) {
        log_.write(log_event::store_call_failed,
                   "key=" + change.value.key + " reason=\"" +
                       defaults.reason().detail + '"');
        // Without defaults all streams are recorded.
        defaults_.clear();
        return;
    }
    for (const auto& [route, origin] : *defaults) {
        const stream_origin* const known = default_of(route);
        if (known == nullptr || *known != origin) {
            log_.write(
                log_event::stream_default_changed,
                "route=" + route + " service=" + origin.service.text() +
                    " software=" + origin.software.text() +
                    " revision=" + std::to_string(change.value.modified));
        }
    }
    defaults_ = std::move(*defaults);
}

const stream_origin* stream_ledger::default_of(const std::string& route) const {
    const auto known = defaults_.find(route);
    return known == defaults_.end() ? nullptr : &known->second;
}

std::shared_ptr<stream_ledger::pending_record>
stream_ledger::enqueue(request_id first, stream_origin origin,
                       steady_time write_by, steady_time deadline) {
    const stream_record record{
        .origin = std::move(origin),
        .expires_at = wall_milliseconds_of(deadline + options_.retention)};
    store_write write{.key = stream_record_key(first),
                      .value = wire::encode(record)};
    auto pending = std::make_shared<pending_record>(context_, std::move(write),
                                                    write_by, deadline);
    pending_.push_back(pending);
    if (!is_writing_) {
        is_writing_ = true;
        asio::co_spawn(context_, write_pending(), asio::detached);
    }
    return pending;
}

asio::awaitable<bool> stream_ledger::record(request_id first,
                                            stream_origin origin,
                                            steady_time write_by,
                                            steady_time deadline) {
    const auto pending =
        enqueue(std::move(first), std::move(origin), write_by, deadline);
    co_await pending->stored.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return pending->is_stored;
}

void stream_ledger::record_later(request_id first, stream_origin origin,
                                 steady_time deadline) {
    enqueue(std::move(first), std::move(origin), deadline, deadline);
}

asio::awaitable<void> stream_ledger::write_pending() {
    while (true) {
        const steady_time now = std::chrono::steady_clock::now();
        std::erase_if(pending_,
                      [&](const auto& one) { return one->write_by <= now; });
        if (pending_.empty()) {
            break;
        }
        const std::vector<std::shared_ptr<pending_record>> batch(
            pending_.begin(),
            pending_.begin() + static_cast<std::ptrdiff_t>(std::min(
                                   pending_.size(), max_transaction_entries)));
        store_transaction transaction;
        for (const auto& one : batch) {
            transaction.writes.push_back(one->write);
        }
        const auto written = co_await store_.commit(std::move(transaction));
        if (!written) {
            log_.write(
                log_event::store_call_failed,
                "call=stream_records count=" + std::to_string(batch.size()) +
                    " reason=\"" + written.reason().detail + '"');
            co_await pause(failure_pause);
            continue;
        }
        for (const auto& one : batch) {
            one->is_stored = true;
            one->stored.cancel();
            written_.push_back(
                {.key = one->write.key,
                 .delete_at = one->deadline + options_.retention});
        }
        std::erase_if(pending_, [](const auto& one) { return one->is_stored; });
        if (!is_deleting_) {
            is_deleting_ = true;
            asio::co_spawn(context_, delete_old(), asio::detached);
        }
        const auto next = now + options_.write_interval();
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            next - std::chrono::steady_clock::now());
        if (left.count() > 0) {
            co_await pause(left);
        }
    }
    is_writing_ = false;
}

asio::awaitable<void> stream_ledger::delete_old() {
    while (!written_.empty()) {
        const std::size_t count =
            std::min(written_.size(), max_transaction_entries);
        // Waits for the last of a full write, so that few calls are needed.
        asio::steady_timer due(context_, written_[count - 1].delete_at);
        co_await due.async_wait(asio::as_tuple(asio::use_awaitable));
        store_transaction transaction;
        for (std::size_t at = 0; at < count; ++at) {
            transaction.deletions.push_back(written_[at].key);
        }
        const auto deleted = co_await store_.commit(std::move(transaction));
        if (!deleted) {
            log_.write(
                log_event::store_call_failed,
                "call=delete_stream_records count=" + std::to_string(count) +
                    " reason=\"" + deleted.reason().detail + '"');
            co_await pause(deletion_pause);
            continue;
        }
        written_.erase(written_.begin(),
                       written_.begin() + static_cast<std::ptrdiff_t>(count));
    }
    is_deleting_ = false;
}

asio::awaitable<void> stream_ledger::pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<outcome<std::optional<found_origin>>>
stream_ledger::find(request_id first, std::string route) {
    const auto value = co_await store_.read_key(stream_record_key(first));
    if (!value) {
        co_return value.reason();
    }
    if (*value) {
        auto record = wire::decode<stream_record>((*value)->value);
        if (!record) {
            log_.write(log_event::store_call_failed,
                       "key=" + (*value)->key + " reason=\"" +
                           record.reason().detail + '"');
            co_return std::optional<found_origin>();
        }
        found_origin found{.origin = std::move(record->origin),
                           .is_recorded = true};
        co_return std::optional(std::move(found));
    }
    // Looked up after the read: a default that was replaced meanwhile has no
    // upstream left.
    const stream_origin* const origin = default_of(route);
    if (origin == nullptr) {
        co_return std::optional<found_origin>();
    }
    found_origin found{.origin = *origin};
    co_return std::optional(std::move(found));
}

} // namespace savorydock

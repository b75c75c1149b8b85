#include "drivers/front/stream_duty.hpp"

#include "core/wire_codec.hpp"
#include "servers/streams/stream_keys.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

std::int64_t wall_milliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

stream_duty::stream_duty(asio::io_context& context, store_client& store,
                         fleet_state& fleet, const scope_term& term,
                         std::function<bool()> is_data_current,
                         stream_duty_options options, logger& log)
    : context_(context)
    , store_(store)
    , fleet_(fleet)
    , term_(term)
    , is_data_current_(std::move(is_data_current))
    , options_(options)
    , log_(log) {}

void stream_duty::on_term_gained() {
    asio::co_spawn(context_, run(*term_.term()), asio::detached);
}

bool stream_duty::is_in_term(const held_term& term) const {
    return term_.is_held_now() && term_.term()->revision == term.revision;
}

bool stream_duty::has_resumable_route() const {
    if (!fleet_.routes) {
        return false;
    }
    const auto& routes = fleet_.routes->configuration().routes;
    return std::any_of(
        routes.begin(), routes.end(), [](const route_rule& route) {
            return route.kind == request_kind::stream && route.is_resumable;
        });
}

asio::awaitable<void> stream_duty::run(held_term term) {
    defaults_.reset();
    keeper_.reset();
    steady_time next_sweep =
        std::chrono::steady_clock::now() + options_.sweep_interval;
    while (term_.term() && term_.term()->revision == term.revision) {
        const bool is_due = is_in_term(term) && has_resumable_route();
        if (!is_due || !is_data_current_()) {
            keeper_.reset();
        } else if (defaults_ || co_await read_defaults()) {
            co_await update_defaults(term);
        }
        if (is_due && std::chrono::steady_clock::now() >= next_sweep) {
            next_sweep =
                std::chrono::steady_clock::now() + options_.sweep_interval;
            co_await sweep(term);
        }
        co_await pause(options_.check_interval);
    }
}

asio::awaitable<bool> stream_duty::read_defaults() {
    const auto value =
        co_await store_.read_key(std::string(stream_defaults_key));
    if (!value) {
        log_.write(log_event::store_call_failed,
                   "call=stream_defaults reason=\"" + value.reason().detail +
                       '"');
        co_return false;
    }
    defaults_.emplace();
    if (*value) {
        auto decoded = wire::decode<default_origins>((*value)->value);
        if (!decoded) {
            // Nobody can use it; it is written again.
            log_.write(log_event::store_call_failed,
                       "key=" + (*value)->key + " reason=\"" +
                           decoded.reason().detail + '"');
        } else {
            defaults_ = std::move(*decoded);
        }
    }
    co_return true;
}

asio::awaitable<void> stream_duty::update_defaults(held_term term) {
    auto wanted =
        keeper_.update(fleet_.routes->configuration().routes, fleet_.upstreams,
                       *defaults_, std::chrono::steady_clock::now());
    if (wanted == *defaults_) {
        co_return;
    }
    store_transaction transaction =
        make_write({.key = term.key, .revision = term.revision},
                   {.key = std::string(stream_defaults_key),
                    .value = wire::encode(wanted)});
    const auto written = co_await store_.commit(std::move(transaction));
    const bool is_written =
        written && std::holds_alternative<transaction_done>(*written);
    if (is_written) {
        defaults_ = std::move(wanted);
        co_return;
    }
    log_.write(log_event::store_call_failed,
               "call=stream_defaults reason=\"" +
                   (written ? std::string("the term was lost")
                            : written.reason().detail) +
                   '"');
    // The write may still have taken effect.
    defaults_.reset();
    keeper_.reset();
}

asio::awaitable<void> stream_duty::sweep(held_term term) {
    const auto page =
        co_await store_.read_range(std::string(stream_record_prefix));
    if (!page) {
        log_.write(log_event::store_call_failed,
                   "call=stream_records reason=\"" + page.reason().detail +
                       '"');
        co_return;
    }
    const std::int64_t oldest =
        wall_milliseconds() - options_.clock_margin.count();
    store_transaction transaction;
    for (std::size_t at = 0; at < page->values.size(); ++at) {
        const auto record = wire::decode<stream_record>(page->values[at].value);
        if (!record || record->expires_at < oldest) {
            transaction.deletions.push_back(page->values[at].key);
        }
        const bool is_full =
            transaction.deletions.size() == max_transaction_entries;
        const bool is_last = at + 1 == page->values.size();
        if ((!is_full && !is_last) || transaction.deletions.empty()) {
            continue;
        }
        if (!is_in_term(term)) {
            co_return;
        }
        store_transaction full;
        std::swap(full, transaction);
        const auto deleted = co_await store_.commit(std::move(full));
        if (!deleted) {
            log_.write(log_event::store_call_failed,
                       "call=sweep_stream_records reason=\"" +
                           deleted.reason().detail + '"');
            co_return;
        }
    }
}

asio::awaitable<void> stream_duty::pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace savorydock

#include "drivers/tunnel/path_connector.hpp"

#include "drivers/http/socket_options.hpp"
#include "drivers/tunnel/tunnel_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
/// Limit on lines about opened tunnels.
constexpr std::chrono::milliseconds tunnel_log_interval{1'000};

steady_time now() {
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds to_milliseconds(steady_time::duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

asio::awaitable<bool> is_cancelled() {
    const auto state = co_await asio::this_coro::cancellation_state;
    co_return state.cancelled() != asio::cancellation_type::none;
}

peer_failure failure_of(tunnel_answer answer) {
    switch (answer) {
    case tunnel_answer::unreachable:
        return peer_failure::unreachable;
    case tunnel_answer::isolated:
        return peer_failure::isolated;
    case tunnel_answer::busy:
    // The peer's list may be older or newer for a moment.
    case tunnel_answer::unknown_upstream:
        return peer_failure::busy;
    default:
        return peer_failure::lost;
    }
}

} // namespace

/// A direct connection that is being opened while peers may be asked.
struct path_connector::direct_attempt {
    explicit direct_attempt(asio::io_context& context)
        : socket(context)
        , changed(context) {}

    [[nodiscard]] bool is_established() const { return result && !*result; }
    [[nodiscard]] bool is_pending() const { return !result; }

    tcp::socket socket;
    asio::steady_timer changed;
    std::optional<boost::system::error_code> result;
    steady_time started_at = now();
};

/// Closes the attempt when the caller ends or is cancelled.
class path_connector::direct_guard {
public:
    explicit direct_guard(std::shared_ptr<direct_attempt> attempt)
        : attempt_(std::move(attempt)) {}
    direct_guard(const direct_guard&) = delete;
    direct_guard& operator=(const direct_guard&) = delete;
    ~direct_guard() {
        if (attempt_) {
            boost::system::error_code ignored;
            attempt_->socket.close(ignored);
        }
    }

private:
    std::shared_ptr<direct_attempt> attempt_;
};

path_connector::path_connector(asio::io_context& context, upstream_paths& paths,
                               path_connector_options options, logger& log)
    : context_(context)
    , paths_(paths)
    , options_(std::move(options))
    , log_(log) {}

void path_connector::on_change(std::function<void()> handler) {
    on_change_ = std::move(handler);
}

std::shared_ptr<path_connector::direct_attempt>
path_connector::start_direct(asio::io_context& context,
                             const endpoint& address) {
    auto attempt = std::make_shared<direct_attempt>(context);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.address, error);
    if (error) {
        attempt->result = error;
        return attempt;
    }
    attempt->socket.async_connect(
        tcp::endpoint(ip, address.port),
        [attempt](const boost::system::error_code& result) {
            attempt->result = result;
            attempt->changed.cancel();
        });
    return attempt;
}

asio::awaitable<void>
path_connector::wait(std::shared_ptr<direct_attempt> attempt,
                     steady_time until) {
    if (attempt->is_pending()) {
        attempt->changed.expires_at(until);
        co_await attempt->changed.async_wait(await);
    }
}

opened_connection path_connector::take_direct(const endpoint& address,
                                              direct_attempt& attempt) {
    paths_.on_direct_established(address, now());
    opened_connection opened{
        .socket = std::move(attempt.socket),
        .path = {.is_direct = true, .epoch = paths_.epoch()}};
    prepare_socket(opened.socket);
    return opened;
}

asio::awaitable<outcome<opened_connection>>
path_connector::connect(endpoint address, steady_time deadline) {
    const path_choice choice = paths_.choose(address, now());
    if (choice == path_choice::none) {
        co_return failure{result_code::not_run_no_upstream,
                          "neither this instance nor its peers reach the "
                          "upstream"};
    }
    std::shared_ptr<direct_attempt> direct;
    if (choice == path_choice::direct_first) {
        direct = start_direct(context_, address);
    }
    const direct_guard guard(direct);
    const auto max_time = paths_.max_direct_time(address);
    if (direct) {
        const auto first_time =
            paths_.direct_time(to_milliseconds(deadline - now()));
        co_await wait(direct, max_time ? std::min(deadline, now() + first_time)
                                       : deadline);
        if (direct->is_established()) {
            co_return take_direct(address, *direct);
        }
        if (co_await is_cancelled()) {
            co_return failure{result_code::cancelled_by_caller,
                              "the call was cancelled"};
        }
        // A shorter time says nothing about the upstream.
        if (direct->result ||
            now() >= direct->started_at +
                         paths_.direct_time(std::chrono::milliseconds(0))) {
            paths_.on_direct_failed(address, now());
        }
    }
    auto tunnel = co_await ask_peers(address, deadline, direct);
    const bool has_ended = co_await is_cancelled();
    const bool is_direct = direct && direct->is_established();
    if (tunnel && (has_ended || is_direct)) {
        boost::system::error_code ignored;
        tunnel->socket.close(ignored);
    }
    if (has_ended) {
        co_return failure{result_code::cancelled_by_caller,
                          "the call was cancelled"};
    }
    if (is_direct) {
        co_return take_direct(address, *direct);
    }
    if (tunnel) {
        co_return std::move(*tunnel);
    }
    if (direct && direct->is_pending()) {
        co_await wait(
            direct, std::min(deadline, direct->started_at +
                                           max_time.value_or(
                                               std::chrono::milliseconds(0))));
        if (direct->is_established()) {
            co_return take_direct(address, *direct);
        }
    }
    if (now() >= deadline) {
        co_return failure{result_code::not_run_deadline,
                          "the upstream wasn't connected in time"};
    }
    co_return failure{result_code::not_run_no_upstream,
                      direct && direct->result
                          ? direct->result->message()
                          : "the upstream wasn't connected in time"};
}

asio::awaitable<std::optional<opened_connection>>
path_connector::ask_peers(endpoint address, steady_time deadline,
                          std::shared_ptr<direct_attempt> direct) {
    for (const instance_id& peer : paths_.peers_to_ask(address, now())) {
        const auto tunnel = options_.tunnel_of(peer);
        if (now() >= deadline) {
            break;
        }
        if (!tunnel) {
            continue;
        }
        tunnel_request request{
            .key = options_.key, .from = options_.self, .upstream = address};
        const steady_time started_at = now();
        const steady_time until =
            std::min(deadline, started_at + options_.tunnel_time);
        tunnel_attempt attempt =
            co_await open_tunnel(context_, *tunnel, std::move(request), until);
        if (attempt.answer == tunnel_answer::accepted) {
            const bool is_due =
                !last_tunnel_log_ ||
                now() >= *last_tunnel_log_ + tunnel_log_interval;
            ++tunnels_used_;
            ++unlogged_tunnels_;
            if (is_due) {
                log_.write(
                    log_event::tunnel_opened,
                    "upstream=" + to_text(address) + " peer=" + peer.text() +
                        " milliseconds=" +
                        std::to_string(
                            to_milliseconds(now() - started_at).count()) +
                        " count=" + std::to_string(unlogged_tunnels_));
                last_tunnel_log_ = now();
                unlogged_tunnels_ = 0;
            }
            // Of a direct connection that was established meanwhile, the
            // failure was a mere delay.
            if (!direct || !direct->is_established()) {
                paths_.on_peer_reached(address, peer, now());
                report_change();
            }
            opened_connection opened{
                .socket = std::move(*attempt.socket),
                .path = {.is_direct = false, .epoch = paths_.epoch()}};
            co_return std::move(opened);
        }
        if (co_await is_cancelled()) {
            break;
        }
        // A deadline that came early says little about the peer.
        const bool is_cut_short = attempt.answer == tunnel_answer::none &&
                                  now() >= deadline &&
                                  now() < started_at + options_.tunnel_time;
        paths_.on_peer_failed(address, peer,
                              is_cut_short ? peer_failure::busy
                                           : failure_of(attempt.answer),
                              now());
        if (attempt.answer == tunnel_answer::unreachable ||
            (direct && direct->is_established())) {
            break;
        }
    }
    co_return std::nullopt;
}

bool path_connector::may_reuse(const endpoint& address,
                               const connection_path& path) const {
    return paths_.may_reuse(address, path.is_direct, path.epoch, now());
}

void path_connector::on_answered(const endpoint& address,
                                 const connection_path&) {
    paths_.on_answered(address, now());
}

void path_connector::on_unanswered(const endpoint& address,
                                   const connection_path&) {
    paths_.on_unanswered(address, now());
}

tunnel_answer path_connector::judge(const endpoint& upstream) const {
    if (!is_helping_) {
        return tunnel_answer::busy;
    }
    if (!paths_.is_listed(upstream)) {
        return tunnel_answer::unknown_upstream;
    }
    return paths_.is_isolated() ? tunnel_answer::isolated
                                : tunnel_answer::accepted;
}

void path_connector::on_connected(const endpoint& upstream) {
    paths_.on_direct_established(upstream, now());
}

tunnel_answer path_connector::on_connect_failed(const endpoint& upstream) {
    paths_.on_direct_failed(upstream, now());
    return paths_.is_suspect(now()) ? tunnel_answer::isolated
                                    : tunnel_answer::unreachable;
}

asio::awaitable<void> path_connector::probe(endpoint address) {
    const auto attempt = start_direct(context_, address);
    const direct_guard guard(attempt);
    co_await wait(attempt, now() + options_.probe_time);
    paths_.on_probe_ended(address, attempt->is_established(), now());
    report_change();
}

asio::awaitable<void> path_connector::watch_isolation() {
    asio::steady_timer timer(context_);
    while (paths_.is_isolated()) {
        timer.expires_after(options_.probe_check_interval);
        co_await timer.async_wait(await);
        if (const auto address = paths_.next_probe(now())) {
            co_await probe(*address);
        }
    }
}

void path_connector::report_change() {
    if (paths_.is_isolated() == was_isolated_) {
        return;
    }
    was_isolated_ = paths_.is_isolated();
    if (was_isolated_) {
        const isolation_evidence& evidence = paths_.evidence();
        isolated_since_ = now();
        log_.write(
            log_event::upstream_isolation_began,
            "upstreams_failed=" + std::to_string(evidence.upstreams_failed) +
                " reached_by_peers=" +
                std::to_string(evidence.upstreams_reached_by_peers) +
                " milliseconds_since_success=" +
                (evidence.since_success
                     ? std::to_string(evidence.since_success->count())
                     : "none"));
        asio::co_spawn(context_, watch_isolation(), asio::detached);
    } else {
        log_.write(log_event::upstream_isolation_ended,
                   "milliseconds=" +
                       std::to_string(
                           to_milliseconds(now() - isolated_since_).count()) +
                       " tunnels_used=" + std::to_string(tunnels_used_));
    }
    if (on_change_) {
        on_change_();
    }
}

} // namespace savorydock

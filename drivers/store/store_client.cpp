#include "drivers/store/store_client.hpp"

#include "platform/store_codec.hpp"
#include "servers/platform/call_effect.hpp"

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// A response takes some milliseconds, or a quarter of a second from a slow
/// store. A later one is treated as lost.
constexpr std::chrono::milliseconds call_timeout{1'500};
/// How much longer than its wait time a watch may take to respond; a slow
/// store takes a quarter of a second. Changes missed by a silently lost watch
/// are read after its wait and this time, which together must stay well below
/// the 2 s within which a configuration must take effect.
constexpr std::chrono::milliseconds watch_slack{400};
/// Timeout of a direct call that a relayed one can follow. A slow store takes a
/// quarter of a second. A call that was sent twice takes effect only once
/// because of its condition.
constexpr std::chrono::milliseconds relayed_call_timeout{500};
/// How long calls try the relay first after it reached the store.
constexpr std::chrono::milliseconds relay_first_time{1'000};
/// How long calls don't use the relay after it failed to reach the store.
constexpr std::chrono::milliseconds relay_retry_pause{700};
/// The detail of a call that was cancelled on this side.
constexpr const char* cancelled_detail = "given up";

call_effect effect_of(const outcome<http_response>& result) {
    if (result) {
        return platform::effect_of(*result);
    }
    return result.reason().code == result_code::store_refused
               ? call_effect::none
               : call_effect::possible;
}

} // namespace

std::string_view name_of(store_call_kind kind) {
    switch (kind) {
    case store_call_kind::read_key:
        return "read_key";
    case store_call_kind::read_range:
        return "read_range";
    case store_call_kind::watch:
        return "watch";
    case store_call_kind::transaction:
        return "transaction";
    case store_call_kind::lease_grant:
        return "lease_grant";
    case store_call_kind::lease_renewal:
        return "lease_renewal";
    case store_call_kind::lease_end:
        return "lease_end";
    case store_call_kind::for_peer:
        return "for_peer";
    }
    return "unlisted";
}

store_client::store_client(asio::io_context& context, store_limits limits,
                           logger& log)
    : client_(context)
    , limits_(std::move(limits))
    , log_(log) {}

void store_client::record_call_result(bool is_answered,
                                      const std::string& target,
                                      const std::string& detail) {
    if (is_answered) {
        last_contact_ = std::chrono::steady_clock::now();
    }
    if (is_answered == is_reachable_) {
        return;
    }
    is_reachable_ = is_answered;
    if (is_answered) {
        if (!is_reachable_by_relay_) {
            reachable_since_ = std::chrono::steady_clock::now();
        }
        log_.write(log_event::platform_reachable, "call=" + target);
        if (on_reachable_) {
            on_reachable_();
        }
        return;
    }
    is_reachable_by_relay_ = false;
    log_.write(log_event::platform_unreachable,
               "call=" + target + " reason=\"" + detail + '"');
    if (on_unreachable_) {
        on_unreachable_();
    }
}

asio::awaitable<outcome<http_response>>
store_client::send(http_request request, std::chrono::milliseconds timeout,
                   store_call_kind kind, std::string_view body) {
    const std::string target(request.path());
    ++counters_.calls;
    ++counters_.calls_by_kind.at(static_cast<std::size_t>(kind));
    const steady_time deadline = std::chrono::steady_clock::now() + timeout;
    call_options options{.body = body};
    auto response = co_await client_.call(limits_.address, std::move(request),
                                          deadline, std::move(options));
    if (response) {
        // Refusals are recorded where the response is decoded.
        if (platform::effect_of(*response) == call_effect::answered) {
            record_call_result(true, target, {});
        }
        co_return response;
    }
    if (response.reason().code == result_code::cancelled_by_caller) {
        co_return failure{result_code::store_unanswered, cancelled_detail};
    }
    // The idle connections may have failed together with this one.
    client_.drop_idle(limits_.address);
    record_call_result(false, target, response.reason().detail);
    const bool is_not_sent =
        response.reason().code == result_code::not_run_no_upstream;
    ++(is_not_sent ? counters_.refused : counters_.unanswered);
    co_return failure{is_not_sent ? result_code::store_refused
                                  : result_code::store_unanswered,
                      target + ": " + response.reason().detail};
}

asio::awaitable<outcome<http_response>>
store_client::call_for_peer(http_request request) {
    return send(std::move(request), relayed_call_timeout,
                store_call_kind::for_peer);
}

asio::awaitable<outcome<http_response>>
store_client::send_or_relay(const http_request& request, store_call_kind kind) {
    http_request head{.method = request.method,
                      .target = request.target,
                      .headers = request.headers};
    const auto now = [] { return std::chrono::steady_clock::now(); };
    const std::string path(request.path());
    if (relay_ == nullptr || now() < relay_blocked_until_) {
        co_return co_await send(std::move(head), call_timeout, kind,
                                request.body);
    }
    std::optional<outcome<http_response>> direct;
    call_effect effect = call_effect::none;
    if (now() >= relay_first_until_) {
        direct = co_await send(std::move(head), relayed_call_timeout, kind,
                               request.body);
        effect = effect_of(*direct);
        const bool is_cancelled_call =
            !*direct && direct->reason().detail == cancelled_detail;
        if (effect == call_effect::answered || is_cancelled_call) {
            co_return std::move(*direct);
        }
        if (*direct) {
            ++counters_.refused;
            record_call_result(false, path,
                               "status " + std::to_string((*direct)->status));
        }
    }
    http_request copy = request;
    auto relayed = co_await relay_->call(std::move(copy));
    const call_effect relayed_effect = effect_of(relayed);
    if (relayed_effect == call_effect::answered) {
        relay_first_until_ = now() + relay_first_time;
        is_reachable_by_relay_ = true;
        co_return relayed;
    }
    relay_first_until_ = {};
    relay_blocked_until_ = now() + relay_retry_pause;
    effect = combine(effect, relayed_effect);
    if (effect == call_effect::possible) {
        co_return failure{result_code::store_unanswered,
                          path + ": no answer to a direct or " +
                              "relayed call"};
    }
    co_return relayed || !direct ? std::move(relayed) : std::move(*direct);
}

template <class Value>
outcome<Value> store_client::record_refusal(outcome<Value> result) {
    if (!result && result.reason().code == result_code::store_refused) {
        ++counters_.refused;
        record_call_result(false, "any", result.reason().detail);
    }
    return result;
}

void store_client::log_unreadable(std::string_view call,
                                  const std::string& prefix,
                                  std::size_t count) {
    if (count > 0) {
        log_.write(log_event::store_items_unreadable,
                   "call=" + std::string(call) + " prefix=" + prefix +
                       " count=" + std::to_string(count));
    }
}

asio::awaitable<outcome<std::optional<stored_value>>>
store_client::read_key(std::string key) {
    http_request request = platform::make_read_key(key);
    const auto response =
        co_await send_or_relay(request, store_call_kind::read_key);
    if (!response) {
        co_return response.reason();
    }
    co_return record_refusal(platform::decode_key(*response));
}

asio::awaitable<outcome<store_page>>
store_client::read_range(std::string prefix, std::string after,
                         relay_use relay) {
    store_page all;
    bool has_more = true;
    while (has_more) {
        http_request request = platform::make_read_range(prefix, after, false);
        outcome<http_response> response =
            failure{result_code::store_refused, "not sent"};
        if (relay == relay_use::allowed) {
            response =
                co_await send_or_relay(request, store_call_kind::read_range);
        } else {
            response = co_await send(std::move(request), call_timeout,
                                     store_call_kind::read_range);
        }
        if (!response) {
            co_return response.reason();
        }
        auto page = record_refusal(platform::decode_range(*response));
        if (!page) {
            co_return page.reason();
        }
        log_unreadable("range", prefix, page->unreadable);
        all.unreadable += page->unreadable;
        all.revision = all.revision == 0 ? page->revision : all.revision;
        has_more = page->has_more && !page->values.empty();
        if (has_more) {
            after = page->values.back().key;
        }
        std::move(page->values.begin(), page->values.end(),
                  std::back_inserter(all.values));
    }
    co_return all;
}

asio::awaitable<outcome<store_changes>>
store_client::watch(std::string prefix, store_revision after,
                    std::chrono::milliseconds wait) {
    http_request request = platform::make_watch(prefix, after, wait);
    const auto response = co_await send(std::move(request), wait + watch_slack,
                                        store_call_kind::watch);
    if (!response) {
        co_return response.reason();
    }
    auto changes = record_refusal(platform::decode_watch(*response));
    if (changes) {
        log_unreadable("watch", prefix, changes->unreadable);
    }
    co_return changes;
}

asio::awaitable<outcome<transaction_result>>
store_client::commit(store_transaction transaction) {
    const http_request request = platform::make_transaction(transaction);
    transaction = {};
    co_return co_await commit_encoded(request);
}

asio::awaitable<outcome<transaction_result>>
store_client::commit_encoded(const http_request& request) {
    const auto response =
        co_await send_or_relay(request, store_call_kind::transaction);
    if (!response) {
        co_return response.reason();
    }
    co_return record_refusal(platform::decode_transaction(*response));
}

asio::awaitable<outcome<store_lease>>
store_client::grant(std::chrono::milliseconds time_to_live) {
    http_request request = platform::make_lease(time_to_live);
    const auto response = co_await send(std::move(request), call_timeout,
                                        store_call_kind::lease_grant);
    if (!response) {
        co_return response.reason();
    }
    co_return record_refusal(platform::decode_lease(*response));
}

asio::awaitable<outcome<done>> store_client::renew(std::uint64_t lease) {
    http_request request = platform::make_lease_renewal(lease);
    const auto response =
        co_await send_or_relay(request, store_call_kind::lease_renewal);
    if (!response) {
        co_return response.reason();
    }
    co_return record_refusal(platform::decode_lease_renewal(*response));
}

asio::awaitable<outcome<done>> store_client::end_lease(std::uint64_t lease) {
    http_request request = platform::make_lease_end(lease);
    const auto response =
        co_await send_or_relay(request, store_call_kind::lease_end);
    if (!response) {
        co_return response.reason();
    }
    co_return record_refusal(platform::decode_lease_renewal(*response));
}

} // namespace savorydock

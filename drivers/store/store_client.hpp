#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "core/node_settings.hpp"
#include "core/outcome.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/store/store_relay.hpp"
#include "servers/platform/store_transaction.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace savorydock {

enum class store_call_kind : std::uint8_t {
    read_key,
    read_range,
    watch,
    transaction,
    lease_grant,
    lease_renewal,
    lease_end,
    /// Made on behalf of another instance.
    for_peer,
};

inline constexpr std::size_t store_call_kind_count =
    static_cast<std::size_t>(store_call_kind::for_peer) + 1;

/// Returns the kind's name in the metrics. Thread safe.
[[nodiscard]] std::string_view name_of(store_call_kind kind);

/// Number of calls to the store, in total, by kind and by failure, for the
/// metrics.
struct store_counters {
    std::uint64_t calls = 0;
    /// Indexed by the number of the kind.
    std::array<std::uint64_t, store_call_kind_count> calls_by_kind{};
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
};

/// Whether a call may be relayed by another instance.
enum class relay_use : std::uint8_t {
    allowed,
    none,
};

/// The client of the platform's store; there is one per process. Belongs to
/// one traffic thread.
///
/// If a relay is set, calls that the store refuses or doesn't answer go through
/// another instance: reads, renewals and transactions, whose conditions make
/// them safe to send twice. Lease grants and watches are not relayed: an
/// instance that can't reach the store should not take over new scopes.
///
/// Errors of all calls: `store_refused` if the call certainly had no effect,
/// `store_unanswered` if a write may still take effect, even seconds later;
/// further ones are documented at the calls. Logs when the store becomes
/// unreachable or reachable.
class store_client {
public:
    /// `log` must outlive the client.
    store_client(boost::asio::io_context& context, store_limits limits,
                 logger& log);

    boost::asio::awaitable<outcome<std::optional<stored_value>>>
    read_key(std::string key);

    /// Reads all keys under the prefix that sort after the key `after`, in
    /// order. The revision is that of the first page: later changes may be
    /// missing.
    boost::asio::awaitable<outcome<store_page>>
    read_range(std::string prefix, std::string after = {},
               relay_use relay = relay_use::allowed);

    /// Waits for the first changes after the revision; returns none if there
    /// were none within `wait`. Errors: `store_history_gone`.
    boost::asio::awaitable<outcome<store_changes>>
    watch(std::string prefix, store_revision after,
          std::chrono::milliseconds wait);

    /// Errors: `lease_not_held` if a write names a lease that has ended.
    boost::asio::awaitable<outcome<transaction_result>>
    commit(store_transaction transaction);
    /// The same for an encoded transaction, which several tries share. It must
    /// outlive the call.
    boost::asio::awaitable<outcome<transaction_result>>
    commit_encoded(const http_request& request);

    boost::asio::awaitable<outcome<store_lease>>
    grant(std::chrono::milliseconds time_to_live);
    /// Errors: `lease_not_held`.
    boost::asio::awaitable<outcome<done>> renew(std::uint64_t lease);
    boost::asio::awaitable<outcome<done>> end_lease(std::uint64_t lease);

    /// Makes a call on behalf of another instance, without using the relay.
    boost::asio::awaitable<outcome<http_response>>
    call_for_peer(http_request request);

    /// `relay` must outlive the client's calls.
    void use_relay(store_relay& relay) { relay_ = &relay; }

    /// Whether the store answered the last call.
    [[nodiscard]] bool is_reachable() const { return is_reachable_; }
    /// When the store last answered.
    [[nodiscard]] steady_time last_contact() const { return last_contact_; }
    /// Sets the handler that is called when the store becomes unreachable.
    void on_unreachable(std::function<void()> handler) {
        on_unreachable_ = std::move(handler);
    }
    /// Sets the handler that is called when the store is reachable again.
    void on_reachable(std::function<void()> handler) {
        on_reachable_ = std::move(handler);
    }
    /// When the last outage of the store ended; the epoch if there was none. A
    /// time during which calls through the relay succeeded is no outage.
    [[nodiscard]] steady_time reachable_since() const {
        return reachable_since_;
    }

    [[nodiscard]] const store_limits& limits() const { return limits_; }
    void set_limits(store_limits limits) { limits_ = std::move(limits); }
    [[nodiscard]] const store_counters& counters() const { return counters_; }

private:
    boost::asio::awaitable<outcome<http_response>>
    send(http_request request, std::chrono::milliseconds timeout,
         store_call_kind kind, std::string_view body = {});
    /// Like `send`, but uses the relay if this instance can't reach the store.
    boost::asio::awaitable<outcome<http_response>>
    send_or_relay(const http_request& request, store_call_kind kind);
    void log_unreadable(std::string_view call, const std::string& prefix,
                        std::size_t count);
    void record_call_result(bool is_answered, const std::string& target,
                            const std::string& detail);

    template <class Value>
    outcome<Value> record_refusal(outcome<Value> result);

    http_client client_;
    store_limits limits_;
    logger& log_;
    store_counters counters_;
    store_relay* relay_ = nullptr;
    /// Until then calls try the relay first.
    steady_time relay_first_until_{};
    /// Until then calls don't use the relay, because it failed.
    steady_time relay_blocked_until_{};
    bool is_reachable_ = true;
    /// Whether the relay has reached the store since this instance last could.
    bool is_reachable_by_relay_ = false;
    steady_time reachable_since_{};
    steady_time last_contact_{};
    std::function<void()> on_unreachable_;
    std::function<void()> on_reachable_;
};

} // namespace savorydock

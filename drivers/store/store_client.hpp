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

namespace savorydock {

/// Calls to the store by kind and by how they ended, for the metrics.
struct store_counters {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
};

/// Whether a call may go through another instance.
enum class relay_use : std::uint8_t {
    allowed,
    none,
};

/// The one client of the platform's store in a process. Belongs to one
/// traffic thread.
///
/// With a relay, calls that the store doesn't answer go through another
/// instance: reads, renewals and transactions, whose conditions make them safe
/// to send twice. New leases and watches don't: an instance that is cut off
/// should take no new duty.
///
/// Errors of all calls: `store_refused` if the store states that nothing was
/// done, `store_unanswered` if a write may still take effect, even seconds
/// later; others as named. Each failed call is logged, with a bound on their
/// number a second.
class store_client {
public:
    /// `log` must outlive the client.
    store_client(boost::asio::io_context& context, store_limits limits,
                 logger& log);

    boost::asio::awaitable<outcome<std::optional<stored_value>>>
    read_key(std::string key);

    /// All keys under the prefix behind the key `after`, in their order. The
    /// revision is that of the first page: changes since then may be missing.
    boost::asio::awaitable<outcome<store_page>>
    read_range(std::string prefix, std::string after = {},
               relay_use relay = relay_use::allowed);

    /// Returns with the first changes after the revision, or empty after the
    /// time. Errors: `store_history_gone`.
    boost::asio::awaitable<outcome<store_changes>>
    watch(std::string prefix, store_revision after,
          std::chrono::milliseconds wait);

    /// Errors: `lease_not_held` if a write names a lease that has ended.
    boost::asio::awaitable<outcome<transaction_result>>
    commit(store_transaction transaction);

    boost::asio::awaitable<outcome<store_lease>>
    grant(std::chrono::milliseconds time_to_live);
    /// Errors: `lease_not_held`.
    boost::asio::awaitable<outcome<done>> renew(std::uint64_t lease);
    boost::asio::awaitable<outcome<done>> end_lease(std::uint64_t lease);

    /// Makes another instance's call, without a relay.
    boost::asio::awaitable<outcome<http_response>>
    call_for_peer(http_request request);

    /// `relay` must outlive the client's calls.
    void use_relay(store_relay& relay) { relay_ = &relay; }

    /// Whether the last call was answered.
    [[nodiscard]] bool is_reachable() const { return is_reachable_; }
    /// When the store answered last.
    [[nodiscard]] steady_time last_contact() const { return last_contact_; }
    /// Sets who is told when the store stops to answer.
    void on_lost(std::function<void()> handler) {
        on_lost_ = std::move(handler);
    }
    /// Sets who is told when it answers again.
    void on_back(std::function<void()> handler) {
        on_back_ = std::move(handler);
    }
    /// When the store came back last; the epoch if it never was away. A time in
    /// which it answered other instances doesn't count.
    [[nodiscard]] steady_time back_since() const { return back_since_; }

    [[nodiscard]] const store_limits& limits() const { return limits_; }
    void set_limits(store_limits limits) { limits_ = std::move(limits); }
    [[nodiscard]] const store_counters& counters() const { return counters_; }

private:
    boost::asio::awaitable<outcome<http_response>>
    send(http_request request, std::chrono::milliseconds timeout);
    /// As `send`, through another instance if the store doesn't answer this.
    boost::asio::awaitable<outcome<http_response>>
    send_or_relay(http_request request);
    void note(bool is_answered, const std::string& target,
              const std::string& detail);

    template <class Value>
    outcome<Value> note_refusal(outcome<Value> result);

    http_client client_;
    store_limits limits_;
    logger& log_;
    store_counters counters_;
    store_relay* relay_ = nullptr;
    /// Until then calls go through the relay first.
    steady_time relay_until_{};
    /// The relay found no way; it isn't tried until then.
    steady_time relay_not_before_{};
    bool is_reachable_ = true;
    /// It answered another instance since this one lost it.
    bool is_alive_elsewhere_ = false;
    steady_time back_since_{};
    steady_time last_contact_{};
    std::function<void()> on_lost_;
    std::function<void()> on_back_;
};

} // namespace savorydock

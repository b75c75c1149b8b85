#pragma once

#include "core/endpoint.hpp"
#include "drivers/http/http_server.hpp"
#include "servers/platform/platform_message.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace savorydock {

/// What the store does with a transaction while a fault is set.
enum class store_fault : std::uint8_t {
    /// Responds with 503; the transaction has no effect.
    refuse,
    /// Commits the transaction, then closes the connection without a response.
    lose_answer,
};

/// A test double for the users' store: keys with revisions, conditional
/// transactions, leases and watches over HTTP, in one process. Thread safe.
class fake_users_store {
public:
    fake_users_store();
    ~fake_users_store();

    [[nodiscard]] const endpoint& address() const { return address_; }

    /// Applies `fault` to the next `count` transactions.
    void fail_transactions(store_fault fault, std::size_t count);
    /// While set, all calls get 503.
    void set_refusing(bool is_refusing) { is_refusing_ = is_refusing; }
    /// While set, new watches never get a response, but their connections stay
    /// open.
    void set_losing_watches(bool is_losing) { is_losing_watches_ = is_losing; }

    /// While set, reads of ranges never get a response, but their connections
    /// stay open.
    void set_losing_ranges(bool is_losing) { is_losing_ranges_ = is_losing; }
    /// Delays the responses to reads of ranges.
    void set_range_delay(std::chrono::milliseconds delay) {
        range_delay_ = delay;
    }
    /// Holds the response to the next read of a range, made before, until it is
    /// released.
    void hold_next_range() { held_range_ = hold::armed; }
    [[nodiscard]] bool holds_range() const {
        return held_range_ == hold::holding;
    }
    void release_range() { held_range_ = hold::none; }
    /// Delays the responses to renewals of leases; the renewals take effect.
    void set_renewal_delay(std::chrono::milliseconds delay) {
        renewal_delay_ = delay;
    }

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Like `put`, but watches don't report it.
    void put_without_history(const std::string& key, const std::string& value);
    /// Writes a value that is not base64.
    void put_unreadable(const std::string& key);
    /// Removes the history of changes; watches of older revisions then get 410.
    void drop_history();
    /// Ends all leases and deletes their keys without notifying the holders.
    void end_all_leases();
    [[nodiscard]] std::map<std::string, stored_value> values() const;

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    http_response answer(const http_request& request, bool& is_lost);
    http_response read_key(const std::string& key);
    http_response read_range(const std::string& prefix,
                             const std::string& after);
    http_response transact(const std::string& body, bool& is_lost);
    [[nodiscard]] http_response changes(const std::string& prefix,
                                        store_revision after, bool& is_empty);
    void write(const std::string& key, const std::string& value,
               std::uint64_t lease);
    void erase(const std::string& key);

    enum class hold : std::uint8_t { none, armed, holding };

    mutable std::mutex mutex_;
    std::map<std::string, stored_value> values_;
    /// Changes by revision: the value, and whether the key was removed.
    std::map<store_revision, std::pair<stored_value, bool>> history_;
    store_revision revision_ = 1;
    store_revision oldest_ = 0;
    std::uint64_t next_lease_ = 100;
    std::map<std::uint64_t, bool> leases_;
    store_fault fault_ = store_fault::refuse;
    std::size_t faults_left_ = 0;
    std::atomic<bool> is_refusing_{false};
    std::atomic<bool> is_losing_watches_{false};
    std::atomic<bool> is_losing_ranges_{false};
    std::atomic<hold> held_range_{hold::none};
    std::atomic<std::chrono::milliseconds> range_delay_{};
    std::atomic<std::chrono::milliseconds> renewal_delay_{};
    traffic_pool pool_{1};
    http_server server_;
    endpoint address_;
};

} // namespace savorydock

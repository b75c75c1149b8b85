#pragma once

#include "core/boot_clock.hpp"
#include "core/clock.hpp"
#include "core/logger.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/feed/key_copy.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// Receives changes of the keys under one prefix, on the traffic thread.
class store_mirror_listener {
public:
    virtual ~store_mirror_listener() = default;

    /// Called with changes in the store's order. `is_reread` says that they
    /// come from a comparison with a reread of all keys.
    virtual void on_changes(const std::vector<store_change>& changes,
                            bool is_reread) = 0;
};

/// How a mirror follows the store.
enum class mirror_mode : std::uint8_t {
    /// Not at all: another instance forwards the changes.
    off,
    /// With its own watches.
    watching,
};

/// Keeps a copy of all keys under one prefix up to date with watches. After a
/// failed watch it rereads the prefix and compares. Belongs to one traffic
/// thread.
class store_mirror {
public:
    /// `client`, `listener` and `log` must outlive the mirror's `run`.
    store_mirror(boost::asio::io_context& context, store_client& client,
                 std::string prefix, store_mirror_listener& listener,
                 logger& log);

    /// Follows the store and never returns. Precondition: called once.
    boost::asio::awaitable<void> run();

    void set_mode(mirror_mode mode);

    /// Sets whether the mirror retries reads while the store is unreachable.
    /// One mirror per instance is enough; the others wait for
    /// `on_store_reachable`.
    void set_probing(bool is_probing) { is_probing_ = is_probing; }
    void on_store_reachable() { wake_.cancel(); }

    /// Sets the longest pause between retries while the store fails.
    void set_longest_pause(std::chrono::milliseconds pause) {
        longest_pause_ = pause;
    }

    /// Cancels a watch in progress and rereads the prefix.
    void restart();

    /// Applies changes forwarded by another instance and notifies the listener.
    void apply_changes(std::vector<store_change> changes,
                       store_revision revision);
    void apply_snapshot(std::vector<stored_value> values,
                        store_revision revision);

    [[nodiscard]] const key_copy& copy() const { return copy_; }
    /// Whether no watch has failed since the last reread.
    [[nodiscard]] bool is_current() const { return !must_read_; }
    /// When the store last answered a read or watch of this mirror.
    [[nodiscard]] steady_time answered_at() const { return answered_at_; }
    /// The time up to which the copy is known to include the store's state;
    /// absent if no call of this mirror was answered yet.
    [[nodiscard]] std::optional<boot_clock::time_point> confirmed_at() const {
        return confirmed_at_;
    }
    [[nodiscard]] const std::string& prefix() const { return prefix_; }

private:
    boost::asio::awaitable<bool> reread();
    boost::asio::awaitable<bool> follow();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    boost::asio::awaitable<void> pause();
    /// The store answered a call, and the copy includes its state at this time.
    void confirm(boot_clock::time_point time);

    store_client& client_;
    std::string prefix_;
    store_mirror_listener& listener_;
    logger& log_;
    key_copy copy_;
    mirror_mode mode_ = mirror_mode::watching;
    bool must_read_ = true;
    bool is_probing_ = true;
    /// Cancelled to end a sleep or a watch in progress.
    boost::asio::steady_timer wake_;
    std::uint32_t failures_in_row_ = 0;
    steady_time answered_at_{};
    std::optional<boot_clock::time_point> confirmed_at_;
    std::chrono::milliseconds longest_pause_{800};
};

} // namespace savorydock

#pragma once

#include "core/logger.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/feed/key_copy.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// Told of the keys under one prefix of the store, on the traffic thread.
class store_mirror_listener {
public:
    virtual ~store_mirror_listener() = default;

    /// Changes in the order of the store. `is_reread`: they come from a
    /// comparison with a new reading of the whole prefix.
    virtual void on_changes(const std::vector<store_change>& changes,
                            bool is_reread) = 0;
};

/// How a mirror follows the store.
enum class mirror_mode : std::uint8_t {
    /// Not at all: another instance passes changes on.
    off,
    /// By watches of its own.
    watching,
};

/// Keeps a copy of all keys under one prefix up by watches. After any failed
/// watch the prefix is read anew and compared. Belongs to one traffic thread.
class store_mirror {
public:
    /// `client`, `listener` and `log` must outlive the mirror's `run`.
    store_mirror(boost::asio::io_context& context, store_client& client,
                 std::string prefix, store_mirror_listener& listener,
                 logger& log);

    /// Follows the store for ever. Precondition: called once.
    boost::asio::awaitable<void> run();

    void set_mode(mirror_mode mode);

    /// Whether it tries to read a store that doesn't answer. One mirror of an
    /// instance is enough for that; the others wait for `on_store_back`.
    void set_probing(bool is_probing) { is_probing_ = is_probing; }
    void on_store_back() { wake_.cancel(); }

    /// Gives up a watch in progress and reads the prefix anew.
    void restart();

    /// Takes what another instance passed on and tells the listener.
    void take(std::vector<store_change> changes, store_revision revision);
    void take_all(std::vector<stored_value> values, store_revision revision);

    [[nodiscard]] const key_copy& copy() const { return copy_; }
    /// Whether a watch stands since the last reading, without a failure.
    [[nodiscard]] bool is_current() const { return !must_read_; }
    [[nodiscard]] const std::string& prefix() const { return prefix_; }

private:
    boost::asio::awaitable<bool> reread();
    boost::asio::awaitable<bool> follow();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    boost::asio::awaitable<void> pause();

    store_client& client_;
    std::string prefix_;
    store_mirror_listener& listener_;
    logger& log_;
    key_copy copy_;
    mirror_mode mode_ = mirror_mode::watching;
    bool must_read_ = true;
    bool is_probing_ = true;
    /// Ends a sleep or a watch in progress.
    boost::asio::steady_timer wake_;
    std::uint32_t failures_in_row_ = 0;
};

} // namespace savorydock

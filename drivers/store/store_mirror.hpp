#pragma once

#include "core/logger.hpp"
#include "drivers/store/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
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

/// A copy of all keys under one prefix, kept up by a watch. After a lost
/// history the prefix is read anew and compared. Belongs to one traffic
/// thread.
class store_mirror {
public:
    /// `client`, `listener` and `log` must outlive the mirror's `run`.
    store_mirror(boost::asio::io_context& context, store_client& client,
                 std::string prefix, store_mirror_listener& listener,
                 logger& log);

    /// Follows the store for ever. Precondition: called once.
    boost::asio::awaitable<void> run();

    /// Whether the prefix was read once.
    [[nodiscard]] bool is_filled() const { return is_filled_; }

    [[nodiscard]] const std::map<std::string, stored_value>& values() const {
        return values_;
    }

private:
    boost::asio::awaitable<bool> reread();
    boost::asio::awaitable<bool> follow();
    boost::asio::awaitable<void> pause();

    boost::asio::io_context& context_;
    store_client& client_;
    std::string prefix_;
    store_mirror_listener& listener_;
    logger& log_;
    std::map<std::string, stored_value> values_;
    store_revision revision_ = 0;
    bool is_filled_ = false;
    std::uint32_t failures_in_row_ = 0;
};

} // namespace savorydock

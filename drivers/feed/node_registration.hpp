#pragma once

#include "core/logger.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/feed/node_directory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>

namespace savorydock {

/// Maintains this instance's entry in the directory of instances. Belongs to
/// one traffic thread.
class node_registration {
public:
    /// `store` and `log` must outlive `run`.
    node_registration(boost::asio::io_context& context, store_client& store,
                      node_entry entry, logger& log);

    /// Keeps the instance registered until `retire`. Precondition: called once.
    boost::asio::awaitable<void> run();

    /// Announces to other instances that this one accepts no new runs.
    boost::asio::awaitable<void> announce_leaving();

    /// Removes the entry.
    boost::asio::awaitable<void> retire();

private:
    boost::asio::awaitable<bool> register_once();

    store_client& store_;
    node_entry entry_;
    logger& log_;
    boost::asio::steady_timer timer_;
    std::uint64_t lease_ = 0;
    bool is_retired_ = false;
};

} // namespace savorydock

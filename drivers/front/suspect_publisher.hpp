#pragma once

#include "core/logger.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/delivery/suspect_list.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <string_view>

namespace savorydock {

/// The prefix of the keys of marks in the store.
inline constexpr std::string_view suspect_prefix = "c/suspect/";

/// Shares the marks of a `suspect_list` through the store, so that all
/// instances block the same requests, also those that start later. Belongs to
/// one traffic thread.
class suspect_publisher {
public:
    /// All references must outlive `run`.
    suspect_publisher(boost::asio::io_context& context, store_client& store,
                      suspect_list& suspects, logger& log);

    /// Writes marks as they become due and never returns. Precondition: called
    /// once.
    boost::asio::awaitable<void> run();

    /// Handles a change of a key under `suspect_prefix`.
    void on_change(const store_change& change);

private:
    boost::asio::awaitable<bool> write_due();
    boost::asio::awaitable<bool> ensure_lease();

    store_client& store_;
    suspect_list& suspects_;
    logger& log_;
    boost::asio::steady_timer timer_;
    std::uint64_t lease_ = 0;
    steady_time lease_end_{};
};

} // namespace savorydock

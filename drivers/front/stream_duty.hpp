#pragma once

#include "core/logger.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/fleet/fleet_state.hpp"
#include "servers/streams/default_origin_keeper.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>

namespace savorydock {

struct stream_duty_options {
    /// Interval of the checks for defaults that must change.
    std::chrono::milliseconds check_interval{1'000};
    /// Interval of the searches for records that no instance deletes any more,
    /// because the one that wrote them was restarted.
    std::chrono::milliseconds sweep_interval{300'000};
    /// Added to the end of a record's life for clocks that differ.
    std::chrono::milliseconds clock_margin{30'000};
};

/// Keeps the default origins of callers' streams in the store, and deletes old
/// records. One instance at a time does this: the holder of the fleet's term.
///
/// Not thread safe: all calls must come from one traffic thread.
class stream_duty {
public:
    /// All references must outlive `context`. `is_data_current` tells whether
    /// the routes and upstreams in `fleet` are up to date.
    stream_duty(boost::asio::io_context& context, store_client& store,
                fleet_state& fleet, const scope_term& term,
                std::function<bool()> is_data_current,
                stream_duty_options options, logger& log);

    /// The instance gained the term. Does the duty until the term ends.
    void on_term_gained();

private:
    boost::asio::awaitable<void> run(held_term term);
    [[nodiscard]] bool is_in_term(const held_term& term) const;
    [[nodiscard]] bool has_resumable_route() const;
    boost::asio::awaitable<bool> read_defaults();
    boost::asio::awaitable<void> update_defaults(held_term term);
    boost::asio::awaitable<void> sweep(held_term term);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context& context_;
    store_client& store_;
    fleet_state& fleet_;
    const scope_term& term_;
    std::function<bool()> is_data_current_;
    stream_duty_options options_;
    logger& log_;
    default_origin_keeper keeper_;
    /// The defaults in the store; absent until they were read in this term.
    std::optional<default_origins> defaults_;
};

} // namespace savorydock

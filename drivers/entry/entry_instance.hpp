#pragma once

#include "core/instance_settings.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <memory>

namespace savorydock {

/// One entry instance: everything that `savorydock-entry` runs, as a library.
///
/// Threads: one for control state, `traffic_threads` for traffic, one for the
/// peer link, the platform and orders.
class entry_instance {
public:
    /// Starts an instance. Errors: `invalid_settings` if an address can't be
    /// listened on, `invalid_chart`, `not_found` for a chart file.
    [[nodiscard]] static outcome<std::unique_ptr<entry_instance>>
    start(const instance_settings& settings);

    /// Ends the instance; requests that still run are cut off, see `drain`.
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    /// Takes no new work, and waits until no request is left or the timeout
    /// of the settings has passed. Returns whether none was left. Blocks.
    bool drain();

    /// Whether an operator asked for the instance's end. Thread safe.
    [[nodiscard]] bool is_drain_wanted() const;

    [[nodiscard]] const endpoint& caller_address() const;
    [[nodiscard]] const endpoint& operator_address() const;
    [[nodiscard]] const endpoint& peer_address() const;

private:
    struct parts;
    explicit entry_instance(std::unique_ptr<parts> made);

    std::unique_ptr<parts> parts_;
};

} // namespace savorydock

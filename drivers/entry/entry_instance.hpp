#pragma once

#include "core/instance_settings.hpp"
#include "core/outcome.hpp"

#include <chrono>
#include <memory>

namespace savorydock {

/// One entry instance: everything that the program `savorydock-entry` runs.
///
/// Threads: one for control state, `traffic_threads` for requests of callers,
/// and one for the I/O of the peer link, the platform, orders and the
/// operators' interface.
class entry_instance {
public:
    /// Checks what the settings' members say together. Errors:
    /// `invalid_settings`. Thread safe.
    [[nodiscard]] static outcome<done> check(const instance_settings& settings);

    /// Starts an instance. Errors: as `check`, and `invalid_settings` if it
    /// can't listen on an address; `not_found` or `invalid_chart` if a chart
    /// file is missing or invalid.
    [[nodiscard]] static outcome<std::unique_ptr<entry_instance>>
    start(const instance_settings& settings);

    /// Stops the instance and aborts requests that still run. Call `drain`
    /// first to let them finish.
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    /// Refuses new work and waits until no request is left or the drain timeout
    /// of the settings has passed. Returns whether all requests finished.
    /// Blocks.
    bool drain();

    /// Whether an operator requested a drain. Thread safe.
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

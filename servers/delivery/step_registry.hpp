#pragma once

#include "core/clock.hpp"
#include "servers/delivery/delivery_message.hpp"
#include "servers/delivery/step_session.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace savorydock {

/// A session that a traffic thread has opened.
struct step_opening {
    step_key key;
    session_epoch epoch = 1;
    /// Called on the control thread when a newer epoch is known, immediately or
    /// later.
    std::function<void(session_epoch)> on_newer_epoch;
};

/// Tracks the newest known session epoch of each step, from this and other
/// instances, and notifies older local sessions. Control thread only.
class step_registry {
public:
    /// Registers a session; returns the notice to send to the peers.
    [[nodiscard]] step_notice open(step_opening opening, steady_time now);
    void close(const step_key& key, session_epoch epoch);
    /// Processes the notice of another instance.
    void observe(const step_notice& notice, steady_time now);
    /// Removes steps without an open local session that had no recent update.
    void expire(steady_time now);

private:
    struct entry {
        session_epoch newest = 0;
        session_epoch local = 0;
        std::function<void(session_epoch)> on_newer_epoch;
        steady_time last_update{};
    };
    void raise_epoch(entry& known, session_epoch epoch, steady_time now);

    std::map<step_key, entry> steps_;
};

} // namespace savorydock

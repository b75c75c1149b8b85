#pragma once

#include "core/clock.hpp"
#include "servers/delivery/delivery_message.hpp"
#include "servers/delivery/step_session.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace savorydock {

/// A session that traffic has opened.
struct step_opening {
    step_key key;
    session_epoch epoch = 1;
    /// Called on the control thread, at once or later, with a newer epoch.
    std::function<void(session_epoch)> hear_epoch;
};

/// The newest session epochs that this instance knows of, its own and those of
/// other instances. Control thread only.
class step_registry {
public:
    /// Notes a session; returns the notice that the peers must hear.
    [[nodiscard]] step_notice open(step_opening opening, steady_time now);
    void close(const step_key& key, session_epoch epoch);
    void hear(const step_notice& notice, steady_time now);
    /// Forgets steps of which nothing was heard for long.
    void expire(steady_time now);

private:
    struct entry {
        session_epoch newest = 0;
        session_epoch local = 0;
        std::function<void(session_epoch)> hear_epoch;
        steady_time heard{};
    };
    void raise(entry& one, session_epoch epoch, steady_time now);

    std::map<step_key, entry> steps_;
};

} // namespace savorydock

#pragma once

#include "core/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace savorydock {

/// What each connection of a crowd sends.
struct crowd_plan {
    std::size_t connections = 24;
    /// Sent first, then `piece` as often as `pieces` says, then `tail`.
    std::string head;
    std::string piece;
    std::size_t pieces = 0;
    std::string tail;
    /// Pause after each piece.
    std::chrono::milliseconds pause{0};
};

/// Callers that send bytes without reading answers and keep their connections
/// open until the crowd is destroyed. Runs on a thread of its own.
class caller_crowd {
public:
    caller_crowd(const endpoint& address, crowd_plan plan);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// Returns once each connection has sent everything or was closed, or no
    /// connection has sent anything for `quiet`.
    void wait_until_sent(std::chrono::milliseconds quiet) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock

#pragma once

#include "core/outcome.hpp"
#include "servers/delivery/step_session.hpp"

#include <string>
#include <vector>

namespace savorydock {

/// What all samples of one group are generated from.
struct step_group {
    std::string prompt;
    std::uint32_t max_tokens = 0;
};

/// A trainer's request for a step, or for the rest of one.
struct step_body {
    std::uint64_t step = 0;
    session_epoch epoch = 1;
    /// Large steps come in parts, each a session of its own on any instance.
    std::uint32_t part = 0;
    std::uint32_t group_size = 1;
    std::vector<step_group> groups;
    /// One bit a slot, group by group: what the trainer holds already.
    std::vector<bool> held;
    /// The newest weights that the trainer knows of; 0 if it does not say.
    weight_version newest_version = 0;
};

/// Reads the body of POST /v1/steps. Errors: `not_run_bad_request` with all
/// faults. Thread safe.
[[nodiscard]] outcome<step_body> read_step_body(const std::string& text);

} // namespace savorydock

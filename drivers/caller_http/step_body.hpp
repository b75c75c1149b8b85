#pragma once

#include "core/outcome.hpp"
#include "servers/delivery/step_session.hpp"

#include <string>
#include <vector>

namespace savorydock {

/// The prompt and token limit shared by all samples of one group.
struct step_group {
    std::string prompt;
    std::uint32_t max_tokens = 0;
};

/// A trainer's request for the samples of a step, or for those still missing.
struct step_body {
    std::uint64_t step = 0;
    session_epoch epoch = 1;
    /// Large steps are split into parts. Each part is a separate session, which
    /// may run on any instance.
    std::uint32_t part = 0;
    std::uint32_t group_size = 1;
    std::vector<step_group> groups;
    /// One bit per slot, group by group: set if the trainer already has the
    /// sample.
    std::vector<bool> held;
    /// The newest weight version known to the trainer; 0 if not given.
    weight_version newest_version = 0;
};

/// Parses the body of POST /v1/steps. Errors: `not_run_bad_request`, with a
/// list of all faults found. Thread safe.
[[nodiscard]] outcome<step_body> read_step_body(const std::string& text);

} // namespace savorydock

#pragma once

#include "core/state_chart.hpp"

#include <string>

namespace savorydock {

/// The charts that a step's sessions run by, checked against the code.
/// Immutable after `load`, hence thread safe.
struct step_charts {
    state_chart step;
    state_chart slot;

    /// Reads step_life.json and slot_life.json of a folder.
    /// Errors: `not_found`, `invalid_chart`.
    [[nodiscard]] static outcome<step_charts> load(const std::string& folder);
};

} // namespace savorydock

#pragma once

#include "core/state_chart.hpp"

#include <string>

namespace savorydock {

/// The state charts of a step's sessions and of its slots. Loading checks that
/// they contain the states and events that the code uses. Immutable after
/// `load`, hence thread safe.
struct step_charts {
    state_chart step;
    state_chart slot;

    /// Reads step_life.json and slot_life.json from `folder`.
    /// Errors: `not_found`, `invalid_chart`.
    [[nodiscard]] static outcome<step_charts> load(const std::string& folder);
};

} // namespace savorydock

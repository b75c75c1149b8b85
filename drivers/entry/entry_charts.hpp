#pragma once

#include "core/state_chart.hpp"
#include "servers/delivery/step_charts.hpp"

#include <memory>
#include <string>

namespace savorydock {

/// All state charts that an entry instance uses, checked against the code.
/// Immutable after `load`, hence thread safe.
struct entry_charts {
    std::shared_ptr<const step_charts> step;
    state_chart upstream_life;
    state_chart order_life;
    state_chart request_life;

    /// Loads all charts from a folder. Errors: `not_found`, `invalid_chart`.
    [[nodiscard]] static outcome<entry_charts> load(const std::string& folder);
};

} // namespace savorydock

#pragma once

#include "core/state_chart.hpp"
#include "servers/delivery/step_charts.hpp"

#include <memory>
#include <string>

namespace savorydock {

/// Every state chart that an instance runs by, checked against the code.
/// Immutable after `load`, hence thread safe.
struct entry_charts {
    std::shared_ptr<const step_charts> step;
    state_chart upstream_life;
    state_chart order_life;
    state_chart request_life;

    /// Reads all charts of a folder. Errors: `not_found`, `invalid_chart`.
    [[nodiscard]] static outcome<entry_charts> load(const std::string& folder);
};

} // namespace savorydock

#pragma once

#include "core/ids.hpp"
#include "servers/delivery/retry_policy.hpp"

#include <map>
#include <memory>
#include <mutex>

namespace savorydock {

/// The retry budget of each service. Thread safe.
class retry_budgets {
public:
    /// Returns the budget of a service. A changed fraction starts a new
    /// budget.
    [[nodiscard]] std::shared_ptr<retry_budget> of(const service_name& service,
                                                   double fraction) {
        const std::lock_guard lock(mutex_);
        entry& current = budgets_[service];
        if (!current.budget || current.fraction != fraction) {
            current = {fraction, std::make_shared<retry_budget>(fraction)};
        }
        return current.budget;
    }

private:
    struct entry {
        double fraction = 0;
        std::shared_ptr<retry_budget> budget;
    };

    std::mutex mutex_;
    std::map<service_name, entry> budgets_;
};

} // namespace savorydock

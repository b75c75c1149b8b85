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
    /// The budget of a service; `fraction` counts when it is made.
    [[nodiscard]] std::shared_ptr<retry_budget> of(const service_name& service,
                                                   double fraction) {
        const std::lock_guard lock(mutex_);
        auto& budget = budgets_[service];
        if (!budget) {
            budget = std::make_shared<retry_budget>(fraction);
        }
        return budget;
    }

private:
    std::mutex mutex_;
    std::map<service_name, std::shared_ptr<retry_budget>> budgets_;
};

} // namespace savorydock

#pragma once

#include "core/ids.hpp"
#include "core/service_document.hpp"

#include <map>
#include <memory>

namespace savorydock {

/// One service in force and the revision of its document.
struct service_in_force {
    store_revision revision = 0;
    std::shared_ptr<const service_document> document;
};

/// All services in force on an instance. Immutable, hence thread safe: the
/// control thread publishes a new view for each change, and a request keeps
/// the view that it started with.
class configuration_view {
public:
    configuration_view() = default;
    configuration_view(std::map<service_name, service_in_force> services,
                       store_revision complete_through)
        : services_(std::move(services))
        , complete_through_(complete_through) {}

    /// Returns the service with that name, or null if it is not in force.
    [[nodiscard]] const service_in_force* find(const service_name& name) const {
        const auto found = services_.find(name);
        return found == services_.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const std::map<service_name, service_in_force>&
    services() const {
        return services_;
    }

    /// The view includes every revision up to this one.
    [[nodiscard]] store_revision complete_through() const {
        return complete_through_;
    }

private:
    std::map<service_name, service_in_force> services_;
    store_revision complete_through_ = 0;
};

} // namespace savorydock

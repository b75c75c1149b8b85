#pragma once

#include "servers/fleet/fleet_configuration.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorydock {

/// Finds the route of a request: by host, then by the longest prefix of its
/// path. Immutable after construction, hence thread safe.
class route_table {
public:
    /// Precondition: `configuration` is not null.
    explicit route_table(
        std::shared_ptr<const fleet_configuration> configuration);

    /// Returns the route, or null if the configuration has none. A port in
    /// `host` is ignored, as is a query in `path`.
    [[nodiscard]] const route_rule* find(std::string_view host,
                                         std::string_view path) const;

    /// Returns the service's rule, or null.
    [[nodiscard]] const service_rule*
    find_service(const service_name& name) const;

    [[nodiscard]] const fleet_configuration& configuration() const {
        return *configuration_;
    }

private:
    std::shared_ptr<const fleet_configuration> configuration_;
    /// Routes of a host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route_rule*>> by_host_;
};

} // namespace savorydock

#pragma once

#include "core/random_source.hpp"
#include "servers/fleet/fleet_configuration.hpp"
#include "servers/identity/key_table.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorydock {

/// Finds the route of a request by its host, then by the longest matching path
/// prefix. Immutable after construction and therefore thread safe.
class route_table {
public:
    /// Precondition: `configuration` is not null.
    explicit route_table(
        std::shared_ptr<const fleet_configuration> configuration);

    /// Returns the matching route, or null if there is none. Ignores a port in
    /// `host` and a query in `path`.
    [[nodiscard]] const route_rule* find(std::string_view host,
                                         std::string_view path) const;

    /// Returns the service's rule, or null if the service is not configured.
    [[nodiscard]] const service_rule*
    find_service(const service_name& name) const;

    /// Whether callers send single requests, or batches, to the service.
    [[nodiscard]] bool has_direct_route(const service_name& service) const;
    [[nodiscard]] bool has_batch_route(const service_name& service) const;
    /// Whether the configuration has organisations.
    [[nodiscard]] bool has_organisations() const {
        return !configuration_->organisations.empty();
    }

    [[nodiscard]] const fleet_configuration& configuration() const {
        return *configuration_;
    }

    /// The keys of the configuration's organisations.
    [[nodiscard]] const key_table& keys() const { return keys_; }

private:
    std::shared_ptr<const fleet_configuration> configuration_;
    key_table keys_;
    /// Routes by host, sorted by descending length of their prefix.
    std::unordered_map<std::string, std::vector<const route_rule*>> by_host_;
};

/// Picks one of the route's services at random, by their weights; an empty name
/// if it has none.
[[nodiscard]] service_name pick_service(const route_rule& route,
                                        random_source& random);

} // namespace savorydock

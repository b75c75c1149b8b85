#include "servers/fleet/route_table.hpp"

#include <algorithm>

namespace savorydock {

namespace {

bool is_batch(request_kind kind) {
    return kind == request_kind::batch || kind == request_kind::sample_batch;
}

bool leads_to(const route_rule& route, const service_name& service) {
    return std::any_of(
        route.services.begin(), route.services.end(),
        [&](const service_share& share) { return share.service == service; });
}

} // namespace

route_table::route_table(
    std::shared_ptr<const fleet_configuration> configuration)
    : configuration_(std::move(configuration))
    , keys_(configuration_->organisations) {
    for (const route_rule& route : configuration_->routes) {
        by_host_[route.host].push_back(&route);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route_rule* left, const route_rule* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
    }
}

const route_rule* route_table::find(std::string_view host,
                                    std::string_view path) const {
    const auto routes =
        by_host_.find(std::string(host.substr(0, host.find(':'))));
    if (routes == by_host_.end()) {
        return nullptr;
    }
    const std::string_view path_without_query = path.substr(0, path.find('?'));
    for (const route_rule* const route : routes->second) {
        if (path_without_query.starts_with(route->prefix)) {
            return route;
        }
    }
    return nullptr;
}

bool route_table::has_direct_route(const service_name& service) const {
    return std::any_of(
        configuration_->routes.begin(), configuration_->routes.end(),
        [&](const route_rule& route) {
            return !is_batch(route.kind) && leads_to(route, service);
        });
}

bool route_table::has_batch_route(const service_name& service) const {
    return std::any_of(
        configuration_->routes.begin(), configuration_->routes.end(),
        [&](const route_rule& route) {
            return is_batch(route.kind) && leads_to(route, service);
        });
}

const service_rule* route_table::find_service(const service_name& name) const {
    const auto& services = configuration_->services;
    const auto found = std::find_if(
        services.begin(), services.end(),
        [&](const service_rule& rule) { return rule.name == name; });
    return found == services.end() ? nullptr : &*found;
}

service_name pick_service(const route_rule& route, random_source& random) {
    std::uint64_t total = 0;
    for (const service_share& share : route.services) {
        total += share.weight;
    }
    if (total == 0) {
        return route.services.empty() ? service_name()
                                      : route.services.front().service;
    }
    std::uint64_t drawn = random.below(total);
    for (const service_share& share : route.services) {
        if (drawn < share.weight) {
            return share.service;
        }
        drawn -= share.weight;
    }
    return route.services.back().service;
}

} // namespace savorydock

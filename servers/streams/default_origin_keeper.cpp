#include "servers/streams/default_origin_keeper.hpp"

#include <set>

namespace savorydock {

namespace {

/// The software versions of one service with their numbers of upstreams.
struct service_software {
    /// Including draining upstreams.
    std::set<software_version> listed;
    std::map<software_version, std::size_t> available;
};

/// The origin with the most upstreams on the route, or nothing.
std::optional<stream_origin>
most_common(const route_rule& route,
            const std::map<service_name, service_software>& services) {
    std::optional<stream_origin> best;
    std::size_t best_count = 0;
    for (const service_share& share : route.services) {
        const auto service = services.find(share.service);
        if (service == services.end()) {
            continue;
        }
        for (const auto& [software, count] : service->second.available) {
            if (count > best_count) {
                best = {.service = share.service, .software = software};
                best_count = count;
            }
        }
    }
    return best;
}

bool is_listed(const route_rule& route, const stream_origin& origin,
               const std::map<service_name, service_software>& services) {
    for (const service_share& share : route.services) {
        const auto service = services.find(share.service);
        if (share.service == origin.service && service != services.end() &&
            service->second.listed.contains(origin.software)) {
            return true;
        }
    }
    return false;
}

} // namespace

default_origin_keeper::default_origin_keeper(default_origin_options options)
    : options_(options) {}

default_origins
default_origin_keeper::update(const std::vector<route_rule>& routes,
                              const std::vector<upstream_entry>& upstreams,
                              const default_origins& in_force,
                              steady_time now) {
    std::map<service_name, service_software> services;
    for (const upstream_entry& entry : upstreams) {
        service_software& service = services[entry.service];
        service.listed.insert(entry.software);
        if (!entry.is_draining) {
            ++service.available[entry.software];
        }
    }
    std::map<std::string, const route_rule*> resumable;
    for (const route_rule& route : routes) {
        if (route.kind == request_kind::stream && route.is_resumable) {
            resumable[route.name] = &route;
        }
    }
    default_origins wanted;
    for (const auto& [name, origin] : in_force) {
        const auto route = resumable.find(name);
        if (route != resumable.end() &&
            is_listed(*route->second, origin, services)) {
            absent_since_.erase(name);
            wanted[name] = origin;
            continue;
        }
        const auto [since, is_new] = absent_since_.try_emplace(name, now);
        if (now < since->second + options_.replace_after) {
            wanted[name] = origin;
            continue;
        }
        absent_since_.erase(since);
    }
    for (const auto& [name, route] : resumable) {
        if (wanted.contains(name)) {
            continue;
        }
        if (const auto origin = most_common(*route, services)) {
            wanted[name] = *origin;
        }
    }
    return wanted;
}

} // namespace savorydock

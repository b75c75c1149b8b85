#include "servers/configuration/fleet_check.hpp"

#include "core/short_digest.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace savorydock {

namespace {

/// As for the classes of a service file.
constexpr std::uint32_t lowest_priority = 100;

/// Collects the findings of one configuration.
class fleet_checker {
public:
    explicit fleet_checker(const fleet_configuration& configuration)
        : configuration_(configuration) {}

    std::vector<fleet_finding> check() {
        for (std::size_t at = 0; at < configuration_.routes.size(); ++at) {
            check_route(at);
        }
        for (std::size_t at = 0; at < configuration_.services.size(); ++at) {
            check_service(at);
        }
        const auto& organisations = configuration_.organisations;
        for (std::size_t at = 0; at < organisations.size(); ++at) {
            check_organisation(at);
        }
        check_bounds();
        return std::move(findings_);
    }

private:
    void add(finding_severity severity, fleet_path path, std::string text) {
        findings_.push_back(
            {.severity = severity, .path = path, .text = std::move(text)});
    }

    void check_route(std::size_t at) {
        const route_rule& route = configuration_.routes[at];
        const auto path = [at](fleet_member member) {
            return fleet_path{
                .part = fleet_part::routes, .entry = at, .member = member};
        };
        check_match(route, at);
        if (!route_names_.insert(route.name).second) {
            add(finding_severity::warning, path(fleet_member::name),
                "another route has the name " + route.name +
                    "; jobs use the settings of the last one");
        }
        if (route.max_attempts == 0) {
            add(finding_severity::error, path(fleet_member::max_attempts),
                "an attempt limit of 0 lets no request run");
        }
        if (route.timeout.count() == 0) {
            add(finding_severity::error, path(fleet_member::timeout),
                "a timeout of 0 lets no request end in time");
        } else if (route.timeout < route.target_latency) {
            add(finding_severity::error, path(fleet_member::timeout),
                "the timeout of " + std::to_string(route.timeout.count()) +
                    " ms is below the target of " +
                    std::to_string(route.target_latency.count()) + " ms");
        }
        if (route.batch_time_to_live.count() > 0 &&
            route.batch_time_to_live < route.batch_target) {
            add(finding_severity::error, path(fleet_member::batch_target),
                "items may be abandoned before the target time");
        }
        if (route.priority > lowest_priority) {
            add(finding_severity::error, path(fleet_member::priority),
                priority_text(route.priority));
        }
        if (route.is_public && configuration_.organisations.empty()) {
            add(finding_severity::warning, path(fleet_member::is_public),
                "without organisations all routes are public");
        }
        check_shares(route, at);
    }

    void check_match(const route_rule& route, std::size_t at) {
        const fleet_path prefix{.part = fleet_part::routes,
                                .entry = at,
                                .member = fleet_member::prefix};
        if (!route.prefix.starts_with('/')) {
            add(finding_severity::warning, prefix,
                "never matches: paths begin with a slash");
        } else if (!route.prefix.ends_with('/')) {
            add(finding_severity::warning, prefix,
                "doesn't end with a slash, so longer names match as well");
        }
        if (route.host.find(':') != std::string::npos || route.host.empty()) {
            add(finding_severity::warning,
                {.part = fleet_part::routes,
                 .entry = at,
                 .member = fleet_member::host},
                "never matches: the host must be a name without a port");
        }
        const auto [first, is_new] =
            matches_.try_emplace(std::pair(route.host, route.prefix), at);
        if (!is_new) {
            add(finding_severity::warning,
                {.part = fleet_part::routes, .entry = at},
                "never matches: route " + std::to_string(first->second) +
                    " has the same host and prefix");
        }
    }

    void check_shares(const route_rule& route, std::size_t at) {
        if (route.services.empty()) {
            add(finding_severity::error,
                {.part = fleet_part::routes, .entry = at},
                "the route has no service");
        }
        for (std::size_t share = 0; share < route.services.size(); ++share) {
            const service_name& name = route.services[share].service;
            const auto& services = configuration_.services;
            const bool is_known = std::any_of(
                services.begin(), services.end(),
                [&](const service_rule& rule) { return rule.name == name; });
            if (!is_known) {
                add(finding_severity::warning,
                    {.part = fleet_part::routes,
                     .entry = at,
                     .member = fleet_member::service_shares,
                     .position = share},
                    "the configuration has no service " + name.text());
            }
        }
    }

    void check_service(std::size_t at) {
        const service_rule& service = configuration_.services[at];
        const auto path = [at](fleet_member member) {
            return fleet_path{
                .part = fleet_part::services, .entry = at, .member = member};
        };
        if (!service_names_.insert(service.name).second) {
            add(finding_severity::error, path(fleet_member::name),
                "another service has the name " + service.name.text() +
                    ", and only the first one counts");
        }
        const auto& routes = configuration_.routes;
        const bool is_used =
            std::any_of(routes.begin(), routes.end(), [&](const auto& route) {
                return std::any_of(route.services.begin(), route.services.end(),
                                   [&](const service_share& share) {
                                       return share.service == service.name;
                                   });
            });
        if (!is_used) {
            add(finding_severity::warning, path(fleet_member::whole),
                "no route refers to the service " + service.name.text());
        }
        if (service.engine && service.engine->slots == 0) {
            add(finding_severity::error, path(fleet_member::engine_slots),
                "an engine without slots runs nothing");
        }
        if (service.engine && service.engine->tokens_per_event == 0) {
            add(finding_severity::error,
                path(fleet_member::engine_tokens_per_event),
                "an event has at least one token");
        }
        if (service.scaling) {
            check_scaling(*service.scaling, path);
        }
    }

    template <class Path>
    void check_scaling(const scaling_rule& scaling, const Path& path) {
        if (scaling.min_upstreams > scaling.max_upstreams) {
            add(finding_severity::error, path(fleet_member::min_upstreams),
                "the minimum of " + std::to_string(scaling.min_upstreams) +
                    " is over the maximum of " +
                    std::to_string(scaling.max_upstreams));
        }
        if (scaling.spot_price < 0) {
            add(finding_severity::error, path(fleet_member::spot_price),
                "a price can't be negative");
        } else if (scaling.spot_price > 1) {
            add(finding_severity::warning, path(fleet_member::spot_price),
                "costs more than other workers");
        }
        for (const auto& [zone, price] : scaling.zone_prices) {
            if (price < 0) {
                add(finding_severity::error, path(fleet_member::zone_prices),
                    "the price of zone " + zone.text() + " is negative");
            }
        }
    }

    void check_organisation(std::size_t at) {
        const organisation_rule& own = configuration_.organisations[at];
        const auto path = [at](fleet_member member) {
            return fleet_path{.part = fleet_part::organisations,
                              .entry = at,
                              .member = member};
        };
        if (!organisation_names_.insert(own.name).second) {
            add(finding_severity::error, path(fleet_member::name),
                "another organisation has the name " + own.name.text());
        }
        if (own.keys.empty()) {
            add(finding_severity::warning, path(fleet_member::keys),
                "without keys nobody belongs to " + own.name.text());
        }
        if (own.priority && *own.priority > lowest_priority) {
            add(finding_severity::error, path(fleet_member::priority),
                priority_text(*own.priority));
        }
        for (std::size_t key = 0; key < own.keys.size(); ++key) {
            fleet_path where = path(fleet_member::keys);
            where.position = key;
            check_key(own, own.keys[key], where);
        }
    }

    void check_key(const organisation_rule& own, const std::string& key,
                   const fleet_path& path) {
        const std::string label = "key " + short_digest(key);
        if (key.empty()) {
            add(finding_severity::error, path, "the key is empty");
            return;
        }
        const auto [owner, is_new] = key_owners_.try_emplace(key, own.name);
        if (is_new) {
            return;
        }
        if (owner->second == own.name) {
            add(finding_severity::warning, path, label + " is listed twice");
            return;
        }
        add(finding_severity::error, path,
            label + " is also listed for " + owner->second.text() +
                ", so it belongs to neither");
    }

    void check_bounds() {
        const caller_bounds& bounds = configuration_.bounds;
        const auto check = [&](bool is_zero, fleet_member member) {
            if (is_zero) {
                add(finding_severity::error,
                    {.part = fleet_part::bounds, .member = member},
                    "a limit of 0 lets no request through");
            }
        };
        check(bounds.max_header_bytes == 0, fleet_member::max_header_bytes);
        check(bounds.max_body_bytes == 0, fleet_member::max_body_bytes);
        check(bounds.header_timeout.count() == 0, fleet_member::header_timeout);
        check(bounds.idle_timeout.count() == 0, fleet_member::idle_timeout);
    }

    static std::string priority_text(std::uint32_t priority) {
        return "the priority " + std::to_string(priority) +
               " is not within 0 to " + std::to_string(lowest_priority);
    }

    const fleet_configuration& configuration_;
    std::vector<fleet_finding> findings_;
    std::set<std::string> route_names_;
    /// First route by host and prefix.
    std::map<std::pair<std::string, std::string>, std::size_t> matches_;
    std::set<service_name> service_names_;
    std::set<organisation_id> organisation_names_;
    std::map<std::string, organisation_id> key_owners_;
};

} // namespace

std::vector<fleet_finding>
check_fleet(const fleet_configuration& configuration) {
    return fleet_checker(configuration).check();
}

} // namespace savorydock

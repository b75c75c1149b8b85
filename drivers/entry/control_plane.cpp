#include "drivers/entry/control_plane.hpp"

#include <limits>
#include <sstream>

namespace savorydock {

namespace {

/// Interval for publishing to the router even without changes: the router
/// recomputes its weights by latency at each publication.
constexpr std::chrono::milliseconds router_refresh{1'000};

std::uint64_t seconds_since_1970() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

membership_options make_membership_options(const instance_settings& settings) {
    membership_options options{
        .self = {.name = settings.instance,
                 .zone = settings.zone,
                 .address = settings.peer_listen,
                 .incarnation = seconds_since_1970()},
    };
    options.health.zone = settings.zone;
    for (const peer_rule& peer : settings.peers) {
        options.seeds.push_back(
            {.name = peer.name, .zone = peer.zone, .address = peer.address});
    }
    return options;
}

} // namespace

control_plane::control_plane(const control_plane_options& options)
    : settings_(options.settings)
    , router_(options.router)
    , executor_(options.executor)
    , configuration_({.instance = options.settings.instance,
                      .zone = options.settings.zone,
                      .on_view = options.on_view},
                     options.random)
    , membership_(make_membership_options(options.settings),
                  options.charts.upstream_life, options.random)
    , orders_(options.settings.instance, options.settings.zone,
              options.charts.order_life, candidates_,
              make_order_options(options.settings.orders.lease_time,
                                 options.settings.orders.longest_order))
    , limits_(limit_options{}, membership_.table(), options.limiter)
    , delivery_(
          {.gate = {.self = options.settings.instance, .boot = options.boot},
           .suspicion = {.self = options.settings.instance,
                         .boot = options.boot}},
          options.keys, options.port)
    , explanations_({.instance = options.settings.instance,
                     .first_question = options.random.below(
                         std::numeric_limits<std::uint64_t>::max())},
                    options.decisions)
    , shared_states_(std::make_shared<const upstream_state_map>()) {
    share_members({});
}

void control_plane::attach(control_runtime& runtime) {
    runtime.add(membership_);
    runtime.add(configuration_);
    runtime.add(orders_);
    runtime.add(limits_);
    runtime.add(delivery_);
    runtime.add(explanations_);
}

void control_plane::share(steady_time now, command_list&) {
    share_members(now);
    share_upstreams(now);
}

void control_plane::share_members(steady_time now) {
    std::vector<member_record> members = membership_.instances();
    if (members == shared_members_) {
        return;
    }
    shared_members_ = std::move(members);
    std::vector<known_instance> known;
    std::vector<instance_id> alive_peers;
    std::vector<instance_id> other_zone_peers;
    std::map<instance_id, endpoint> addresses;
    for (const member_record& member : shared_members_) {
        const bool is_alive = is_living(member.condition);
        known.push_back({.instance = member.name,
                         .zone = member.zone,
                         .is_alive = is_alive});
        if (member.name == settings_.instance) {
            continue;
        }
        addresses.emplace(member.name, member.address);
        if (is_alive && member.zone == settings_.zone) {
            alive_peers.push_back(member.name);
        } else if (is_alive) {
            other_zone_peers.push_back(member.name);
        }
    }
    alive_peers.insert(alive_peers.end(), other_zone_peers.begin(),
                       other_zone_peers.end());
    executor_.set_addresses(std::move(addresses));
    configuration_.on_instances(known, now);
    candidates_.update(settings_.instance, settings_.zone, known);
    delivery_.set_peers(alive_peers);
    explanations_.set_peers(std::move(alive_peers));
}

void control_plane::share_upstreams(steady_time now) {
    const auto states = membership_.upstream_states();
    const auto view = configuration_.view();
    const bool is_changed = states != shared_states_ || view != shared_view_;
    if (view == nullptr || (!is_changed && now < next_router_refresh_)) {
        return;
    }
    shared_states_ = states;
    shared_view_ = view;
    next_router_refresh_ = now + router_refresh;
    orders_.set_upstream_states(states);
    router_.publish(view, states);
}

std::string control_plane::write_counters() const {
    const configuration_counters configuration = configuration_.counters();
    const membership_counters membership = membership_.counters();
    const limit_counters limits = limits_.counters();
    std::ostringstream out;
    const auto write = [&out](std::string_view name, std::uint64_t value) {
        out << "savorydock_" << name << ' ' << value << '\n';
    };
    write("configuration_platform_calls_total", configuration.platform_calls);
    write("configuration_peer_bytes_out_total", configuration.peer_bytes_sent);
    write("configuration_revisions_in_force_total",
          configuration.revisions_in_force);
    write("membership_platform_calls_total", membership.platform_calls);
    write("membership_peer_bytes_out_total", membership.bytes_out);
    write("limits_peer_bytes_out_total", limits.bytes_out);
    write("orders_platform_calls_total", orders_.platform_calls());
    write("orders_upstream_calls_total", orders_.upstream_calls());
    return out.str();
}

void control_plane::begin_drain() {
    membership_.leave();
    orders_.begin_drain();
}

} // namespace savorydock

#include "servers/control/scope_controller.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace savorydock {

namespace {

constexpr const char* order_path = "/v1/orders";
constexpr const char* state_path = "/v1/state";

bool is_same_upstream(const upstream_rule& left, const upstream_rule& right) {
    return left.address == right.address &&
           left.checks_fencing == right.checks_fencing;
}

/// The share of the store's fetch limit for a scope with `part` of the `total`
/// upstreams; at least 1 if there is a limit.
std::uint32_t scope_share(std::uint32_t limit, std::size_t part,
                          std::size_t total) {
    if (limit == 0 || total == 0) {
        return limit;
    }
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(limit * part / total));
}

} // namespace

void scope_controller::configure(const service_document& document,
                                 const std::optional<availability_zone>& zone,
                                 steady_time now, command_list& out) {
    service_ = document.service;
    std::set<upstream_id> listed;
    for (const upstream_rule& rule : document.upstreams) {
        if (zone && rule.zone != *zone) {
            continue;
        }
        listed.insert(rule.name);
        const auto found = trackers_.find(rule.name);
        if (found != trackers_.end() &&
            is_same_upstream(found->second.rule(), rule)) {
            continue;
        }
        trackers_.insert_or_assign(rule.name, make_tracker(rule, false, now));
    }
    std::erase_if(trackers_, [&](const auto& each) {
        return !listed.contains(each.first);
    });
    planner_.set_goal({.service = document.service,
                       .target = document.weights.version,
                       .rollback_from = document.weights.rollback_from,
                       .capacity_floor = document.weights.capacity_floor,
                       .idle_weight = document.weights.idle_weight,
                       .fetches_at_once = scope_share(
                           document.weights.fetches_at_once, listed.size(),
                           document.upstreams.size())},
                      out);
}

order_tracker scope_controller::make_tracker(const upstream_rule& rule,
                                             bool is_fenced,
                                             steady_time now) const {
    const auto wait = options_.lease_time + options_.longest_order;
    return {*chart_, rule, is_fenced ? now : now + wait};
}

void scope_controller::take_over(fencing_number fencing, bool is_new,
                                 steady_time now) {
    fencing_ = fencing;
    tickets_.clear();
    for (auto& [name, tracker] : trackers_) {
        // An upstream that checks fencing refuses orders of earlier holders
        // that are still in flight, but not orders sent before with this same
        // number.
        const upstream_rule rule = tracker.rule();
        tracker = make_tracker(rule, is_new && rule.checks_fencing, now);
    }
}

void scope_controller::relinquish() {
    fencing_ = 0;
    tickets_.clear();
}

void scope_controller::on_tick(steady_time now, steady_time valid_until,
                               const upstream_state_map* states,
                               std::uint64_t& tickets, command_list& out) {
    if (!is_held() || planner_.goal().target == 0) {
        return;
    }
    for (auto& [name, tracker] : trackers_) {
        const weight_version pending = tracker.pending();
        const std::uint64_t ticket = tracker.ticket();
        apply_order_result(tracker.on_tick(now, options_), name, pending, now,
                           out);
        if (tracker.ticket() != ticket) {
            tickets_.erase(ticket);
        }
        if (tracker.may_read(now)) {
            send_state_read(tracker, now, valid_until, tickets, out);
        }
    }
    if (!is_ordering_) {
        return;
    }
    collect_upstreams(states);
    for (const std::size_t i : planner_.plan(planned_upstreams_, now, out)) {
        send_version_order(*planned_trackers_[i], now, valid_until, tickets,
                           out);
    }
}

void scope_controller::collect_upstreams(const upstream_state_map* states) {
    planned_upstreams_.clear();
    planned_trackers_.clear();
    for (auto& [name, tracker] : trackers_) {
        rollout_upstream upstream{.name = name,
                                  .version = tracker.report().version,
                                  .is_ordered = tracker.pending() != 0,
                                  .is_ready = tracker.may_order()};
        const auto found = states == nullptr
                               ? upstream_state_map::const_iterator{}
                               : states->find({service_, name});
        std::uint64_t load = tracker.report().load;
        if (states != nullptr && found != states->end()) {
            upstream.condition = found->second.condition;
            load = std::max<std::uint64_t>(load, found->second.reported_load);
        }
        upstream.load = static_cast<double>(load) /
                        std::max<std::uint32_t>(1, tracker.rule().slots);
        planned_upstreams_.push_back(std::move(upstream));
        planned_trackers_.push_back(&tracker);
    }
}

void scope_controller::send_state_read(order_tracker& tracker, steady_time now,
                                       steady_time valid_until,
                                       std::uint64_t& tickets,
                                       command_list& out) {
    const std::uint64_t ticket = ++tickets;
    ++calls_;
    tickets_.emplace(ticket, tracker.rule().name);
    tracker.read_sent(ticket, now, options_);
    out.emplace_back(upstream_order{
        .ticket = ticket,
        .method = order_method::read_state,
        .service = service_,
        .upstream = tracker.rule().name,
        .address = tracker.rule().address,
        .fencing = fencing_,
        .path = state_path,
        .not_after = std::min(valid_until, now + options_.max_send_wait),
        .timeout = options_.read_timeout});
}

void scope_controller::send_version_order(order_tracker& tracker,
                                          steady_time now,
                                          steady_time valid_until,
                                          std::uint64_t& tickets,
                                          command_list& out) {
    const weight_version version = planner_.goal().target;
    const steady_time not_after =
        std::min(valid_until, now + options_.max_send_wait);
    const std::uint64_t ticket = ++tickets;
    ++calls_;
    tickets_.emplace(ticket, tracker.rule().name);
    tracker.order_sent(ticket, version, not_after, options_);
    const boost::json::object body{
        {"order_id", service_.text() + '/' + tracker.rule().name.text() + '/' +
                         std::to_string(fencing_) + '/' +
                         std::to_string(ticket)},
        {"fencing", fencing_},
        {"version", version}};
    out.emplace_back(log_command{log_event::order_sent,
                                 log_detail(tracker.rule().name, version)});
    out.emplace_back(upstream_order{.ticket = ticket,
                                    .method = order_method::send_order,
                                    .service = service_,
                                    .upstream = tracker.rule().name,
                                    .address = tracker.rule().address,
                                    .fencing = fencing_,
                                    .path = order_path,
                                    .body = boost::json::serialize(body),
                                    .not_after = not_after,
                                    .timeout = options_.longest_order});
}

bool scope_controller::on_order_reply(const order_reply& reply, steady_time now,
                                      command_list& out) {
    const auto ticket = tickets_.find(reply.ticket);
    if (ticket == tickets_.end()) {
        return false;
    }
    const upstream_id upstream = ticket->second;
    tickets_.erase(ticket);
    const auto found = trackers_.find(upstream);
    if (found == trackers_.end()) {
        return true;
    }
    const weight_version pending = found->second.pending();
    apply_order_result(found->second.on_reply(reply, fencing_, now, options_),
                       upstream, pending, now, out);
    return true;
}

void scope_controller::apply_order_result(order_result result,
                                          const upstream_id& upstream,
                                          weight_version version,
                                          steady_time now, command_list& out) {
    const auto log = [&](log_event event) {
        out.emplace_back(log_command{event, log_detail(upstream, version)});
    };
    switch (result) {
    case order_result::none:
    case order_result::unsent:
        break;
    case order_result::done:
        planner_.swap_done(upstream, version, now);
        log(log_event::order_done);
        break;
    case order_result::failed:
        planner_.swap_failed(upstream, swap_failure::upstream_failed, now, out);
        log(log_event::order_refused);
        break;
    case order_result::store_busy:
        planner_.swap_failed(upstream, swap_failure::store_busy, now, out);
        break;
    case order_result::outcome_unknown:
        log(log_event::order_outcome_unknown);
        break;
    case order_result::superseded:
        log(log_event::order_refused);
        break;
    }
}

void scope_controller::observe(const upstream_observation& observation,
                               steady_time now) {
    const auto found = trackers_.find(observation.upstream);
    const bool is_held_and_known = is_held() && found != trackers_.end();
    if (is_held_and_known && found->second.pending() == 0) {
        planner_.observe(observation.upstream, observation.evidence, now);
    }
}

bool scope_controller::has_order_in_flight() const {
    return std::any_of(
        trackers_.begin(), trackers_.end(),
        [](const auto& each) { return each.second.pending() != 0; });
}

std::string scope_controller::log_detail(const upstream_id& upstream,
                                         weight_version version) const {
    return "service=" + service_.text() + " upstream=" + upstream.text() +
           " version=" + std::to_string(version) +
           " fencing=" + std::to_string(fencing_);
}

} // namespace savorydock

#include "servers/control/scope_holder.hpp"

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

/// The part of the store's limit that falls to this scope.
std::uint32_t share_of(std::uint32_t limit, std::size_t part,
                       std::size_t whole) {
    if (limit == 0 || whole == 0) {
        return limit;
    }
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(limit * part / whole));
}

} // namespace

void scope_holder::configure(const service_document& document,
                             const std::optional<availability_zone>& zone,
                             steady_time now, command_list& out) {
    service_ = document.service;
    std::set<upstream_id> named;
    for (const upstream_rule& rule : document.upstreams) {
        if (zone && rule.zone != *zone) {
            continue;
        }
        named.insert(rule.name);
        const auto found = tracks_.find(rule.name);
        if (found != tracks_.end() &&
            is_same_upstream(found->second.rule(), rule)) {
            continue;
        }
        tracks_.insert_or_assign(rule.name, make_track(rule, false, now));
    }
    std::erase_if(
        tracks_, [&](const auto& each) { return !named.contains(each.first); });
    planner_.set_goal(
        {.service = document.service,
         .target = document.weights.version,
         .rollback_from = document.weights.rollback_from,
         .capacity_floor = document.weights.capacity_floor,
         .idle_weight = document.weights.idle_weight,
         .fetches_at_once = share_of(document.weights.fetches_at_once,
                                     named.size(), document.upstreams.size())},
        out);
}

order_track scope_holder::make_track(const upstream_rule& rule, bool is_fenced,
                                     steady_time now) const {
    const auto wait = options_.lease_time + options_.longest_order;
    return {*chart_, rule, is_fenced ? now : now + wait};
}

void scope_holder::take_over(fencing_number fencing, bool is_new,
                             steady_time now) {
    fencing_ = fencing;
    tickets_.clear();
    for (auto& [name, track] : tracks_) {
        // An upstream that checks fencing refuses what others still have on
        // the way, but not what was sent under this very number.
        const upstream_rule rule = track.rule();
        track = make_track(rule, is_new && rule.checks_fencing, now);
    }
}

void scope_holder::drop() {
    fencing_ = 0;
    tickets_.clear();
}

void scope_holder::on_tick(steady_time now, steady_time valid_until,
                           const upstream_state_map* states,
                           std::uint64_t& tickets, command_list& out) {
    if (!is_held() || planner_.goal().target == 0) {
        return;
    }
    for (auto& [name, track] : tracks_) {
        const weight_version pending = track.pending();
        const std::uint64_t ticket = track.ticket();
        take_result(track.on_tick(now, options_), name, pending, now, out);
        if (track.ticket() != ticket) {
            tickets_.erase(ticket);
        }
        if (track.may_read(now)) {
            read_back(track, now, valid_until, tickets, out);
        }
    }
    if (!is_ordering_) {
        return;
    }
    collect(states);
    for (const std::size_t i : planner_.plan(seen_, now, out)) {
        give_order(*seen_tracks_[i], now, valid_until, tickets, out);
    }
}

void scope_holder::collect(const upstream_state_map* states) {
    seen_.clear();
    seen_tracks_.clear();
    for (auto& [name, track] : tracks_) {
        rollout_upstream upstream{.name = name,
                                  .version = track.report().version,
                                  .is_ordered = track.pending() != 0,
                                  .is_ready = track.may_order()};
        const auto found = states == nullptr
                               ? upstream_state_map::const_iterator{}
                               : states->find({service_, name});
        std::uint64_t load = track.report().load;
        if (states != nullptr && found != states->end()) {
            upstream.condition = found->second.condition;
            load = std::max<std::uint64_t>(load, found->second.reported_load);
        }
        upstream.load = static_cast<double>(load) /
                        std::max<std::uint32_t>(1, track.rule().slots);
        seen_.push_back(std::move(upstream));
        seen_tracks_.push_back(&track);
    }
}

void scope_holder::read_back(order_track& track, steady_time now,
                             steady_time valid_until, std::uint64_t& tickets,
                             command_list& out) {
    const std::uint64_t ticket = ++tickets;
    ++calls_;
    tickets_.emplace(ticket, track.rule().name);
    track.read_sent(ticket, now, options_);
    out.emplace_back(upstream_order{
        .ticket = ticket,
        .method = order_method::read_state,
        .service = service_,
        .upstream = track.rule().name,
        .address = track.rule().address,
        .fencing = fencing_,
        .path = state_path,
        .not_after = std::min(valid_until, now + options_.handover_time),
        .timeout = options_.read_timeout});
}

void scope_holder::give_order(order_track& track, steady_time now,
                              steady_time valid_until, std::uint64_t& tickets,
                              command_list& out) {
    const weight_version version = planner_.goal().target;
    const steady_time not_after =
        std::min(valid_until, now + options_.handover_time);
    const std::uint64_t ticket = ++tickets;
    ++calls_;
    tickets_.emplace(ticket, track.rule().name);
    track.order_sent(ticket, version, not_after, options_);
    const boost::json::object body{
        {"order_id", service_.text() + '/' + track.rule().name.text() + '/' +
                         std::to_string(fencing_) + '/' +
                         std::to_string(ticket)},
        {"fencing", fencing_},
        {"version", version}};
    out.emplace_back(log_command{log_event::order_sent,
                                 detail_of(track.rule().name, version)});
    out.emplace_back(upstream_order{.ticket = ticket,
                                    .method = order_method::give,
                                    .service = service_,
                                    .upstream = track.rule().name,
                                    .address = track.rule().address,
                                    .fencing = fencing_,
                                    .path = order_path,
                                    .body = boost::json::serialize(body),
                                    .not_after = not_after,
                                    .timeout = options_.longest_order});
}

bool scope_holder::on_order_reply(const order_reply& reply, steady_time now,
                                  command_list& out) {
    const auto ticket = tickets_.find(reply.ticket);
    if (ticket == tickets_.end()) {
        return false;
    }
    const upstream_id upstream = ticket->second;
    tickets_.erase(ticket);
    const auto found = tracks_.find(upstream);
    if (found == tracks_.end()) {
        return true;
    }
    const weight_version pending = found->second.pending();
    take_result(found->second.on_reply(reply, fencing_, now, options_),
                upstream, pending, now, out);
    return true;
}

void scope_holder::take_result(order_result result, const upstream_id& upstream,
                               weight_version version, steady_time now,
                               command_list& out) {
    const auto log = [&](log_event event) {
        out.emplace_back(log_command{event, detail_of(upstream, version)});
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
    case order_result::lost:
        log(log_event::order_outcome_unknown);
        break;
    case order_result::superseded:
        log(log_event::order_refused);
        break;
    }
}

void scope_holder::observe(const upstream_observation& observation,
                           steady_time now) {
    const auto found = tracks_.find(observation.upstream);
    const bool is_held_and_known = is_held() && found != tracks_.end();
    if (is_held_and_known && found->second.pending() == 0) {
        planner_.observe(observation.upstream, observation.evidence, now);
    }
}

bool scope_holder::has_order_in_flight() const {
    return std::any_of(tracks_.begin(), tracks_.end(), [](const auto& each) {
        return each.second.pending() != 0;
    });
}

std::string scope_holder::detail_of(const upstream_id& upstream,
                                    weight_version version) const {
    return "service=" + service_.text() + " upstream=" + upstream.text() +
           " version=" + std::to_string(version) +
           " fencing=" + std::to_string(fencing_);
}

} // namespace savorydock

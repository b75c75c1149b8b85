#include "servers/duties/worker_scaling.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

double to_seconds(steady_time::duration time) {
    return std::chrono::duration<double>(time).count();
}

std::uint32_t to_count(double value) {
    constexpr double most = 100'000;
    return static_cast<std::uint32_t>(
        std::clamp(std::ceil(value - 1e-9), 0.0, most));
}

double price_of(const scaling_rule& rule, const availability_zone& zone) {
    const auto found = rule.zone_prices.find(zone);
    return found == rule.zone_prices.end() ? 1 : found->second;
}

} // namespace

void worker_scaling::reset() {
    groups_.clear();
    draining_.clear();
}

bool worker_scaling::is_blocked(const worker_group& group,
                                steady_time now) const {
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.blocked_until &&
           now < *found->second.blocked_until;
}

void worker_scaling::on_fleet(const std::vector<service_rule>& services,
                              const std::vector<upstream_entry>& upstreams,
                              steady_time now) {
    services_.clear();
    for (const service_rule& service : services) {
        if (service.scaling) {
            services_[service.name] = service;
        }
    }
    for (auto& [id, group] : groups_) {
        group.present = 0;
    }
    std::set<upstream_id> draining;
    for (const upstream_entry& upstream : upstreams) {
        if (!services_.contains(upstream.service)) {
            continue;
        }
        group_state& group =
            groups_[{.service = upstream.service,
                     .zone = upstream.zone,
                     .is_reclaimable = upstream.is_reclaimable}];
        slots_[upstream.service] = upstream.slots;
        if (!upstream.is_draining) {
            ++group.present;
            continue;
        }
        draining.insert(upstream.id);
        const bool was_ordered =
            group.shrunk_at && now < *group.shrunk_at + options_.block_time;
        if (upstream.is_reclaimable && !was_ordered &&
            !draining_.contains(upstream.id)) {
            group.blocked_until = now + options_.block_time;
        }
    }
    draining_ = std::move(draining);
}

void worker_scaling::on_demand(const instance_id& from, worker_demand demand,
                               steady_time now) {
    const service_name service = demand.service;
    if (demand.term == 0) {
        open_[service][from] = {.count = demand.open_requests,
                                .received_at = now};
        return;
    }
    const auto known = demands_.find(service);
    if (known != demands_.end() && demand.term < known->second.demand.term) {
        return;
    }
    demands_[service] = {.demand = std::move(demand), .received_at = now};
}

double worker_scaling::slots_of(const service_rule& service) const {
    const auto seen = slots_.find(service.name);
    const std::uint32_t slots = service.engine         ? service.engine->slots
                                : seen != slots_.end() ? seen->second
                                                       : 1;
    return std::max(1U, slots);
}

std::optional<std::uint32_t>
worker_scaling::needed_workers(const service_name& service,
                               steady_time now) const {
    const auto rule = services_.find(service);
    if (rule == services_.end()) {
        return std::nullopt;
    }
    const auto jobs = needed_for_jobs(rule->second, now);
    const auto callers = needed_for_callers(rule->second, now);
    if ((!jobs && planned_.contains(service)) || (!jobs && !callers)) {
        return std::nullopt;
    }
    return to_count(jobs.value_or(0) + callers.value_or(0));
}

std::optional<double>
worker_scaling::needed_for_callers(const service_rule& service,
                                   steady_time now) const {
    const auto known = open_.find(service.name);
    if (known == open_.end()) {
        return std::nullopt;
    }
    std::optional<double> total;
    for (const auto& [from, open] : known->second) {
        if (now - open.received_at <= options_.demand_lifetime) {
            total = total.value_or(0) + static_cast<double>(open.count);
        }
    }
    if (!total) {
        return std::nullopt;
    }
    return *total / slots_of(service) / options_.max_slot_use;
}

std::optional<double>
worker_scaling::needed_for_jobs(const service_rule& service,
                                steady_time now) const {
    const auto known = demands_.find(service.name);
    if (known == demands_.end() ||
        now - known->second.received_at > options_.demand_lifetime) {
        return std::nullopt;
    }
    const worker_demand& demand = known->second.demand;
    const double slots = slots_of(service);
    const double rate =
        slots *
        (demand.slot_rate > 0 ? demand.slot_rate : options_.default_slot_rate);
    double present = 0;
    double starting = 0;
    for (const auto& [id, group] : groups_) {
        if (id.service == service.name) {
            present += group.present;
            starting += base_of(group) > group.present
                            ? base_of(group) - group.present
                            : 0;
        }
    }
    const double start_time = to_seconds(service.scaling->start_time);
    const double least_time = to_seconds(options_.min_work_time);
    double needed = 0;
    double tokens = 0;
    double items = 0;
    for (const due_work& work : demand.work) {
        tokens += options_.headroom * static_cast<double>(work.tokens);
        items += static_cast<double>(work.waiting_items + work.running_items);
        const double time = std::max(to_seconds(work.due_in), least_time);
        const double done =
            rate *
            (present * time + starting * std::max(0.0, time - start_time / 2));
        // More workers than items fill can't help.
        const double useful = items / slots;
        if (done >= tokens) {
            needed = std::max(needed, std::min(useful, tokens / rate / time));
            continue;
        }
        const double more =
            (tokens - done) / rate / std::max(time - start_time, least_time);
        needed = std::max(needed, std::min(useful, present + starting + more));
    }
    return needed;
}

std::uint32_t worker_scaling::base_of(const group_state& group) const {
    return group.ordered.value_or(group.present);
}

worker_scaling::plan worker_scaling::make_plan(const service_rule& service,
                                               std::uint32_t needed,
                                               steady_time now) const {
    const scaling_rule& rule = *service.scaling;
    std::vector<availability_zone> zones;
    for (const auto& [zone, price] : rule.zone_prices) {
        zones.push_back(zone);
    }
    std::stable_sort(zones.begin(), zones.end(),
                     [&](const auto& left, const auto& right) {
                         return price_of(rule, left) < price_of(rule, right);
                     });
    plan counts;
    const auto group_of = [&](const availability_zone& zone,
                              bool is_reclaimable) {
        return worker_group{service.name, zone, is_reclaimable};
    };
    std::map<availability_zone, std::uint32_t> in_zone;
    std::vector<availability_zone> spot_zones;
    for (const availability_zone& zone : zones) {
        for (const bool is_reclaimable : {false, true}) {
            const worker_group group = group_of(zone, is_reclaimable);
            const auto known = groups_.find(group);
            // In a blocked group only what is there counts.
            const std::uint32_t kept =
                is_blocked(group, now)
                    ? std::min(known->second.present,
                               rule.max_upstreams - in_zone[zone])
                    : 0;
            counts[group] = kept;
            in_zone[zone] += kept;
        }
        if (!is_blocked(group_of(zone, true), now)) {
            spot_zones.push_back(zone);
        }
    }
    const auto count = static_cast<double>(needed);
    const auto spot_count = static_cast<double>(spot_zones.size());
    // The reclaimable workers of one zone are ordered in addition.
    const bool is_spot_cheaper =
        spot_count >= 2 && rule.spot_price * spot_count / (spot_count - 1) < 1;
    std::uint32_t lasting = needed;
    if (is_spot_cheaper) {
        const std::uint32_t least = std::min(
            needed, std::max(1U, to_count(count * options_.min_lasting_share)));
        const std::uint32_t per_zone =
            to_count((count - least) / (spot_count - 1));
        std::uint32_t total = 0;
        std::uint32_t largest = 0;
        for (const availability_zone& zone : spot_zones) {
            const std::uint32_t added =
                std::min(per_zone, rule.max_upstreams - in_zone[zone]);
            counts[group_of(zone, true)] = added;
            in_zone[zone] += added;
            total += added;
            largest = std::max(largest, added);
        }
        lasting = std::max(least, needed - std::min(needed, total - largest));
    }
    // Evenly, cheapest zones first, so that no zone has most of them.
    const auto add_lasting = [&](std::uint32_t most) {
        bool has_added = true;
        while (lasting > 0 && has_added) {
            has_added = false;
            for (const availability_zone& zone : zones) {
                const worker_group group = group_of(zone, false);
                if (lasting > 0 && in_zone[zone] < rule.max_upstreams &&
                    counts[group] < most && !is_blocked(group, now)) {
                    ++counts[group];
                    ++in_zone[zone];
                    --lasting;
                    has_added = true;
                }
            }
        }
    };
    add_lasting((lasting + 1) / 2);
    add_lasting(rule.max_upstreams);
    for (const availability_zone& zone : zones) {
        const bool has_spot =
            is_spot_cheaper && !is_blocked(group_of(zone, true), now);
        if (in_zone[zone] < rule.min_upstreams) {
            counts[group_of(zone, has_spot)] +=
                rule.min_upstreams - in_zone[zone];
        }
    }
    return counts;
}

bool worker_scaling::has_ordered(const service_name& service) const {
    return std::any_of(groups_.begin(), groups_.end(), [&](const auto& row) {
        return row.first.service == service &&
               (row.second.ordered || row.second.sending);
    });
}

std::uint32_t worker_scaling::target_of(const group_state& group) const {
    std::uint32_t target = 0;
    for (const auto& [time, count] : group.planned) {
        target = std::max(target, count);
    }
    return target;
}

void worker_scaling::update_targets(const service_rule& service,
                                    std::uint32_t needed, steady_time now) {
    const bool is_first = !has_ordered(service.name);
    for (const auto& [id, count] : make_plan(service, needed, now)) {
        group_state& group = groups_[id];
        // Until the first order, what is there may be needed. Entries of
        // workers still arrive when a deployment starts.
        group.planned.emplace_back(
            now, is_first ? std::max(count, group.present) : count);
        while (group.planned.front().first + options_.shrink_delay <= now) {
            group.planned.pop_front();
        }
    }
}

void worker_scaling::add_order(const worker_group& id, group_state& group,
                               std::uint32_t target, steady_time now,
                               std::vector<worker_order>& orders) {
    const std::uint32_t base = base_of(group);
    if (group.present == base) {
        group.mismatch_since.reset();
    } else if (!group.mismatch_since) {
        group.mismatch_since = now;
    }
    const auto start_time = services_.at(id.service).scaling->start_time;
    const bool is_overridden =
        group.ordered && group.mismatch_since &&
        now - *group.mismatch_since >= start_time + options_.mismatch_time;
    const bool must_repeat = group.unanswered > 0 || is_overridden;
    if (group.sending || now < group.next_order_at ||
        (target == base && !must_repeat) ||
        (target > group.present && is_blocked(id, now))) {
        return;
    }
    group.sending = target;
    if (target < base) {
        group.shrunk_at = now;
    }
    group.mismatch_since.reset();
    orders.push_back({.group = id, .count = target});
}

std::vector<worker_order> worker_scaling::next_orders(steady_time now) {
    std::vector<worker_order> orders;
    for (const auto& [name, service] : services_) {
        const auto needed = needed_workers(name, now);
        // Before the first work the number of workers isn't this one's to
        // judge.
        if (!needed || (*needed == 0 && !has_ordered(name))) {
            continue;
        }
        update_targets(service, *needed, now);
        const std::uint32_t most = service.scaling->max_upstreams;
        const std::uint32_t least = service.scaling->min_upstreams;
        for (const auto& [zone, price] : service.scaling->zone_prices) {
            group_state& lasting = groups_[{name, zone, false}];
            group_state& spot = groups_[{name, zone, true}];
            std::uint32_t lasting_target = target_of(lasting);
            std::uint32_t spot_target = target_of(spot);
            if (lasting_target + spot_target > most) {
                // Both kinds share the zone: the present plan fits.
                lasting_target = lasting.planned.back().second;
                spot_target = spot.planned.back().second;
            }
            // One kind grows only into the room that the other one has left,
            // and shrinks only as far as the other one makes up for it.
            const auto fit = [&](std::uint32_t target, const group_state& own,
                                 const group_state& other) {
                const std::uint32_t base = base_of(own);
                const std::uint32_t others = base_of(other);
                if (target > base) {
                    const std::uint32_t used =
                        std::max(others, other.sending.value_or(0));
                    const std::uint32_t room = most - std::min(most, used);
                    return std::max(std::min(target, room), base);
                }
                const std::uint32_t kept =
                    std::min(others, other.sending.value_or(others));
                return std::min(
                    base, std::max(target, least - std::min(least, kept)));
            };
            add_order({name, zone, false}, lasting,
                      fit(lasting_target, lasting, spot), now, orders);
            add_order({name, zone, true}, spot, fit(spot_target, spot, lasting),
                      now, orders);
        }
    }
    return orders;
}

void worker_scaling::on_answer(const worker_order& order, order_end end,
                               steady_time now) {
    const auto found = groups_.find(order.group);
    if (found == groups_.end() || !found->second.sending) {
        return;
    }
    group_state& group = found->second;
    group.sending.reset();
    group.next_order_at = now + options_.min_order_interval;
    switch (end) {
    case order_end::accepted:
        group.ordered = order.count;
        group.unanswered = 0;
        break;
    case order_end::unavailable:
        group.blocked_until = now + options_.block_time;
        group.unanswered = 0;
        break;
    case order_end::unknown:
        ++group.unanswered;
        if (group.unanswered > 1) {
            group.next_order_at = now + options_.max_retry_interval;
        }
        break;
    }
}

} // namespace savorydock

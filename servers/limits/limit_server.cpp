#include "servers/limits/limit_server.hpp"

#include "core/wire_codec.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::seconds round_period{1};
/// Demands are stored and sent in thousandths of a request per second.
constexpr double thousandths = 1'000;
constexpr std::size_t collectors_per_zone = 2;
/// The second collector of a zone sends totals in every third round only.
constexpr std::uint64_t second_collector_interval_rounds = 3;
/// A message with more demands is refused, as is any message while the tables
/// of reports and zones exceed their limits.
constexpr std::size_t max_demands = 4'096;
constexpr std::size_t max_reporters = 4'096;
constexpr std::size_t max_zones = 64;
/// Weight of the newest measurement in the smoothed demand.
constexpr double smoothing = 0.5;
/// If more than this fraction of the instances is missing, a network partition
/// is more likely than crashes.
constexpr double partition_loss_fraction = 0.2;

template <class Map>
void add_demands(Map& sum, const Map& more) {
    for (const auto& [key, demand] : more) {
        sum[key] += demand;
    }
}

/// Inserts a value at the front and drops the last one.
template <class Values, class Value>
void push_front(Values& values, Value value) {
    std::rotate(values.begin(), values.end() - 1, values.end());
    values.front() = value;
}

} // namespace

limit_server::limit_server(limit_options options, const member_table& members,
                           std::shared_ptr<rate_limiter> limiter)
    : options_(options)
    , members_(members)
    , limiter_(std::move(limiter)) {
    usable_fractions_.fill(1);
}

void limit_server::on_configuration(
    std::shared_ptr<const configuration_view> view, steady_time now,
    command_list& out) {
    static_cast<void>(now);
    static_cast<void>(out);
    decltype(callers_) next;
    auto buckets = std::make_shared<bucket_map>();
    const auto count = static_cast<double>(members_.living_count());
    for (const auto& [name, service] : view->services()) {
        for (const caller_rule& rule : service.document->callers) {
            if (rule.requests_per_second == 0) {
                continue;
            }
            const limit_key key{name, rule.name};
            limited_caller& caller = next[key];
            if (const auto previous = callers_.find(key);
                previous != callers_.end()) {
                caller = std::move(previous->second);
            }
            if (caller.limit != rule.requests_per_second) {
                caller.limit = rule.requests_per_second;
                caller.share = caller.limit / count;
                caller.bucket = std::make_shared<token_bucket>(caller.share,
                                                               options_.burst);
            }
            (*buckets)[key] = caller.bucket;
        }
    }
    callers_ = std::move(next);
    limiter_->publish(std::move(buckets));
}

void limit_server::on_tick(steady_time now, command_list& out) {
    if (last_round_ == steady_time{}) {
        last_round_ = now;
    }
    if (now - last_round_ < round_period) {
        return;
    }
    measure_demand(now - last_round_);
    last_round_ = now;
    ++rounds_;
    std::erase_if(reports_, [&](const auto& entry) {
        return now - entry.second.received_at > options_.report_lifetime;
    });
    std::erase_if(zone_sums_, [&](const auto& entry) {
        return now - entry.second.received_at > options_.report_lifetime;
    });
    if (callers_.empty()) {
        return;
    }
    send_report(now, out);
    if (is_collector()) {
        send_zone_sums(now, out);
        send_totals(now, out);
        apply_totals(total_demand(now), now);
    }
    update_shares(now);
}

void limit_server::measure_demand(std::chrono::duration<double> elapsed) {
    for (auto& [key, caller] : callers_) {
        const double rate =
            static_cast<double>(caller.bucket->take_attempts()) /
            elapsed.count();
        caller.demand += smoothing * (rate - caller.demand);
        push_front(caller.recent_demands,
                   static_cast<std::uint64_t>(caller.demand * thousandths));
    }
}

limit_server::demand_map limit_server::own_demand() const {
    demand_map demands;
    for (const auto& [key, caller] : callers_) {
        if (caller.recent_demands.front() > 0) {
            demands[key] = caller.recent_demands.front();
        }
    }
    return demands;
}

void limit_server::send_report(steady_time now, command_list& out) {
    const demand_map demands = own_demand();
    const instance_id& self = members_.self().name;
    reports_[self] = {demands, now};
    for (const instance_id& to : collectors(members_.self().zone)) {
        if (to != self) {
            send(limit_message_kind::report, demands, to, out);
        }
    }
}

void limit_server::send_zone_sums(steady_time now, command_list& out) {
    std::set<availability_zone> others;
    for (const auto& [name, member] : members_.members()) {
        if (is_living(member.record.condition) &&
            member.record.zone != members_.self().zone) {
            others.insert(member.record.zone);
        }
    }
    const std::uint64_t rounds = 1 + others.size() / options_.zones_per_second;
    if (rounds_ % rounds != 0) {
        return;
    }
    const demand_map sum = zone_demand(now);
    for (const availability_zone& zone : others) {
        for (const instance_id& to : collectors(zone)) {
            send(limit_message_kind::zone_sum, sum, to, out);
        }
    }
}

void limit_server::send_totals(steady_time now, command_list& out) {
    // The second collector sends totals less often, in case the first one has
    // failed.
    const bool is_first =
        collectors(members_.self().zone).front() == members_.self().name;
    if (!is_first && rounds_ % second_collector_interval_rounds != 0) {
        return;
    }
    const demand_map totals = total_demand(now);
    for (const auto& [name, received] : reports_) {
        if (name != members_.self().name) {
            send(limit_message_kind::totals, totals, name, out);
        }
    }
}

limit_server::demand_map limit_server::zone_demand(steady_time now) const {
    demand_map sum;
    for (const auto& [name, received] : reports_) {
        if (now - received.received_at <= options_.report_lifetime) {
            add_demands(sum, received.demands);
        }
    }
    return sum;
}

limit_server::demand_map limit_server::total_demand(steady_time now) const {
    demand_map sum = zone_demand(now);
    for (const auto& [zone, received] : zone_sums_) {
        if (now - received.received_at <= options_.report_lifetime) {
            add_demands(sum, received.demands);
        }
    }
    return sum;
}

void limit_server::apply_totals(const demand_map& totals, steady_time now) {
    for (auto& [key, caller] : callers_) {
        const auto found = totals.find(key);
        caller.fleet_demand = found == totals.end() ? 0 : found->second;
        caller.fleet_demand_at = now;
    }
}

void limit_server::on_peer_message(const peer_message& message, steady_time now,
                                   command_list& out) {
    const auto body = wire::decode<limit_message>(message.body);
    if (!body || body->demands.size() > max_demands ||
        reports_.size() > max_reporters || zone_sums_.size() > max_zones) {
        ++counters_.messages_refused;
        out.push_back(log_command{log_event::peer_frame_refused,
                                  "topic=limits from=" + message.from.text()});
        return;
    }
    demand_map demands;
    for (const limit_demand& entry : body->demands) {
        demands[{entry.service, entry.caller}] = entry.demand;
    }
    switch (body->kind) {
    case limit_message_kind::report:
        reports_[message.from] = {std::move(demands), now};
        break;
    case limit_message_kind::zone_sum:
        zone_sums_[body->zone] = {std::move(demands), now};
        break;
    case limit_message_kind::totals:
        apply_totals(demands, now);
        break;
    }
}

template <class Value>
Value limit_server::min_over_settle_time(const history<Value>& values) const {
    const auto seconds = std::min<std::size_t>(
        static_cast<std::size_t>(options_.settle_time.count()) + 1,
        history_size);
    return *std::min_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(seconds));
}

void limit_server::update_shares(steady_time now) {
    // When a partition heals, membership updates arrive before the other side's
    // demand. The minimum over the settle time delays the increase.
    push_front(usable_fractions_, usable_fraction(now));
    const double fraction = min_over_settle_time(usable_fractions_);
    const auto count = static_cast<double>(members_.living_count());
    for (auto& [key, caller] : callers_) {
        const double limit = caller.limit * fraction;
        const auto own =
            static_cast<double>(min_over_settle_time(caller.recent_demands));
        const auto total =
            std::max(own, static_cast<double>(caller.fleet_demand));
        const bool is_stale =
            now - caller.fleet_demand_at > options_.report_lifetime;
        caller.share = limit / count;
        if (!is_stale && total > 0) {
            caller.share = limit * (options_.even_fraction / count +
                                    (1 - options_.even_fraction) * own / total);
        }
        caller.bucket->set_rate(caller.share, now);
    }
}

double limit_server::usable_fraction(steady_time now) const {
    double living = 1;
    double missing = 0;
    double recently_missing = 0;
    for (const auto& [name, member] : members_.members()) {
        living += is_living(member.record.condition) ? 1 : 0;
        if (member.record.condition == member_condition::dead) {
            missing += 1;
            recently_missing +=
                now - member.changed_at <= options_.crash_hold_time ? 1 : 0;
        }
    }
    const bool is_partitioned =
        missing > partition_loss_fraction * (living + missing);
    return living / (living + (is_partitioned ? missing : recently_missing));
}

std::vector<instance_id>
limit_server::collectors(const availability_zone& zone) const {
    std::vector<std::pair<std::uint64_t, instance_id>> order;
    const auto consider = [&](const member_record& record) {
        if (record.zone == zone && is_living(record.condition)) {
            order.emplace_back(stable_hash(record.name.text(), 1), record.name);
        }
    };
    consider(members_.self());
    for (const auto& [name, member] : members_.members()) {
        consider(member.record);
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<instance_id> chosen;
    for (std::size_t i = 0; i < std::min(order.size(), collectors_per_zone);
         ++i) {
        chosen.push_back(order[i].second);
    }
    return chosen;
}

bool limit_server::is_collector() const {
    const auto chosen = collectors(members_.self().zone);
    return std::find(chosen.begin(), chosen.end(), members_.self().name) !=
           chosen.end();
}

void limit_server::send(limit_message_kind kind, const demand_map& demands,
                        const instance_id& to, command_list& out) {
    limit_message message{.kind = kind, .zone = members_.self().zone};
    for (const auto& [key, demand] : demands) {
        message.demands.push_back({key.service, key.caller, demand});
    }
    peer_message packed{.from = members_.self().name,
                        .to = to,
                        .topic = peer_topic::limits,
                        .body = wire::encode(message)};
    ++counters_.messages_out;
    counters_.bytes_out += packed.body.size();
    out.push_back(std::move(packed));
}

double limit_server::share_of(const service_name& service,
                              const caller_id& caller) const {
    const auto found = callers_.find(limit_key_less::view(service, caller));
    return found == callers_.end() ? 0 : found->second.share;
}

} // namespace savorydock

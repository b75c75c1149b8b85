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
constexpr double thousandths = 1'000;
constexpr std::size_t collectors_per_zone = 2;
constexpr std::uint64_t second_collector_rounds = 3;
constexpr std::size_t max_demands = 4'096;
constexpr std::size_t max_reporters = 4'096;
constexpr std::size_t max_zones = 64;
/// The weight of the newest second in the smoothed demand.
constexpr double smoothing = 0.5;
/// From this part of missing instances on a cut is more likely than crashes.
constexpr double cut_part = 0.2;

template <class Map>
void add(Map& sum, const Map& more) {
    for (const auto& [key, demand] : more) {
        sum[key] += demand;
    }
}

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
    parts_.fill(1);
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
            if (const auto held = callers_.find(key); held != callers_.end()) {
                caller = std::move(held->second);
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
    measure(now - last_round_);
    last_round_ = now;
    ++rounds_;
    std::erase_if(reports_, [&](const auto& entry) {
        return now - entry.second.at > options_.reserve_time;
    });
    std::erase_if(zones_, [&](const auto& entry) {
        return now - entry.second.at > options_.reserve_time;
    });
    if (callers_.empty()) {
        return;
    }
    report(now, out);
    if (is_collector()) {
        exchange(now, out);
        answer_members(now, out);
        take_totals(all_demand(now), now);
    }
    share_out(now);
}

void limit_server::measure(std::chrono::duration<double> elapsed) {
    for (auto& [key, caller] : callers_) {
        const double rate =
            static_cast<double>(caller.bucket->take_attempts()) /
            elapsed.count();
        caller.demand += smoothing * (rate - caller.demand);
        push_front(caller.reports,
                   static_cast<std::uint64_t>(caller.demand * thousandths));
    }
}

limit_server::demand_map limit_server::own_demand() const {
    demand_map demands;
    for (const auto& [key, caller] : callers_) {
        if (caller.reports.front() > 0) {
            demands[key] = caller.reports.front();
        }
    }
    return demands;
}

void limit_server::report(steady_time now, command_list& out) {
    const demand_map demands = own_demand();
    const instance_id& self = members_.self().name;
    reports_[self] = {demands, now};
    for (const instance_id& to : collectors(members_.self().zone)) {
        if (to != self) {
            send(limit_message_kind::report, demands, to, out);
        }
    }
}

void limit_server::exchange(steady_time now, command_list& out) {
    std::set<availability_zone> others;
    for (const auto& [name, held] : members_.members()) {
        if (is_living(held.record.condition) &&
            held.record.zone != members_.self().zone) {
            others.insert(held.record.zone);
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

void limit_server::answer_members(steady_time now, command_list& out) {
    // The second collector answers now and then, should the first be gone.
    const bool is_first =
        collectors(members_.self().zone).front() == members_.self().name;
    if (!is_first && rounds_ % second_collector_rounds != 0) {
        return;
    }
    const demand_map totals = all_demand(now);
    for (const auto& [name, heard] : reports_) {
        if (name != members_.self().name) {
            send(limit_message_kind::totals, totals, name, out);
        }
    }
}

limit_server::demand_map limit_server::zone_demand(steady_time now) const {
    demand_map sum;
    for (const auto& [name, heard] : reports_) {
        if (now - heard.at <= options_.reserve_time) {
            add(sum, heard.demands);
        }
    }
    return sum;
}

limit_server::demand_map limit_server::all_demand(steady_time now) const {
    demand_map sum = zone_demand(now);
    for (const auto& [zone, heard] : zones_) {
        if (now - heard.at <= options_.reserve_time) {
            add(sum, heard.demands);
        }
    }
    return sum;
}

void limit_server::take_totals(const demand_map& totals, steady_time now) {
    for (auto& [key, caller] : callers_) {
        const auto found = totals.find(key);
        caller.total = found == totals.end() ? 0 : found->second;
        caller.total_at = now;
    }
}

void limit_server::on_peer_message(const peer_message& message, steady_time now,
                                   command_list& out) {
    const auto body = wire::decode<limit_message>(message.body);
    if (!body || body->demands.size() > max_demands ||
        reports_.size() > max_reporters || zones_.size() > max_zones) {
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
        zones_[body->zone] = {std::move(demands), now};
        break;
    case limit_message_kind::totals:
        take_totals(demands, now);
        break;
    }
}

template <class Value>
Value limit_server::settled(const history<Value>& values) const {
    const auto seconds = std::min<std::size_t>(
        static_cast<std::size_t>(options_.settle_time.count()) + 1,
        history_size);
    return *std::min_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(seconds));
}

void limit_server::share_out(steady_time now) {
    // When a cut heals, the sums of the other side come after its members.
    push_front(parts_, reachable_part(now));
    const double part = settled(parts_);
    const auto count = static_cast<double>(members_.living_count());
    for (auto& [key, caller] : callers_) {
        const double limit = caller.limit * part;
        const auto own = static_cast<double>(settled(caller.reports));
        const auto total = std::max(own, static_cast<double>(caller.total));
        const bool is_stale = now - caller.total_at > options_.reserve_time;
        caller.share = limit / count;
        if (!is_stale && total > 0) {
            caller.share = limit * (options_.even_part / count +
                                    (1 - options_.even_part) * own / total);
        }
        caller.bucket->set_rate(caller.share, now);
    }
}

double limit_server::reachable_part(steady_time now) const {
    double living = 1;
    double lost = 0;
    double lost_lately = 0;
    for (const auto& [name, held] : members_.members()) {
        living += is_living(held.record.condition) ? 1 : 0;
        if (held.record.condition == member_condition::dead) {
            lost += 1;
            lost_lately +=
                now - held.changed_at <= options_.crash_reserve ? 1 : 0;
        }
    }
    const bool is_cut = lost > cut_part * (living + lost);
    return living / (living + (is_cut ? lost : lost_lately));
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
    for (const auto& [name, held] : members_.members()) {
        consider(held.record);
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

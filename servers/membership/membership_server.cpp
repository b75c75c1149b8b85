#include "servers/membership/membership_server.hpp"

#include "core/wire_codec.hpp"
#include "servers/membership/platform_list_entry.hpp"
#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace savorydock {

namespace {

constexpr std::uint64_t instance_list_tickets = 1ULL << 32U;
constexpr std::uint64_t upstream_list_tickets = 2ULL << 32U;
constexpr std::size_t readers_per_zone = 2;
/// How long after a change gossip is also sent in separate messages.
constexpr std::chrono::milliseconds push_time{2'000};
/// Gossip messages per tick during `push_time` after a change: to the own zone
/// and to other zones.
constexpr int own_zone_pushes = 2;
constexpr int other_zone_pushes = 1;
constexpr std::size_t max_digest_records = 200;
constexpr std::size_t max_message_records = 512;
/// With fewer missing instances this one is not considered cut off.
constexpr std::size_t min_missing_for_cut_off = 2;

} // namespace

membership_server::membership_server(membership_options options,
                                     const state_chart& chart,
                                     random_source& random)
    : options_(std::move(options))
    , random_(random)
    , table_(options_.self)
    , detector_(table_, options_.detector, random)
    , health_(chart, options_.health, random)
    , instance_list_(std::string(instance_list_prefix), instance_list_tickets,
                     random)
    , upstream_list_(std::string(upstream_list_prefix), upstream_list_tickets,
                     random) {}

void membership_server::initialize(steady_time now) {
    is_initialized_ = true;
    for (const member_record& seed : options_.seeds) {
        table_.add_listed(seed, now, true);
    }
    queue_member(table_.self().name);
    push_until_ = now + push_time;
    next_maintenance_at_ = now;
    next_digest_at_ = now;
}

void membership_server::on_tick(steady_time now, command_list& out) {
    if (!is_initialized_) {
        initialize(now);
    }
    std::vector<probe_action> actions;
    for (const instance_id& name : detector_.on_tick(now, actions)) {
        queue_member(name);
        log_condition(name, out);
    }
    send_probe_messages(actions, out);
    health_.tick(
        now, [this](const upstream_key& key) { return is_prober(key); }, out);
    queue_health_updates(now);
    push_gossip(now, out);
    if (now >= next_maintenance_at_) {
        next_maintenance_at_ = now + std::chrono::seconds(1);
        table_.remove_expired(now, options_.dead_retention);
        check_cut_off(out);
        poll_platform_lists(now, out);
    }
    if (now >= next_digest_at_) {
        const auto period =
            static_cast<std::uint64_t>(options_.digest_period.count());
        next_digest_at_ = startup_digests_left_ > 0
                              ? now + std::chrono::seconds(1)
                              : now + std::chrono::milliseconds(
                                          period / 2 + random_.below(period));
        startup_digests_left_ -= startup_digests_left_ > 0 ? 1 : 0;
        if (const auto peer = detector_.pick_living()) {
            send_digest(*peer, out);
        }
    }
}

void membership_server::send_probe_messages(
    const std::vector<probe_action>& actions, command_list& out) {
    for (const probe_action& action : actions) {
        send({.kind = action.kind,
              .sequence = action.sequence,
              .target = action.target},
             action.to, out);
    }
}

void membership_server::push_gossip(steady_time now, command_list& out) {
    if (now >= push_until_) {
        return;
    }
    const auto push = [&](std::span<const instance_id> names, int count) {
        for (int i = 0; i < count && !names.empty(); ++i) {
            if (member_gossip_.is_empty() && upstream_gossip_.is_empty()) {
                return;
            }
            const instance_id& to = names[random_.below(names.size())];
            send({.kind = membership_kind::gossip}, to, out);
        }
    };
    push(table_.living_in_own_zone(), own_zone_pushes);
    push(table_.living_in_other_zones(), other_zone_pushes);
}

void membership_server::send_digest(const instance_id& to, command_list& out) {
    membership_message message{.kind = membership_kind::digest,
                               .digest = table_.digest()};
    const auto upstreams = health_.registry().digest();
    message.digest.insert(message.digest.end(), upstreams.begin(),
                          upstreams.end());
    send(std::move(message), to, out);
}

void membership_server::answer_digest(const instance_id& to,
                                      const membership_message& message,
                                      command_list& out) {
    constexpr std::size_t split = member_table::bucket_count;
    if (message.digest.size() != split + upstream_registry::bucket_count) {
        return;
    }
    const auto own_digest = table_.digest();
    membership_message answer{.kind = membership_kind::gossip};
    const auto add = [&](const member_record& record) {
        const std::size_t bucket = member_table::bucket_of(record.name);
        if (own_digest[bucket] != message.digest[bucket] &&
            answer.members.size() < max_digest_records) {
            answer.members.push_back(record);
        }
    };
    add(table_.self());
    // Starts at a random member, so that the limit omits different members each
    // time.
    const auto& members = table_.members();
    const std::size_t skip =
        members.empty() ? 0 : random_.below(members.size());
    const auto start =
        std::next(members.begin(), static_cast<std::ptrdiff_t>(skip));
    std::for_each(start, members.end(),
                  [&](const auto& entry) { add(entry.second.record); });
    std::for_each(members.begin(), start,
                  [&](const auto& entry) { add(entry.second.record); });
    answer.upstreams = health_.registry().differing(
        health_.registry().digest(),
        {message.digest.begin() + split, message.digest.end()},
        max_digest_records);
    if (!answer.members.empty() || !answer.upstreams.empty()) {
        send(std::move(answer), to, out);
    }
}

void membership_server::on_peer_message(const peer_message& message,
                                        steady_time now, command_list& out) {
    const auto body = wire::decode<membership_message>(message.body);
    if (!body || body->members.size() > max_message_records ||
        body->upstreams.size() > max_message_records) {
        ++counters_.messages_refused;
        out.push_back(
            log_command{log_event::peer_frame_refused,
                        "topic=membership from=" + message.from.text()});
        return;
    }
    ++counters_.messages_in;
    list_revision_ = std::max(list_revision_, body->list_revision);
    merge_records(*body, now, out);
    if (table_.note_contact(message.from, body->incarnation, now)) {
        queue_member(message.from);
        log_condition(message.from, out);
    }
    std::vector<probe_action> actions;
    switch (body->kind) {
    case membership_kind::ping:
        actions.push_back(
            {membership_kind::ack, message.from, {}, body->sequence});
        break;
    case membership_kind::ack:
        detector_.on_ack(body->sequence, actions);
        break;
    case membership_kind::ping_request:
        detector_.on_ping_request(message.from, body->sequence, body->target,
                                  now, actions);
        break;
    case membership_kind::digest:
        answer_digest(message.from, *body, out);
        break;
    case membership_kind::gossip:
        break;
    }
    send_probe_messages(actions, out);
}

void membership_server::merge_records(const membership_message& message,
                                      steady_time now, command_list& out) {
    for (const member_record& record : message.members) {
        merge_member(record, now, out);
    }
    for (const upstream_record& record : message.upstreams) {
        health_.merge(record, now, out);
    }
    queue_health_updates(now);
}

void membership_server::merge_member(const member_record& record,
                                     steady_time now, command_list& out) {
    switch (table_.merge(record, now)) {
    case merge_result::unchanged:
        if (table_.record_of(record.name) == record) {
            member_gossip_.note_received(record.name);
        }
        return;
    case merge_result::updated:
        queue_member(record.name);
        log_condition(record.name, out);
        return;
    case merge_result::refuted:
        queue_member(table_.self().name);
        push_until_ = now + push_time;
        return;
    }
}

void membership_server::queue_health_updates(steady_time now) {
    for (const upstream_key& key : health_.take_updates()) {
        upstream_gossip_.add(key, transmission_limit());
        push_until_ = now + push_time;
    }
}

void membership_server::log_condition(const instance_id& name,
                                      command_list& out) {
    const member* found = table_.find(name);
    if (found == nullptr) {
        return;
    }
    log_event event = log_event::peer_alive;
    if (found->record.condition == member_condition::suspect) {
        event = log_event::peer_suspected;
    } else if (!is_living(found->record.condition)) {
        event = log_event::peer_dead;
    }
    out.push_back(log_command{
        event,
        "instance=" + name.text() + " zone=" + found->record.zone.text() +
            " incarnation=" + std::to_string(found->record.incarnation)});
}

void membership_server::check_cut_off(command_list& out) {
    const auto [missing, known] = table_.count_missing();
    const bool is_now_cut_off =
        missing >= min_missing_for_cut_off && 2 * missing > known;
    if (is_now_cut_off == is_cut_off_) {
        return;
    }
    is_cut_off_ = is_now_cut_off;
    out.push_back(log_command{is_now_cut_off ? log_event::zone_cut_suspected
                                             : log_event::zone_cut_ended,
                              "missing=" + std::to_string(missing) +
                                  " known=" + std::to_string(known)});
}

void membership_server::poll_platform_lists(steady_time now,
                                            command_list& out) {
    if (!options_.reads_platform_list) {
        return;
    }
    const std::size_t before = out.size();
    const bool is_chosen = is_list_reader();
    instance_list_.on_tick(is_chosen, now, out);
    upstream_list_.on_tick(is_chosen, now, out);
    counters_.platform_calls += out.size() - before;
}

bool membership_server::is_list_reader() const {
    const std::uint64_t own_hash = stable_hash(table_.self().name.text());
    std::size_t higher_ranked = 0;
    for (const instance_id& name : table_.living_in_own_zone()) {
        higher_ranked += stable_hash(name.text()) > own_hash ? 1 : 0;
    }
    return higher_ranked < readers_per_zone;
}

bool membership_server::is_prober(const upstream_key& key) const {
    const std::uint64_t seed =
        stable_hash(key.upstream.text(), stable_hash(key.service.text()));
    const std::uint64_t own_hash = stable_hash(table_.self().name.text(), seed);
    const auto peers = table_.living_in_own_zone();
    return std::none_of(peers.begin(), peers.end(), [&](const auto& name) {
        return stable_hash(name.text(), seed) > own_hash;
    });
}

void membership_server::on_platform_reply(const platform_reply& reply,
                                          steady_time now, command_list& out) {
    for (const auto& value : instance_list_.on_reply(reply, now)) {
        const auto listed = read_listed_instance(value);
        if (listed && table_.add_listed(*listed, now, false)) {
            queue_member(listed->name);
        }
    }
    for (const auto& value : upstream_list_.on_reply(reply, now)) {
        if (const auto listed = read_listed_upstream(value)) {
            health_.on_listed(listed->key, value.created, value.modified,
                              listed->is_leaving, now, out);
        }
    }
    list_revision_ = std::max(
        {list_revision_, instance_list_.revision(), upstream_list_.revision()});
    queue_health_updates(now);
}

void membership_server::on_observation(const upstream_observation& observation,
                                       steady_time now, command_list& out) {
    health_.observe(observation, list_revision_, now, out);
    queue_health_updates(now);
}

void membership_server::on_configuration(
    std::shared_ptr<const configuration_view> view, steady_time now,
    command_list& out) {
    static_cast<void>(now);
    static_cast<void>(out);
    health_.on_configuration(*view);
}

void membership_server::leave() {
    table_.leave();
    queue_member(table_.self().name);
    push_until_ = steady_time::max();
}

std::vector<member_record> membership_server::instances() const {
    std::vector<member_record> all{table_.self()};
    for (const auto& [name, stored] : table_.members()) {
        all.push_back(stored.record);
    }
    return all;
}

std::optional<endpoint>
membership_server::find_address(const instance_id& name) const {
    const auto record = table_.record_of(name);
    return record ? std::optional(record->address) : std::nullopt;
}

std::uint32_t membership_server::transmission_limit() const {
    return 2 *
           static_cast<std::uint32_t>(std::bit_width(table_.living_count()));
}

void membership_server::queue_member(const instance_id& name) {
    member_gossip_.add(name, transmission_limit());
}

void membership_server::send(membership_message message, const instance_id& to,
                             command_list& out) {
    attach_records(message, to);
    peer_message packed{.from = table_.self().name,
                        .to = to,
                        .topic = peer_topic::membership,
                        .body = wire::encode(message)};
    ++counters_.messages_out;
    counters_.bytes_out += packed.body.size();
    out.push_back(std::move(packed));
}

void membership_server::attach_records(membership_message& message,
                                       const instance_id& to) {
    message.incarnation = table_.self().incarnation;
    message.list_revision = list_revision_;
    if (message.kind == membership_kind::ping) {
        message.members.push_back(table_.self());
    }
    // The receiver must know that it is suspect or dead to refute it.
    const member* receiver = table_.find(to);
    if (receiver != nullptr &&
        receiver->record.condition != member_condition::alive) {
        message.members.push_back(receiver->record);
    }
    for (const auto& name : member_gossip_.take(options_.records_per_message)) {
        if (auto record = table_.record_of(name)) {
            message.members.push_back(std::move(*record));
        }
    }
    for (const auto& key :
         upstream_gossip_.take(options_.records_per_message)) {
        if (const auto* record = health_.registry().find(key)) {
            message.upstreams.push_back(*record);
        }
    }
}

} // namespace savorydock

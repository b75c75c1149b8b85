#include "servers/configuration/configuration_server.hpp"

#include "core/wire_codec.hpp"
#include "servers/configuration/service_envelope.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::milliseconds hello_interval{500};
/// Up to this number, all peers get a hello at start. In larger fleets only the
/// claim recorders and a few random peers do.
constexpr std::size_t max_hello_peers = 16;
constexpr std::size_t random_hello_peers = 5;

std::string describe_entry(const configuration_entry& entry) {
    return "service=" + entry.service.text() +
           " revision=" + std::to_string(entry.revision) +
           " publish=" + entry.publish_id + " operator=" + entry.operator_name;
}

// A value that is not a valid envelope becomes an entry without a document,
// which every instance refuses.
configuration_entry to_entry(const stored_value& value) {
    configuration_entry entry{.service = service_of(value.key),
                              .revision = value.modified};
    auto envelope = parse_service_envelope(value.value);
    if (envelope) {
        entry.is_deleted = envelope->is_deleted;
        entry.publish_id = std::move(envelope->publish_id);
        entry.operator_name = std::move(envelope->operator_name);
        entry.text = std::move(envelope->text);
    }
    return entry;
}

// Whether the revisions of the entries increase from `from` to `to`, so that
// the table is complete through the revision of each entry once it is applied.
bool is_ordered(const configuration_message& message) {
    store_revision last = message.from;
    for (const configuration_entry& entry : message.entries) {
        if (entry.revision <= last) {
            return false;
        }
        last = entry.revision;
    }
    return last <= message.to;
}

} // namespace

configuration_server::configuration_server(configuration_server_options options,
                                           random_source& random)
    : options_(std::move(options))
    , random_(random)
    , directory_(options_.instance, options_.zone)
    , gossip_(options_.instance, random)
    , watcher_(random) {}

void configuration_server::on_instances(
    const std::vector<known_instance>& instances, steady_time now) {
    directory_.update(instances);
    gossip_.drop_expired_claims(directory_, now);
}

void configuration_server::on_tick(steady_time now, command_list& out) {
    watcher_.set_active(directory_.is_watcher());
    watcher_.on_tick(now, table_.complete_through(), out);
    if (!start_.is_over()) {
        send_hellos(now, out);
        publish_view(table_.complete_through(), now, out);
    }
    gossip_.on_tick(directory_, table_, !start_.is_over(), now, out);
}

void configuration_server::send_hellos(steady_time now, command_list& out) {
    if (now < next_hello_) {
        return;
    }
    next_hello_ = now + hello_interval;
    std::vector<instance_id> recipients = directory_.peers();
    if (recipients.size() > max_hello_peers) {
        recipients = directory_.claim_recorders();
        const auto more = directory_.pick_random(random_hello_peers, random_);
        recipients.insert(recipients.end(), more.begin(), more.end());
    }
    for (const instance_id& peer : recipients) {
        start_.record_hello_sent(peer, now);
        gossip_.send_hello(peer, out);
    }
}

void configuration_server::on_peer_message(const peer_message& message,
                                           steady_time now, command_list& out) {
    ++counters_.peer_messages_received;
    counters_.peer_bytes_received += message.body.size();
    const auto body = wire::decode<configuration_message>(message.body);
    if (!body) {
        out.push_back(
            log_command{log_event::peer_frame_refused,
                        "topic=configuration peer=" + message.from.text()});
        return;
    }
    const bool is_starting = !start_.is_over();
    switch (body->kind) {
    case configuration_message_kind::digest:
        if (is_starting) {
            start_.record_digest(message.from, body->is_starting,
                                 body->complete_through,
                                 body->claimed_by_receiver, now);
        }
        gossip_.on_digest(message.from, *body, table_, is_starting, now, out);
        break;
    case configuration_message_kind::hello:
        gossip_.on_hello(message.from, table_, is_starting, out);
        break;
    case configuration_message_kind::pull:
        gossip_.on_pull(message.from, *body, table_, out);
        break;
    case configuration_message_kind::delta:
        on_delta(message.from, *body, now, out);
        break;
    }
    publish_view(table_.complete_through(), now, out);
}

void configuration_server::on_delta(const instance_id& peer,
                                    const configuration_message& message,
                                    steady_time now, command_list& out) {
    const store_revision before = table_.complete_through();
    // A delta that starts above `before` would leave a gap of revisions.
    if (message.from > before || !is_ordered(message)) {
        return;
    }
    bool lacks_patch_base = false;
    for (const configuration_entry& entry : message.entries) {
        const auto expanded = table_.expand_patch(entry);
        if (!expanded) {
            lacks_patch_base = true;
            break;
        }
        apply(*expanded, now, out);
        table_.mark_complete_through(entry.revision);
    }
    if (!lacks_patch_base) {
        table_.mark_complete_through(message.to);
    }
    publish_view(before, now, out);
    gossip_.on_delta_applied(peer, message, lacks_patch_base, table_, now, out);
}

void configuration_server::on_platform_reply(const platform_reply& reply,
                                             steady_time now,
                                             command_list& out) {
    const auto read = watcher_.on_reply(reply, now, out);
    if (read) {
        on_store_read(*read, now, out);
    }
    watcher_.on_tick(now, table_.complete_through(), out);
}

void configuration_server::on_store_read(const store_read_result& read,
                                         steady_time now, command_list& out) {
    const store_revision before = table_.complete_through();
    store_revision newest = before;
    for (const stored_value& value : read.values) {
        counters_.platform_bytes_received += value.value.size();
        newest = std::max(newest, value.modified);
        apply(to_entry(value), now, out);
    }
    const bool was_behind =
        std::exchange(is_store_behind_, read.revision < before);
    if (is_store_behind_ && !was_behind) {
        out.push_back(log_command{log_event::platform_store_behind,
                                  "store=" + std::to_string(read.revision) +
                                      " in_force=" + std::to_string(before)});
    }
    table_.mark_complete_through(newest);
    start_.record_store_read();
    publish_view(before, now, out);
}

void configuration_server::apply(const configuration_entry& entry,
                                 steady_time now, command_list& out) {
    switch (table_.apply(entry, now)) {
    case apply_result::in_force:
        ++counters_.revisions_in_force;
        has_unpublished_change_ = true;
        out.push_back(log_command{log_event::configuration_in_force,
                                  describe_entry(entry)});
        break;
    case apply_result::refused:
        ++counters_.revisions_refused;
        out.push_back(log_command{log_event::configuration_refused,
                                  describe_entry(entry) + " faults=" +
                                      table_.faults_of(entry.service)});
        break;
    case apply_result::stale:
        ++counters_.revisions_stale;
        break;
    }
}

void configuration_server::publish_view(store_revision complete_before,
                                        steady_time now, command_list& out) {
    const store_revision complete = table_.complete_through();
    const bool has_started = start_.try_end(complete, now);
    if (!start_.is_over()) {
        if (!is_held_back_logged_ && start_.is_held_back(complete, now)) {
            is_held_back_logged_ = true;
            out.push_back(log_command{
                log_event::configuration_held_back,
                "peers_have=" + std::to_string(complete) +
                    " served_before=" + std::to_string(start_.floor())});
        }
        return;
    }
    if (has_started || has_unpublished_change_) {
        has_unpublished_change_ = false;
        published_ = table_.view();
        if (options_.on_view) {
            options_.on_view(published_);
        }
    }
    if (complete > complete_before || (has_started && complete > 0)) {
        gossip_.announce(directory_, table_, out);
    }
}

configuration_counters configuration_server::counters() const {
    configuration_counters counters = counters_;
    counters.platform_calls = watcher_.calls();
    counters.peer_messages_sent = gossip_.messages_sent();
    counters.peer_bytes_sent = gossip_.bytes_sent();
    return counters;
}

configuration_status configuration_server::status(steady_time now) const {
    configuration_status status{
        .is_ready = start_.is_over(),
        .complete_through = table_.complete_through(),
        .is_watcher = directory_.is_watcher(),
        .is_platform_reachable = watcher_.is_platform_reachable(),
    };
    for (const auto& [name, held] : table_.services()) {
        status.services.push_back({
            .service = name,
            .revision = held.valid.revision,
            .is_deleted = held.valid.is_deleted,
            .publish_id = held.valid.publish_id,
            .operator_name = held.valid.operator_name,
            .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - held.in_force_since),
            .refused_revision = held.refused ? held.refused->revision : 0,
            .faults = held.faults,
        });
    }
    return status;
}

} // namespace savorydock

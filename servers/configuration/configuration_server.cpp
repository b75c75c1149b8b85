#include "servers/configuration/configuration_server.hpp"

#include "core/wire_codec.hpp"
#include "servers/configuration/service_envelope.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::milliseconds greeting_interval{500};
/// Up to so many peers are all asked at start; of more, a few.
constexpr std::size_t max_greeted = 16;
constexpr std::size_t random_greeted = 5;

std::string describe_entry(const configuration_entry& entry) {
    return "service=" + entry.service.text() +
           " revision=" + std::to_string(entry.revision) +
           " publish=" + entry.publish_id + " operator=" + entry.operator_name;
}

// A value that is no envelope becomes an entry without a document, which every
// instance refuses.
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

// The entries of a delta go up from `from` to `to`, so that after each of them
// the table is complete through its revision.
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
    , spread_(options_.instance, random)
    , watcher_(random) {}

void configuration_server::on_instances(
    const std::vector<known_instance>& instances, steady_time now) {
    directory_.update(instances);
    spread_.forget_unknown(directory_, now);
}

void configuration_server::on_tick(steady_time now, command_list& out) {
    watcher_.activate(directory_.is_watcher());
    watcher_.on_tick(now, table_.complete_through(), out);
    if (!start_.is_over()) {
        greet_peers(now, out);
        publish_view(table_.complete_through(), now, out);
    }
    spread_.on_tick(directory_, table_, !start_.is_over(), now, out);
}

void configuration_server::greet_peers(steady_time now, command_list& out) {
    if (now < next_greeting_) {
        return;
    }
    next_greeting_ = now + greeting_interval;
    std::vector<instance_id> greeted = directory_.peers();
    if (greeted.size() > max_greeted) {
        greeted = directory_.keepers();
        const auto more = directory_.pick(random_greeted, random_);
        greeted.insert(greeted.end(), more.begin(), more.end());
    }
    for (const instance_id& peer : greeted) {
        start_.note_asked(peer, now);
        spread_.greet(peer, out);
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
            start_.note_answer(message.from, body->is_starting,
                               body->complete_through,
                               body->claimed_by_receiver);
        }
        spread_.on_digest(message.from, *body, table_, is_starting, now, out);
        break;
    case configuration_message_kind::hello:
        spread_.on_hello(message.from, table_, is_starting, out);
        break;
    case configuration_message_kind::pull:
        spread_.on_pull(message.from, *body, table_, out);
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
    // A delta that begins above what is held would leave a hole.
    if (message.from > before || !is_ordered(message)) {
        return;
    }
    bool lacks_texts = false;
    for (const configuration_entry& entry : message.entries) {
        const auto whole = table_.whole(entry);
        if (!whole) {
            lacks_texts = true;
            break;
        }
        apply(*whole, now, out);
        table_.complete_through(entry.revision);
    }
    if (!lacks_texts) {
        table_.complete_through(message.to);
    }
    publish_view(before, now, out);
    spread_.on_delta_applied(peer, message, lacks_texts, table_, now, out);
}

void configuration_server::on_platform_reply(const platform_reply& reply,
                                             steady_time now,
                                             command_list& out) {
    const auto news = watcher_.on_reply(reply, now, out);
    if (news) {
        on_store_news(*news, now, out);
    }
    watcher_.on_tick(now, table_.complete_through(), out);
}

void configuration_server::on_store_news(const store_news& news,
                                         steady_time now, command_list& out) {
    const store_revision before = table_.complete_through();
    store_revision newest = before;
    for (const stored_value& value : news.values) {
        counters_.platform_bytes_received += value.value.size();
        newest = std::max(newest, value.modified);
        apply(to_entry(value), now, out);
    }
    const bool was_behind =
        std::exchange(is_store_behind_, news.revision < before);
    if (is_store_behind_ && !was_behind) {
        out.push_back(log_command{log_event::platform_store_behind,
                                  "store=" + std::to_string(news.revision) +
                                      " in_force=" + std::to_string(before)});
    }
    table_.complete_through(newest);
    start_.note_store_read();
    publish_view(before, now, out);
}

void configuration_server::apply(const configuration_entry& entry,
                                 steady_time now, command_list& out) {
    switch (table_.apply(entry, now)) {
    case apply_result::in_force:
        ++counters_.revisions_in_force;
        has_change_ = true;
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
        if (!is_held_back_told_ && start_.is_held_back(complete, now)) {
            is_held_back_told_ = true;
            out.push_back(log_command{
                log_event::configuration_held_back,
                "peers_have=" + std::to_string(complete) +
                    " served_before=" + std::to_string(start_.floor())});
        }
        return;
    }
    if (has_started || has_change_) {
        has_change_ = false;
        published_ = table_.view();
        if (options_.on_view) {
            options_.on_view(published_);
        }
    }
    if (complete > complete_before || (has_started && complete > 0)) {
        spread_.push(directory_, table_, out);
    }
}

configuration_counters configuration_server::counters() const {
    configuration_counters counters = counters_;
    counters.platform_calls = watcher_.calls();
    counters.peer_messages_sent = spread_.messages_sent();
    counters.peer_bytes_sent = spread_.bytes_sent();
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
            .revision = held.good.revision,
            .is_deleted = held.good.is_deleted,
            .publish_id = held.good.publish_id,
            .operator_name = held.good.operator_name,
            .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - held.in_force_since),
            .refused_revision = held.refused ? held.refused->revision : 0,
            .faults = held.faults,
        });
    }
    return status;
}

} // namespace savorydock

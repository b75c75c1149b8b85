#include "servers/delivery/delivery_server.hpp"

#include "core/wire_codec.hpp"

#include <utility>

namespace savorydock {

namespace {

constexpr session_epoch first_epoch = 1;

} // namespace

delivery_server::delivery_server(const delivery_server_options& options,
                                 key_ledger& ledger, delivery_port& port)
    : options_(options)
    , port_(port)
    , gate_(options.gate, ledger)
    , suspicion_(options.suspicion) {}

void delivery_server::set_peers(std::vector<instance_id> peers) {
    std::erase(peers, options_.gate.self);
    gate_.set_peers(peers);
    peers_ = std::move(peers);
}

void delivery_server::serve_port(steady_time now, command_list& out) {
    for (delivery_event& event : port_.take()) {
        std::visit([&](auto& payload) { serve(payload, now, out); }, event);
    }
}

void delivery_server::on_tick(steady_time now, command_list& out) {
    serve_port(now, out);
    gate_.on_tick(now, out);
    steps_.expire(now);
    std::vector<std::string> timed_out;
    for (const auto& [permit, waiting] : pending_permits_) {
        if (now >= waiting.end) {
            timed_out.push_back(permit);
        }
    }
    for (const std::string& permit : timed_out) {
        // The arbiter may already have granted the permit; return it unused.
        release(pending_permits_.at(permit).query.service, permit, out);
        resolve_permit(permit, false);
    }
    std::vector<lost_run> lost;
    for (const permit_request& request : permits_.take_expired(now)) {
        lost.push_back({.service = request.service,
                        .upstream = request.upstream,
                        .fingerprint = request.fingerprint,
                        .is_sole_suspect = true});
    }
    if (!lost.empty()) {
        serve(lost, now, out);
    }
    suspicion_.expire(now);
    port_.publish(suspicion_.view());
}

void delivery_server::on_peer_message(const peer_message& message,
                                      steady_time now, command_list& out) {
    const auto body = wire::decode<delivery_message>(message.body);
    if (!body) {
        out.emplace_back(log_command{log_event::peer_frame_refused,
                                     "from=" + message.from.text()});
        return;
    }
    if (body->key_queried) {
        gate_.on_query(message.from, *body->key_queried, now, out);
    }
    if (body->key_replied) {
        gate_.on_reply(message.from, *body->key_replied, now, out);
    }
    if (body->suspicion) {
        suspicion_.merge(*body->suspicion, now);
        port_.publish(suspicion_.view());
    }
    if (body->permit_requested) {
        delivery_message reply;
        reply.permit_replied =
            permit_reply{.permit = body->permit_requested->permit,
                         .is_granted = grant(*body->permit_requested, now)};
        send(message.from, reply, out);
    }
    if (body->permit_replied) {
        resolve_permit(body->permit_replied->permit,
                       body->permit_replied->is_granted);
    }
    if (body->permit_released) {
        permits_.release(body->permit_released->permit);
    }
    if (body->step_opened) {
        steps_.observe(*body->step_opened, now);
    }
}

void delivery_server::on_platform_reply(const platform_reply& reply,
                                        steady_time now, command_list& out) {
    gate_.on_platform_reply(reply, now, out);
}

void delivery_server::serve(run_right_query& event, steady_time now,
                            command_list& out) {
    gate_.acquire(std::move(event), now, out);
}

void delivery_server::serve(const std::vector<lost_run>& event, steady_time now,
                            command_list& out) {
    broadcast_update(suspicion_.record_loss(event, now), out);
    for (const lost_run& run : event) {
        out.emplace_back(log_command{
            log_event::request_suspected,
            "service=" + run.service.text() + " upstream=" +
                run.upstream.text() + " fingerprint=" + run.fingerprint +
                (suspicion_.is_blocked(run.fingerprint) ? " held=1"
                                                        : " held=0")});
    }
}

void delivery_server::serve(const suspect_clearing& event, steady_time now,
                            command_list& out) {
    const suspicion_update update = suspicion_.clear(event.fingerprint, now);
    if (update.cleared.empty()) {
        return;
    }
    broadcast_update(update, out);
    out.emplace_back(log_command{log_event::request_cleared,
                                 "fingerprint=" + event.fingerprint});
}

void delivery_server::serve(permit_query& event, steady_time now,
                            command_list& out) {
    permit_request request{.permit = options_.gate.self.text() + '/' +
                                     options_.gate.boot + '/' +
                                     std::to_string(++last_permit_),
                           .service = event.service,
                           .fingerprint = event.fingerprint,
                           .upstream = event.upstream,
                           .duration = event.duration};
    const instance_id arbiter_id = arbiter(event.service);
    pending_permits_[request.permit] = {.query = std::move(event),
                                        .end = now + options_.permit_timeout};
    if (arbiter_id == options_.gate.self) {
        return resolve_permit(request.permit, grant(request, now));
    }
    delivery_message body;
    body.permit_requested = request;
    send(arbiter_id, body, out);
}

void delivery_server::serve(const permit_return& event, steady_time /*now*/,
                            command_list& out) {
    release(event.service, event.permit, out);
}

void delivery_server::release(const service_name& service,
                              const std::string& permit, command_list& out) {
    permits_.release(permit);
    delivery_message body;
    body.permit_released = permit_release{.permit = permit};
    const instance_id arbiter_id = arbiter(service);
    if (arbiter_id != options_.gate.self) {
        send(arbiter_id, body, out);
    }
}

void delivery_server::serve(step_opening& event, steady_time now,
                            command_list& out) {
    // There is no older session to notify of a first session.
    const bool is_first = event.epoch == first_epoch;
    delivery_message body;
    body.step_opened = steps_.open(std::move(event), now);
    if (!is_first) {
        send_all(body, out);
    }
}

void delivery_server::serve(const step_closing& event, steady_time /*now*/,
                            command_list& /*out*/) {
    steps_.close(event.key, event.epoch);
}

void delivery_server::send(const instance_id& peer,
                           const delivery_message& body,
                           command_list& out) const {
    out.emplace_back(peer_message{.from = options_.gate.self,
                                  .to = peer,
                                  .topic = peer_topic::delivery,
                                  .body = wire::encode(body)});
}

void delivery_server::send_all(const delivery_message& body,
                               command_list& out) const {
    for (const instance_id& peer : peers_) {
        send(peer, body, out);
    }
}

void delivery_server::broadcast_update(const suspicion_update& update,
                                       command_list& out) {
    if (update.marks.empty() && update.cleared.empty()) {
        return;
    }
    delivery_message body;
    body.suspicion = update;
    send_all(body, out);
    port_.publish(suspicion_.view());
}

instance_id delivery_server::arbiter(const service_name& service) const {
    std::vector<instance_id> alive = peers_;
    alive.push_back(options_.gate.self);
    return arbiter_of(service, alive);
}

bool delivery_server::grant(const permit_request& request, steady_time now) {
    return !suspicion_.is_blocked(request.fingerprint) &&
           permits_.grant(request, now);
}

void delivery_server::resolve_permit(const std::string& permit,
                                     bool is_granted) {
    const auto found = pending_permits_.find(permit);
    if (found == pending_permits_.end()) {
        return;
    }
    const auto done = std::move(found->second.query.done);
    pending_permits_.erase(found);
    if (done) {
        done(is_granted, permit);
    }
}

} // namespace savorydock

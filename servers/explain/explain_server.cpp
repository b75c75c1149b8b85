#include "servers/explain/explain_server.hpp"

#include "core/wire_codec.hpp"

namespace savorydock {

void explain_server::set_peers(std::vector<instance_id> peers) {
    peers_ = std::move(peers);
}

void explain_server::query(const std::string& subject, answer_handler answer,
                           steady_time now, command_list& out) {
    const std::uint64_t new_id = next_question_id_++;
    pending_question pending{
        .explanation_so_far = {.subject = subject,
                               .answered = {options_.instance}},
        .awaited_peers = {peers_.begin(), peers_.end()},
        .deadline = now + options_.timeout,
        .answer = std::move(answer),
    };
    decision_record own = decisions_.find(subject);
    if (!own.decisions.empty()) {
        pending.explanation_so_far.records.emplace(options_.instance,
                                                   std::move(own));
    }
    if (pending.awaited_peers.empty()) {
        finish(pending);
        return;
    }
    const std::string body = wire::encode(
        explain_message{.question_id = new_id, .subject = subject});
    for (const instance_id& peer : peers_) {
        out.emplace_back(peer_message{.from = options_.instance,
                                      .to = peer,
                                      .topic = peer_topic::explain,
                                      .body = body});
    }
    pending_questions_.emplace(new_id, std::move(pending));
}

void explain_server::on_tick(steady_time now, command_list&) {
    for (auto current = pending_questions_.begin();
         current != pending_questions_.end();) {
        if (current->second.deadline > now) {
            ++current;
            continue;
        }
        finish(current->second);
        current = pending_questions_.erase(current);
    }
}

void explain_server::on_peer_message(const peer_message& message, steady_time,
                                     command_list& out) {
    auto decoded = wire::decode<explain_message>(message.body);
    if (!decoded) {
        out.emplace_back(
            log_command{log_event::peer_frame_refused,
                        "topic=explain from=" + message.from.text()});
        return;
    }
    if (decoded->is_answer) {
        on_answer(message.from, std::move(*decoded));
        return;
    }
    const explain_message answer{
        .question_id = decoded->question_id,
        .is_answer = true,
        .subject = decoded->subject,
        .record = decisions_.find(decoded->subject),
    };
    out.emplace_back(peer_message{.from = options_.instance,
                                  .to = message.from,
                                  .topic = peer_topic::explain,
                                  .body = wire::encode(answer)});
}

void explain_server::on_answer(const instance_id& from,
                               explain_message message) {
    const auto found = pending_questions_.find(message.question_id);
    if (found == pending_questions_.end() ||
        found->second.explanation_so_far.subject != message.subject ||
        found->second.awaited_peers.erase(from) == 0) {
        return;
    }
    pending_question& pending = found->second;
    pending.explanation_so_far.answered.push_back(from);
    if (!message.record.decisions.empty()) {
        pending.explanation_so_far.records.emplace(from,
                                                   std::move(message.record));
    }
    if (pending.awaited_peers.empty()) {
        finish(pending);
        pending_questions_.erase(found);
    }
}

void explain_server::finish(pending_question& pending) {
    pending.explanation_so_far.silent.assign(pending.awaited_peers.begin(),
                                             pending.awaited_peers.end());
    pending.answer(std::move(pending.explanation_so_far));
}

} // namespace savorydock

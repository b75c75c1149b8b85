#include "servers/explain/explain_server.hpp"

#include "core/wire_codec.hpp"

namespace savorydock {

void explain_server::set_peers(std::vector<instance_id> peers) {
    peers_ = std::move(peers);
}

void explain_server::ask(const std::string& subject, answer_handler answer,
                         steady_time now, command_list& out) {
    const std::uint64_t number = next_question_++;
    question asked{
        .found = {.subject = subject, .answered = {options_.instance}},
        .waiting = {peers_.begin(), peers_.end()},
        .deadline = now + options_.timeout,
        .answer = std::move(answer),
    };
    decision_record own = decisions_.find(subject);
    if (!own.decisions.empty()) {
        asked.found.records.emplace(options_.instance, std::move(own));
    }
    if (asked.waiting.empty()) {
        finish(asked);
        return;
    }
    const std::string body =
        wire::encode(explain_message{.question = number, .subject = subject});
    for (const instance_id& peer : peers_) {
        out.emplace_back(peer_message{.from = options_.instance,
                                      .to = peer,
                                      .topic = peer_topic::explain,
                                      .body = body});
    }
    questions_.emplace(number, std::move(asked));
}

void explain_server::on_tick(steady_time now, command_list&) {
    for (auto current = questions_.begin(); current != questions_.end();) {
        if (current->second.deadline > now) {
            ++current;
            continue;
        }
        finish(current->second);
        current = questions_.erase(current);
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
        take_answer(message.from, std::move(*decoded));
        return;
    }
    const explain_message answer{
        .question = decoded->question,
        .is_answer = true,
        .subject = decoded->subject,
        .record = decisions_.find(decoded->subject),
    };
    out.emplace_back(peer_message{.from = options_.instance,
                                  .to = message.from,
                                  .topic = peer_topic::explain,
                                  .body = wire::encode(answer)});
}

void explain_server::take_answer(const instance_id& from,
                                 explain_message message) {
    const auto found = questions_.find(message.question);
    if (found == questions_.end() || found->second.waiting.erase(from) == 0) {
        return;
    }
    question& asked = found->second;
    asked.found.answered.push_back(from);
    if (!message.record.decisions.empty()) {
        asked.found.records.emplace(from, std::move(message.record));
    }
    if (asked.waiting.empty()) {
        finish(asked);
        questions_.erase(found);
    }
}

void explain_server::finish(question& asked) {
    asked.found.silent.assign(asked.waiting.begin(), asked.waiting.end());
    asked.answer(std::move(asked.found));
}

} // namespace savorydock

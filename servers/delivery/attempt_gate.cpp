#include "servers/delivery/attempt_gate.hpp"

#include "core/wire_codec.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

/// A lease for claims is replaced after this part of its life.
constexpr int lease_parts = 24;

/// What a claim in the platform's store says.
struct claim_value {
    instance_id instance;
    std::string nonce;
};
BOOST_DESCRIBE_STRUCT(claim_value, (), (instance, nonce))

peer_message message_to(const instance_id& from, const instance_id& to,
                        const delivery_message& body) {
    return {.from = from,
            .to = to,
            .topic = peer_topic::delivery,
            .body = wire::encode(body)};
}

/// One part of a store key that no other parts can be mistaken for.
std::string key_part(const std::string& text) {
    return std::to_string(text.size()) + '.' + text + '/';
}

} // namespace

attempt_gate::attempt_gate(attempt_gate_options options, key_ledger& ledger)
    : options_(std::move(options))
    , ledger_(ledger)
    , ask_budget_(options_.asks_per_second)
    , claim_budget_(options_.claims_per_second) {}

void attempt_gate::seek(right_query query, steady_time now, command_list& out) {
    search one{.query = std::move(query)};
    one.ask = options_.self.text() + '/' + options_.boot + '/' +
              std::to_string(++last_ask_);
    search& kept = pending_.emplace(one.ask, one).first->second;
    if (kept.query.attempt == 0) {
        return start_claim(kept, now, out);
    }
    ask_next(kept, now, out);
}

void attempt_gate::set_peers(std::vector<instance_id> peers) {
    std::erase(peers, options_.self);
    peers_ = std::move(peers);
    const auto instances = static_cast<double>(peers_.size() + 1);
    claim_budget_.set_rate(
        std::min(options_.claims_per_second,
                 options_.fleet_claims_per_second / instances));
}

void attempt_gate::ask_next(search& one, steady_time now, command_list& out) {
    const instance_id& last = one.query.last_instance;
    if (std::find(peers_.begin(), peers_.end(), last) == peers_.end()) {
        return ask_all(one, now, out);
    }
    one.at = stage::asking_one;
    one.stage_end = now + options_.peer_wait;
    send_ask(one, last, out);
}

void attempt_gate::ask_all(search& one, steady_time now, command_list& out) {
    const std::size_t count = std::min(peers_.size(), options_.max_peers);
    if (count == 0 || !ask_budget_.try_spend(now)) {
        return refuse(one, result_code::unknown_attempt_not_remembered, false,
                      now);
    }
    one.at = stage::asking_all;
    one.stage_end = now + options_.peer_wait;
    for (std::size_t i = 0; i < count; ++i) {
        send_ask(one, peers_[i], out);
    }
}

void attempt_gate::send_ask(search& one, const instance_id& peer,
                            command_list& out) {
    one.waiting.insert(peer);
    delivery_message body;
    body.asked = key_ask{
        .ask = one.ask, .key = one.query.key, .attempt = one.query.attempt};
    if (one.at == stage::asking_claimant) {
        body.asked->claim = one.claim;
    }
    out.emplace_back(message_to(options_.self, peer, body));
}

void attempt_gate::on_ask(const instance_id& from, const key_ask& ask,
                          steady_time now, command_list& out) {
    const key_record record =
        ledger_.hand_over(ask.key, ask.ask, ask.attempt, ask.claim, now);
    delivery_message body;
    body.replied =
        key_reply{.ask = ask.ask,
                  .state = record.state,
                  .code = record.code,
                  .is_handed_over = record.state == key_state::transferred &&
                                    record.transferred_to == ask.ask};
    if (record.answer) {
        body.replied->answer = *record.answer;
    }
    out.emplace_back(message_to(options_.self, from, body));
}

void attempt_gate::on_reply(const instance_id& from, const key_reply& reply,
                            steady_time now, command_list& out) {
    const auto found = pending_.find(reply.ask);
    // A search that has ended takes no late right: it may have been used.
    if (found == pending_.end() || found->second.waiting.erase(from) == 0) {
        return;
    }
    search& one = found->second;
    if (reply.is_handed_over) {
        return give_right(one, now);
    }
    if (reply.state == key_state::finished && reply.answer) {
        return give_answer(one, *reply.answer, now);
    }
    if (reply.state == key_state::running) {
        return refuse(one, result_code::unknown_in_progress, false, now);
    }
    if (reply.state == key_state::unknown) {
        const bool is_unknown = classify(reply.code) == result_class::unknown;
        return refuse(
            one, is_unknown ? reply.code : result_code::unknown_upstream_lost,
            false, now);
    }
    if (one.waiting.empty()) {
        pass_stage_end(one, now, out);
    }
}

void attempt_gate::start_claim(search& one, steady_time now,
                               command_list& out) {
    one.claim = ledger_.find(one.query.key).claim;
    if (one.claim.empty()) {
        one.claim = wire::encode(
            claim_value{.instance = options_.self, .nonce = one.ask});
        ledger_.note_claim(one.query.key, one.claim);
    }
    if (!claim_budget_.try_spend(now)) {
        return refuse(one, result_code::unknown_earlier_sending, true, now);
    }
    one.stage_end = std::min(one.query.deadline, now + options_.claim_wait);
    if (has_lease(now)) {
        return claim(one, now, out);
    }
    one.at = stage::waiting_for_lease;
    request_lease(now, out);
}

void attempt_gate::claim(search& one, steady_time /*now*/, command_list& out) {
    one.at = stage::claiming;
    static_cast<void>(
        call_platform(one.ask,
                      compare_and_swap{.key = claim_key(one.query.key),
                                       .value = one.claim,
                                       .lease = lease_},
                      out));
}

void attempt_gate::read_claim(search& one, steady_time /*now*/,
                              command_list& out) {
    one.at = stage::reading;
    static_cast<void>(call_platform(
        one.ask, read_range{.key = claim_key(one.query.key)}, out));
}

bool attempt_gate::on_platform_reply(const platform_reply& reply,
                                     steady_time now, command_list& out) {
    if (reply.ticket == lease_ticket_ && lease_ticket_ != 0) {
        on_lease(reply, now, out);
        return true;
    }
    const auto ticket = tickets_.find(reply.ticket);
    if (ticket == tickets_.end()) {
        return false;
    }
    const auto found = pending_.find(ticket->second);
    tickets_.erase(ticket);
    if (found == pending_.end()) {
        return true;
    }
    search& one = found->second;
    if (one.at == stage::claiming) {
        if (reply.answer) {
            on_claimed(one, *reply.answer, now, out);
        } else {
            // The write may have taken effect: read it back.
            read_claim(one, now, out);
        }
    } else if (one.at == stage::reading) {
        if (reply.answer) {
            on_read(one, *reply.answer, now, out);
        } else {
            one.at = stage::pausing;
        }
    }
    return true;
}

void attempt_gate::on_claimed(search& one, const platform_answer& answer,
                              steady_time now, command_list& out) {
    if (answer.has_swapped) {
        return give_right(one, now);
    }
    read_claim(one, now, out);
}

void attempt_gate::on_read(search& one, const platform_answer& answer,
                           steady_time now, command_list& out) {
    if (answer.values.empty()) {
        // Our write may still be under way, so only creating it decides.
        one.at = stage::pausing;
        return;
    }
    const std::string& value = answer.values.front().value;
    if (value == one.claim) {
        return give_right(one, now);
    }
    ask_claimant(one, value, now, out);
}

void attempt_gate::ask_claimant(search& one, const std::string& claim,
                                steady_time now, command_list& out) {
    const auto value = wire::decode<claim_value>(claim);
    const bool is_reachable =
        value && std::find(peers_.begin(), peers_.end(), value->instance) !=
                     peers_.end();
    if (!is_reachable) {
        return refuse(one, result_code::unknown_claimed_elsewhere, false, now);
    }
    one.at = stage::asking_claimant;
    one.claim = claim;
    one.stage_end = now + options_.peer_wait;
    send_ask(one, value->instance, out);
}

bool attempt_gate::has_lease(steady_time now) const {
    return lease_ != 0 &&
           now - lease_granted_ < options_.claim_retention / lease_parts;
}

void attempt_gate::request_lease(steady_time /*now*/, command_list& out) {
    if (lease_ticket_ != 0) {
        return;
    }
    lease_ticket_ = call_platform(
        {}, grant_lease{.time_to_live = options_.claim_retention}, out);
}

void attempt_gate::on_lease(const platform_reply& reply, steady_time now,
                            command_list& out) {
    tickets_.erase(lease_ticket_);
    lease_ticket_ = 0;
    if (reply.answer) {
        lease_ = reply.answer->lease;
        lease_granted_ = now;
    }
    for (auto next = pending_.begin(); next != pending_.end();) {
        search& one = (next++)->second;
        if (one.at != stage::waiting_for_lease) {
            continue;
        }
        if (reply.answer) {
            claim(one, now, out);
        } else {
            refuse(one, result_code::unknown_earlier_sending, true, now);
        }
    }
}

std::uint64_t attempt_gate::call_platform(const std::string& ask,
                                          platform_request request,
                                          command_list& out) {
    const std::uint64_t ticket = ++last_ticket_;
    tickets_.emplace(ticket, ask);
    out.emplace_back(
        platform_call{.ticket = ticket, .request = std::move(request)});
    return ticket;
}

void attempt_gate::on_tick(steady_time now, command_list& out) {
    for (auto next = pending_.begin(); next != pending_.end();) {
        search& one = (next++)->second;
        if (now >= one.stage_end) {
            pass_stage_end(one, now, out);
        } else if (one.at == stage::pausing) {
            claim(one, now, out);
        }
    }
}

void attempt_gate::pass_stage_end(search& one, steady_time now,
                                  command_list& out) {
    switch (one.at) {
    case stage::asking_one:
        one.waiting.clear();
        return ask_all(one, now, out);
    case stage::asking_all:
        return refuse(one, result_code::unknown_attempt_not_remembered, false,
                      now);
    case stage::asking_claimant:
        return refuse(one, result_code::unknown_claimed_elsewhere, false, now);
    case stage::waiting_for_lease:
    case stage::claiming:
    case stage::reading:
    case stage::pausing:
        // The claim may be ours: our record says so to whoever reads it.
        return refuse(one, result_code::unknown_earlier_sending, true, now);
    }
}

void attempt_gate::give_right(search& one, steady_time now) {
    if (one.at == stage::asking_claimant) {
        ledger_.note_claim(one.query.key, one.claim);
    }
    const bool is_granted = ledger_.grant(one.query.key, now);
    finish(one, {.may_run = is_granted,
                 .code = is_granted ? result_code::ok
                                    : result_code::unknown_in_progress});
}

void attempt_gate::give_answer(search& one, const recorded_answer& answer,
                               steady_time now) {
    ledger_.adopt(one.query.key, answer, now);
    finish(one, {.code = answer.code,
                 .answer = std::make_shared<const recorded_answer>(answer)});
}

void attempt_gate::refuse(search& one, result_code code, bool right_is_here,
                          steady_time now) {
    ledger_.refuse(one.query.key, code, right_is_here, now);
    finish(one, {.code = code});
}

void attempt_gate::finish(search& one, const right_answer& answer) {
    const auto done = std::move(one.query.done);
    pending_.erase(one.ask);
    if (done) {
        done(answer);
    }
}

std::string attempt_gate::claim_key(const call_key& key) const {
    return options_.claim_prefix + key_part(key.service.text()) +
           key_part(key.caller.text()) + key_part(key.key.text());
}

result_code refusal_of(result_code code, bool is_keyed, call_attempt attempt) {
    const bool may_be_believed = !is_keyed || attempt == 1;
    if (may_be_believed || classify(code) != result_class::not_run) {
        return code;
    }
    return result_code::unknown_earlier_sending;
}

} // namespace savorydock

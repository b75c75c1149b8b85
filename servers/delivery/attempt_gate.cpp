#include "servers/delivery/attempt_gate.hpp"

#include "core/wire_codec.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

/// The lease for claims is replaced after this fraction of its lifetime.
constexpr int lease_renewal_divisor = 24;

/// Value of a claim in the platform's store.
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

/// Encodes one part of a store key with its length, so that different parts
/// cannot produce the same key.
std::string key_part(const std::string& text) {
    return std::to_string(text.size()) + '.' + text + '/';
}

} // namespace

attempt_gate::attempt_gate(attempt_gate_options options, key_ledger& ledger)
    : options_(std::move(options))
    , ledger_(ledger)
    , query_budget_(options_.peer_queries_per_second)
    , claim_budget_(options_.claims_per_second) {}

void attempt_gate::acquire(run_right_query query, steady_time now,
                           command_list& out) {
    pending_search search{.query = std::move(query)};
    search.query_id = options_.self.text() + '/' + options_.boot + '/' +
                      std::to_string(++last_query_);
    pending_search& stored =
        pending_.emplace(search.query_id, search).first->second;
    if (stored.query.attempt == 0) {
        return start_claim(stored, now, out);
    }
    query_last_instance(stored, now, out);
}

void attempt_gate::set_peers(std::vector<instance_id> peers) {
    std::erase(peers, options_.self);
    peers_ = std::move(peers);
    const auto instances = static_cast<double>(peers_.size() + 1);
    claim_budget_.set_rate(
        std::min(options_.claims_per_second,
                 options_.fleet_claims_per_second / instances));
}

void attempt_gate::query_last_instance(pending_search& search, steady_time now,
                                       command_list& out) {
    const instance_id& last = search.query.last_instance;
    if (std::find(peers_.begin(), peers_.end(), last) == peers_.end()) {
        return query_peers(search, now, out);
    }
    search.current_stage = stage::querying_last_instance;
    search.stage_end = now + options_.peer_timeout;
    send_query(search, last, out);
}

void attempt_gate::query_peers(pending_search& search, steady_time now,
                               command_list& out) {
    const std::size_t count = std::min(peers_.size(), options_.max_peers);
    if (count == 0 || !query_budget_.try_spend(now)) {
        return refuse(search, result_code::unknown_attempt_not_remembered,
                      false, now);
    }
    search.current_stage = stage::querying_peers;
    search.stage_end = now + options_.peer_timeout;
    for (std::size_t i = 0; i < count; ++i) {
        send_query(search, peers_[i], out);
    }
}

void attempt_gate::send_query(pending_search& search, const instance_id& peer,
                              command_list& out) {
    search.awaited_peers.insert(peer);
    delivery_message body;
    body.key_queried = key_query{.query_id = search.query_id,
                                 .key = search.query.key,
                                 .attempt = search.query.attempt};
    if (search.current_stage == stage::querying_claimant) {
        body.key_queried->claim = search.claim;
    }
    out.emplace_back(message_to(options_.self, peer, body));
}

void attempt_gate::on_query(const instance_id& from, const key_query& query,
                            steady_time now, command_list& out) {
    const key_record record = ledger_.hand_over(
        query.key, query.query_id, query.attempt, query.claim, now);
    delivery_message body;
    body.key_replied =
        key_reply{.query_id = query.query_id,
                  .state = record.state,
                  .code = record.code,
                  .is_handed_over = record.state == key_state::transferred &&
                                    record.transferred_to == query.query_id};
    if (record.answer) {
        body.key_replied->answer = *record.answer;
    }
    out.emplace_back(message_to(options_.self, from, body));
}

void attempt_gate::on_reply(const instance_id& from, const key_reply& reply,
                            steady_time now, command_list& out) {
    const auto found = pending_.find(reply.query_id);
    // A finished search ignores a late transfer: the right may already have
    // been used.
    if (found == pending_.end() ||
        found->second.awaited_peers.erase(from) == 0) {
        return;
    }
    pending_search& search = found->second;
    if (reply.is_handed_over) {
        return grant_run(search, now);
    }
    if (reply.state == key_state::finished && reply.answer) {
        return finish_with_answer(search, *reply.answer, now);
    }
    if (reply.state == key_state::running) {
        return refuse(search, result_code::unknown_in_progress, false, now);
    }
    if (reply.state == key_state::unknown) {
        const bool is_unknown = classify(reply.code) == result_class::unknown;
        return refuse(search,
                      is_unknown ? reply.code
                                 : result_code::unknown_upstream_lost,
                      false, now);
    }
    if (search.awaited_peers.empty()) {
        finish_stage(search, now, out);
    }
}

void attempt_gate::start_claim(pending_search& search, steady_time now,
                               command_list& out) {
    search.claim = ledger_.find(search.query.key).claim;
    if (search.claim.empty()) {
        search.claim = wire::encode(
            claim_value{.instance = options_.self, .nonce = search.query_id});
        ledger_.note_claim(search.query.key, search.claim);
    }
    if (!claim_budget_.try_spend(now)) {
        return refuse(search, result_code::unknown_earlier_sending, true, now);
    }
    search.stage_end =
        std::min(search.query.deadline, now + options_.claim_timeout);
    if (has_lease(now)) {
        return claim(search, now, out);
    }
    search.current_stage = stage::waiting_for_lease;
    request_lease(now, out);
}

void attempt_gate::claim(pending_search& search, steady_time /*now*/,
                         command_list& out) {
    search.current_stage = stage::claiming;
    static_cast<void>(
        call_platform(search.query_id,
                      compare_and_swap{.key = claim_key(search.query.key),
                                       .value = search.claim,
                                       .lease = lease_},
                      out));
}

void attempt_gate::read_claim(pending_search& search, steady_time /*now*/,
                              command_list& out) {
    search.current_stage = stage::reading;
    static_cast<void>(call_platform(
        search.query_id, read_range{.key = claim_key(search.query.key)}, out));
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
    pending_search& search = found->second;
    if (search.current_stage == stage::claiming) {
        if (reply.answer) {
            on_claimed(search, *reply.answer, now, out);
        } else {
            // The write may have taken effect, so read the claim back.
            read_claim(search, now, out);
        }
    } else if (search.current_stage == stage::reading) {
        if (reply.answer) {
            on_read(search, *reply.answer, now, out);
        } else {
            search.current_stage = stage::retrying_claim;
        }
    }
    return true;
}

void attempt_gate::on_claimed(pending_search& search,
                              const platform_answer& answer, steady_time now,
                              command_list& out) {
    if (answer.has_swapped) {
        return grant_run(search, now);
    }
    read_claim(search, now, out);
}

void attempt_gate::on_read(pending_search& search,
                           const platform_answer& answer, steady_time now,
                           command_list& out) {
    if (answer.values.empty()) {
        // The write may still be in progress; only creating the claim is
        // conclusive.
        search.current_stage = stage::retrying_claim;
        return;
    }
    const std::string& value = answer.values.front().value;
    if (value == search.claim) {
        return grant_run(search, now);
    }
    query_claimant(search, value, now, out);
}

void attempt_gate::query_claimant(pending_search& search,
                                  const std::string& claim, steady_time now,
                                  command_list& out) {
    const auto value = wire::decode<claim_value>(claim);
    const bool is_reachable =
        value && std::find(peers_.begin(), peers_.end(), value->instance) !=
                     peers_.end();
    if (!is_reachable) {
        return refuse(search, result_code::unknown_claimed_elsewhere, false,
                      now);
    }
    search.current_stage = stage::querying_claimant;
    search.claim = claim;
    search.stage_end = now + options_.peer_timeout;
    send_query(search, value->instance, out);
}

bool attempt_gate::has_lease(steady_time now) const {
    return lease_ != 0 && now - lease_granted_ <
                              options_.claim_retention / lease_renewal_divisor;
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
        pending_search& search = (next++)->second;
        if (search.current_stage != stage::waiting_for_lease) {
            continue;
        }
        if (reply.answer) {
            claim(search, now, out);
        } else {
            refuse(search, result_code::unknown_earlier_sending, true, now);
        }
    }
}

std::uint64_t attempt_gate::call_platform(const std::string& query_id,
                                          platform_request request,
                                          command_list& out) {
    const std::uint64_t ticket = ++last_ticket_;
    tickets_.emplace(ticket, query_id);
    out.emplace_back(
        platform_call{.ticket = ticket, .request = std::move(request)});
    return ticket;
}

void attempt_gate::on_tick(steady_time now, command_list& out) {
    for (auto next = pending_.begin(); next != pending_.end();) {
        pending_search& search = (next++)->second;
        if (now >= search.stage_end) {
            finish_stage(search, now, out);
        } else if (search.current_stage == stage::retrying_claim) {
            claim(search, now, out);
        }
    }
}

void attempt_gate::finish_stage(pending_search& search, steady_time now,
                                command_list& out) {
    switch (search.current_stage) {
    case stage::querying_last_instance:
        search.awaited_peers.clear();
        return query_peers(search, now, out);
    case stage::querying_peers:
        return refuse(search, result_code::unknown_attempt_not_remembered,
                      false, now);
    case stage::querying_claimant:
        return refuse(search, result_code::unknown_claimed_elsewhere, false,
                      now);
    case stage::waiting_for_lease:
    case stage::claiming:
    case stage::reading:
    case stage::retrying_claim:
        // This instance may own the claim. Its ledger record says so when
        // another instance reads the claim and queries this one.
        return refuse(search, result_code::unknown_earlier_sending, true, now);
    }
}

void attempt_gate::grant_run(pending_search& search, steady_time now) {
    if (search.current_stage == stage::querying_claimant) {
        ledger_.note_claim(search.query.key, search.claim);
    }
    const bool is_granted = ledger_.grant(search.query.key, now);
    finish(search, {.may_run = is_granted,
                    .code = is_granted ? result_code::ok
                                       : result_code::unknown_in_progress});
}

void attempt_gate::finish_with_answer(pending_search& search,
                                      const recorded_answer& answer,
                                      steady_time now) {
    ledger_.adopt(search.query.key, answer, now);
    finish(search, {.code = answer.code,
                    .answer = std::make_shared<const recorded_answer>(answer)});
}

void attempt_gate::refuse(pending_search& search, result_code code,
                          bool may_hold_right, steady_time now) {
    ledger_.refuse(search.query.key, code, may_hold_right, now);
    finish(search, {.code = code});
}

void attempt_gate::finish(pending_search& search,
                          const run_right_result& answer) {
    const auto done = std::move(search.query.done);
    pending_.erase(search.query_id);
    if (done) {
        done(answer);
    }
}

std::string attempt_gate::claim_key(const call_key& key) const {
    return options_.claim_prefix + key_part(key.service.text()) +
           key_part(key.caller.text()) + key_part(key.key.text());
}

result_code refusal_code_for(result_code code, bool is_keyed,
                             call_attempt attempt) {
    const bool is_reliable = !is_keyed || attempt == 1;
    if (is_reliable || classify(code) != result_class::not_run) {
        return code;
    }
    return result_code::unknown_earlier_sending;
}

} // namespace savorydock

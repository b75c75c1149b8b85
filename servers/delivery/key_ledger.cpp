#include "servers/delivery/key_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorydock {

namespace {

bool is_pinned(key_state state) {
    return state == key_state::running || state == key_state::acquiring_right;
}

key_decision first_decision(call_attempt attempt) {
    key_record record{.state = key_state::acquiring_right, .attempt = attempt};
    if (attempt != 1) {
        return {.verdict = key_verdict::acquire_right, .record = record};
    }
    record.state = key_state::running;
    return {.verdict = key_verdict::run, .record = record};
}

/// The verdict on an attempt whose key has a record.
key_verdict repeated_verdict(const key_record& record, call_attempt attempt) {
    if (is_pinned(record.state)) {
        return key_verdict::in_progress;
    }
    const bool is_later = attempt == 0 || attempt > record.attempt;
    const bool has_right_moved = record.state == key_state::transferred ||
                                 record.state == key_state::right_not_found;
    if (has_right_moved && is_later) {
        return key_verdict::acquire_right;
    }
    if (record.state != key_state::not_run || !is_later) {
        return key_verdict::answer_from_record;
    }
    if (attempt == 0) {
        // It may not be known yet whether this instance owns the claim, so the
        // right must be acquired again.
        return key_verdict::acquire_right;
    }
    return key_verdict::run;
}

std::size_t answer_bytes_of(const key_record& record) {
    return record.answer ? record.answer->body.size() : 0;
}

} // namespace

key_ledger::key_ledger(const key_ledger_options& options)
    : options_(options) {}

key_decision key_ledger::begin(const call_key& key, call_attempt attempt,
                               steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    if (entry* const known = find_entry(target, key)) {
        const key_verdict verdict = repeated_verdict(known->record, attempt);
        if (verdict == key_verdict::run ||
            verdict == key_verdict::acquire_right) {
            known->record.state = verdict == key_verdict::run
                                      ? key_state::running
                                      : key_state::acquiring_right;
            known->record.attempt = attempt;
            touch(target, key, now);
        }
        return {.verdict = verdict, .record = known->record};
    }
    if (!make_room(target, now)) {
        return {.verdict = key_verdict::full, .record = {}};
    }
    key_decision decision = first_decision(attempt);
    target.entries.push_back(
        {.key = key, .record = decision.record, .changed = now});
    target.index.emplace(key, std::prev(target.entries.end()));
    return decision;
}

bool key_ledger::grant(const call_key& key, steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    entry* const known = find_entry(target, key, key_state::acquiring_right);
    if (known == nullptr) {
        return false;
    }
    known->record.state = key_state::running;
    touch(target, key, now);
    return true;
}

void key_ledger::refuse(const call_key& key, result_code code,
                        bool may_hold_right, steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    entry* const known = find_entry(target, key, key_state::acquiring_right);
    if (known == nullptr) {
        return;
    }
    known->record.state =
        may_hold_right ? key_state::not_run : key_state::right_not_found;
    known->record.code = code;
    touch(target, key, now);
}

void key_ledger::note_claim(const call_key& key, std::string nonce) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    if (entry* const known = find_entry(target, key)) {
        known->record.claim = std::move(nonce);
    }
}

void key_ledger::finish(const call_key& key, recorded_answer answer,
                        steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    if (entry* const known = find_entry(target, key, key_state::running)) {
        keep_answer(target, *known, std::move(answer), now);
    }
}

void key_ledger::adopt(const call_key& key, recorded_answer answer,
                       steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    if (entry* const known =
            find_entry(target, key, key_state::acquiring_right)) {
        keep_answer(target, *known, std::move(answer), now);
    }
}

void key_ledger::fail(const call_key& key, result_code code, steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    entry* const known = find_entry(target, key, key_state::running);
    if (known == nullptr) {
        return;
    }
    known->record.state = classify(code) == result_class::not_run
                              ? key_state::not_run
                              : key_state::unknown;
    known->record.code = code;
    touch(target, key, now);
}

key_record key_ledger::hand_over(const call_key& key,
                                 const std::string& query_id,
                                 call_attempt attempt, const std::string& claim,
                                 steady_time now) {
    shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    entry* const known = find_entry(target, key);
    if (known == nullptr) {
        return {};
    }
    key_record& record = known->record;
    // A claim identifies the record. Without a claim, only a later attempt may
    // receive the right.
    const bool may_receive_right =
        claim == record.claim && (!claim.empty() || attempt > record.attempt);
    if (record.state == key_state::not_run && may_receive_right) {
        record.state = key_state::transferred;
        record.transferred_to = query_id;
        record.attempt = attempt;
        // The claim in the store still names this instance, which must not act
        // on it again.
        record.claim.clear();
        touch(target, key, now);
    }
    return record;
}

key_record key_ledger::find(const call_key& key) const {
    const shard& target = shard_of(key);
    const std::scoped_lock guard(target.lock);
    const auto found = target.index.find(key);
    return found == target.index.end() ? key_record{} : found->second->record;
}

std::size_t key_ledger::size() const {
    std::size_t sum = 0;
    for (const shard& target : shards_) {
        const std::scoped_lock guard(target.lock);
        sum += target.entries.size();
    }
    return sum;
}

key_ledger::shard& key_ledger::shard_of(const call_key& key) {
    return shards_[std::hash<call_key>{}(key) % shard_count];
}

const key_ledger::shard& key_ledger::shard_of(const call_key& key) const {
    return shards_[std::hash<call_key>{}(key) % shard_count];
}

key_ledger::entry* key_ledger::find_entry(shard& target,
                                          const call_key& key) const {
    const auto found = target.index.find(key);
    return found == target.index.end() ? nullptr : &*found->second;
}

key_ledger::entry* key_ledger::find_entry(shard& target, const call_key& key,
                                          key_state state) const {
    entry* const known = find_entry(target, key);
    return known != nullptr && known->record.state == state ? known : nullptr;
}

void key_ledger::keep_answer(shard& target, entry& known,
                             recorded_answer answer, steady_time now) const {
    if (answer.body.size() > options_.max_one_answer_bytes) {
        answer.body.clear();
        answer.code = result_code::answer_not_kept;
    }
    known.record.state = key_state::finished;
    known.record.answer =
        std::make_shared<const recorded_answer>(std::move(answer));
    target.answer_bytes += answer_bytes_of(known.record);
    touch(target, known.key, now);
    static_cast<void>(make_room(target, now));
}

void key_ledger::touch(shard& target, const call_key& key,
                       steady_time now) const {
    const auto position = target.index.find(key)->second;
    position->changed = now;
    target.entries.splice(target.entries.end(), target.entries, position);
}

bool key_ledger::make_room(shard& target, steady_time now) const {
    const std::size_t max_records =
        std::max<std::size_t>(1, options_.max_records / shard_count);
    const std::size_t max_bytes = options_.max_answer_bytes / shard_count;
    auto position = target.entries.begin();
    while (position != target.entries.end()) {
        const bool is_expired = now - position->changed >= options_.retention;
        const bool is_over_limit = target.entries.size() >= max_records ||
                                   target.answer_bytes > max_bytes;
        if (!is_expired && !is_over_limit) {
            break;
        }
        const auto next = std::next(position);
        if (!is_pinned(position->record.state)) {
            erase(target, position);
        }
        position = next;
    }
    return target.entries.size() < max_records;
}

void key_ledger::erase(shard& target, entry_list::iterator position) const {
    target.answer_bytes -= answer_bytes_of(position->record);
    target.index.erase(position->key);
    target.entries.erase(position);
}

result_code code_of(const key_record& record) {
    switch (record.state) {
    case key_state::finished:
        return record.answer->code;
    case key_state::not_run:
    case key_state::unknown:
    case key_state::right_not_found:
        return record.code;
    case key_state::transferred:
        return result_code::unknown_claimed_elsewhere;
    case key_state::acquiring_right:
    case key_state::running:
        return result_code::unknown_in_progress;
    case key_state::forgotten:
        break;
    }
    return result_code::unknown_attempt_not_remembered;
}

} // namespace savorydock

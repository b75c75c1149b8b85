#include "servers/delivery/key_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorydock {

namespace {

bool is_pinned(key_state state) {
    return state == key_state::running || state == key_state::asking;
}

key_decision first_decision(call_attempt attempt) {
    key_record record{.state = key_state::asking, .attempt = attempt};
    if (attempt != 1) {
        return {.verdict = key_verdict::ask, .record = record};
    }
    record.state = key_state::running;
    return {.verdict = key_verdict::run, .record = record};
}

/// The verdict on a sending whose key is on record.
key_verdict repeated_verdict(const key_record& record, call_attempt attempt) {
    if (is_pinned(record.state)) {
        return key_verdict::in_progress;
    }
    const bool is_later = attempt == 0 || attempt > record.attempt;
    const bool has_left = record.state == key_state::transferred ||
                          record.state == key_state::elsewhere;
    if (has_left && is_later) {
        return key_verdict::ask;
    }
    if (record.state != key_state::not_run || !is_later) {
        return key_verdict::answer_from_record;
    }
    if (attempt == 0) {
        // The claim may not be known to be ours, so it is sought again.
        return key_verdict::ask;
    }
    return key_verdict::run;
}

std::size_t kept_bytes(const key_record& record) {
    return record.answer ? record.answer->body.size() : 0;
}

} // namespace

key_ledger::key_ledger(const key_ledger_options& options)
    : options_(options) {}

key_decision key_ledger::begin(const call_key& key, call_attempt attempt,
                               steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    if (entry* const known = find_entry(where, key)) {
        const key_verdict verdict = repeated_verdict(known->record, attempt);
        if (verdict == key_verdict::run || verdict == key_verdict::ask) {
            known->record.state = verdict == key_verdict::run
                                      ? key_state::running
                                      : key_state::asking;
            known->record.attempt = attempt;
            touch(where, key, now);
        }
        return {.verdict = verdict, .record = known->record};
    }
    if (!make_room(where, now)) {
        return {.verdict = key_verdict::full, .record = {}};
    }
    key_decision decision = first_decision(attempt);
    where.entries.push_back(
        {.key = key, .record = decision.record, .changed = now});
    where.index.emplace(key, std::prev(where.entries.end()));
    return decision;
}

bool key_ledger::grant(const call_key& key, steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    entry* const known = find_entry(where, key, key_state::asking);
    if (known == nullptr) {
        return false;
    }
    known->record.state = key_state::running;
    touch(where, key, now);
    return true;
}

void key_ledger::refuse(const call_key& key, result_code code,
                        bool right_is_here, steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    entry* const known = find_entry(where, key, key_state::asking);
    if (known == nullptr) {
        return;
    }
    known->record.state =
        right_is_here ? key_state::not_run : key_state::elsewhere;
    known->record.code = code;
    touch(where, key, now);
}

void key_ledger::note_claim(const call_key& key, std::string nonce) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    if (entry* const known = find_entry(where, key)) {
        known->record.claim = std::move(nonce);
    }
}

void key_ledger::finish(const call_key& key, recorded_answer answer,
                        steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    if (entry* const known = find_entry(where, key, key_state::running)) {
        keep_answer(where, *known, std::move(answer), now);
    }
}

void key_ledger::adopt(const call_key& key, recorded_answer answer,
                       steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    if (entry* const known = find_entry(where, key, key_state::asking)) {
        keep_answer(where, *known, std::move(answer), now);
    }
}

void key_ledger::fail(const call_key& key, result_code code, steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    entry* const known = find_entry(where, key, key_state::running);
    if (known == nullptr) {
        return;
    }
    known->record.state = classify(code) == result_class::not_run
                              ? key_state::not_run
                              : key_state::unknown;
    known->record.code = code;
    touch(where, key, now);
}

key_record key_ledger::hand_over(const call_key& key, const std::string& ask,
                                 call_attempt attempt, const std::string& claim,
                                 steady_time now) {
    shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    entry* const known = find_entry(where, key);
    if (known == nullptr) {
        return {};
    }
    key_record& record = known->record;
    // A claim names its record; without one only a later attempt may ask.
    const bool is_asker_later =
        claim == record.claim && (!claim.empty() || attempt > record.attempt);
    if (record.state == key_state::not_run && is_asker_later) {
        record.state = key_state::transferred;
        record.transferred_to = ask;
        record.attempt = attempt;
        // The claim in the store still names us; we must not act on it again.
        record.claim.clear();
        touch(where, key, now);
    }
    return record;
}

key_record key_ledger::find(const call_key& key) const {
    const shard& where = shard_of(key);
    const std::scoped_lock guard(where.lock);
    const auto found = where.index.find(key);
    return found == where.index.end() ? key_record{} : found->second->record;
}

std::size_t key_ledger::size() const {
    std::size_t sum = 0;
    for (const shard& where : shards_) {
        const std::scoped_lock guard(where.lock);
        sum += where.entries.size();
    }
    return sum;
}

key_ledger::shard& key_ledger::shard_of(const call_key& key) {
    return shards_[std::hash<call_key>{}(key) % shard_count];
}

const key_ledger::shard& key_ledger::shard_of(const call_key& key) const {
    return shards_[std::hash<call_key>{}(key) % shard_count];
}

key_ledger::entry* key_ledger::find_entry(shard& where,
                                          const call_key& key) const {
    const auto found = where.index.find(key);
    return found == where.index.end() ? nullptr : &*found->second;
}

key_ledger::entry* key_ledger::find_entry(shard& where, const call_key& key,
                                          key_state state) const {
    entry* const known = find_entry(where, key);
    return known != nullptr && known->record.state == state ? known : nullptr;
}

void key_ledger::keep_answer(shard& where, entry& known, recorded_answer answer,
                             steady_time now) const {
    if (answer.body.size() > options_.max_one_answer_bytes) {
        answer.body.clear();
        answer.code = result_code::answer_not_kept;
    }
    known.record.state = key_state::finished;
    known.record.answer =
        std::make_shared<const recorded_answer>(std::move(answer));
    where.answer_bytes += kept_bytes(known.record);
    touch(where, known.key, now);
    static_cast<void>(make_room(where, now));
}

void key_ledger::touch(shard& where, const call_key& key,
                       steady_time now) const {
    const auto position = where.index.find(key)->second;
    position->changed = now;
    where.entries.splice(where.entries.end(), where.entries, position);
}

bool key_ledger::make_room(shard& where, steady_time now) const {
    const std::size_t max_records =
        std::max<std::size_t>(1, options_.max_records / shard_count);
    const std::size_t max_bytes = options_.max_answer_bytes / shard_count;
    auto position = where.entries.begin();
    while (position != where.entries.end()) {
        const bool is_old = now - position->changed >= options_.retention;
        const bool is_over = where.entries.size() >= max_records ||
                             where.answer_bytes > max_bytes;
        if (!is_old && !is_over) {
            break;
        }
        const auto next = std::next(position);
        if (!is_pinned(position->record.state)) {
            erase(where, position);
        }
        position = next;
    }
    return where.entries.size() < max_records;
}

void key_ledger::erase(shard& where, entry_list::iterator position) const {
    where.answer_bytes -= kept_bytes(position->record);
    where.index.erase(position->key);
    where.entries.erase(position);
}

result_code code_of(const key_record& record) {
    switch (record.state) {
    case key_state::finished:
        return record.answer->code;
    case key_state::not_run:
    case key_state::unknown:
    case key_state::elsewhere:
        return record.code;
    case key_state::transferred:
        return result_code::unknown_claimed_elsewhere;
    case key_state::asking:
    case key_state::running:
        return result_code::unknown_in_progress;
    case key_state::forgotten:
        break;
    }
    return result_code::unknown_attempt_not_remembered;
}

} // namespace savorydock

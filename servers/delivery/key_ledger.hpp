#pragma once

#include "core/clock.hpp"
#include "core/result_code.hpp"
#include "servers/delivery/call_key.hpp"

#include <boost/describe/class.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace savorydock {

/// The caller's number of a sending of one key, from 1 on. Each sending must
/// have its own; 0 stands for a caller that does not number them.
using call_attempt = std::uint32_t;

/// An upstream's answer as it is kept for repeated sendings.
struct recorded_answer {
    result_code code = result_code::ok;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};
BOOST_DESCRIBE_STRUCT(recorded_answer, (), (code, status, content_type, body))

/// What an instance remembers of a key.
enum class key_state : std::uint8_t {
    forgotten,
    /// The right to run the key is being sought; nothing runs.
    asking,
    /// An upstream may have begun.
    running,
    /// No upstream began: this instance holds the right to run the key.
    not_run,
    /// The answer is on record.
    finished,
    /// It ran or may have run and there is no answer.
    unknown,
    /// The right to run went to another instance.
    transferred,
    /// It never ran here, and the right to run was not found.
    elsewhere,
};

struct key_record {
    key_state state = key_state::forgotten;
    call_attempt attempt = 0;
    /// Why the last attempt ended, for `not_run` and `unknown`.
    result_code code = result_code::ok;
    /// Set when `finished`.
    std::shared_ptr<const recorded_answer> answer;
    /// The nonce of a claim in the platform's store, empty without one.
    std::string claim;
    /// The ask that the right to run was handed to.
    std::string transferred_to;
};

/// What a new sending may do.
enum class key_verdict : std::uint8_t {
    /// It may run; the ledger holds it as `running`.
    run,
    /// The record answers it.
    answer_from_record,
    /// An earlier sending runs or is being decided.
    in_progress,
    /// The right to run has to be sought first; the ledger holds `asking`.
    ask,
    /// The ledger is full of running keys.
    full,
};

struct key_decision {
    key_verdict verdict = key_verdict::full;
    key_record record;
};

struct key_ledger_options {
    std::size_t max_records = 65'536;
    std::size_t max_answer_bytes = 33'554'432;
    /// Larger answers are not kept; a repeat then learns only that it ran.
    std::size_t max_one_answer_bytes = 262'144;
    /// Must exceed every caller's deadline, its repeats included.
    std::chrono::milliseconds retention{900'000};
};

/// The keys of non-idempotent calls that one instance remembers.
///
/// At most one instance holds the right to run a key: attempt 1 makes it,
/// running uses it up, an end with "not run" gives it back and `hand_over`
/// moves it. What the ledger forgets is never run again: later attempts of a
/// forgotten key must find the right elsewhere or end as unknown. Records of
/// running keys are never forgotten while the process lives.
///
/// Thread safe: shards with a lock each, which is never held over I/O.
class key_ledger {
public:
    explicit key_ledger(const key_ledger_options& options);

    /// Decides over a sending. Precondition: no two sendings of one key share
    /// an attempt number but 0.
    [[nodiscard]] key_decision begin(const call_key& key, call_attempt attempt,
                                     steady_time now);

    /// Ends `asking` with the right to run: the key is `running` after it.
    /// Returns false if the key is not being asked for.
    [[nodiscard]] bool grant(const call_key& key, steady_time now);

    /// Ends `asking` without a run. `right_is_here` says that this instance
    /// may hold the right to run all the same.
    void refuse(const call_key& key, result_code code, bool right_is_here,
                steady_time now);

    /// Ends `asking` with the answer that another instance has on record.
    void adopt(const call_key& key, recorded_answer answer, steady_time now);

    /// Notes the nonce that claims the key in the platform's store.
    void note_claim(const call_key& key, std::string nonce);

    /// Ends `running`: with an answer, as not run, or as unknown. A code of
    /// class `not_run` must mean that no byte was handed to any socket.
    void finish(const call_key& key, recorded_answer answer, steady_time now);
    void fail(const call_key& key, result_code code, steady_time now);

    /// Moves the right to run to another instance's ask, once. Returns the
    /// record; the right moved only if its state is `transferred` and
    /// `transferred_to` is `ask`. The same ask may be repeated. With a claim
    /// nonce, only the record of that claim is moved.
    [[nodiscard]] key_record
    hand_over(const call_key& key, const std::string& ask, call_attempt attempt,
              const std::string& claim, steady_time now);

    [[nodiscard]] key_record find(const call_key& key) const;
    [[nodiscard]] std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct entry {
        call_key key;
        key_record record;
        steady_time changed{};
    };
    /// Oldest change first.
    using entry_list = std::list<entry>;

    struct shard {
        mutable std::mutex lock;
        entry_list entries;
        std::unordered_map<call_key, entry_list::iterator> index;
        std::size_t answer_bytes = 0;
    };

    [[nodiscard]] shard& shard_of(const call_key& key);
    [[nodiscard]] const shard& shard_of(const call_key& key) const;
    [[nodiscard]] entry* find_entry(shard& where, const call_key& key) const;
    [[nodiscard]] entry* find_entry(shard& where, const call_key& key,
                                    key_state state) const;
    void keep_answer(shard& where, entry& known, recorded_answer answer,
                     steady_time now) const;
    void touch(shard& where, const call_key& key, steady_time now) const;
    [[nodiscard]] bool make_room(shard& where, steady_time now) const;
    void erase(shard& where, entry_list::iterator position) const;

    key_ledger_options options_;
    std::array<shard, shard_count> shards_;
};

/// The code that a sending learns from a record that answers it.
/// Precondition: the record is not forgotten. Thread safe.
[[nodiscard]] result_code code_of(const key_record& record);

} // namespace savorydock

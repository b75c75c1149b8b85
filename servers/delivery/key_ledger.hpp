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

/// The caller's number of an attempt to send the call of one key, from 1. Each
/// attempt must have its own number; 0 if the caller does not number attempts.
using call_attempt = std::uint32_t;

/// An upstream's answer, recorded to answer repeated attempts.
struct recorded_answer {
    result_code code = result_code::ok;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};
BOOST_DESCRIBE_STRUCT(recorded_answer, (), (code, status, content_type, body))

/// State of a key on one instance.
enum class key_state : std::uint8_t {
    forgotten,
    /// This instance is trying to acquire the right to run; nothing is running.
    acquiring_right,
    /// An upstream may have started the call.
    running,
    /// No upstream has started the call: this instance holds the right to run.
    not_run,
    /// The answer is recorded.
    finished,
    /// The call ran or may have run, but there is no answer.
    unknown,
    /// The right to run was transferred to another instance.
    transferred,
    /// The call never ran on this instance, and the right to run could not be
    /// acquired.
    right_not_found,
};

struct key_record {
    key_state state = key_state::forgotten;
    call_attempt attempt = 0;
    /// Why the last attempt ended without an answer.
    result_code code = result_code::ok;
    /// Set when `finished`.
    std::shared_ptr<const recorded_answer> answer;
    /// Nonce of the key's claim in the platform's store; empty if none.
    std::string claim;
    /// Id of the query to which the right to run was transferred.
    std::string transferred_to;
};

/// How to proceed with a new attempt.
enum class key_verdict : std::uint8_t {
    /// Run the call; the ledger has set the key to `running`.
    run,
    /// Return the recorded result.
    answer_from_record,
    /// An earlier attempt is running or is acquiring the right to run.
    in_progress,
    /// Acquire the right to run first; the ledger has set the key to
    /// `acquiring_right`.
    acquire_right,
    /// The ledger has no space left: it is full of running keys.
    full,
};

struct key_decision {
    key_verdict verdict = key_verdict::full;
    key_record record;
};

struct key_ledger_options {
    std::size_t max_records = 65'536;
    std::size_t max_answer_bytes = 33'554'432;
    /// Larger answers are not kept; a repeated attempt then learns only that
    /// the call ran.
    std::size_t max_one_answer_bytes = 262'144;
    /// Must exceed every caller's deadline, including its retries.
    std::chrono::milliseconds retention{900'000};
};

/// Records the keys of non-idempotent calls on one instance, so that each call
/// runs at most once.
///
/// At most one instance holds the right to run a key. Attempt 1 creates the
/// right, a run consumes it, a run that ends as "not run" restores it and
/// `hand_over` transfers it. A key whose record was evicted never runs from
/// this ledger alone: later attempts must acquire the right from another
/// instance or end as unknown. Records of running keys are not evicted while
/// the process runs.
///
/// Thread safe: each shard has its own lock, which is never held during I/O.
class key_ledger {
public:
    explicit key_ledger(const key_ledger_options& options);

    /// Decides how to proceed with an attempt. Precondition: no two attempts of
    /// one key have the same number, except 0.
    [[nodiscard]] key_decision begin(const call_key& key, call_attempt attempt,
                                     steady_time now);

    /// Changes a key from `acquiring_right` to `running` after the right was
    /// acquired. Returns false if the key is in another state.
    [[nodiscard]] bool grant(const call_key& key, steady_time now);

    /// Ends `acquiring_right` without a run. Pass `may_hold_right` if this
    /// instance may hold the right to run nevertheless.
    void refuse(const call_key& key, result_code code, bool may_hold_right,
                steady_time now);

    /// Ends `acquiring_right` with the answer that another instance recorded.
    void adopt(const call_key& key, recorded_answer answer, steady_time now);

    /// Stores the nonce of the key's claim in the platform's store.
    void note_claim(const call_key& key, std::string nonce);

    /// End `running`: with an answer, or with a code as `not_run` or `unknown`.
    /// Use a code of class `not_run` only if no byte of the request was handed
    /// to any socket, or the upstream refused it before processing.
    void finish(const call_key& key, recorded_answer answer, steady_time now);
    void fail(const call_key& key, result_code code, steady_time now);

    /// Transfers the right to run to a query of another instance, at most once.
    /// Returns the record; the right was transferred only if its state is
    /// `transferred` and `transferred_to` equals `query_id`. The same query may
    /// be repeated. With a claim nonce, the right is transferred only if the
    /// record has that claim.
    [[nodiscard]] key_record
    hand_over(const call_key& key, const std::string& query_id,
              call_attempt attempt, const std::string& claim, steady_time now);

    [[nodiscard]] key_record find(const call_key& key) const;
    [[nodiscard]] std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct entry {
        call_key key;
        key_record record;
        steady_time changed{};
    };
    /// Ordered by last change, oldest first.
    using entry_list = std::list<entry>;

    struct shard {
        mutable std::mutex lock;
        entry_list entries;
        std::unordered_map<call_key, entry_list::iterator> index;
        std::size_t answer_bytes = 0;
    };

    [[nodiscard]] shard& shard_of(const call_key& key);
    [[nodiscard]] const shard& shard_of(const call_key& key) const;
    [[nodiscard]] entry* find_entry(shard& target, const call_key& key) const;
    [[nodiscard]] entry* find_entry(shard& target, const call_key& key,
                                    key_state state) const;
    void keep_answer(shard& target, entry& known, recorded_answer answer,
                     steady_time now) const;
    void touch(shard& target, const call_key& key, steady_time now) const;
    [[nodiscard]] bool make_room(shard& target, steady_time now) const;
    void erase(shard& target, entry_list::iterator position) const;

    key_ledger_options options_;
    std::array<shard, shard_count> shards_;
};

/// The result code to return for an attempt that is answered from a record.
/// Precondition: the record is not `forgotten`. Thread safe.
[[nodiscard]] result_code code_of(const key_record& record);

} // namespace savorydock

#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/control_server.hpp"
#include "servers/delivery/delivery_message.hpp"
#include "servers/delivery/key_ledger.hpp"
#include "servers/delivery/rate_budget.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

/// Whether a sending may run, or what it learns instead.
struct right_answer {
    /// The ledger holds the key as `running`; the run must be ended there.
    bool may_run = false;
    result_code code = result_code::ok;
    /// The recorded answer of an earlier sending, if there is one.
    std::shared_ptr<const recorded_answer> answer;
};

/// A sending whose right to run has to be sought.
struct right_query {
    call_key key;
    /// 0: the caller does not number its sendings, so a claim is made.
    call_attempt attempt = 0;
    /// The instance that the caller's last sending reached, if it says so.
    instance_id last_instance;
    steady_time deadline{};
    /// Called once, on the control thread.
    std::function<void(const right_answer&)> done;
};

struct attempt_gate_options {
    instance_id self;
    /// Unique over the restarts of this instance.
    std::string boot;
    /// How long peers have to answer.
    std::chrono::milliseconds peer_wait{250};
    /// How long a claim may stay undecided.
    std::chrono::milliseconds claim_wait{2'000};
    /// Questions to all peers that this instance may put.
    double asks_per_second = 2;
    /// Peers that one question goes to.
    std::size_t max_peers = 256;
    /// Claims that this instance may put to the platform's store, and those
    /// of all instances together, split evenly.
    double claims_per_second = 2;
    double fleet_claims_per_second = 60;
    /// How long claims stay in the store; must exceed every caller's repeats.
    std::chrono::seconds claim_retention{86'400};
    std::string claim_prefix = "/savorydock/claims/";
};

/// Seeks the right to run a non-idempotent call for a sending that its own
/// instance does not remember: from peers for numbered sendings, by a claim in
/// the platform's store for the others.
///
/// Nothing runs on a timeout, and no clock or lease decides over a run: the
/// right is one token, made by attempt 1 or by the creation of the claim, and
/// moved by `key_ledger::hand_over` only. A right whose reply is lost is lost;
/// the key then ends as unknown. Used on the control thread only.
class attempt_gate {
public:
    attempt_gate(attempt_gate_options options, key_ledger& ledger);

    /// Takes a sending for which `key_ledger::begin` said `ask`.
    void seek(right_query query, steady_time now, command_list& out);

    /// The living peers, the nearest first.
    void set_peers(std::vector<instance_id> peers);

    void on_ask(const instance_id& from, const key_ask& ask, steady_time now,
                command_list& out);
    void on_reply(const instance_id& from, const key_reply& reply,
                  steady_time now, command_list& out);
    /// Returns false if the ticket is not of this gate.
    bool on_platform_reply(const platform_reply& reply, steady_time now,
                           command_list& out);
    void on_tick(steady_time now, command_list& out);

    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    enum class stage : std::uint8_t {
        asking_one,
        asking_all,
        waiting_for_lease,
        claiming,
        reading,
        pausing,
        asking_claimant,
    };

    struct search {
        right_query query;
        std::string ask;
        stage at = stage::asking_all;
        steady_time stage_end{};
        std::set<instance_id> waiting;
        /// Our nonce, or the claimant's as read in the store.
        std::string claim;
    };
    using search_map = std::map<std::string, search>;

    void ask_next(search& one, steady_time now, command_list& out);
    void ask_all(search& one, steady_time now, command_list& out);
    void send_ask(search& one, const instance_id& peer, command_list& out);
    void start_claim(search& one, steady_time now, command_list& out);
    void claim(search& one, steady_time now, command_list& out);
    void read_claim(search& one, steady_time now, command_list& out);
    void on_claimed(search& one, const platform_answer& answer, steady_time now,
                    command_list& out);
    void on_read(search& one, const platform_answer& answer, steady_time now,
                 command_list& out);
    void ask_claimant(search& one, const std::string& claim, steady_time now,
                      command_list& out);
    void request_lease(steady_time now, command_list& out);
    void on_lease(const platform_reply& reply, steady_time now,
                  command_list& out);
    [[nodiscard]] bool has_lease(steady_time now) const;
    [[nodiscard]] std::uint64_t call_platform(const std::string& ask,
                                              platform_request request,
                                              command_list& out);
    void pass_stage_end(search& one, steady_time now, command_list& out);
    void give_right(search& one, steady_time now);
    void give_answer(search& one, const recorded_answer& answer,
                     steady_time now);
    void refuse(search& one, result_code code, bool right_is_here,
                steady_time now);
    void finish(search& one, const right_answer& answer);
    [[nodiscard]] std::string claim_key(const call_key& key) const;

    attempt_gate_options options_;
    key_ledger& ledger_;
    std::vector<instance_id> peers_;
    search_map pending_;
    std::map<std::uint64_t, std::string> tickets_;
    std::uint64_t last_ticket_ = 0;
    std::uint64_t last_ask_ = 0;
    std::uint64_t lease_ticket_ = 0;
    std::uint64_t lease_ = 0;
    steady_time lease_granted_{};
    rate_budget ask_budget_;
    rate_budget claim_budget_;
};

/// The code for a refusal of a sending that was decided before its key was
/// looked up. "Not run" would be believed of the key, of which an earlier
/// sending may have run; so only attempt 1, and calls without a key, keep it.
/// Thread safe.
[[nodiscard]] result_code refusal_of(result_code code, bool is_keyed,
                                     call_attempt attempt);

} // namespace savorydock

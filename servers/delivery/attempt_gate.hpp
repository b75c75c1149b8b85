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

/// Whether an attempt may run the call; otherwise the result to return.
struct run_right_result {
    /// The ledger has set the key to `running`; the caller of the gate must end
    /// the run there.
    bool may_run = false;
    result_code code = result_code::ok;
    /// The recorded answer of an earlier attempt, if any.
    std::shared_ptr<const recorded_answer> answer;
};

/// An attempt that must acquire the right to run its call.
struct run_right_query {
    call_key key;
    /// 0 if the caller does not number its attempts; the right is then acquired
    /// by a claim in the platform's store.
    call_attempt attempt = 0;
    /// The instance that the caller's previous attempt reached, if the caller
    /// reports it.
    instance_id last_instance;
    steady_time deadline{};
    /// Called once, on the control thread.
    std::function<void(const run_right_result&)> done;
};

struct attempt_gate_options {
    instance_id self;
    /// Unique over the restarts of this instance.
    std::string boot;
    /// How long to wait for replies of peers.
    std::chrono::milliseconds peer_timeout{250};
    /// How long to wait for the outcome of a claim.
    std::chrono::milliseconds claim_timeout{2'000};
    /// Maximum rate of queries that go to all peers.
    double peer_queries_per_second = 2;
    /// Maximum number of peers that receive one query.
    std::size_t max_peers = 256;
    /// Maximum rate of claims in the platform's store: of this instance, and of
    /// all instances together, divided evenly between them.
    double claims_per_second = 2;
    double fleet_claims_per_second = 60;
    /// How long claims stay in the store. Must exceed the time within which any
    /// caller retries.
    std::chrono::seconds claim_retention{86'400};
    std::string claim_prefix = "/savorydock/claims/";
};

/// Acquires the right to run a non-idempotent call when this instance has no
/// record of the key: from peers for numbered attempts, or by a claim in the
/// platform's store for attempts without a number.
///
/// A timeout never permits a run, and neither a clock nor a lease decides
/// whether a call runs. There is one right per key; it is created by attempt 1
/// or by the creation of the claim, and only `key_ledger::hand_over` transfers
/// it. If the reply that transfers it is lost, so is the right, and the key
/// ends as unknown. Use on the control thread only.
class attempt_gate {
public:
    attempt_gate(attempt_gate_options options, key_ledger& ledger);

    /// Starts the search for an attempt for which `key_ledger::begin` returned
    /// `acquire_right`.
    void acquire(run_right_query query, steady_time now, command_list& out);

    /// Sets the live peers, nearest first.
    void set_peers(std::vector<instance_id> peers);

    void on_query(const instance_id& from, const key_query& query,
                  steady_time now, command_list& out);
    void on_reply(const instance_id& from, const key_reply& reply,
                  steady_time now, command_list& out);
    /// Returns false if the ticket does not belong to this gate.
    bool on_platform_reply(const platform_reply& reply, steady_time now,
                           command_list& out);
    void on_tick(steady_time now, command_list& out);

    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    enum class stage : std::uint8_t {
        querying_last_instance,
        querying_peers,
        waiting_for_lease,
        claiming,
        reading,
        retrying_claim,
        querying_claimant,
    };

    struct pending_search {
        run_right_query query;
        std::string query_id;
        stage current_stage = stage::querying_peers;
        steady_time stage_end{};
        std::set<instance_id> awaited_peers;
        /// Nonce of this instance's claim, or the claim read from the store.
        std::string claim;
    };
    using search_map = std::map<std::string, pending_search>;

    void query_last_instance(pending_search& search, steady_time now,
                             command_list& out);
    void query_peers(pending_search& search, steady_time now,
                     command_list& out);
    void send_query(pending_search& search, const instance_id& peer,
                    command_list& out);
    void start_claim(pending_search& search, steady_time now,
                     command_list& out);
    void claim(pending_search& search, steady_time now, command_list& out);
    void read_claim(pending_search& search, steady_time now, command_list& out);
    void on_claimed(pending_search& search, const platform_answer& answer,
                    steady_time now, command_list& out);
    void on_read(pending_search& search, const platform_answer& answer,
                 steady_time now, command_list& out);
    void query_claimant(pending_search& search, const std::string& claim,
                        steady_time now, command_list& out);
    void request_lease(steady_time now, command_list& out);
    void on_lease(const platform_reply& reply, steady_time now,
                  command_list& out);
    [[nodiscard]] bool has_lease(steady_time now) const;
    [[nodiscard]] std::uint64_t call_platform(const std::string& query_id,
                                              platform_request request,
                                              command_list& out);
    void finish_stage(pending_search& search, steady_time now,
                      command_list& out);
    void grant_run(pending_search& search, steady_time now);
    void finish_with_answer(pending_search& search,
                            const recorded_answer& answer, steady_time now);
    void refuse(pending_search& search, result_code code, bool may_hold_right,
                steady_time now);
    void finish(pending_search& search, const run_right_result& answer);
    [[nodiscard]] std::string claim_key(const call_key& key) const;

    attempt_gate_options options_;
    key_ledger& ledger_;
    std::vector<instance_id> peers_;
    search_map pending_;
    std::map<std::uint64_t, std::string> tickets_;
    std::uint64_t last_ticket_ = 0;
    std::uint64_t last_query_ = 0;
    std::uint64_t lease_ticket_ = 0;
    std::uint64_t lease_ = 0;
    steady_time lease_granted_{};
    rate_budget query_budget_;
    rate_budget claim_budget_;
};

/// The result code for an attempt that is refused before its key is looked up.
/// A caller takes "not run" as a statement about the key, but an earlier
/// attempt may have run. Only attempt 1 and calls without a key therefore keep
/// a code of class `not_run`. Thread safe.
[[nodiscard]] result_code refusal_code_for(result_code code, bool is_keyed,
                                           call_attempt attempt);

} // namespace savorydock

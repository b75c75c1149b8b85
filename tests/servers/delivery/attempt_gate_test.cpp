#include "core/wire_codec.hpp"
#include "servers/delivery/attempt_gate.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace savorydock {

using namespace std::chrono_literals;

namespace {

/// Simulates instances with ledgers and gates that share one store, and one
/// caller that repeatedly sends the same key to any instance. Messages are
/// lost, duplicated, reordered and delayed, writes take effect after their
/// failure was reported, and instances crash. Checks that the call begins at
/// most once.
class gate_simulation {
public:
    explicit gate_simulation(bool is_numbered)
        : is_numbered_(is_numbered) {
        for (int i = 0; i < node_count; ++i) {
            restart(static_cast<std::size_t>(i));
        }
    }

    void restart(std::size_t node_index) {
        if (nodes_.size() <= node_index) {
            nodes_.resize(node_index + 1);
        }
        node& target = nodes_[node_index];
        target = {};
        target.boot = ++boots_;
        target.ledger = std::make_unique<key_ledger>(key_ledger_options{});
        target.gate = std::make_unique<attempt_gate>(
            attempt_gate_options{.self = name_of_node(node_index),
                                 .boot = std::to_string(target.boot),
                                 .peer_queries_per_second = 1000,
                                 .claims_per_second = 1000},
            *target.ledger);
        target.gate->set_peers(
            {name_of_node(0), name_of_node(1), name_of_node(2)});
        std::erase_if(runs_, [&](const run& each) {
            return each.node_index == node_index;
        });
        std::erase_if(calls_, [&](const call& each) {
            return each.node_index == node_index;
        });
    }

    /// Sends the caller's next attempt to an instance.
    void send(std::size_t node_index) {
        node& target = nodes_[node_index];
        const call_attempt attempt = is_numbered_ ? ++last_attempt_ : 0;
        const auto decision = target.ledger->begin(key_, attempt, now_);
        if (decision.verdict == key_verdict::run) {
            start_run(node_index);
        } else if (decision.verdict == key_verdict::acquire_right) {
            acquire(node_index, attempt);
        } else {
            note_result(code_of(decision.record));
        }
    }

    void deliver(std::size_t which, bool is_kept) {
        if (messages_.empty()) {
            return;
        }
        const auto position = messages_.begin() + static_cast<std::ptrdiff_t>(
                                                      which % messages_.size());
        const peer_message message = *position;
        if (!is_kept) {
            messages_.erase(position);
        }
        const std::size_t node_index = std::stoul(message.to.text());
        const auto body = wire::decode<delivery_message>(message.body);
        command_list out;
        if (body->key_queried) {
            nodes_[node_index].gate->on_query(message.from, *body->key_queried,
                                              now_, out);
        }
        if (body->key_replied) {
            nodes_[node_index].gate->on_reply(message.from, *body->key_replied,
                                              now_, out);
        }
        execute(node_index, out);
    }

    void drop(std::size_t which) {
        if (!messages_.empty()) {
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(
                                                    which % messages_.size()));
        }
    }

    void tick(std::chrono::milliseconds step) {
        now_ += step;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            command_list out;
            nodes_[i].gate->on_tick(now_, out);
            execute(i, out);
        }
    }

    enum class store_behavior : std::uint8_t { answers, loses_answer, is_late };

    void serve_store(std::size_t which, store_behavior behavior) {
        if (calls_.empty()) {
            return;
        }
        const auto position =
            calls_.begin() + static_cast<std::ptrdiff_t>(which % calls_.size());
        const call one = *position;
        calls_.erase(position);
        outcome<platform_answer> answer =
            failure{result_code::platform_unreachable, ""};
        if (behavior == store_behavior::is_late) {
            late_writes_.push_back(one);
        } else {
            const platform_answer served = apply(one.body.request);
            if (behavior == store_behavior::answers) {
                answer = served;
            }
        }
        command_list out;
        nodes_[one.node_index].gate->on_platform_reply(
            {.ticket = one.body.ticket, .answer = answer}, now_, out);
        execute(one.node_index, out);
    }

    void apply_late_writes() {
        for (const call& one : std::exchange(late_writes_, {})) {
            apply(one.body.request);
        }
    }

    enum class run_end : std::uint8_t { begin, not_run, finish, lose };

    void end_run(std::size_t which, run_end end) {
        if (runs_.empty()) {
            return;
        }
        run& one = runs_[which % runs_.size()];
        key_ledger& ledger = *nodes_[one.node_index].ledger;
        if (end == run_end::begin) {
            begun_ += one.is_begun ? 0 : 1;
            one.is_begun = true;
            RC_ASSERT(begun_ <= 1);
            return;
        }
        if (one.is_begun == (end == run_end::not_run)) {
            return;
        }
        if (end == run_end::finish) {
            ledger.finish(key_, {.status = 201, .body = "done"}, now_);
        } else if (end == run_end::lose) {
            ledger.fail(key_, result_code::unknown_upstream_lost, now_);
        } else {
            ledger.fail(key_, result_code::not_run_no_upstream, now_);
            note_result(result_code::not_run_no_upstream);
        }
        runs_.erase(runs_.begin() +
                    static_cast<std::ptrdiff_t>(which % runs_.size()));
    }

    /// Delivers all messages and store calls in order, without faults.
    void settle() {
        for (int i = 0; i < 200; ++i) {
            deliver(0, false);
            serve_store(0, store_behavior::answers);
            if (messages_.empty() && calls_.empty()) {
                tick(50ms);
            }
        }
    }

    [[nodiscard]] int begun() const { return begun_; }
    [[nodiscard]] std::size_t runs() const { return runs_.size(); }
    [[nodiscard]] result_code last_result() const { return last_result_; }
    [[nodiscard]] const std::deque<peer_message>& messages() const {
        return messages_;
    }
    [[nodiscard]] std::size_t calls() const { return calls_.size(); }

private:
    static constexpr int node_count = 3;

    struct node {
        int boot = 0;
        std::unique_ptr<key_ledger> ledger;
        std::unique_ptr<attempt_gate> gate;
    };
    struct run {
        std::size_t node_index = 0;
        bool is_begun = false;
    };
    struct call {
        std::size_t node_index = 0;
        platform_call body;
    };

    static instance_id name_of_node(std::size_t node_index) {
        return instance_id(std::to_string(node_index));
    }

    void acquire(std::size_t node_index, call_attempt attempt) {
        command_list out;
        const auto done = [this, node_index](const run_right_result& answer) {
            if (answer.may_run) {
                start_run(node_index);
            } else {
                note_result(answer.code);
            }
        };
        nodes_[node_index].gate->acquire({.key = key_,
                                          .attempt = attempt,
                                          .deadline = now_ + 10s,
                                          .done = done},
                                         now_, out);
        execute(node_index, out);
    }

    void start_run(std::size_t node_index) {
        runs_.push_back({node_index, false});
        RC_ASSERT(runs_.size() == 1U);
        RC_ASSERT(begun_ == 0);
    }

    void note_result(result_code code) {
        last_result_ = code;
        if (classify(code) == result_class::not_run) {
            RC_ASSERT(begun_ == 0);
        }
        RC_ASSERT(code != result_code::ok || begun_ == 1);
    }

    platform_answer apply(const platform_request& request) {
        platform_answer answer{.revision = 1, .lease = 9};
        if (const auto* const write = std::get_if<compare_and_swap>(&request)) {
            RC_ASSERT(write->lease == 9U);
            answer.has_swapped =
                store_.emplace(write->key, write->value).second;
        } else if (const auto* const read = std::get_if<read_range>(&request)) {
            const auto found = store_.find(read->key);
            if (found != store_.end()) {
                answer.values.push_back({found->first, found->second});
            }
        }
        return answer;
    }

    void execute(std::size_t node_index, const command_list& out) {
        for (const control_command& command : out) {
            if (const auto* const message =
                    std::get_if<peer_message>(&command)) {
                messages_.push_back(*message);
            } else if (const auto* const body =
                           std::get_if<platform_call>(&command)) {
                calls_.push_back({node_index, *body});
            }
        }
    }

    bool is_numbered_;
    const call_key key_{service_name("s"), caller_id("c"),
                        idempotency_key("k")};
    steady_time now_{};
    int boots_ = 0;
    int begun_ = 0;
    call_attempt last_attempt_ = 0;
    result_code last_result_ = result_code::ok;
    std::vector<node> nodes_;
    std::vector<run> runs_;
    std::deque<peer_message> messages_;
    std::vector<call> calls_;
    std::vector<call> late_writes_;
    std::map<std::string, std::string> store_;
};

using behavior = gate_simulation::store_behavior;
using ending = gate_simulation::run_end;

void act(gate_simulation& simulation, int action, std::size_t pick) {
    switch (action) {
    case 0:
    case 1:
        return simulation.send(pick % 3);
    case 2:
    case 3:
        return simulation.deliver(pick, false);
    case 4:
        return simulation.deliver(pick, true);
    case 5:
        return simulation.drop(pick);
    case 6:
        return simulation.tick(std::chrono::milliseconds(pick * 5));
    case 7:
    case 8:
        return simulation.serve_store(pick, behavior::answers);
    case 9:
        return simulation.serve_store(pick, behavior::loses_answer);
    case 10:
        return simulation.serve_store(pick, behavior::is_late);
    case 11:
        return simulation.apply_late_writes();
    case 12:
        return simulation.restart(pick % 3);
    case 13:
        return simulation.end_run(pick, ending::begin);
    case 14:
    case 15:
        return simulation.end_run(pick, ending::not_run);
    case 16:
        return simulation.end_run(pick, ending::finish);
    case 17:
        return simulation.end_run(pick, ending::lose);
    default:
        return simulation.settle();
    }
}

constexpr int script_length = 400;

void run_script(bool is_numbered) {
    gate_simulation simulation(is_numbered);
    const auto step =
        rc::gen::pair(rc::gen::inRange(0, 19), rc::gen::inRange(0, 100));
    const auto script = *rc::gen::resize(
        script_length,
        rc::gen::container<std::vector<std::pair<int, int>>>(step));
    for (const auto& [action, pick] : script) {
        act(simulation, action, static_cast<std::size_t>(pick));
    }
    simulation.settle();
}

} // namespace

RC_GTEST_PROP(attempt_gate_property_test,
              numbered_attempts_begin_at_most_once_under_any_fault, ()) {
    run_script(true);
}

RC_GTEST_PROP(attempt_gate_property_test,
              claimed_attempts_begin_at_most_once_under_any_fault, ()) {
    run_script(false);
}

class attempt_gate_test : public ::testing::Test {
protected:
    gate_simulation numbered_{true};
    gate_simulation claimed_{false};
};

TEST_F(attempt_gate_test, finished_elsewhere_gives_the_recorded_answer) {
    numbered_.send(0);
    numbered_.end_run(0, ending::begin);
    numbered_.end_run(0, ending::finish);
    numbered_.send(1);
    numbered_.settle();
    EXPECT_EQ(numbered_.last_result(), result_code::ok);
    EXPECT_EQ(numbered_.runs(), 0U);
}

TEST_F(attempt_gate_test, not_run_elsewhere_hands_the_right_over) {
    numbered_.send(0);
    numbered_.end_run(0, ending::not_run);
    numbered_.send(1);
    numbered_.settle();
    EXPECT_EQ(numbered_.runs(), 1U);
    numbered_.send(0);
    numbered_.settle();
    EXPECT_EQ(numbered_.last_result(), result_code::unknown_in_progress);
}

TEST_F(attempt_gate_test, key_without_record_is_unknown_and_not_run) {
    numbered_.send(0);
    numbered_.restart(0);
    numbered_.send(1);
    numbered_.settle();
    EXPECT_EQ(numbered_.last_result(),
              result_code::unknown_attempt_not_remembered);
    EXPECT_EQ(numbered_.runs(), 0U);
}

TEST_F(attempt_gate_test, peers_without_reply_never_lead_to_a_run) {
    numbered_.send(0);
    numbered_.end_run(0, ending::not_run);
    numbered_.send(1);
    numbered_.drop(0);
    numbered_.drop(0);
    numbered_.tick(1s);
    EXPECT_EQ(numbered_.last_result(),
              result_code::unknown_attempt_not_remembered);
    EXPECT_EQ(numbered_.runs(), 0U);
}

TEST_F(attempt_gate_test, claim_with_lost_answer_is_read_back_and_runs) {
    claimed_.send(0);
    claimed_.serve_store(0, behavior::answers); // Grants the lease.
    claimed_.serve_store(0, behavior::loses_answer);
    EXPECT_EQ(claimed_.runs(), 0U);
    claimed_.serve_store(0, behavior::answers); // Answers the read.
    EXPECT_EQ(claimed_.runs(), 1U);
}

TEST_F(attempt_gate_test, store_outage_refuses_without_claiming_not_run) {
    claimed_.send(0);
    for (int i = 0; i < 40; ++i) {
        claimed_.serve_store(0, behavior::loses_answer);
        claimed_.tick(100ms);
    }
    EXPECT_EQ(claimed_.last_result(), result_code::unknown_earlier_sending);
    EXPECT_EQ(claimed_.runs(), 0U);
    claimed_.send(0);
    claimed_.settle();
    EXPECT_EQ(claimed_.runs(), 1U)
        << "the claim should succeed after the outage";
}

TEST_F(attempt_gate_test, claim_that_took_effect_late_still_runs) {
    claimed_.send(0);
    claimed_.serve_store(0, behavior::answers);
    claimed_.serve_store(0, behavior::is_late);
    claimed_.tick(10s);
    claimed_.apply_late_writes();
    EXPECT_EQ(claimed_.last_result(), result_code::unknown_earlier_sending);
    claimed_.send(0);
    claimed_.settle();
    EXPECT_EQ(claimed_.runs(), 1U);
}

TEST_F(attempt_gate_test, claim_of_a_dead_instance_is_unknown) {
    claimed_.send(0);
    claimed_.settle();
    ASSERT_EQ(claimed_.runs(), 1U);
    claimed_.restart(0);
    for (const std::size_t node_index : {1U, 0U}) {
        claimed_.send(node_index);
        claimed_.settle();
        EXPECT_EQ(claimed_.last_result(),
                  result_code::unknown_claimed_elsewhere);
    }
    EXPECT_EQ(claimed_.runs(), 0U);
}

/// Sends two keys without attempt numbers at the same time; returns how many
/// were refused immediately.
std::size_t refused_claims(std::size_t peer_count) {
    key_ledger ledger({});
    attempt_gate gate({.self = instance_id("self"), .boot = "b"}, ledger);
    std::vector<instance_id> peers;
    for (std::size_t i = 0; i < peer_count; ++i) {
        peers.emplace_back("p" + std::to_string(i));
    }
    gate.set_peers(std::move(peers));
    const steady_time now = steady_time{} + 1h;
    std::size_t refused = 0;
    command_list out;
    for (const char* const name : {"k1", "k2"}) {
        const call_key key{.service = service_name("s"),
                           .caller = caller_id("c"),
                           .key = idempotency_key(name)};
        EXPECT_EQ(ledger.begin(key, 0, now).verdict,
                  key_verdict::acquire_right);
        gate.acquire({.key = key,
                      .deadline = now + 10s,
                      .done =
                          [&](const run_right_result& answer) {
                              refused += answer.may_run ? 0 : 1;
                          }},
                     now, out);
    }
    return refused;
}

TEST(claim_budget_test, claim_rate_is_divided_over_a_large_fleet) {
    EXPECT_EQ(refused_claims(8), 0U);
    EXPECT_EQ(refused_claims(1'899), 1U);
}

TEST(refusal_test, only_first_attempt_keeps_a_refusal_as_not_run) {
    const auto code = result_code::not_run_limit;
    EXPECT_EQ(refusal_code_for(code, false, 0), code);
    EXPECT_EQ(refusal_code_for(code, true, 1), code);
    EXPECT_EQ(refusal_code_for(code, true, 2),
              result_code::unknown_earlier_sending);
    EXPECT_EQ(refusal_code_for(code, true, 0),
              result_code::unknown_earlier_sending);
}

} // namespace savorydock

#include "core/wire_codec.hpp"
#include "servers/delivery/attempt_gate.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace savorydock {

using namespace std::chrono_literals;

namespace {

/// Instances with ledgers and gates before one store, one key and one caller
/// that sends it again and again, anywhere. Messages are lost, doubled,
/// reordered and late, writes take effect after their failure was reported,
/// instances die. Every run that is begun is counted.
class gate_world {
public:
    explicit gate_world(bool is_numbered)
        : is_numbered_(is_numbered) {
        for (int i = 0; i < node_count; ++i) {
            restart(static_cast<std::size_t>(i));
        }
    }

    void restart(std::size_t where) {
        if (nodes_.size() <= where) {
            nodes_.resize(where + 1);
        }
        node& one = nodes_[where];
        one = {};
        one.boot = ++boots_;
        one.ledger = std::make_unique<key_ledger>(key_ledger_options{});
        one.gate = std::make_unique<attempt_gate>(
            attempt_gate_options{.self = name_of_node(where),
                                 .boot = std::to_string(one.boot),
                                 .asks_per_second = 1000,
                                 .claims_per_second = 1000},
            *one.ledger);
        one.gate->set_peers(
            {name_of_node(0), name_of_node(1), name_of_node(2)});
        std::erase_if(runs_, [&](const run& r) { return r.where == where; });
        std::erase_if(calls_, [&](const call& c) { return c.where == where; });
    }

    /// The caller's next sending. Returns what it learns at once, if so.
    void send(std::size_t where) {
        node& one = nodes_[where];
        const call_attempt attempt = is_numbered_ ? ++last_attempt_ : 0;
        const auto decision = one.ledger->begin(key_, attempt, now_);
        if (decision.verdict == key_verdict::run) {
            start_run(where);
        } else if (decision.verdict == key_verdict::ask) {
            seek(where, attempt);
        } else {
            learn(code_of(decision.record));
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
        const std::size_t where = std::stoul(message.to.text());
        const auto body = wire::decode<delivery_message>(message.body);
        command_list out;
        if (body->asked) {
            nodes_[where].gate->on_ask(message.from, *body->asked, now_, out);
        }
        if (body->replied) {
            nodes_[where].gate->on_reply(message.from, *body->replied, now_,
                                         out);
        }
        carry_out(where, out);
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
            carry_out(i, out);
        }
    }

    enum class store_mood : std::uint8_t { answers, loses_answer, is_late };

    void serve_store(std::size_t which, store_mood mood) {
        if (calls_.empty()) {
            return;
        }
        const auto position =
            calls_.begin() + static_cast<std::ptrdiff_t>(which % calls_.size());
        const call one = *position;
        calls_.erase(position);
        outcome<platform_answer> answer =
            failure{result_code::platform_unreachable, ""};
        if (mood == store_mood::is_late) {
            late_writes_.push_back(one);
        } else {
            const platform_answer served = apply(one.body.request);
            if (mood == store_mood::answers) {
                answer = served;
            }
        }
        command_list out;
        nodes_[one.where].gate->on_platform_reply(
            {.ticket = one.body.ticket, .answer = answer}, now_, out);
        carry_out(one.where, out);
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
        key_ledger& ledger = *nodes_[one.where].ledger;
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
            learn(result_code::not_run_no_upstream);
        }
        runs_.erase(runs_.begin() +
                    static_cast<std::ptrdiff_t>(which % runs_.size()));
    }

    /// Lets everything arrive in order, until nothing moves.
    void settle() {
        for (int i = 0; i < 200; ++i) {
            deliver(0, false);
            serve_store(0, store_mood::answers);
            if (messages_.empty() && calls_.empty()) {
                tick(50ms);
            }
        }
    }

    [[nodiscard]] int begun() const { return begun_; }
    [[nodiscard]] std::size_t runs() const { return runs_.size(); }
    [[nodiscard]] result_code learnt() const { return learnt_; }
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
        std::size_t where = 0;
        bool is_begun = false;
    };
    struct call {
        std::size_t where = 0;
        platform_call body;
    };

    static instance_id name_of_node(std::size_t where) {
        return instance_id(std::to_string(where));
    }

    void seek(std::size_t where, call_attempt attempt) {
        command_list out;
        const auto done = [this, where](const right_answer& answer) {
            if (answer.may_run) {
                start_run(where);
            } else {
                learn(answer.code);
            }
        };
        nodes_[where].gate->seek({.key = key_,
                                  .attempt = attempt,
                                  .deadline = now_ + 10s,
                                  .done = done},
                                 now_, out);
        carry_out(where, out);
    }

    void start_run(std::size_t where) {
        runs_.push_back({where, false});
        RC_ASSERT(runs_.size() == 1U);
        RC_ASSERT(begun_ == 0);
    }

    void learn(result_code code) {
        learnt_ = code;
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

    void carry_out(std::size_t where, const command_list& out) {
        for (const control_command& command : out) {
            if (const auto* const message =
                    std::get_if<peer_message>(&command)) {
                messages_.push_back(*message);
            } else if (const auto* const body =
                           std::get_if<platform_call>(&command)) {
                calls_.push_back({where, *body});
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
    result_code learnt_ = result_code::ok;
    std::vector<node> nodes_;
    std::vector<run> runs_;
    std::deque<peer_message> messages_;
    std::vector<call> calls_;
    std::vector<call> late_writes_;
    std::map<std::string, std::string> store_;
};

using mood = gate_world::store_mood;
using ending = gate_world::run_end;

void act(gate_world& world, int action, std::size_t pick) {
    switch (action) {
    case 0:
    case 1:
        return world.send(pick % 3);
    case 2:
    case 3:
        return world.deliver(pick, false);
    case 4:
        return world.deliver(pick, true);
    case 5:
        return world.drop(pick);
    case 6:
        return world.tick(std::chrono::milliseconds(pick * 5));
    case 7:
    case 8:
        return world.serve_store(pick, mood::answers);
    case 9:
        return world.serve_store(pick, mood::loses_answer);
    case 10:
        return world.serve_store(pick, mood::is_late);
    case 11:
        return world.apply_late_writes();
    case 12:
        return world.restart(pick % 3);
    case 13:
        return world.end_run(pick, ending::begin);
    case 14:
    case 15:
        return world.end_run(pick, ending::not_run);
    case 16:
        return world.end_run(pick, ending::finish);
    case 17:
        return world.end_run(pick, ending::lose);
    default:
        return world.settle();
    }
}

constexpr int script_length = 400;

void run_script(bool is_numbered) {
    gate_world world(is_numbered);
    const auto step =
        rc::gen::pair(rc::gen::inRange(0, 19), rc::gen::inRange(0, 100));
    const auto script = *rc::gen::resize(
        script_length,
        rc::gen::container<std::vector<std::pair<int, int>>>(step));
    for (const auto& [action, pick] : script) {
        act(world, action, static_cast<std::size_t>(pick));
    }
    world.settle();
}

} // namespace

RC_GTEST_PROP(attempt_gate_property_test,
              numbered_sendings_begin_at_most_once_under_any_fault, ()) {
    run_script(true);
}

RC_GTEST_PROP(attempt_gate_property_test,
              claimed_sendings_begin_at_most_once_under_any_fault, ()) {
    run_script(false);
}

class attempt_gate_test : public ::testing::Test {
protected:
    gate_world numbered_{true};
    gate_world claimed_{false};
};

TEST_F(attempt_gate_test, finished_elsewhere_gives_the_recorded_answer) {
    numbered_.send(0);
    numbered_.end_run(0, ending::begin);
    numbered_.end_run(0, ending::finish);
    numbered_.send(1);
    numbered_.settle();
    EXPECT_EQ(numbered_.learnt(), result_code::ok);
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
    EXPECT_EQ(numbered_.learnt(), result_code::unknown_in_progress);
}

TEST_F(attempt_gate_test, nobody_remembers_is_unknown_and_not_run) {
    numbered_.send(0);
    numbered_.restart(0);
    numbered_.send(1);
    numbered_.settle();
    EXPECT_EQ(numbered_.learnt(), result_code::unknown_attempt_not_remembered);
    EXPECT_EQ(numbered_.runs(), 0U);
}

TEST_F(attempt_gate_test, silent_peers_never_lead_to_a_run) {
    numbered_.send(0);
    numbered_.end_run(0, ending::not_run);
    numbered_.send(1);
    numbered_.drop(0);
    numbered_.drop(0);
    numbered_.tick(1s);
    EXPECT_EQ(numbered_.learnt(), result_code::unknown_attempt_not_remembered);
    EXPECT_EQ(numbered_.runs(), 0U);
}

TEST_F(attempt_gate_test, lost_answer_of_a_claim_is_read_back_as_ours) {
    claimed_.send(0);
    claimed_.serve_store(0, mood::answers); // The lease.
    claimed_.serve_store(0, mood::loses_answer);
    EXPECT_EQ(claimed_.runs(), 0U);
    claimed_.serve_store(0, mood::answers); // The read.
    EXPECT_EQ(claimed_.runs(), 1U);
}

TEST_F(attempt_gate_test, store_outage_refuses_without_claiming_not_run) {
    claimed_.send(0);
    for (int i = 0; i < 40; ++i) {
        claimed_.serve_store(0, mood::loses_answer);
        claimed_.tick(100ms);
    }
    EXPECT_EQ(claimed_.learnt(), result_code::unknown_earlier_sending);
    EXPECT_EQ(claimed_.runs(), 0U);
    claimed_.send(0);
    claimed_.settle();
    EXPECT_EQ(claimed_.runs(), 1U) << "the outage has ended";
}

TEST_F(attempt_gate_test, claim_that_took_effect_late_is_still_ours) {
    claimed_.send(0);
    claimed_.serve_store(0, mood::answers);
    claimed_.serve_store(0, mood::is_late);
    claimed_.tick(10s);
    claimed_.apply_late_writes();
    EXPECT_EQ(claimed_.learnt(), result_code::unknown_earlier_sending);
    claimed_.send(0);
    claimed_.settle();
    EXPECT_EQ(claimed_.runs(), 1U);
}

TEST_F(attempt_gate_test, claim_of_a_dead_instance_is_unknown) {
    claimed_.send(0);
    claimed_.settle();
    ASSERT_EQ(claimed_.runs(), 1U);
    claimed_.restart(0);
    for (const std::size_t where : {1U, 0U}) {
        claimed_.send(where);
        claimed_.settle();
        EXPECT_EQ(claimed_.learnt(), result_code::unknown_claimed_elsewhere);
    }
    EXPECT_EQ(claimed_.runs(), 0U);
}

/// Sends two unnumbered keys at once; returns how many were refused at once.
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
        EXPECT_EQ(ledger.begin(key, 0, now).verdict, key_verdict::ask);
        gate.seek({.key = key,
                   .deadline = now + 10s,
                   .done =
                       [&](const right_answer& answer) {
                           refused += answer.may_run ? 0 : 1;
                       }},
                  now, out);
    }
    return refused;
}

TEST(claim_budget_test, claims_are_shared_out_over_a_large_fleet) {
    EXPECT_EQ(refused_claims(8), 0U);
    EXPECT_EQ(refused_claims(1'899), 1U);
}

TEST(refusal_test, only_a_first_sending_keeps_a_refusal_as_not_run) {
    const auto code = result_code::not_run_limit;
    EXPECT_EQ(refusal_of(code, false, 0), code);
    EXPECT_EQ(refusal_of(code, true, 1), code);
    EXPECT_EQ(refusal_of(code, true, 2), result_code::unknown_earlier_sending);
    EXPECT_EQ(refusal_of(code, true, 0), result_code::unknown_earlier_sending);
}

} // namespace savorydock

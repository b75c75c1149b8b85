#include "core/text_file.hpp"
#include "servers/configuration/publish_protocol.hpp"
#include "tests/servers/configuration/memory_platform.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <regex>
#include <set>

namespace savorydock {

using namespace std::chrono_literals;

namespace {

/// The simulated outcome of a call to the store.
enum class call_outcome : std::uint8_t {
    answered,
    lost_before_effect,
    lost_after_effect,
    /// The answer is lost and the call takes effect later or never.
    lost_and_delayed,
};

const service_name depth("depth");

publish_plan plan_of(const std::string& id, const std::string& text,
                     const service_name& service = depth) {
    return {.service = service,
            .publish_id = id,
            .operator_name = "operator-" + id,
            .text = text};
}

/// Runs the publish of one operator against the store, one call after another.
class publisher_run {
public:
    publisher_run(publish_plan plan, random_source& random,
                  std::chrono::milliseconds timeout = 30s)
        : id(plan.publish_id)
        , protocol_(std::move(plan), steady_time{} + timeout, random)
        , step_(protocol_.begin()) {}

    [[nodiscard]] bool is_over() const {
        return std::holds_alternative<publish_result>(step_.next);
    }
    [[nodiscard]] const publish_result& result() const {
        return std::get<publish_result>(step_.next);
    }

    void call(memory_platform& store, call_outcome outcome_of_call,
              std::vector<platform_request>& delayed) {
        now_ += step_.pause + 100ms;
        const auto request = std::get<platform_request>(step_.next);
        outcome<platform_answer> reply =
            failure{result_code::platform_unreachable, "lost"};
        if (outcome_of_call == call_outcome::answered) {
            reply = store.answer(request);
        } else if (outcome_of_call == call_outcome::lost_after_effect) {
            store.answer(request);
        } else if (outcome_of_call == call_outcome::lost_and_delayed) {
            delayed.push_back(request);
        }
        step_ = protocol_.on_reply(reply, now_);
    }

    void call(memory_platform& store,
              call_outcome outcome_of_call = call_outcome::answered) {
        std::vector<platform_request> delayed;
        call(store, outcome_of_call, delayed);
    }

    [[nodiscard]] std::string_view phase() const {
        return name_of(protocol_.phase());
    }

    const publish_result& finish(memory_platform& store) {
        while (!is_over()) {
            call(store);
        }
        return result();
    }

    std::string id;

private:
    publish_protocol protocol_;
    publish_step step_;
    steady_time now_{};
};

/// The revision at which each publish took effect, read from the store.
std::map<std::string, store_revision> effects_of(const memory_platform& store) {
    std::map<std::string, store_revision> effects;
    for (const auto& [key, value] : store.values()) {
        const auto envelope = parse_service_envelope(value.value);
        effects[envelope->publish_id] = value.modified;
        for (const publish_record& record : envelope->history) {
            effects[record.publish_id] = record.revision;
        }
    }
    return effects;
}

} // namespace

class publish_protocol_test : public ::testing::Test {
protected:
    publish_result publish(const std::string& id, const std::string& text) {
        return publisher_run(plan_of(id, text), random_).finish(store_);
    }

    seeded_random_source random_{1};
    memory_platform store_;
};

TEST_F(publish_protocol_test, publish_after_publish_replaces_it) {
    const auto first = publish("a", "one\n");
    const auto second = publish("b", "two\n");
    EXPECT_EQ(first.code, result_code::ok);
    EXPECT_EQ(second.code, result_code::ok);
    EXPECT_EQ(second.replaced, first.revision);
    EXPECT_EQ(publish("c", "two\n").revision, second.revision);
    EXPECT_TRUE(publish("d", "two\n").is_unchanged);
}

TEST_F(publish_protocol_test, racing_publish_reports_the_winner_and_lines) {
    publish("a", "same\nold\n");
    publisher_run late(plan_of("late", "same\nmine\n"), random_);
    late.call(store_);
    const auto winner = publish("winner", "same\ntheirs\n");
    const auto& result = late.finish(store_);
    EXPECT_EQ(result.code, result_code::publish_conflict);
    EXPECT_EQ(result.other_operator, "operator-winner");
    EXPECT_EQ(result.other_revision, winner.revision);
    EXPECT_EQ(result.difference, "@@ 2\n-theirs\n+mine\n");
}

TEST_F(publish_protocol_test, edit_of_an_old_revision_is_a_conflict) {
    const auto first = publish("a", "one\n");
    publish("b", "two\n");
    publish_plan plan = plan_of("c", "three\n");
    plan.base = first.revision;
    const auto result = publisher_run(plan, random_).finish(store_);
    EXPECT_EQ(result.code, result_code::publish_conflict);
    EXPECT_EQ(result.other_operator, "operator-b");
}

TEST_F(publish_protocol_test, deletion_gets_a_revision_of_its_own) {
    const auto first = publish("a", "one\n");
    publish_plan plan = plan_of("gone", "");
    plan.is_deleted = true;
    const auto deleted = publisher_run(plan, random_).finish(store_);
    EXPECT_EQ(deleted.code, result_code::ok);
    EXPECT_GT(deleted.revision, first.revision);
    EXPECT_EQ(publisher_run(plan, random_).finish(store_).code,
              result_code::not_found);
    EXPECT_GT(publish("b", "one\n").revision, deleted.revision);
}

struct lost_answer_case {
    const char* name;
    call_outcome outcome_of_call;
    /// Publishes by others between the lost answer and the next read.
    std::size_t others;
    result_code code;
    bool is_overtaken;
};

std::ostream& operator<<(std::ostream& out, const lost_answer_case& row) {
    return out << row.name;
}

class lost_swap_test : public ::testing::TestWithParam<lost_answer_case> {};

TEST_P(lost_swap_test, answer_lost_result_is_never_guessed) {
    const lost_answer_case& row = GetParam();
    seeded_random_source random(1);
    memory_platform store;
    publisher_run run(plan_of("mine", "mine\n"), random);
    run.call(store);
    run.call(store, row.outcome_of_call);
    for (std::size_t i = 0; i < row.others; ++i) {
        const std::string id = "other" + std::to_string(i);
        publisher_run(plan_of(id, id + "\n"), random).finish(store);
    }
    const publish_result& result = run.finish(store);
    EXPECT_EQ(result.code, row.code) << result.detail;
    EXPECT_EQ(result.is_overtaken, row.is_overtaken);
    if (result.code == result_code::ok) {
        EXPECT_EQ(result.revision, effects_of(store).at("mine"));
    }
}

INSTANTIATE_TEST_SUITE_P(
    faults, lost_swap_test,
    ::testing::Values(lost_answer_case{"effect",
                                       call_outcome::lost_after_effect, 0,
                                       result_code::ok, false},
                      lost_answer_case{"no_effect",
                                       call_outcome::lost_before_effect, 0,
                                       result_code::ok, false},
                      lost_answer_case{"effect_then_overtaken",
                                       call_outcome::lost_after_effect, 3,
                                       result_code::ok, true},
                      lost_answer_case{"no_effect_then_conflict",
                                       call_outcome::lost_before_effect, 3,
                                       result_code::publish_conflict, false},
                      lost_answer_case{"conflict_beyond_history",
                                       call_outcome::lost_before_effect,
                                       service_envelope::max_history + 1,
                                       result_code::publish_unknown, false}),
    [](const auto& row) { return row.param.name; });

TEST_F(publish_protocol_test, outage_before_the_swap_writes_nothing) {
    publisher_run run(plan_of("a", "one\n"), random_);
    while (!run.is_over()) {
        run.call(store_, call_outcome::lost_before_effect);
    }
    EXPECT_EQ(run.result().code, result_code::platform_unreachable);
    EXPECT_TRUE(store_.values().empty());
}

TEST_F(publish_protocol_test, outage_after_the_swap_is_unknown) {
    publisher_run run(plan_of("a", "one\n"), random_);
    run.call(store_);
    while (!run.is_over()) {
        run.call(store_, call_outcome::lost_before_effect);
    }
    EXPECT_EQ(run.result().code, result_code::publish_unknown);
}

// Enumerates all runs of up to six calls, each with any outcome and with or
// without a publish of another operator before it. The code must take exactly
// the transitions listed in the model.
TEST_F(publish_protocol_test, transitions_are_those_of_the_model) {
    constexpr std::size_t ways = 6;
    constexpr std::size_t runs = ways * ways * ways * ways * ways * ways;
    std::set<std::string> taken;
    for (std::size_t code = 0; code < runs; ++code) {
        memory_platform store;
        publisher_run run(plan_of("mine", "mine\n"), random_, 500ms);
        for (std::size_t rest = code; !run.is_over(); rest /= ways) {
            if (rest % 2 == 1) {
                const std::string id = "other" + std::to_string(rest);
                publisher_run(plan_of(id, id), random_).finish(store);
            }
            const std::string before(run.phase());
            run.call(store, static_cast<call_outcome>(rest % ways / 2));
            taken.insert(before + " -> " + std::string(run.phase()));
        }
    }
    const auto model =
        read_text_file(SAVORYDOCK_SOURCE_DIR "/docs/models/publish_race.pml");
    ASSERT_TRUE(model) << model.reason().detail;
    std::set<std::string> modelled;
    const std::regex line("// transition: (\\w+ -> \\w+)");
    for (std::sregex_iterator found(model->begin(), model->end(), line), end;
         found != end; ++found) {
        modelled.insert((*found)[1]);
    }
    EXPECT_EQ(taken, modelled);
}

// For any interleaving and any call outcomes, the reported result of a publish
// agrees with the content of the store.
RC_GTEST_PROP(publish_protocol_property, reported_results_are_true, ()) {
    seeded_random_source random(7);
    memory_platform store;
    std::vector<platform_request> delayed;
    std::vector<std::unique_ptr<publisher_run>> runs;
    const auto count = 1 + *rc::gen::arbitrary<std::uint8_t>() % 3;
    for (int i = 0; i < count; ++i) {
        const std::string id = "p" + std::to_string(i);
        const service_name service(*rc::gen::element("s1", "s2"));
        runs.push_back(std::make_unique<publisher_run>(
            plan_of(id, id + "\n", service), random));
    }
    std::vector<publisher_run*> waiting;
    waiting.reserve(runs.size());
    for (const auto& run : runs) {
        waiting.push_back(run.get());
    }
    while (!waiting.empty()) {
        // Any number will do; gen::inRange would favor the first publishers.
        const std::size_t next =
            *rc::gen::arbitrary<std::uint16_t>() % waiting.size();
        waiting[next]->call(store,
                            *rc::gen::weightedElement<call_outcome>(
                                {{6, call_outcome::answered},
                                 {1, call_outcome::lost_before_effect},
                                 {1, call_outcome::lost_after_effect},
                                 {1, call_outcome::lost_and_delayed}}),
                            delayed);
        if (waiting[next]->is_over()) {
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
        }
        if (!delayed.empty() && *rc::gen::arbitrary<bool>()) {
            store.answer(delayed.back());
            delayed.pop_back();
        }
    }
    for (const platform_request& request : delayed) {
        store.answer(request);
    }
    const auto effects = effects_of(store);
    std::set<store_revision> revisions;
    for (const auto& run : runs) {
        const publish_result& result = run->result();
        const bool has_effect = effects.contains(run->id);
        if (result.code == result_code::ok) {
            RC_ASSERT(has_effect);
            RC_ASSERT(effects.at(run->id) == result.revision);
            RC_ASSERT(revisions.insert(result.revision).second);
        } else if (result.code != result_code::publish_unknown) {
            RC_ASSERT(!has_effect);
        }
    }
}

} // namespace savorydock

#include "servers/delivery/step_session.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace savorydock {

namespace {

std::shared_ptr<const step_charts> load_charts() {
    const auto charts =
        step_charts::load(std::string(SAVORYDOCK_SOURCE_DIR) + "/charts");
    return charts ? std::make_shared<const step_charts>(*charts) : nullptr;
}

answer_assembler answer_of(const slot_run& run, weight_version version) {
    answer_assembler answer(run.stream, run.attempt);
    answer.accept({.stream = run.stream,
                   .attempt = run.attempt,
                   .token_count = 1,
                   .text = "x",
                   .version = version,
                   .is_finish = true});
    return answer;
}

} // namespace

class step_session_test : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_NE(charts_, nullptr); }

    step_session open(std::vector<bool> held, session_epoch epoch = 1) {
        return *step_session::open(
            charts_,
            {.key = {"t", 7},
             .epoch = epoch,
             .group_count = static_cast<std::uint32_t>(held.size() / 2),
             .group_size = 2,
             .staleness_bound = 1},
            held);
    }

    std::shared_ptr<const step_charts> charts_ = load_charts();
};

TEST_F(step_session_test, slot_started_directly_is_not_started_by_next_run) {
    auto session = open({false, false, false, true});
    const slot_id third{.trainer = "t", .step = 7, .group = 1, .index = 0};
    ASSERT_TRUE(session.run(third));
    EXPECT_FALSE(session.run(third));
    EXPECT_TRUE(session.is_settled(
        {.trainer = "t", .step = 7, .group = 1, .index = 1}));
    std::set<slot_id> others;
    while (const auto run = session.next_run()) {
        others.insert(run->slot);
    }
    EXPECT_EQ(others.size(), 2U);
    EXPECT_FALSE(others.contains(third));
}

TEST_F(step_session_test, only_slots_that_the_trainer_lacks_are_run) {
    auto session = open({true, false, true, true}, 3);
    const auto run = session.next_run();
    ASSERT_TRUE(run);
    EXPECT_EQ(run->stream, "t/7/0/1");
    EXPECT_EQ(run->attempt, make_attempt(3, 1));
    EXPECT_FALSE(session.next_run());
    EXPECT_EQ(session.end_run(*run, answer_of(*run, 4)), result_code::ok);
    EXPECT_EQ(session.result(), std::nullopt);
    ASSERT_TRUE(session.next_hand_over(4));
    EXPECT_EQ(session.result(), result_code::ok);
}

TEST_F(step_session_test, bitmap_of_another_shape_is_refused) {
    const auto opened = step_session::open(
        charts_, {.key = {"t", 7}, .group_count = 2, .group_size = 2},
        std::vector<bool>(3));
    ASSERT_FALSE(opened);
    EXPECT_EQ(opened.reason().code, result_code::not_run_bad_request);
}

TEST_F(step_session_test, sample_that_becomes_stale_while_ready_is_run_again) {
    auto session = open({true, false});
    auto run = session.next_run();
    ASSERT_EQ(session.end_run(*run, answer_of(*run, 4)), result_code::ok);
    EXPECT_FALSE(session.next_hand_over(6));
    EXPECT_EQ(session.counts().discarded_too_old, 1U);
    run = session.next_run();
    ASSERT_TRUE(run);
    ASSERT_EQ(session.end_run(*run, answer_of(*run, 5)), result_code::ok);
    EXPECT_TRUE(session.next_hand_over(6));
}

TEST_F(step_session_test,
       answer_without_version_or_of_another_stream_is_run_again) {
    auto session = open({true, false});
    auto run = session.next_run();
    EXPECT_EQ(session.end_run(*run, answer_of(*run, 0)),
              result_code::sample_version_unknown);
    run = session.next_run();
    slot_run other = *run;
    other.stream = "t/7/0/0";
    EXPECT_EQ(session.end_run(*run, answer_of(other, 4)),
              result_code::failed_truncated);
    EXPECT_TRUE(session.next_run());
}

TEST_F(step_session_test, first_complete_answer_of_two_runs_cancels_the_other) {
    auto session = open({true, false});
    const auto first = session.next_run();
    const auto second = session.hedge(first->slot);
    ASSERT_TRUE(second);
    EXPECT_EQ(session.end_run(*second, answer_of(*second, 4)), result_code::ok);
    ASSERT_EQ(session.take_cancelled().size(), 1U);
    EXPECT_EQ(session.end_run(*first, answer_of(*first, 4)),
              result_code::cancelled_by_caller);
    EXPECT_TRUE(session.next_hand_over(4));
    EXPECT_FALSE(session.next_hand_over(4));
}

TEST_F(step_session_test, failed_run_beside_another_starts_no_third) {
    auto session = open({true, false});
    const auto first = session.next_run();
    const auto second = session.hedge(first->slot);
    session.fail_run(*first, result_code::unknown_upstream_lost);
    EXPECT_FALSE(session.next_run());
    session.fail_run(*second, result_code::unknown_upstream_lost);
    EXPECT_TRUE(session.next_run());
}

TEST_F(step_session_test, newer_epoch_ends_the_session_and_its_runs) {
    auto session = open({false, false}, 2);
    const auto run = session.next_run();
    session.observe_epoch(2);
    EXPECT_EQ(session.result(), std::nullopt);
    session.observe_epoch(3);
    EXPECT_EQ(session.result(), result_code::step_superseded);
    EXPECT_EQ(session.take_cancelled().size(), 1U);
    EXPECT_EQ(session.end_run(*run, answer_of(*run, 4)),
              result_code::cancelled_by_caller);
    EXPECT_FALSE(session.next_hand_over(4));
}

TEST_F(step_session_test, refused_slot_ends_the_step_as_incomplete) {
    auto session = open({true, false});
    const auto run = session.next_run();
    session.fail_run(*run, result_code::not_run_bad_request);
    EXPECT_EQ(session.result(), result_code::step_incomplete);
}

TEST_F(step_session_test, sample_under_which_upstreams_crashed_runs_again) {
    auto session = open({true, false});
    for (int crash = 0; crash < 20; ++crash) {
        const auto run = session.next_run();
        ASSERT_TRUE(run) << "after " << crash << " crashes";
        session.fail_run(*run, crash % 2 == 0
                                   ? result_code::unknown_upstream_lost
                                   : result_code::not_run_suspect_request);
        EXPECT_EQ(session.result(), std::nullopt);
    }
}

/// Simulates concurrent sessions of one step on several instances for one
/// trainer, with any interleaving of runs, faults, reconnects and late answers.
class step_simulation {
public:
    explicit step_simulation(std::shared_ptr<const step_charts> charts)
        : charts_(std::move(charts)) {
        connect();
    }

    /// Reconnects the trainer. Old sessions continue until they are notified.
    void connect() {
        sessions_.push_back(*step_session::open(charts_,
                                                {.key = {"t", 1},
                                                 .epoch = ++epoch_,
                                                 .group_count = 2,
                                                 .group_size = 2,
                                                 .staleness_bound = 1},
                                                held_));
    }

    void act(std::size_t which, int action, weight_version version) {
        auto& session = sessions_[which % sessions_.size()];
        switch (action) {
        case 0:
            start(session);
            break;
        case 1:
            answer(which, version);
            break;
        case 2:
            if (const auto sample = session.next_hand_over(newest_)) {
                receive(session.options().epoch, *sample);
            }
            break;
        case 3:
            session.observe_epoch(epoch_);
            break;
        case 4:
            connect();
            break;
        case 5:
            ++newest_;
            break;
        case 6:
            session.lose_trainer();
            break;
        default:
            if (!runs_.empty()) {
                session.fail_run(runs_[which % runs_.size()],
                                 result_code::unknown_upstream_lost);
            }
        }
        check(session);
    }

    /// Checks that without further faults the newest session completes the
    /// step.
    void finish() {
        connect();
        auto& session = sessions_.back();
        while (const auto run = session.next_run()) {
            session.end_run(*run, answer_of(*run, newest_));
        }
        while (const auto sample = session.next_hand_over(newest_)) {
            receive(epoch_, *sample);
        }
        RC_ASSERT(session.result() == result_code::ok);
        RC_ASSERT(held_ == std::vector<bool>(4, true));
    }

private:
    void start(step_session& session) {
        if (const auto run = session.next_run()) {
            RC_ASSERT(attempts_.emplace(run->stream, run->attempt).second);
            runs_.push_back(*run);
        }
    }

    /// Delivers an answer, which may be late or duplicated, to all sessions.
    void answer(std::size_t which, weight_version version) {
        if (runs_.empty()) {
            return;
        }
        const slot_run& run = runs_[which / 3 % runs_.size()];
        for (auto& session : sessions_) {
            session.end_run(run, answer_of(run, version));
        }
    }

    void receive(session_epoch epoch, const finished_sample& sample) {
        RC_ASSERT(is_fresh(sample.versions, newest_, 1));
        RC_ASSERT(handed_over_.emplace(epoch, to_text(sample.slot)).second);
        if (epoch != epoch_) {
            return; // The trainer has closed that connection.
        }
        const std::size_t position = sample.slot.group * 2 + sample.slot.index;
        RC_ASSERT(!held_[position]);
        held_[position] = true;
    }

    void check(const step_session& session) {
        if (session.result() == result_code::ok &&
            session.options().epoch == epoch_) {
            RC_ASSERT(held_ == std::vector<bool>(4, true));
        }
    }

    std::shared_ptr<const step_charts> charts_;
    session_epoch epoch_ = 0;
    weight_version newest_ = 3;
    std::vector<bool> held_ = std::vector<bool>(4, false);
    std::vector<step_session> sessions_;
    std::vector<slot_run> runs_;
    std::set<std::pair<std::string, attempt_number>> attempts_;
    std::set<std::pair<session_epoch, std::string>> handed_over_;
};

RC_GTEST_PROP(step_session_property_test,
              any_interleaving_hands_each_slot_to_the_trainer_once, ()) {
    step_simulation simulation(load_charts());
    const auto script = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 8)));
    const auto versions = *rc::gen::container<std::vector<weight_version>>(
        script.size(), rc::gen::inRange<weight_version>(1, 6));
    for (std::size_t i = 0; i < script.size(); ++i) {
        simulation.act(static_cast<std::size_t>(script[i].first),
                       script[i].second, versions[i]);
    }
    simulation.finish();
}

} // namespace savorydock

#include "tests/servers/batch/item_planner_fixture.hpp"

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// A job of two items with scoring. The first one's text is complete, the
/// second one runs.
class unknown_run_test : public item_planner_fixture {
public:
    unknown_run_test() {
        set_engines(2, 1);
        job = make_job("j", 1, {{10, 10}}, 0, true);
        add_job(job);
        const auto starts = take_commands<start_run>();
        report(starts.at(0).ticket, 0, 10, run_end::complete);
        running = starts.at(1).ticket;
        scoring = take_commands<start_scoring>().at(0).ticket;
        commands.clear();
    }

    /// The tickets of these that the planner takes for unknown.
    std::vector<run_ticket> unknown_of(const std::vector<run_ticket>& active) {
        planner.on_active_runs(runner, active, commands);
        std::vector<run_ticket> tickets;
        for (const unknown_runs& one : take_commands<unknown_runs>()) {
            EXPECT_EQ(one.runner, runner);
            tickets.insert(tickets.end(), one.tickets.begin(),
                           one.tickets.end());
        }
        return tickets;
    }

    instance_id runner{"near"};
    std::shared_ptr<const batch_job> job;
    run_ticket running = 0;
    run_ticket scoring = 0;
};

} // namespace

TEST_F(unknown_run_test, active_runs_and_scorings_are_known) {
    EXPECT_TRUE(unknown_of({running, scoring}).empty());
}

// Guards against a scoring that is repeated for good: its runner was taken for
// lost, and the item is scored elsewhere.
TEST_F(unknown_run_test, scoring_of_a_lost_runner_is_unknown) {
    planner.on_run_lost(scoring, now);
    step();
    const auto again = take_commands<start_scoring>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(unknown_of({running, scoring, again[0].ticket}),
              std::vector<run_ticket>{scoring});
}

TEST_F(unknown_run_test, run_of_a_lost_runner_is_known_while_it_may_go_on) {
    planner.on_run_lost(running, now);
    step();
    EXPECT_TRUE(unknown_of({running}).empty());
    now += 16s;
    step();
    EXPECT_EQ(unknown_of({running}), std::vector<run_ticket>{running});
}

// Guards against runs of a lost runner that hold their engines after the end of
// their job.
TEST_F(unknown_run_test, runs_of_an_ended_job_are_unknown) {
    planner.on_run_lost(running, now);
    planner.on_job_ended(job->id, commands);
    now += 1s;
    step();
    EXPECT_EQ(unknown_of({running, scoring}),
              (std::vector<run_ticket>{running, scoring}));
}

// The job of a run of an earlier term is loaded after the run is reported.
TEST_F(unknown_run_test, held_run_of_a_job_that_is_not_loaded_is_known) {
    planner.on_held_run({.ticket = 70, .job = job_id("later"), .id = "i"}, now,
                        commands);
    EXPECT_TRUE(unknown_of({70}).empty());
    planner.on_job_ended(job_id("later"), commands);
    EXPECT_EQ(unknown_of({70}), std::vector<run_ticket>{70});
}

// Guards against a run that nobody stops: its job ended while its runner was
// taken for lost, and then it reported progress.
TEST_F(unknown_run_test, found_run_of_an_ended_job_is_stopped) {
    planner.on_run_lost(running, now);
    planner.on_job_ended(job->id, commands);
    now += 1s;
    step();
    commands.clear();
    planner.on_run_found({.ticket = running, .events = 3}, false, now,
                         commands);
    const auto stops = take_commands<stop_run>();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].ticket, running);
}

#include "tests/servers/batch/item_planner_fixture.hpp"

#include <set>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

class item_planner_test : public item_planner_fixture {};

} // namespace

TEST_F(item_planner_test, burst_over_all_slots_starts_longest_wanted_first) {
    set_engines(1, 2);
    // The trainer waits for two of three groups, so the group with the longest
    // item starts last. Among the others, the longest item starts first.
    const auto job = make_job("j", 2, {{10}, {100}, {20}});
    add_job(job);
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 2U);
    EXPECT_EQ(job->items[started[0].item].id, item_id("g2i0"));
    EXPECT_EQ(job->items[started[1].item].id, item_id("g0i0"));
    report(started[0].ticket, 0, 20, run_end::complete);
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(job->items[next[0].item].id, item_id("g1i0"));
}

TEST_F(item_planner_test, more_items_than_slots_never_queue_at_engines) {
    set_engines(3, 4);
    add_job(make_job(
        "j", 0, std::vector<std::vector<std::uint64_t>>(10, {5, 5, 5, 5})));
    std::map<upstream_id, std::size_t> placed;
    for (const start_run& run : take_commands<start_run>()) {
        ++placed[run.upstream];
    }
    ASSERT_EQ(placed.size(), 3U);
    for (const auto& [engine, count] : placed) {
        EXPECT_EQ(count, 4U) << engine.text();
    }
    EXPECT_EQ(planner.waiting_items(), 28U);
}

TEST_F(item_planner_test, scarce_slots_go_to_the_more_urgent_route) {
    set_engines(1, 1);
    add_job(make_job("a", 0, {{5}}));
    EXPECT_EQ(take_commands<start_run>()[0].job->id, job_id("a"));
    add_job(make_job("b", 0, {{5}}), {}, {}, {.target = 1s, .priority = 1});
    add_job(make_job("c", 0, {{5}}), {}, {}, {.target = 9s, .priority = 0});
    now += 1ms;
    planner.on_job_ended(job_id("a"), commands);
    step();
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].job->id, job_id("c"));
}

// Guards against new runs on an upstream that is leaving: a planner whose store
// calls were refused used an upstream two seconds after its announcement.
TEST_F(item_planner_test, stale_fleet_data_starts_nothing) {
    set_engines(1, 2);
    planner.set_fleet_data_current(false);
    add_job(make_job("j", 0, {{5}}));
    EXPECT_TRUE(take_commands<start_run>().empty());
    ASSERT_TRUE(planner.next_wakeup());
    planner.set_fleet_data_current(true);
    step();
    EXPECT_EQ(take_commands<start_run>().size(), 1U);
}

TEST_F(item_planner_test, full_cache_keeps_items_waiting) {
    set_engines(1, 8);
    planner.on_upstreams(
        engines, {.cache_tokens = 1'000, .tokens_per_event = tokens_per_event},
        now);
    add_job(make_job("j", 0, {{8, 8, 8}}));
    // Each item needs 410 of the 900 tokens that planned items may use.
    EXPECT_EQ(take_commands<start_run>().size(), 2U);
}

TEST_F(item_planner_test, interrupted_run_resumes_after_its_last_event) {
    set_engines(2, 1);
    add_job(make_job("j", 0, {{50}}));
    const auto first = take_commands<start_run>();
    ASSERT_EQ(first.size(), 1U);
    report(first[0].ticket, 0, 7, run_end::interrupted);
    const auto second = take_commands<start_run>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].progress.events, 7U);
    EXPECT_EQ(second[0].progress.versions.back(), 1U);
    EXPECT_NE(second[0].upstream, first[0].upstream)
        << "an engine that broke the stream is paused";
}

TEST_F(item_planner_test,
       missing_events_of_a_finished_run_are_generated_again) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{50}}));
    const auto first = take_commands<start_run>();
    progress(first[0].ticket, 0, 5);
    // The report of events 6 to 8 was lost between instances.
    now += 100ms;
    report(first[0].ticket, 8, 12, run_end::complete);
    now += 10s;
    step();
    const auto again = take_commands<start_run>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].progress.events, 5U);
    EXPECT_TRUE(take_commands<commit_results>().empty());
}

TEST_F(item_planner_test, silent_run_is_stopped_unless_its_engine_loads) {
    set_engines(2, 1);
    add_job(make_job("j", 0, {{50}}));
    const auto first = take_commands<start_run>();
    ASSERT_EQ(first.size(), 1U);
    progress(first[0].ticket, 0, 3);
    loading.insert(first[0].upstream);
    now += 1'100ms;
    step();
    EXPECT_TRUE(take_commands<stop_run>().empty());
    loading.clear();
    now += 1'100ms;
    step();
    const auto stopped = take_commands<stop_run>();
    ASSERT_EQ(stopped.size(), 1U);
    EXPECT_EQ(stopped[0].ticket, first[0].ticket);
}

TEST_F(item_planner_test, long_item_moves_off_a_slow_engine_once_slots_free) {
    set_engines(2, 1);
    add_job(make_job("j", 0, {{400, 60}}));
    auto runs = take_commands<start_run>();
    ASSERT_EQ(runs.size(), 2U);
    // The engine of the long item takes 60 ms per event, the other one 30 ms.
    std::uint64_t events = 0;
    for (int round = 0; round < 4; ++round) {
        now += 600ms;
        progress(runs[0].ticket, events, events + 10);
        progress(runs[1].ticket, events * 2, (events + 10) * 2);
        events += 10;
        step();
        EXPECT_TRUE(take_commands<stop_run>().empty());
    }
    report(runs[1].ticket, events * 2, events * 2 + 1, run_end::complete);
    now += 300ms;
    step();
    const auto moved = take_commands<stop_run>();
    ASSERT_EQ(moved.size(), 1U);
    EXPECT_EQ(moved[0].ticket, runs[0].ticket);
    report(runs[0].ticket, events, events, run_end::stopped);
    const auto resumed = take_commands<start_run>();
    ASSERT_EQ(resumed.size(), 1U);
    EXPECT_EQ(resumed[0].upstream, runs[1].upstream);
    EXPECT_EQ(resumed[0].progress.events, events);
}

TEST_F(item_planner_test, too_few_measured_events_move_nothing) {
    set_engines(2, 2);
    add_job(make_job("j", 0, {{400, 400}}));
    const auto runs = take_commands<start_run>();
    for (const std::uint64_t round : {0U, 1U}) {
        now += 300ms;
        progress(runs[0].ticket, round * 2, round * 2 + 2);
        progress(runs[1].ticket, round * 9, round * 9 + 9);
        step();
    }
    EXPECT_TRUE(take_commands<stop_run>().empty());
}

TEST_F(item_planner_test, engine_with_an_older_version_gets_no_item) {
    set_engines(2, 1);
    engines[0].versions["m"] = 2;
    planner.on_upstreams(engines, {.tokens_per_event = tokens_per_event}, now);
    add_job(make_job("j", 0, {{5, 5}}, 2));
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].upstream, engines[0].id);
}

TEST_F(item_planner_test, results_wait_for_each_other_then_are_listed_once) {
    set_engines(1, 4);
    add_job(make_job("j", 0, {{5, 5, 5, 5}}));
    const auto runs = take_commands<start_run>();
    report(runs[0].ticket, 0, 5, run_end::complete);
    auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].first_position, 0U);
    planner.on_committed(job_id("j"), commits[0].number, commit_end::listed,
                         now, commands);
    report(runs[1].ticket, 0, 5, run_end::complete);
    report(runs[2].ticket, 0, 5, run_end::complete);
    EXPECT_TRUE(take_commands<commit_results>().empty());
    now += 999ms;
    step();
    EXPECT_TRUE(take_commands<commit_results>().empty())
        << "their group is still open";
    now += 1ms;
    step();
    commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].first_position, 1U);
    EXPECT_EQ(commits[0].results.size(), 2U);
}

TEST_F(item_planner_test, refused_commit_is_retried_at_its_position) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{5}}));
    report(take_commands<start_run>()[0].ticket, 0, 5, run_end::complete);
    const auto first = take_commands<commit_results>();
    planner.on_committed(job_id("j"), first[0].number, commit_end::not_listed,
                         now, commands);
    // The retry must wait also for the last results of a job, which are
    // otherwise committed immediately. Without the delay, a store that refused
    // writes received a retry every 20 ms.
    step();
    EXPECT_TRUE(take_commands<commit_results>().empty());
    now += 220ms;
    step();
    const auto second = take_commands<commit_results>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].first_position, 0U);
    // A late report about the first attempt is ignored.
    planner.on_committed(job_id("j"), first[0].number, commit_end::listed, now,
                         commands);
    EXPECT_TRUE(planner.has_job(job_id("j")));
    planner.on_committed(job_id("j"), second[0].number, commit_end::listed, now,
                         commands);
    EXPECT_FALSE(planner.has_job(job_id("j")));
}

TEST_F(item_planner_test, lost_term_lists_nothing_but_keeps_results) {
    set_engines(1, 1);
    const auto job = make_job("j", 0, {{5, 5}});
    add_job(job);
    const auto runs = take_commands<start_run>();
    planner.on_term(false);
    report(runs[0].ticket, 0, 5, run_end::complete);
    EXPECT_TRUE(take_commands<commit_results>().empty());
    EXPECT_TRUE(take_commands<start_run>().empty());
    planner.on_term(true);
    step();
    EXPECT_TRUE(take_commands<commit_results>().empty())
        << "the job isn't confirmed yet";
    add_job(job);
    EXPECT_EQ(take_commands<commit_results>().size(), 1U);
}

TEST_F(item_planner_test, result_listed_by_another_planner_is_not_repeated) {
    set_engines(1, 2);
    const auto job = make_job("j", 0, {{5, 5}});
    add_job(job);
    const auto runs = take_commands<start_run>();
    report(runs[0].ticket, 0, 5, run_end::complete);
    const auto lost = take_commands<commit_results>();
    ASSERT_EQ(lost.size(), 1U);
    planner.on_committed(job_id("j"), lost[0].number, commit_end::superseded,
                         now, commands);
    // The write took effect late: the item is listed at position 0.
    add_job(job, {job->items[runs[0].item].id});
    EXPECT_TRUE(take_commands<commit_results>().empty());
    report(runs[1].ticket, 0, 5, run_end::complete);
    now += 220ms;
    step();
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].first_position, 1U);
}

TEST_F(item_planner_test, ended_job_stops_runs_and_retains_texts) {
    set_engines(1, 2);
    const auto first = make_job("j", 0, {{50, 50}});
    add_job(first);
    const auto runs = take_commands<start_run>();
    progress(runs[0].ticket, 0, 9);
    planner.on_job_ended(job_id("j"), commands);
    EXPECT_EQ(take_commands<stop_run>().size(), 2U);
    // The next job submits the incomplete group again.
    const auto second = make_job("k", 0, {{50, 50}});
    add_job(second);
    const auto again = take_commands<start_run>();
    ASSERT_EQ(again.size(), 2U);
    std::multiset<std::uint64_t> after;
    for (const start_run& run : again) {
        after.insert(run.progress.events);
    }
    EXPECT_EQ(after, (std::multiset<std::uint64_t>{0, 9}));
}

TEST_F(item_planner_test,
       retained_text_of_a_too_old_version_is_generated_again) {
    set_engines(1, 1);
    engines[0].versions["m"] = 5;
    planner.on_upstreams(engines, {.tokens_per_event = tokens_per_event}, now);
    add_job(make_job("j", 0, {{50}}));
    progress(take_commands<start_run>()[0].ticket, 0, 9);
    planner.on_job_ended(job_id("j"), commands);
    add_job(make_job("k", 0, {{50}}, 2));
    EXPECT_EQ(take_commands<start_run>()[0].progress.events, 0U);
}

// An engine sends more than the item allows. What it sent may not get into the
// result, and the next run of the item must not go on after it.
TEST_F(item_planner_test, text_beyond_the_items_limit_is_discarded) {
    set_engines(2, 1);
    auto job = make_job("j", 0, {{50}});
    std::const_pointer_cast<batch_job>(job)->items[0].max_tokens = 60;
    add_job(job);
    auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].max_events, 60U);
    const upstream_id faulty = started[0].upstream;
    // The report of an instance of an older version, which has no limit.
    progress(started[0].ticket, 0, 61);
    ASSERT_EQ(take_commands<stop_run>().size(), 1U);
    report(started[0].ticket, 61, 70, run_end::stopped);
    started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_NE(started[0].upstream, faulty);
    EXPECT_EQ(started[0].progress.events, 0U);
    report(started[0].ticket, 0, 0, run_end::oversized);
    now += 1s;
    step();
    started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U) << "no failure of the item";
    EXPECT_EQ(started[0].progress.events, 0U);
}

TEST_F(item_planner_test, complete_text_beyond_the_limit_is_not_listed) {
    set_engines(1, 1);
    const auto job = make_job("j", 0, {{50}});
    add_job(job);
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    report(started[0].ticket, 0, 50, run_end::complete,
           std::string(default_max_text_bytes + 1, 'a'));
    EXPECT_TRUE(take_commands<commit_results>().empty());
}

// Guards against an item that engines run and fail without end: each planner
// counted its failures anew.
TEST_F(item_planner_test, failures_seen_by_earlier_planners_count) {
    set_engines(4, 1);
    job_settings settings;
    settings.max_attempts = 3;
    add_job(make_job("j", 0, {{50}}), {}, {}, settings);
    std::uint32_t saved = 0;
    for (std::uint32_t run = 1; run <= 2; ++run) {
        const auto started = take_commands<start_run>();
        ASSERT_EQ(started.size(), 1U);
        report(started[0].ticket, 0, 0, run_end::failed);
        const auto saves = take_commands<save_progress>();
        ASSERT_EQ(saves.size(), 1U) << "each failure is saved at once";
        ASSERT_EQ(saves[0].parts.size(), 1U);
        saved = saves[0].parts[0].failures;
        EXPECT_EQ(saved, run);
        now += 1s;
        step();
    }
    planner.drop_all(commands);
    planner.on_term(true);
    commands.clear();
    planner.on_job({.id = job_id("j"), .total = 1}, make_job("j", 0, {{50}}),
                   settings, {}, {}, now, now, commands);
    planner.on_saved_failures(job_id("j"), {{0, saved}});
    step();
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    report(started[0].ticket, 0, 0, run_end::failed);
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_FALSE(commits[0].results.at(0).is_completed);
}

TEST_F(item_planner_test,
       item_that_earlier_planners_gave_up_is_listed_as_lost) {
    set_engines(1, 1);
    job_settings settings;
    settings.max_attempts = 3;
    planner.on_job({.id = job_id("j"), .total = 1}, make_job("j", 0, {{50}}),
                   settings, {}, {}, now, now, commands);
    planner.on_saved_failures(job_id("j"), {{0, 3}, {7, 3}});
    step();
    EXPECT_TRUE(take_commands<start_run>().empty());
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_FALSE(commits[0].results.at(0).is_completed);
}

// Load pattern: many long items finish while the store is away. One value of
// the store can't hold all of their texts, and their commit was refused for
// good.
TEST_F(item_planner_test, results_too_large_for_one_value_are_listed_in_parts) {
    set_engines(3, 1);
    const auto job = make_job("j", 0, {{50, 50, 50}});
    add_job(job);
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 3U);
    planner.on_term(false);
    for (const start_run& run : started) {
        report(run.ticket, 0, 50, run_end::complete,
               std::string(200U << 10U, 't'));
    }
    planner.on_term(true);
    add_job(job);
    std::vector<std::size_t> counts;
    while (planner.has_job(job->id)) {
        auto commits = take_commands<commit_results>();
        ASSERT_EQ(commits.size(), 1U);
        std::size_t bytes = 0;
        for (const item_result& result : commits[0].results) {
            bytes += result.text.size();
        }
        EXPECT_LE(bytes, 1U << 19U);
        EXPECT_EQ(commits[0].first_position, counts.empty() ? 0U : counts[0]);
        counts.push_back(commits[0].results.size());
        EXPECT_EQ(commits[0].is_last, counts.size() == 2U);
        planner.on_committed(job->id, commits[0].number, commit_end::listed,
                             now, commands);
        now += 1s;
        step();
    }
    EXPECT_EQ(counts, (std::vector<std::size_t>{2, 1}));
}

// Guards against a result that counts as listed because an earlier commit of
// the job was: the planner had dropped the job and added it again meanwhile.
TEST_F(item_planner_test, outcome_of_a_commit_before_a_drop_is_ignored) {
    set_engines(1, 2);
    const auto job = make_job("j", 0, {{50}});
    const auto run_to_commit = [&] {
        add_job(job);
        const auto started = take_commands<start_run>();
        EXPECT_EQ(started.size(), 1U);
        report(started.at(0).ticket, 0, 50, run_end::complete);
        const auto commits = take_commands<commit_results>();
        EXPECT_EQ(commits.size(), 1U);
        return commits.at(0).number;
    };
    const auto earlier = run_to_commit();
    planner.drop_all(commands);
    planner.on_term(true);
    const auto later = run_to_commit();
    planner.on_committed(job->id, earlier, commit_end::listed, now, commands);
    EXPECT_TRUE(planner.has_job(job->id)) << "taken for the later commit";
    planner.on_committed(job->id, later, commit_end::listed, now, commands);
    EXPECT_FALSE(planner.has_job(job->id));
}

// Guards against engines held by an ended job: it was added after its end had
// been reported, and its items were placed again after each refusal.
TEST_F(item_planner_test, job_whose_end_came_first_is_not_planned) {
    set_engines(1, 2);
    planner.on_job_ended(job_id("j"), commands);
    add_job(make_job("j", 0, {{50, 50}}));
    EXPECT_FALSE(planner.has_job(job_id("j")));
    EXPECT_TRUE(take_commands<start_run>().empty());
}

TEST_F(item_planner_test, new_planner_resumes_from_saved_texts) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{50}}), {},
            {{0,
              {.text = "a\nb",
               .events = 2,
               .versions = {1},
               .origin = {.software = software_version("v1")}}}});
    EXPECT_EQ(take_commands<start_run>()[0].progress.events, 2U);
}

TEST_F(item_planner_test, long_text_is_saved_in_parts_that_join) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{100}}));
    const auto runs = take_commands<start_run>();
    progress(runs[0].ticket, 0, 20);
    now += 2s;
    step();
    auto saved = take_commands<save_progress>();
    ASSERT_EQ(saved.size(), 1U);
    EXPECT_EQ(saved[0].parts[0].base_events, 0U);
    EXPECT_EQ(saved[0].parts[0].events, 20U);
    progress(runs[0].ticket, 20, 40);
    now += 2s;
    step();
    saved = take_commands<save_progress>();
    ASSERT_EQ(saved.size(), 1U);
    EXPECT_EQ(saved[0].parts[0].base_events, 20U);
    EXPECT_EQ(saved[0].parts[0].text, "t");
}

TEST_F(item_planner_test, scoring_leaves_slots_for_callers) {
    set_engines(2, 8);
    add_job(make_job("j", 0, {{5, 5, 5, 5, 5, 5, 5, 5}}, 0, true));
    for (const start_run& run : take_commands<start_run>()) {
        report(run.ticket, 0, 5, run_end::complete);
    }
    const auto scoring = take_commands<start_scoring>();
    EXPECT_EQ(scoring.size(), 4U);
    planner.on_scored({.ticket = scoring[0].ticket, .score = "x"});
    step();
    EXPECT_EQ(take_commands<start_scoring>().size(), 1U);
}

TEST_F(item_planner_test, item_that_failed_max_attempts_times_is_given_up) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{5}}), {}, {}, {.max_attempts = 2});
    report(take_commands<start_run>()[0].ticket, 0, 0, run_end::failed);
    const auto second = take_commands<start_run>();
    ASSERT_EQ(second.size(), 1U);
    report(second[0].ticket, 0, 0, run_end::failed);
    EXPECT_TRUE(take_commands<start_run>().empty());
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_FALSE(commits[0].results[0].is_completed);
}

TEST_F(item_planner_test, expired_items_are_listed_as_given_up) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{5, 5}}), {}, {}, {.time_to_live = 3s});
    now += 3s;
    step();
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].results.size(), 1U)
        << "the other item is still running";
}

TEST_F(item_planner_test, text_reported_by_a_lost_runner_is_kept) {
    set_engines(1, 1);
    add_job(make_job("j", 0, {{50}}));
    const auto runs = take_commands<start_run>();
    progress(runs[0].ticket, 0, 6);
    planner.on_run_lost(runs[0].ticket, now);
    step();
    const auto again = take_commands<start_run>();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].progress.events, 6U);
}

// An instance that is only silent for a while must not lose its work: its runs
// go on unless another one has overtaken them.
class lost_runner_test : public item_planner_test {
public:
    lost_runner_test() {
        set_engines(2, 1);
        add_job(make_job("j", 0, {{50}}));
        first = take_commands<start_run>().at(0).ticket;
        progress(first, 0, 6);
        planner.on_run_lost(first, now);
        step();
        second = take_commands<start_run>().at(0).ticket;
        now += 1s;
    }

    /// The runner reports events of the first run again.
    void find(std::uint64_t base, std::uint64_t events,
              bool is_complete = false) {
        planner.on_run_found(
            {.ticket = first, .base_events = base, .events = events},
            is_complete, now, commands);
    }

    std::vector<run_ticket> stopped() {
        std::vector<run_ticket> tickets;
        for (const stop_run& stop : take_commands<stop_run>()) {
            tickets.push_back(stop.ticket);
        }
        return tickets;
    }

    run_ticket first = 0;
    run_ticket second = 0;
};

TEST_F(lost_runner_test, run_that_is_ahead_replaces_its_replacement) {
    progress(second, 6, 8);
    find(6, 12);
    EXPECT_EQ(stopped(), std::vector<run_ticket>{second});
    progress(first, 6, 12);
    report(first, 12, 13, run_end::complete);
    EXPECT_EQ(take_commands<commit_results>().size(), 1U);
}

TEST_F(lost_runner_test, run_that_is_behind_is_stopped) {
    progress(second, 6, 20);
    find(6, 12);
    EXPECT_EQ(stopped(), std::vector<run_ticket>{first});
    report(second, 20, 21, run_end::complete);
    EXPECT_EQ(take_commands<commit_results>().size(), 1U);
}

TEST_F(lost_runner_test, complete_text_counts_although_the_other_is_ahead) {
    progress(second, 6, 40);
    find(6, 30, true);
    EXPECT_EQ(stopped(), std::vector<run_ticket>{second});
    report(first, 6, 30, run_end::complete);
    EXPECT_EQ(take_commands<commit_results>().size(), 1U);
}

TEST_F(lost_runner_test, run_with_missing_events_is_stopped) {
    progress(second, 6, 8);
    find(9, 12);
    EXPECT_EQ(stopped(), std::vector<run_ticket>{first});
}

TEST_F(lost_runner_test, run_of_a_listed_item_is_stopped) {
    report(second, 6, 9, run_end::complete);
    ASSERT_EQ(take_commands<commit_results>().size(), 1U);
    find(6, 12, true);
    EXPECT_EQ(stopped(), std::vector<run_ticket>{first});
}

TEST_F(lost_runner_test, run_comes_back_before_its_item_starts_again) {
    report(second, 6, 6, run_end::stopped);
    // The engine of the second run got no pause, so the item started there.
    const auto third = take_commands<start_run>();
    ASSERT_EQ(third.size(), 1U);
    report(third[0].ticket, 6, 6, run_end::interrupted);
    take_commands<start_run>();
    find(6, 12);
    EXPECT_FALSE(stopped().empty());
}

// A slow engine that still makes events must not lose its runs: each restart
// elsewhere costs the prompt again.
TEST_F(item_planner_test, slow_run_counts_as_stalled_by_its_engines_speed) {
    set_engines(2, 1);
    add_job(make_job("j", 0, {{50}}));
    const auto run = take_commands<start_run>().at(0).ticket;
    for (std::uint64_t events = 0; events < 8; ++events) {
        progress(run, events, events + 1);
        now += 600ms;
    }
    // The last event came 0.6 s ago; the next one is late, but not stalled.
    now += 600ms;
    step();
    EXPECT_TRUE(take_commands<stop_run>().empty());
    now += 1'800ms;
    step();
    EXPECT_EQ(take_commands<stop_run>().size(), 1U);
}

// Guards against runs that stay on an engine while it loads weights. The load
// delays a run by a second, which makes a long item miss its target.
TEST_F(item_planner_test, run_moves_off_an_engine_that_begins_to_load) {
    set_engines(2, 1);
    add_job(make_job("j", 0, {{50}}));
    const auto first = take_commands<start_run>();
    ASSERT_EQ(first.size(), 1U);
    progress(first[0].ticket, 0, 9);
    loading.insert(first[0].upstream);
    planner.on_loading(first[0].upstream, "m", now, commands);
    ASSERT_EQ(take_commands<stop_run>().size(), 1U);
    report(first[0].ticket, 9, 9, run_end::stopped);
    const auto second = take_commands<start_run>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].upstream, first[0].upstream);
    EXPECT_EQ(second[0].progress.events, 9U);
}

TEST_F(item_planner_test, run_stays_on_a_loading_engine_if_there_is_no_other) {
    set_engines(2, 1);
    add_job(make_job("j", 0, {{50}, {50}}));
    const auto runs = take_commands<start_run>();
    ASSERT_EQ(runs.size(), 2U);
    loading.insert(runs[0].upstream);
    planner.on_loading(runs[0].upstream, "m", now, commands);
    EXPECT_TRUE(take_commands<stop_run>().empty());
}

// A trainer uses a group once it is complete, so a complete group is listed
// immediately. Results of incomplete groups wait and share a write, which
// halves the writes of a job.
TEST_F(item_planner_test,
       results_of_incomplete_groups_wait_for_a_complete_group) {
    set_engines(1, 4);
    add_job(make_job("j", 0, {{9, 9}, {9, 9, 9}}));
    auto runs = take_commands<start_run>();
    ASSERT_EQ(runs.size(), 4U);
    std::map<std::string, std::vector<run_ticket>> tickets;
    for (const start_run& run : runs) {
        tickets[run.job->items[run.item].group].push_back(run.ticket);
    }
    now += 10s;
    report(tickets["g1"][0], 0, 9, run_end::complete);
    auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    planner.on_committed(job_id("j"), commits[0].number, commit_end::listed,
                         now, commands);
    now += 100ms;
    report(tickets["g1"][1], 0, 9, run_end::complete);
    EXPECT_TRUE(take_commands<commit_results>().empty())
        << "its group is still open";
    report(tickets["g0"][0], 0, 9, run_end::complete);
    report(tickets["g0"][1], 0, 9, run_end::complete);
    commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].results.size(), 3U);
}

namespace {

/// A planner that takes over the term from another planner.
class planner_takeover_test : public item_planner_test {
public:
    planner_takeover_test() {
        set_engines(2, 2);
        planner.begin_adoption(now);
    }

    held_run held(run_ticket ticket, const batch_job& job, std::size_t item,
                  std::uint64_t events) {
        return {.ticket = ticket,
                .job = job.id,
                .id = job.items[item].id.text(),
                .upstream = engines[0].id,
                .events = events,
                .text = "text",
                .versions = {1},
                .origin = {.software = software_version("v1"),
                           .first_run = ticket}};
    }
};

} // namespace

// Guards against the loss of text when a planner fails: its successor had only
// the saved texts and repeated seconds of each long item, although an item that
// takes 7 s is due after 8.2 s.
TEST_F(planner_takeover_test, held_run_continues_under_the_new_planner) {
    const auto job = make_job("j", 0, {{50, 50}});
    planner.on_held_run(held(900, *job, 1, 30), now, commands);
    add_job(job);
    EXPECT_TRUE(take_commands<start_run>().empty())
        << "other instances may hold runs of the other items";
    planner.end_adoption();
    step();
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].item, 0U);
    EXPECT_EQ(planner.runs_on(engines[0].id, "m") +
                  planner.runs_on(engines[1].id, "m"),
              2U);
    report(900, 30, 50, run_end::complete);
    report(started[0].ticket, 0, 50, run_end::complete);
    const auto commits = take_commands<commit_results>();
    ASSERT_FALSE(commits.empty());
    EXPECT_EQ(commits[0].results[0].text, "text\nt");
}

TEST_F(planner_takeover_test, silent_instances_delay_a_new_planner_briefly) {
    add_job(make_job("j", 0, {{50}}));
    EXPECT_TRUE(take_commands<start_run>().empty());
    ASSERT_TRUE(planner.next_wakeup());
    now = *planner.next_wakeup();
    step();
    EXPECT_EQ(take_commands<start_run>().size(), 1U);
    EXPECT_LE(now, steady_time{1h} + 500ms);
}

TEST_F(planner_takeover_test, kept_result_is_listed_without_another_run) {
    const auto job = make_job("j", 0, {{50}}, 0, true);
    held_run text = held(900, *job, 0, 50);
    text.has_ended = true;
    held_run score{.ticket = 901,
                   .job = job->id,
                   .id = "s",
                   .is_scoring = true,
                   .has_ended = true,
                   .score = "good",
                   .text_ticket = 900};
    // The score may be reported before its text.
    planner.on_held_run(score, now, commands);
    planner.on_held_run(text, now, commands);
    add_job(job);
    planner.end_adoption();
    step();
    EXPECT_TRUE(take_commands<start_run>().empty());
    EXPECT_TRUE(take_commands<start_scoring>().empty());
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].results[0].score, "good");
    planner.on_committed(job->id, commits[0].number, commit_end::listed, now,
                         commands);
    EXPECT_EQ(take_commands<release_run>().size(), 2U);
}

// A planner that missed the reports of its predecessor's runs had the item run
// again, and failed in turn.
TEST_F(planner_takeover_test, score_of_an_earlier_text_is_not_used) {
    const auto job = make_job("j", 0, {{50}}, 0, true);
    held_run earlier = held(900, *job, 0, 50);
    earlier.has_ended = true;
    held_run later = held(950, *job, 0, 50);
    later.has_ended = true;
    later.text = "another text";
    held_run score{.ticket = 901,
                   .job = job->id,
                   .id = "s",
                   .is_scoring = true,
                   .has_ended = true,
                   .score = "score of the earlier text",
                   .text_ticket = 900};
    // The order in which instances report is arbitrary.
    planner.on_held_run(later, now, commands);
    planner.on_held_run(earlier, now, commands);
    planner.on_held_run(score, now, commands);
    add_job(job);
    planner.end_adoption();
    step();
    EXPECT_TRUE(take_commands<commit_results>().empty());
    EXPECT_EQ(take_commands<start_scoring>().size(), 1U);
}

// Guards against engines held by a job that ended before its new planner had
// loaded it.
TEST_F(planner_takeover_test, held_run_of_an_ended_job_is_stopped) {
    const auto job = make_job("j", 0, {{50, 50}});
    planner.on_held_run(held(900, *job, 0, 30), now, commands);
    planner.on_job_ended(job->id, commands);
    planner.on_held_run(held(901, *job, 1, 30), now, commands);
    const auto stopped = take_commands<stop_run>();
    ASSERT_EQ(stopped.size(), 2U);
    EXPECT_EQ(stopped[0].ticket, 900U);
    EXPECT_EQ(stopped[1].ticket, 901U);
}

// A planner that regains its term still has its runs, and stopped each of them
// when it was reported.
TEST_F(planner_takeover_test, own_run_goes_on_after_the_term_is_regained) {
    planner.end_adoption();
    const auto job = make_job("j", 0, {{50}});
    add_job(job);
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    planner.on_term(false);
    planner.begin_adoption(now);
    planner.on_term(true);
    planner.on_held_run(held(started[0].ticket, *job, 0, 30), now, commands);
    add_job(job);
    planner.end_adoption();
    step();
    EXPECT_TRUE(take_commands<stop_run>().empty());
    EXPECT_TRUE(take_commands<start_run>().empty());
    report(started[0].ticket, 30, 50, run_end::complete);
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].results[0].text, "text\nt")
        << "events that came while there was no term count";
}

TEST_F(planner_takeover_test, own_run_that_ended_without_a_term_is_listed) {
    planner.end_adoption();
    const auto job = make_job("j", 0, {{50}});
    add_job(job);
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    planner.begin_adoption(now);
    held_run ended = held(started[0].ticket, *job, 0, 50);
    ended.has_ended = true;
    planner.on_held_run(ended, now, commands);
    planner.end_adoption();
    step();
    EXPECT_TRUE(take_commands<start_run>().empty());
    const auto commits = take_commands<commit_results>();
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].results[0].text, "text");
}

TEST_F(planner_takeover_test, item_held_twice_is_run_once) {
    const auto job = make_job("j", 0, {{50}});
    planner.on_held_run(held(900, *job, 0, 30), now, commands);
    planner.on_held_run(held(901, *job, 0, 20), now, commands);
    add_job(job);
    planner.end_adoption();
    step();
    EXPECT_TRUE(take_commands<start_run>().empty());
    const auto stopped = take_commands<stop_run>();
    ASSERT_EQ(stopped.size(), 1U);
    EXPECT_EQ(stopped[0].ticket, 901U);
}

TEST_F(planner_takeover_test, held_run_of_a_listed_item_is_stopped) {
    const auto job = make_job("j", 0, {{50, 50}});
    add_job(job, {job->items[0].id});
    planner.on_held_run(held(900, *job, 0, 30), now, commands);
    const auto stopped = take_commands<stop_run>();
    ASSERT_EQ(stopped.size(), 1U);
    EXPECT_EQ(stopped[0].ticket, 900U);
}

TEST_F(planner_takeover_test,
       held_text_of_a_too_old_version_is_generated_again) {
    engines[1].versions["m"] = 5;
    planner.on_upstreams(engines, {.tokens_per_event = tokens_per_event}, now);
    const auto job = make_job("j", 0, {{50}}, 5);
    planner.on_held_run(held(900, *job, 0, 30), now, commands);
    add_job(job);
    planner.end_adoption();
    step();
    EXPECT_EQ(take_commands<stop_run>().size(), 1U);
    const auto started = take_commands<start_run>();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].progress.events, 0U);
}

// Load: a step begins while the engines limit their requests.
TEST_F(item_planner_test, items_start_within_the_request_limits_of_engines) {
    set_engines(2, 8);
    for (const upstream_entry& engine : engines) {
        planner.on_request_limit(engine.id, 2, now);
    }
    add_job(make_job("j", 4, {4, {20, 20, 20, 20}}));
    // A burst of four on each engine: the requests of one second and two more.
    EXPECT_EQ(take_commands<start_run>().size(), 8U);
    now += 250ms;
    step();
    EXPECT_TRUE(take_commands<start_run>().empty());
    now += 250ms;
    step();
    EXPECT_EQ(take_commands<start_run>().size(), 2U);
    planner.on_request_limit(engines.front().id, std::nullopt, now);
    step();
    EXPECT_EQ(take_commands<start_run>().size(), 3U)
        << "an engine without a limit takes items up to its slots";
}

// The same engine must not get more because a runner reports late.
TEST_F(item_planner_test, late_report_does_not_lift_a_request_limit) {
    set_engines(1, 8);
    planner.on_request_limit(engines.front().id, 1, now);
    planner.on_request_limit(engines.front().id, std::nullopt, now - 1ms);
    add_job(make_job("j", 2, {2, {20, 20, 20, 20}}));
    EXPECT_EQ(take_commands<start_run>().size(), 3U);
}

// Load: a burst of crashes; the same sound item is lost each time, and then all
// engines are well and have room.
TEST_F(item_planner_test, item_under_which_engines_crashed_is_placed_again) {
    set_engines(3, 2);
    add_job(make_job("j", 1, {{20}}), {}, {}, {.time_to_live = 1h});
    for (int crash = 0; crash < 30; ++crash) {
        const auto started = take_commands<start_run>();
        ASSERT_EQ(started.size(), 1U) << "after " << crash << " crashes";
        report(started.front().ticket, 0, 0, run_end::interrupted, "");
        // All engines pause after failures, for 4 s at most.
        now += 4s;
        step();
    }
}

// Guards against a job that can't be in time any more and takes the engines
// from one that can, and against spare capacity that begins new groups while
// others lack one item.
TEST_F(item_planner_test, hopeless_job_yields_and_completes_begun_groups) {
    set_engines(1, 2);
    const auto add = [&](const std::string& id, steady_time accepted_at,
                         std::vector<std::vector<std::uint64_t>> events) {
        const auto job = make_job(id, 0, events);
        planner.on_job({.id = job->id, .organisation = organisation_id("x")},
                       job, {.time_to_live = 1h, .has_organisations = true}, {},
                       {}, accepted_at, now, commands);
        step();
    };
    const auto started_items = [&] {
        std::vector<std::string> items;
        for (const start_run& run : take_commands<start_run>()) {
            items.push_back(run.job->id.text() +
                            run.job->items[run.item].id.text());
        }
        return items;
    };
    add("late", now, {{4}, {30, 2}, {40, 8}});
    EXPECT_EQ(started_items(),
              (std::vector<std::string>{"lateg2i0", "lateg1i0"}));
    now += 8s;
    progress(1, 0, 1);
    progress(2, 0, 1);
    step();
    EXPECT_EQ(take_commands<order_change>().size(), 1U);
    add("new", now, {{10}});
    report(1, 1, 40, run_end::complete);
    EXPECT_EQ(started_items(), std::vector<std::string>{"newg0i0"});
    report(2, 1, 30, run_end::complete);
    EXPECT_EQ(started_items(), std::vector<std::string>{"lateg1i1"})
        << "the item that completes a begun group soonest";
}

// Guards against slots that one organisation gets at once, because its job is
// due first, while the next one would be late.
TEST_F(item_planner_test, organisations_take_turns_if_jobs_would_be_late) {
    set_engines(1, 4);
    const auto add = [&](const std::string& organisation) {
        const auto job =
            make_job(organisation, 0, {{9, 9, 9, 9}, {9, 9, 9, 9}});
        planner.on_job(
            {.id = job->id, .organisation = organisation_id(organisation)}, job,
            {.time_to_live = 1h, .has_organisations = true}, {}, {}, now, now,
            commands);
        step();
    };
    add("x");
    const auto first = take_commands<start_run>();
    ASSERT_EQ(first.size(), 4U);
    // At 400 ms per event x can still be in time if it gets all slots, and y is
    // late then.
    for (std::uint64_t events = 1; events < 9; ++events) {
        now += 400ms;
        for (const start_run& run : first) {
            progress(run.ticket, events - 1, events);
        }
        step();
    }
    add("y");
    EXPECT_EQ(take_commands<order_change>().size(), 1U);
    std::string started;
    for (const start_run& run : first) {
        report(run.ticket, 8, 9, run_end::complete);
    }
    for (const start_run& run : take_commands<start_run>()) {
        started += run.job->id.text();
    }
    EXPECT_EQ(started.size(), 4U);
    EXPECT_NE(started.find('y'), std::string::npos) << started;
}

// Rolling upgrade: a runner of the previous build reports any bytes. A text
// with such bytes is run again behind its sound part.
TEST_F(item_planner_test, reported_text_that_is_not_utf8_is_run_again) {
    set_engines(2, 1);
    add_job(make_job("j", 1, {{3}}));
    const auto first = take_commands<start_run>();
    ASSERT_EQ(first.size(), 1U);
    progress(first[0].ticket, 0, 1);
    report(first[0].ticket, 1, 3, run_end::complete, "b\n\xff");
    EXPECT_TRUE(take_commands<commit_results>().empty());
    now += std::chrono::seconds(1);
    step();
    const auto second = take_commands<start_run>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].progress.events, 1U);
}

TEST_F(item_planner_test, held_text_that_is_not_utf8_is_run_again) {
    set_engines(1, 1);
    planner.on_held_run({.ticket = 900,
                         .job = job_id("j"),
                         .id = "g0i0",
                         .has_ended = true,
                         .upstream = upstream_id("e0"),
                         .events = 2,
                         .text = "a\n\xff",
                         .versions = {1}},
                        now, commands);
    add_job(make_job("j", 1, {{2}}));
    EXPECT_TRUE(take_commands<commit_results>().empty());
    EXPECT_EQ(take_commands<start_run>().size(), 1U);
}

TEST_F(item_planner_test, reported_score_that_is_not_utf8_is_scored_again) {
    set_engines(1, 1);
    add_job(make_job("j", 1, {{1}}, 0, true));
    report(take_commands<start_run>().at(0).ticket, 0, 1, run_end::complete);
    const auto first = take_commands<start_scoring>();
    ASSERT_EQ(first.size(), 1U);
    planner.on_scored({.ticket = first[0].ticket, .score = "\xff"});
    step();
    EXPECT_TRUE(take_commands<commit_results>().empty());
    EXPECT_EQ(take_commands<start_scoring>().size(), 1U);
}

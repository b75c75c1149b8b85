#include "tests/servers/batch/item_planner_fixture.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

/// Two engines of different software, each with one slot.
class item_software_test : public item_planner_fixture {
public:
    item_software_test() {
        set_engines(2, 1);
        engines[1].software = software_version("v2");
        publish_engines();
    }

    /// Adds a job with one item and returns its first run, which is on v1.
    start_run start_on_first() {
        add_job(make_job("j", 0, {{100}}));
        const auto runs = take_commands<start_run>();
        EXPECT_EQ(runs.size(), 1U);
        EXPECT_EQ(runs.at(0).upstream, engines[0].id);
        return runs.at(0);
    }

    /// Lets the engine look as fast or slow as given.
    void measure(const start_run& run, std::chrono::milliseconds per_event) {
        progress(run.ticket, 0, 10);
        now += 30 * per_event;
        progress(run.ticket, 10, 40);
        now += 30 * per_event;
        progress(run.ticket, 40, 70);
        step();
        now += 300ms;
        step();
    }

    item_progress text(std::uint64_t events, const std::string& software) {
        return {
            .text = "t",
            .events = events,
            .versions = {1},
            .origin = {.software = software_version(software), .first_run = 7}};
    }
};

} // namespace

TEST_F(item_software_test, text_isnt_continued_by_other_software) {
    const start_run first = start_on_first();
    progress(first.ticket, 0, 9);
    engines.erase(engines.begin());
    publish_engines();
    report(first.ticket, 9, 9, run_end::interrupted);
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].progress.events, 0U);
    EXPECT_TRUE(next[0].progress.versions.empty());
    EXPECT_EQ(next[0].progress.origin.software, software_version("v2"));
    EXPECT_EQ(next[0].progress.origin.first_run, next[0].ticket);
    EXPECT_EQ(take_commands<discard_text>().size(), 1U);
}

TEST_F(item_software_test, text_goes_on_at_another_engine_of_its_software) {
    const start_run first = start_on_first();
    progress(first.ticket, 0, 9);
    engines.push_back({.id = upstream_id("e2"),
                       .service = service_name("engine"),
                       .slots = 1,
                       .software = software_version("v1"),
                       .versions = {{"m", 1}}});
    publish_engines();
    report(first.ticket, 9, 9, run_end::interrupted);
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].upstream, upstream_id("e2"));
    EXPECT_EQ(next[0].progress.events, 9U);
    EXPECT_EQ(next[0].progress.origin, first.progress.origin);
}

// The engine is paused after the failure, the other one is free.
TEST_F(item_software_test, item_waits_no_longer_than_its_text_took) {
    const start_run first = start_on_first();
    measure(first, 2ms);
    report(first.ticket, 70, 70, run_end::interrupted);
    EXPECT_TRUE(take_commands<start_run>().empty());
    now += 139ms;
    step();
    EXPECT_TRUE(take_commands<start_run>().empty());
    now += 2ms;
    step();
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].upstream, engines[1].id);
    EXPECT_EQ(next[0].progress.events, 0U);
}

TEST_F(item_software_test, waiting_item_takes_its_engine_when_it_has_room) {
    const start_run first = start_on_first();
    measure(first, 20ms);
    report(first.ticket, 70, 70, run_end::interrupted);
    EXPECT_TRUE(take_commands<start_run>().empty());
    now += 260ms;
    step();
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].upstream, engines[0].id);
    EXPECT_EQ(next[0].progress.events, 70U);
}

TEST_F(item_software_test, waiting_text_doesnt_hold_up_other_items) {
    const start_run first = start_on_first();
    measure(first, 20ms);
    add_job(make_job("k", 0, {{10}}));
    EXPECT_EQ(take_commands<start_run>().size(), 1U);
    add_job(make_job("l", 0, {{10}}));
    report(first.ticket, 70, 70, run_end::interrupted);
    EXPECT_TRUE(take_commands<start_run>().empty());
    now += 260ms;
    step();
    // The engine of the waiting text has one slot, which the text gets.
    const auto next = take_commands<start_run>();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].progress.events, 70U);
}

TEST_F(item_software_test, run_doesnt_move_to_other_software) {
    const start_run first = start_on_first();
    add_job(make_job("k", 0, {{200}}));
    const auto second = take_commands<start_run>();
    ASSERT_EQ(second.size(), 1U);
    measure(second[0], 2ms);
    report(second[0].ticket, 70, 71, run_end::complete);
    measure(first, 40ms);
    EXPECT_TRUE(take_commands<stop_run>().empty());
}

TEST_F(item_software_test, run_isnt_stopped_by_a_load_for_other_software) {
    const start_run first = start_on_first();
    progress(first.ticket, 0, 9);
    planner.on_loading(engines[0].id, "m", now, commands);
    EXPECT_TRUE(take_commands<stop_run>().empty());
}

TEST_F(item_software_test, saved_text_is_used_by_its_software_only) {
    engines.erase(engines.begin());
    publish_engines();
    add_job(make_job("j", 0, {{100}}), {}, {{0, text(9, "v1")}});
    EXPECT_EQ(take_commands<start_run>().at(0).progress.events, 0U);
}

// Also texts that an older version of this service saved.
TEST_F(item_software_test, text_of_unknown_software_is_not_used) {
    add_job(make_job("j", 0, {{100}}), {}, {{0, text(9, "")}});
    EXPECT_EQ(take_commands<start_run>().at(0).progress.events, 0U);
}

TEST_F(item_software_test, retained_text_is_used_by_its_software_only) {
    const start_run first = start_on_first();
    progress(first.ticket, 0, 9);
    planner.on_job_ended(job_id("j"), commands);
    engines.erase(engines.begin());
    publish_engines();
    add_job(make_job("k", 0, {{100}}));
    EXPECT_EQ(take_commands<start_run>().at(0).progress.events, 0U);
}

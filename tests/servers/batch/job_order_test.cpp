#include "servers/batch/job_order.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

namespace {

using namespace std::chrono_literals;

/// Plays jobs on the slots of one service in steps of 100 ms. All items are in
/// groups of their own and take `item_tokens`.
class job_order_test : public ::testing::Test {
public:
    static constexpr std::uint64_t item_tokens = 1'000;
    static constexpr double slot_tokens_per_second = 1'000;

    struct played_job {
        job_record record;
        steady_time due;
        std::size_t waiting = 0;
        /// Ends of the items in progress.
        std::vector<steady_time> runs;
        std::size_t done = 0;
        std::optional<steady_time> complete_at;
    };

    void add(const std::string& id, const std::string& organisation,
             std::size_t items, std::chrono::milliseconds target) {
        jobs.push_back(
            {.record = {.id = job_id(id),
                        .organisation = organisation_id(organisation)},
             .due = now + target,
             .waiting = items});
    }

    void step() {
        std::vector<open_job> open;
        std::vector<job_demand> demands;
        std::size_t running = 0;
        for (played_job& job : jobs) {
            const auto ended =
                std::erase_if(job.runs, [&](auto end) { return end <= now; });
            job.done += ended;
            if (job.waiting + job.runs.size() == 0 && !job.complete_at) {
                job.complete_at = now;
            }
            running += job.runs.size();
            open.push_back({.record = &job.record,
                            .due = job.due,
                            .has_organisations = has_organisations});
            std::uint64_t tokens = job.waiting * item_tokens;
            std::uint64_t longest = job.waiting > 0 ? item_tokens : 0;
            for (const steady_time end : job.runs) {
                const auto left = static_cast<std::uint64_t>((end - now) / 1ms);
                tokens += left;
                longest = std::max(longest, left);
            }
            demands.push_back({.open_tokens = tokens,
                               .needed_tokens = tokens,
                               .longest_needed_tokens = longest});
        }
        if (order.needs_refresh(open, now)) {
            const service_speed speed{
                .tokens_per_second =
                    slot_tokens_per_second * static_cast<double>(slots),
                .slot_tokens_per_second = slot_tokens_per_second};
            for (const order_change& change :
                 order.refresh(open, demands, speed, now)) {
                ++changes[change.job.text()];
            }
        }
        job_round round = order.begin_round(open);
        while (const auto at = round.next()) {
            if (running == slots || jobs[*at].waiting == 0) {
                round.on_exhausted(*at);
                continue;
            }
            ++running;
            --jobs[*at].waiting;
            jobs[*at].runs.push_back(now + 1s);
            round.on_placed(*at, item_tokens);
        }
        now += 100ms;
    }

    void play(std::chrono::milliseconds time) {
        for (const steady_time end = now + time; now < end;) {
            step();
        }
    }

    [[nodiscard]] const played_job& job(const std::string& id) const {
        return *std::find_if(jobs.begin(), jobs.end(), [&](const auto& one) {
            return one.record.id.text() == id;
        });
    }

    /// Number of items of the organisation that are running or complete.
    [[nodiscard]] std::size_t
    started_by(const std::string& organisation) const {
        std::size_t started = 0;
        for (const played_job& one : jobs) {
            if (one.record.organisation.text() == organisation) {
                started += one.runs.size() + one.done;
            }
        }
        return started;
    }

    [[nodiscard]] bool is_in_time(const std::string& id) const {
        const played_job& one = job(id);
        return one.complete_at && *one.complete_at <= one.due;
    }

    steady_time now{1h};
    std::size_t slots = 10;
    bool has_organisations = true;
    std::deque<played_job> jobs;
    std::map<std::string, std::size_t> changes;
    job_order order{{}};
};

// Guards against a large organisation that starves small ones, because its jobs
// are due first: 160 items of 1 s on 10 slots, and two jobs of 8 items.
TEST_F(job_order_test, large_organisation_leaves_small_ones_their_share) {
    for (int at = 0; at < 4; ++at) {
        add("large" + std::to_string(at), "large", 40, 12s);
    }
    play(1s);
    add("small0", "a", 8, 11'500ms);
    add("small1", "b", 8, 11'500ms);
    play(30s);
    EXPECT_TRUE(is_in_time("small0"));
    EXPECT_TRUE(is_in_time("small1"));
    EXPECT_TRUE(is_in_time("large0"));
    for (const played_job& one : jobs) {
        EXPECT_TRUE(one.complete_at) << one.record.id.text();
    }
}

// Guards against shares that depend on the due time or the order of submission.
TEST_F(job_order_test, equal_organisations_receive_equal_work) {
    for (const std::string organisation : {"x", "y", "z"}) {
        for (int at = 0; at < 6; ++at) {
            add(organisation + std::to_string(at), organisation, 10, 12s);
        }
    }
    play(9s);
    for (const std::string organisation : {"x", "y", "z"}) {
        EXPECT_NEAR(static_cast<double>(started_by(organisation)), 30, 2)
            << organisation;
    }
}

// Guards against sharing without need: in the order of due times both are in
// time, and shared the first one wouldn't be.
TEST_F(job_order_test, organisations_do_not_share_if_no_job_would_be_late) {
    add("first", "x", 30, 3'500ms);
    add("second", "y", 30, 10s);
    play(8s);
    EXPECT_TRUE(is_in_time("first"));
    EXPECT_TRUE(is_in_time("second"));
    EXPECT_TRUE(changes.empty());
}

// Guards against a job that is late anyway and makes the next one late as well.
TEST_F(job_order_test, hopeless_job_yields_to_one_that_can_be_in_time) {
    add("hopeless", "x", 60, 5s);
    add("possible", "x", 30, 6s);
    play(6s);
    EXPECT_TRUE(is_in_time("possible"));
    EXPECT_GE(job("hopeless").done, 20U) << "spare capacity is used";
    play(6s);
    EXPECT_TRUE(job("hopeless").complete_at);
}

// Guards against an order that follows small changes of demand and speed: at
// the edge, the work alternates between 96 and 104 percent of what is possible.
TEST_F(job_order_test, demand_at_the_edge_changes_the_standing_once) {
    add("edge", "x", 0, 10s);
    add("other", "x", 0, 20s);
    const std::vector<open_job> open{{.record = &jobs[0].record,
                                      .due = jobs[0].due,
                                      .has_organisations = true},
                                     {.record = &jobs[1].record,
                                      .due = jobs[1].due,
                                      .has_organisations = true}};
    const service_speed speed{.tokens_per_second = 1'000,
                              .slot_tokens_per_second = 1'000};
    std::size_t changed = 0;
    for (int at = 0; at < 40; ++at) {
        const std::uint64_t needed = at % 2 == 0 ? 9'600 : 10'400;
        const job_demand demand{.open_tokens = needed,
                                .needed_tokens = needed,
                                .longest_needed_tokens = 1};
        changed += order.refresh(open, {demand, demand}, speed, now).size();
    }
    EXPECT_EQ(changed, 1U);
    const job_demand little{.open_tokens = 7'000,
                            .needed_tokens = 7'000,
                            .longest_needed_tokens = 1};
    EXPECT_EQ(order.refresh(open, {little, little}, speed, now).size(), 1U)
        << "gets its place back with a margin";
}

// Guards against an organisation that gets more by splitting its work into many
// small jobs, each of which ends soon.
TEST_F(job_order_test, many_small_jobs_get_no_more_than_one_large_one) {
    add("large", "x", 100, 20s);
    for (int at = 0; at < 25; ++at) {
        add("small" + std::to_string(at), "y", 4, 7s);
    }
    play(5s);
    EXPECT_NEAR(static_cast<double>(started_by("x")), 25, 3);
    EXPECT_NEAR(static_cast<double>(started_by("y")), 25, 3);
}

// Without organisations the order is the one before they existed, whatever the
// jobs need: neither late nor hopeless jobs change it.
RC_GTEST_PROP(job_order_property, no_organisations_means_the_old_order,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& keys,
               bool has_flag)) {
    const steady_time now{1h};
    std::vector<job_record> records(keys.size());
    std::vector<open_job> jobs;
    std::vector<job_demand> demands;
    for (std::size_t at = 0; at < keys.size(); ++at) {
        records[at].id = job_id(std::to_string(at));
        // One without the other has no effect either.
        records[at].organisation = organisation_id(has_flag ? "" : "x");
        jobs.push_back({.record = &records[at],
                        .priority = keys[at].first % 4U,
                        .due = now + (keys[at].second % 8U) * 1s,
                        .has_organisations = has_flag});
        demands.push_back({.open_tokens = 1'000U * (at % 5),
                           .needed_tokens = 1'000U * (at % 5)});
    }
    std::vector<std::size_t> expected(keys.size());
    std::iota(expected.begin(), expected.end(), std::size_t{0});
    std::stable_sort(expected.begin(), expected.end(), [&](auto a, auto b) {
        return std::pair(jobs[a].priority, jobs[a].due) <
               std::pair(jobs[b].priority, jobs[b].due);
    });
    job_order order{{}};
    RC_ASSERT(
        order
            .refresh(jobs, demands,
                     {.tokens_per_second = 100, .slot_tokens_per_second = 10},
                     now)
            .empty());
    RC_ASSERT(!order.needs_refresh(jobs, now + 1h));
    job_round round = order.begin_round(jobs);
    std::vector<std::size_t> actual;
    while (const auto at = round.next()) {
        // A job keeps its turn while it can place items.
        round.on_placed(*at, 1'000);
        RC_ASSERT(round.next() == at);
        round.on_exhausted(*at);
        actual.push_back(*at);
    }
    RC_ASSERT(actual == expected);
}

} // namespace

} // namespace savorydock

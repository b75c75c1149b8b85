#include "servers/batch/item_ranking.hpp"
#include "tests/servers/batch/item_planner_fixture.hpp"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace savorydock {

namespace {

using namespace std::chrono_literals;

class item_planner_order_test : public item_planner_fixture {};

// Without organisations in the configuration, items start exactly as before
// organisations existed: by priority, due time and id of the job, then by rank.
RC_GTEST_FIXTURE_PROP(
    item_planner_order_test, no_organisations_means_the_old_order,
    (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>&
         keys,
     std::uint8_t drawn_slots)) {
    // The cache of the fixture's engine has room for 57 of the longest items.
    const std::uint32_t slots = drawn_slots % 50U;
    using start_key = std::tuple<std::uint32_t, steady_time, std::string,
                                 std::size_t, std::string>;
    std::vector<start_key> expected;
    for (std::size_t at = 0; at < keys.size(); ++at) {
        const auto [priority, delay, length] = keys[at];
        const std::string id = "j" + std::to_string(100 + at);
        const job_settings settings{.time_to_live = 0ms,
                                    .priority = priority % 3U};
        const steady_time accepted_at = now - (delay % 20U) * 1s;
        const auto job =
            make_job(id, length % 2U, {{1U + length, 30}, {7, 60U + length}});
        planner.on_job({.id = job->id, .organisation = organisation_id(id)},
                       job, settings, {}, {}, accepted_at, now, commands);
        const std::vector<ranked_item> ranked = rank_items(*job);
        for (std::size_t item = 0; item < ranked.size(); ++item) {
            expected.emplace_back(
                settings.priority, accepted_at + settings.target, id,
                ranked[item].rank, job->items[item].id.text());
        }
    }
    std::sort(expected.begin(), expected.end());
    expected.resize(std::min<std::size_t>(expected.size(), slots));
    set_engines(1, slots);
    step();
    std::vector<std::pair<std::string, std::string>> started;
    for (const start_run& run : take_commands<start_run>()) {
        started.emplace_back(run.job->id.text(),
                             run.job->items[run.item].id.text());
    }
    RC_ASSERT(started.size() == expected.size());
    for (std::size_t at = 0; at < started.size(); ++at) {
        RC_ASSERT(started[at] == std::pair(std::get<2>(expected[at]),
                                           std::get<4>(expected[at])));
    }
}

} // namespace

} // namespace savorydock

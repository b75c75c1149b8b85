#pragma once

#include "servers/batch/item_planner.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

/// A planner that holds its term, with some engines. Collects the commands
/// without executing them.
class item_planner_fixture : public ::testing::Test {
public:
    static constexpr std::uint64_t tokens_per_event = 50;

    item_planner_fixture()
        : planner({}, 1,
                  [this](const upstream_id& upstream, const std::string&,
                         steady_time) { return loading.contains(upstream); }) {
        planner.on_term(true);
    }

    void set_engines(std::size_t count, std::uint32_t slots) {
        engines.clear();
        for (std::size_t at = 0; at < count; ++at) {
            engines.push_back({.id = upstream_id("e" + std::to_string(at)),
                               .service = service_name("engine"),
                               .slots = slots,
                               .software = software_version("v1"),
                               .versions = {{"m", 1}}});
        }
        publish_engines();
    }

    void publish_engines() {
        planner.on_upstreams(engines,
                             {.cache_tokens = 1'000'000,
                              .tokens_per_event = tokens_per_event,
                              .scoring_slots = 4},
                             now);
    }

    /// Makes a job of groups; `events[g]` are the expected numbers of events of
    /// the items of group g.
    std::shared_ptr<const batch_job>
    make_job(const std::string& id, std::uint32_t target_groups,
             const std::vector<std::vector<std::uint64_t>>& events,
             weight_version min_version = 0, bool has_scoring = false) {
        auto job = std::make_shared<batch_job>();
        job->id = job_id(id);
        job->model = "m";
        job->min_version = min_version;
        job->target_groups = target_groups;
        for (std::size_t group = 0; group < events.size(); ++group) {
            for (std::size_t at = 0; at < events[group].size(); ++at) {
                batch_item item{.id = item_id("g" + std::to_string(group) +
                                              "i" + std::to_string(at)),
                                .prompt_tokens = 10,
                                .max_tokens = 100'000,
                                .expected_tokens =
                                    events[group][at] * tokens_per_event,
                                .group = "g" + std::to_string(group)};
                if (has_scoring) {
                    item.scoring = scoring_call{.id = "s"};
                }
                job->items.push_back(std::move(item));
            }
        }
        return job;
    }

    void add_job(const std::shared_ptr<const batch_job>& job,
                 const std::vector<item_id>& listed = {},
                 const std::map<std::size_t, item_progress>& saved = {},
                 job_settings settings = {}) {
        planner.on_job({.id = job->id,
                        .total = static_cast<std::uint32_t>(job->items.size())},
                       job, settings, listed, saved, now, now, commands);
        step();
    }

    void step() { planner.advance(now, commands); }

    template <class Command>
    std::vector<Command> take_commands() {
        std::vector<Command> found;
        planner_commands rest;
        for (planner_command& command : commands) {
            if (auto* const one = std::get_if<Command>(&command)) {
                found.push_back(std::move(*one));
            } else {
                rest.push_back(std::move(command));
            }
        }
        commands = std::move(rest);
        return found;
    }

    void report(run_ticket ticket, std::uint64_t base, std::uint64_t events,
                run_end end, const std::string& text = "t") {
        planner.on_run_ended({.ticket = ticket,
                              .end = end,
                              .last_delta = {.ticket = ticket,
                                             .base_events = base,
                                             .events = events,
                                             .text = text,
                                             .versions = {1}}},
                             now);
        step();
    }

    void progress(run_ticket ticket, std::uint64_t base, std::uint64_t events) {
        planner.on_run_delta({.ticket = ticket,
                              .base_events = base,
                              .events = events,
                              .text = "t",
                              .versions = {1}},
                             now, commands);
    }

    steady_time now{std::chrono::hours(1)};
    std::set<upstream_id> loading;
    std::vector<upstream_entry> engines;
    planner_commands commands;
    item_planner planner;
};

} // namespace savorydock

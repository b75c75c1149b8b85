#include "core/wire_codec.hpp"
#include "drivers/batch/engine_driver.hpp"
#include "servers/batch/job_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/run_call.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Keeps the orders to other instances instead of delivering them.
class order_recorder final : public peer_transport {
public:
    void send(const peer_message& message, const endpoint&) override {
        if (message.topic != peer_topic::runner_command) {
            return;
        }
        auto order = wire::decode<runner_command>(message.body);
        if (order) {
            orders[message.to].push_back(std::move(*order));
        }
    }
    void on_message(message_handler) override {}

    [[nodiscard]] std::vector<run_task> tasks_of(const char* instance) {
        std::vector<run_task> tasks;
        for (const runner_command& order : orders[instance_id(instance)]) {
            tasks.insert(tasks.end(), order.tasks.begin(), order.tasks.end());
        }
        return tasks;
    }

    [[nodiscard]] std::vector<run_ticket> stops_of(const char* instance) {
        std::vector<run_ticket> stops;
        for (const runner_command& order : orders[instance_id(instance)]) {
            stops.insert(stops.end(), order.stopped.begin(),
                         order.stopped.end());
        }
        return stops;
    }

    [[nodiscard]] std::size_t probes_of(const char* instance) {
        const auto& sent = orders[instance_id(instance)];
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(),
                          [](const auto& order) { return order.is_probe; }));
    }

    std::map<instance_id, std::vector<runner_command>> orders;
};

std::int64_t wall_milliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The planner of one engine, whose runs go to the instance "near" in the
/// engine's zone, then to the others.
class engine_driver_test : public ::testing::Test {
public:
    engine_driver_test()
        : store(context, {.address = fake.address()}, log)
        , jobs(store, log)
        , client(context)
        , random(1)
        , fleet{.pool = upstream_pool({})}
        , scorers(client, fleet, random, log)
        , runner(client, scorers, fleet, log)
        , host(
              context, runner, instance_id("self"),
              [this](const instance_id& planner, runner_update update) {
                  driver.on_run_update(planner, std::move(update));
              },
              [this](const job_id& job) {
                  return jobs.records().contains(job) &&
                         jobs.records().at(job).is_ended;
              },
              log)
        , driver(context, control, store, jobs, client, host, transport,
                 directory, fleet, [] { return true; }, log,
                 {.service = service_name("e"),
                  .self = instance_id("self"),
                  .processor_share = 0.1}) {
        add_instance("self", "home", 0.1);
        add_instance("near", "engines", 1.0);
        fleet.upstreams = {{.id = upstream_id("u"),
                            .service = service_name("e"),
                            .address = {.address = "127.0.0.1", .port = 1},
                            .zone = availability_zone("engines"),
                            .slots = 2,
                            .software = software_version("v1"),
                            .versions = {{"m", 1}}}};
        driver.start();
        gain_term();
    }

    ~engine_driver_test() override { control.stop(); }

    void add_instance(const char* name, const char* zone, double share) {
        directory[instance_id(name)] = {.instance = instance_id(name),
                                        .zone = availability_zone(zone),
                                        .processor_share = share};
    }

    void run(std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    }

    /// Runs the context until `is_done` returns true, for at most 5 s.
    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            run(5ms);
        }
        return is_done();
    }

    /// Reports that nobody holds the term, so that the driver claims it.
    void gain_term() {
        const auto before = driver.statistics().term;
        driver.on_term_key(nullptr, ++revision);
        ASSERT_TRUE(wait([&] {
            return driver.statistics().term != 0 &&
                   driver.statistics().term != before;
        }));
        revision = driver.statistics().term;
    }

    /// The term's key was removed with its lease, and no other instance claimed
    /// the term.
    void lose_and_regain_term() {
        fake.remove(term_key(service_name("e")));
        gain_term();
    }

    job_record accept(const std::string& id, const std::string& items,
                      const std::string& organisation = {}) {
        job_record record{.id = job_id(id),
                          .route = "r",
                          .host = "h",
                          .service = service_name("e"),
                          .total = 2,
                          .organisation = organisation_id(organisation),
                          .accepted_at = wall_milliseconds()};
        EXPECT_EQ(
            run_call(context,
                     jobs.accept(record,
                                 R"({"model":"m","items":[)" + items + "]}",
                                 std::chrono::steady_clock::now() + 1s)),
            accept_end::accepted);
        return jobs.records().at(record.id);
    }

    /// Sets organisations, and a route "r" of a service with priority 5.
    void configure(std::vector<organisation_rule> organisations,
                   const char* service = "e") {
        fleet.routes = std::make_shared<const route_table>(
            std::make_shared<const fleet_configuration>(fleet_configuration{
                .routes = {{.name = "r",
                            .priority = 5,
                            .services = {{.service = service_name(service)}}}},
                .organisations = std::move(organisations)}));
    }

    /// The results from the first position on that the planner tells readers.
    std::optional<std::vector<std::string>> read_own(const job_id& job) {
        return run_call(context,
                        jobs.read_own_results(job, 0, 0ms, [this, job] {
                            return driver.term_of(job);
                        }));
    }

    /// The instance reports that the run has a complete text of one event.
    void report_complete_text(const char* instance, run_ticket ticket) {
        driver.on_run_update(instance_id(instance),
                             {.service = service_name("e"),
                              .ends = {{.ticket = ticket,
                                        .end = run_end::complete,
                                        .last_delta = {.ticket = ticket,
                                                       .events = 1,
                                                       .text = "t",
                                                       .versions = {1}}}}});
    }

    void end(job_record record) {
        record.is_ended = true;
        jobs.on_record(record.id, record);
        driver.on_jobs_changed();
    }

    fake_users_store fake;
    null_logger log;
    asio::io_context context;
    control_mailbox control;
    order_recorder transport;
    node_directory directory;
    store_client store;
    job_store jobs;
    http_client client;
    seeded_random_source random;
    fleet_state fleet;
    plain_caller scorers;
    item_runner runner;
    run_host host;
    engine_driver driver;
    store_revision revision = 1;
};

constexpr const char* two_items =
    R"({"id":"a","path":"/p","body":""},{"id":"b","path":"/p","body":""})";

constexpr const char* item_with_scoring =
    R"({"id":"a","path":"/p","body":"","scorer_url":)"
    R"({"id":"s","host":"h","path":"/s/1","body":""}})";

/// The parameter is when the job ends, after its planner began to load it.
class job_end_while_loading_test
    : public engine_driver_test,
      public ::testing::WithParamInterface<std::chrono::milliseconds> {};

} // namespace

TEST_F(engine_driver_test, items_of_an_accepted_job_go_to_the_near_instance) {
    accept("j", two_items);
    driver.on_jobs_changed();
    EXPECT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
}

// Guards against a planner that holds its engines for a job that has ended: the
// end came between two reads of the job, and the job was added after it.
TEST_P(job_end_while_loading_test, no_item_is_placed) {
    const job_record record = accept("j", two_items);
    fake.set_range_delay(100ms);
    driver.on_jobs_changed();
    run(GetParam());
    end(record);
    run(1s);
    EXPECT_TRUE(transport.tasks_of("near").empty());
}

INSTANTIATE_TEST_SUITE_P(each_read, job_end_while_loading_test,
                         ::testing::Values(50ms, 150ms, 250ms));

// Guards against items that are placed and refused in turn: the end reached the
// runner and not the planner.
TEST_F(engine_driver_test, job_that_a_runner_knows_as_ended_is_dropped) {
    const job_record record = accept("j", two_items);
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
    runner_update refusal{.service = service_name("e"),
                          .ended_jobs = {record.id}};
    for (const run_task& task : transport.tasks_of("near")) {
        refusal.ends.push_back({.ticket = task.ticket,
                                .end = run_end::stopped,
                                .last_delta = {.ticket = task.ticket}});
    }
    driver.on_run_update(instance_id("near"), refusal);
    run(300ms);
    EXPECT_EQ(transport.tasks_of("near").size(), 2U);
}

// Guards against calls of ended jobs, and runs that use a slot for nothing: the
// planner took the runner for lost and gave up what it reports now.
TEST_F(engine_driver_test, runs_that_the_planner_does_not_know_are_stopped) {
    accept("j", two_items);
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
    runner_update report{.service = service_name("e"), .active = {7}};
    for (const run_task& task : transport.tasks_of("near")) {
        report.active.push_back(task.ticket);
    }
    driver.on_run_update(instance_id("near"),
                         {.service = service_name("e"),
                          .takeover_term = driver.statistics().term});
    driver.on_run_update(instance_id("near"), report);
    ASSERT_TRUE(wait([&] { return !transport.stops_of("near").empty(); }));
    EXPECT_EQ(transport.stops_of("near"), std::vector<run_ticket>{7});
}

// Guards against runs that are stopped right before they are handed over: the
// report was sent before the takeover arrived.
TEST_F(engine_driver_test, report_before_the_answer_to_a_takeover_stops_none) {
    const runner_update report{.service = service_name("e"), .active = {7}};
    driver.on_run_update(instance_id("near"), report);
    run(300ms);
    EXPECT_TRUE(transport.stops_of("near").empty());
    driver.on_run_update(instance_id("near"),
                         {.service = service_name("e"),
                          .takeover_term = driver.statistics().term,
                          .held = {{.ticket = 7,
                                    .job = job_id("j"),
                                    .id = "a",
                                    .upstream = upstream_id("u")}}});
    driver.on_run_update(instance_id("near"), report);
    run(300ms);
    EXPECT_TRUE(transport.stops_of("near").empty())
        << "its job may still be loaded";
}

TEST_F(engine_driver_test, unanswered_takeover_protects_no_runs_for_long) {
    const runner_update report{.service = service_name("e"), .active = {7}};
    ASSERT_TRUE(wait([&] {
        driver.on_run_update(instance_id("near"), report);
        return !transport.stops_of("near").empty();
    }));
}

// Guards against runs that go on at a new planner because their job ended
// before it.
TEST_F(engine_driver_test, held_run_of_a_job_that_had_ended_is_stopped) {
    end(accept("j", two_items));
    driver.on_run_update(instance_id("near"),
                         {.service = service_name("e"),
                          .takeover_term = driver.statistics().term,
                          .held = {{.ticket = 7,
                                    .job = job_id("j"),
                                    .id = "a",
                                    .upstream = upstream_id("u")}}});
    ASSERT_TRUE(wait([&] { return !transport.stops_of("near").empty(); }));
    EXPECT_EQ(transport.stops_of("near"), std::vector<run_ticket>{7});
}

// Guards against an instance that gets no items because it is taken for lost:
// it reports no end of a scoring that was stopped, and then has nothing to
// report.
TEST_F(engine_driver_test, stopped_scoring_does_not_make_its_runner_lost) {
    const job_record record = accept("j", item_with_scoring);
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 1; }));
    const run_ticket ticket = transport.tasks_of("near")[0].ticket;
    report_complete_text("near", ticket);
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
    end(record);
    ASSERT_TRUE(wait([&] { return !transport.stops_of("near").empty(); }));
    run(2'200ms);
    EXPECT_EQ(transport.probes_of("near"), 0U);
}

// Guards against the same after a runner that was taken for lost reports the
// end of a run.
TEST_F(engine_driver_test, found_run_that_has_ended_is_not_assigned_again) {
    accept("j", R"({"id":"a","path":"/p","body":""})");
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 1; }));
    ASSERT_TRUE(wait([&] { return transport.probes_of("near") > 0; }));
    // The item must not start at the instance again, which wouldn't report it.
    fleet.upstreams.clear();
    driver.on_fleet_changed();
    run(100ms);
    const run_ticket ticket = transport.tasks_of("near")[0].ticket;
    report_complete_text("near", ticket);
    run(100ms);
    transport.orders.clear();
    run(2'200ms);
    EXPECT_EQ(transport.probes_of("near"), 0U);
}

// Guards against items that never run again: the planner had regained its term,
// and the instance that ran them was gone.
TEST_F(engine_driver_test,
       runs_of_a_dead_instance_start_again_after_the_term_is_regained) {
    add_instance("other", "engines", 0.9);
    accept("j", two_items);
    driver.on_jobs_changed();
    const auto tasks = [&] {
        return transport.tasks_of("near").size() +
               transport.tasks_of("other").size();
    };
    ASSERT_TRUE(wait([&] { return tasks() == 2; }));
    const char* const dead =
        transport.tasks_of("near").empty() ? "other" : "near";
    const char* const alive =
        transport.tasks_of("near").empty() ? "near" : "other";
    directory.erase(instance_id(dead));
    lose_and_regain_term();
    EXPECT_TRUE(wait([&] { return transport.tasks_of(alive).size() == 2; }));
}

// Guards against items that wait for a score for good: the instance that scored
// them was told to stop by the takeover and reports nothing.
TEST_F(engine_driver_test,
       runs_that_a_takeover_does_not_report_start_again_at_once) {
    accept("j", two_items);
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
    lose_and_regain_term();
    const auto begin = std::chrono::steady_clock::now();
    driver.on_run_update(instance_id("near"),
                         {.service = service_name("e"),
                          .takeover_term = driver.statistics().term});
    EXPECT_TRUE(wait([&] { return transport.tasks_of("near").size() == 4; }));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 1s);
}

// LOST: the planner of the service to which a route had moved listed results,
// and the former planner, back in charge in the same term, told of none.
TEST_F(engine_driver_test, job_that_was_at_another_service_is_not_told_of) {
    configure({});
    const job_id job = accept("j", two_items).id;
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return read_own(job).has_value(); }));
    configure({}, "other");
    driver.on_jobs_changed();
    EXPECT_FALSE(read_own(job));
    fake.put(results_key(job, 0), "{}");
    configure({});
    driver.on_jobs_changed();
    EXPECT_FALSE(read_own(job));
    const auto reloaded = [&, term = driver.statistics().term] {
        const auto rows =
            run_call(context, jobs.read_own_results(job, 0, 0ms,
                                                    [term] { return term; }));
        return rows && rows->size() == 1;
    };
    ASSERT_TRUE(wait(reloaded));
    // The other planner may not know the last configuration yet.
    fake.put(results_key(job, 1), "{}");
    EXPECT_FALSE(read_own(job));
}

// Guards against keys that reach another instance, and items that run without
// the organisation of their job. A record without one is of an older build.
TEST_F(engine_driver_test, runs_name_the_organisation_and_hold_no_key) {
    configure({{.name = organisation_id("a")}});
    for (const char* const organisation : {"a", ""}) {
        const std::string id = std::string("j") + organisation;
        const job_record record =
            accept(id,
                   R"({"id":"i","path":"/p","body":"","headers":)"
                   R"({"authorization":"Bearer k","Tenant":"forged","X":"y"}})",
                   organisation);
        driver.on_jobs_changed();
        ASSERT_TRUE(wait([&] { return !transport.tasks_of("near").empty(); }));
        for (const run_task& task : transport.tasks_of("near")) {
            EXPECT_EQ(task.organisation.text(), organisation);
            ASSERT_EQ(task.headers.size(), 1U);
            EXPECT_EQ(task.headers[0].name, "X");
        }
        end(record);
        transport.orders.clear();
    }
}

// Guards against access to a job by a submission with its id, here at an
// instance that doesn't know the job yet.
TEST_F(engine_driver_test, id_of_a_job_of_another_organisation_is_taken) {
    job_record record = accept("j", two_items, "a");
    job_store other(store, log);
    const auto submit = [&](const char* organisation) {
        record.organisation = organisation_id(organisation);
        return run_call(
            context,
            other.accept(record, "{}", std::chrono::steady_clock::now() + 1s));
    };
    EXPECT_EQ(submit("b"), accept_end::foreign);
    EXPECT_EQ(other.records().at(record.id).organisation, organisation_id("a"));
    EXPECT_EQ(submit("a"), accept_end::accepted);
    // The previous build ends the job.
    record.organisation = organisation_id();
    record.is_ended = true;
    other.on_record(record.id, record);
    EXPECT_TRUE(other.records().at(record.id).is_ended);
    EXPECT_EQ(submit("b"), accept_end::foreign);
}

// Guards against an organisation whose jobs wait behind those of a route with a
// better priority.
TEST_F(engine_driver_test, priority_of_an_organisation_precedes_its_routes) {
    configure({{.name = organisation_id("first"), .priority = 0},
               {.name = organisation_id("last"), .priority = 9}});
    accept("running", two_items, "first");
    driver.on_jobs_changed();
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
    accept("a", two_items, "last");
    accept("b", two_items);
    accept("c", two_items, "first");
    driver.on_jobs_changed();
    run(300ms);
    runner_update ends{.service = service_name("e")};
    for (const run_task& task : transport.tasks_of("near")) {
        ends.ends.push_back({.ticket = task.ticket,
                             .end = run_end::invalid_item,
                             .last_delta = {.ticket = task.ticket}});
    }
    transport.orders.clear();
    driver.on_run_update(instance_id("near"), ends);
    ASSERT_TRUE(wait([&] { return transport.tasks_of("near").size() == 2; }));
    for (const run_task& task : transport.tasks_of("near")) {
        EXPECT_EQ(task.job, job_id("c"));
    }
}

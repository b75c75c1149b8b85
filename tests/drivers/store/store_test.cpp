#include "drivers/batch/job_store.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_mirror.hpp"
#include "servers/batch/job_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/run_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::string_view submission =
    R"({"model":"m","items":[{"id":"i","path":"/p","body":"YWJj"}]})";

class store_test : public ::testing::Test {
public:
    store_test()
        : client(context, {.address = fake.address()}, log)
        , jobs(client, log) {}

    /// Runs a call until it ends and returns its value.
    template <class Value>
    Value run(asio::awaitable<Value> call) {
        return run_call(context, std::move(call));
    }

    /// Runs the context until `is_done` returns true, for at most 2 s.
    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
        }
        return is_done();
    }

    accept_end accept(std::chrono::milliseconds time = 1s) {
        return run(jobs.accept({.id = job_id("j"),
                                .route = "r",
                                .host = "h",
                                .service = service_name("e"),
                                .total = 1},
                               std::string(submission),
                               std::chrono::steady_clock::now() + time));
    }

    held_term hold() {
        fake.put("c/term/e", "me");
        return {.key = "c/term/e",
                .revision = fake.values().at("c/term/e").modified};
    }

    commit_results results(std::size_t position) {
        commit_results commit{.job = job_id("j"), .first_position = position};
        commit.results.push_back(
            {.item = item_id("i"), .is_completed = true, .text = "t"});
        return commit;
    }

    static save_progress make_saved(const std::string& job, std::uint64_t base,
                                    std::uint64_t events,
                                    const std::string& text) {
        save_progress progress{.job = job_id(job)};
        progress.parts.push_back({.item = 0,
                                  .base_events = base,
                                  .events = events,
                                  .text = text,
                                  .versions = {1}});
        return progress;
    }

    void save_all(const held_term& term, std::vector<save_progress> texts) {
        bool is_done = false;
        asio::co_spawn(context, jobs.save_progress(term, std::move(texts)),
                       [&](const std::exception_ptr&) { is_done = true; });
        EXPECT_TRUE(wait([&] { return is_done; }));
    }

    fake_users_store fake;
    null_logger log;
    asio::io_context context;
    store_client client;
    job_store jobs;
};

/// A relay that forwards to `through`, or fails with `code` without it.
class scripted_relay final : public store_relay {
public:
    asio::awaitable<outcome<http_response>>
    call(http_request request) override {
        ++calls;
        if (through == nullptr) {
            co_return failure{code, "scripted"};
        }
        co_return co_await through->call_for_peer(std::move(request));
    }

    int calls = 0;
    result_code code = result_code::store_refused;
    store_client* through = nullptr;
};

class recording_listener final : public store_mirror_listener {
public:
    void on_changes(const std::vector<store_change>& changes, bool) override {
        for (const store_change& change : changes) {
            values[change.value.key] =
                change.is_removed ? "" : change.value.value;
        }
    }
    std::map<std::string, std::string> values;
};

} // namespace

TEST_F(store_test, accepted_job_is_stored_completely) {
    EXPECT_EQ(accept(), accept_end::accepted);
    const auto values = fake.values();
    EXPECT_EQ(values.at(submission_key(job_id("j"), 0)).value, submission);
    EXPECT_TRUE(values.contains(job_key(job_id("j"))));
}

TEST_F(store_test, job_accepted_elsewhere_is_accepted_once) {
    EXPECT_EQ(accept(), accept_end::accepted);
    job_store other(client, log);
    const auto before = fake.values().at(job_key(job_id("j"))).modified;
    EXPECT_EQ(run(other.accept({.id = job_id("j"), .total = 1},
                               std::string(submission),
                               std::chrono::steady_clock::now() + 1s)),
              accept_end::accepted);
    EXPECT_EQ(fake.values().at(job_key(job_id("j"))).modified, before);
}

TEST_F(store_test, lost_answer_of_an_acceptance_is_never_a_refusal) {
    fake.fail_transactions(store_fault::lose_answer, 1);
    EXPECT_EQ(accept(), accept_end::accepted);
    EXPECT_EQ(fake.values().count(job_key(job_id("j"))), 1U);
}

TEST_F(store_test, acceptance_left_open_at_its_deadline_promises_nothing) {
    fake.fail_transactions(store_fault::lose_answer, 1);
    EXPECT_EQ(accept(1ms), accept_end::unknown);
}

TEST_F(store_test, refused_acceptance_writes_nothing_and_is_reported_at_once) {
    fake.set_refusing(true);
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(accept(5s), accept_end::refused);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 1s);
    EXPECT_TRUE(fake.values().empty());
}

TEST_F(store_test, results_are_read_back_from_any_position) {
    accept();
    const held_term term = hold();
    EXPECT_EQ(run(jobs.commit(term, results(0))), commit_end::listed);
    job_store reader(client, log);
    const auto page = run(reader.read_results(job_id("j"), 0, 0ms));
    ASSERT_TRUE(page);
    EXPECT_EQ(page->rows.size(), 1U);
    EXPECT_EQ(page->next_position, 1U);
    const auto later = run(reader.read_results(job_id("j"), 1, 0ms));
    ASSERT_TRUE(later);
    EXPECT_TRUE(later->rows.empty());
}

TEST_F(store_test, commit_of_a_lost_term_lists_nothing) {
    accept();
    held_term term = hold();
    fake.put("c/term/e", "another");
    EXPECT_EQ(run(jobs.commit(term, results(0))), commit_end::term_lost);
    EXPECT_FALSE(fake.values().contains(results_key(job_id("j"), 0)));
}

TEST_F(store_test, commit_whose_answer_was_lost_is_listed_once) {
    accept();
    const held_term term = hold();
    fake.fail_transactions(store_fault::lose_answer, 1);
    EXPECT_EQ(run(jobs.commit(term, results(0))), commit_end::not_listed);
    EXPECT_EQ(run(jobs.commit(term, results(0))), commit_end::listed);
}

TEST_F(store_test, position_taken_by_other_results_is_superseded) {
    accept();
    const held_term term = hold();
    fake.put(results_key(job_id("j"), 0), R"({"id":"x","state":"lost"})");
    EXPECT_EQ(run(jobs.commit(term, results(0))), commit_end::superseded);
}

TEST_F(store_test, unknown_job_is_not_found_unless_the_store_refuses) {
    EXPECT_EQ(run(jobs.read_results(job_id("x"), 0, 0ms)).reason().code,
              result_code::not_found);
    fake.set_refusing(true);
    EXPECT_EQ(run(jobs.read_results(job_id("y"), 0, 0ms)).reason().code,
              result_code::store_refused);
}

// Guards against results that an instance never shows again: they were evicted
// while it waited for the next one, and it went on after that one.
TEST_F(store_test, results_evicted_during_a_watch_are_read_again) {
    job_store small(client, log, 1);
    for (const char* const name : {"j", "k"}) {
        small.on_record(job_id(name),
                        job_record{.id = job_id(name), .total = 3});
        fake.put(results_key(job_id(name), 0), R"({"id":"a"})");
    }
    ASSERT_EQ(run(small.read_results(job_id("j"), 0, 0ms))->rows.size(), 1U);
    std::optional<outcome<result_page>> page;
    asio::co_spawn(context,
                   store_value(small.read_results(job_id("j"), 1, 1s), page),
                   asio::detached);
    wait([&] { return client.counters().calls >= 3; });
    ASSERT_EQ(run(small.read_results(job_id("k"), 0, 0ms))->rows.size(), 1U);
    fake.put(results_key(job_id("j"), 1), R"({"id":"b"})");
    ASSERT_TRUE(wait([&] { return page.has_value(); }));
    ASSERT_TRUE(*page);
    EXPECT_EQ((*page)->rows, std::vector<std::string>{R"({"id":"b"})"});
    EXPECT_EQ(run(small.read_results(job_id("j"), 0, 0ms))->rows.size(), 2U);
}

TEST_F(store_test, end_is_durable_and_repeatable) {
    accept();
    EXPECT_TRUE(run(jobs.end(job_id("j"))));
    fake.fail_transactions(store_fault::lose_answer, 1);
    EXPECT_TRUE(run(jobs.end(job_id("j"))));
    const auto value = fake.values().at(job_key(job_id("j")));
    EXPECT_TRUE(decode_job_record(value.key, value.value)->is_ended);
    EXPECT_EQ(run(jobs.end(job_id("x"))).reason().code, result_code::not_found);
}

TEST_F(store_test, saved_texts_join_over_terms_and_skip_gaps) {
    accept();
    held_term term = hold();
    const auto save = [&](std::uint64_t base, std::uint64_t events,
                          const std::string& text) {
        save_all(term, {make_saved("j", base, events, text)});
    };
    save(0, 2, "a\nb");
    save(2, 3, "c");
    save(5, 6, "lost between");
    const auto texts = run(jobs.load_progress(job_id("j"))).texts;
    ASSERT_EQ(texts.size(), 1U);
    EXPECT_EQ(texts.at(0).text, "a\nb\nc");
    EXPECT_EQ(texts.at(0).events, 3U);
}

// The item began anew at other software, or from its first event.
TEST_F(store_test, saved_texts_of_two_origins_are_not_joined) {
    accept();
    const held_term term = hold();
    const auto save = [&](std::uint64_t base, std::uint64_t events,
                          run_ticket first_run, const std::string& software) {
        save_progress saved = make_saved("j", base, events, software);
        saved.parts[0].origin = {.software = software_version(software),
                                 .first_run = first_run};
        save_all(term, {saved});
    };
    save(0, 20, 1, "v1");
    save(0, 15, 2, "v2");
    save(15, 20, 2, "v2");
    save(20, 30, 2, "v2");
    save(20, 40, 3, "v1");
    const auto texts = run(jobs.load_progress(job_id("j"))).texts;
    ASSERT_EQ(texts.size(), 1U);
    EXPECT_EQ(texts.at(0).text, "v1");
    EXPECT_EQ(texts.at(0).events, 20U);
    EXPECT_EQ(texts.at(0).origin.software, software_version("v1"));
}

TEST_F(store_test, failures_of_an_item_are_saved_over_terms) {
    accept();
    const held_term term = hold();
    for (const std::uint32_t failures : {1U, 2U}) {
        save_progress saved{.job = job_id("j")};
        saved.parts.push_back({.item = 0, .failures = failures});
        save_all(term, {saved});
    }
    save_all(term, {make_saved("j", 0, 2, "a")});
    const saved_items saved = run(jobs.load_progress(job_id("j")));
    EXPECT_EQ(saved.failures.at(0), 2U);
    EXPECT_EQ(saved.texts.at(0).events, 2U);
}

// Load pattern: all open jobs save their texts at the same interval.
TEST_F(store_test, texts_of_several_jobs_share_a_write) {
    accept();
    const held_term term = hold();
    const auto before = client.counters().calls;
    save_all(term, {make_saved("j", 0, 1, "a"), make_saved("k", 0, 2, "b"),
                    make_saved("l", 0, 3, "c")});
    EXPECT_EQ(client.counters().calls, before + 1);
    EXPECT_EQ(run(jobs.load_progress(job_id("k"))).texts.at(0).events, 2U);
    EXPECT_EQ(run(jobs.load_progress(job_id("l"))).texts.at(0).text, "c");
}

TEST_F(store_test, mirror_rereads_after_the_history_is_dropped) {
    recording_listener listener;
    fake.put("p/a", "1");
    store_mirror mirror(context, client, "p/", listener, log);
    asio::co_spawn(context, mirror.run(), asio::detached);
    ASSERT_TRUE(wait([&] { return listener.values["p/a"] == "1"; }));
    fake.put("p/a", "2");
    ASSERT_TRUE(wait([&] { return listener.values["p/a"] == "2"; }));
    fake.put("p/b", "3");
    fake.remove("p/a");
    fake.drop_history();
    EXPECT_TRUE(wait([&] {
        return listener.values["p/b"] == "3" && listener.values["p/a"].empty();
    }));
    context.stop();
}

TEST_F(store_test, key_that_is_not_unicode_does_not_hide_the_others) {
    recording_listener listener;
    fake.put("p/a", "1");
    fake.put("p/odd\xff\xc0", "1");
    store_mirror mirror(context, client, "p/", listener, log);
    asio::co_spawn(context, mirror.run(), asio::detached);
    EXPECT_TRUE(wait([&] { return listener.values["p/a"] == "1"; }));
    fake.put("p/odd\xed\xa0\x80", "2");
    fake.put("p/b", "3");
    EXPECT_TRUE(wait([&] { return listener.values["p/b"] == "3"; }));
    context.stop();
}

// The store may lose a watch silently, and a configuration must still take
// effect within 2 s. Without the bound on a watch, a new route was answered
// with 404 for 3.4 s after its acknowledgement.
TEST_F(store_test, change_behind_a_lost_watch_is_read_within_its_bound) {
    recording_listener listener;
    fake.put("p/a", "1");
    fake.set_losing_watches(true);
    store_mirror mirror(context, client, "p/", listener, log);
    asio::co_spawn(context, mirror.run(), asio::detached);
    ASSERT_TRUE(wait([&] { return listener.values["p/a"] == "1"; }));
    context.restart();
    context.run_for(20ms);
    fake.put("p/a", "2");
    EXPECT_TRUE(wait([&] { return listener.values["p/a"] == "2"; }));
    context.stop();
}

// Without this, 64 instances that each retried three prefixes during an outage
// made a quarter of all calls to the store in a day.
TEST_F(store_test, outage_is_probed_by_one_mirror_of_an_instance) {
    recording_listener listener;
    fake.set_refusing(true);
    store_mirror probe(context, client, "p/", listener, log);
    store_mirror other(context, client, "q/", listener, log);
    other.set_probing(false);
    client.on_reachable([&] {
        probe.on_store_reachable();
        other.on_store_reachable();
    });
    asio::co_spawn(context, probe.run(), asio::detached);
    asio::co_spawn(context, other.run(), asio::detached);
    wait([] { return false; });
    // Two first calls, then the probe's retries after 50 to 800 ms, within 2 s.
    EXPECT_LE(client.counters().calls, 9U);
    EXPECT_GE(client.counters().calls, 4U);
    fake.put("q/a", "1");
    fake.set_refusing(false);
    EXPECT_TRUE(wait([&] { return listener.values["q/a"] == "1"; }));
    context.stop();
}

// Without a relay, a planner whose machine the store refused for 7 s could not
// commit results until its lease had ended, which delayed the trainers.
TEST_F(store_test, call_that_the_store_refuses_goes_through_the_relay) {
    fake_users_store other;
    store_client peer(context, {.address = other.address()}, log);
    scripted_relay relay;
    relay.through = &peer;
    client.use_relay(relay);
    fake.set_refusing(true);
    other.put("k", "v");
    const auto first = run(client.read_key("k"));
    ASSERT_TRUE(first);
    EXPECT_EQ((*first)->value, "v");
    const auto direct = client.counters().calls;
    EXPECT_TRUE(run(client.read_key("k")));
    EXPECT_EQ(relay.calls, 2);
    EXPECT_EQ(client.counters().calls, direct) << "the relay is tried first";
    EXPECT_FALSE(client.is_reachable());
}

TEST_F(store_test, new_lease_never_goes_through_the_relay) {
    fake_users_store other;
    store_client peer(context, {.address = other.address()}, log);
    scripted_relay relay;
    relay.through = &peer;
    client.use_relay(relay);
    fake.set_refusing(true);
    EXPECT_FALSE(run(client.grant(1s)));
    EXPECT_EQ(relay.calls, 0);
}

TEST_F(store_test, failed_relay_reports_whether_a_write_may_take_effect) {
    struct row {
        store_fault fault;
        result_code relayed;
        result_code expected;
    };
    // If the call may take effect on either path, its outcome is unknown.
    for (const row& one :
         {row{store_fault::refuse, result_code::store_refused,
              result_code::store_refused},
          row{store_fault::refuse, result_code::store_unanswered,
              result_code::store_unanswered},
          row{store_fault::lose_answer, result_code::store_refused,
              result_code::store_unanswered},
          row{store_fault::lose_answer, result_code::store_unanswered,
              result_code::store_unanswered}}) {
        store_client fresh(context, {.address = fake.address()}, log);
        scripted_relay relay;
        relay.code = one.relayed;
        fresh.use_relay(relay);
        fake.fail_transactions(one.fault, 1);
        const auto result =
            run(fresh.commit(make_write({.key = "w"}, {.key = "w"})));
        ASSERT_FALSE(result);
        EXPECT_EQ(result.reason().code, one.expected);
        fake.remove("w");
    }
}

// A write whose direct call was not answered may have taken effect, also if the
// store refuses the relayed retry. It must not be reported as "not run".
TEST_F(store_test, refusal_of_the_relayed_call_leaves_the_outcome_unknown) {
    fake_users_store other;
    other.set_refusing(true);
    store_client peer(context, {.address = other.address()}, log);
    scripted_relay relay;
    relay.through = &peer;
    client.use_relay(relay);
    fake.fail_transactions(store_fault::lose_answer, 1);
    const auto result =
        run(client.commit(make_write({.key = "w"}, {.key = "w"})));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.reason().code, result_code::store_unanswered);
    EXPECT_EQ(relay.calls, 1);
}

// After an outage, in which the leases of entries may expire, a planner delays
// the removal of upstreams. If the store refused only this instance, there was
// no such outage: the delay kept a removed upstream in use for 2.2 s.
TEST_F(store_test, time_with_a_working_relay_is_no_outage) {
    fake_users_store other;
    store_client peer(context, {.address = other.address()}, log);
    scripted_relay relay;
    relay.through = &peer;
    client.use_relay(relay);
    fake.set_refusing(true);
    EXPECT_TRUE(run(client.read_key("k")));
    fake.set_refusing(false);
    EXPECT_TRUE(run(client.grant(1s)));
    EXPECT_TRUE(client.is_reachable());
    EXPECT_EQ(client.reachable_since(), steady_time{});
    // Without a working relay it is an outage.
    relay.through = nullptr;
    fake.set_refusing(true);
    EXPECT_FALSE(run(client.grant(1s)));
    fake.set_refusing(false);
    EXPECT_TRUE(run(client.grant(1s)));
    EXPECT_NE(client.reachable_since(), steady_time{});
}

TEST_F(store_test, reader_behind_the_last_row_gets_each_row_once) {
    ASSERT_EQ(accept(), accept_end::accepted);
    const held_term term = hold();
    ASSERT_EQ(run(jobs.commit(term, results(0))), commit_end::listed);
    job_store reader(client, log);
    reader.on_record(job_id("j"), job_record{.id = job_id("j"), .total = 3});
    EXPECT_EQ(run(reader.read_results(job_id("j"), 0, 300ms))->rows.size(), 1U);
    EXPECT_TRUE(run(reader.read_results(job_id("j"), 1, 50ms))->rows.empty());
    ASSERT_EQ(run(jobs.commit(term, results(1))), commit_end::listed);
    EXPECT_EQ(run(reader.read_results(job_id("j"), 1, 300ms))->rows.size(), 1U);
    // If the store drops its history meanwhile, the rows are reread.
    ASSERT_EQ(run(jobs.commit(term, results(2))), commit_end::listed);
    fake.drop_history();
    EXPECT_EQ(run(reader.read_results(job_id("j"), 2, 300ms))->rows.size(), 1U);
}

TEST_F(store_test, term_is_gained_lost_with_its_key_and_gained_again) {
    std::vector<store_revision> terms;
    int losses = 0;
    scope_term scope(
        context, client,
        {.key = "c/term/e", .self = instance_id("n"), .lease_time = 600ms},
        [&](const held_term& term) { terms.push_back(term.revision); },
        [&](term_end) { ++losses; }, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    scope.on_key(nullptr, 1);
    ASSERT_TRUE(wait([&] { return terms.size() == 1; }));
    EXPECT_TRUE(scope.is_held_now());
    const auto held = fake.values().at("c/term/e");
    scope.on_key(&held, held.modified);
    EXPECT_EQ(losses, 0);
    // The store removes the key and no call fails.
    fake.end_all_leases();
    scope.on_key(nullptr, held.modified + 1);
    EXPECT_EQ(losses, 1);
    EXPECT_FALSE(scope.is_held_now());
    ASSERT_TRUE(wait([&] { return terms.size() == 2; }));
    EXPECT_GT(terms[1], terms[0]);
    context.stop();
}

// A claim is answered before the mirror reports that the last holder's key was
// removed. Ending the new term then would leave the scope without a holder
// until the claim's lease expires.
TEST_F(store_test, late_report_from_before_the_term_does_not_end_it) {
    fake.put("c/term/e", "another/1");
    const auto old = fake.values().at("c/term/e");
    fake.remove("c/term/e");
    int losses = 0;
    scope_term scope(
        context, client, {.key = "c/term/e", .self = instance_id("n")},
        [](const held_term&) {}, [&](term_end) { ++losses; }, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    scope.on_key(nullptr, old.modified + 1);
    ASSERT_TRUE(wait([&] { return scope.is_held_now(); }));
    scope.on_key(nullptr, old.modified + 1);
    EXPECT_TRUE(scope.is_held_now());
    scope.on_key(&old, old.modified);
    EXPECT_TRUE(scope.is_held_now());
    EXPECT_EQ(losses, 0);
    scope.on_key(nullptr, scope.term()->revision + 1);
    EXPECT_FALSE(scope.is_held_now());
    context.stop();
}

// Load pattern: all processes are killed and start again at once, while the
// leases of the killed ones still hold all scopes for seconds.
TEST_F(store_test, instance_that_restarts_takes_its_own_term_at_once) {
    fake.put("c/term/e", "n/77");
    const auto left = fake.values().at("c/term/e");
    scope_term scope(
        context, client, {.key = "c/term/e", .self = instance_id("n")},
        [](const held_term&) {}, [](term_end) {}, log);
    scope_term other(
        context, client, {.key = "c/term/e", .self = instance_id("m")},
        [](const held_term&) {}, [](term_end) {}, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    asio::co_spawn(context, other.run(), asio::detached);
    other.on_key(&left, left.modified);
    scope.on_key(&left, left.modified);
    ASSERT_TRUE(wait([&] { return scope.is_held_now(); }));
    EXPECT_GT(scope.term()->revision, left.modified);
    EXPECT_FALSE(other.is_held_now());
    context.stop();
}

// The copy of the key may be old: another instance may hold the scope by now.
TEST_F(store_test, term_that_another_instance_took_is_not_taken_back) {
    fake.put("c/term/e", "n/77");
    const auto left = fake.values().at("c/term/e");
    fake.put("c/term/e", "m/78");
    scope_term scope(
        context, client, {.key = "c/term/e", .self = instance_id("n")},
        [](const held_term&) {}, [](term_end) {}, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    scope.on_key(&left, left.modified);
    EXPECT_FALSE(wait([&] { return scope.is_held_now(); }));
    EXPECT_EQ(fake.values().at("c/term/e").value, "m/78");
    context.stop();
}

TEST_F(store_test,
       term_ends_on_the_local_clock_and_resumes_if_its_lease_lives) {
    int gains = 0;
    int losses = 0;
    scope_term scope(
        context, client,
        {.key = "c/term/e",
         .self = instance_id("n"),
         .lease_time = 600ms,
         .safety_margin = 100ms},
        [&](const held_term&) { ++gains; }, [&](term_end) { ++losses; }, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    scope.on_key(nullptr, 1);
    ASSERT_TRUE(wait([&] { return gains == 1; }));
    const store_revision first = scope.term()->revision;
    fake.set_refusing(true);
    ASSERT_TRUE(wait([&] { return losses == 1; }));
    EXPECT_FALSE(scope.is_held_now());
    fake.set_refusing(false);
    ASSERT_TRUE(wait([&] { return gains == 2; }));
    EXPECT_EQ(scope.term()->revision, first);
    context.stop();
}

// Guards against a wait after each restart of a holder: the record of a settled
// term shows that nobody else held the scope.
TEST_F(store_test, term_after_a_settled_one_of_this_instance_is_settled) {
    fake.put("c/term/e", "n/77");
    fake.put("t/e", "n/77");
    const auto left = fake.values().at("c/term/e");
    scope_term scope(
        context, client,
        {.key = "c/term/e",
         .self = instance_id("n"),
         .settled_key = "t/e",
         .process_start = boot_clock::now()},
        [](const held_term&) {}, [](term_end) {}, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    scope.on_key(&left, left.modified);
    ASSERT_TRUE(wait([&] { return scope.is_held_now(); }));
    EXPECT_LE(scope.separation().earliest_call("u"), boot_clock::now());
    const std::string claimed = fake.values().at("c/term/e").value;
    EXPECT_TRUE(wait([&] { return fake.values().at("t/e").value == claimed; }));
    EXPECT_EQ(scope.term()->revision, fake.values().at("c/term/e").modified);
    context.stop();
}

// Rolling upgrade: the previous build writes the term's key only. Its term is
// never settled, whatever an older record names.
TEST_F(store_test, term_after_one_of_the_previous_build_is_settled_later) {
    fake.put("t/e", "n/76");
    fake.put("c/term/e", "n/77");
    const auto left = fake.values().at("c/term/e");
    const auto process_start = boot_clock::now();
    scope_term scope(
        context, client,
        {.key = "c/term/e",
         .self = instance_id("n"),
         .lease_time = 900ms,
         .safety_margin = 100ms,
         .settled_key = "t/e",
         .process_start = process_start},
        [](const held_term&) {}, [](term_end) {}, log);
    asio::co_spawn(context, scope.run(), asio::detached);
    scope.on_key(&left, left.modified);
    ASSERT_TRUE(wait([&] { return scope.is_held_now(); }));
    EXPECT_EQ(scope.separation().earliest_call("u"), process_start + 1s);
    EXPECT_EQ(fake.values().at("t/e").value, "n/76");
    const std::string claimed = fake.values().at("c/term/e").value;
    EXPECT_TRUE(wait([&] { return fake.values().at("t/e").value == claimed; }));
    EXPECT_GE(boot_clock::now(), process_start + 1s);
    context.stop();
}

// Guards against an item that is listed twice after a change of planner: the
// previous build lists texts with any bytes, and its row wasn't decoded. The
// row is one of its stored results.
TEST_F(store_test, stored_row_that_is_not_utf8_still_names_its_item) {
    ASSERT_EQ(accept(), accept_end::accepted);
    fake.put("r/j/00000000",
             "{\"id\":\"i\",\"state\":\"completed\",\"text\":\"i.1\\n\xff.2\","
             "\"versions\":[1]}");
    ASSERT_TRUE(results_position(job_id("j"), "r/j/00000000"));
    const auto loaded = run(jobs.load(jobs.records().at(job_id("j")), 5));
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->listed, std::vector{item_id("i")});
    const auto page = run(jobs.read_results(job_id("j"), 0, 50ms));
    ASSERT_EQ(page->rows.size(), 1U);
    EXPECT_EQ(page->rows.front(),
              "{\"id\":\"i\",\"state\":\"completed\",\"text\":\"i.1\\n"
              "\xef\xbf\xbd.2\",\"versions\":[1]}");
}

// Guards against a listed item that is run and listed once more: which item a
// row lists isn't known, so none may be taken for unlisted.
TEST_F(store_test, job_with_a_row_that_names_no_item_is_not_loaded) {
    ASSERT_EQ(accept(), accept_end::accepted);
    fake.put("r/j/00000000", "{\"id\":7}");
    const auto loaded = run(jobs.load(jobs.records().at(job_id("j")), 5));
    ASSERT_FALSE(loaded);
    EXPECT_EQ(loaded.reason().code, result_code::invalid_document);
}

// Guards against a saved text of the previous build that could be completed and
// not be listed.
TEST_F(store_test, saved_text_that_is_not_utf8_is_cut_before_its_part) {
    ASSERT_EQ(accept(), accept_end::accepted);
    save_all(hold(),
             {make_saved("j", 0, 2, "a\nb"), make_saved("j", 2, 3, "\xff"),
              make_saved("j", 3, 4, "d")});
    const saved_items saved = run(jobs.load_progress(job_id("j")));
    EXPECT_EQ(saved.texts.at(0).text, "a\nb");
    EXPECT_EQ(saved.texts.at(0).events, 2U);
}

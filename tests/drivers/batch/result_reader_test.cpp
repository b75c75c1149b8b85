#include "drivers/batch/job_store.hpp"
#include "servers/batch/job_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/run_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <functional>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A planner that can't tell what is listed. Calls `on_asked` first.
class unaware_planner final : public result_source {
public:
    asio::awaitable<std::optional<std::vector<std::string>>>
    read(job_record, std::size_t, std::chrono::milliseconds) override {
        if (on_asked) {
            co_await on_asked();
        }
        co_return std::nullopt;
    }

    std::function<asio::awaitable<void>()> on_asked;
};

class result_reader_test : public ::testing::Test {
public:
    result_reader_test()
        : client(context, {.address = store.address()}, log)
        , jobs(client, log) {
        jobs.use_result_source(planner);
        jobs.on_record(record.id, record);
    }

    template <class Value>
    Value run(asio::awaitable<Value> call) {
        return run_call(context, std::move(call));
    }

    /// Lists a row as another instance would.
    void list(std::size_t position) {
        store.put(results_key(record.id, position), row(position));
    }

    static std::string row(std::size_t position) {
        return R"({"id":")" + std::to_string(position) + R"("})";
    }

    std::vector<std::string> read(std::size_t first,
                                  std::chrono::milliseconds wait) {
        const auto page = run(jobs.read_results(record.id, first, wait));
        EXPECT_TRUE(page);
        return page ? page->rows : std::vector<std::string>();
    }

    /// A read that waits with a watch of the store, which returns a row.
    void read_by_watch(std::size_t position) {
        std::optional<outcome<result_page>> page;
        const auto calls = client.counters().calls;
        asio::co_spawn(
            context,
            store_value(jobs.read_results(record.id, position, 1s), page),
            asio::detached);
        while (client.counters().calls < calls + 2) {
            context.restart();
            context.run_one();
        }
        list(position);
        while (!page) {
            context.restart();
            context.run_one();
        }
        ASSERT_TRUE(*page);
        ASSERT_EQ((*page)->rows, std::vector{row(position)});
        ASSERT_EQ((*page)->origin, result_origin::watch);
    }

    /// Another instance ends the job.
    void end_job() {
        record.is_ended = true;
        jobs.on_record(record.id, record);
    }

    /// Stores the job and another one, each with one listed row, and takes the
    /// term of their planner, whose cache holds the rows of one job only.
    held_term plan_two_jobs() {
        other.id = job_id("k");
        for (const job_record& job : {record, other}) {
            EXPECT_EQ(run(small.accept(job, R"({"model":"m","items":[]})",
                                       std::chrono::steady_clock::now() + 1s)),
                      accept_end::accepted);
            store.put(results_key(job.id, 0), row(0));
        }
        store.put("term", "t");
        return {.key = "term",
                .revision = run(client.read_key("term"))->value().modified};
    }

    void evict() { EXPECT_TRUE(run(small.read_results(other.id, 0, 0ms))); }

    /// The planner loads the job; the store's response is held.
    void begin_load(const held_term& term) {
        store.hold_next_range();
        asio::co_spawn(context,
                       store_value(small.load(record, term.revision), loading),
                       asio::detached);
        while (!store.holds_range()) {
            context.restart();
            context.run_for(1ms);
        }
    }

    outcome<loaded_job> end_load() {
        store.release_range();
        while (!loading) {
            context.restart();
            context.run_one();
        }
        return std::move(*loading);
    }

    commit_end commit_second_row(const held_term& term) {
        return run(small.commit(term, {.job = record.id,
                                       .first_position = 1,
                                       .results = {{.item = item_id("1")}}}));
    }

    /// What the planner tells readers.
    std::optional<std::vector<std::string>> read_own(std::size_t first,
                                                     const held_term& term) {
        return run(small.read_own_results(
            record.id, first, 0ms,
            [revision = term.revision] { return revision; }));
    }

    fake_users_store store;
    null_logger log;
    asio::io_context context;
    store_client client;
    job_store jobs;
    job_store small{client, log, 1};
    std::optional<outcome<loaded_job>> loading;
    unaware_planner planner;
    job_record record{.id = job_id("j"),
                      .route = "r",
                      .host = "h",
                      .service = service_name("e"),
                      .total = 3};
    job_record other = record;
};

} // namespace

// LOST: the page of an ended job was answered without a look at the store.
TEST_F(result_reader_test, rows_listed_before_an_end_are_found_after_a_watch) {
    read_by_watch(0);
    list(1);
    end_job();
    EXPECT_EQ(read(1, 1s), std::vector{row(1)});
}

// LOST: as above, for rows that other reads of this instance had found.
TEST_F(result_reader_test,
       rows_found_while_the_planner_was_asked_are_returned) {
    read_by_watch(0);
    list(1);
    list(2);
    planner.on_asked = [this]() -> asio::awaitable<void> {
        planner.on_asked = {};
        const auto page = co_await jobs.read_results(record.id, 1, 0ms);
        EXPECT_TRUE(page);
    };
    const auto calls = client.counters().calls;
    EXPECT_EQ(read(1, 1s), (std::vector{row(1), row(2)}));
    EXPECT_EQ(client.counters().calls, calls + 1) << "that of the other read";
}

// LOST: a store that had lost its history without telling so answered a resumed
// watch with nothing, and the page with it.
TEST_F(result_reader_test, watch_without_rows_is_followed_by_a_read) {
    read_by_watch(0);
    store.put_without_history(results_key(record.id, 1), row(1));
    EXPECT_EQ(read(1, 50ms), std::vector{row(1)});
}

// LOST: a value that could not be read was skipped by all later reads.
TEST_F(result_reader_test, unreadable_event_of_a_watch_is_read_again) {
    read_by_watch(0);
    store.put_unreadable(results_key(record.id, 1));
    EXPECT_FALSE(run(jobs.read_results(record.id, 1, 1s)));
    list(1);
    EXPECT_EQ(read(1, 0ms), std::vector{row(1)});
}

TEST_F(result_reader_test, read_from_the_end_makes_no_call) {
    EXPECT_TRUE(read(3, 1s).empty());
    EXPECT_EQ(client.counters().calls, 0U);
}

// LOST: the planner took a job without any row for one whose rows it knew.
TEST_F(result_reader_test, job_evicted_while_it_is_loaded_is_read_whole) {
    const held_term term = plan_two_jobs();
    ASSERT_EQ(run(small.load(record, term.revision))->listed.size(), 1U);
    begin_load(term);
    evict();
    const auto loaded = end_load();
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->listed.size(), 1U);
    const auto rows = read_own(0, term);
    ASSERT_TRUE(rows);
    EXPECT_EQ(*rows, std::vector{row(0)});
}

// LOST: as above, with a row that was listed during the read of the store. The
// eviction left no rows to which it could be added.
TEST_F(result_reader_test, row_listed_while_its_job_is_read_whole_is_told_of) {
    const held_term term = plan_two_jobs();
    ASSERT_EQ(run(small.load(record, term.revision))->listed.size(), 1U);
    evict();
    begin_load(term);
    ASSERT_EQ(commit_second_row(term), commit_end::listed);
    ASSERT_TRUE(end_load());
    const auto rows = read_own(1, term);
    EXPECT_TRUE(!rows || rows->size() == 1);
}

// LOST: a commit without an answer was evicted with the rows of its job, which
// then counted as complete although the commit could still be listed.
TEST_F(result_reader_test, commit_without_an_answer_outlasts_an_eviction) {
    const held_term term = plan_two_jobs();
    ASSERT_TRUE(run(small.load(record, term.revision)));
    store.fail_transactions(store_fault::lose_answer, 1);
    ASSERT_EQ(commit_second_row(term), commit_end::not_listed);
    // It has not taken effect yet.
    store.remove(results_key(record.id, 1));
    evict();
    ASSERT_EQ(run(small.load(record, term.revision))->listed.size(), 1U);
    EXPECT_FALSE(read_own(1, term));
}

// LOST: a read whose planner was silent waited once more at the store, longer
// than its caller did.
TEST_F(result_reader_test, time_that_a_planner_took_counts_towards_the_wait) {
    planner.on_asked = [this]() -> asio::awaitable<void> {
        asio::steady_timer timer(context, 60ms);
        co_await timer.async_wait(asio::use_awaitable);
    };
    EXPECT_TRUE(read(0, 50ms).empty());
    const auto watches = client.counters().calls_by_kind.at(
        static_cast<std::size_t>(store_call_kind::watch));
    EXPECT_EQ(watches, 0U);
}

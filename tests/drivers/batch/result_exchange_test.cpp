#include "core/wire_codec.hpp"
#include "drivers/batch/result_exchange.hpp"
#include "servers/batch/job_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/run_call.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::string_view submission =
    R"({"model":"m","items":[{"id":"i","path":"/p","body":"YWJj"}]})";

/// Delivers messages to the exchange named in `to`, unless it is silent.
class local_transport final : public peer_transport {
public:
    explicit local_transport(asio::io_context& context)
        : context_(context) {}

    void send(const peer_message& message, const endpoint&) override {
        ++messages;
        last = message;
        const auto receiver = receivers.find(message.to);
        if (receiver != receivers.end() && !silent.contains(message.to)) {
            asio::post(context_, [to = receiver->second, message] {
                to->on_message(message);
            });
        }
    }
    void on_message(message_handler) override {}

    std::map<instance_id, result_exchange*> receivers;
    std::set<instance_id> silent;
    std::optional<peer_message> last;
    int messages = 0;

private:
    asio::io_context& context_;
};

/// An instance with its own client of the store.
struct member {
    member(asio::io_context& context, const endpoint& store,
           local_transport& transport, const node_directory& directory,
           const std::string& name, logger& log)
        : client(context, {.address = store}, log)
        , jobs(client, log)
        , exchange(
              context, jobs, transport, directory, instance_id(name),
              {.planner_of =
                   [](const job_record&) { return instance_id("planner"); },
               .own_term_of = [this](const job_id&) { return term; }},
              log) {
        transport.receivers[instance_id(name)] = &exchange;
        jobs.use_result_source(exchange);
    }

    store_client client;
    job_store jobs;
    result_exchange exchange;
    store_revision term = 0;
};

class result_exchange_test : public ::testing::Test {
public:
    result_exchange_test()
        : transport(context)
        , planner(context, fake.address(), transport, directory, "planner", log)
        , reader(context, fake.address(), transport, directory, "reader", log) {
        for (const char* const name : {"planner", "reader"}) {
            directory[instance_id(name)] = {.instance = instance_id(name)};
        }
        run(planner.jobs.accept(record, std::string(submission),
                                std::chrono::steady_clock::now() + 1s));
        reader.jobs.on_record(record.id, record);
        fake.put("c/term/e", "planner");
        term = {.key = "c/term/e",
                .revision = fake.values().at("c/term/e").modified};
        planner.term = term.revision;
        EXPECT_TRUE(run(planner.jobs.load(record, term.revision)));
    }

    template <class Value>
    Value run(asio::awaitable<Value> call) {
        return run_call(context, std::move(call));
    }

    commit_end commit(std::size_t position) {
        commit_results results{.job = record.id, .first_position = position};
        results.results.push_back(
            {.item = item_id("i"), .is_completed = true, .text = "t"});
        return run(planner.jobs.commit(term, std::move(results)));
    }

    std::size_t rows_from(std::size_t first,
                          std::chrono::milliseconds wait = 0ms) {
        const auto page = run(reader.jobs.read_results(record.id, first, wait));
        EXPECT_TRUE(page);
        return page ? page->rows.size() : 0;
    }

    fake_users_store fake;
    null_logger log;
    asio::io_context context;
    node_directory directory;
    local_transport transport;
    member planner;
    member reader;
    job_record record{.id = job_id("j"),
                      .route = "r",
                      .host = "h",
                      .service = service_name("e"),
                      .total = 3};
    held_term term;
};

} // namespace

// Load pattern: clients read each open job twice a second through any instance;
// each such read was a call to the store.
TEST_F(result_exchange_test, reads_of_an_open_job_make_no_call_to_the_store) {
    ASSERT_EQ(commit(0), commit_end::listed);
    const auto calls = [&] {
        return planner.client.counters().calls + reader.client.counters().calls;
    };
    const auto before = calls();
    EXPECT_EQ(rows_from(0), 1U);
    EXPECT_EQ(rows_from(1), 0U);
    EXPECT_EQ(rows_from(1, 50ms), 0U);
    EXPECT_EQ(run(planner.jobs.read_results(record.id, 0, 0ms))->rows.size(),
              1U);
    EXPECT_EQ(calls(), before);
}

TEST_F(result_exchange_test, known_rows_are_served_without_a_message) {
    ASSERT_EQ(commit(0), commit_end::listed);
    EXPECT_EQ(rows_from(0), 1U);
    const int before = transport.messages;
    EXPECT_EQ(rows_from(0), 1U);
    EXPECT_EQ(transport.messages, before);
}

TEST_F(result_exchange_test, waiting_read_ends_with_the_next_row) {
    std::optional<outcome<result_page>> page;
    asio::co_spawn(
        context, store_value(reader.jobs.read_results(record.id, 0, 1s), page),
        asio::detached);
    context.restart();
    context.run_for(50ms);
    EXPECT_FALSE(page);
    ASSERT_EQ(commit(0), commit_end::listed);
    context.restart();
    context.run_for(50ms);
    ASSERT_TRUE(page);
    EXPECT_EQ((*page)->rows.size(), 1U);
}

// The planner's own answer to a commit was lost: the row may be listed, and
// others may have read it from the store.
TEST_F(result_exchange_test, open_commit_is_looked_up_in_the_store) {
    fake.fail_transactions(store_fault::lose_answer, 1);
    ASSERT_EQ(commit(0), commit_end::not_listed);
    EXPECT_EQ(rows_from(0), 1U);
}

TEST_F(result_exchange_test, instance_without_the_term_refers_to_the_store) {
    ASSERT_EQ(commit(0), commit_end::listed);
    // The next planner has listed a row that this one doesn't know.
    fake.put(results_key(record.id, 1), R"({"id":"x","state":"lost"})");
    planner.term = 0;
    EXPECT_EQ(rows_from(0), 2U);
}

TEST_F(result_exchange_test, silent_planner_delays_one_read_only) {
    ASSERT_EQ(commit(0), commit_end::listed);
    transport.silent.insert(instance_id("planner"));
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(rows_from(0), 1U);
    EXPECT_EQ(rows_from(1), 0U);
    EXPECT_EQ(rows_from(1), 0U);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 550ms);
}

TEST_F(result_exchange_test, rows_of_a_reader_ahead_of_its_copy_are_returned) {
    ASSERT_EQ(commit(0), commit_end::listed);
    ASSERT_EQ(commit(1), commit_end::listed);
    EXPECT_EQ(rows_from(1), 1U);
    EXPECT_EQ(rows_from(0), 2U) << "the copy must not have a gap";
}

// Guards against results of another job: the planner answers a waiting read up
// to a second later, and by then another process may have the reader's name.
TEST_F(result_exchange_test, reply_to_an_earlier_process_is_ignored) {
    const job_record other{.id = job_id("k"),
                           .route = "r",
                           .host = "h",
                           .service = service_name("e"),
                           .total = 3};
    run(planner.jobs.accept(other, std::string(submission),
                            std::chrono::steady_clock::now() + 1s));
    ASSERT_TRUE(run(planner.jobs.load(other, term.revision)));
    std::optional<outcome<result_page>> page;
    asio::co_spawn(
        context, store_value(reader.jobs.read_results(record.id, 0, 1s), page),
        asio::detached);
    context.restart();
    context.run_for(50ms);
    member restarted(context, fake.address(), transport, directory, "reader",
                     log);
    restarted.jobs.on_record(other.id, other);
    std::optional<outcome<result_page>> other_page;
    asio::co_spawn(context,
                   store_value(restarted.jobs.read_results(other.id, 0, 200ms),
                               other_page),
                   asio::detached);
    context.restart();
    context.run_for(50ms);
    ASSERT_EQ(commit(0), commit_end::listed);
    context.restart();
    context.run_for(1s);
    ASSERT_TRUE(other_page && *other_page);
    EXPECT_TRUE((*other_page)->rows.empty());
}

TEST_F(result_exchange_test, reply_for_another_job_or_position_is_ignored) {
    transport.silent.insert(instance_id("planner"));
    std::optional<outcome<result_page>> page;
    asio::co_spawn(
        context,
        store_value(reader.jobs.read_results(record.id, 0, 200ms), page),
        asio::detached);
    context.restart();
    context.run_for(20ms);
    const auto request = wire::decode<result_request>(transport.last->body);
    ASSERT_TRUE(request);
    const auto deliver = [&](const char* from, result_reply reply) {
        reply.number = request->number;
        reply.is_known = true;
        reader.exchange.on_message({.from = instance_id(from),
                                    .to = instance_id("reader"),
                                    .topic = peer_topic::result_reply,
                                    .body = wire::encode(reply)});
        context.restart();
        context.run_for(20ms);
    };
    deliver("planner", {.rows = {"foreign"}, .job = job_id("k")});
    deliver("planner", {.first = 1, .rows = {"foreign"}, .job = record.id});
    deliver("another", {.rows = {"foreign"}, .job = record.id});
    EXPECT_FALSE(page);
    deliver("planner", {.rows = {"own"}, .job = record.id});
    ASSERT_TRUE(page && *page);
    EXPECT_EQ((*page)->rows, std::vector<std::string>{"own"});
}

#include "drivers/batch/engine_driver.hpp"
#include "servers/batch/job_keys.hpp"
#include "tests/fakes/fake_order_taker.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class silent_transport final : public peer_transport {
public:
    void send(const peer_message&, const endpoint&) override {}
    void on_message(message_handler) override {}
};

const service_name service("e");
const std::string scope_key = term_key(service);

/// An instance whose service "e" has one engine, in a deployment with a lease
/// time of 2 s.
class engine_order_test : public ::testing::Test {
public:
    static constexpr auto lease_time = 2'000ms;

    /// The parts of one process, so that a test can restart it.
    struct process {
        explicit process(engine_order_test& test, bool is_restart)
            : store(context, {.address = test.fake.address()}, test.log)
            , jobs(store, test.log)
            , client(context)
            , random(1)
            , fleet{.pool = upstream_pool({})}
            , scorers(client, fleet, random, test.log)
            , runner(client, scorers, fleet, test.log)
            , host(
                  context, runner, instance_id("self"),
                  [](const instance_id&, runner_update) {},
                  [](const job_id&) { return false; }, test.log)
            , driver(
                  context, control, store, jobs, client, host, transport,
                  directory, fleet, [] { return true; }, test.log,
                  options(is_restart)) {
            fleet.upstreams = {{.id = upstream_id("u"),
                                .service = service,
                                .address = test.engine.address(),
                                .slots = 2,
                                .versions = {{"m", 1}, {"n", 1}}}};
            driver.start();
        }
        ~process() { control.stop(); }

        static engine_driver_options options(bool is_restart) {
            engine_driver_options options{.service = service,
                                          .self = instance_id("self"),
                                          .lease_time = lease_time};
            if (is_restart) {
                options.process_start = boot_clock::now();
            }
            return options;
        }

        asio::io_context context;
        control_mailbox control;
        silent_transport transport;
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
    };

    engine_order_test() { start_process(false); }

    void start_process(bool is_restart) {
        current.reset();
        current.emplace(*this, is_restart);
    }

    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            current->context.restart();
            current->context.run_for(5ms);
        }
        return is_done();
    }

    /// Shows the process the key of the term as the store has it.
    void show_term_key() {
        const auto values = fake.values();
        const auto key = values.find(scope_key);
        current->driver.on_term_key(
            key == values.end() ? nullptr : &key->second,
            key == values.end() ? ++revision : key->second.modified);
    }

    void gain_term() {
        const store_revision before = current->driver.statistics().term;
        show_term_key();
        ASSERT_TRUE(
            wait([&] { return current->driver.statistics().term > before; }));
        revision = current->driver.statistics().term;
    }

    /// Another instance had the term and ordered.
    void pass_through_another_holder() {
        fake.put(scope_key, "other/1");
        show_term_key();
        fake.remove(scope_key);
        revision += 2;
    }

    /// Waits for one more order than there were; returns when it came.
    std::chrono::steady_clock::time_point
    wait_for_order(const std::string& model) {
        const std::size_t before = engine.orders().size();
        current->driver.on_wanted_version(model, ++version);
        EXPECT_TRUE(wait([&] { return engine.orders().size() > before; }));
        return engine.orders().back().at;
    }

    null_logger log;
    fake_users_store fake;
    fake_order_taker engine;
    std::optional<process> current;
    store_revision revision = 1;
    weight_version version = 1;
};

} // namespace

// Guards against planners that take turns at one engine: A orders, B orders,
// and A gets the term back when B is stopped.
TEST_F(engine_order_test, holder_after_another_one_keeps_the_lease_time) {
    gain_term();
    const auto first = wait_for_order("m");
    pass_through_another_holder();
    gain_term();
    EXPECT_GE(wait_for_order("n") - first, lease_time);
}

// Guards against a wait at each takeover: without an order before, there is no
// turn.
TEST_F(engine_order_test, holder_that_has_not_ordered_orders_at_once) {
    gain_term();
    pass_through_another_holder();
    gain_term();
    const auto gained = std::chrono::steady_clock::now();
    EXPECT_LT(wait_for_order("m") - gained, lease_time);
}

// Guards against turns over a restart: the earlier process ordered, and the
// instance has another holder's term next.
TEST_F(engine_order_test, restarted_holder_after_another_one_waits) {
    gain_term();
    const auto first = wait_for_order("m");
    start_process(true);
    pass_through_another_holder();
    gain_term();
    EXPECT_GE(wait_for_order("n") - first, lease_time);
}

TEST_F(engine_order_test, holder_that_restarts_in_its_own_term_orders_at_once) {
    gain_term();
    wait_for_order("m");
    start_process(true);
    gain_term();
    const auto gained = std::chrono::steady_clock::now();
    EXPECT_LT(wait_for_order("n") - gained, lease_time);
}

// Guards against turns over a restart in a term that the earlier process had
// gained back and not settled.
TEST_F(engine_order_test, holder_that_restarts_in_an_unsettled_term_waits) {
    gain_term();
    const auto first = wait_for_order("m");
    pass_through_another_holder();
    gain_term();
    start_process(true);
    gain_term();
    EXPECT_GE(wait_for_order("n") - first, lease_time);
}

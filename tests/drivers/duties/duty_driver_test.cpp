#include "core/wire_codec.hpp"
#include "drivers/duties/duty_driver.hpp"
#include "tests/fakes/fake_duty_platform.hpp"
#include "tests/fakes/fake_users_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const service_name engine("e");

class message_recorder final : public peer_transport {
public:
    void send(const peer_message& message, const endpoint&) override {
        messages.push_back(message);
    }
    void on_message(message_handler) override {}

    std::vector<peer_message> messages;
};

/// An instance of a deployment whose platform scales one service.
class duty_driver_test : public ::testing::Test {
public:
    duty_driver_test()
        : store(context, {.address = fake.address()}, log)
        , term(
              context, store,
              {.key = "c/term/~duty", .self = instance_id("self"), .seed = 1},
              [](const held_term&) {}, [](term_end) {}, log)
        , driver(
              context, store, transport, directory, fleet, term,
              [this] { return holder; }, settings(), 1, log) {
        directory[instance_id("self")] = {.instance = instance_id("self")};
        directory[instance_id("other")] = {.instance = instance_id("other")};
        auto configuration = std::make_shared<fleet_configuration>();
        configuration->routes = {{.name = "r",
                                  .host = "h",
                                  .prefix = "/b/",
                                  .kind = request_kind::batch,
                                  .services = {{.service = engine}}}};
        scaling_rule rule{.min_upstreams = 1, .max_upstreams = 9};
        rule.zone_prices[availability_zone("z")] = 1;
        configuration->services = {{.name = engine,
                                    .engine = engine_rule{.slots = 2},
                                    .scaling = std::move(rule)}};
        fleet.routes = std::make_shared<route_table>(configuration);
        fleet.find_view_age = [] { return view_age{.is_current = true}; };
        driver.start();
    }

    node_settings settings() const {
        node_settings settings{.instance = instance_id("self")};
        settings.duties = duty_settings{.address = platform.address(),
                                        .may_scale = true,
                                        .calls_per_second = 100};
        return settings;
    }
    void hold() {
        asio::co_spawn(context, term.run(), asio::detached);
        term.on_key(nullptr, 1);
        ASSERT_TRUE(wait([&] { return term.term().has_value(); }));
        holder = {instance_id("self"), term.term()->revision};
    }
    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 4s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(10ms);
        }
        return is_done();
    }
    /// Demand of many workers.
    static worker_demand demand() {
        worker_demand message{.service = engine, .term = 3, .slot_rate = 50};
        message.work.push_back(
            {.due_in = 5s, .tokens = 100'000, .waiting_items = 100});
        return message;
    }

    asio::io_context context;
    null_logger log;
    fake_users_store fake;
    fake_duty_platform platform;
    store_client store;
    message_recorder transport;
    node_directory directory;
    fleet_state fleet{.pool = upstream_pool({})};
    duty_holder holder;
    scope_term term;
    duty_driver driver;
};

} // namespace

// Guards against orders that don't follow the demand of a planner elsewhere,
// or without the holder's token.
TEST_F(duty_driver_test, demand_of_another_instance_leads_to_one_order) {
    hold();
    driver.on_message({.from = instance_id("other"),
                       .topic = peer_topic::worker_demand,
                       .body = wire::encode(demand())});
    ASSERT_TRUE(wait([&] { return !platform.calls().empty(); }));
    const http_request call = platform.calls().front();
    EXPECT_EQ(call.body, R"({"service":"e","zone":"z","target_groups":9})");
    EXPECT_EQ(call.header("Fencing-Token"),
              std::to_string(term.term()->revision));
    EXPECT_FALSE(wait([&] { return platform.calls().size() > 1; }));
}

// Guards against orders by an instance that doesn't hold the duty, and against
// demand that its holder doesn't learn.
TEST_F(duty_driver_test, demand_goes_to_the_holder) {
    holder = {instance_id("other"), 5};
    driver.demand_handler()(demand());
    ASSERT_FALSE(transport.messages.empty());
    const peer_message& message = transport.messages.back();
    EXPECT_EQ(message.to, instance_id("other"));
    EXPECT_EQ(message.topic, peer_topic::worker_demand);
    const auto decoded = wire::decode<worker_demand>(message.body);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->work.at(0).tokens, 100'000U);
    EXPECT_FALSE(wait([&] { return !platform.calls().empty(); }));
}

// Guards against orders that are given up or repeated in a storm while the
// platform's interface is away.
TEST_F(duty_driver_test, order_is_repeated_until_the_platform_takes_it) {
    platform.set_status(503);
    hold();
    driver.demand_handler()(demand());
    ASSERT_TRUE(wait([&] {
        driver.demand_handler()(demand());
        return platform.calls().size() >= 2;
    }));
    EXPECT_LE(platform.calls().size(), 3U);
    platform.set_status(200);
    ASSERT_TRUE(wait([&] {
        driver.demand_handler()(demand());
        return driver.write_metrics().find("worker_orders_accepted_total 1") !=
               std::string::npos;
    }));
}

// Guards against holders that take turns within the lease time over a restart:
// the earlier process of this instance may have called, and another holder
// since.
TEST_F(duty_driver_test, first_call_after_a_restart_keeps_the_lease_time) {
    constexpr auto lease_time = 1'200ms;
    const auto process_start = boot_clock::now();
    scope_term restarted(
        context, store,
        {.key = "c/term/~restarted",
         .self = instance_id("self"),
         .lease_time = lease_time,
         .process_start = process_start},
        [](const held_term&) {}, [](term_end) {}, log);
    duty_caller caller(
        context, restarted,
        {.settings = *settings().duties, .self = instance_id("self")}, log);
    asio::co_spawn(context, restarted.run(), asio::detached);
    restarted.on_key(nullptr, 1);
    ASSERT_TRUE(wait([&] { return restarted.is_held_now(); }));
    ASSERT_TRUE(wait([&] { return caller.usable_term().has_value(); }));
    EXPECT_GE(boot_clock::now() - process_start, lease_time);
    context.stop();
}

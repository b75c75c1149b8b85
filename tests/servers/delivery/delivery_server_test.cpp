#include "core/wire_codec.hpp"
#include "servers/delivery/delivery_server.hpp"

#include <gtest/gtest.h>

namespace savorydock {

using namespace std::chrono_literals;

/// Three instances whose messages arrive immediately, unless the network is
/// partitioned or permit replies are lost.
class delivery_server_test : public ::testing::Test {
protected:
    struct node {
        key_ledger ledger{key_ledger_options{}};
        delivery_port port;
        std::unique_ptr<delivery_server> server;
    };

    void SetUp() override {
        for (const char* const name : {"a", "b", "c"}) {
            const instance_id self(name);
            node& one = nodes_[self];
            one.server = std::make_unique<delivery_server>(
                delivery_server_options{
                    .gate = {.self = self, .boot = "1"},
                    .suspicion = {.self = self, .boot = "1"}},
                one.ledger, one.port);
            one.server->set_peers(
                {instance_id("a"), instance_id("b"), instance_id("c")});
        }
    }

    node& at(const char* name) { return nodes_.at(instance_id(name)); }

    void submit(const char* name, delivery_event event) {
        command_list out;
        at(name).port.submit(std::move(event));
        at(name).server->serve_port(now_, out);
        deliver(out);
    }

    void tick(std::chrono::milliseconds step) {
        now_ += step;
        for (auto& [name, one] : nodes_) {
            command_list out;
            one.server->on_tick(now_, out);
            deliver(out);
        }
    }

    void deliver(const command_list& out) {
        for (const control_command& command : out) {
            const auto* const message = std::get_if<peer_message>(&command);
            if (message == nullptr || is_partitioned_ || is_lost(*message)) {
                continue;
            }
            command_list answer;
            nodes_.at(message->to)
                .server->on_peer_message(*message, now_, answer);
            deliver(answer);
        }
    }

    [[nodiscard]] bool is_lost(const peer_message& message) const {
        const auto body = wire::decode<delivery_message>(message.body);
        return loses_permit_replies_ && body->permit_replied;
    }

    /// Requests a permit; returns its id, or an empty string if it is refused.
    std::string permit(const char* name, const char* request,
                       const char* upstream) {
        std::string granted;
        submit(name, permit_query{.service = service_name("s"),
                                  .fingerprint = request,
                                  .upstream = upstream_id(upstream),
                                  .duration = 10s,
                                  .done = [&](bool yes, const auto& id) {
                                      granted = yes ? id : "";
                                  }});
        if (granted.empty()) {
            tick(300ms);
        }
        return granted;
    }

    static std::vector<lost_run> lost(const char* upstream) {
        return {{.service = service_name("s"),
                 .upstream = upstream_id(upstream),
                 .fingerprint = "bad"}};
    }

    std::map<instance_id, node> nodes_;
    steady_time now_{1h};
    bool is_partitioned_ = false;
    bool loses_permit_replies_ = false;
};

TEST_F(delivery_server_test,
       request_lost_on_two_upstreams_is_blocked_everywhere) {
    submit("a", lost("u1"));
    EXPECT_FALSE(at("b").port.suspects()->at("bad").is_blocked);
    const std::string granted = permit("b", "bad", "u2");
    ASSERT_FALSE(granted.empty());
    submit("b", lost("u2"));
    submit("b", permit_return{service_name("s"), granted});
    for (const char* const name : {"a", "b", "c"}) {
        EXPECT_TRUE(at(name).port.suspects()->at("bad").is_blocked);
        EXPECT_EQ(permit(name, "bad", "u3"), "");
    }
    submit("c", suspect_clearing{"bad"});
    EXPECT_TRUE(at("a").port.suspects()->empty());
}

TEST_F(delivery_server_test, permit_is_exclusive_across_all_instances) {
    const std::string first = permit("a", "r1", "u1");
    ASSERT_FALSE(first.empty());
    EXPECT_EQ(permit("b", "r1", "u2"), "") << "the same request";
    EXPECT_EQ(permit("c", "r2", "u1"), "") << "the same upstream";
    EXPECT_FALSE(permit("c", "r2", "u2").empty());
    submit("a", permit_return{service_name("s"), first});
    EXPECT_FALSE(permit("b", "r1", "u3").empty());
}

TEST_F(delivery_server_test, permit_whose_holder_fails_counts_as_a_loss) {
    submit("a", lost("u1"));
    ASSERT_FALSE(permit("b", "bad", "u2").empty());
    tick(10s);
    EXPECT_TRUE(at("c").port.suspects()->at("bad").is_blocked);
}

TEST_F(delivery_server_test, arbiter_without_reply_refuses_the_permit) {
    is_partitioned_ = true;
    int granted = 0;
    for (const char* const name : {"a", "b", "c"}) {
        granted += permit(name, "r", "u1").empty() ? 0 : 1;
    }
    EXPECT_LE(granted, 1) << "only the arbiter can grant itself the permit";
}

TEST_F(delivery_server_test, permit_whose_reply_was_lost_is_returned_unused) {
    submit("a", lost("u1"));
    loses_permit_replies_ = true;
    for (const char* const name : {"a", "b", "c"}) {
        const std::string granted = permit(name, "bad", "u2");
        if (!granted.empty()) { // The arbiter grants its own permit without a
                                // message.
            submit(name, permit_return{service_name("s"), granted});
        }
    }
    tick(60s);
    EXPECT_FALSE(at("a").port.suspects()->at("bad").is_blocked);
}

TEST_F(delivery_server_test, newer_session_elsewhere_supersedes_the_older) {
    const step_key key{.trainer = "t", .step = 3};
    session_epoch announced = 0;
    submit("a", step_opening{key, 1, [&](session_epoch e) { announced = e; }});
    submit("b", step_opening{key, 2, [](session_epoch) {}});
    EXPECT_EQ(announced, 2U);
    session_epoch late = 0;
    submit("c", step_opening{key, 1, [&](session_epoch e) { late = e; }});
    EXPECT_EQ(late, 2U) << "an older session is notified immediately";
}

TEST_F(delivery_server_test, repeated_attempt_gets_the_answer_from_a_peer) {
    const call_key key{service_name("s"), caller_id("c"), idempotency_key("k")};
    ASSERT_EQ(at("a").ledger.begin(key, 1, now_).verdict, key_verdict::run);
    at("a").ledger.finish(key, {.status = 201, .body = "done"}, now_);
    ASSERT_EQ(at("b").ledger.begin(key, 2, now_).verdict,
              key_verdict::acquire_right);
    run_right_result got;
    submit("b", run_right_query{.key = key,
                                .attempt = 2,
                                .deadline = now_ + 1s,
                                .done = [&](const auto& r) { got = r; }});
    ASSERT_TRUE(got.answer);
    EXPECT_EQ(got.answer->body, "done");
    EXPECT_FALSE(got.may_run);
}

TEST_F(delivery_server_test, malformed_message_is_refused) {
    command_list out;
    at("a").server->on_peer_message({.from = instance_id("b"),
                                     .to = instance_id("a"),
                                     .topic = peer_topic::delivery,
                                     .body = "junk"},
                                    now_, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<log_command>(out[0]).event,
              log_event::peer_frame_refused);
}

} // namespace savorydock

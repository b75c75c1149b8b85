#include "core/wire_codec.hpp"
#include "drivers/feed/peer_store_relay.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/run_call.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Records the messages instead of delivering them.
class recording_transport final : public peer_transport {
public:
    void send(const peer_message& message, const endpoint&) override {
        messages.push_back(message);
    }
    void on_message(message_handler) override {}

    std::vector<peer_message> messages;
};

class peer_store_relay_test : public ::testing::Test {
public:
    peer_store_relay_test()
        : store(context, {.address = fake.address()}, log) {
        for (const char* const name : {"self", "first", "second"}) {
            directory[instance_id(name)] = {.instance = instance_id(name)};
        }
    }

    std::unique_ptr<peer_store_relay> make_relay() {
        return std::make_unique<peer_store_relay>(
            context, store, transport, directory, instance_id("self"),
            [] {
                return std::vector{instance_id("first"), instance_id("second")};
            },
            log);
    }

    using call_result = std::optional<outcome<http_response>>;

    void start_call(peer_store_relay& relay, call_result& result) {
        asio::co_spawn(
            context,
            store_value(
                relay.call({.method = "POST", .target = "/txn", .body = "{}"}),
                result),
            asio::detached);
        run(20ms);
    }

    void run(std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    }

    /// The number of the call in the message sent last.
    [[nodiscard]] std::uint64_t last_number() const {
        return wire::decode<relayed_call>(transport.messages.back().body)
            ->number;
    }

    static void answer(peer_store_relay& relay, const char* from,
                       const relayed_answer& content) {
        relay.on_message({.from = instance_id(from),
                          .to = instance_id("self"),
                          .topic = peer_topic::store_answer,
                          .body = wire::encode(content)});
    }

    fake_users_store fake;
    null_logger log;
    asio::io_context context;
    store_client store;
    node_directory directory;
    recording_transport transport;
};

} // namespace

// Guards against a write that counts as done because an earlier process of the
// same name made another one.
TEST_F(peer_store_relay_test, answer_to_an_earlier_process_is_ignored) {
    const auto before = make_relay();
    call_result earlier;
    start_call(*before, earlier);
    const std::uint64_t number = last_number();
    const auto after = make_relay();
    call_result later;
    start_call(*after, later);
    answer(*after, "first",
           {.number = number, .is_answered = true, .status = 200});
    run(20ms);
    EXPECT_FALSE(later) << "taken for the answer to another call";
    answer(*after, "first",
           {.number = last_number(), .is_answered = true, .status = 200});
    run(20ms);
    ASSERT_TRUE(later);
    EXPECT_TRUE(*later);
}

// Guards against submissions that were stored and answered as refused: only the
// answer of the last instance counted.
TEST_F(peer_store_relay_test,
       refusal_after_a_lost_answer_leaves_the_outcome_unknown) {
    const auto relay = make_relay();
    call_result result;
    start_call(*relay, result);
    answer(*relay, "first", {.number = last_number(), .may_take_effect = true});
    run(20ms);
    ASSERT_EQ(transport.messages.back().to, instance_id("second"));
    answer(*relay, "second",
           {.number = last_number(), .is_answered = true, .status = 503});
    run(20ms);
    ASSERT_TRUE(result);
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->reason().code, result_code::store_unanswered);
}

TEST_F(peer_store_relay_test, refusal_of_the_only_try_is_passed_on) {
    const auto relay = make_relay();
    call_result result;
    start_call(*relay, result);
    answer(*relay, "first",
           {.number = last_number(), .is_answered = true, .status = 503});
    run(20ms);
    ASSERT_TRUE(result && *result);
    EXPECT_EQ((*result)->status, 503U);
}

TEST_F(peer_store_relay_test, error_that_promises_nothing_is_no_refusal) {
    const auto relay = make_relay();
    call_result result;
    start_call(*relay, result);
    answer(*relay, "first",
           {.number = last_number(), .is_answered = true, .status = 502});
    run(20ms);
    ASSERT_TRUE(result);
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->reason().code, result_code::store_unanswered);
}

#include "core/wire_codec.hpp"
#include "drivers/duties/usage_reporter.hpp"
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

constexpr std::string_view scope_key = "c/term/~duty";

class message_recorder final : public peer_transport {
public:
    void send(const peer_message& message, const endpoint&) override {
        messages.push_back(message);
    }
    void on_message(message_handler) override {}

    std::vector<peer_message> messages;
};

class usage_reporter_test : public ::testing::Test {
public:
    usage_reporter_test()
        : store(context, {.address = fake.address()}, log)
        , term(
              context, store,
              {.key = std::string(scope_key),
               .self = instance_id("self"),
               .seed = 1},
              [](const held_term&) {}, [](term_end) {}, log)
        , caller(context, term,
                 {.settings = settings(), .self = instance_id("self")}, log)
        , reporter(context, store, transport, directory, term, caller,
                   {.settings = settings(),
                    .self = instance_id("self"),
                    .find_holder = [this] { return holder; },
                    .max_jitter = 1ms},
                   log) {
        add_instance("self");
    }

    duty_settings settings() const {
        return {.address = platform.address(),
                .must_report_usage = true,
                .calls_per_second = 100,
                .usage_window = 400ms,
                .usage_due = 4s};
    }
    void add_instance(const char* name) {
        directory[instance_id(name)] = {.instance = instance_id(name)};
    }
    /// Makes the instance the holder, as far as the store and its copy show.
    void hold() {
        asio::co_spawn(context, term.run(), asio::detached);
        term.on_key(nullptr, 1);
        ASSERT_TRUE(wait([&] { return term.term().has_value(); }));
        holder = {instance_id("self"), term.term()->revision};
    }
    template <class Test>
    bool wait(Test is_done) {
        const auto end = std::chrono::steady_clock::now() + 8s;
        while (!is_done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(10ms);
        }
        return is_done();
    }
    bool has_call_with(std::string_view text) const {
        const auto calls = platform.calls();
        return std::any_of(calls.begin(), calls.end(), [&](const auto& call) {
            return call.body.find(text) != std::string::npos;
        });
    }
    /// Lets the reporter see a message with counts of another instance.
    void receive_counts(const char* from, std::uint64_t count) {
        const auto window = static_cast<usage_window>(
            std::chrono::system_clock::now().time_since_epoch() / 400ms);
        process_counts counts{.instance = instance_id(from),
                              .process = 3,
                              .first_window = window};
        counts.windows.push_back({.window = window + 1,
                                  .is_final = true,
                                  .counts = {{organisation_id("red"), count}}});
        usage_counts message;
        message.processes.push_back(std::move(counts));
        reporter.on_message({.from = instance_id(from),
                             .to = instance_id("self"),
                             .topic = peer_topic::usage_counts,
                             .body = wire::encode(message)});
    }

    asio::io_context context;
    null_logger log;
    fake_users_store fake;
    fake_duty_platform platform;
    store_client store;
    message_recorder transport;
    node_directory directory;
    duty_holder holder;
    scope_term term;
    duty_caller caller;
    usage_reporter reporter;
};

} // namespace

// Guards against a report that the store doesn't know, and against calls
// without the holder's token.
TEST_F(usage_reporter_test, holder_records_and_reports_its_own_counts) {
    reporter.start();
    hold();
    reporter.on_run_began(organisation_id("red"),
                          std::chrono::steady_clock::now() + 400ms);
    ASSERT_TRUE(wait([&] { return has_call_with("\"red\":1"); }));
    const http_request call = platform.calls().back();
    EXPECT_EQ(call.header("Duty-Holder"), "self");
    EXPECT_EQ(call.header("Fencing-Token"),
              std::to_string(term.term()->revision));
    ASSERT_TRUE(
        wait([&] { return reporter.statistics().reports_accepted > 3; }));
    const auto values = fake.values();
    EXPECT_LT(std::distance(values.lower_bound("u/"), values.end()), 5);
}

// Guards against counts of other instances that are lost or never confirmed.
TEST_F(usage_reporter_test, counts_of_others_are_confirmed_and_reported) {
    add_instance("other");
    reporter.start();
    hold();
    receive_counts("other", 5);
    receive_counts("other", 5);
    ASSERT_TRUE(wait([&] { return has_call_with("\"red\":5"); }));
    const auto is_receipt = [](const peer_message& message) {
        return message.topic == peer_topic::usage_receipt &&
               message.to == instance_id("other");
    };
    EXPECT_EQ(std::count_if(transport.messages.begin(),
                            transport.messages.end(), is_receipt),
              2);
}

// Guards against a report that changes between its attempts, and against one
// that is given up while the platform is away.
TEST_F(usage_reporter_test, unanswered_report_is_repeated_unchanged) {
    platform.set_status(503);
    reporter.start();
    hold();
    ASSERT_TRUE(wait([&] { return platform.calls().size() >= 3; }));
    platform.set_status(200);
    ASSERT_TRUE(
        wait([&] { return reporter.statistics().reports_accepted > 0; }));
    const auto calls = platform.calls();
    EXPECT_EQ(calls.at(0).body, calls.at(1).body);
    EXPECT_EQ(calls.at(0).body, calls.at(2).body);
}

// Guards against a new report for a window that a predecessor has recorded.
TEST_F(usage_reporter_test, records_of_a_predecessor_are_sent_unchanged) {
    fake.put("u/7", R"({"window_id":7,"counts":{"red":3}})");
    reporter.start();
    hold();
    ASSERT_TRUE(wait([&] { return platform.calls().size() >= 2; }));
    EXPECT_EQ(platform.calls().at(0).body,
              R"({"window_id":7,"counts":{"red":3}})");
    EXPECT_EQ(platform.calls().at(1).body, R"({"window_id":8,"counts":{}})");
}

// Guards against further calls with a token that the platform has refused.
TEST_F(usage_reporter_test, fenced_term_makes_no_more_calls) {
    platform.set_status(409);
    reporter.start();
    hold();
    const store_revision fenced = term.term()->revision;
    ASSERT_TRUE(wait([&] { return !platform.calls().empty(); }));
    wait([&] { return platform.calls().size() > 1; });
    for (std::size_t at = 1; at < platform.calls().size(); ++at) {
        EXPECT_NE(platform.calls().at(at).header("Fencing-Token"),
                  std::to_string(fenced));
    }
}

// Guards against a report that is refused for another reason than its token and
// holds up all others for ever.
TEST_F(usage_reporter_test, report_refused_in_two_terms_is_given_up) {
    fake.put("u/7", R"({"window_id":7,"counts":{}})");
    platform.set_status(409);
    reporter.start();
    hold();
    EXPECT_TRUE(
        wait([&] { return reporter.statistics().reports_refused > 0; }));
    platform.set_status(200);
    EXPECT_TRUE(wait([&] { return has_call_with("\"window_id\":8,"); }));
}

// Guards against counts that only a holder that crashed has: another instance
// keeps a copy and forwards it.
TEST_F(usage_reporter_test, copies_are_forwarded_to_a_new_holder) {
    add_instance("new");
    add_instance("old");
    holder = {instance_id("old"), 5};
    reporter.start();
    wait([&] { return !transport.messages.empty(); });
    receive_counts("old", 5);
    transport.messages.clear();
    holder = {instance_id("new"), 6};
    const auto has_copy = [&] {
        return std::any_of(
            transport.messages.begin(), transport.messages.end(),
            [](const peer_message& message) {
                const auto counts = wire::decode<usage_counts>(message.body);
                return message.to == instance_id("new") && counts &&
                       counts->processes.front().instance == instance_id("old");
            });
    };
    EXPECT_TRUE(wait(has_copy));
}

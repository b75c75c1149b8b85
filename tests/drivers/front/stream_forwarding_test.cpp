#include "core/wire_codec.hpp"
#include "drivers/front/front_service.hpp"
#include "servers/streams/stream_keys.hpp"
#include "tests/fakes/fake_users_store.hpp"
#include "tests/fakes/raw_upstream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <sstream>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t stream_length = 6;

std::string chunk(const std::string& bytes) {
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// An engine whose events show the version of its software.
class versioned_engine {
public:
    explicit versioned_engine(std::string version)
        : version_(std::move(version)) {}

    [[nodiscard]] upstream_entry entry(const std::string& id) const {
        return {.id = upstream_id(id),
                .service = service_name("s"),
                .address = upstream_.address(),
                .software = software_version(version_)};
    }

    /// Sends the events after the one that the request names.
    void serve(raw_connection& connection) {
        const std::string request = connection.read_request();
        if (request.empty()) {
            return;
        }
        const std::string after = header_of(request, "Last-Event-Id");
        const std::uint64_t first =
            after.empty() ? 1 : std::stoull(after) + 1 + skipped;
        {
            const std::lock_guard lock(mutex_);
            starts_.push_back(first);
        }
        if (!answer.empty()) {
            connection.write(answer);
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " +
                         header_of(request, "Request-Id") +
                         "\r\nServer-Stamp: s\r\n" + headers +
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
        for (std::uint64_t number = first; number <= stream_length; ++number) {
            if (number > breaks_after) {
                return;
            }
            connection.write(chunk("id: " + std::to_string(number) +
                                   "\ndata: " + version_ + "\n\n"));
        }
        connection.write("0\r\n\r\n");
        connection.read_request();
    }

    /// The first events of the runs so far.
    [[nodiscard]] std::vector<std::uint64_t> starts() const {
        const std::lock_guard lock(mutex_);
        return starts_;
    }

    /// Closes the connection after this event.
    std::atomic<std::uint64_t> breaks_after = stream_length;
    /// Events missing at the start of a resumed run.
    std::atomic<std::uint64_t> skipped = 0;
    /// Added to the answers with a stream. Set it before the first request.
    std::string headers;
    /// If set, the answer to all requests. Set it before the first request.
    std::string answer;

private:
    std::string version_;
    mutable std::mutex mutex_;
    std::vector<std::uint64_t> starts_;
    raw_upstream upstream_{
        [this](raw_connection& connection, std::size_t) { serve(connection); }};
};

/// An instance: a front service behind a real listener, with its own view of
/// the fleet and its own way to the store.
class test_instance {
public:
    test_instance(traffic_pool& pool, const endpoint& store_address)
        : client(pool.context(0))
        , store(pool.context(0), {.address = store_address}, log)
        , ledger(pool.context(0), store, {}, log)
        , server(pool, caller_limits{}, [this](http_exchange& exchange) {
            return front.handle(exchange);
        }) {
        address = *server.listen({.address = "127.0.0.1", .port = 0});
    }

    null_logger log;
    metrics_registry metrics;
    seeded_random_source random{1};
    fleet_state fleet{.pool = upstream_pool({})};
    http_client client;
    store_client store;
    job_store jobs{store, log};
    plain_caller caller{client, fleet, random, log};
    suspect_list suspects{{.self = instance_id("b"), .boot = "1"}};
    stream_ledger ledger;
    stream_forwarder streams{fleet, client, ledger, random, log};
    front_service front{fleet,    caller,  streams, jobs,
                        suspects, metrics, log,     [](const job_record&) {}};
    http_server server;
    endpoint address;
};

/// A front service behind a real listener, with a resumable route.
class stream_forwarding_test : public ::testing::Test {
public:
    stream_forwarding_test() {
        auto configuration = std::make_shared<fleet_configuration>();
        configuration->routes = {{.name = "r",
                                  .host = "h",
                                  .prefix = "/stream/",
                                  .kind = request_kind::stream,
                                  .timeout = 2s,
                                  .target_latency = 500ms,
                                  .services = {{.service = service_name("s")}},
                                  .max_attempts = 3,
                                  .is_resumable = true}};
        fleet.routes = std::make_shared<const route_table>(configuration);
        address = *server.listen({.address = "127.0.0.1", .port = 0});
    }

    ~stream_forwarding_test() override {
        server.stop_accepting();
        pool.stop();
    }

    /// Runs the function on the traffic thread and waits until it ended.
    void on_traffic_thread(const std::function<void()>& function) {
        std::promise<void> is_done;
        asio::post(pool.context(0), [&] {
            function();
            is_done.set_value();
        });
        is_done.get_future().wait();
    }

    void set_upstreams(const std::vector<upstream_entry>& upstreams) {
        on_traffic_thread([&] { fleet.pool.set_upstreams(upstreams); });
    }

    outcome<http_response> send(const std::string& id,
                                http_headers headers = {}) {
        return send_to(address, id, std::move(headers));
    }

    static outcome<http_response> send_to(const endpoint& instance,
                                          const std::string& id,
                                          http_headers headers = {}) {
        headers.push_back({"Host", "h"});
        headers.push_back({"Request-Id", id});
        return call_blocking(
            instance, {.target = "/stream/a", .headers = std::move(headers)},
            3s);
    }

    outcome<http_response> take_up(const std::string& id,
                                   const std::string& first,
                                   std::uint64_t last_event) {
        return send(id, {{"Resumes", first},
                         {"Last-Event-Id", std::to_string(last_event)}});
    }

    /// Streams without a record began at this version.
    void set_default(const std::string& version) {
        set_default_at(ledger, version);
    }

    void set_default_at(stream_ledger& known, const std::string& version) {
        const default_origins defaults{
            {"r",
             {.service = service_name("s"),
              .software = software_version(version)}}};
        store_change change{.value = {.key = std::string(stream_defaults_key),
                                      .value = wire::encode(defaults)}};
        on_traffic_thread([&] { known.on_defaults_change(change); });
    }

    [[nodiscard]] bool has_record(const std::string& id) const {
        return fake.values().contains("s/" + id);
    }

    versioned_engine old_engine{"v1"};
    versioned_engine new_engine{"v2"};
    null_logger log;
    metrics_registry metrics;
    seeded_random_source random{1};
    // Outlives the requests that are destroyed with the pool.
    fleet_state fleet{.pool = upstream_pool({})};
    traffic_pool pool{1};
    http_client client{pool.context(0)};
    fake_users_store fake;
    store_client store{pool.context(0), {.address = fake.address()}, log};
    job_store jobs{store, log};
    plain_caller caller{client, fleet, random, log};
    suspect_list suspects{{.self = instance_id("a"), .boot = "1"}};
    stream_ledger ledger{pool.context(0), store, {}, log};
    stream_forwarder streams{fleet, client, ledger, random, log};
    front_service front{fleet,    caller,  streams, jobs,
                        suspects, metrics, log,     [](const job_record&) {}};
    http_server server{pool, caller_limits{}, [this](http_exchange& exchange) {
                           return front.handle(exchange);
                       }};
    endpoint address;
};

} // namespace

// Of equal upstreams the pool chooses the one with the smallest id.
TEST_F(stream_forwarding_test, broken_stream_goes_on_at_its_own_version) {
    old_engine.breaks_after = 3;
    versioned_engine second("v1");
    set_upstreams(
        {old_engine.entry("a"), new_engine.entry("b"), second.entry("c")});
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(second.starts(), std::vector<std::uint64_t>{4});
    EXPECT_TRUE(new_engine.starts().empty());
}

// Guards against usage that counts a stream twice: when it goes on elsewhere,
// or when its caller takes it up again.
TEST_F(stream_forwarding_test, start_of_a_stream_is_counted_once) {
    versioned_engine second("v1");
    old_engine.breaks_after = 3;
    set_upstreams({old_engine.entry("a"), second.entry("c")});
    int starts = 0;
    on_traffic_thread([&] {
        auto configuration = std::make_shared<fleet_configuration>(
            fleet.routes->configuration());
        configuration->organisations = {
            {.name = organisation_id("red"), .keys = {"k"}}};
        fleet.routes = std::make_shared<const route_table>(configuration);
        fleet.on_run_began = [&](const organisation_id& name, steady_time) {
            EXPECT_EQ(name, organisation_id("red"));
            ++starts;
        };
    });
    const http_header key{"Authorization", "Bearer k"};
    ASSERT_TRUE(send("x", {key}));
    EXPECT_EQ(second.starts(), std::vector<std::uint64_t>{4});
    ASSERT_TRUE(send("y", {key, {"Resumes", "x"}, {"Last-Event-Id", "3"}}));
    on_traffic_thread([&] { EXPECT_EQ(starts, 1); });
}

TEST_F(stream_forwarding_test, broken_stream_is_cut_if_its_version_is_gone) {
    old_engine.breaks_after = 3;
    set_upstreams({old_engine.entry("a"), new_engine.entry("b")});
    EXPECT_FALSE(send("1"));
    EXPECT_TRUE(new_engine.starts().empty());
}

TEST_F(stream_forwarding_test, stream_of_a_version_that_left_is_not_taken_up) {
    old_engine.breaks_after = 3;
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    EXPECT_FALSE(send("1"));
    set_upstreams({new_engine.entry("b")});
    const auto answer = take_up("2", "1", 3);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 503U);
    EXPECT_FALSE(answer->header("Retry-After").empty());
    EXPECT_TRUE(new_engine.starts().empty());
}

// Nothing but the store knows the stream: the instance that began it may have
// been restarted.
TEST_F(stream_forwarding_test, recorded_stream_is_taken_up_at_its_version) {
    new_engine.breaks_after = 3;
    set_default("v1");
    set_upstreams({new_engine.entry("b")});
    EXPECT_FALSE(send("1"));
    EXPECT_TRUE(has_record("1"));
    new_engine.breaks_after = stream_length;
    set_upstreams({old_engine.entry("a"), new_engine.entry("b")});
    const auto answer = take_up("2", "1", 3);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(new_engine.starts(), (std::vector<std::uint64_t>{1, 4}));
    EXPECT_TRUE(old_engine.starts().empty());
}

TEST_F(stream_forwarding_test, stream_of_the_default_version_costs_no_write) {
    old_engine.breaks_after = 3;
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    EXPECT_FALSE(send("1"));
    EXPECT_FALSE(has_record("1"));
    old_engine.breaks_after = stream_length;
    set_upstreams({new_engine.entry("A"), old_engine.entry("a")});
    const auto answer = take_up("2", "1", 3);
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(old_engine.starts(), (std::vector<std::uint64_t>{1, 4}));
}

TEST_F(stream_forwarding_test, stream_of_a_patient_caller_is_recorded) {
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    EXPECT_TRUE(send("1", {{"Deadline-Ms", "30000"}}));
    EXPECT_FALSE(has_record("1"));
    EXPECT_TRUE(send("2", {{"Deadline-Ms", "30001"}}));
    EXPECT_TRUE(has_record("2"));
}

TEST_F(stream_forwarding_test, event_isnt_sent_before_its_origin_is_stored) {
    fake.fail_transactions(store_fault::refuse, 1'000);
    set_upstreams({new_engine.entry("b")});
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 502U);
    EXPECT_FALSE(has_record("1"));
}

TEST_F(stream_forwarding_test, lost_answer_to_a_record_costs_one_more_write) {
    fake.fail_transactions(store_fault::lose_answer, 1);
    set_upstreams({new_engine.entry("b")});
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_TRUE(has_record("1"));
}

// While the store is away, only streams of the default version can be found
// again.
TEST_F(stream_forwarding_test, new_streams_prefer_the_default_without_a_store) {
    set_default("v2");
    set_upstreams({old_engine.entry("a"), new_engine.entry("b")});
    fake.set_refusing(true);
    const auto refused = take_up("1", "0", 3);
    ASSERT_TRUE(refused) << refused.reason().detail;
    EXPECT_EQ(refused->status, 503U);
    const auto answer = send("2");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_TRUE(old_engine.starts().empty());
}

TEST_F(stream_forwarding_test, stream_is_served_and_recorded_after_an_outage) {
    set_default("v0");
    set_upstreams({old_engine.entry("a")});
    fake.set_refusing(true);
    const auto refused = take_up("1", "0", 3);
    ASSERT_TRUE(refused) << refused.reason().detail;
    const auto answer = send("2");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    fake.set_refusing(false);
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (!has_record("2") && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_TRUE(has_record("2"));
}

TEST_F(stream_forwarding_test, take_up_without_a_known_origin_is_refused) {
    set_upstreams({old_engine.entry("a")});
    const auto unnamed = send("1", {{"Last-Event-Id", "3"}});
    ASSERT_TRUE(unnamed) << unnamed.reason().detail;
    EXPECT_EQ(unnamed->status, 503U);
    const auto unknown = take_up("2", "0", 3);
    ASSERT_TRUE(unknown) << unknown.reason().detail;
    EXPECT_EQ(unknown->status, 503U);
    for (const char* const number : {"x", "3x", "-1", "99999999999999999999"}) {
        const auto invalid = send("3", {{"Last-Event-Id", number}});
        ASSERT_TRUE(invalid) << invalid.reason().detail;
        EXPECT_EQ(invalid->status, 400U) << number;
    }
    EXPECT_TRUE(old_engine.starts().empty());
}

// A new stream may name event 0 as the last one.
TEST_F(stream_forwarding_test, stream_after_event_zero_is_a_new_one) {
    set_upstreams({old_engine.entry("a")});
    const auto answer = send("1", {{"Last-Event-Id", "0"}});
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_TRUE(has_record("1"));
}

TEST_F(stream_forwarding_test, error_of_the_next_upstream_stays_out_of_it) {
    old_engine.breaks_after = 3;
    for (const std::string body : {"", "{\"error\":1}\n\n"}) {
        versioned_engine broken("v1");
        broken.answer = "HTTP/1.1 500 Internal Server Error\r\n"
                        "Request-Id: 1\r\nServer-Stamp: s\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
        set_upstreams({old_engine.entry("a"), broken.entry("b")});
        EXPECT_FALSE(send("1")) << body;
        EXPECT_EQ(broken.starts(), std::vector<std::uint64_t>{4});
    }
}

TEST_F(stream_forwarding_test, stream_with_a_missing_event_is_not_complete) {
    old_engine.breaks_after = 3;
    versioned_engine skipping("v1");
    skipping.skipped = 1;
    set_upstreams({old_engine.entry("a"), skipping.entry("b")});
    EXPECT_FALSE(send("1"));
    EXPECT_EQ(skipping.starts(), std::vector<std::uint64_t>{5});
}

// A head that stops before its blank line is no answer.
TEST_F(stream_forwarding_test, unfinished_head_of_an_answer_is_no_success) {
    for (const char* const head :
         {"HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: 1\r\n",
          "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: 1\r\n"
          "Content-Length: 0\r\n"}) {
        versioned_engine broken("v1");
        broken.answer = head;
        set_upstreams({broken.entry("a")});
        const auto answer = send("1");
        ASSERT_TRUE(answer) << answer.reason().detail;
        EXPECT_EQ(answer->status, 502U);
    }
}

TEST_F(stream_forwarding_test, event_without_end_is_cut) {
    std::size_t written = 0;
    raw_upstream endless([&](raw_connection& connection, std::size_t) {
        const std::string id =
            header_of(connection.read_request(), "Request-Id");
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                         "\r\nServer-Stamp: s\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
        written = connection.write_until_closed(chunk(std::string(8'192, 'x')));
    });
    upstream_entry entry = old_engine.entry("a");
    entry.address = endless.address();
    set_upstreams({entry});
    EXPECT_FALSE(send("1"));
    EXPECT_LT(written, 32U << 20U);
}

// A failure without end is no answer either.
TEST_F(stream_forwarding_test, failure_without_end_is_not_passed_on) {
    raw_upstream endless([&](raw_connection& connection, std::size_t) {
        const std::string id =
            header_of(connection.read_request(), "Request-Id");
        connection.write("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " +
                         id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.write_until_closed(chunk(std::string(8'192, 'x')));
    });
    upstream_entry entry = old_engine.entry("a");
    entry.address = endless.address();
    set_upstreams({entry});
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 502U);
}

TEST_F(stream_forwarding_test, failure_before_the_first_event_is_passed_on) {
    old_engine.answer =
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: 1\r\n"
        "Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
    set_upstreams({old_engine.entry("a")});
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 500U);
    EXPECT_EQ(answer->body, "body");
    EXPECT_EQ(answer->header("Server-Stamp"), "s");
}

TEST_F(stream_forwarding_test, success_without_a_signature_is_no_stream) {
    old_engine.answer = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
                        "Content-Length: 0\r\n\r\n";
    set_upstreams({old_engine.entry("a"), new_engine.entry("b")});
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(new_engine.starts(), std::vector<std::uint64_t>{1});
}

TEST_F(stream_forwarding_test, leaving_upstream_finishes_its_stream_only) {
    old_engine.headers = "Server-Leaving: 1\r\n";
    set_default("v1");
    set_upstreams({old_engine.entry("a"), new_engine.entry("b")});
    for (const char* const id : {"1", "2"}) {
        const auto answer = send(id);
        ASSERT_TRUE(answer) << answer.reason().detail;
        EXPECT_EQ(answer->status, 200U);
    }
    EXPECT_EQ(old_engine.starts().size(), 1U);
    const auto refused = take_up("3", "1", 3);
    ASSERT_TRUE(refused) << refused.reason().detail;
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(old_engine.starts().size(), 1U);
}

// The upstream must not work for a caller that has left, also while it only
// waits for a slot.
TEST_F(stream_forwarding_test, request_ends_when_its_caller_leaves) {
    std::promise<void> is_sent;
    std::promise<void> is_closed;
    raw_upstream silent([&](raw_connection& connection, std::size_t) {
        connection.read_request();
        is_sent.set_value();
        connection.read_request();
        is_closed.set_value();
    });
    upstream_entry entry = old_engine.entry("a");
    entry.address = silent.address();
    set_upstreams({entry});
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(address.address), address.port});
        asio::write(socket, asio::buffer(std::string(
                                "GET /stream/a HTTP/1.1\r\nHost: h\r\n"
                                "Request-Id: 1\r\n\r\n")));
        is_sent.get_future().wait();
    }
    EXPECT_EQ(is_closed.get_future().wait_for(500ms),
              std::future_status::ready);
}

// A stream that the exit of the instance would cut is served elsewhere.
TEST_F(stream_forwarding_test, stream_isnt_begun_shortly_before_the_exit) {
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    const auto now = std::chrono::steady_clock::now();
    on_traffic_thread([&] { streams.set_exit_time(now + 7s); });
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    on_traffic_thread([&] { streams.set_exit_time(now + 4s); });
    const auto refused = send("2");
    ASSERT_TRUE(refused) << refused.reason().detail;
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(refused->header("Connection"), "close");
    EXPECT_EQ(old_engine.starts().size(), 1U);
}

// A stream that began at a new version while its instance had no store was
// continued at the default version, by an instance whose list was out of date.
TEST_F(stream_forwarding_test,
       unrecorded_stream_is_not_taken_up_by_an_old_view) {
    test_instance beginner(pool, {.address = "127.0.0.1", .port = 1});
    on_traffic_thread([&] {
        beginner.fleet.routes = fleet.routes;
        beginner.fleet.pool.set_upstreams({new_engine.entry("b")});
    });
    set_default_at(beginner.ledger, "v1");
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    // Its first call to the store shows that it can't be reached.
    const auto refused = send_to(beginner.address, "0",
                                 {{"Resumes", "x"}, {"Last-Event-Id", "1"}});
    ASSERT_TRUE(refused) << refused.reason().detail;
    new_engine.breaks_after = 3;
    EXPECT_FALSE(send_to(beginner.address, "1")) << "the stream didn't break";
    ASSERT_EQ(new_engine.starts().size(), 1U);

    on_traffic_thread([&] {
        fleet.find_view_age = [] { return view_age{.is_current = false}; };
    });
    const auto taken_up = take_up("2", "1", 3);
    ASSERT_TRUE(taken_up) << taken_up.reason().detail;
    EXPECT_EQ(taken_up->status, 503U);
    EXPECT_FALSE(taken_up->header("Retry-After").empty());
    EXPECT_TRUE(old_engine.starts().empty());
}

// A record names the origin whatever the instance knows of the default.
TEST_F(stream_forwarding_test, recorded_stream_is_taken_up_by_an_old_view) {
    test_instance beginner(pool, fake.address());
    on_traffic_thread([&] {
        beginner.fleet.routes = fleet.routes;
        beginner.fleet.pool.set_upstreams({new_engine.entry("b")});
    });
    set_default_at(beginner.ledger, "v1");
    set_default("v1");
    new_engine.breaks_after = 3;
    EXPECT_FALSE(send_to(beginner.address, "1")) << "the stream didn't break";
    EXPECT_TRUE(has_record("1"));
    new_engine.breaks_after = stream_length;
    on_traffic_thread([&] {
        fleet.find_view_age = [] { return view_age{.is_current = false}; };
    });
    // It doesn't list the new version yet.
    set_upstreams({old_engine.entry("a")});
    const auto early = take_up("2", "1", 3);
    ASSERT_TRUE(early) << early.reason().detail;
    EXPECT_EQ(early->status, 503U);
    set_upstreams({old_engine.entry("a"), new_engine.entry("b")});
    const auto taken_up = take_up("3", "1", 3);
    ASSERT_TRUE(taken_up) << taken_up.reason().detail;
    EXPECT_EQ(taken_up->status, 200U);
    EXPECT_TRUE(old_engine.starts().empty());
    EXPECT_EQ(new_engine.starts().back(), 4U);
}

// An instance that believed an outdated default began streams without a record,
// which others took for streams of the new default.
TEST_F(stream_forwarding_test, stream_begun_by_an_old_view_is_recorded) {
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    on_traffic_thread([&] {
        fleet.find_view_age = [] { return view_age{.is_current = false}; };
    });
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_TRUE(has_record("1"));
}

// Without the store an old view can't be helped; the default version is served.
TEST_F(stream_forwarding_test, old_view_without_a_store_serves_the_default) {
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    fake.set_refusing(true);
    on_traffic_thread([&] {
        fleet.find_view_age = [] { return view_age{.is_current = false}; };
    });
    const auto refused = take_up("1", "0", 3);
    ASSERT_TRUE(refused) << refused.reason().detail;
    EXPECT_EQ(refused->status, 503U);
    const auto answer = send("2");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
}

// The store may be lost before the instance knows it.
TEST_F(stream_forwarding_test, old_view_at_a_lost_store_serves_the_default) {
    set_default("v1");
    set_upstreams({old_engine.entry("a")});
    fake.set_refusing(true);
    on_traffic_thread([&] {
        fleet.find_view_age = [] { return view_age{.is_current = false}; };
    });
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = send("1");
    ASSERT_TRUE(answer) << answer.reason().detail;
    EXPECT_EQ(answer->status, 200U);
    EXPECT_LT(std::chrono::steady_clock::now(), begin + 1s);
}

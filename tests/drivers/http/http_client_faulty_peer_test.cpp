#include "drivers/http/http_client.hpp"
#include "tests/fakes/raw_upstream.hpp"
#include "tests/fakes/run_call.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <vector>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

std::string answer(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

class http_client_faulty_peer_test : public ::testing::Test {
public:
    outcome<http_response> call(const raw_upstream& upstream,
                                const std::string& id = "1",
                                std::chrono::milliseconds timeout = 5s) {
        call_options options{
            .is_own_answer = [id](const http_headers& headers) {
                return find_header(headers, "X-Id") == id;
            }};
        http_request request{.target = "/", .headers = {{"X-Id", id}}};
        return run_call(context,
                        client.call(upstream.address(), std::move(request),
                                    std::chrono::steady_clock::now() + timeout,
                                    std::move(options)));
    }

    /// Calls an upstream that begins its answer with `start` and then sends
    /// `piece` without end. Returns the number of bytes that it could write.
    std::size_t call_endless(const std::string& start,
                             const std::string& piece) {
        std::promise<std::size_t> written;
        raw_upstream upstream([&](raw_connection& connection, std::size_t) {
            connection.read_request();
            connection.write(start);
            written.set_value(connection.write_until_closed(piece));
        });
        const auto begin = std::chrono::steady_clock::now();
        const auto result = call(upstream);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 4s)
            << "the call must not wait for its deadline";
        code = result ? result_code::ok : result.reason().code;
        return written.get_future().get();
    }

    asio::io_context context;
    http_client client{
        context,
        unframed_answer::accept,
        {.max_body_bytes = 1U << 20U, .max_total_body_bytes = 4U << 20U}};
    result_code code = result_code::ok;
};

/// Bytes that may be in the buffers of both sockets besides those read.
constexpr std::size_t socket_buffers = 16U << 20U;

} // namespace

TEST_F(http_client_faulty_peer_test, late_copy_of_an_answer_reaches_no_call) {
    raw_upstream upstream([](raw_connection& connection, std::size_t number) {
        std::string last;
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            const std::string id = header_of(request, "X-Id");
            // The copy arrives when the connection is in use again.
            const std::string copy =
                number == 0 && !last.empty() ? answer(last, last) : "";
            connection.write(copy + answer(id, id));
            last = id;
        }
    });
    EXPECT_EQ(call(upstream, "1")->body, "1");
    const auto second = call(upstream, "2");
    ASSERT_FALSE(second);
    EXPECT_EQ(second.reason().code, result_code::unknown_upstream_lost)
        << "the request may have run";
    EXPECT_EQ(call(upstream, "3")->body, "3")
        << "the answer to the second request must not reach the third";
    EXPECT_EQ(upstream.connections(), 2U);
}

TEST_F(http_client_faulty_peer_test,
       copy_on_an_idle_connection_closes_the_connection) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        while (true) {
            const std::string id = header_of(connection.read_request(), "X-Id");
            if (id.empty() || !connection.write(answer(id, id))) {
                return;
            }
            std::this_thread::sleep_for(50ms);
            connection.write(answer(id, id));
        }
    });
    EXPECT_EQ(call(upstream, "1")->body, "1");
    std::this_thread::sleep_for(150ms);
    EXPECT_EQ(call(upstream, "2")->body, "2");
    EXPECT_EQ(upstream.connections(), 2U);
}

TEST_F(http_client_faulty_peer_test, interim_answers_are_skipped) {
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.write("HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nX-Id: 9\r\n\r\n" +
                         answer("1", "final"));
        connection.read_request();
    });
    const auto result = call(upstream);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200U);
    EXPECT_EQ(result->body, "final");
}

TEST_F(http_client_faulty_peer_test, endless_interim_answers_end_the_call) {
    const auto written = call_endless("", "HTTP/1.1 100 Continue\r\n\r\n");
    EXPECT_EQ(code, result_code::unknown_upstream_lost);
    EXPECT_LT(written, socket_buffers);
}

TEST_F(http_client_faulty_peer_test, endless_header_ends_the_call) {
    const auto written =
        call_endless("HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n");
    EXPECT_EQ(code, result_code::unknown_upstream_lost);
    EXPECT_LT(written, socket_buffers);
}

TEST_F(http_client_faulty_peer_test, endless_header_line_ends_the_call) {
    const auto written =
        call_endless("HTTP/1.1 200 OK\r\nX-Filler: ", std::string(1'024, 'a'));
    EXPECT_EQ(code, result_code::unknown_upstream_lost);
    EXPECT_LT(written, socket_buffers);
}

TEST_F(http_client_faulty_peer_test, endless_bytes_that_are_no_http_end_it) {
    const auto written = call_endless("", std::string(1'024, '\x01'));
    EXPECT_EQ(code, result_code::unknown_upstream_lost);
    EXPECT_LT(written, socket_buffers);
}

TEST_F(http_client_faulty_peer_test, endless_body_ends_the_call) {
    const auto written = call_endless("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
                                      std::string(16'384, 'a'));
    EXPECT_EQ(code, result_code::failed_by_upstream);
    EXPECT_LT(written, socket_buffers);
}

TEST_F(http_client_faulty_peer_test, endless_chunk_extension_ends_the_call) {
    const auto written = call_endless(
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
        std::string(1'024, 'a'));
    EXPECT_EQ(code, result_code::failed_truncated);
    EXPECT_LT(written, socket_buffers);
}

TEST_F(http_client_faulty_peer_test, endless_trailer_ends_the_call) {
    const auto written = call_endless("HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "1\r\na\r\n0\r\n",
                                      "X-Filler: abcdefgh\r\n");
    EXPECT_EQ(code, result_code::failed_truncated);
    EXPECT_LT(written, socket_buffers);
}

// A hundred endless answers at once must not use a hundred times the memory of
// one.
TEST_F(http_client_faulty_peer_test, endless_bodies_share_one_memory_limit) {
    constexpr std::size_t calls = 100;
    raw_upstream upstream([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n");
        connection.write_until_closed(std::string(8'192, 'a'), 1ms);
    });
    std::vector<std::optional<outcome<http_response>>> results(calls);
    for (auto& result : results) {
        http_request request{.target = "/"};
        asio::co_spawn(
            context,
            store_value(client.call(upstream.address(), std::move(request),
                                    std::chrono::steady_clock::now() + 20s),
                        result),
            asio::detached);
    }
    context.run();
    for (const auto& result : results) {
        ASSERT_TRUE(result);
        ASSERT_FALSE(*result);
        EXPECT_EQ(result->reason().code, result_code::failed_by_upstream);
    }
}

// Guards against sound answers that are refused because faulty upstreams hold
// the memory that all answers share.
TEST_F(http_client_faulty_peer_test,
       sound_answer_is_received_beside_endless_ones) {
    // Each stops below the limit of one answer; together they reach that of
    // all.
    constexpr std::size_t calls = 8;
    raw_upstream faulty([](raw_connection& connection, std::size_t) {
        connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n" +
                         std::string(600U << 10U, 'a'));
        connection.read_request();
    });
    std::vector<std::optional<outcome<http_response>>> results(calls);
    for (auto& result : results) {
        asio::co_spawn(
            context,
            store_value(client.call(faulty.address(), {.target = "/"},
                                    std::chrono::steady_clock::now() + 3s),
                        result),
            asio::detached);
    }
    context.run_for(500ms);
    raw_upstream sound([](raw_connection& connection, std::size_t) {
        connection.write(answer(header_of(connection.read_request(), "X-Id"),
                                std::string(500U << 10U, 'b')));
    });
    const auto received = call(sound);
    ASSERT_TRUE(received) << received.reason().detail;
    EXPECT_EQ(received->body.size(), 500U << 10U);
}

// Guards against an upstream that reads one request as two.
TEST_F(http_client_faulty_peer_test, request_that_reads_as_two_is_not_written) {
    std::atomic<bool> has_request = false;
    raw_upstream upstream([&](raw_connection& connection, std::size_t) {
        has_request = !connection.read_request().empty();
    });
    const std::vector<http_request> requests{
        {.target = "/ HTTP/1.1\r\nA: b"},
        {.target = ""},
        {.target = "/", .headers = {{"A", "b\r\nC: d"}}},
        {.target = "/", .headers = {{"A: b\r\nC", "d"}}},
        {.method = "GET / HTTP/1.1\r\n", .target = "/"}};
    for (const http_request& request : requests) {
        const auto result = run_call(
            context, client.call(upstream.address(), request,
                                 std::chrono::steady_clock::now() + 1s));
        ASSERT_FALSE(result);
        EXPECT_EQ(result.reason().code, result_code::not_run_bad_request);
    }
    EXPECT_FALSE(has_request);
    EXPECT_EQ(upstream.connections(), 0U);
}

// The permission for a request may end while the connection is being opened.
TEST_F(http_client_faulty_peer_test,
       request_whose_permission_ended_is_not_written) {
    std::atomic<bool> has_request = false;
    raw_upstream upstream([&](raw_connection& connection, std::size_t) {
        has_request = !connection.read_request().empty();
    });
    bool is_asked = false;
    call_options options{.use = connection_use::fresh, .may_write = [&] {
                             is_asked = true;
                             return false;
                         }};
    const auto ended =
        run_call(context, client.call(upstream.address(), {},
                                      std::chrono::steady_clock::now() + 5s,
                                      std::move(options)));
    ASSERT_FALSE(ended);
    EXPECT_EQ(ended.reason().code, result_code::not_run_deadline);
    EXPECT_TRUE(is_asked);
    std::this_thread::sleep_for(100ms);
    EXPECT_FALSE(has_request);
}

struct invalid_answer {
    std::string status;
    std::string rest;

    friend std::ostream& operator<<(std::ostream& out,
                                    const invalid_answer& answer) {
        return out << answer.status << ' ' << answer.rest;
    }
};

/// The parameter is an answer with a status that no answer may have.
class invalid_status_test
    : public http_client_faulty_peer_test,
      public ::testing::WithParamInterface<invalid_answer> {};

// Guards against bytes that reach a caller as its answer: an upstream in
// trouble sent the status 000, which was skipped like an interim answer, and
// the body after it was read as the answer. Also against calls that wait for
// their deadline although the answer has come.
TEST_P(invalid_status_test, call_fails_at_once_and_closes_its_connection) {
    const std::string head =
        "HTTP/1.1 " + GetParam().status + " X\r\nX-Id: 1\r\n";
    raw_upstream upstream([&](raw_connection& connection, std::size_t number) {
        connection.read_request();
        connection.write(number > 0 ? answer("2", "sound")
                                    : head + GetParam().rest);
        connection.read_request();
    });
    const auto begin = std::chrono::steady_clock::now();
    const auto result = call(upstream);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 4s);
    ASSERT_FALSE(result) << result->status << ' ' << result->body;
    EXPECT_EQ(result.reason().code, result_code::unknown_upstream_lost);
    const auto next = call(upstream, "2");
    ASSERT_TRUE(next);
    EXPECT_EQ(next->body, "sound");
    EXPECT_EQ(upstream.connections(), 2U);
}

std::vector<invalid_answer> invalid_answers() {
    const std::string hidden = answer("1", "hidden");
    const std::string length =
        "Content-Length: " + std::to_string(hidden.size()) + "\r\n\r\n";
    std::vector<invalid_answer> answers;
    for (const char* const status :
         {"000", "001", "099", "101", "600", "999"}) {
        answers.push_back({status, "Content-Length: 0\r\n\r\n"});
        answers.push_back({status, length + hidden});
        answers.push_back({status, "Transfer-Encoding: chunked\r\n\r\n"
                                   "1\r\nx\r\n0\r\n\r\n"});
        answers.push_back({status, "\r\n" + hidden});
    }
    // Interim answers have no body.
    for (const char* const status : {"100", "199"}) {
        answers.push_back({status, "Content-Length: 0\r\n\r\n"});
        answers.push_back({status, length + hidden});
        answers.push_back({status, "Transfer-Encoding: chunked\r\n\r\n"
                                   "0\r\n\r\n"});
    }
    return answers;
}

INSTANTIATE_TEST_SUITE_P(answers, invalid_status_test,
                         ::testing::ValuesIn(invalid_answers()));

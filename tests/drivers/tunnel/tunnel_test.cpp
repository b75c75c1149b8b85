#include "drivers/tunnel/tunnel_client.hpp"
#include "drivers/tunnel/tunnel_server.hpp"
#include "tests/fakes/run_call.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <set>
#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

endpoint address_of(const tcp::acceptor& acceptor) {
    return {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
}

/// An address on which nothing listens.
endpoint unused_address() {
    asio::io_context context;
    return address_of(tcp::acceptor(
        context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
}

class fixed_policy final : public tunnel_policy {
public:
    tunnel_answer judge(const endpoint& upstream) const override {
        return listed.contains(to_text(upstream))
                   ? answer
                   : tunnel_answer::unknown_upstream;
    }
    void on_connected(const endpoint&) override { ++connected; }
    tunnel_answer on_connect_failed(const endpoint&) override {
        ++failed;
        return tunnel_answer::unreachable;
    }

    std::set<std::string> listed;
    tunnel_answer answer = tunnel_answer::accepted;
    int connected = 0;
    int failed = 0;
};

class tunnel_test : public ::testing::Test {
public:
    tunnel_test() { policy.listed.insert(to_text(address_of(acceptor))); }

    void start(tunnel_server_options options = {}) {
        options.listen = {.address = "127.0.0.1"};
        options.key = "key";
        server = std::make_unique<tunnel_server>(context, options, policy, log);
        ASSERT_TRUE(server->start());
    }

    tunnel_attempt open(const endpoint& target, std::string key = "key") {
        tunnel_request request{.key = std::move(key),
                               .from = instance_id("caller"),
                               .upstream = target};
        return run_call(
            context, open_tunnel(context, server->address(), std::move(request),
                                 std::chrono::steady_clock::now() + 2s));
    }

    /// Opens a tunnel to the test's upstream and accepts its connection there.
    void open_pair() {
        tunnel_attempt attempt = open(address_of(acceptor));
        ASSERT_EQ(attempt.answer, tunnel_answer::accepted);
        caller.emplace(std::move(*attempt.socket));
        upstream.emplace(acceptor.accept());
    }

    /// Runs the server until the socket is readable or was closed, and reads.
    /// Returns the bytes; `error` is set as the read set it.
    std::string read(tcp::socket& socket) {
        std::array<char, 65'536> bytes{};
        std::optional<std::size_t> size;
        socket.async_read_some(asio::buffer(bytes),
                               [&](boost::system::error_code e, std::size_t n) {
                                   error = e;
                                   size = n;
                               });
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!size && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(50ms);
        }
        EXPECT_TRUE(size) << "nothing arrived";
        if (!size) {
            socket.cancel();
            context.restart();
            context.run_for(50ms);
        }
        return {bytes.data(), size.value_or(0)};
    }

    void run_for(std::chrono::milliseconds time) {
        context.restart();
        context.run_for(time);
    }

    /// Sends bytes to the server's port and returns all that it answers.
    std::string exchange(const std::string& bytes) {
        tcp::socket socket(context);
        const endpoint to = server->address();
        socket.connect({asio::ip::make_address(to.address), to.port});
        asio::write(socket, asio::buffer(bytes));
        return read(socket);
    }

    asio::io_context context;
    null_logger log;
    fixed_policy policy;
    tcp::acceptor acceptor{context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::unique_ptr<tunnel_server> server;
    std::optional<tcp::socket> caller;
    std::optional<tcp::socket> upstream;
    boost::system::error_code error;
};

} // namespace

TEST_F(tunnel_test, bytes_pass_in_both_directions) {
    start();
    open_pair();
    asio::write(*caller, asio::buffer("request", 7));
    EXPECT_EQ(read(*upstream), "request");
    EXPECT_EQ(server->active_tunnels(), 1U);
    asio::write(*upstream, asio::buffer("answer", 6));
    EXPECT_EQ(read(*caller), "answer");
    EXPECT_EQ(server->counters().open, 1U);
    EXPECT_EQ(server->counters().opened, 1U);
    run_for(600ms);
    EXPECT_EQ(server->active_tunnels(), 0U) << "the caller waits for nothing";
}

TEST_F(tunnel_test, reset_by_the_upstream_is_a_reset_for_the_caller) {
    start();
    open_pair();
    asio::write(*upstream, asio::buffer("half an ans", 11));
    EXPECT_EQ(read(*caller), "half an ans");
    upstream->set_option(asio::socket_base::linger(true, 0));
    upstream->close();
    read(*caller);
    EXPECT_EQ(error, asio::error::connection_reset)
        << "a truncated answer must not look complete";
    run_for(20ms);
    EXPECT_EQ(server->counters().open, 0U);
}

TEST_F(tunnel_test, reset_by_the_caller_is_a_reset_for_the_upstream) {
    start();
    open_pair();
    asio::write(*caller, asio::buffer("request", 7));
    EXPECT_EQ(read(*upstream), "request");
    caller->close();
    read(*upstream);
    EXPECT_EQ(error, asio::error::connection_reset);
    run_for(20ms);
    EXPECT_EQ(server->counters().open, 0U);
}

TEST_F(tunnel_test, server_that_ends_resets_both_sides) {
    start();
    open_pair();
    server.reset();
    read(*upstream);
    EXPECT_EQ(error, asio::error::connection_reset);
    read(*caller);
    EXPECT_EQ(error, asio::error::connection_reset);
}

TEST_F(tunnel_test, half_close_keeps_the_other_direction_open) {
    start();
    open_pair();
    asio::write(*caller, asio::buffer("request", 7));
    caller->shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(read(*upstream), "request");
    read(*upstream);
    EXPECT_EQ(error, asio::error::eof);
    asio::write(*upstream, asio::buffer("answer", 6));
    EXPECT_EQ(read(*caller), "answer");
    upstream->shutdown(tcp::socket::shutdown_send);
    read(*caller);
    EXPECT_EQ(error, asio::error::eof) << "an end in order stays one";
    run_for(20ms);
    EXPECT_EQ(server->counters().open, 0U);
}

TEST_F(tunnel_test, slow_reader_slows_the_sender_down) {
    start();
    open_pair();
    const std::string piece(65'536, 'x');
    upstream->non_blocking(true);
    std::size_t sent = 0;
    int blocked = 0;
    while (blocked < 10 && sent < (256U << 20U)) {
        const std::size_t size =
            upstream->write_some(asio::buffer(piece), error);
        sent += size;
        blocked = error ? blocked + 1 : 0;
        run_for(error ? 10ms : 1ms);
    }
    EXPECT_EQ(blocked, 10) << "the server must not buffer without limit";
    upstream->non_blocking(false);
    upstream->shutdown(tcp::socket::shutdown_send);
    std::size_t received = 0;
    while (true) {
        received += read(*caller).size();
        if (error) {
            break;
        }
    }
    EXPECT_EQ(error, asio::error::eof);
    EXPECT_EQ(received, sent);
}

TEST_F(tunnel_test, address_of_no_upstream_is_refused) {
    start();
    const tunnel_attempt attempt = open(unused_address());
    EXPECT_EQ(attempt.answer, tunnel_answer::unknown_upstream);
    EXPECT_FALSE(attempt.socket);
    EXPECT_EQ(policy.failed, 0) << "it must not even try to connect";
}

TEST_F(tunnel_test, unreachable_upstream_is_refused_at_once) {
    start();
    const endpoint unused = unused_address();
    policy.listed.insert(to_text(unused));
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(open(unused).answer, tunnel_answer::unreachable);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 500ms);
    EXPECT_EQ(policy.failed, 1);
}

TEST_F(tunnel_test, isolated_peer_refuses_without_connecting) {
    start();
    policy.answer = tunnel_answer::isolated;
    EXPECT_EQ(open(address_of(acceptor)).answer, tunnel_answer::isolated);
    EXPECT_EQ(policy.connected, 0);
}

TEST_F(tunnel_test, wrong_key_is_refused) {
    start();
    EXPECT_EQ(open(address_of(acceptor), "other").answer,
              tunnel_answer::malformed);
    EXPECT_EQ(policy.connected, 0);
}

TEST_F(tunnel_test, tunnels_above_the_limits_are_refused) {
    start({.max_tunnels = 8, .max_tunnels_per_peer = 2});
    std::vector<tunnel_attempt> open_ones;
    for (int i = 0; i < 2; ++i) {
        open_ones.push_back(open(address_of(acceptor)));
        EXPECT_EQ(open_ones.back().answer, tunnel_answer::accepted);
    }
    EXPECT_EQ(open(address_of(acceptor)).answer, tunnel_answer::busy);
    for (tunnel_attempt& attempt : open_ones) {
        attempt.socket->close();
    }
    run_for(50ms);
    EXPECT_EQ(open(address_of(acceptor)).answer, tunnel_answer::accepted)
        << "a closed tunnel makes room";
}

TEST_F(tunnel_test, silent_connection_is_closed) {
    start({.request_timeout = 50ms});
    tcp::socket socket(context);
    const endpoint to = server->address();
    socket.connect({asio::ip::make_address(to.address), to.port});
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(read(socket), "");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 1s);
    EXPECT_TRUE(error);
}

TEST_F(tunnel_test, idle_tunnel_is_closed) {
    start({.idle_timeout = 10ms});
    open_pair();
    run_for(5'200ms);
    EXPECT_EQ(server->counters().open, 0U);
}

TEST_F(tunnel_test, bytes_after_the_request_are_refused) {
    start();
    const std::string line =
        encode_tunnel_request({.key = "key",
                               .from = instance_id("caller"),
                               .upstream = address_of(acceptor)});
    EXPECT_EQ(exchange(line + "GET / HTTP/1.1\r\n\r\n"), "M");
    EXPECT_EQ(policy.connected, 0);
}

TEST_F(tunnel_test, malformed_requests_are_refused) {
    start();
    for (const std::string& bytes :
         {std::string("\n"), std::string("GET / HTTP/1.1\r\n"),
          std::string("savorydock-tunnel/2 key a 127.0.0.1:1\n"),
          std::string("savorydock-tunnel/1 key a 127.0.0.1:99999\n"),
          std::string("savorydock-tunnel/1 key a b 127.0.0.1:1\n"),
          std::string("savorydock-tunnel/1 key a localhost:80\n"),
          std::string(max_tunnel_request_bytes, 'x')}) {
        EXPECT_EQ(exchange(bytes), "M") << bytes;
    }
    EXPECT_EQ(policy.connected, 0);
    EXPECT_EQ(server->counters().refused, 7U);
}

RC_GTEST_PROP(tunnel_preamble_test, request_survives_encoding, ()) {
    const auto text = rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('!', '~')));
    const tunnel_request request{
        .key = (*text).substr(0, 100),
        .from = instance_id((*text).substr(0, 100)),
        .upstream = {.address = "10.1.2.3",
                     .port = *rc::gen::inRange<std::uint16_t>(1, 65'535)}};
    std::string line = encode_tunnel_request(request);
    RC_ASSERT(line.back() == '\n');
    line.pop_back();
    const auto parsed = parse_tunnel_request(line);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == request);
}

RC_GTEST_PROP(tunnel_preamble_test, arbitrary_bytes_are_parsed_safely,
              (const std::string& bytes, std::uint8_t cut)) {
    const std::string valid = encode_tunnel_request(
        {.key = "key",
         .from = instance_id("a"),
         .upstream = {.address = "10.1.2.3", .port = 80}});
    static_cast<void>(parse_tunnel_request(bytes));
    const std::size_t at = cut % valid.size();
    const std::string spliced = valid.substr(0, at) + bytes + valid.substr(at);
    const auto parsed = parse_tunnel_request(spliced);
    if (parsed) {
        RC_ASSERT(!parsed->key.empty());
        RC_ASSERT(!parsed->from.is_empty());
        RC_ASSERT(parsed->upstream.address.find('\n') == std::string::npos);
    }
}

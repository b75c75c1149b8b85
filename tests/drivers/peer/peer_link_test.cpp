#include "core/wire_codec.hpp"
#include "drivers/peer/http2_session.hpp"
#include "drivers/peer/peer_envelope.hpp"
#include "drivers/peer/peer_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <vector>

namespace savorydock {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

class recording_logger final : public logger {
public:
    void write(log_event event, std::string_view) override { ++events[event]; }
    std::map<log_event, int> events;
};

/// One instance with its peer link.
struct peer_node {
    peer_node(asio::io_context& context, peer_link_options options)
        : name(options.instance)
        , link(context, std::move(options), log) {
        link.on_message([this](const peer_message& message) {
            received.push_back(message);
        });
        const auto bound = link.start();
        EXPECT_TRUE(bound) << bound.reason().detail;
        address = *bound;
    }

    instance_id name;
    recording_logger log;
    std::vector<peer_message> received;
    peer_link link;
    endpoint address;
};

class peer_link_test : public testing::Test {
protected:
    static peer_link_options options(const std::string& name,
                                     const std::string& zone) {
        return {.instance = instance_id(name),
                .zone = availability_zone(zone),
                .listen = {"127.0.0.1", 0},
                .peer_key = "shared key",
                .max_message_bytes = 32U << 10U,
                .connect_timeout = 500ms,
                .answer_timeout = 500ms};
    }

    /// Runs the event loop until the condition holds, for at most 10 s.
    bool run_until(const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(20ms);
        }
        return condition();
    }

    static void send(peer_node& from, const peer_node& to,
                     const std::string& body) {
        from.link.send({.from = from.name,
                        .to = to.name,
                        .topic = peer_topic::membership,
                        .body = body},
                       to.address);
    }

    /// Opens a plain TCP connection to a node and writes bytes to it.
    asio::ip::tcp::socket write_raw(const peer_node& to,
                                    const std::string& bytes) {
        asio::ip::tcp::socket socket(context_);
        socket.connect(
            {asio::ip::make_address(to.address.address), to.address.port});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        return socket;
    }

    static std::uint64_t refused(const peer_node& node) {
        return node.link.counters().refused;
    }

    asio::io_context context_;
    peer_node a_{context_, options("a", "zone-1")};
    peer_node b_{context_, options("b", "zone-2")};
};

TEST_F(peer_link_test, two_links_exchange_messages_both_ways) {
    const std::string large(30'000, '\xff');
    send(a_, b_, "first");
    send(a_, b_, large);
    send(b_, a_, "back");
    ASSERT_TRUE(run_until(
        [&] { return b_.received.size() == 2 && a_.received.size() == 1; }));
    EXPECT_EQ(b_.received[0].body, "first");
    EXPECT_EQ(b_.received[1].body, large);
    EXPECT_EQ(b_.received[0].from, a_.name);
    const auto out = a_.link.counters().of(peer_topic::membership);
    const auto in = b_.link.counters().of(peer_topic::membership);
    EXPECT_EQ(out.messages_out, 2U);
    EXPECT_EQ(in.messages_in, 2U);
    EXPECT_EQ(in.bytes_in, out.bytes_out);
    EXPECT_EQ(a_.link.counters().connects, 1U);
}

TEST_F(peer_link_test, messages_of_all_topics_are_delivered) {
    std::vector<peer_topic> sent;
    for (std::size_t number = 1;
         number <= static_cast<std::size_t>(last_peer_topic); ++number) {
        sent.push_back(static_cast<peer_topic>(number));
        a_.link.send(
            {.from = a_.name, .to = b_.name, .topic = sent.back(), .body = "x"},
            b_.address);
    }
    ASSERT_TRUE(run_until([&] { return b_.received.size() == sent.size(); }));
    for (std::size_t i = 0; i < sent.size(); ++i) {
        EXPECT_EQ(b_.received[i].topic, sent[i]);
    }
}

TEST_F(peer_link_test, bad_bytes_are_refused_and_the_link_keeps_working) {
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::vector<std::string> cases{
        "GET / HTTP/1.1\r\n\r\n",
        std::string(500, '\0'),
        preface + std::string(300, '\xee'),
    };
    std::uint64_t expected = 0;
    for (const std::string& bytes : cases) {
        const auto socket = write_raw(b_, bytes);
        ++expected;
        ASSERT_TRUE(run_until([&] { return refused(b_) == expected; }));
    }
    EXPECT_GE(b_.log.events[log_event::peer_frame_refused], 1);
    send(a_, b_, "still here");
    EXPECT_TRUE(run_until([&] { return b_.received.size() == 1; }));
}

TEST_F(peer_link_test, wrong_envelopes_are_refused_and_not_delivered) {
    const peer_envelope good{.from = a_.name,
                             .to = b_.name,
                             .zone = availability_zone("zone-1"),
                             .topic = peer_topic::limits,
                             .body = "x",
                             .secret = "shared key"};
    std::vector<peer_envelope> cases(5, good);
    cases[0].secret = "shared kez";
    cases[1].to = instance_id("c");
    cases[2].topic = static_cast<peer_topic>(200);
    cases[3].from = instance_id();
    cases[4].body = std::string(40'000, 'x');
    std::vector<std::string> bodies{"not cbor"};
    for (const peer_envelope& envelope : cases) {
        bodies.push_back(wire::encode(envelope));
    }
    std::uint64_t expected = 0;
    for (const std::string& body : bodies) {
        http2_session client(http2_role::client, {},
                             {.on_request = {},
                              .on_refused = {},
                              .on_response = [](unsigned) {}});
        ASSERT_TRUE(client.submit(body));
        const auto socket = write_raw(b_, client.take_output());
        ++expected;
        ASSERT_TRUE(run_until([&] { return refused(b_) >= expected; }));
    }
    EXPECT_EQ(refused(b_), expected);
    EXPECT_TRUE(b_.received.empty());
}

TEST_F(peer_link_test, cut_off_zone_gets_no_messages_until_the_partition_ends) {
    b_.link.faults().cut({}, {availability_zone("zone-1")});
    send(a_, b_, "lost");
    ASSERT_TRUE(run_until([&] { return b_.link.counters().cut == 1; }));
    send(b_, a_, "lost as well");
    EXPECT_EQ(b_.link.counters().cut, 2U);
    b_.link.faults().cut({}, {});
    send(a_, b_, "healed");
    ASSERT_TRUE(run_until([&] { return !b_.received.empty(); }));
    EXPECT_EQ(b_.received[0].body, "healed");
    EXPECT_TRUE(a_.received.empty());
}

TEST_F(peer_link_test, unreachable_peer_costs_one_connect_in_a_backoff) {
    const endpoint nobody = [&] {
        peer_node gone(context_, options("gone", "zone-1"));
        gone.link.stop();
        run_until([&] { return context_.poll() == 0; });
        return gone.address;
    }();
    const peer_message message{.from = a_.name, .to = instance_id("gone")};
    a_.link.send(message, nobody);
    ASSERT_TRUE(
        run_until([&] { return a_.link.counters().connect_failures == 1; }));
    for (int i = 0; i < 10; ++i) {
        a_.link.send(message, nobody);
    }
    ASSERT_TRUE(run_until([&] { return a_.link.counters().dropped == 10; }));
    EXPECT_EQ(a_.link.counters().connects, 1U);
    EXPECT_EQ(a_.link.counters().lost, 1U);
}

TEST_F(peer_link_test, open_connections_stay_within_their_bound) {
    auto bounded = options("d", "zone-1");
    bounded.max_connections = 2;
    peer_node d(context_, bounded);
    peer_node c(context_, options("c", "zone-3"));
    for (int round = 0; round < 3; ++round) {
        for (peer_node* to : {&a_, &b_, &c}) {
            const auto before = to->received.size();
            send(d, *to, "x");
            ASSERT_TRUE(
                run_until([&] { return to->received.size() > before; }));
            // Once answered, the connection is idle and may be closed.
            ASSERT_TRUE(run_until([&] { return context_.poll() == 0; }));
        }
    }
    EXPECT_LE(d.link.counters().open_out, 2U);
    EXPECT_GT(d.link.counters().connects, 3U);
}

TEST_F(peer_link_test, silent_peer_fills_a_bounded_queue) {
    asio::ip::tcp::acceptor silent(context_,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    const endpoint to{"127.0.0.1", silent.local_endpoint().port()};
    constexpr int count = 200;
    for (int i = 0; i < count; ++i) {
        a_.link.send({.from = a_.name, .to = instance_id("silent")}, to);
    }
    ASSERT_TRUE(run_until([&] {
        const auto now = a_.link.counters();
        return now.dropped + now.lost == count;
    }));
    const auto counters = a_.link.counters();
    EXPECT_EQ(counters.lost, peer_link_options{}.max_queued);
    EXPECT_EQ(counters.open_out, 0U);
}

} // namespace
} // namespace savorydock

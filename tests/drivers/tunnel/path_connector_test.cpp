#include "drivers/http/http_client.hpp"
#include "drivers/tunnel/path_connector.hpp"
#include "tests/fakes/run_call.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <list>
#include <thread>

using namespace savorydock;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

endpoint address_of(const tcp::acceptor& acceptor) {
    return {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
}

/// An address whose connections are refused until `listen` is called.
class closed_address {
public:
    closed_address() {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    }
    [[nodiscard]] endpoint address() const { return address_of(acceptor_); }
    void listen() { acceptor_.listen(); }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_{context_};
};

/// An address whose connections are neither established nor refused, because
/// its queue of new connections is full.
class hanging_address {
public:
    hanging_address() {
        acceptor_.open(tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        for (int i = 0; i < 4; ++i) {
            fillers_.emplace_back(context_).async_connect(
                acceptor_.local_endpoint(),
                [](const boost::system::error_code&) {});
        }
        context_.run_for(50ms);
    }
    [[nodiscard]] endpoint address() const { return address_of(acceptor_); }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_{context_};
    std::list<tcp::socket> fillers_;
};

/// A peer that answers each request for a tunnel with one byte. After 'A' it
/// acts as the upstream and answers requests with the requested address.
class fake_peer {
public:
    fake_peer()
        : thread_([this] { accept(); }) {}
    ~fake_peer() {
        is_stopped_ = true;
        boost::system::error_code ignored;
        asio::io_context context;
        tcp::socket last(context);
        last.connect(acceptor_.local_endpoint(), ignored);
        last.close(ignored);
        thread_.join();
    }
    fake_peer(const fake_peer&) = delete;
    fake_peer& operator=(const fake_peer&) = delete;

    [[nodiscard]] endpoint address() const { return address_of(acceptor_); }

    std::atomic<char> answer = 'A';
    /// Resets the connection after the request was read.
    std::atomic<bool> must_reset = false;
    std::atomic<int> asked = 0;
    std::atomic<int> requests = 0;

private:
    void accept() {
        std::list<std::thread> threads;
        while (!is_stopped_) {
            tcp::socket socket = acceptor_.accept();
            threads.emplace_back(
                [this, accepted = std::move(socket)]() mutable {
                    serve(accepted);
                });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
    }

    void serve(tcp::socket& socket) {
        boost::system::error_code error;
        std::string bytes;
        const std::size_t size =
            asio::read_until(socket, asio::dynamic_buffer(bytes), '\n', error);
        const auto request = parse_tunnel_request(
            std::string_view(bytes).substr(0, size == 0 ? 0 : size - 1));
        if (error || !request) {
            return;
        }
        ++asked;
        const char byte = answer;
        asio::write(socket, asio::buffer(&byte, 1), error);
        if (byte != 'A') {
            return;
        }
        bytes.clear();
        while (asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n",
                                error) > 0) {
            ++requests;
            bytes.clear();
            if (must_reset) {
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                return;
            }
            const std::string body = to_text(request->upstream);
            asio::write(socket,
                        asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" +
                                     body),
                        error);
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    std::atomic<bool> is_stopped_ = false;
    std::thread thread_;
};

class path_connector_test : public ::testing::Test {
public:
    path_connector_test() {
        paths.set_peers({{.instance = instance_id("peer"),
                          .zone = availability_zone("b")}});
    }

    template <class Addresses>
    void list(const Addresses& addresses) {
        std::vector<endpoint> listed;
        for (const auto& address : addresses) {
            listed.push_back(address.address());
        }
        paths.set_upstreams(listed);
    }

    outcome<http_response> call(const endpoint& address,
                                std::chrono::milliseconds timeout = 5s,
                                connection_use use = connection_use::reuse) {
        http_request request{.method = "POST", .target = "/"};
        call_options options{.use = use};
        const auto begin = std::chrono::steady_clock::now();
        auto result =
            run_call(context, client.call(address, std::move(request),
                                          begin + timeout, std::move(options)));
        took = std::chrono::steady_clock::now() - begin;
        return result;
    }

    asio::io_context context;
    null_logger log;
    seeded_random_source random{3};
    fake_peer peer;
    upstream_paths paths{
        {.self = instance_id("self"), .zone = availability_zone("a")}, random};
    std::shared_ptr<path_connector> connector =
        std::make_shared<path_connector>(
            context, paths,
            path_connector_options{.self = instance_id("self"),
                                   .key = "key",
                                   .tunnel_of =
                                       [this](const instance_id&) {
                                           return std::optional(peer.address());
                                       }},
            log);
    http_client client{context, unframed_answer::refuse, {}, connector};
    std::chrono::steady_clock::duration took{};
};

} // namespace

TEST_F(path_connector_test, refused_connection_goes_on_through_a_peer) {
    const std::list<closed_address> upstreams(4);
    list(upstreams);
    const endpoint address = upstreams.front().address();
    const auto answer = call(address);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, to_text(address));
    EXPECT_LT(took, 300ms);
    EXPECT_FALSE(paths.is_isolated()) << "it may be this upstream's link only";
}

TEST_F(path_connector_test, hanging_connection_goes_on_through_a_peer) {
    const std::list<hanging_address> upstreams(4);
    list(upstreams);
    const auto answer =
        call(upstreams.front().address(), 5s, connection_use::fresh);
    ASSERT_TRUE(answer);
    EXPECT_LT(took, 800ms);
    EXPECT_EQ(peer.requests, 1) << "the request is sent once";
    ASSERT_TRUE(call(upstreams.front().address()));
    EXPECT_LT(took, 200ms) << "the path is kept";
}

TEST_F(path_connector_test, short_deadline_leaves_time_for_a_peer) {
    const std::list<hanging_address> upstreams(4);
    list(upstreams);
    EXPECT_TRUE(call(upstreams.front().address(), 200ms));
}

TEST_F(path_connector_test, instance_cut_from_all_upstreams_is_isolated) {
    std::list<closed_address> upstreams(4);
    list(upstreams);
    int changes = 0;
    connector->on_change([&] {
        ++changes;
        client.drop_unusable();
    });
    EXPECT_EQ(connector->judge(upstreams.front().address()),
              tunnel_answer::accepted);
    for (const closed_address& upstream : upstreams) {
        EXPECT_TRUE(call(upstream.address()));
    }
    EXPECT_TRUE(paths.is_isolated());
    EXPECT_EQ(changes, 1);
    EXPECT_EQ(connector->judge(upstreams.front().address()),
              tunnel_answer::isolated)
        << "it must not open tunnels for others";
    context.restart();
    context.run_for(1s);
    EXPECT_TRUE(paths.is_isolated());
    for (closed_address& upstream : upstreams) {
        upstream.listen();
    }
    context.restart();
    context.run_for(4s);
    EXPECT_FALSE(paths.is_isolated()) << "probes find the end of the cut";
    EXPECT_EQ(changes, 2);
}

TEST_F(path_connector_test, upstream_that_no_peer_reaches_is_not_run) {
    peer.answer = 'R';
    const std::list<hanging_address> upstreams(4);
    list(upstreams);
    const auto answer = call(upstreams.front().address());
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::not_run_no_upstream);
    EXPECT_LT(took, 1'500ms) << "the rest of the time is for other upstreams";
    EXPECT_EQ(peer.asked, 1);
    EXPECT_FALSE(call(upstreams.front().address()));
    EXPECT_EQ(peer.asked, 1) << "the peer isn't asked again and again";
}

TEST_F(path_connector_test, reset_through_a_tunnel_may_have_run) {
    peer.must_reset = true;
    const std::list<closed_address> upstreams(4);
    list(upstreams);
    const auto answer = call(upstreams.front().address());
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::unknown_upstream_lost);
    EXPECT_EQ(peer.requests, 1);
}

TEST_F(path_connector_test, address_of_no_upstream_is_never_tunnelled) {
    const std::list<closed_address> upstreams(1);
    list(std::list<closed_address>());
    const auto answer = call(upstreams.front().address());
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, result_code::not_run_no_upstream);
    EXPECT_EQ(peer.asked, 0);
    EXPECT_EQ(connector->judge(upstreams.front().address()),
              tunnel_answer::unknown_upstream);
}

TEST_F(path_connector_test, stopping_instance_opens_no_tunnels) {
    const std::list<closed_address> upstreams(1);
    list(upstreams);
    connector->stop_helping();
    EXPECT_EQ(connector->judge(upstreams.front().address()),
              tunnel_answer::busy);
}

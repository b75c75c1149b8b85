#include "tests/fakes/caller_crowd.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
/// Small, so that unread answers stay in the instance.
constexpr int receive_buffer_bytes = 4096;
constexpr std::chrono::milliseconds check_interval{20};

} // namespace

struct caller_crowd::state {
    explicit state(crowd_plan used_plan)
        : plan(std::move(used_plan)) {}

    asio::awaitable<bool> write(tcp::socket& socket, const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto [error, size] = co_await socket.async_write_some(
                asio::buffer(bytes.data() + sent, bytes.size() - sent), await);
            if (error) {
                co_return false;
            }
            sent += size;
            sent_bytes += size;
        }
        co_return true;
    }

    asio::awaitable<void> send(tcp::socket& socket, tcp::endpoint to) {
        boost::system::error_code error;
        socket.open(to.protocol(), error);
        socket.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes),
            error);
        const auto [refused] = co_await socket.async_connect(to, await);
        bool is_open = !refused && co_await write(socket, plan.head);
        asio::steady_timer timer(context);
        for (std::size_t i = 0; is_open && i < plan.pieces; ++i) {
            is_open = co_await write(socket, plan.piece);
            if (is_open && plan.pause.count() > 0) {
                timer.expires_after(plan.pause);
                co_await timer.async_wait(await);
            }
        }
        if (is_open) {
            co_await write(socket, plan.tail);
        }
        --sending;
    }

    crowd_plan plan;
    asio::io_context context{1};
    std::vector<tcp::socket> sockets;
    std::atomic<std::size_t> sending{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::thread thread;
};

caller_crowd::caller_crowd(const endpoint& address, crowd_plan plan)
    : state_(std::make_unique<state>(std::move(plan))) {
    const tcp::endpoint to(asio::ip::make_address(address.address),
                           address.port);
    state_->sending = state_->plan.connections;
    state_->sockets.reserve(state_->plan.connections);
    for (std::size_t i = 0; i < state_->plan.connections; ++i) {
        state_->sockets.emplace_back(state_->context);
        asio::co_spawn(state_->context,
                       state_->send(state_->sockets.back(), to),
                       asio::detached);
    }
    state_->thread = std::thread([this] { state_->context.run(); });
}

caller_crowd::~caller_crowd() {
    state_->context.stop();
    state_->thread.join();
}

void caller_crowd::wait_until_sent(std::chrono::milliseconds quiet) const {
    auto changed_at = std::chrono::steady_clock::now();
    std::uint64_t seen = state_->sent_bytes;
    while (state_->sending > 0 &&
           std::chrono::steady_clock::now() < changed_at + quiet) {
        std::this_thread::sleep_for(check_interval);
        if (state_->sent_bytes != seen) {
            seen = state_->sent_bytes;
            changed_at = std::chrono::steady_clock::now();
        }
    }
}

} // namespace savorydock

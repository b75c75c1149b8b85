#include "drivers/tunnel/tunnel_server.hpp"

#include "core/clock.hpp"
#include "drivers/http/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <optional>
#include <set>
#include <tuple>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t buffer_bytes = 8'192;
constexpr std::chrono::milliseconds recent_bytes_time{500};
/// Connections above the limits that are read and answered.
constexpr std::size_t max_excess = 16;
/// Pause after a failed accept, such as for lack of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};
/// How often tunnels are checked for their idle limit.
constexpr std::chrono::milliseconds idle_check_interval{5'000};
/// Limit on lines about refused tunnels.
constexpr std::chrono::milliseconds refusal_log_interval{1'000};

steady_time now() {
    return std::chrono::steady_clock::now();
}

} // namespace

struct tunnel_server::state {
    state(asio::io_context& used_context, tunnel_server_options used_options,
          tunnel_policy& used_policy, logger& used_log)
        : context(used_context)
        , options(std::move(used_options))
        , policy(used_policy)
        , log(used_log)
        , acceptor(used_context) {}

    void refuse(std::string_view from, std::string_view upstream,
                tunnel_answer answer) {
        ++counters.refused;
        if (last_refusal_log &&
            now() < *last_refusal_log + refusal_log_interval) {
            ++unlogged_refusals;
            return;
        }
        log.write(log_event::tunnel_refused,
                  "from=" + std::string(from) +
                      " upstream=" + std::string(upstream) + " answer=\"" +
                      std::string(to_text(answer)) +
                      "\" open=" + std::to_string(tunnels.size()) +
                      " unlogged=" + std::to_string(unlogged_refusals));
        last_refusal_log = now();
        unlogged_refusals = 0;
    }

    /// Whether so many connections are open that another one from this address
    /// isn't even read.
    [[nodiscard]] bool is_overrun_by(const std::string& remote) const {
        const auto found = connections.find(remote);
        return all_connections >= options.max_tunnels + max_excess ||
               (found != connections.end() &&
                found->second >= options.max_tunnels_per_peer + max_excess);
    }

    asio::io_context& context;
    tunnel_server_options options;
    tunnel_policy& policy;
    logger& log;
    tcp::acceptor acceptor;
    tunnel_counters counters;
    std::set<tunnel*> tunnels;
    /// Connections by remote address, waiting ones included.
    std::map<std::string, std::size_t> connections;
    std::size_t all_connections = 0;
    std::optional<steady_time> last_refusal_log;
    std::uint64_t unlogged_refusals = 0;
};

/// Counts a connection while it exists.
class tunnel_server::connection_count {
public:
    connection_count(std::shared_ptr<state> owner, std::string remote)
        : owner_(std::move(owner))
        , remote_(std::move(remote)) {
        ++owner_->connections[remote_];
        ++owner_->all_connections;
    }
    connection_count(const connection_count&) = delete;
    connection_count& operator=(const connection_count&) = delete;
    ~connection_count() {
        --owner_->all_connections;
        if (--owner_->connections[remote_] == 0) {
            owner_->connections.erase(remote_);
        }
    }

    /// Whether the limits don't allow a tunnel for this connection.
    [[nodiscard]] bool is_over_limit() const {
        return owner_->all_connections > owner_->options.max_tunnels ||
               owner_->connections[remote_] >
                   owner_->options.max_tunnels_per_peer;
    }

private:
    std::shared_ptr<state> owner_;
    std::string remote_;
};

struct tunnel_server::tunnel {
    tunnel(std::shared_ptr<state> used_shared,
           std::unique_ptr<connection_count> used_count,
           tcp::socket used_caller, tcp::socket used_upstream)
        : shared(std::move(used_shared))
        , counted(std::move(used_count))
        , caller(std::move(used_caller))
        , upstream(std::move(used_upstream)) {
        shared->tunnels.insert(this);
    }
    tunnel(const tunnel&) = delete;
    tunnel& operator=(const tunnel&) = delete;
    ~tunnel() {
        shared->tunnels.erase(this);
        reset();
    }

    /// Closes both connections with a reset. The destructor of a socket would
    /// end its connection in order, as if the answer were complete.
    void reset() {
        boost::system::error_code ignored;
        caller.close(ignored);
        upstream.close(ignored);
    }

    std::shared_ptr<state> shared;
    std::unique_ptr<connection_count> counted;
    tcp::socket caller;
    tcp::socket upstream;
    int ended_directions = 0;
    bool is_awaiting_answer = false;
    steady_time last_bytes_at = now();
};

tunnel_server::tunnel_server(asio::io_context& context,
                             tunnel_server_options options,
                             tunnel_policy& policy, logger& log)
    : state_(
          std::make_shared<state>(context, std::move(options), policy, log)) {}

tunnel_server::~tunnel_server() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (tunnel* const open : state_->tunnels) {
        open->reset();
    }
}

outcome<done> tunnel_server::start() {
    boost::system::error_code error;
    const auto ip =
        asio::ip::make_address(state_->options.listen.address, error);
    const tcp::endpoint local(ip, state_->options.listen.port);
    tcp::acceptor& acceptor = state_->acceptor;
    if (!error) {
        acceptor.open(local.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(local, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure{result_code::invalid_settings,
                       "listening for tunnels on " +
                           to_text(state_->options.listen) +
                           " failed: " + error.message()};
    }
    asio::co_spawn(state_->context, accept(state_), asio::detached);
    asio::co_spawn(state_->context, close_idle(state_), asio::detached);
    return done{};
}

endpoint tunnel_server::address() const {
    const tcp::endpoint local = state_->acceptor.local_endpoint();
    return {.address = local.address().to_string(), .port = local.port()};
}

std::size_t tunnel_server::active_tunnels() const {
    std::size_t active = 0;
    for (const tunnel* const open : state_->tunnels) {
        active += open->is_awaiting_answer ||
                          now() < open->last_bytes_at + recent_bytes_time
                      ? 1
                      : 0;
    }
    return active;
}

tunnel_counters tunnel_server::counters() const {
    tunnel_counters counters = state_->counters;
    counters.open = state_->tunnels.size();
    return counters;
}

asio::awaitable<void> tunnel_server::accept(std::shared_ptr<state> shared) {
    while (shared->acceptor.is_open()) {
        auto [error, socket] = co_await shared->acceptor.async_accept(await);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            asio::steady_timer timer(shared->context);
            timer.expires_after(accept_retry_delay);
            co_await timer.async_wait(await);
            continue;
        }
        prepare_socket(socket);
        boost::system::error_code ignored;
        const std::string remote =
            socket.remote_endpoint(ignored).address().to_string();
        if (shared->is_overrun_by(remote)) {
            shared->refuse(remote, "", tunnel_answer::busy);
            continue;
        }
        asio::co_spawn(shared->context, serve(shared, std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> tunnel_server::serve(std::shared_ptr<state> shared,
                                           tcp::socket socket) {
    boost::system::error_code error;
    const std::string remote =
        socket.remote_endpoint(error).address().to_string();
    auto counted = std::make_unique<connection_count>(shared, remote);
    beast::tcp_stream caller(std::move(socket));
    caller.expires_after(shared->options.request_timeout);
    std::string line;
    std::array<char, max_tunnel_request_bytes> bytes{};
    while (line.find('\n') == std::string::npos) {
        std::size_t size = 0;
        std::tie(error, size) = co_await caller.async_read_some(
            asio::buffer(bytes.data(), bytes.size() - line.size()), await);
        if (error) {
            co_return;
        }
        line.append(bytes.data(), size);
        if (line.size() == bytes.size()) {
            break;
        }
    }
    std::string from;
    std::string upstream_text;
    tunnel_answer answer = tunnel_answer::malformed;
    std::optional<endpoint> upstream;
    // The caller waits for the answer, so nothing may follow the line.
    if (line.find('\n') == line.size() - 1) {
        line.pop_back();
        auto request = parse_tunnel_request(line);
        if (request && request->key == shared->options.key) {
            from = request->from.text();
            upstream_text = to_text(request->upstream);
            upstream = std::move(request->upstream);
            answer = counted->is_over_limit() ? tunnel_answer::busy
                                              : shared->policy.judge(*upstream);
        }
    }
    beast::tcp_stream forwarded(shared->context);
    if (answer == tunnel_answer::accepted) {
        forwarded.expires_after(shared->options.connect_timeout);
        const tcp::endpoint target(
            asio::ip::make_address(upstream->address, error), upstream->port);
        std::tie(error) = co_await forwarded.async_connect(target, await);
        if (error) {
            answer = shared->policy.on_connect_failed(*upstream);
        } else {
            shared->policy.on_connected(*upstream);
            prepare_socket(forwarded.socket());
        }
    }
    caller.expires_after(shared->options.request_timeout);
    const char byte = static_cast<char>(answer);
    std::size_t written = 0;
    std::tie(error, written) =
        co_await asio::async_write(caller, asio::buffer(&byte, 1), await);
    if (answer != tunnel_answer::accepted) {
        shared->refuse(from.empty() ? remote : from, upstream_text, answer);
        tcp::socket refused = caller.release_socket();
        refused.shutdown(tcp::socket::shutdown_send, error);
        close_in_order(refused);
        co_return;
    }
    if (error) {
        co_return;
    }
    ++shared->counters.opened;
    auto opened = std::make_shared<tunnel>(shared, std::move(counted),
                                           caller.release_socket(),
                                           forwarded.release_socket());
    asio::co_spawn(shared->context, pass_on(opened, false), asio::detached);
    co_await pass_on(opened, true);
}

asio::awaitable<void> tunnel_server::close_idle(std::shared_ptr<state> shared) {
    asio::steady_timer timer(shared->context);
    while (shared->acceptor.is_open()) {
        timer.expires_after(idle_check_interval);
        co_await timer.async_wait(await);
        for (tunnel* const open : shared->tunnels) {
            if (now() >= open->last_bytes_at + shared->options.idle_timeout) {
                open->reset();
            }
        }
    }
}

asio::awaitable<void> tunnel_server::pass_on(std::shared_ptr<tunnel> passed,
                                             bool is_from_caller) {
    tcp::socket& source = is_from_caller ? passed->caller : passed->upstream;
    tcp::socket& target = is_from_caller ? passed->upstream : passed->caller;
    std::array<char, buffer_bytes> bytes{};
    while (true) {
        auto [error, size] =
            co_await source.async_read_some(asio::buffer(bytes), await);
        if (error == asio::error::eof) {
            break;
        }
        if (error) {
            passed->reset();
            co_return;
        }
        passed->is_awaiting_answer = is_from_caller;
        passed->last_bytes_at = now();
        std::tie(error, size) = co_await asio::async_write(
            target, asio::buffer(bytes.data(), size), await);
        if (error) {
            passed->reset();
            co_return;
        }
    }
    boost::system::error_code error;
    target.shutdown(tcp::socket::shutdown_send, error);
    if (error) {
        passed->reset();
        co_return;
    }
    if (++passed->ended_directions == 2) {
        close_in_order(passed->caller);
        close_in_order(passed->upstream);
    }
}

} // namespace savorydock

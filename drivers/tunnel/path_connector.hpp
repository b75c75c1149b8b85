#pragma once

#include "core/logger.hpp"
#include "drivers/http/connector.hpp"
#include "drivers/tunnel/tunnel_server.hpp"
#include "servers/fleet/upstream_paths.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorydock {

struct path_connector_options {
    instance_id self;
    /// The key of tunnels; equal on all instances.
    std::string key;
    /// The tunnel port of a peer; nothing if the peer is unknown.
    std::function<std::optional<endpoint>(const instance_id&)> tunnel_of;
    /// How long a peer may take to open a tunnel. Longer than the time that the
    /// peer allows for its own connection to the upstream.
    std::chrono::milliseconds tunnel_time{450};
    /// How long a probe may take.
    std::chrono::milliseconds probe_time{300};
    /// How often an isolated instance checks whether a probe is due.
    std::chrono::milliseconds probe_check_interval{100};
};

/// Opens connections on the paths that `upstream_paths` chooses, tells it how
/// they end, and answers for this instance's own tunnels: it refuses them while
/// the instance is isolated. Used on its context's thread only.
class path_connector final : public connector, public tunnel_policy {
public:
    /// `paths` and `log` must outlive this object and its context's run.
    path_connector(boost::asio::io_context& context, upstream_paths& paths,
                   path_connector_options options, logger& log);

    /// Sets a function that is called when an isolation begins or ends.
    void on_change(std::function<void()> handler);

    /// Refuses new tunnels for others from now on.
    void stop_helping() { is_helping_ = false; }

    /// Connections that were opened through peers so far.
    [[nodiscard]] std::uint64_t tunnels_used() const { return tunnels_used_; }

    boost::asio::awaitable<outcome<opened_connection>>
    connect(endpoint address, steady_time deadline) override;
    [[nodiscard]] bool may_reuse(const endpoint& address,
                                 const connection_path& path) const override;
    void on_answered(const endpoint& address,
                     const connection_path& path) override;
    void on_unanswered(const endpoint& address,
                       const connection_path& path) override;

    [[nodiscard]] tunnel_answer judge(const endpoint& upstream) const override;
    void on_connected(const endpoint& upstream) override;
    tunnel_answer on_connect_failed(const endpoint& upstream) override;

private:
    struct direct_attempt;
    class direct_guard;

    static std::shared_ptr<direct_attempt>
    start_direct(boost::asio::io_context& context, const endpoint& address);
    static boost::asio::awaitable<void>
    wait(std::shared_ptr<direct_attempt> attempt, steady_time until);
    boost::asio::awaitable<std::optional<opened_connection>>
    ask_peers(endpoint address, steady_time deadline,
              std::shared_ptr<direct_attempt> direct);
    [[nodiscard]] opened_connection take_direct(const endpoint& address,
                                                direct_attempt& attempt);
    boost::asio::awaitable<void> probe(endpoint address);
    boost::asio::awaitable<void> watch_isolation();
    /// Writes a line and calls the handler if an isolation began or ended.
    void report_change();

    boost::asio::io_context& context_;
    upstream_paths& paths_;
    path_connector_options options_;
    logger& log_;
    std::function<void()> on_change_;
    bool is_helping_ = true;
    bool was_isolated_ = false;
    steady_time isolated_since_{};
    std::uint64_t tunnels_used_ = 0;
    std::optional<steady_time> last_tunnel_log_;
    /// Attempts since the last line about them.
    std::uint64_t unlogged_tunnels_ = 0;
};

} // namespace savorydock

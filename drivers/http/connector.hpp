#pragma once

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/outcome.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace savorydock {

/// How a connection reaches its upstream. Assigned by the connector, which uses
/// it to decide whether the connection may still be used.
struct connection_path {
    /// Whether the connection leads from this instance to the upstream without
    /// another instance in between.
    bool is_direct = true;
    /// Increases each time the connector stops to trust earlier connections.
    std::uint64_t epoch = 0;
};

struct opened_connection {
    boost::asio::ip::tcp::socket socket;
    connection_path path;
};

/// Opens the connections of an `http_client` and decides whether idle ones may
/// be reused. Implementations belong to one I/O context and are used on that
/// context's thread only.
class connector {
public:
    virtual ~connector() = default;

    /// Opens a connection. No byte of a request has been written to an upstream
    /// when it fails. Errors: `not_run_no_upstream`, `not_run_deadline`,
    /// `cancelled_by_caller`.
    virtual boost::asio::awaitable<outcome<opened_connection>>
    connect(endpoint address, steady_time deadline) = 0;

    /// Whether a request may be sent on an idle connection.
    [[nodiscard]] virtual bool may_reuse(const endpoint& address,
                                         const connection_path& path) const = 0;

    /// The upstream began an answer on a connection.
    virtual void on_answered(const endpoint& address,
                             const connection_path& path) = 0;

    /// No byte of an answer arrived in time.
    virtual void on_unanswered(const endpoint& address,
                               const connection_path& path) = 0;
};

/// Connects to the address itself. All idle connections may be reused.
class direct_connector final : public connector {
public:
    explicit direct_connector(boost::asio::io_context& context)
        : context_(context) {}

    boost::asio::awaitable<outcome<opened_connection>>
    connect(endpoint address, steady_time deadline) override;
    [[nodiscard]] bool may_reuse(const endpoint&,
                                 const connection_path&) const override {
        return true;
    }
    void on_answered(const endpoint&, const connection_path&) override {}
    void on_unanswered(const endpoint&, const connection_path&) override {}

private:
    boost::asio::io_context& context_;
};

} // namespace savorydock

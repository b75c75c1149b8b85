#pragma once

#include "drivers/http/http_connection.hpp"
#include "drivers/http/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>

#include <atomic>
#include <chrono>
#include <string_view>

namespace savorydock {

/// What a connection's answers are bound to.
struct exchange_limits {
    /// For one write, and for all of a small answer.
    std::chrono::milliseconds write_timeout;
    /// For a step of progress of a large answer.
    std::chrono::milliseconds progress_timeout;
};

/// One request and its response on a connection.
class connection_exchange final : public http_exchange {
public:
    /// References must outlive the exchange. `is_closing` tells whether the
    /// server closes its connections after their next answers.
    connection_exchange(http_connection& connection, http_request request,
                        bool is_keep_alive, std::size_t worker,
                        exchange_limits limits,
                        const std::atomic<bool>& is_closing);

    const http_request& request() const override { return request_; }
    std::size_t worker() const override { return worker_; }
    bool has_begun() const override { return has_begun_; }

    /// Whether the connection may carry another request.
    [[nodiscard]] bool is_reusable() const {
        return is_complete_ && is_keep_alive_;
    }
    [[nodiscard]] bool is_complete() const { return is_complete_; }
    /// Whether the answer was given up because there was no memory for it.
    [[nodiscard]] bool is_dropped() const { return is_dropped_; }
    void forbid_reuse() { is_keep_alive_ = false; }
    void close_after_answer() override { is_keep_alive_ = false; }

    boost::asio::awaitable<void> wait_for_disconnect() override;
    bool is_caller_disconnected() override;
    boost::asio::awaitable<bool> respond(http_response response) override;
    boost::asio::awaitable<bool> begin_stream(unsigned status,
                                              http_headers headers) override;
    boost::asio::awaitable<bool> write_chunk(std::string chunk) override;
    boost::asio::awaitable<bool> end_stream() override;
    bool reserve_memory(std::size_t bytes) override;
    std::string take_body() override;

private:
    using response_head =
        boost::beast::http::response<boost::beast::http::empty_body>;

    void set_headers(response_head& head, const http_headers& headers);
    /// Frees the request's body, and reserves memory for the answer's.
    [[nodiscard]] bool hold_answer(std::size_t bytes);
    boost::asio::awaitable<bool> write_body(std::string body);
    void begin_write(std::chrono::milliseconds timeout);

    http_connection& connection_;
    const std::atomic<bool>& is_closing_;
    bool is_keep_alive_;
    http_request request_;
    std::size_t worker_;
    exchange_limits limits_;
    bool has_begun_ = false;
    bool is_complete_ = false;
    bool is_dropped_ = false;
};

} // namespace savorydock

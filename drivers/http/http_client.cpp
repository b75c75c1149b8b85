#include "drivers/http/http_client.hpp"

#include "core/answer_status.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_buffer_bytes = 16'384;
constexpr std::size_t max_idle_connections = 64;
/// Bytes read ahead per connection. Limits chunk headers and trailers, for
/// which the parser has no limit of its own.
constexpr std::size_t max_buffered_bytes = 131'072;
constexpr std::uint32_t max_header_bytes = 65'536;
/// Interim (1xx) answers that are skipped before the final answer.
constexpr int max_interim_answers = 4;

/// Idle connections are discarded this long before their peer would close
/// them, so that no request is sent on a connection that is being closed.
constexpr std::chrono::milliseconds idle_close_margin{500};

/// One connection to an address, with the bytes read ahead from it.
struct connection {
    explicit connection(opened_connection opened)
        : stream(std::move(opened.socket))
        , path(opened.path)
        , buffer(max_buffered_bytes) {}

    beast::tcp_stream stream;
    connection_path path;
    beast::flat_buffer buffer;
    /// When the peer may close the connection if it stays idle.
    steady_time idle_until = steady_time::max();
    steady_time opened_at = std::chrono::steady_clock::now();
};

/// The idle time granted by the response header "Keep-Alive: timeout=N".
std::optional<std::chrono::seconds> idle_time_of(std::string_view keep_alive) {
    constexpr std::string_view name = "timeout=";
    const std::size_t at = keep_alive.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = keep_alive.substr(at + name.size());
    int seconds = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return error == std::errc() ? std::optional(std::chrono::seconds(seconds))
                                : std::nullopt;
}

using connection_pointer = std::unique_ptr<connection>;

/// An idle connection that is readable was closed by its peer.
bool is_still_idle(connection& idle) {
    char byte = 0;
    const auto received = ::recv(idle.stream.socket().native_handle(), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// The failure of a call that was cancelled on this side.
failure cancelled(const beast::error_code& error) {
    return {result_code::cancelled_by_caller, error.message()};
}

/// Whether the peer sent nothing, not even an end of the connection.
bool is_silence(const beast::error_code& error) {
    return error == beast::error::timeout || error == asio::error::timed_out;
}

failure failed_after_write(const beast::error_code& error) {
    if (error == asio::error::operation_aborted) {
        return cancelled(error);
    }
    const bool is_timeout = error == beast::error::timeout;
    return {is_timeout ? result_code::unknown_deadline
                       : result_code::unknown_upstream_lost,
            error.message()};
}

using span_request = http::request<http::span_body<const char>>;

/// `body` must outlive the message.
span_request convert(const endpoint& address, const http_request& source,
                     std::string_view body) {
    span_request message;
    message.version(11);
    message.method_string(source.method);
    message.target(source.target);
    for (const http_header& header : source.headers) {
        message.insert(header.name, header.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, to_text(address));
    }
    message.body() = beast::span<const char>(body.data(), body.size());
    message.prepare_payload();
    return message;
}

} // namespace

struct http_client::pool {
    pool(std::shared_ptr<connector> used_connector,
         unframed_answer used_unframed, answer_limits used_limits)
        : paths(std::move(used_connector))
        , unframed(used_unframed)
        , limits(std::move(used_limits)) {
        if (!limits.memory) {
            limits.memory =
                std::make_shared<answer_memory>(limits.max_total_body_bytes);
        }
    }

    connection_pointer take_idle(const endpoint& address,
                                 const std::string& key) {
        const auto found = idle.find(key);
        if (found == idle.end()) {
            return nullptr;
        }
        auto& list = found->second;
        while (!list.empty()) {
            connection_pointer candidate = std::move(list.back());
            list.pop_back();
            if (candidate->idle_until > std::chrono::steady_clock::now() &&
                paths->may_reuse(address, candidate->path) &&
                is_still_idle(*candidate)) {
                return candidate;
            }
        }
        return nullptr;
    }

    void return_idle(const std::string& key, connection_pointer used) {
        auto& list = idle[key];
        if (list.size() < max_idle_connections) {
            used->stream.expires_never();
            list.push_back(std::move(used));
        }
    }

    std::shared_ptr<connector> paths;
    unframed_answer unframed;
    answer_limits limits;
    std::map<std::string, std::vector<connection_pointer>> idle;
};

class http_client::stream final : public http_stream {
public:
    stream(std::shared_ptr<pool> owner, endpoint address,
           connection_pointer used)
        : pool_(std::move(owner))
        , address_(std::move(address))
        , connection_(std::move(used)) {
        reset_parser();
    }

    unsigned status() const override { return parser_->get().result_int(); }
    const http_headers& headers() const override { return headers_; }

    asio::awaitable<outcome<done>> read_header(steady_time deadline) {
        connection_->stream.expires_at(deadline);
        for (int interim = 0; interim <= max_interim_answers; ++interim) {
            const auto [error, size] = co_await http::async_read_header(
                connection_->stream, connection_->buffer, *parser_, await);
            if (is_silence(error)) {
                pool_->paths->on_unanswered(address_, connection_->path);
            }
            if (error) {
                co_return failed_after_write(error);
            }
            pool_->paths->on_answered(address_, connection_->path);
            const answer_kind kind = kind_of_status(status());
            if (kind == answer_kind::invalid ||
                (kind == answer_kind::interim && announces_body())) {
                co_return failure{result_code::unknown_upstream_lost,
                                  "the answer's status " +
                                      std::to_string(status()) +
                                      " is invalid or may have no body"};
            }
            if (kind == answer_kind::final) {
                break;
            }
            reset_parser();
        }
        if (!parser_->is_header_done()) {
            co_return failure{result_code::unknown_upstream_lost,
                              "too many interim answers"};
        }
        for (const auto& field : parser_->get()) {
            headers_.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        co_return done{};
    }

    asio::awaitable<outcome<std::string>>
    read_some(steady_time deadline) override {
        while (!parser_->is_done()) {
            auto& body = parser_->get().body();
            body.data = bytes_.data();
            body.size = bytes_.size();
            body.more = true;
            connection_->stream.expires_at(deadline);
            auto [error, size] = co_await http::async_read_some(
                connection_->stream, connection_->buffer, *parser_, await);
            if (error == http::error::need_buffer) {
                error = {};
            }
            if (error) {
                co_return failed_while_reading(error);
            }
            const std::size_t count = bytes_.size() - body.size;
            if (count > 0) {
                co_return std::string(bytes_.data(), count);
            }
        }
        if (parser_->need_eof() && pool_->unframed == unframed_answer::refuse) {
            co_return failure{result_code::failed_truncated,
                              "the answer has no length or end mark"};
        }
        release();
        co_return std::string();
    }

    /// The announced length of the body; 0 if it isn't known.
    [[nodiscard]] std::size_t announced_bytes() const {
        return static_cast<std::size_t>(
            parser_->content_length_remaining().value_or(0));
    }

    /// Ends a read in progress; the answer is not read further.
    void abandon() {
        if (connection_) {
            connection_->stream.cancel();
        }
    }

private:
    [[nodiscard]] bool announces_body() const {
        const auto& header = parser_->get();
        return header.find(http::field::content_length) != header.end() ||
               header.find(http::field::transfer_encoding) != header.end();
    }

    void reset_parser() {
        parser_.emplace();
        parser_->body_limit(boost::none);
        parser_->header_limit(max_header_bytes);
    }

    static failure failed_while_reading(const beast::error_code& error) {
        if (error == asio::error::operation_aborted) {
            return cancelled(error);
        }
        if (error == beast::error::timeout) {
            return {result_code::unknown_deadline, error.message()};
        }
        return {result_code::failed_truncated, error.message()};
    }

    void release() {
        // Bytes after a complete response belong to no request.
        if (!connection_ || !parser_->get().keep_alive() ||
            parser_->need_eof() || connection_->buffer.size() > 0) {
            connection_.reset();
            return;
        }
        const auto idle_time = idle_time_of(parser_->get()["Keep-Alive"]);
        connection_->idle_until = idle_time ? std::chrono::steady_clock::now() +
                                                  *idle_time - idle_close_margin
                                            : steady_time::max();
        pool_->return_idle(to_text(address_), std::move(connection_));
    }

    std::shared_ptr<pool> pool_;
    endpoint address_;
    connection_pointer connection_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    http_headers headers_;
    std::array<char, read_buffer_bytes> bytes_{};
};

http_client::http_client(asio::io_context& context, unframed_answer unframed,
                         answer_limits limits,
                         std::shared_ptr<connector> used_connector)
    : pool_(std::make_shared<pool>(
          used_connector ? std::move(used_connector)
                         : std::make_shared<direct_connector>(context),
          unframed, std::move(limits))) {}

http_client::~http_client() = default;

void http_client::drop_idle(const endpoint& address) {
    pool_->idle.erase(to_text(address));
}

void http_client::drop_unusable() {
    for (auto& [key, list] : pool_->idle) {
        const auto address = parse_endpoint(key);
        std::erase_if(list, [&](const connection_pointer& used) {
            return address && !pool_->paths->may_reuse(*address, used->path);
        });
    }
}

asio::awaitable<outcome<std::unique_ptr<http_stream>>>
http_client::open(endpoint address, http_request request, steady_time deadline,
                  call_options options) {
    if (!is_representable(request)) {
        co_return failure{result_code::not_run_bad_request,
                          "the request's target or a header can't be written"};
    }
    const steady_time last_write = std::min(deadline, options.write_by);
    connection_pointer used;
    if (options.use == connection_use::reuse) {
        used = pool_->take_idle(address, to_text(address));
    }
    if (!used) {
        auto opened = co_await pool_->paths->connect(address, last_write);
        if (!opened) {
            co_return opened.reason();
        }
        used = std::make_unique<connection>(std::move(*opened));
    }
    const auto message = convert(
        address, request,
        options.body.empty() ? std::string_view(request.body) : options.body);
    used->stream.expires_at(deadline);
    if (options.trace != nullptr) {
        options.trace->opened_at = used->opened_at;
        options.trace->path = used->path.is_direct ? "direct" : "peer";
    }
    if (std::chrono::steady_clock::now() >= last_write) {
        co_return failure{result_code::not_run_deadline, "no time is left"};
    }
    if (options.may_write && !options.may_write()) {
        co_return failure{result_code::not_run_deadline,
                          "the permission to send has ended"};
    }
    if (options.trace != nullptr) {
        options.trace->stage = call_stage::writing;
    }
    const auto [error, size] =
        co_await http::async_write(used->stream, message, await);
    if (!error && options.trace != nullptr) {
        options.trace->stage = call_stage::waiting;
    }
    if (error) {
        co_return failed_after_write(error);
    }
    auto answer = std::make_unique<stream>(pool_, address, std::move(used));
    const auto header = co_await answer->read_header(deadline);
    if (!header) {
        co_return header.reason();
    }
    if (options.trace != nullptr) {
        options.trace->stage = call_stage::reading;
    }
    if (options.is_own_answer && !options.is_own_answer(answer->headers())) {
        co_return failure{result_code::unknown_upstream_lost,
                          "an answer to another request"};
    }
    co_return std::unique_ptr<http_stream>(std::move(answer));
}

asio::awaitable<outcome<http_response>>
http_client::call(endpoint address, http_request request, steady_time deadline,
                  call_options options) {
    auto opened = co_await open(std::move(address), std::move(request),
                                deadline, std::move(options));
    if (!opened) {
        co_return opened.reason();
    }
    auto& answer = static_cast<stream&>(**opened);
    http_response response{.status = answer.status(),
                           .headers = answer.headers()};
    const failure too_large{result_code::failed_by_upstream,
                            "the answer is too large"};
    // Growing by copies would hold a large answer up to three times.
    response.body.reserve(
        std::min(answer.announced_bytes(), pool_->limits.max_body_bytes));
    answer_memory::share memory(pool_->limits.memory,
                                [&answer] { answer.abandon(); });
    while (true) {
        auto part = co_await answer.read_some(deadline);
        if (memory.is_revoked()) {
            co_return too_large;
        }
        if (!part) {
            co_return part.reason();
        }
        if (part->empty()) {
            co_return response;
        }
        if (!memory.add(part->size()) || response.body.size() + part->size() >
                                             pool_->limits.max_body_bytes) {
            co_return too_large;
        }
        response.body += *part;
    }
}

namespace {

asio::awaitable<void>
store_call_result(http_client& client, endpoint address, http_request request,
                  steady_time deadline,
                  std::optional<outcome<http_response>>& result) {
    result =
        co_await client.call(std::move(address), std::move(request), deadline);
}

} // namespace

outcome<http_response> call_blocking(const endpoint& address,
                                     http_request request,
                                     std::chrono::milliseconds timeout) {
    asio::io_context context(1);
    http_client client(context);
    std::optional<outcome<http_response>> result;
    asio::co_spawn(context,
                   store_call_result(client, address, std::move(request),
                                     std::chrono::steady_clock::now() + timeout,
                                     result),
                   asio::detached);
    context.run();
    return result.value_or(
        failure{result_code::unknown_upstream_lost, "the call was dropped"});
}

} // namespace savorydock

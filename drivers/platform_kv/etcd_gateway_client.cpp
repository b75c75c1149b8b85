#include "drivers/platform_kv/etcd_gateway_client.hpp"

#include "drivers/http/http_client.hpp"
#include "drivers/platform_kv/gateway_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace savorydock {

namespace asio = boost::asio;

namespace {

using answer_outcome = outcome<platform_answer>;
using stream_pointer = std::unique_ptr<http_stream>;

constexpr unsigned http_ok = 200;
/// Limit on one message of the store, so that a faulty one can't use up the
/// memory.
constexpr std::size_t max_message_bytes = 16U << 20U;

failure unreachable(const failure& reason) {
    return {result_code::platform_unreachable,
            std::string(name_of(reason.code)) + ": " + reason.detail};
}

bool is_never_sent(const failure& reason) {
    return classify(reason.code) == result_class::not_run;
}

http_request to_http(gateway_call call) {
    return {.method = "POST",
            .target = std::move(call.path),
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(call.body)};
}

// Reads the messages of a watch, one per line, until one contains changes.
class watch_reader {
public:
    explicit watch_reader(stream_pointer stream)
        : stream_(std::move(stream)) {}

    asio::awaitable<answer_outcome> read(steady_time deadline) {
        while (true) {
            auto part = co_await stream_->read_some(deadline);
            if (!part && part.reason().code == result_code::unknown_deadline) {
                co_return platform_answer{.revision = revision_};
            }
            if (!part) {
                co_return unreachable(part.reason());
            }
            if (part->empty()) {
                co_return failure{result_code::platform_unreachable,
                                  "the watch ended"};
            }
            text_ += *part;
            if (auto result = take_lines()) {
                co_return std::move(*result);
            }
            // Only the beginning of a line is left.
            if (text_.size() > max_message_bytes) {
                co_return failure{result_code::platform_unreachable,
                                  "a message of the watch is too long"};
            }
        }
    }

private:
    std::optional<answer_outcome> take_lines() {
        std::size_t end = 0;
        while ((end = text_.find('\n', searched_)) != std::string::npos) {
            const auto frame =
                decode_watch_frame(std::string_view(text_).substr(0, end));
            text_.erase(0, end + 1);
            searched_ = 0;
            if (!frame) {
                return frame.reason();
            }
            revision_ = frame->answer.revision;
            if (frame->has_changes()) {
                return frame->answer;
            }
            if (frame->is_cancelled) {
                return failure{result_code::platform_unreachable,
                               "the store cancelled the watch"};
            }
        }
        searched_ = text_.size();
        return {};
    }

    stream_pointer stream_;
    std::string text_;
    /// Bytes at the beginning of `text_` that have no line end.
    std::size_t searched_ = 0;
    store_revision revision_ = 0;
};

} // namespace

struct etcd_gateway_client::state {
    state(asio::io_context& used_context, std::vector<endpoint> used_addresses)
        : context(used_context)
        , client(used_context)
        , addresses(std::move(used_addresses)) {}

    static asio::awaitable<void> answer(std::shared_ptr<state> self,
                                        platform_request request,
                                        steady_time deadline,
                                        reply_handler on_reply);
    asio::awaitable<answer_outcome> execute(platform_request request,
                                            steady_time deadline);
    asio::awaitable<outcome<http_response>> call(http_request request,
                                                 steady_time deadline);
    asio::awaitable<answer_outcome> watch(http_request request,
                                          steady_time deadline);
    asio::awaitable<outcome<stream_pointer>> open(http_request request,
                                                  steady_time deadline);

    void use_next_address() { current = (current + 1) % addresses.size(); }

    asio::io_context& context;
    http_client client;
    std::vector<endpoint> addresses;
    std::size_t current = 0;
};

asio::awaitable<outcome<stream_pointer>>
etcd_gateway_client::state::open(http_request request, steady_time deadline) {
    failure last{result_code::platform_unreachable, "no address"};
    for (std::size_t tried = 0; tried < addresses.size(); ++tried) {
        auto opened =
            co_await client.open(addresses[current], request, deadline);
        if (opened && (*opened)->status() == http_ok) {
            co_return std::move(opened);
        }
        use_next_address();
        if (opened) {
            // Another status, such as that for an unknown lease, is an answer
            // and not an outage, so this call tries no other address.
            co_return std::move(opened);
        }
        last = opened.reason();
        if (!is_never_sent(last)) {
            break;
        }
    }
    co_return unreachable(last);
}

asio::awaitable<outcome<http_response>>
etcd_gateway_client::state::call(http_request request, steady_time deadline) {
    auto opened = co_await open(std::move(request), deadline);
    if (!opened) {
        co_return opened.reason();
    }
    http_response response{.status = (*opened)->status()};
    while (true) {
        auto part = co_await (*opened)->read_some(deadline);
        if (!part) {
            use_next_address();
            co_return unreachable(part.reason());
        }
        if (part->empty()) {
            co_return response;
        }
        if (response.body.size() + part->size() > max_message_bytes) {
            use_next_address();
            co_return failure{result_code::platform_unreachable,
                              "the answer is too large"};
        }
        response.body += *part;
    }
}

asio::awaitable<answer_outcome>
etcd_gateway_client::state::watch(http_request request, steady_time deadline) {
    auto opened = co_await open(std::move(request), deadline);
    if (!opened) {
        co_return opened.reason();
    }
    if ((*opened)->status() != http_ok) {
        co_return failure{result_code::platform_unreachable,
                          "status " + std::to_string((*opened)->status())};
    }
    watch_reader reader(std::move(*opened));
    co_return co_await reader.read(deadline);
}

asio::awaitable<answer_outcome>
etcd_gateway_client::state::execute(platform_request request,
                                    steady_time deadline) {
    http_request message = to_http(encode_gateway_call(request));
    if (std::holds_alternative<watch_prefix>(request)) {
        co_return co_await watch(std::move(message), deadline);
    }
    const auto response = co_await call(std::move(message), deadline);
    if (!response) {
        co_return response.reason();
    }
    co_return decode_gateway_answer(request, response->status, response->body);
}

// Owns the state, which must outlive the call.
asio::awaitable<void> etcd_gateway_client::state::answer(
    std::shared_ptr<state> self, platform_request request, steady_time deadline,
    reply_handler on_reply) {
    answer_outcome result = failure{result_code::platform_unreachable,
                                    "the call ended without a result"};
    try {
        result = co_await self->execute(std::move(request), deadline);
    } catch (const std::exception& error) {
        result = failure{result_code::platform_unreachable, error.what()};
    }
    on_reply(std::move(result));
}

etcd_gateway_client::etcd_gateway_client(asio::io_context& context,
                                         std::vector<endpoint> addresses)
    : state_(std::make_shared<state>(context, std::move(addresses))) {}

etcd_gateway_client::~etcd_gateway_client() = default;

void etcd_gateway_client::submit(const platform_request& request,
                                 steady_time deadline, reply_handler on_reply) {
    asio::co_spawn(
        state_->context,
        state::answer(state_, request, deadline, std::move(on_reply)),
        asio::detached);
}

} // namespace savorydock

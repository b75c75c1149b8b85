#include "tests/fakes/fake_answer.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <iostream>

namespace savorydock {

boost::asio::awaitable<void> send_json(http_exchange& exchange, unsigned status,
                                       boost::json::object body,
                                       bool is_leaving) {
    http_response response{
        .status = status,
        .headers = {{"Content-Type", "application/json"}},
        .body = boost::json::serialize(body),
    };
    if (is_leaving) {
        response.headers.push_back({"Savorydock-Leaving", "true"});
    }
    co_await exchange.respond(std::move(response));
}

boost::asio::awaitable<void> send_error(http_exchange& exchange,
                                        unsigned status, std::string text,
                                        bool is_leaving) {
    boost::json::object body{{"error", text}};
    co_await send_json(exchange, status, std::move(body), is_leaving);
}

int run_fake(const std::string& listen_text,
             const std::function<outcome<endpoint>(const endpoint&)>& listen) {
    const auto address = parse_endpoint(listen_text);
    if (!address) {
        std::cerr << "--listen: expected " << address.reason().detail << '\n';
        return 2;
    }
    const auto used = listen(*address);
    if (!used) {
        std::cerr << used.reason().detail << '\n';
        return 1;
    }
    std::cout << "listening " << to_text(*used) << std::endl;
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
    return 0;
}

} // namespace savorydock

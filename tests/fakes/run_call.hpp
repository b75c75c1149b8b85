#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <utility>

namespace savorydock {

/// Awaits a call and stores its value, for values that have no default.
template <class Value>
boost::asio::awaitable<void> store_value(boost::asio::awaitable<Value> call,
                                         std::optional<Value>& result) {
    result = co_await std::move(call);
}

/// Runs the context until the call ends and returns the call's value.
template <class Value>
Value run_call(boost::asio::io_context& context,
               boost::asio::awaitable<Value> call) {
    std::optional<Value> result;
    boost::asio::co_spawn(context, store_value(std::move(call), result),
                          boost::asio::detached);
    while (!result) {
        context.restart();
        context.run_one();
    }
    return std::move(*result);
}

} // namespace savorydock

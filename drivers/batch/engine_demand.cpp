#include "drivers/batch/engine_driver.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds demand_interval{1'000};

} // namespace

void engine_driver::report_demand() {
    if (!options_.on_demand || !term_.is_held_now()) {
        return;
    }
    mailbox_.post([this, term = term_.term()->revision] {
        auto demand =
            control_.planner().demand(std::chrono::steady_clock::now());
        demand.service = options_.service;
        demand.term = term;
        asio::post(context_, [this, demand = std::move(demand)] {
            options_.on_demand(demand);
        });
    });
}

asio::awaitable<void> engine_driver::report_demand_regularly() {
    asio::steady_timer timer(context_);
    while (options_.on_demand) {
        report_demand();
        timer.expires_after(demand_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace savorydock

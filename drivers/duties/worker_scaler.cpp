#include "drivers/duties/worker_scaler.hpp"

#include "platform/duty_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds check_interval{250};

} // namespace

worker_scaler::worker_scaler(asio::io_context& context, fleet_state& fleet,
                             duty_caller& caller, const node_settings& settings,
                             logger& log)
    : context_(context)
    , fleet_(fleet)
    , caller_(caller)
    , settings_(*settings.duties)
    , self_(settings.instance)
    , log_(log) {}

void worker_scaler::start() {
    asio::co_spawn(context_, run(), asio::detached);
}

void worker_scaler::on_demand(const instance_id& from,
                              const worker_demand& demand) {
    scaling_.on_demand(from, demand, std::chrono::steady_clock::now());
}

void worker_scaler::update_fleet() {
    const auto& services = fleet_.routes->configuration().services;
    std::set<service_name> planned;
    for (const service_rule& service : services) {
        if (fleet_.routes->has_batch_route(service.name)) {
            planned.insert(service.name);
        }
    }
    scaling_.set_planned(std::move(planned));
    scaling_.on_fleet(services, fleet_.upstreams,
                      std::chrono::steady_clock::now());
}

asio::awaitable<void> worker_scaler::run() {
    asio::steady_timer timer(context_);
    while (true) {
        const auto term = caller_.usable_term();
        // Without a current view, workers that are there would be missing.
        if (term && fleet_.routes && fleet_.find_view_age().is_current) {
            if (term_ != term->revision) {
                term_ = term->revision;
                scaling_.reset();
            }
            update_fleet();
            const auto orders =
                scaling_.next_orders(std::chrono::steady_clock::now());
            for (const worker_order& order : orders) {
                asio::co_spawn(context_, send(*term, order), asio::detached);
            }
        }
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> worker_scaler::send(held_term term, worker_order order) {
    http_request request =
        platform::make_scale_call(order, self_, term.revision);
    const auto response = co_await caller_.call(term, std::move(request));
    const auto answer = response ? platform::decode_scale_answer(
                                       *response, settings_.is_fence_checked)
                                 : platform::duty_answer::try_again;
    order_end end = order_end::unknown;
    switch (answer) {
    case platform::duty_answer::accepted:
        end = order_end::accepted;
        ++statistics_.orders_accepted;
        break;
    case platform::duty_answer::unavailable:
        end = order_end::unavailable;
        ++statistics_.orders_unavailable;
        break;
    case platform::duty_answer::refused:
        // Treated as unavailable, so that it isn't repeated at once.
        end = order_end::unavailable;
        ++statistics_.orders_refused;
        break;
    case platform::duty_answer::fenced_off:
    case platform::duty_answer::try_again:
        break;
    }
    if (answer != platform::duty_answer::try_again) {
        log_.write(answer == platform::duty_answer::accepted
                       ? log_event::workers_ordered
                   : answer == platform::duty_answer::unavailable
                       ? log_event::workers_unavailable
                       : log_event::duty_call_refused,
                   "duty=scale service=" + order.group.service.text() +
                       " zone=" + order.group.zone.text() + " reclaimable=" +
                       (order.group.is_reclaimable ? "1" : "0") +
                       " count=" + std::to_string(order.count) +
                       " term=" + std::to_string(term.revision) +
                       " status=" + std::to_string(response->status));
    }
    if (term.revision == term_) {
        scaling_.on_answer(order, end, std::chrono::steady_clock::now());
    }
    if (answer == platform::duty_answer::fenced_off) {
        co_await caller_.on_fenced_off(term);
    }
}

} // namespace savorydock

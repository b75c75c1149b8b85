#include "drivers/caller_http/step_call.hpp"

#include "drivers/caller_http/answer_json.hpp"
#include "drivers/caller_http/step_runner.hpp"

namespace savorydock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

outcome<step_session> open_session(const caller_request& request,
                                   const step_body& body,
                                   const traffic_services& services) {
    const service_document& document = *request.service->document;
    const std::string part =
        body.part == 0 ? "" : '#' + std::to_string(body.part);
    return step_session::open(
        services.charts,
        {
            .key = {.trainer = document.service.text() + '/' +
                               request.caller->name.text() + part,
                    .step = body.step},
            .epoch = body.epoch,
            .group_count = static_cast<std::uint32_t>(body.groups.size()),
            .group_size = body.group_size,
            .staleness_bound = document.weights.staleness_bound,
        },
        body.held);
}

json::object summarize(const step_runner& runner, result_code code) {
    const step_counts& counts = runner.session().counts();
    return {
        {"result", to_json(failure{code, ""})},
        {"held", counts.held},
        {"handed_over", counts.handed_over},
        {"refused", counts.refused},
        {"discarded_too_old", counts.discarded_too_old},
        {"discarded_unlabelled", counts.discarded_unlabelled},
        {"discarded_broken", counts.discarded_broken},
    };
}

asio::awaitable<void> refuse(http_exchange& exchange,
                             const caller_request& request,
                             const failure& reason,
                             traffic_services& services) {
    record_end(services, request, reason);
    http_response answer =
        make_failure_answer(request.id, reason, services.instance);
    co_await exchange.respond(std::move(answer));
}

} // namespace

asio::awaitable<void> serve_step(http_exchange& exchange,
                                 caller_request request,
                                 traffic_services& services) {
    auto body = read_step_body(exchange.request().body);
    if (!body) {
        co_await refuse(exchange, request, body.reason(), services);
        co_return;
    }
    auto session = open_session(request, *body, services);
    if (!session) {
        co_await refuse(exchange, request, session.reason(), services);
        co_return;
    }
    const std::string step_name = to_text(
        slot_id{.trainer = request.caller->name.text(), .step = body->step});
    services.log.write(log_event::step_started,
                       "step=" + step_name +
                           " epoch=" + std::to_string(body->epoch) +
                           " request=" + request.id.text());
    http_headers headers =
        make_answer_headers(request.id, result_code::ok, services.instance);
    headers.push_back({"Content-Type", "text/event-stream"});
    if (!co_await exchange.begin_stream(200, std::move(headers))) {
        co_return;
    }
    const auto runner = std::make_shared<step_runner>(
        request, std::move(*body), std::move(*session), exchange.worker(),
        services);
    const result_code code = co_await runner->serve(exchange);
    services.log.write(log_event::step_finished,
                       "step=" + step_name +
                           " result=" + std::string(name_of(code)));
    record_end(services, request, {code, ""});
    std::string chunk =
        to_server_sent_event(summarize(*runner, code)) + "data: [DONE]\n\n";
    if (co_await exchange.write_chunk(std::move(chunk))) {
        co_await exchange.end_stream();
    }
}

} // namespace savorydock

#include "drivers/caller_http/upstream_attempt.hpp"

namespace savorydock {

upstream_attempt::upstream_attempt(traffic_services& services,
                                   const caller_request& request,
                                   std::vector<upstream_id> excluded)
    : services_(services)
    , request_(request)
    , tried_(std::move(excluded)) {}

upstream_attempt::~upstream_attempt() {
    if (!current_.is_empty()) {
        finish({.evidence = upstream_evidence::answered}, true);
    }
}

outcome<route_choice> upstream_attempt::begin(std::uint64_t prefix_hash,
                                              std::uint32_t expected_tokens) {
    const steady_time now = std::chrono::steady_clock::now();
    auto choice = services_.router.pick(
        {
            .service = *request_.service,
            .class_of_service = request_.service_class->name,
            .prefix_hash = prefix_hash,
            .expected_tokens = expected_tokens,
            .excluded = tried_,
        },
        now);
    if (!choice) {
        return choice;
    }
    current_ = choice->upstream->name;
    ++count_;
    services_.router.begin(request_.service->document->service, current_);
    services_.decisions.add(
        request_.id.text(),
        {.kind =
             count_ == 1 ? decision_kind::routed : decision_kind::tried_again,
         .upstream = current_,
         .candidates = choice->candidates,
         .report_age = choice->report_age,
         .detail = choice->is_cross_zone ? "cross_zone" : std::string()},
        now);
    if (count_ > 1) {
        services_.log.write(log_event::request_retried,
                            "request=" + request_.id.text() +
                                " upstream=" + current_.text());
    }
    return choice;
}

void upstream_attempt::finish(const call_evidence& seen, bool is_usable_again) {
    const service_name& service = request_.service->document->service;
    services_.router.finish(service, current_, seen.evidence, seen.first_byte);
    services_.observe({.service = service,
                       .upstream = current_,
                       .evidence = seen.evidence,
                       .latency = seen.first_byte});
    if (!is_usable_again) {
        tried_.push_back(current_);
    }
    current_ = upstream_id();
}

} // namespace savorydock

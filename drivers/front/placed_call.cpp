#include "drivers/front/placed_call.hpp"

#include "platform/request_codec.hpp"

#include <chrono>
#include <utility>

namespace savorydock {

std::optional<call_cost> estimate_cost(const upstream_pool& pool,
                                       const service_name& service,
                                       request_features features,
                                       const http_request& request) {
    if (pool.by_cost() == nullptr) {
        return std::nullopt;
    }
    const auto stated = platform::decode_stated_size(request.headers);
    features.body_bytes = request.body.size();
    features.prompt_tokens = stated.prompt_tokens;
    features.max_output_tokens = stated.max_output_tokens;
    features.length_hint = stated.length_hint;
    return pool.by_cost()->estimator().estimate(service, features);
}

placed_call::placed_call(upstream_pool& pool, upstream_id upstream,
                         const call_cost* cost)
    : pool_(pool)
    , upstream_(std::move(upstream))
    , cost_(cost)
    , started_at_(std::chrono::steady_clock::now()) {
    if (cost_ != nullptr) {
        number_ = pool_.on_started(upstream_, *cost_, started_at_);
    } else {
        pool_.on_started(upstream_);
    }
}

void placed_call::end(call_outcome how) {
    if (has_ended_) {
        return;
    }
    has_ended_ = true;
    const steady_time now = std::chrono::steady_clock::now();
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        now - started_at_);
    if (cost_ != nullptr) {
        pool_.on_ended(upstream_, *cost_, number_, how, time, now);
    } else {
        pool_.on_ended(upstream_, how, time, now);
    }
}

} // namespace savorydock

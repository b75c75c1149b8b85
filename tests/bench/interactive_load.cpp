#include "tests/bench/interactive_load.hpp"

#include <cmath>

namespace savorydock::bench {

namespace {

constexpr std::uint64_t random_steps = 1U << 20U;
constexpr std::uint64_t prompt_count = 200;

} // namespace

void interactive_load::begin(double rate, const bench_load& load) {
    rate_ = rate;
    surge_ = load.surge;
    const auto third =
        std::chrono::duration_cast<steady_time::duration>(load.length / 3);
    surge_from_ = loop_.now() + third;
    surge_until_ = surge_from_ + third;
    plan_next();
}

void interactive_load::plan_next() {
    const bool is_surge =
        loop_.now() >= surge_from_ && loop_.now() < surge_until_;
    const double rate = is_surge ? rate_ * surge_ : rate_;
    const double drawn =
        (static_cast<double>(random_.below(random_steps)) + 1) /
        static_cast<double>(random_steps);
    loop_.after(bench_seconds(-std::log(drawn) / rate), [this] {
        call();
        plan_next();
    });
}

void interactive_load::call() {
    ++calls_;
    const steady_time began = loop_.now();
    decider& entry = *entries_[random_.below(entries_.size())];
    bench_call request{
        .class_of_service = class_name("prompt"),
        .caller = caller_id("console"),
        .prefix = mix_bits(random_.below(prompt_count) + 1),
        .tokens = options_.service_tokens,
        .deadline = began + std::chrono::duration_cast<steady_time::duration>(
                                options_.patience),
        .is_retried = true};
    request.on_end = [this, began](const call_end& end) {
        if (end.code == result_code::ok) {
            const bench_seconds took = loop_.now() - began + 2 * client_delay_;
            latencies_.push_back(took.count());
        } else {
            ++(classify(end.code) == result_class::not_run ? refused_
                                                           : failed_);
        }
    };
    entry.submit(std::move(request));
}

} // namespace savorydock::bench

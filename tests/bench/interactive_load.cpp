#include "tests/bench/interactive_load.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savorydock::bench {

namespace {

constexpr std::uint64_t random_steps = 1U << 20U;
constexpr std::uint64_t prompt_count = 200;
constexpr std::chrono::seconds recovery_window{30};

} // namespace

void interactive_load::begin(double rate, double surge,
                             const bench_load& load) {
    rate_ = rate;
    surge_ = surge;
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
    const double random_value =
        (static_cast<double>(random_.below(random_steps)) + 1) /
        static_cast<double>(random_steps);
    loop_.after(bench_seconds(-std::log(random_value) / rate), [this] {
        call();
        plan_next();
    });
}

void interactive_load::call() {
    ++calls_;
    const steady_time began = loop_.now();
    bench_instance& entry = *entries_[random_.below(entries_.size())];
    bench_call request{
        .class_of_service = class_name("prompt"),
        .caller = caller_id("console"),
        .prefix = mix_bits(random_.below(prompt_count) + 1),
        .tokens = options_.service_tokens,
        .deadline = began + std::chrono::duration_cast<steady_time::duration>(
                                options_.timeout),
        .is_retried = true};
    request.on_end = [this, began](const call_end& end) {
        if (end.code == result_code::ok) {
            const bench_seconds took = loop_.now() - began + 2 * client_delay_;
            latencies_.push_back(took.count());
            begins_.push_back(began);
            late_ += took > options_.timeout ? 1 : 0;
        } else {
            ++(classify(end.code) == result_class::not_run ? refused_
                                                           : failed_);
        }
    };
    entry.submit(std::move(request));
}

double interactive_load::median_between(steady_time from,
                                        steady_time until) const {
    std::vector<double> found;
    for (std::size_t i = 0; i < begins_.size(); ++i) {
        if (begins_[i] >= from && begins_[i] < until) {
            found.push_back(latencies_[i]);
        }
    }
    if (found.empty()) {
        // A window without any answer doesn't count as recovered.
        return std::numeric_limits<double>::infinity();
    }
    const auto middle =
        found.begin() + static_cast<std::ptrdiff_t>(found.size() / 2);
    std::nth_element(found.begin(), middle, found.end());
    return *middle;
}

double interactive_load::recovery_seconds() const {
    const double normal = median_between(steady_time{}, surge_from_);
    steady_time window_start = surge_until_;
    while (window_start < loop_.now() &&
           median_between(window_start, window_start + recovery_window) >
               2 * normal) {
        window_start += recovery_window;
    }
    return bench_seconds(window_start - surge_until_).count();
}

} // namespace savorydock::bench

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
    for (std::size_t at = 0; at < begins_.size(); ++at) {
        if (begins_[at] >= from && begins_[at] < until) {
            found.push_back(latencies_[at]);
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
    steady_time at = surge_until_;
    while (at < loop_.now() &&
           median_between(at, at + recovery_window) > 2 * normal) {
        at += recovery_window;
    }
    return bench_seconds(at - surge_until_).count();
}

} // namespace savorydock::bench

#include "servers/cost/cost_estimator.hpp"

#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

namespace accumulators = boost::accumulators;

/// Bounds of an estimate relative to its class's median.
constexpr double max_over_median = 10;
/// Below this many samples the P-square estimate has no value yet.
constexpr std::size_t min_quantile_samples = 5;
/// Sizes within a factor of 1.4 fall into one class.
constexpr double steps_per_doubling = 2;
/// Longer words in a hint are cut.
constexpr std::size_t max_hint_length = 16;

std::string to_step(double size) {
    return std::to_string(
        std::lround(std::log2(std::max(1.0, size)) * steps_per_doubling));
}

std::string to_step(const std::optional<std::uint64_t>& size) {
    return size ? to_step(static_cast<double>(*size)) : std::string();
}

std::string hint_of(const std::string& text) {
    const bool is_number =
        !text.empty() && text.size() <= max_hint_length &&
        std::all_of(text.begin(), text.end(),
                    [](char digit) { return digit >= '0' && digit <= '9'; });
    if (is_number) {
        return to_step(std::optional<std::uint64_t>(std::stoull(text)));
    }
    std::string word = text.substr(0, max_hint_length);
    word += '=';
    return word;
}

template <class Accumulator>
double median_of(const Accumulator& samples) {
    return accumulators::count(samples) >= min_quantile_samples
               ? accumulators::p_square_quantile(samples)
               : accumulators::mean(samples);
}

} // namespace

std::size_t cost_estimator::cost_class::count() const {
    return accumulators::count(current) + accumulators::count(previous);
}

double cost_estimator::cost_class::median() const {
    return median_of(accumulators::count(previous) > 0 &&
                             accumulators::count(current) < min_quantile_samples
                         ? previous
                         : current);
}

double cost_estimator::cost_class::mean() const {
    const auto old_count = static_cast<double>(accumulators::count(previous));
    const auto new_count = static_cast<double>(accumulators::count(current));
    if (old_count + new_count == 0) {
        return 0;
    }
    return ((old_count > 0 ? accumulators::mean(previous) * old_count : 0) +
            (new_count > 0 ? accumulators::mean(current) * new_count : 0)) /
           (old_count + new_count);
}

cost_estimator::cost_estimator(cost_estimator_options options)
    : options_(options) {}

const cost_estimator::cost_class*
cost_estimator::find(std::uint64_t key) const {
    const auto found = classes_.find(key);
    return found == classes_.end() ||
                   found->second.count() < options_.min_samples
               ? nullptr
               : &found->second;
}

call_cost cost_estimator::estimate(const service_name& service,
                                   const request_features& features) const {
    const std::string service_text = "service " + service.text();
    const std::string route_text = service_text + '\n' + features.route;
    call_cost cost{.narrow_class = stable_hash(
                       route_text + '\n' + features.organisation.text() + '\n' +
                       to_step(static_cast<double>(features.body_bytes)) +
                       '\n' + to_step(features.prompt_tokens) + '\n' +
                       to_step(features.max_output_tokens) + '\n' +
                       hint_of(features.length_hint)),
                   .route_class = stable_hash(route_text),
                   .service_class = stable_hash(service_text)};
    const cost_class* const usual = find(cost.service_class);
    const cost_class* found = find(cost.narrow_class);
    found = found != nullptr ? found : find(cost.route_class);
    found = found != nullptr ? found : usual;
    if (found == nullptr) {
        cost.expected = options_.default_cost;
        return cost;
    }
    const double median = found->median();
    const double expected = std::clamp(found->mean(), median / max_over_median,
                                       median * max_over_median);
    cost.expected = std::chrono::microseconds(
        std::max<std::int64_t>(1, std::llround(expected)));
    cost.is_large =
        usual != nullptr && expected > usual->median() * options_.large_ratio;
    return cost;
}

void cost_estimator::add(std::uint64_t key, double sample) {
    cost_class& known = classes_[key];
    known.last_use = ++uses_;
    if (accumulators::count(known.current) >= options_.samples_per_generation) {
        known.previous = known.current;
        known.current =
            quantile(boost::accumulators::quantile_probability = 0.5);
    }
    known.current(sample);
}

void cost_estimator::learn(const call_cost& cost,
                           std::chrono::microseconds time) {
    const auto sample = static_cast<double>(time.count());
    for (const std::uint64_t key :
         {cost.service_class, cost.route_class, cost.narrow_class}) {
        add(key, sample);
    }
    while (classes_.size() > options_.max_classes) {
        classes_.erase(std::min_element(
            classes_.begin(), classes_.end(),
            [](const auto& left, const auto& right) {
                return left.second.last_use < right.second.last_use;
            }));
    }
}

} // namespace savorydock

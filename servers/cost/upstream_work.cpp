#include "servers/cost/upstream_work.hpp"

#include <algorithm>
#include <cmath>

namespace savorydock {

namespace {

/// Bound of a sample's slowness, so that one outlier is forgotten soon.
constexpr double max_slowness = 2.1; // a factor of 8
/// A call that has taken this many times its expected time is overdue.
constexpr double overdue_factor = 1.5;
/// An overdue call still has at least this part of its work left.
constexpr double min_part_left = 0.25;

/// Work left of a call on average over its time.
constexpr double mean_part_left = 0.5;
constexpr double thousandths = 1'000;
/// Reported slowness counts from this value, a factor of 1.8, and with this
/// many samples. Smaller values are due to queues; as all instances learn of
/// them at once and late, they would move their calls from one upstream to the
/// next.
constexpr double queue_slowness = 0.6;
constexpr double min_reported_samples = 3;
constexpr double error_weight = 0.2;
constexpr double max_error_share = 0.9;

double to_micros(steady_time::duration time) {
    return std::chrono::duration<double, std::micro>(time).count();
}

std::chrono::microseconds to_duration(double micros) {
    return std::chrono::microseconds(std::llround(micros));
}

} // namespace

upstream_work::upstream_work(upstream_work_options options)
    : options_(options) {}

void upstream_work::retain(const std::set<upstream_id>& upstreams) {
    std::erase_if(upstreams_, [&](const auto& row) {
        return !upstreams.contains(row.first);
    });
}

void upstream_work::on_restarted(const upstream_id& upstream) {
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        found->second.slowness = 0;
        found->second.error_share = 0;
        found->second.sampled_at = {};
    }
}

std::uint64_t upstream_work::on_started(const upstream_id& upstream,
                                        std::chrono::microseconds expected,
                                        bool is_large, steady_time now) {
    upstreams_[upstream].calls.emplace(
        ++last_call_,
        active_call{.started_at = now,
                    .expected =
                        std::max(1.0, static_cast<double>(expected.count())),
                    .is_large = is_large});
    return last_call_;
}

void upstream_work::on_ended(const upstream_id& upstream, std::uint64_t call,
                             call_outcome end, steady_time now) {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    state& known = found->second;
    const auto ended = known.calls.find(call);
    if (ended == known.calls.end()) {
        return;
    }
    const double time = to_micros(now - ended->second.started_at);
    const double expected = ended->second.expected;
    known.work_time +=
        time_in_period(ended->second, now) * expected * mean_part_left;
    known.calls.erase(ended);
    const bool is_answered = end == call_outcome::answered;
    if (is_answered || end == call_outcome::answered_with_error ||
        end == call_outcome::failed) {
        const double errors =
            decayed(known.error_share, known.error_sampled_at, now);
        known.error_share =
            errors + error_weight * ((is_answered ? 0 : 1) - errors);
        known.error_sampled_at = now;
    }
    // A call that was cancelled or broke off while overdue shows that the
    // upstream is slow as well.
    if (!is_answered && time < expected * overdue_factor) {
        return;
    }
    const double sample = std::clamp(std::log(std::max(1.0, time) / expected),
                                     -max_slowness, max_slowness);
    ++known.samples;
    known.slowness_sum += sample;
    const double before = decayed_slowness(known, now);
    known.slowness = before + options_.sample_weight * (sample - before);
    known.sampled_at = now;
}

double upstream_work::time_in_period(const active_call& active,
                                     steady_time now) const {
    return to_micros(now - std::max(active.started_at, sums_taken_at_));
}

std::vector<upstream_sum> upstream_work::take_sums(steady_time now) {
    const double period = std::max(1.0, to_micros(now - sums_taken_at_));
    std::vector<upstream_sum> sums;
    for (auto& [id, known] : upstreams_) {
        for (const auto& [number, active] : known.calls) {
            known.work_time +=
                time_in_period(active, now) * active.expected * mean_part_left;
        }
        if (known.work_time > 0 || known.samples > 0) {
            sums.push_back(
                {.upstream = id,
                 .work = static_cast<std::uint64_t>(known.work_time / period),
                 .samples = known.samples,
                 .slowness = std::llround(known.slowness_sum * thousandths)});
        }
        known.work_time = 0;
        known.samples = 0;
        known.slowness_sum = 0;
    }
    sums_taken_at_ = now;
    return sums;
}

void upstream_work::on_report(const upstream_sum& others,
                              std::chrono::milliseconds age, steady_time now) {
    state& known = upstreams_[others.upstream];
    known.reported = static_cast<double>(others.work);
    known.reported_at = now - age;
    const auto samples = static_cast<double>(others.samples);
    const double mean =
        others.samples == 0
            ? 0
            : static_cast<double>(others.slowness) / thousandths / samples;
    // One sample may be a single long call.
    known.reported_slowness =
        samples < min_reported_samples
            ? 0
            : std::clamp(mean - queue_slowness, 0.0, max_slowness);
}

own_work upstream_work::own(const upstream_id& upstream,
                            steady_time now) const {
    const auto found = upstreams_.find(upstream);
    own_work sum;
    if (found == upstreams_.end()) {
        return sum;
    }
    const double rate = std::exp(-decayed_slowness(found->second, now));
    double left = 0;
    for (const auto& [number, active] : found->second.calls) {
        ++sum.calls;
        sum.large_calls += active.is_large ? 1 : 0;
        left += std::max(active.expected -
                             to_micros(now - active.started_at) * rate,
                         active.expected * min_part_left);
    }
    sum.left = to_duration(left);
    return sum;
}

std::chrono::microseconds upstream_work::reported(const upstream_id& upstream,
                                                  steady_time now) const {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return std::chrono::microseconds(0);
    }
    return to_duration(found->second.reported *
                       report_weight(found->second, now));
}

double upstream_work::report_weight(const state& known, steady_time now) const {
    const double age = to_micros(now - known.reported_at) /
                       to_micros(options_.report_lifetime);
    return std::clamp(1 - age, 0.0, 1.0);
}

double upstream_work::decayed(double value, steady_time sampled_at,
                              steady_time now) const {
    return value == 0 ? 0
                      : value * std::exp2(-to_micros(now - sampled_at) /
                                          to_micros(options_.speed_half_life));
}

double upstream_work::slowness(const state& known, steady_time now) const {
    double value = std::max(
        std::max(0.0, decayed_slowness(known, now) - options_.ignored_slowness),
        known.reported_slowness * report_weight(known, now));
    for (const auto& [number, active] : known.calls) {
        const double ratio =
            to_micros(now - active.started_at) / active.expected;
        const double sample = std::min(std::log(ratio), max_slowness);
        if (ratio > overdue_factor && sample > value) {
            value += options_.sample_weight * (sample - value);
        }
    }
    return value;
}

double upstream_work::speed(const upstream_id& upstream,
                            steady_time now) const {
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? 1.0
                                     : std::exp(-slowness(found->second, now));
}

double upstream_work::error_share(const upstream_id& upstream,
                                  steady_time now) const {
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end()
               ? 0
               : std::min(max_error_share,
                          decayed(found->second.error_share,
                                  found->second.error_sampled_at, now));
}

steady_time upstream_work::last_sample(const upstream_id& upstream) const {
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? steady_time{} : found->second.sampled_at;
}

} // namespace savorydock

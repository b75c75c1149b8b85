#include "servers/cost/placement.hpp"

#include <algorithm>
#include <numeric>

namespace savorydock {

namespace {

/// An upstream below this speed is probed by cheap calls.
constexpr double slow_speed = 0.7;

double to_micros(std::chrono::microseconds time) {
    return static_cast<double>(time.count());
}

} // namespace

placement::placement(placement_options options)
    : options_(options)
    , estimator_(options.estimator)
    , work_(options.work)
    , random_(options.seed) {}

double placement::completion(const placement_candidate& candidate,
                             const call_cost& cost, steady_time now) const {
    const own_work own = work_.own(candidate.upstream, now);
    const double slots = std::max<std::uint32_t>(1, candidate.slots);
    double wait = (to_micros(own.left) +
                   options_.report_weight *
                       to_micros(work_.reported(candidate.upstream, now))) /
                  slots;
    if (cost.is_large) {
        // Large calls spread out, so that each upstream keeps slots for small
        // ones even if the large ones take much longer than expected.
        wait += options_.large_spread * to_micros(cost.expected) *
                own.large_calls / slots;
    }
    return (wait + to_micros(cost.expected)) /
               (work_.speed(candidate.upstream, now) *
                (1 - work_.error_share(candidate.upstream, now))) +
           to_micros(candidate.path);
}

bool placement::must_probe(const placement_candidate& candidate,
                           const call_cost& cost, steady_time now) const {
    return !cost.is_large &&
           now - work_.last_sample(candidate.upstream) >=
               options_.probe_interval &&
           work_.own(candidate.upstream, now).calls == 0 &&
           work_.speed(candidate.upstream, now) < slow_speed;
}

std::size_t
placement::choose(const std::vector<placement_candidate>& candidates,
                  const call_cost& cost, steady_time now) {
    std::vector<std::size_t> drawn(candidates.size());
    std::iota(drawn.begin(), drawn.end(), std::size_t{0});
    const std::size_t choices = options_.choices;
    if (choices > 0) {
        for (std::size_t index = 0; index < std::min(choices, drawn.size());
             ++index) {
            std::swap(drawn[index],
                      drawn[index + random_.below(drawn.size() - index)]);
        }
        drawn.resize(std::min(choices, drawn.size()));
    }
    std::vector<double> times;
    times.reserve(drawn.size());
    for (const std::size_t index : drawn) {
        if (must_probe(candidates[index], cost, now)) {
            return index;
        }
        times.push_back(completion(candidates[index], cost, now));
    }
    const double limit = *std::min_element(times.begin(), times.end()) +
                         options_.tie_width * to_micros(cost.expected);
    std::vector<std::size_t> best;
    for (std::size_t at = 0; at < drawn.size(); ++at) {
        if (times[at] <= limit) {
            best.push_back(drawn[at]);
        }
    }
    return best[random_.below(best.size())];
}

std::uint64_t placement::on_started(const upstream_id& upstream,
                                    const call_cost& cost, steady_time now) {
    return work_.on_started(upstream, cost.expected, cost.is_large, now);
}

void placement::on_ended(const upstream_id& upstream, const call_cost& cost,
                         std::uint64_t call, call_outcome end,
                         std::chrono::microseconds time, steady_time now) {
    work_.on_ended(upstream, call, end, now);
    if (end == call_outcome::answered) {
        estimator_.learn(cost, time);
    }
}

} // namespace savorydock

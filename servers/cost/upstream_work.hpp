#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/fleet/call_outcome.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace savorydock {

/// What instances learned about one upstream in a period of their reports.
struct upstream_sum {
    upstream_id upstream;
    /// Mean work left of their calls, in microseconds.
    std::uint64_t work = 0;
    /// Answered or overdue calls, and the sum of their slowness in thousandths
    /// of the natural logarithm of measured by expected time.
    std::uint64_t samples = 0;
    std::int64_t slowness = 0;
};
BOOST_DESCRIBE_STRUCT(upstream_sum, (), (upstream, work, samples, slowness))

struct upstream_work_options {
    /// Weight of a new sample in the measured slowness.
    double sample_weight = 0.3;
    /// Time in which half of what is known about an upstream's speed is
    /// forgotten without new samples.
    std::chrono::milliseconds speed_half_life{2'000};
    /// Slowness up to this value, a factor of 1.1, is due to chance and queues
    /// and doesn't count. Values below 0 don't either: they would attract calls
    /// to the upstream until it is the slowest.
    double ignored_slowness = 0.1;
    /// A reported sum counts less with its age, and not at all from this age.
    std::chrono::milliseconds report_lifetime{2'000};
};

/// The work of this instance's calls in progress at one upstream.
struct own_work {
    std::uint32_t calls = 0;
    std::uint32_t large_calls = 0;
    std::chrono::microseconds left{0};
};

/// Keeps the work that upstreams still have to do, and their speed.
///
/// Load pattern: upstreams that become several times slower for some seconds,
/// single calls that take five times as long as usual, and calls of other
/// instances that are known late or not at all.
///
/// Work is the time that a call takes on an upstream of usual speed. The speed
/// is the smoothed ratio of expected to measured times, on a logarithmic scale,
/// so a single long call changes it little. Calls that are overdue count as
/// samples before they end. Without samples the speed returns to 1.
///
/// Not thread safe; deterministic.
class upstream_work {
public:
    explicit upstream_work(upstream_work_options options);

    /// Forgets all other upstreams, and their calls in progress.
    void retain(const std::set<upstream_id>& upstreams);
    /// Forgets the speed of the upstream, whose process is a new one.
    void on_restarted(const upstream_id& upstream);

    /// Returns the call's number for `on_ended`.
    std::uint64_t on_started(const upstream_id& upstream,
                             std::chrono::microseconds expected, bool is_large,
                             steady_time now);
    void on_ended(const upstream_id& upstream, std::uint64_t call,
                  call_outcome end, steady_time now);

    /// Returns what this instance's calls showed since the last call of this
    /// method; only upstreams with calls.
    [[nodiscard]] std::vector<upstream_sum> take_sums(steady_time now);

    /// Records what other instances reported about an upstream `age` ago.
    void on_report(const upstream_sum& others, std::chrono::milliseconds age,
                   steady_time now);

    [[nodiscard]] own_work own(const upstream_id& upstream,
                               steady_time now) const;
    /// What is left of the work that others reported.
    [[nodiscard]] std::chrono::microseconds
    reported(const upstream_id& upstream, steady_time now) const;
    /// 1 for the usual speed, 0.5 if calls take twice as long.
    [[nodiscard]] double speed(const upstream_id& upstream,
                               steady_time now) const;
    /// The part of the calls that end with an error or without an answer; below
    /// 1.
    [[nodiscard]] double error_share(const upstream_id& upstream,
                                     steady_time now) const;
    /// When a call was last answered or failed there; the epoch if never.
    [[nodiscard]] steady_time last_sample(const upstream_id& upstream) const;

private:
    struct active_call {
        steady_time started_at;
        double expected = 0;
        bool is_large = false;
    };

    struct state {
        std::map<std::uint64_t, active_call> calls;
        /// Logarithm of measured by expected time.
        double slowness = 0;
        steady_time sampled_at{};
        double error_share = 0;
        steady_time error_sampled_at{};
        /// Since the last sums were taken: work left times time, and samples.
        double work_time = 0;
        std::uint64_t samples = 0;
        double slowness_sum = 0;
        /// What others reported: work, and slowness beyond what queues explain.
        double reported = 0;
        double reported_slowness = 0;
        steady_time reported_at{};
    };

    /// What is left of a value that is forgotten without new samples.
    [[nodiscard]] double decayed(double value, steady_time sampled_at,
                                 steady_time now) const;
    [[nodiscard]] double decayed_slowness(const state& known,
                                          steady_time now) const {
        return decayed(known.slowness, known.sampled_at, now);
    }
    [[nodiscard]] double slowness(const state& known, steady_time now) const;
    /// What a report counts for by its age, from 1 down to 0.
    [[nodiscard]] double report_weight(const state& known,
                                       steady_time now) const;

    /// Time since the sums were last taken, or since the call started.
    [[nodiscard]] double time_in_period(const active_call& active,
                                        steady_time now) const;

    upstream_work_options options_;
    steady_time sums_taken_at_{};
    std::map<upstream_id, state> upstreams_;
    std::uint64_t last_call_ = 0;
};

} // namespace savorydock

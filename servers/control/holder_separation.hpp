#pragma once

#include "core/boot_clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace savorydock {

struct holder_separation_options {
    /// Minimum time between a call of this instance and its next one to the
    /// same subject if another instance may have made one between them.
    std::chrono::milliseconds lease_time{3'000};
    /// Added to `lease_time`; covers the time until a call arrives.
    std::chrono::milliseconds safety_margin{300};
    /// When this process started. An earlier process of this instance may have
    /// made calls until then. Without it, there was no earlier process.
    std::optional<boot_clock::time_point> process_start;
};

/// Decides from when on the holder of a term may make calls to a subject, so
/// that two instances never take turns (A, B, A) within the lease time.
///
/// Load pattern: a rolling restart passes a scope from A to B and, when B is
/// stopped, back to A within a second, while calls are made all the time. A
/// process remembers its own calls; of those of an earlier process on the same
/// instance it only knows that they were made before it started.
///
/// Not thread safe; deterministic.
class holder_separation {
public:
    using time_point = boot_clock::time_point;

    explicit holder_separation(holder_separation_options options)
        : options_(options) {}

    /// This instance gained the term. `follows_settled_term`: the term directly
    /// follows a settled one of an earlier process of this instance, so calls
    /// of that process need no distance.
    void on_term(store_revision term, bool follows_settled_term,
                 time_point now);

    /// A call of the term has been written to the subject at this time, or may
    /// have arrived there until then.
    void on_call(const std::string& subject, store_revision term,
                 time_point at);

    /// The earliest time of a call to the subject in the current term.
    [[nodiscard]] time_point earliest_call(const std::string& subject) const;

    /// The earliest time of a call to a subject to which this process has made
    /// none.
    [[nodiscard]] time_point earliest_first_call() const;

    /// The subjects that must wait longer than `earliest_first_call`, and until
    /// when.
    [[nodiscard]] std::map<std::string, time_point> waiting_subjects() const;

    /// From when on the current term is settled: no call that this instance
    /// made before it needs a distance any more.
    [[nodiscard]] time_point settled_from() const;

private:
    struct last_call {
        store_revision term = 0;
        time_point at{};
    };

    [[nodiscard]] time_point end_of_distance(time_point call) const {
        return call + options_.lease_time + options_.safety_margin;
    }
    void forget_distant_calls(time_point now);

    holder_separation_options options_;
    store_revision term_ = 0;
    bool follows_settled_term_ = false;
    std::map<std::string, last_call> calls_;
    std::size_t forget_at_size_ = 64;
};

} // namespace savorydock

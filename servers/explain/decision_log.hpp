#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result_code.hpp"

#include <boost/describe.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorydock {

/// The kinds of events in the processing of a request, step, order or roll-out.
enum class decision_kind : std::uint8_t {
    received,
    refused,
    routed,
    tried_again,
    resumed,
    hedged,
    asked_peers,
    claimed,
    discarded,
    finished,
    ordered,
};

/// Returns the name of the kind. Thread safe.
[[nodiscard]] std::string_view name_of(decision_kind kind);

/// One decision: what was chosen, from how many candidates, and how old the
/// data was that it was based on.
struct decision {
    decision_kind kind = decision_kind::received;
    result_code code = result_code::ok;
    upstream_id upstream;
    /// Number of upstreams that were considered.
    std::uint32_t candidates = 0;
    /// Age of the load report that the choice was based on.
    std::chrono::milliseconds report_age{0};
    /// Time since the first decision about the same subject.
    std::chrono::microseconds elapsed{0};
    std::string detail;
};
BOOST_DESCRIBE_STRUCT(decision, (),
                      (kind, code, upstream, candidates, report_age, elapsed,
                       detail))

/// The decisions about one subject, oldest first.
struct decision_record {
    std::string subject;
    std::vector<decision> decisions;
    /// Number of decisions that were discarded because the record was full.
    std::uint32_t dropped = 0;
};
BOOST_DESCRIBE_STRUCT(decision_record, (), (subject, decisions, dropped))

struct decision_log_options {
    std::size_t max_records = 4'096;
    std::size_t max_decisions_per_record = 64;
};

/// The decision records of one instance. Keeps a bounded number of subjects and
/// removes the oldest ones first. Thread safe.
class decision_log {
public:
    explicit decision_log(decision_log_options options)
        : options_(options) {}

    /// Adds a decision about a subject. Overwrites `what.elapsed` with the time
    /// from the first decision about the subject to `now`.
    void add(const std::string& subject, decision what, steady_time now);

    /// Returns the record of a subject. It has no decisions if the subject is
    /// unknown or its record has been removed.
    [[nodiscard]] decision_record find(const std::string& subject) const;

    /// Number of subjects with a record.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        decision_record record;
        steady_time first_decision_at{};
    };

    const decision_log_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, entry> entries_;
    /// Subjects, oldest first.
    std::deque<std::string> insertion_order_;
};

} // namespace savorydock

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

/// What happened to a request, step, order or roll-out.
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

/// Returns the name of a kind. Thread safe.
[[nodiscard]] std::string_view name_of(decision_kind kind);

/// One decision: what was known, how old it was, and what was chosen.
struct decision {
    decision_kind kind = decision_kind::received;
    result_code code = result_code::ok;
    upstream_id upstream;
    /// Upstreams that could have been chosen.
    std::uint32_t candidates = 0;
    /// Age of the reports that the choice rests on.
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
    /// Decisions beyond the limit of one record, which were not kept.
    std::uint32_t dropped = 0;
};
BOOST_DESCRIBE_STRUCT(decision_record, (), (subject, decisions, dropped))

struct decision_log_options {
    std::size_t max_records = 4'096;
    std::size_t max_decisions_per_record = 64;
};

/// The last decisions of one instance, bounded in number. Thread safe.
class decision_log {
public:
    explicit decision_log(decision_log_options options)
        : options_(options) {}

    /// Adds a decision about a subject; `elapsed` is set from `now`.
    void add(const std::string& subject, decision what, steady_time now);

    /// The record of a subject; it has no decisions if there is none or it
    /// was overwritten.
    [[nodiscard]] decision_record find(const std::string& subject) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        decision_record record;
        steady_time began{};
    };

    const decision_log_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, entry> entries_;
    std::deque<std::string> order_;
};

} // namespace savorydock

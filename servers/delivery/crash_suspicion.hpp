#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/delivery/delivery_message.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// Suspicion state of one request, read by the traffic threads.
struct suspect {
    /// The request is refused with `not_run_suspect_request`.
    bool is_blocked = false;
    /// Upstreams that were lost while running the request; it must not be sent
    /// to them again.
    std::vector<upstream_id> excluded;
};

/// Suspected requests by fingerprint. Immutable, hence thread safe.
using suspect_view = std::map<std::string, suspect, std::less<>>;

/// A run whose upstream was lost after bytes of the request had been sent.
struct lost_run {
    service_name service;
    upstream_id upstream;
    /// Start time of the upstream's process in Unix milliseconds, which tells
    /// apart two crashes of an upstream that keeps its id; 0 if not known.
    std::uint64_t upstream_started_at = 0;
    std::string fingerprint;
    /// The run had a permit, so no other suspect ran on the upstream.
    bool is_sole_suspect = false;
};

struct crash_suspicion_options {
    instance_id self;
    /// Unique over the restarts of this instance.
    std::string boot;
    /// A request with this many distinct marks is blocked.
    std::size_t marks_to_block = 2;
    /// How long a mark stays valid.
    std::chrono::milliseconds mark_lifetime{600'000};
    /// The loss of this many upstreams within `partition_window`, with no
    /// request common to all of them, counts as a network partition and not as
    /// crashes. Absent: every loss counts as a crash.
    std::optional<std::size_t> partition_upstreams = 3;
    std::chrono::milliseconds partition_window{2'000};
    std::size_t max_marks = 8'192;
};

/// Tracks which requests were running when upstreams were lost, to find
/// requests that crash upstreams.
///
/// Each loss of an upstream adds a mark to every request that ran there. A
/// request with enough distinct marks is blocked; a request that finishes is
/// cleared. Marks and clearings are sets with unique members, so merging
/// updates in any order and any number of times gives the same state on all
/// instances. Control thread only.
class crash_suspicion {
public:
    explicit crash_suspicion(crash_suspicion_options options);

    /// Marks the requests that ran on lost upstreams. Returns the update to
    /// send to the peers.
    [[nodiscard]] suspicion_update
    record_loss(const std::vector<lost_run>& runs, steady_time now);

    /// Removes all marks of a request, because it finished or an operator
    /// cleared it. Later marks count again. Returns the update to send to the
    /// peers.
    [[nodiscard]] suspicion_update clear(std::string_view fingerprint,
                                         steady_time now);

    /// Merges the update of another instance. Its content is not trusted.
    void merge(const suspicion_update& update, steady_time now);

    /// Removes expired marks and clearings.
    void expire(steady_time now);

    [[nodiscard]] bool is_blocked(std::string_view fingerprint) const;
    /// Number of distinct marks of the request.
    [[nodiscard]] std::size_t marks_of(std::string_view fingerprint) const;
    /// Whether no request has a mark.
    [[nodiscard]] bool is_empty() const { return marks_.empty(); }
    [[nodiscard]] std::shared_ptr<const suspect_view> view() const;

private:
    struct stored_mark {
        crash_mark mark;
        steady_time end{};
    };
    struct recent_loss {
        steady_time time{};
        upstream_id upstream;
        std::set<std::string> fingerprints;
        std::vector<std::string> incidents;
    };

    [[nodiscard]] bool add(const crash_mark& mark, steady_time end);
    void remove(const std::string& incident, steady_time now);
    [[nodiscard]] bool is_partition(steady_time now);

    crash_suspicion_options options_;
    std::uint64_t last_incident_ = 0;
    std::map<std::string, stored_mark> marks_;
    std::map<std::string, std::set<std::string>, std::less<>> by_fingerprint_;
    /// Cleared incidents and when to forget them; marks of these that arrive
    /// late are ignored.
    std::map<std::string, steady_time> cleared_;
    std::deque<recent_loss> recent_;
};

} // namespace savorydock

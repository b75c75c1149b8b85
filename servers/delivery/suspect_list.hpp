#pragma once

#include "core/clock.hpp"
#include "servers/delivery/crash_suspicion.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// A mark as it is shared with other instances.
struct shared_mark {
    crash_mark mark;
    /// The request has finished since, so the mark no longer counts.
    bool is_cleared = false;
};
BOOST_DESCRIBE_STRUCT(shared_mark, (), (mark, is_cleared))

struct suspect_list_options {
    instance_id self;
    /// Unique over the restarts of this instance.
    std::string boot;
    /// A request is blocked once this many upstreams were lost while they ran
    /// it.
    std::size_t marks_to_block = 3;
    /// How long a mark stays valid.
    std::chrono::milliseconds mark_lifetime{600'000};
    /// A request's only mark is shared after this time: a sound request that
    /// ran beside a crashing one has usually finished elsewhere by then.
    std::chrono::milliseconds single_mark_delay{300};
};

/// Blocks requests that crash upstreams, across all attempts of their callers
/// and all instances.
///
/// Load pattern: a caller sends the same request again and again through
/// different instances, and each upstream that runs it crashes, together with
/// the sound requests beside it. Each loss of an upstream marks the requests
/// that ran there. Marks are shared; a request with marks of enough upstreams
/// is refused everywhere. A request that finishes loses its marks.
///
/// Not thread safe; deterministic.
class suspect_list {
public:
    explicit suspect_list(suspect_list_options options);

    /// Whether the request with this fingerprint must not be sent any more.
    [[nodiscard]] bool is_blocked(std::string_view fingerprint,
                                  steady_time now);
    /// Number of upstreams that were lost while they ran the request.
    [[nodiscard]] std::size_t marks_of(std::string_view fingerprint) const {
        return suspicion_.marks_of(fingerprint);
    }
    /// Whether no request has a mark. Saves computing fingerprints.
    [[nodiscard]] bool is_empty() const { return suspicion_.is_empty(); }
    /// How long a blocked request stays blocked at most.
    [[nodiscard]] std::chrono::milliseconds mark_lifetime() const {
        return options_.mark_lifetime;
    }

    /// The connection to the upstream was lost while it ran the request.
    void on_run_lost(const std::string& fingerprint,
                     const upstream_entry& upstream, steady_time now);
    /// An upstream has answered the request. Returns whether it had marks.
    bool on_run_finished(std::string_view fingerprint, steady_time now);

    /// Adds a mark or clearing that another instance has shared.
    void merge(const shared_mark& shared, steady_time now);

    /// Returns the marks and clearings to share now.
    [[nodiscard]] std::vector<shared_mark> take_due(steady_time now);
    /// Returns what could not be shared to the list.
    void put_back(std::vector<shared_mark> marks, steady_time now);
    /// When `take_due` has something to share next; nothing if never.
    [[nodiscard]] std::optional<steady_time> next_due() const;
    /// Sets the handler that is called when `next_due` may have become earlier.
    void on_due_changed(std::function<void()> handler) {
        on_due_changed_ = std::move(handler);
    }

private:
    struct pending_mark {
        shared_mark shared;
        steady_time due;
        /// An earlier attempt to share it may have succeeded.
        bool may_be_known = false;
    };

    void expire(steady_time now);

    suspect_list_options options_;
    crash_suspicion suspicion_;
    steady_time next_expiry_{};
    /// By incident.
    std::map<std::string, pending_mark> pending_;
    std::function<void()> on_due_changed_ = [] {};
};

} // namespace savorydock

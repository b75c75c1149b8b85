#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/delivery/delivery_message.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// What is held against one request, for traffic to read.
struct suspect {
    /// It is refused with `not_run_suspect_request`.
    bool is_held = false;
    /// Upstreams that were lost while it ran; it must not go there again.
    std::vector<upstream_id> excluded;
};

/// Requests under suspicion by fingerprint. Immutable, hence thread safe.
using suspect_view = std::map<std::string, suspect, std::less<>>;

/// A run that ended with the loss of its upstream after bytes were sent.
struct run_lost {
    service_name service;
    upstream_id upstream;
    std::string fingerprint;
    /// It ran under a permit, hence without another suspect beside it.
    bool is_alone = false;
};

struct crash_suspicion_options {
    instance_id self;
    /// Unique over the restarts of this instance.
    std::string boot;
    /// How long a mark holds.
    std::chrono::milliseconds lapse{600'000};
    /// So many upstreams lost within `cut_window` without one request common
    /// to all are a cut of the network, not crashes.
    std::size_t cut_upstreams = 3;
    std::chrono::milliseconds cut_window{2'000};
    std::size_t max_marks = 8'192;
};

/// Which requests coincide with the loss of upstreams.
///
/// Every loss of an upstream marks each request that ran there. A request with
/// two distinct marks is held; one that finishes is cleared. Marks and
/// clearings are sets with unique members: merged in any order and number of
/// times they give the same state on all instances. Control thread only.
class crash_suspicion {
public:
    explicit crash_suspicion(crash_suspicion_options options);

    /// Marks the requests of a loss. Returns what the peers must hear.
    [[nodiscard]] suspicion_update note_loss(const std::vector<run_lost>& runs,
                                             steady_time now);

    /// Clears a request: it has finished, or an operator says so. Marks made
    /// after this count anew. Returns what the peers must hear.
    [[nodiscard]] suspicion_update clear(std::string_view fingerprint,
                                         steady_time now);

    /// Takes what another instance knows. Its content is not trusted.
    void merge(const suspicion_update& update, steady_time now);

    /// Drops what has lapsed.
    void expire(steady_time now);

    [[nodiscard]] bool is_held(std::string_view fingerprint) const;
    [[nodiscard]] std::shared_ptr<const suspect_view> view() const;

private:
    struct kept_mark {
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
    [[nodiscard]] bool is_cut(steady_time now);

    crash_suspicion_options options_;
    std::uint64_t last_incident_ = 0;
    std::map<std::string, kept_mark> marks_;
    std::map<std::string, std::set<std::string>, std::less<>> by_fingerprint_;
    /// Incidents that stay cleared, so that a late mark does not return.
    std::map<std::string, steady_time> cleared_;
    std::deque<recent_loss> recent_;
};

} // namespace savorydock

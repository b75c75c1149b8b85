#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/limits/token_bucket.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace savorydock {

/// The part of an upstream's limit that one sender uses.
struct limit_part {
    /// Greater than 0: a sender that sends nothing would not notice that the
    /// limit was lifted.
    double requests_per_second = 0;
    /// Requests that may be sent at once after a pause; at least 1.
    double burst = 1;
    /// Whether the first request has to wait, like all later ones.
    bool starts_empty = false;
};

/// Divides an upstream's limit, in requests per second, among its senders.
using limit_division = std::function<limit_part(
    const upstream_id&, double requests_per_second, steady_time now)>;

/// Keeps the requests of one sender within the rates that upstreams have named
/// in their answers.
///
/// Load pattern: some upstreams of a service are in trouble and accept fewer
/// requests than arrive, from all instances together.
///
/// Not thread safe; deterministic.
class upstream_limits {
public:
    explicit upstream_limits(limit_division divide);

    /// Records the limit that an answer of the upstream names, or that it names
    /// none. Ignores answers that are older than the latest one. Returns
    /// whether the known limit changed.
    bool on_answer(const upstream_id& upstream,
                   std::optional<double> requests_per_second,
                   steady_time answered_at);

    /// Forgets the limits of all other upstreams.
    void retain(const std::set<upstream_id>& upstreams);

    /// The limit for all senders together; nothing if there is none.
    [[nodiscard]] std::optional<double>
    limit_of(const upstream_id& upstream) const;

    /// The earliest time for the next request, which is `now` without a limit.
    [[nodiscard]] steady_time next_send_time(const upstream_id& upstream,
                                             steady_time now) const;

    /// Counts a request that is sent at `next_send_time`.
    void reserve(const upstream_id& upstream, steady_time now);

private:
    struct named_limit {
        /// Absent: the latest answer named none.
        std::optional<double> requests_per_second;
        steady_time answered_at;
        steady_time divided_at;
        /// Set while there is a limit.
        std::unique_ptr<token_bucket> bucket;
    };

    void divide(const upstream_id& upstream, named_limit& limit,
                steady_time now);

    limit_division divide_;
    std::map<upstream_id, named_limit> limits_;
};

} // namespace savorydock

#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <map>
#include <optional>

namespace savorydock {

struct upstream_limits_options {
    /// A limit that no answer has confirmed for this long no longer applies.
    std::chrono::milliseconds limit_lifetime{10'000};
};

/// The request rates that upstreams have named in their answers.
///
/// Not thread safe; deterministic.
class upstream_limits {
public:
    explicit upstream_limits(upstream_limits_options options = {});

    /// Records the limit that an answer of the upstream names, or that it names
    /// none. Returns whether the known limit changed.
    bool on_answer(const upstream_id& upstream, std::optional<double> limit,
                   steady_time now);

    /// Requests per second of all instances; nothing if there is no limit.
    [[nodiscard]] std::optional<double> limit_of(const upstream_id& upstream,
                                                 steady_time now) const;

private:
    struct named_limit {
        double requests_per_second = 0;
        steady_time confirmed_at;
    };

    upstream_limits_options options_;
    std::map<upstream_id, named_limit> limits_;
};

} // namespace savorydock

#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/cost/upstream_sum.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace savorydock {

/// What one instance's calls showed since its last report, sent to the feeder
/// of its zone.
struct work_report {
    std::vector<upstream_sum> sums;
};
BOOST_DESCRIBE_STRUCT(work_report, (), (sums))

/// Adds up the reports of a zone's instances on the feeder, and takes an
/// instance's own part out of the zone's sums.
///
/// Load pattern: many instances, most of them idle, that each know only their
/// own calls; messages that arrive late, twice or not at all.
///
/// Not thread safe; deterministic.
class work_exchange {
public:
    /// A report counts for this time, somewhat more than two periods.
    static constexpr std::chrono::milliseconds report_lifetime{800};
    /// Sums beyond this number in a message are left out.
    static constexpr std::size_t max_sums = 256;

    /// Records a report of another instance.
    void on_report(const instance_id& from, std::vector<upstream_sum> sums,
                   steady_time now);

    /// Returns the sums of the reports that still count, and of `own`, which is
    /// also remembered like by `on_sent`.
    [[nodiscard]] std::vector<upstream_sum>
    add_up(const std::vector<upstream_sum>& own, steady_time now);

    /// Remembers what this instance has reported.
    void on_sent(const std::vector<upstream_sum>& own);

    /// Returns the sums without this instance's part.
    [[nodiscard]] std::vector<upstream_sum>
    without_own(std::vector<upstream_sum> sums) const;

private:
    struct report {
        std::vector<upstream_sum> sums;
        steady_time received_at;
    };

    std::map<instance_id, report> reports_;
    std::map<upstream_id, upstream_sum> own_;
};

} // namespace savorydock

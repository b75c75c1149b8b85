#pragma once

#include "core/clock.hpp"
#include "servers/duties/worker_demand.hpp"
#include "servers/fleet/fleet_configuration.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace savorydock {

/// Workers of a service that are ordered together.
struct worker_group {
    service_name service;
    availability_zone zone;
    bool is_reclaimable = false;

    auto operator<=>(const worker_group&) const = default;
};

struct worker_order {
    worker_group group;
    std::uint32_t count = 0;

    bool operator==(const worker_order&) const = default;
};

/// How the platform answered an order.
enum class order_end : std::uint8_t {
    accepted,
    /// No such workers are available now.
    unavailable,
    /// There was no answer; the order may still be carried out.
    unknown,
};

struct worker_scaling_options {
    /// Work is planned as if it were larger by this factor, because lengths are
    /// estimates.
    double headroom = 1.2;
    /// Rate of a slot that hasn't been measured, in tokens per second.
    double default_slot_rate = 40;
    /// Share of the slots that callers' requests may fill.
    double max_slot_use = 0.7;
    /// Share of the workers that can't be reclaimed.
    double min_lasting_share = 0.25;
    /// A number shrinks once it has been too large for so long.
    std::chrono::milliseconds shrink_delay{10'000};
    /// Nothing is ordered in a group for this long after a refusal or reclaim.
    std::chrono::milliseconds block_time{10'000};
    std::chrono::milliseconds min_order_interval{1'000};
    /// Longest interval between orders that aren't answered.
    std::chrono::milliseconds max_retry_interval{2'000};
    /// An order is repeated if other numbers of workers than ordered are there
    /// for this long in addition to the start time: an earlier order without an
    /// answer may have been carried out after it.
    std::chrono::milliseconds mismatch_time{10'000};
    /// Older demand isn't used; the last orders stay.
    std::chrono::milliseconds demand_lifetime{5'000};
    /// Least time in which late work is planned to be done.
    std::chrono::milliseconds min_work_time{2'000};
};

/// Decides how many workers of each service, zone and kind to order.
///
/// Load pattern: demand comes in bursts of jobs with due times, workers start
/// seconds after their order, and all reclaimable workers of a zone may leave
/// at once. Numbers grow at once and shrink after a delay, so that bursts that
/// follow each other don't cause orders. Enough workers are ordered that the
/// work is done in time also without the reclaimable ones of one zone.
///
/// Not thread safe; deterministic.
class worker_scaling {
public:
    explicit worker_scaling(worker_scaling_options options = {})
        : options_(options) {}

    /// A new holder: forgets orders, but not the demand.
    void reset();

    /// Sets the services that can be scaled, and all upstreams. Reclaimable
    /// ones that start to drain without an order are taken for a reclaim.
    void on_fleet(const std::vector<service_rule>& services,
                  const std::vector<upstream_entry>& upstreams,
                  steady_time now);

    /// Services with batch jobs. Nothing is decided about them without the
    /// demand of their planners.
    void set_planned(std::set<service_name> services) {
        planned_ = std::move(services);
    }

    /// Demand from the instance, its planner's work or its callers' requests.
    void on_demand(const instance_id& from, worker_demand demand,
                   steady_time now);

    /// The orders to send now. Each group has at most one order under way.
    [[nodiscard]] std::vector<worker_order> next_orders(steady_time now);
    void on_answer(const worker_order& order, order_end end, steady_time now);

    /// Number of workers of the service that its work needs, without those
    /// that stand in for reclaimed ones; nothing if unknown.
    [[nodiscard]] std::optional<std::uint32_t>
    needed_workers(const service_name& service, steady_time now) const;

private:
    struct group_state {
        std::uint32_t present = 0;
        /// The last number that the platform took; nothing before.
        std::optional<std::uint32_t> ordered;
        /// The number that an order under way has.
        std::optional<std::uint32_t> sending;
        /// Planned numbers of the last `shrink_delay`.
        std::deque<std::pair<steady_time, std::uint32_t>> planned;
        std::optional<steady_time> blocked_until;
        std::optional<steady_time> shrunk_at;
        /// Since when other numbers of workers than ordered are there.
        std::optional<steady_time> mismatch_since;
        steady_time next_order_at{};
        std::uint32_t unanswered = 0;
    };
    struct known_demand {
        worker_demand demand;
        steady_time received_at;
    };

    struct open_requests {
        std::uint64_t count = 0;
        steady_time received_at;
    };

    /// Workers for the open batch jobs; nothing if unknown.
    [[nodiscard]] std::optional<double>
    needed_for_jobs(const service_rule& service, steady_time now) const;
    [[nodiscard]] std::optional<double>
    needed_for_callers(const service_rule& service, steady_time now) const;
    [[nodiscard]] double slots_of(const service_rule& service) const;

    using plan = std::map<worker_group, std::uint32_t>;

    [[nodiscard]] bool is_blocked(const worker_group& group,
                                  steady_time now) const;
    [[nodiscard]] std::uint32_t base_of(const group_state& group) const;
    [[nodiscard]] plan make_plan(const service_rule& service,
                                 std::uint32_t needed, steady_time now) const;
    void update_targets(const service_rule& service, std::uint32_t needed,
                        steady_time now);
    [[nodiscard]] std::uint32_t target_of(const group_state& group) const;
    /// Whether workers of the service were ordered since `reset`.
    [[nodiscard]] bool has_ordered(const service_name& service) const;
    void add_order(const worker_group& id, group_state& group,
                   std::uint32_t target, steady_time now,
                   std::vector<worker_order>& orders);

    worker_scaling_options options_;
    std::map<service_name, service_rule> services_;
    std::set<service_name> planned_;
    /// Slots of one worker.
    std::map<service_name, std::uint32_t> slots_;
    std::map<service_name, std::map<instance_id, open_requests>> open_;
    std::map<service_name, known_demand> demands_;
    std::map<worker_group, group_state> groups_;
    std::set<upstream_id> draining_;
};

} // namespace savorydock

#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "core/state_chart.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/control_server.hpp"
#include "servers/membership/upstream_registry.hpp"
#include "servers/routing/upstream_state.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace savorydock {

struct upstream_health_options {
    availability_zone zone;
    /// The failure score restarts if the previous failure is older than this.
    std::chrono::milliseconds failure_window{10'000};
    /// How long a suspicion stays local before peers are notified. In a network
    /// partition many upstreams become suspected within this time, so the
    /// partition is recognised before the first suspicion is announced.
    std::chrono::milliseconds announce_delay{1'000};
    /// Minimum time between probes of a suspected upstream; the actual time is
    /// random, up to twice this.
    std::chrono::milliseconds probe_period{2'000};
    /// How long a probed upstream is treated as serving, so that requests show
    /// whether it answers.
    std::chrono::milliseconds probe_window{1'000};
    /// A recovery reported by peers takes effect after a random delay of up to
    /// this, so that not all instances send to the upstream at once.
    std::chrono::milliseconds recovery_jitter{2'000};
    /// A leaving upstream that was not registered again is probed after this
    /// time without a new report that it is leaving.
    std::chrono::milliseconds leaving_timeout{300'000};
};

/// Determines the condition of upstreams from observations of traffic, reports
/// of peers and the platform's list. Not thread safe; deterministic apart from
/// the random source.
class upstream_health {
public:
    /// Returns whether this instance is the one in its zone that probes the
    /// upstream.
    using prober_predicate = std::function<bool(const upstream_key&)>;

    /// The chart must pass `check_chart`. The chart and the random source
    /// must outlive the object.
    upstream_health(const state_chart& chart, upstream_health_options options,
                    random_source& random);

    /// Errors: `invalid_chart`.
    [[nodiscard]] static outcome<done> check_chart(const state_chart& chart);

    void on_configuration(const configuration_view& view);

    /// Handles an observation of traffic. `list_revision` is the newest known
    /// revision of the platform's list.
    void observe(const upstream_observation& observation,
                 store_revision list_revision, steady_time now,
                 command_list& out);

    /// Merges a record from another instance.
    void merge(const upstream_record& record, steady_time now,
               command_list& out);

    /// Handles an entry of the platform's list. `created` and `modified` are
    /// the store revisions of its creation and last change.
    void on_listed(const upstream_key& key, store_revision created,
                   store_revision modified, bool is_leaving, steady_time now,
                   command_list& out);

    void tick(steady_time now, const prober_predicate& is_prober,
              command_list& out);

    /// Returns the upstreams whose records changed since the last call and are
    /// to be gossiped.
    [[nodiscard]] std::vector<upstream_key> take_updates();

    /// Returns the upstreams whose condition is not serving. Immutable.
    [[nodiscard]] std::shared_ptr<const upstream_state_map> states();

    [[nodiscard]] const upstream_registry& registry() const {
        return registry_;
    }
    /// Number of groups (service and zone) that appear cut off from this
    /// instance.
    [[nodiscard]] std::size_t cut_off_group_count() const {
        return cut_off_groups_.size();
    }

private:
    struct tracked_upstream {
        explicit tracked_upstream(const state_chart& chart)
            : lifecycle(chart) {}

        chart_position lifecycle;
        std::uint32_t failure_score = 0;
        steady_time last_failure{};
        steady_time last_answer{};
        /// When to announce a suspicion to peers; the epoch if none is pending.
        steady_time announce_at{};
        steady_time probe_at{};
        steady_time probe_ends_at{};
        /// When a recovery reported by peers takes effect; the epoch if none is
        /// pending.
        steady_time recover_at{};
        steady_time leave_reported_at{};
        store_revision known_leaving_through = 0;
    };
    using group_key = std::pair<service_name, availability_zone>;

    tracked_upstream& find_or_add(const upstream_key& key);
    void note_failure(const upstream_key& key, std::uint32_t weight,
                      steady_time now, command_list& out);
    void note_answer(const upstream_key& key, steady_time now,
                     command_list& out);
    void note_reported_leaving(const upstream_key& key,
                               store_revision list_revision, steady_time now,
                               command_list& out);
    void apply_registry(const upstream_key& key, steady_time now,
                        command_list& out);
    void apply_reports(const upstream_key& key, tracked_upstream& entry,
                       steady_time now, command_list& out);
    void tick_entry(const upstream_key& key, tracked_upstream& entry,
                    steady_time now, const prober_predicate& is_prober,
                    command_list& out);
    void tick_probe(const upstream_key& key, tracked_upstream& entry,
                    steady_time now, const prober_predicate& is_prober);
    void update_cut_off_groups(command_list& out);
    [[nodiscard]] bool is_group_cut_off(const upstream_key& key) const;
    bool fire(const upstream_key& key, tracked_upstream& entry,
              std::string_view event, command_list& out);
    void suspect(const upstream_key& key, tracked_upstream& entry,
                 steady_time now, command_list& out);
    [[nodiscard]] steady_time next_probe(steady_time now);

    const state_chart& chart_;
    const upstream_health_options options_;
    random_source& random_;
    upstream_registry registry_;
    std::map<upstream_key, availability_zone> configured_;
    std::map<group_key, std::uint32_t> group_sizes_;
    std::map<upstream_key, tracked_upstream> entries_;
    std::set<group_key> cut_off_groups_;
    std::set<upstream_key> updated_keys_;
    std::shared_ptr<const upstream_state_map> states_;
};

} // namespace savorydock

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
    /// Failures older than this do not count together with newer ones.
    std::chrono::milliseconds failure_window{10'000};
    /// How long a suspicion is kept to oneself, so that a cut shows itself
    /// as many of them before the first is told.
    std::chrono::milliseconds announce_after{1'000};
    std::chrono::milliseconds probe_period{2'000};
    std::chrono::milliseconds probe_window{1'000};
    /// A recovery that was only heard of takes effect within this, at
    /// random, so that an upstream is not met by all instances at once.
    std::chrono::milliseconds return_spread{2'000};
    /// After that long without new evidence a leaving upstream that the
    /// platform never registered anew is probed.
    std::chrono::milliseconds leaving_hold{300'000};
};

/// Judges upstreams by what traffic saw, what peers report and what the
/// platform's list says. Not thread safe; deterministic but for the random
/// source.
class upstream_health {
public:
    /// Whether this instance is the one of its zone that probes the upstream.
    using prober_test = std::function<bool(const upstream_key&)>;

    /// The chart must pass `check_chart`. The chart and the random source
    /// must outlive the object.
    upstream_health(const state_chart& chart, upstream_health_options options,
                    random_source& random);

    /// Errors: `invalid_chart`.
    [[nodiscard]] static outcome<done> check_chart(const state_chart& chart);

    void on_configuration(const configuration_view& view);

    /// What traffic saw. `list_revision` is the newest revision known.
    void observe(const upstream_observation& observation,
                 store_revision list_revision, steady_time now,
                 command_list& out);

    /// A record from another instance.
    void merge(const upstream_record& record, steady_time now,
               command_list& out);

    /// An entry of the platform's list.
    void on_listed(const upstream_key& key, store_revision created,
                   store_revision modified, bool is_leaving, steady_time now,
                   command_list& out);

    void tick(steady_time now, const prober_test& is_prober, command_list& out);

    /// Upstreams whose record others should hear of, since the last call.
    [[nodiscard]] std::vector<upstream_key> take_news();

    /// Every upstream that is not simply serving. Immutable.
    [[nodiscard]] std::shared_ptr<const upstream_state_map> states();

    [[nodiscard]] const upstream_registry& registry() const {
        return registry_;
    }
    /// Groups (service and zone) that look cut off from this instance.
    [[nodiscard]] std::size_t cut_groups() const { return cuts_.size(); }

private:
    struct upstream_entry {
        explicit upstream_entry(const state_chart& chart)
            : life(chart) {}

        chart_position life;
        std::uint32_t failure_score = 0;
        steady_time last_failure{};
        steady_time last_answer{};
        /// When to tell others of a suspicion; the epoch if there is none.
        steady_time announce_at{};
        steady_time probe_at{};
        steady_time probe_ends_at{};
        /// When a recovery heard of takes effect; the epoch if there is none.
        steady_time recover_at{};
        steady_time left_at{};
        store_revision left_through = 0;
    };
    using group_key = std::pair<service_name, availability_zone>;

    upstream_entry& obtain(const upstream_key& key);
    void note_failure(const upstream_key& key, std::uint32_t weight,
                      steady_time now, command_list& out);
    void note_answer(const upstream_key& key, steady_time now,
                     command_list& out);
    void note_said_leaving(const upstream_key& key,
                           store_revision list_revision, steady_time now,
                           command_list& out);
    void follow_registry(const upstream_key& key, steady_time now,
                         command_list& out);
    void follow_reports(const upstream_key& key, upstream_entry& entry,
                        steady_time now, command_list& out);
    void tick_entry(const upstream_key& key, upstream_entry& entry,
                    steady_time now, const prober_test& is_prober,
                    command_list& out);
    void tick_probe(const upstream_key& key, upstream_entry& entry,
                    steady_time now, const prober_test& is_prober);
    void judge_cuts(command_list& out);
    [[nodiscard]] bool is_cut(const upstream_key& key) const;
    bool fire(const upstream_key& key, upstream_entry& entry,
              std::string_view event, command_list& out);
    void suspect(const upstream_key& key, upstream_entry& entry,
                 steady_time now, command_list& out);
    [[nodiscard]] steady_time next_probe(steady_time now);

    const state_chart& chart_;
    const upstream_health_options options_;
    random_source& random_;
    upstream_registry registry_;
    std::map<upstream_key, availability_zone> configured_;
    std::map<group_key, std::uint32_t> group_sizes_;
    std::map<upstream_key, upstream_entry> entries_;
    std::set<group_key> cuts_;
    std::set<upstream_key> news_;
    std::shared_ptr<const upstream_state_map> states_;
};

} // namespace savorydock

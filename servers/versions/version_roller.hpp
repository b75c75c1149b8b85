#pragma once

#include "core/clock.hpp"
#include "servers/fleet/upstream_entry.hpp"
#include "servers/versions/version_order.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorydock {

struct version_roller_options {
    /// The instance's name in its orders.
    std::string holder;
    /// Share of a service's upstreams that load at once; more make each load
    /// slower (sheets of the users' sites: 2 of 9, 8 of 38, 9 of 45).
    double loading_share = 0.21;
    /// How long a load takes at most when it goes well (sheets: 0.9 s).
    std::chrono::milliseconds load_time{1'000};
    /// An accepted order that doesn't show in the upstream's entry by then is
    /// given again; covers heartbeat and lag of the list.
    std::chrono::milliseconds confirm_time{4'000};
    /// Pause before an order that failed is tried again.
    std::chrono::milliseconds retry_pause{300};
    /// Share of the engines that get a version although they are busy, where
    /// one model is served; with more models each gets its part of the engines.
    double prompt_share = 0.5;
};

/// What the roller wants done: an order, or a look at an upstream's load.
struct roller_commands {
    std::vector<version_order> orders;
    std::vector<upstream_id> load_requests;
};

/// What the roller asks about the work of the engines.
class engine_work {
public:
    virtual ~engine_work() = default;

    /// Runs of the model in progress on an upstream.
    [[nodiscard]] virtual std::size_t
    runs_on(const upstream_id& upstream, const std::string& model) const = 0;
    /// The oldest version that all open jobs of the model allow; 0: any.
    [[nodiscard]] virtual weight_version
    min_allowed_version(const std::string& model) const = 0;
    /// Whether items of the model wait for a slot.
    [[nodiscard]] virtual bool has_waiting(const std::string& model) const = 0;
};

/// Moves the engines of one service to the versions that trainers named.
///
/// Load pattern: a version every few seconds, named at the very moment at which
/// the next job arrives, while a load costs each run on the engine a pause of a
/// second, and a job allows the version before its own. So busy engines load
/// until half of them hold the wanted version, those with the oldest version
/// first: each half skips every other version. The rest load when they are
/// idle, or when an open job doesn't allow their version any more. A bounded
/// share loads at a time.
///
/// Several models on the same engines would need more loads than that share
/// allows, and a model at the end of the queue would have no engine at all. So
/// each model's version goes to its part of the engines only, to more of them
/// only while its items wait, and the model with the fewest engines that its
/// jobs can use loads next, on an engine that serves few other models.
///
/// Orders are absolute and carry the number of orders accepted before, so one
/// that is carried out late fails. Not thread safe; deterministic.
class version_roller {
public:
    /// `work` must outlive the roller.
    version_roller(version_roller_options options, const engine_work& work);

    /// Begins a term as the holder, or ends it.
    void on_term(std::optional<fencing_number> term);

    void on_wanted(const std::string& model, weight_version version);

    /// The upstreams of the service, as listed now.
    void on_upstreams(const std::vector<upstream_entry>& upstreams,
                      steady_time now);

    void on_answer(const version_order& order, order_answer answer,
                   steady_time now);
    /// Nothing: the upstream did not tell its load.
    void on_load(const upstream_id& upstream,
                 const std::optional<upstream_load>& load, steady_time now);

    /// Gives the orders that are due.
    [[nodiscard]] roller_commands advance(steady_time now);

    /// The next time at which `advance` may have something to do.
    [[nodiscard]] std::optional<steady_time> next_wakeup() const;

    /// Whether an upstream refuses new runs of the model for a load.
    [[nodiscard]] bool is_loading(const upstream_id& upstream,
                                  const std::string& model,
                                  steady_time now) const;

private:
    struct upstream_progress {
        upstream_entry entry;
        std::uint64_t accepted_orders = 0;
        /// Versions that accepted orders lead to.
        std::map<std::string, weight_version> ordered;
        std::map<std::string, steady_time> ordered_at;
        /// The order in flight or being carried out.
        std::optional<version_order> current;
        bool is_accepted = false;
        /// The count of accepted orders isn't known and must be asked for.
        bool is_load_wanted = true;
        bool is_load_asked = false;
        steady_time busy_until{};
        steady_time not_before{};
    };

    /// What counts for all orders of one model.
    struct model_view {
        weight_version wanted = 0;
        weight_version least = 0;
        bool has_waiting = false;
        /// Engines that serve the model.
        std::size_t engines = 0;
        /// Those that hold the wanted version, or are on the way to it.
        std::size_t current = 0;
        /// Those whose version all open jobs allow, or soon will.
        std::size_t usable = 0;
    };
    using model_views = std::map<std::string, model_view>;

    /// A load that may be ordered.
    struct candidate {
        upstream_progress* progress = nullptr;
        const std::string* model = nullptr;
        weight_version held = 0;
        std::size_t runs = 0;
        /// Other models whose jobs can use the engine.
        std::size_t other_models = 0;
    };

    [[nodiscard]] model_views view_models(steady_time now) const;
    [[nodiscard]] bool is_on_the_way(const upstream_progress& progress,
                                     const std::string& model,
                                     weight_version wanted,
                                     steady_time now) const;
    /// Engines of a model that may load although they are busy, and idle ones.
    [[nodiscard]] std::size_t busy_target(const model_view& view) const;
    [[nodiscard]] std::size_t idle_target(const model_view& view) const;
    [[nodiscard]] bool may_load(const candidate& load,
                                const model_view& view) const;
    [[nodiscard]] std::vector<candidate>
    find_candidates(const model_views& models, steady_time now);
    /// The candidate that is ordered next, or the end.
    [[nodiscard]] std::vector<candidate>::iterator
    choose(std::vector<candidate>& candidates, const model_views& models) const;
    [[nodiscard]] version_order make_order(const candidate& load,
                                           steady_time now);
    [[nodiscard]] std::size_t loading_limit() const;
    void finish_loads(steady_time now);

    version_roller_options options_;
    const engine_work& work_;
    std::optional<fencing_number> term_;
    std::map<std::string, weight_version> wanted_;
    std::map<upstream_id, upstream_progress> upstreams_;
    /// Models that the engines serve.
    std::size_t models_ = 1;
    steady_time last_advance_{};
};

} // namespace savorydock

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

struct version_rollout_options {
    /// The name of this instance in its orders.
    std::string holder;
    /// Share of a service's upstreams that load at the same time. More
    /// concurrent loads make each one slower. This share gives 2 of 9, 8 of 38
    /// and 9 of 45 upstreams.
    double loading_share = 0.21;
    /// The longest time that a successful load takes: 0.9 s, rounded up.
    std::chrono::milliseconds load_time{1'000};
    /// An accepted order is sent again if the entry of the upstream does not
    /// show its version after this time. Covers the heartbeat interval and the
    /// delay of the upstream list.
    std::chrono::milliseconds confirm_time{4'000};
    /// Delay before a failed order or load report request is retried.
    std::chrono::milliseconds retry_pause{300};
    /// Share of the engines that load a version even while they are busy, if
    /// they serve a single model. With several models, each model's share is at
    /// most 1 / (number of models).
    double busy_load_share = 0.5;
};

/// The actions that a roll-out requests: orders to send, and upstreams whose
/// load report it needs.
struct version_rollout_commands {
    std::vector<version_order> orders;
    std::vector<upstream_id> load_report_requests;
};

/// From when on a new holder may send orders, because it keeps a distance to
/// orders that it sent before another holder.
struct order_delays {
    /// To upstreams that aren't named below.
    steady_time all_until{};
    std::map<upstream_id, steady_time> upstreams;
};

/// Gives the roll-out access to the work of the engines.
class engine_workload {
public:
    virtual ~engine_workload() = default;

    /// The number of runs of the model in progress on an upstream.
    [[nodiscard]] virtual std::size_t
    runs_on(const upstream_id& upstream, const std::string& model) const = 0;
    /// The oldest version that all open jobs of the model allow; 0: any
    /// version.
    [[nodiscard]] virtual weight_version
    min_allowed_version(const std::string& model) const = 0;
    /// Whether items of the model are waiting for a slot.
    [[nodiscard]] virtual bool has_waiting(const std::string& model) const = 0;
};

/// Moves the engines of one service to the versions that trainers publish.
///
/// Expected workload: a new version every few seconds, published at the moment
/// when the next job arrives. Loading a version pauses all runs on the engine
/// for about a second. A job also allows the version before its own. Busy
/// engines therefore load only until half of them have the target version, the
/// engines with the oldest version first, so that each half skips every other
/// version. The rest load when they are idle, or when an open job no longer
/// allows their version. Only a limited share of the engines loads at the same
/// time.
///
/// With several models on the same engines, loading every version everywhere
/// would exceed that limit, and the last model in the queue would have no
/// usable engine. So each model's version is loaded on its share of the engines
/// only, and on more only while its items wait. The model with the fewest
/// engines usable for its jobs loads next, on an engine that serves few other
/// models.
///
/// Orders are absolute. They carry the number of orders accepted before, so an
/// order that arrives late fails. Not thread safe; deterministic.
class version_rollout {
public:
    /// `workload` must outlive this object.
    version_rollout(version_rollout_options options,
                    const engine_workload& workload);

    /// Starts a term as the holder with this fencing number, or ends the term.
    void on_term(std::optional<fencing_number> term, order_delays delays = {});

    void on_target_version(const std::string& model, weight_version version);

    /// Sets the current list of the service's upstreams.
    void on_upstreams(const std::vector<upstream_entry>& upstreams,
                      steady_time now);

    void on_answer(const version_order& order, order_answer answer,
                   steady_time now);
    /// `load` is empty if the upstream did not report its load.
    void on_load_report(const upstream_id& upstream,
                        const std::optional<upstream_load_report>& load,
                        steady_time now);

    /// Returns the orders and requests that are due.
    [[nodiscard]] version_rollout_commands advance(steady_time now);

    /// The next time at which `advance` may have work; empty if only an input
    /// can give it some.
    [[nodiscard]] std::optional<steady_time> next_wakeup() const;

    /// Whether the upstream refuses new runs of the model because it is loading
    /// a version.
    [[nodiscard]] bool is_loading(const upstream_id& upstream,
                                  const std::string& model,
                                  steady_time now) const;

private:
    struct upstream_progress {
        upstream_entry entry;
        std::uint64_t accepted_orders = 0;
        /// The last accepted version by model.
        std::map<std::string, weight_version> ordered;
        std::map<std::string, steady_time> ordered_at;
        /// The order that is in flight or in progress.
        std::optional<version_order> current;
        bool is_accepted = false;
        /// The number of accepted orders is not known and must be requested.
        bool needs_load_report = true;
        bool is_load_report_requested = false;
        steady_time busy_until{};
        steady_time not_before{};
    };

    /// The state of one model over all engines.
    struct model_view {
        weight_version target = 0;
        weight_version oldest_allowed = 0;
        bool has_waiting = false;
        /// The number of engines that serve the model.
        std::size_t engines = 0;
        /// Those that have the target version or an order for it.
        std::size_t current = 0;
        /// Those whose current or pending version all open jobs allow.
        std::size_t usable = 0;
    };
    using model_views = std::map<std::string, model_view>;

    /// A possible order: one model on one engine.
    struct load_candidate {
        upstream_progress* progress = nullptr;
        const std::string* model = nullptr;
        weight_version held = 0;
        std::size_t runs = 0;
        /// The number of other models whose jobs can use the engine.
        std::size_t other_models = 0;
    };

    /// When the upstream may get orders of this term.
    [[nodiscard]] steady_time order_time(const upstream_id& upstream) const;
    [[nodiscard]] model_views view_models(steady_time now) const;
    [[nodiscard]] bool is_load_pending(const upstream_progress& progress,
                                       const std::string& model,
                                       weight_version target,
                                       steady_time now) const;
    /// How many engines of a model get the target version even if they are
    /// busy, and how many if they are idle.
    [[nodiscard]] std::size_t busy_load_quota(const model_view& view) const;
    [[nodiscard]] std::size_t idle_load_quota(const model_view& view) const;
    [[nodiscard]] bool may_load(const load_candidate& load,
                                const model_view& view) const;
    [[nodiscard]] std::vector<load_candidate>
    find_candidates(const model_views& models, steady_time now);
    /// Returns the candidate for the next order, or the end iterator.
    [[nodiscard]] std::vector<load_candidate>::iterator
    choose_candidate(std::vector<load_candidate>& candidates,
                     const model_views& models) const;
    [[nodiscard]] version_order make_order(const load_candidate& load,
                                           steady_time now);
    [[nodiscard]] std::size_t loading_limit() const;
    void finish_loads(steady_time now);

    version_rollout_options options_;
    const engine_workload& workload_;
    std::optional<fencing_number> term_;
    order_delays delays_;
    std::map<std::string, weight_version> targets_;
    std::map<upstream_id, upstream_progress> upstreams_;
    /// The number of models that the engines serve; at least 1.
    std::size_t model_count_ = 1;
    steady_time last_advance_{};
};

} // namespace savorydock

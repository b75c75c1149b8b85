#pragma once

#include "core/clock.hpp"
#include "servers/fleet/upstream_entry.hpp"
#include "servers/versions/version_order.hpp"

#include <chrono>
#include <functional>
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
};

/// What the roller wants done: an order, or a look at an upstream's load.
struct roller_commands {
    std::vector<version_order> orders;
    std::vector<upstream_id> load_requests;
};

/// Moves the engines of one service to the versions that trainers named.
///
/// Load pattern: a version every few seconds while all engines are busy. A
/// bounded share loads at a time, the ones with the least work first, so that
/// the others keep the slots of the step in progress.
///
/// Orders are absolute and carry the number of orders accepted before, so one
/// that is carried out late fails. Not thread safe; deterministic.
class version_roller {
public:
    /// Runs of an upstream in progress, for the order of the wave.
    using work_of = std::function<std::size_t(const upstream_id&)>;

    version_roller(version_roller_options options, work_of work);

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

    [[nodiscard]] std::optional<std::string>
    outdated_model(const upstream_progress& progress, steady_time now) const;
    [[nodiscard]] std::size_t loading_limit() const;
    void finish_loads(steady_time now);

    version_roller_options options_;
    work_of work_;
    std::optional<fencing_number> term_;
    std::map<std::string, weight_version> wanted_;
    std::map<upstream_id, upstream_progress> upstreams_;
};

} // namespace savorydock

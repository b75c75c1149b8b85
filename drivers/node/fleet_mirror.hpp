#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "drivers/store/store_mirror.hpp"
#include "servers/fleet/fleet_state.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace savorydock {

/// Callbacks of the fleet mirror.
struct fleet_events {
    /// The configuration or the list of upstreams changed.
    std::function<void()> on_fleet_update;
    /// A newer weight version of a model is wanted.
    std::function<void(const std::string& model, weight_version)> on_version;
    /// An operator requested to retire a store machine.
    std::function<void(const std::string& machine)> on_retirement;
    /// Returns when the last outage of the store ended; the epoch if there was
    /// none.
    std::function<steady_time()> outage_ended_at = [] { return steady_time{}; };
};

/// Follows the configuration, the wanted weight versions, the retirements and
/// the upstreams in the store and updates the fleet's state from them. Not
/// thread safe: all calls must come from one traffic thread.
class fleet_mirror {
public:
    /// All references must outlive `context`.
    fleet_mirror(boost::asio::io_context& context, fleet_state& fleet,
                 fleet_events events, logger& log);

    /// The listeners for changes under the operators' prefix and under the
    /// prefix of the upstreams.
    [[nodiscard]] store_mirror_listener& operator_keys() {
        return operator_listener_;
    }
    [[nodiscard]] store_mirror_listener& upstream_keys() {
        return upstream_listener_;
    }

    [[nodiscard]] const std::map<std::string, weight_version>&
    wanted_versions() const {
        return wanted_versions_;
    }
    [[nodiscard]] const std::set<std::string>& retirements() const {
        return retirements_;
    }

private:
    class operator_listener final : public store_mirror_listener {
    public:
        explicit operator_listener(fleet_mirror& owner)
            : owner_(owner) {}
        void on_changes(const std::vector<store_change>& changes,
                        bool is_reread) override;

    private:
        fleet_mirror& owner_;
    };

    class upstream_listener final : public store_mirror_listener {
    public:
        explicit upstream_listener(fleet_mirror& owner)
            : owner_(owner) {}
        void on_changes(const std::vector<store_change>& changes,
                        bool is_reread) override;

    private:
        fleet_mirror& owner_;
    };

    void apply_configuration(const stored_value& value);
    void apply_operator_change(const store_change& change);
    void apply_upstream_change(const store_change& change);
    /// Removes the upstreams that did not register again in time.
    void remove_due_upstreams();
    void publish_upstreams();

    fleet_state& fleet_;
    fleet_events events_;
    logger& log_;
    operator_listener operator_listener_;
    upstream_listener upstream_listener_;
    std::map<upstream_id, upstream_entry> upstreams_;
    /// Invalid entries that were logged, so that each is logged only once.
    std::set<upstream_id> ignored_;
    /// Upstreams whose entries disappeared around an outage of the store, and
    /// when to remove them unless they register again.
    std::map<upstream_id, steady_time> pending_removals_;
    boost::asio::steady_timer removal_timer_;
    std::map<std::string, weight_version> wanted_versions_;
    std::set<std::string> retirements_;
};

} // namespace savorydock

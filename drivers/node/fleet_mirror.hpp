#pragma once

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

/// What the fleet mirror tells its owner.
struct fleet_events {
    /// Configuration or upstreams changed.
    std::function<void()> on_fleet;
    std::function<void(const std::string& model, weight_version)> on_version;
    /// A store machine is to be emptied.
    std::function<void(const std::string& machine)> on_retirement;
};

/// Follows configuration, wanted versions and upstreams in the store and keeps
/// the fleet's state by them. Belongs to one traffic thread.
class fleet_mirror {
public:
    /// All references must outlive the mirror's context.
    fleet_mirror(boost::asio::io_context& context, store_client& store,
                 fleet_state& fleet, fleet_events events, logger& log);

    /// Who must be told of the keys under the operators' prefix and under that
    /// of the upstreams.
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

    void take_configuration(const stored_value& value);
    void take_operator_change(const store_change& change);
    void take_upstream_change(const store_change& change);
    void drop_lapsed();
    void publish_upstreams();

    store_client& store_;
    fleet_state& fleet_;
    fleet_events events_;
    logger& log_;
    operator_listener operator_listener_;
    upstream_listener upstream_listener_;
    std::map<upstream_id, upstream_entry> upstreams_;
    /// Upstreams whose entries vanished around an outage of the store, and
    /// when they are taken for gone.
    std::map<upstream_id, steady_time> lapsed_;
    boost::asio::steady_timer lapse_timer_;
    std::map<std::string, weight_version> wanted_versions_;
    std::set<std::string> retirements_;
};

} // namespace savorydock

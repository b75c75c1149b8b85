#pragma once

#include "core/state_chart.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/control/holder_candidates.hpp"
#include "servers/control/lease_keeper.hpp"
#include "servers/control/order_options.hpp"
#include "servers/control/scope_controller.hpp"
#include "servers/control_server.hpp"
#include "servers/routing/upstream_state.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace savorydock {

/// The state of one scope as operators see it.
struct scope_status {
    service_name service;
    std::string group;
    fencing_number fencing = 0;
    weight_version target = 0;
    std::uint32_t upstreams = 0;
    std::uint32_t at_target = 0;
    std::uint32_t ordered = 0;
    std::uint32_t settling = 0;
    /// Empty unless the roll-out has been stopped.
    std::string stop_reason;
};

/// Acquires scopes with a lease and sends orders to their upstreams.
///
/// A scope is a service, or the part of a large service in one zone. Its holder
/// is the instance that wrote the scope's key with a lease that is still alive.
/// The created revision of the key is the fencing number. An instance uses one
/// lease for all its scopes.
class order_server final : public control_server {
public:
    /// Precondition: the chart passes `order_tracker::check_chart`; chart and
    /// candidates outlive the server.
    order_server(instance_id self, availability_zone zone,
                 const state_chart& chart, const holder_candidates& candidates,
                 order_options options = {});

    [[nodiscard]] peer_topic topic() const override {
        return peer_topic::control;
    }
    void on_tick(steady_time now, command_list& out) override;
    void on_platform_reply(const platform_reply& reply, steady_time now,
                           command_list& out) override;
    void on_order_reply(const order_reply& reply, steady_time now,
                        command_list& out) override;
    void on_observation(const upstream_observation& observation,
                        steady_time now, command_list& out) override;
    void on_configuration(std::shared_ptr<const configuration_view> view,
                          steady_time now, command_list& out) override;

    /// Sets the upstream states from membership; control thread only.
    void set_upstream_states(std::shared_ptr<const upstream_state_map> states) {
        states_ = std::move(states);
    }

    /// Stops sending orders, and revokes the lease once none is in flight.
    void begin_drain();

    [[nodiscard]] std::vector<scope_status> status() const;
    /// The number of calls so far to the platform and to upstreams.
    [[nodiscard]] std::uint64_t platform_calls() const;
    [[nodiscard]] std::uint64_t upstream_calls() const;

private:
    struct scope_name {
        std::string group;
        service_name service;

        bool operator<(const scope_name& other) const {
            return std::tie(group, service) <
                   std::tie(other.group, other.service);
        }
    };
    struct scope {
        explicit scope(const state_chart& chart, const order_options& options)
            : controller(chart, options) {}

        scope_controller controller;
        std::uint32_t shard = 0;
        std::uint64_t claim_ticket = 0;
        steady_time claimed_at{};
        /// Consecutive polls that found no holder.
        std::uint32_t unheld_polls = 0;
    };
    /// The periodic read of the holder keys of one group.
    struct key_poll {
        std::uint64_t ticket = 0;
        steady_time sent_at{};
        steady_time next{};
    };

    [[nodiscard]] bool needs_key_poll(const std::string& group) const;
    [[nodiscard]] bool needs_lease() const;
    void release_all(command_list& out);
    void release_scope(const scope_name& name, scope& entry, command_list& out);
    void send_key_poll(const std::string& group, key_poll& poll,
                       steady_time now, command_list& out);
    void on_key_poll_reply(const std::string& group,
                           const platform_answer& answer, steady_time now,
                           command_list& out);
    void update_ownership(const scope_name& name, scope& entry,
                          const stored_value* found, steady_time now,
                          command_list& out);
    void claim(const scope_name& name, scope& entry, steady_time now,
               command_list& out);
    void poll_keys_soon();
    bool on_claim_reply(const platform_reply& reply, command_list& out);
    void finish_drain(command_list& out);

    instance_id self_;
    availability_zone zone_;
    const state_chart* chart_;
    const holder_candidates* candidates_;
    order_options options_;
    lease_keeper lease_keeper_;
    /// The last lease with which a scope was held.
    std::uint64_t scope_lease_ = 0;
    bool is_draining_ = false;
    std::map<scope_name, scope> scopes_;
    std::map<std::string, key_poll> key_polls_;
    std::shared_ptr<const upstream_state_map> states_;
    /// All fencing numbers with which this process has held a scope.
    std::set<fencing_number> past_fencing_numbers_;
    std::uint64_t tickets_ = 0;
    std::uint64_t poll_and_claim_calls_ = 0;
};

} // namespace savorydock

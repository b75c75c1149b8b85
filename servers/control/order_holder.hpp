#pragma once

#include "core/state_chart.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/control/holder_candidates.hpp"
#include "servers/control/lease_keeper.hpp"
#include "servers/control/order_options.hpp"
#include "servers/control/scope_holder.hpp"
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

/// What an instance tells operators about one scope.
struct scope_status {
    service_name service;
    std::string group;
    fencing_number fencing = 0;
    weight_version target = 0;
    std::uint32_t upstreams = 0;
    std::uint32_t at_target = 0;
    std::uint32_t ordered = 0;
    std::uint32_t settling = 0;
    /// Empty unless the roll-out was stopped.
    std::string stop_reason;
};

/// Becomes the holder of scopes by lease, and orders their upstreams.
///
/// A scope is a service, or one zone's part of a large service. Its holder is
/// who wrote the scope's key under a living lease; the key's created revision
/// is the fencing number. One lease serves all scopes of an instance.
class order_holder final : public control_server {
public:
    /// Precondition: the chart passes `order_track::check_chart`; chart and
    /// candidates outlive the holder.
    order_holder(instance_id self, availability_zone zone,
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

    /// What membership knows of the upstreams; control thread only.
    void set_upstream_states(std::shared_ptr<const upstream_state_map> states) {
        states_ = std::move(states);
    }

    /// Gives no more orders, and gives the lease back once none is in flight.
    void begin_drain();

    [[nodiscard]] std::vector<scope_status> status() const;
    /// Calls made so far to the platform, and to upstreams.
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
            : holder(chart, options) {}

        scope_holder holder;
        std::uint32_t shard = 0;
        std::uint64_t claim_ticket = 0;
        steady_time claimed_at{};
        /// Surveys in a row that found no holder.
        std::uint32_t unheld_surveys = 0;
    };
    /// The reading of the holders' keys of one group.
    struct survey {
        std::uint64_t ticket = 0;
        steady_time sent_at{};
        steady_time next{};
    };

    [[nodiscard]] bool is_concerned(const std::string& group) const;
    [[nodiscard]] bool needs_lease() const;
    void drop_all(command_list& out);
    void drop(const scope_name& name, scope& held, command_list& out);
    void send_survey(const std::string& group, survey& plan, steady_time now,
                     command_list& out);
    void on_survey(const std::string& group, const platform_answer& answer,
                   steady_time now, command_list& out);
    void judge_scope(const scope_name& name, scope& held,
                     const stored_value* found, steady_time now,
                     command_list& out);
    void claim(const scope_name& name, scope& held, steady_time now,
               command_list& out);
    void survey_soon();
    bool on_claim_reply(const platform_reply& reply, command_list& out);
    void finish_drain(command_list& out);

    instance_id self_;
    availability_zone zone_;
    const state_chart* chart_;
    const holder_candidates* candidates_;
    order_options options_;
    lease_keeper keeper_;
    /// The last lease under which a scope was held.
    std::uint64_t used_lease_ = 0;
    bool is_draining_ = false;
    std::map<scope_name, scope> scopes_;
    std::map<std::string, survey> surveys_;
    std::shared_ptr<const upstream_state_map> states_;
    /// All numbers that this process has held.
    std::set<fencing_number> fencing_numbers_;
    std::uint64_t tickets_ = 0;
    std::uint64_t own_platform_calls_ = 0;
};

} // namespace savorydock

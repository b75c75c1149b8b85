#pragma once

#include "core/random_source.hpp"
#include "core/state_chart.hpp"
#include "servers/control_server.hpp"
#include "servers/membership/failure_detector.hpp"
#include "servers/membership/gossip_queue.hpp"
#include "servers/membership/member_table.hpp"
#include "servers/membership/platform_list_reader.hpp"
#include "servers/membership/upstream_health.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace savorydock {

struct membership_options {
    /// This instance. Its incarnation must be higher than in any earlier run
    /// of the process; its start time in Unix seconds is sufficient.
    member_record self;
    /// Instances listed in the settings, known from the start.
    std::vector<member_record> seeds;
    failure_detector_options detector;
    upstream_health_options health;
    /// Mean time between digests sent to random members.
    std::chrono::milliseconds digest_period{30'000};
    /// How long dead and left members are kept.
    std::chrono::milliseconds dead_retention{7'200'000};
    /// Maximum gossip records of members, and of upstreams, in one message.
    std::uint32_t records_per_message = 12;
    /// Whether this instance may read the platform's list.
    bool reads_platform_list = true;
};

/// Totals of messages, bytes and platform calls, for metrics.
struct membership_counters {
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_refused = 0;
    std::uint64_t platform_calls = 0;
};

/// Tracks which instances are alive and the condition of upstreams. Instances
/// probe each other and gossip changes. Two instances per zone also read the
/// platform's list, which adds instances and registrations of upstreams.
class membership_server final : public control_server {
public:
    /// The chart and the random source must outlive the server.
    membership_server(membership_options options, const state_chart& chart,
                      random_source& random);

    [[nodiscard]] peer_topic topic() const override {
        return peer_topic::membership;
    }
    void on_tick(steady_time now, command_list& out) override;
    void on_peer_message(const peer_message& message, steady_time now,
                         command_list& out) override;
    void on_platform_reply(const platform_reply& reply, steady_time now,
                           command_list& out) override;
    void on_observation(const upstream_observation& observation,
                        steady_time now, command_list& out) override;
    void on_configuration(std::shared_ptr<const configuration_view> view,
                          steady_time now, command_list& out) override;

    /// Announces that this instance shuts down, so that the others need not
    /// detect it.
    void leave();

    /// Returns this instance and all known ones, with their conditions.
    [[nodiscard]] std::vector<member_record> instances() const;
    /// Returns the address at which an instance listens for peers, or nothing
    /// if it is unknown.
    [[nodiscard]] std::optional<endpoint>
    find_address(const instance_id& name) const;
    [[nodiscard]] const member_table& table() const { return table_; }
    /// Returns the upstreams whose condition is not serving. Immutable.
    [[nodiscard]] std::shared_ptr<const upstream_state_map> upstream_states() {
        return health_.states();
    }
    [[nodiscard]] const upstream_health& health() const { return health_; }
    /// Whether most other instances are missing, so that this one is probably
    /// cut off from the network.
    [[nodiscard]] bool is_cut_off() const { return is_cut_off_; }
    [[nodiscard]] membership_counters counters() const { return counters_; }

private:
    void initialize(steady_time now);
    void send_probe_messages(const std::vector<probe_action>& actions,
                             command_list& out);
    void push_gossip(steady_time now, command_list& out);
    void send_digest(const instance_id& to, command_list& out);
    void answer_digest(const instance_id& to, const membership_message& message,
                       command_list& out);
    void merge_records(const membership_message& message, steady_time now,
                       command_list& out);
    void merge_member(const member_record& record, steady_time now,
                      command_list& out);
    void queue_health_updates(steady_time now);
    void log_condition(const instance_id& name, command_list& out);
    void check_cut_off(command_list& out);
    void poll_platform_lists(steady_time now, command_list& out);
    [[nodiscard]] bool is_list_reader() const;
    [[nodiscard]] bool is_prober(const upstream_key& key) const;
    [[nodiscard]] std::uint32_t transmission_limit() const;
    void queue_member(const instance_id& name);
    void send(membership_message message, const instance_id& to,
              command_list& out);
    void attach_records(membership_message& message, const instance_id& to);

    const membership_options options_;
    random_source& random_;
    member_table table_;
    failure_detector detector_;
    upstream_health health_;
    platform_list_reader instance_list_;
    platform_list_reader upstream_list_;
    gossip_queue<instance_id> member_gossip_;
    gossip_queue<upstream_key> upstream_gossip_;
    store_revision list_revision_ = 0;
    bool is_initialized_ = false;
    bool is_cut_off_ = false;
    /// Until then changes are also sent in separate gossip messages, not only
    /// attached to other messages.
    steady_time push_until_{};
    steady_time next_digest_at_{};
    steady_time next_maintenance_at_{};
    std::uint32_t startup_digests_left_ = 3;
    membership_counters counters_;
};

} // namespace savorydock

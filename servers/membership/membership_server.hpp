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
    /// This instance. Its incarnation must be higher than in any earlier
    /// life of the process; seconds since 1970 do.
    member_record self;
    /// Instances of the settings, to begin with.
    std::vector<member_record> seeds;
    failure_detector_options detector;
    upstream_health_options health;
    std::chrono::milliseconds digest_period{30'000};
    std::chrono::milliseconds dead_retention{7'200'000};
    /// Records of each kind in one message.
    std::uint32_t records_per_message = 12;
    /// Whether the platform's list is read at all.
    bool reads_platform_list = true;
};

/// What the server has sent and taken, for metrics.
struct membership_counters {
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_refused = 0;
    std::uint64_t platform_calls = 0;
};

/// Which instances live and how upstreams fare. Instances probe each other
/// and pass on what they learn; the platform's list, read by two instances
/// per zone, adds instances and registrations of upstreams.
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

    /// Says that this instance ends, so that others need not find out.
    void leave();

    /// This instance and all that are known, with their conditions.
    [[nodiscard]] std::vector<member_record> instances() const;
    /// Where an instance listens to its peers, if it is known.
    [[nodiscard]] std::optional<endpoint>
    find_address(const instance_id& name) const;
    [[nodiscard]] const member_table& table() const { return table_; }
    /// Every upstream that is not simply serving. Immutable.
    [[nodiscard]] std::shared_ptr<const upstream_state_map> upstream_states() {
        return health_.states();
    }
    [[nodiscard]] const upstream_health& health() const { return health_; }
    /// Whether most other instances vanished: this one is likely cut off.
    [[nodiscard]] bool is_cut_off() const { return is_cut_off_; }
    [[nodiscard]] membership_counters counters() const { return counters_; }

private:
    void begin(steady_time now);
    void act(const std::vector<probe_action>& actions, command_list& out);
    void push_news(steady_time now, command_list& out);
    void send_digest(const instance_id& to, command_list& out);
    void answer_digest(const instance_id& to, const membership_message& message,
                       command_list& out);
    void take_records(const membership_message& message, steady_time now,
                      command_list& out);
    void take_member(const member_record& record, steady_time now,
                     command_list& out);
    void take_health_news(steady_time now);
    void tell_condition(const instance_id& name, command_list& out);
    void judge_cut(command_list& out);
    void read_lists(steady_time now, command_list& out);
    [[nodiscard]] bool is_reader() const;
    [[nodiscard]] bool is_prober(const upstream_key& key) const;
    [[nodiscard]] std::uint32_t budget() const;
    void queue_member(const instance_id& name);
    void send(membership_message message, const instance_id& to,
              command_list& out);
    void fill(membership_message& message, const instance_id& to);

    const membership_options options_;
    random_source& random_;
    member_table table_;
    failure_detector detector_;
    upstream_health health_;
    platform_list_reader instance_list_;
    platform_list_reader upstream_list_;
    gossip_queue<instance_id> member_news_;
    gossip_queue<upstream_key> upstream_news_;
    store_revision list_revision_ = 0;
    bool has_begun_ = false;
    bool is_cut_off_ = false;
    /// Until then news is pushed, not only carried along.
    steady_time push_until_{};
    steady_time next_digest_at_{};
    steady_time next_second_at_{};
    std::uint32_t early_digests_ = 3;
    membership_counters counters_;
};

} // namespace savorydock

#pragma once

#include "servers/control_server.hpp"
#include "servers/limits/limit_message.hpp"
#include "servers/limits/rate_limiter.hpp"
#include "servers/membership/member_table.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace savorydock {

struct limit_options {
    /// Fraction of a limit that is split evenly, whatever the demand.
    double even_fraction = 0.1;
    /// Maximum burst, as the time in which that many requests would be admitted
    /// at the limited rate.
    std::chrono::milliseconds burst{500};
    /// An increase of the demand or of the usable fraction raises this
    /// instance's share only after it has lasted for this long. By then the
    /// other instances have reduced their shares.
    std::chrono::seconds settle_time{6};
    /// Reports and totals are used for this long after they were received.
    std::chrono::seconds report_lifetime{20};
    /// The share of single instances that fail stays reserved for this long.
    std::chrono::seconds crash_hold_time{60};
    /// Collectors exchange sums every second with fewer than this many other
    /// zones, and less often with more.
    std::uint32_t zones_per_second = 6;
};

struct limit_counters {
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_refused = 0;
};

/// Splits each caller's limit among the instances in proportion to demand,
/// without a shared counter. Instances report their demand to two collectors of
/// their zone; the collectors exchange the sums of their zones and send the
/// totals back. An instance that receives no totals uses an even share.
class limit_server final : public control_server {
public:
    /// The table must outlive the server and be used only on the control
    /// thread.
    limit_server(limit_options options, const member_table& members,
                 std::shared_ptr<rate_limiter> limiter);

    [[nodiscard]] peer_topic topic() const override {
        return peer_topic::limits;
    }
    void on_tick(steady_time now, command_list& out) override;
    void on_peer_message(const peer_message& message, steady_time now,
                         command_list& out) override;
    void on_configuration(std::shared_ptr<const configuration_view> view,
                          steady_time now, command_list& out) override;

    /// This instance's share in requests per second; 0 if there is no limit.
    [[nodiscard]] double share_of(const service_name& service,
                                  const caller_id& caller) const;
    [[nodiscard]] limit_counters counters() const { return counters_; }

private:
    static constexpr std::size_t history_size = 16;
    /// The last values, one per second, newest first.
    template <class Value>
    using history = std::array<Value, history_size>;
    using demand_map = std::map<limit_key, std::uint64_t, limit_key_less>;

    struct limited_caller {
        /// Requests per second of all instances, and of this instance.
        double limit = 0;
        double share = 0;
        std::shared_ptr<token_bucket> bucket;
        /// Smoothed demand on this instance in requests per second.
        double demand = 0;
        history<std::uint64_t> recent_demands{};
        /// Demand on all instances, in thousandths of a request per second.
        std::uint64_t fleet_demand = 0;
        steady_time fleet_demand_at{};
    };
    struct received_demand {
        demand_map demands;
        steady_time received_at{};
    };

    void measure_demand(std::chrono::duration<double> elapsed);
    void send_report(steady_time now, command_list& out);
    void send_zone_sums(steady_time now, command_list& out);
    void send_totals(steady_time now, command_list& out);
    void apply_totals(const demand_map& totals, steady_time now);
    void update_shares(steady_time now);
    [[nodiscard]] demand_map own_demand() const;
    [[nodiscard]] demand_map zone_demand(steady_time now) const;
    [[nodiscard]] demand_map total_demand(steady_time now) const;
    /// The lowest value within the settle time.
    template <class Value>
    [[nodiscard]] Value
    min_over_settle_time(const history<Value>& values) const;
    /// The fraction of every limit that the living instances may use. Below 1
    /// while failed or unreachable instances may still admit requests.
    [[nodiscard]] double usable_fraction(steady_time now) const;
    /// Up to two living instances of the zone, chosen by a hash of their names,
    /// so that instances with the same member table choose the same ones.
    [[nodiscard]] std::vector<instance_id>
    collectors(const availability_zone& zone) const;
    [[nodiscard]] bool is_collector() const;
    void send(limit_message_kind kind, const demand_map& demands,
              const instance_id& to, command_list& out);

    const limit_options options_;
    const member_table& members_;
    std::shared_ptr<rate_limiter> limiter_;
    std::map<limit_key, limited_caller, limit_key_less> callers_;
    std::map<instance_id, received_demand> reports_;
    std::map<availability_zone, received_demand> zone_sums_;
    history<double> usable_fractions_{};
    steady_time last_round_{};
    std::uint64_t rounds_ = 0;
    limit_counters counters_;
};

} // namespace savorydock

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
    /// The part of a limit that is split evenly, whatever the demand.
    double even_part = 0.1;
    /// How much time's worth of requests may come at once.
    std::chrono::milliseconds burst{500};
    /// A demand counts only once it has been reported for that long; by then
    /// the others have made room for it.
    std::chrono::seconds settle_time{6};
    /// Reports and totals count for that long after they were last heard.
    std::chrono::seconds reserve_time{20};
    /// The share of single instances that vanish is kept for them that long.
    std::chrono::seconds crash_reserve{60};
    /// Collectors exchange sums every second up to that many zones, and less
    /// often with more.
    std::uint32_t zones_per_second = 6;
};

struct limit_counters {
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_refused = 0;
};

/// Splits each caller's limit among the instances by demand, without a
/// shared counter: instances report to two collectors of their zone, which
/// exchange the sums of their zones. An instance that hears no totals takes
/// an even share.
class limit_server final : public control_server {
public:
    /// The table must outlive the server and live on the control thread.
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

    /// This instance's share in requests a second; 0 without a limit.
    [[nodiscard]] double share_of(const service_name& service,
                                  const caller_id& caller) const;
    [[nodiscard]] limit_counters counters() const { return counters_; }

private:
    static constexpr std::size_t history_size = 16;
    /// The last values, one a second, newest first.
    template <class Value>
    using history = std::array<Value, history_size>;
    using demand_map = std::map<limit_key, std::uint64_t, limit_key_less>;

    struct limited_caller {
        double limit = 0;
        double share = 0;
        std::shared_ptr<token_bucket> bucket;
        double demand = 0;
        history<std::uint64_t> reports{};
        std::uint64_t total = 0;
        steady_time total_at{};
    };
    struct heard_demand {
        demand_map demands;
        steady_time at{};
    };

    void measure(std::chrono::duration<double> elapsed);
    void report(steady_time now, command_list& out);
    void exchange(steady_time now, command_list& out);
    void answer_members(steady_time now, command_list& out);
    void take_totals(const demand_map& totals, steady_time now);
    void share_out(steady_time now);
    [[nodiscard]] demand_map own_demand() const;
    [[nodiscard]] demand_map zone_demand(steady_time now) const;
    [[nodiscard]] demand_map all_demand(steady_time now) const;
    /// The lowest value of the settle time.
    template <class Value>
    [[nodiscard]] Value settled(const history<Value>& values) const;
    /// The part of every limit that this side of a cut may use.
    [[nodiscard]] double reachable_part(steady_time now) const;
    [[nodiscard]] std::vector<instance_id>
    collectors(const availability_zone& zone) const;
    [[nodiscard]] bool is_collector() const;
    void send(limit_message_kind kind, const demand_map& demands,
              const instance_id& to, command_list& out);

    const limit_options options_;
    const member_table& members_;
    std::shared_ptr<rate_limiter> limiter_;
    std::map<limit_key, limited_caller, limit_key_less> callers_;
    std::map<instance_id, heard_demand> reports_;
    std::map<availability_zone, heard_demand> zones_;
    history<double> parts_{};
    steady_time last_round_{};
    std::uint64_t rounds_ = 0;
    limit_counters counters_;
};

} // namespace savorydock

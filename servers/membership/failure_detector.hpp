#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/membership/member_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace savorydock {

struct failure_detector_options {
    /// Time between two probes of living members.
    std::chrono::milliseconds probe_period{1'000};
    /// After this time without an ack, other members are requested to ping the
    /// target.
    std::chrono::milliseconds ack_timeout{400};
    /// Number of members that are requested to ping the target.
    std::uint32_t indirect_probes = 3;
    /// Time that a suspected member has to refute the suspicion, multiplied by
    /// the decimal logarithm of the number of living members (at least 1).
    std::chrono::milliseconds suspicion_timeout{4'000};
    /// Mean time between pings to dead members, which detect that a network
    /// partition has healed.
    std::chrono::milliseconds dead_probe_period{2'000};
    /// Percentage of probes that go to members of the own zone.
    std::uint32_t own_zone_percent = 75;
};

/// A message to be sent for the detector.
struct probe_action {
    membership_kind kind = membership_kind::ping;
    instance_id to;
    instance_id target;
    std::uint64_t sequence = 0;
};

/// Detects members that do not answer. Pings one member per period; if it sends
/// no ack, requests pings from other members, then marks it suspect and, if it
/// does not refute this in time, dead. Not thread safe.
class failure_detector {
public:
    /// The table and the random source must outlive the object.
    failure_detector(member_table& table, failure_detector_options options,
                     random_source& random);

    /// Adds the messages that are due to `out`; returns the members whose
    /// condition changed.
    [[nodiscard]] std::vector<instance_id>
    on_tick(steady_time now, std::vector<probe_action>& out);

    /// Handles an ack; forwards it if the ping was sent for another instance.
    void on_ack(std::uint64_t sequence, std::vector<probe_action>& out);

    /// Pings `target` on behalf of `from`.
    void on_ping_request(const instance_id& from, std::uint64_t sequence,
                         const instance_id& target, steady_time now,
                         std::vector<probe_action>& out);

    /// Returns a random living member, usually of the own zone.
    [[nodiscard]] std::optional<instance_id> pick_living();

private:
    static constexpr std::size_t max_relays = 64;

    struct probe {
        instance_id target;
        std::uint64_t sequence = 0;
        steady_time sent_at{};
        bool is_acked = false;
        bool is_indirect = false;
    };
    struct relay {
        std::uint64_t sequence = 0;
        instance_id requester;
        std::uint64_t requester_sequence = 0;
        steady_time expires_at{};
    };

    void request_indirect_probes(std::vector<probe_action>& out);
    void finish_probe(steady_time now, std::vector<instance_id>& changed);
    void start_probe(steady_time now, std::vector<probe_action>& out);
    void probe_dead_member(steady_time now, std::vector<probe_action>& out);
    void expire_suspicions(steady_time now, std::vector<instance_id>& changed);
    [[nodiscard]] std::optional<instance_id>
    pick_random(std::span<const instance_id> names);
    /// Returns the next living member of a shuffled list, which is refilled
    /// when empty, so that every member is probed regularly.
    [[nodiscard]] std::optional<instance_id>
    next_in_round(std::vector<instance_id>& round,
                  std::span<const instance_id> names);

    member_table& table_;
    const failure_detector_options options_;
    random_source& random_;
    std::uint64_t last_sequence_ = 0;
    std::optional<probe> probe_;
    steady_time next_probe_at_{};
    steady_time next_dead_probe_at_{};
    std::vector<relay> relays_;
    std::vector<instance_id> own_zone_round_;
    std::vector<instance_id> other_zone_round_;
};

} // namespace savorydock

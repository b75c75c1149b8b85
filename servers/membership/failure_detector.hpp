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
    std::chrono::milliseconds probe_period{1'000};
    /// After that long without an ack others are asked to probe.
    std::chrono::milliseconds ack_timeout{400};
    std::uint32_t indirect_probes = 3;
    /// How long a suspect may take to refute, per power of ten of members.
    std::chrono::milliseconds suspicion_timeout{4'000};
    /// How often one dead member is tried, so that a healed cut shows.
    std::chrono::milliseconds dead_probe_period{2'000};
    /// Probes out of 100 that stay in the own zone.
    std::uint32_t home_percent = 75;
};

/// A message that the detector wants sent.
struct probe_action {
    membership_kind kind = membership_kind::ping;
    instance_id to;
    instance_id target;
    std::uint64_t sequence = 0;
};

/// Finds members that do not answer: one probe a period, then indirect
/// probes, then suspicion, then death. Not thread safe.
class failure_detector {
public:
    /// The table and the random source must outlive the object.
    failure_detector(member_table& table, failure_detector_options options,
                     random_source& random);

    /// Sends what is due; returns the members whose condition changed.
    [[nodiscard]] std::vector<instance_id>
    on_tick(steady_time now, std::vector<probe_action>& out);

    /// An ack came in; also passes it on if it was asked for.
    void on_ack(std::uint64_t sequence, std::vector<probe_action>& out);

    /// Another instance asks for a probe of `target`.
    void on_ping_request(const instance_id& from, std::uint64_t sequence,
                         const instance_id& target, steady_time now,
                         std::vector<probe_action>& out);

    /// A living member at random, mostly of the own zone.
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

    void ask_others(std::vector<probe_action>& out);
    void finish_probe(steady_time now, std::vector<instance_id>& changed);
    void start_probe(steady_time now, std::vector<probe_action>& out);
    void try_dead(steady_time now, std::vector<probe_action>& out);
    void end_suspicions(steady_time now, std::vector<instance_id>& changed);
    [[nodiscard]] std::optional<instance_id>
    pick(std::span<const instance_id> names);
    /// The next member of a shuffled round, so that none waits for long.
    [[nodiscard]] std::optional<instance_id>
    next_of_round(std::vector<instance_id>& round,
                  std::span<const instance_id> names);

    member_table& table_;
    const failure_detector_options options_;
    random_source& random_;
    std::uint64_t last_sequence_ = 0;
    std::optional<probe> probe_;
    steady_time next_probe_at_{};
    steady_time next_dead_probe_at_{};
    std::vector<relay> relays_;
    std::vector<instance_id> home_round_;
    std::vector<instance_id> away_round_;
};

} // namespace savorydock

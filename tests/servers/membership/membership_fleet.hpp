#pragma once

#include "core/random_source.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/membership/membership_server.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorydock {

/// Faults that messages are subject to in transit.
struct message_faults {
    std::uint32_t lost_percent = 0;
    std::uint32_t duplicated_percent = 0;
    /// Messages are delayed by a random time from 1 ms to this.
    std::uint32_t max_delay_ms = 2;
};

struct fleet_options {
    std::size_t size = 9;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    message_faults faults;
    /// Number of instances that every instance knows from its settings.
    std::size_t seeds = 2;
    /// Whether the settings hold the seeds' actual incarnations, as if the
    /// instances had already exchanged messages.
    bool knows_incarnations = false;
};

/// One service with the upstreams engine-0, engine-1 and so on, distributed
/// round-robin over zone-0 to zone-2.
inline std::shared_ptr<const configuration_view>
make_view(std::size_t upstreams) {
    auto document = std::make_shared<service_document>();
    document->service = service_name("chat");
    for (std::size_t i = 0; i < upstreams; ++i) {
        upstream_rule rule;
        rule.name = upstream_id("engine-" + std::to_string(i));
        rule.zone = availability_zone("zone-" + std::to_string(i % 3));
        document->upstreams.push_back(rule);
    }
    return std::make_shared<configuration_view>(
        std::map<service_name, service_in_force>{
            {document->service, {.revision = 1, .document = document}}},
        1);
}

/// Membership servers in one process that exchange messages in virtual time.
class membership_fleet {
public:
    struct node {
        instance_id name;
        availability_zone zone;
        std::unique_ptr<seeded_random_source> random;
        std::unique_ptr<membership_server> server;
        std::vector<log_command> logs;
        bool is_running = true;
    };

    membership_fleet(const state_chart& chart, fleet_options options)
        : chart_(chart)
        , options_(options)
        , random_(options.seed) {
        nodes.resize(options_.size);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i].name = instance_id("entry-" + std::to_string(i));
            nodes[i].zone =
                availability_zone("zone-" + std::to_string(i % options_.zones));
            index_[nodes[i].name] = i;
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            start(i);
        }
    }

    /// Starts or restarts an instance, which then knows only its settings.
    void start(std::size_t at) {
        node& started = nodes[at];
        started.is_running = true;
        started.random = std::make_unique<seeded_random_source>(
            options_.seed * 1'000'003 + at + 977 * ++starts_);
        membership_options options{.self = record_of(at),
                                   .health = {.zone = started.zone},
                                   .reads_platform_list = false};
        options.self.incarnation = first_incarnation(starts_ - 1);
        for (std::size_t i = 0; i < std::min(options_.seeds, nodes.size());
             ++i) {
            options.seeds.push_back(record_of(i));
            options.seeds.back().incarnation =
                options_.knows_incarnations ? first_incarnation(i) : 0;
        }
        started.server = std::make_unique<membership_server>(
            std::move(options), chart_, *started.random);
        if (view_) {
            command_list ignored;
            started.server->on_configuration(view_, now, ignored);
        }
    }

    void configure(std::shared_ptr<const configuration_view> view) {
        view_ = std::move(view);
        for (node& each : nodes) {
            command_list out;
            each.server->on_configuration(view_, now, out);
        }
    }

    void observe(std::size_t at, const upstream_observation& observation) {
        command_list out;
        nodes[at].server->on_observation(observation, now, out);
        execute(at, out);
    }

    /// Advances the virtual time by `time`; stops early once `until` holds.
    /// Returns whether `until` holds at the end.
    bool run(std::chrono::milliseconds time,
             const std::function<bool()>& until = {}) {
        const steady_time end = now + time;
        while (now < end) {
            if (until && until()) {
                return true;
            }
            now += step;
            deliver();
            tick();
        }
        return !until || until();
    }

    /// Whether `from` considers `to` to be living.
    [[nodiscard]] bool sees(std::size_t from, std::size_t to) const {
        const auto record =
            nodes[from].server->table().record_of(nodes[to].name);
        return record && is_living(record->condition);
    }

    /// Whether every running instance considers exactly those instances living
    /// that are running and reachable from it.
    [[nodiscard]] bool agrees() const {
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                const bool should_see =
                    nodes[to].is_running && !is_cut(from, to);
                if (nodes[from].is_running && from != to &&
                    sees(from, to) != should_see) {
                    return false;
                }
            }
        }
        return true;
    }

    [[nodiscard]] std::size_t count_logs(log_event event) const {
        std::size_t count = 0;
        for (const node& each : nodes) {
            for (const log_command& log : each.logs) {
                count += log.event == event ? 1 : 0;
            }
        }
        return count;
    }

    std::vector<node> nodes;
    /// Returns whether messages from the first instance to the second are
    /// lost.
    std::function<bool(std::size_t, std::size_t)> cut;
    steady_time now = steady_time{} + std::chrono::hours(1);
    message_faults faults() const { return options_.faults; }

private:
    static constexpr std::chrono::milliseconds step{50};
    /// Each instance ticks in every fourth step; ticks are spread over the
    /// steps.
    static constexpr std::size_t tick_steps = 4;

    /// Incarnation of an instance whose start was preceded by `starts` others
    /// in the fleet.
    static std::uint64_t first_incarnation(std::size_t starts) {
        return 1'001 + starts;
    }

    [[nodiscard]] member_record record_of(std::size_t at) const {
        return {.name = nodes[at].name,
                .zone = nodes[at].zone,
                .address = {"10.0.0.1", static_cast<std::uint16_t>(1 + at)}};
    }

    [[nodiscard]] bool is_cut(std::size_t from, std::size_t to) const {
        return cut && cut(from, to);
    }

    void send(const peer_message& message, std::size_t from, std::size_t to) {
        const message_faults& faults = options_.faults;
        if (is_cut(from, to) || random_.below(100) < faults.lost_percent) {
            return;
        }
        const auto copies =
            random_.below(100) < faults.duplicated_percent ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const std::chrono::milliseconds delay(
                1 + random_.below(faults.max_delay_ms));
            in_flight_.emplace(now + delay, message);
        }
    }

    void execute(std::size_t at, const command_list& out) {
        for (const control_command& command : out) {
            if (const auto* message = std::get_if<peer_message>(&command)) {
                const auto to = index_.find(message->to);
                if (to != index_.end()) {
                    send(*message, at, to->second);
                }
            } else if (const auto* log = std::get_if<log_command>(&command)) {
                nodes[at].logs.push_back(*log);
            }
        }
    }

    void deliver() {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
            const auto taken = in_flight_.extract(in_flight_.begin());
            const std::size_t at = index_.at(taken.mapped().to);
            if (nodes[at].is_running) {
                command_list out;
                nodes[at].server->on_peer_message(taken.mapped(), now, out);
                execute(at, out);
            }
        }
    }

    void tick() {
        ++steps_;
        for (std::size_t at = steps_ % tick_steps; at < nodes.size();
             at += tick_steps) {
            if (nodes[at].is_running) {
                command_list out;
                nodes[at].server->on_tick(now, out);
                execute(at, out);
            }
        }
    }

    const state_chart& chart_;
    fleet_options options_;
    seeded_random_source random_;
    std::map<instance_id, std::size_t> index_;
    std::multimap<steady_time, peer_message> in_flight_;
    std::shared_ptr<const configuration_view> view_;
    std::size_t steps_ = 0;
    std::size_t starts_ = 0;
};

} // namespace savorydock

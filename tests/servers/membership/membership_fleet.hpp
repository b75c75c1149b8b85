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

/// What happens to messages on their way.
struct message_faults {
    std::uint32_t lost_percent = 0;
    std::uint32_t doubled_percent = 0;
    /// Messages take a time between one and that many milliseconds.
    std::uint32_t max_delay_ms = 2;
};

struct fleet_options {
    std::size_t size = 9;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    message_faults faults;
    /// Every instance knows these from its settings.
    std::size_t seeds = 2;
    /// The settings know the seeds as they are: a fleet that has met.
    bool knows_incarnations = false;
};

/// One service with upstreams engine-0, engine-1 and so on, in turn in zones
/// zone-0 to zone-2.
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

    /// Starts an instance anew, with nothing but its settings.
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
        carry_out(at, out);
    }

    /// Runs for a while; ends early once `until` holds.
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

    /// Whether `from` holds `to` to be living.
    [[nodiscard]] bool sees(std::size_t from, std::size_t to) const {
        const auto record =
            nodes[from].server->table().record_of(nodes[to].name);
        return record && is_living(record->condition);
    }

    /// Whether every running instance of one side holds exactly the running
    /// ones of its side to be living.
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
    /// Pairs of instances that can't reach each other.
    std::function<bool(std::size_t, std::size_t)> cut;
    steady_time now = steady_time{} + std::chrono::hours(1);
    message_faults faults() const { return options_.faults; }

private:
    static constexpr std::chrono::milliseconds step{50};
    /// Each instance ticks every fourth step, not all at once.
    static constexpr std::size_t tick_steps = 4;

    /// Of the life that is the `starts`-th start in the fleet.
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

    void post(const peer_message& message, std::size_t from, std::size_t to) {
        const message_faults& faults = options_.faults;
        if (is_cut(from, to) || random_.below(100) < faults.lost_percent) {
            return;
        }
        const auto copies = random_.below(100) < faults.doubled_percent ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const std::chrono::milliseconds delay(
                1 + random_.below(faults.max_delay_ms));
            in_flight_.emplace(now + delay, message);
        }
    }

    void carry_out(std::size_t at, const command_list& out) {
        for (const control_command& command : out) {
            if (const auto* message = std::get_if<peer_message>(&command)) {
                const auto to = index_.find(message->to);
                if (to != index_.end()) {
                    post(*message, at, to->second);
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
                carry_out(at, out);
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
                carry_out(at, out);
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

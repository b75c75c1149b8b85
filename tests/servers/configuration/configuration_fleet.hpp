#pragma once

#include "servers/configuration/configuration_server.hpp"
#include "servers/configuration/publish_protocol.hpp"
#include "tests/servers/configuration/memory_platform.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace savorydock {

/// How a message between instances is delivered.
struct message_delivery {
    /// 0 loses the message, 2 duplicates it.
    std::uint32_t copies = 1;
    std::chrono::microseconds delay{1'500};
};

/// The simulated outcome of a call to the platform.
struct platform_call_outcome {
    std::chrono::milliseconds delay{5};
    /// The caller gets a failure instead of the answer.
    bool is_lost = false;
    bool has_effect = true;
};

/// Runs configuration servers in virtual time with one event queue and one
/// platform. Hooks decide how each message is delivered and how each call to
/// the platform ends. Counts regressions: cases in which an instance put an
/// older revision of a service in force, or removed the service.
class configuration_fleet {
public:
    struct member {
        instance_id name;
        availability_zone zone;
        std::unique_ptr<seeded_random_source> random;
        std::unique_ptr<configuration_server> server;
        /// Counts starts, so that events and replies for an earlier incarnation
        /// are dropped.
        std::uint32_t incarnation = 0;
        bool is_running = false;
        /// The highest revision of each service that has been in force.
        std::map<service_name, store_revision> highest;
        std::uint32_t regressions = 0;
    };

    configuration_fleet(std::size_t size, std::size_t zones, std::uint64_t seed)
        : seed_(seed) {
        for (std::size_t i = 0; i < size; ++i) {
            members.push_back(std::make_unique<member>());
            members.back()->name = instance_id("i" + std::to_string(i));
            members.back()->zone =
                availability_zone("z" + std::to_string(i % zones));
            index_[members.back()->name] = i;
        }
    }

    void start_all() {
        for (std::size_t i = 0; i < members.size(); ++i) {
            start(i);
        }
    }

    void start(std::size_t i) {
        member& instance = *members[i];
        ++instance.incarnation;
        instance.is_running = true;
        instance.random = std::make_unique<seeded_random_source>(
            seed_ + i + instance.incarnation * 100'000ULL);
        instance.server = std::make_unique<configuration_server>(
            configuration_server_options{.instance = instance.name,
                                         .zone = instance.zone,
                                         .on_view =
                                             [this, &instance](auto view) {
                                                 has_change_ = true;
                                                 count_regressions(instance,
                                                                   *view);
                                             }},
            *instance.random);
        instance.server->on_instances(known_instances(), now);
        tick(i, instance.incarnation, std::chrono::milliseconds(i % tick_ms));
    }

    void stop(std::size_t i) { members[i]->is_running = false; }

    /// Informs all running members which instances are alive.
    void update_membership() {
        for (auto& instance : members) {
            if (instance->is_running) {
                instance->server->on_instances(known_instances(), now);
            }
        }
    }

    void run_for(std::chrono::milliseconds time) {
        run_until([] { return false; }, time);
    }

    /// Runs until the condition holds or the time is over; returns whether it
    /// holds. The condition is evaluated when a view has changed or a publish
    /// has finished.
    bool run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds limit) {
        const steady_time end = now + limit;
        has_change_ = true;
        while (true) {
            if (std::exchange(has_change_, false) && condition()) {
                return true;
            }
            if (events_.empty() || events_.top().at > end) {
                now = end;
                return condition();
            }
            const event next = events_.top();
            events_.pop();
            now = next.at;
            next.run();
        }
    }

    /// Publishes through the same platform, with the same hook for its calls.
    void publish(const service_name& service, std::string text,
                 const std::string& id,
                 std::function<void(const publish_result&)> on_result) {
        auto protocol = std::make_shared<publish_protocol>(
            publish_plan{.service = service,
                         .publish_id = id,
                         .operator_name = "operator",
                         .text = std::move(text)},
            now + std::chrono::seconds(60), operator_random_);
        advance(protocol, protocol->begin(), std::move(on_result));
    }

    /// Number of running members that have the revision or a later one in
    /// force.
    [[nodiscard]] std::size_t count_at(const service_name& service,
                                       store_revision revision) const {
        std::size_t count = 0;
        for (const auto& instance : members) {
            count += revision_at(*instance, service) >= revision ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] static store_revision
    revision_at(const member& instance, const service_name& service) {
        const auto view =
            instance.is_running ? instance.server->view() : nullptr;
        const auto* const held = view ? view->find(service) : nullptr;
        return held == nullptr ? 0 : held->revision;
    }

    [[nodiscard]] std::uint32_t regressions() const {
        std::uint32_t sum = 0;
        for (const auto& instance : members) {
            sum += instance->regressions;
        }
        return sum;
    }

    steady_time now{};
    memory_platform platform;
    std::vector<std::unique_ptr<member>> members;
    std::uint64_t platform_calls = 0;
    std::map<log_event, int> logged;
    std::function<message_delivery(const peer_message&)> message_delivery_of =
        [](const peer_message&) { return message_delivery{}; };
    std::function<platform_call_outcome(const platform_request&)>
        platform_call_outcome_of =
            [](const platform_request&) { return platform_call_outcome{}; };
    /// Whether an instance can't reach the platform.
    std::function<bool(const member&)> is_cut_off = [](const member&) {
        return false;
    };
    /// Called with each message before it is delivered to the instance.
    std::function<void(const peer_message&)> on_arrival =
        [](const peer_message&) {};

    void deliver(const peer_message& message) {
        const auto found = index_.find(message.to);
        member& instance = *members[found->second];
        if (!instance.is_running) {
            return;
        }
        command_list out;
        instance.server->on_peer_message(message, now, out);
        execute(found->second, out);
    }

private:
    static constexpr std::size_t tick_ms = 250;
    static constexpr std::chrono::seconds watch_time{10};
    static constexpr std::chrono::seconds cut_off_timeout{5};

    struct event {
        steady_time at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct pending_watch {
        watch_prefix watch;
        std::function<void(outcome<platform_answer>)> reply;
    };

    void schedule(steady_time time, std::function<void()> run) {
        events_.push({time, ++order_, std::move(run)});
    }

    [[nodiscard]] std::vector<known_instance> known_instances() const {
        std::vector<known_instance> all;
        for (const auto& instance : members) {
            all.push_back({.instance = instance->name,
                           .zone = instance->zone,
                           .is_alive = instance->is_running ||
                                       instance->incarnation == 0});
        }
        return all;
    }

    void tick(std::size_t i, std::uint32_t incarnation,
              std::chrono::milliseconds delay) {
        schedule(now + delay, [this, i, incarnation] {
            member& instance = *members[i];
            if (!instance.is_running || instance.incarnation != incarnation) {
                return;
            }
            command_list out;
            instance.server->on_tick(now, out);
            execute(i, out);
            tick(i, incarnation, std::chrono::milliseconds(tick_ms));
        });
    }

    void execute(std::size_t i, const command_list& out) {
        for (const control_command& command : out) {
            if (const auto* message = std::get_if<peer_message>(&command)) {
                send(*message);
            } else if (const auto* call =
                           std::get_if<platform_call>(&command)) {
                call_platform(i, *call);
            } else if (const auto* log = std::get_if<log_command>(&command)) {
                ++logged[log->event];
            }
        }
    }

    void call_platform(std::size_t i, const platform_call& call) {
        const std::uint32_t incarnation = members[i]->incarnation;
        const auto on_reply = [this, i, incarnation,
                               ticket = call.ticket](auto answer) {
            reply(i, incarnation, {ticket, std::move(answer)});
        };
        if (!is_cut_off(*members[i])) {
            submit(call.request, on_reply);
            return;
        }
        schedule(now + cut_off_timeout, [on_reply] {
            on_reply(failure{result_code::platform_unreachable, "cut"});
        });
    }

    void send(const peer_message& message) {
        const message_delivery delivery = message_delivery_of(message);
        for (std::uint32_t copy = 0; copy < delivery.copies; ++copy) {
            schedule(now + delivery.delay * (copy + 1), [this, message] {
                on_arrival(message);
                deliver(message);
            });
        }
    }

    void reply(std::size_t i, std::uint32_t incarnation,
               const platform_reply& answer) {
        member& instance = *members[i];
        if (!instance.is_running || instance.incarnation != incarnation) {
            return;
        }
        command_list out;
        instance.server->on_platform_reply(answer, now, out);
        execute(i, out);
    }

    void submit(const platform_request& request,
                const std::function<void(outcome<platform_answer>)>& on_reply) {
        ++platform_calls;
        const platform_call_outcome call_outcome =
            platform_call_outcome_of(request);
        schedule(now + call_outcome.delay / 2, [this, request, call_outcome,
                                                on_reply] {
            const bool is_watch = std::holds_alternative<watch_prefix>(request);
            if (is_watch && !call_outcome.is_lost) {
                start_watch(std::get<watch_prefix>(request), call_outcome,
                            on_reply);
                return;
            }
            outcome<platform_answer> answer =
                failure{result_code::platform_unreachable, "lost"};
            if (call_outcome.has_effect && !is_watch) {
                answer = platform.answer(request);
                wake_watches();
            }
            if (call_outcome.is_lost) {
                answer = failure{result_code::platform_unreachable, "lost"};
            }
            schedule(now + call_outcome.delay / 2,
                     [on_reply, answer] { on_reply(answer); });
        });
    }

    void
    start_watch(const watch_prefix& watch, platform_call_outcome call_outcome,
                const std::function<void(outcome<platform_answer>)>& on_reply) {
        const std::uint64_t id = ++next_watch_;
        watches_[id] = {watch, [this, call_outcome, on_reply](auto answer) {
                            schedule(now + call_outcome.delay / 2,
                                     [on_reply, answer] { on_reply(answer); });
                        }};
        schedule(now + watch_time, [this, id] {
            const auto found = watches_.find(id);
            if (found != watches_.end()) {
                const auto answer = found->second.reply;
                watches_.erase(found);
                answer(platform_answer{.revision = platform.revision()});
            }
        });
        wake_watches();
    }

    void wake_watches() {
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            if (!platform.has_change_since(watch->second.watch)) {
                ++watch;
                continue;
            }
            const auto answer = watch->second.reply;
            watch = watches_.erase(watch);
            answer(platform_answer{.revision = platform.revision()});
        }
    }

    void advance(const std::shared_ptr<publish_protocol>& protocol,
                 const publish_step& step,
                 const std::function<void(const publish_result&)>& on_result) {
        if (const auto* result = std::get_if<publish_result>(&step.next)) {
            has_change_ = true;
            on_result(*result);
            return;
        }
        const auto request = std::get<platform_request>(step.next);
        schedule(now + step.pause, [this, protocol, request, on_result] {
            submit(request, [this, protocol, on_result](auto answer) {
                advance(protocol, protocol->on_reply(answer, now), on_result);
            });
        });
    }

    static void count_regressions(member& instance,
                                  const configuration_view& view) {
        for (const auto& [name, held] : view.services()) {
            store_revision& highest = instance.highest[name];
            instance.regressions += held.revision < highest ? 1 : 0;
            highest = std::max(highest, held.revision);
        }
        for (const auto& [name, highest] : instance.highest) {
            instance.regressions += view.find(name) == nullptr ? 1 : 0;
        }
    }

    std::uint64_t seed_;
    bool has_change_ = false;
    seeded_random_source operator_random_{99};
    std::map<instance_id, std::size_t> index_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::map<std::uint64_t, pending_watch> watches_;
    std::uint64_t next_watch_ = 0;
};

/// Returns a valid document that holds `mark`, so that revisions differ.
inline std::string document_text(const std::string& service, int mark,
                                 std::size_t upstreams = 0) {
    std::string text = "{\"service\": \"" + service +
                       "\", \"kind\": \"plain\", \"classes\": [{\"name\": "
                       "\"c\", \"queue_length\": " +
                       std::to_string(mark) +
                       "}], \"callers\": [], \"upstreams\": [";
    for (std::size_t i = 0; i < upstreams; ++i) {
        text += std::string(i == 0 ? "" : ",") + "\n{\"name\": \"u" +
                std::to_string(i) +
                "\", \"zone\": \"z1\", \"address\": \"127.0.0.1:" +
                std::to_string(1024 + i) + "\"}";
    }
    return text + "]}";
}

} // namespace savorydock

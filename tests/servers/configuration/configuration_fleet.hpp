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

/// What becomes of one message between instances.
struct message_fate {
    /// 0 loses the message, 2 doubles it.
    std::uint32_t copies = 1;
    std::chrono::microseconds delay{1'500};
};

/// What becomes of one call to the platform.
struct platform_fate {
    std::chrono::milliseconds delay{5};
    bool is_lost = false;
    bool has_effect = true;
};

/// A message pump in virtual time for configuration servers: one queue, one
/// platform, hooks that decide the fate of each message and call. Checks that
/// no instance ever goes back.
class configuration_fleet {
public:
    struct member {
        instance_id name;
        availability_zone zone;
        std::unique_ptr<seeded_random_source> random;
        std::unique_ptr<configuration_server> server;
        /// Counts restarts, so that messages to an earlier life are dropped.
        std::uint32_t life = 0;
        bool is_running = false;
        /// The highest revision of each service that was ever in force.
        std::map<service_name, store_revision> seen;
        std::uint32_t times_back = 0;
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
        member& one = *members[i];
        ++one.life;
        one.is_running = true;
        one.random = std::make_unique<seeded_random_source>(
            seed_ + i + one.life * 100'000ULL);
        one.server = std::make_unique<configuration_server>(
            configuration_server_options{.instance = one.name,
                                         .zone = one.zone,
                                         .on_view =
                                             [this, &one](auto view) {
                                                 has_news_ = true;
                                                 check(one, *view);
                                             }},
            *one.random);
        one.server->on_instances(known(), now);
        tick(i, one.life, std::chrono::milliseconds(i % tick_ms));
    }

    void stop(std::size_t i) { members[i]->is_running = false; }

    /// Tells all running members who is alive now.
    void tell_members() {
        for (auto& one : members) {
            if (one->is_running) {
                one->server->on_instances(known(), now);
            }
        }
    }

    void run_for(std::chrono::milliseconds time) {
        run_until([] { return false; }, time);
    }

    /// Runs until the condition holds; returns whether it came to hold. It is
    /// looked at when a view has changed or a publish has ended.
    bool run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds limit) {
        const steady_time end = now + limit;
        has_news_ = true;
        while (true) {
            if (std::exchange(has_news_, false) && condition()) {
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

    /// Publishes over the same platform, with the same fates for its calls.
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

    /// How many running members have the revision or a later one in force.
    [[nodiscard]] std::size_t count_at(const service_name& service,
                                       store_revision revision) const {
        std::size_t count = 0;
        for (const auto& one : members) {
            count += revision_at(*one, service) >= revision ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] static store_revision
    revision_at(const member& one, const service_name& service) {
        const auto view = one.is_running ? one.server->view() : nullptr;
        const auto* const held = view ? view->find(service) : nullptr;
        return held == nullptr ? 0 : held->revision;
    }

    [[nodiscard]] std::uint32_t times_back() const {
        std::uint32_t sum = 0;
        for (const auto& one : members) {
            sum += one->times_back;
        }
        return sum;
    }

    steady_time now{};
    memory_platform platform;
    std::vector<std::unique_ptr<member>> members;
    std::uint64_t platform_calls = 0;
    std::map<log_event, int> logged;
    std::function<message_fate(const peer_message&)> fate_of_message =
        [](const peer_message&) { return message_fate{}; };
    std::function<platform_fate(const platform_request&)> fate_of_call =
        [](const platform_request&) { return platform_fate{}; };
    /// Whether an instance is cut off from the platform.
    std::function<bool(const member&)> is_cut_off = [](const member&) {
        return false;
    };
    /// A message as it arrives, before the instance gets it.
    std::function<void(const peer_message&)> on_arrival =
        [](const peer_message&) {};

    void deliver(const peer_message& message) {
        const auto found = index_.find(message.to);
        member& one = *members[found->second];
        if (!one.is_running) {
            return;
        }
        command_list out;
        one.server->on_peer_message(message, now, out);
        carry_out(found->second, out);
    }

private:
    static constexpr std::size_t tick_ms = 250;
    static constexpr std::chrono::seconds watch_time{10};
    static constexpr std::chrono::seconds cut_timeout{5};

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

    void at(steady_time time, std::function<void()> run) {
        events_.push({time, ++order_, std::move(run)});
    }

    [[nodiscard]] std::vector<known_instance> known() const {
        std::vector<known_instance> all;
        for (const auto& one : members) {
            all.push_back({.instance = one->name,
                           .zone = one->zone,
                           .is_alive = one->is_running || one->life == 0});
        }
        return all;
    }

    void tick(std::size_t i, std::uint32_t life,
              std::chrono::milliseconds delay) {
        at(now + delay, [this, i, life] {
            member& one = *members[i];
            if (!one.is_running || one.life != life) {
                return;
            }
            command_list out;
            one.server->on_tick(now, out);
            carry_out(i, out);
            tick(i, life, std::chrono::milliseconds(tick_ms));
        });
    }

    void carry_out(std::size_t i, const command_list& out) {
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
        const std::uint32_t life = members[i]->life;
        const auto on_reply = [this, i, life,
                               ticket = call.ticket](auto answer) {
            reply(i, life, {ticket, std::move(answer)});
        };
        if (!is_cut_off(*members[i])) {
            submit(call.request, on_reply);
            return;
        }
        at(now + cut_timeout, [on_reply] {
            on_reply(failure{result_code::platform_unreachable, "cut"});
        });
    }

    void send(const peer_message& message) {
        const message_fate fate = fate_of_message(message);
        for (std::uint32_t copy = 0; copy < fate.copies; ++copy) {
            at(now + fate.delay * (copy + 1), [this, message] {
                on_arrival(message);
                deliver(message);
            });
        }
    }

    void reply(std::size_t i, std::uint32_t life,
               const platform_reply& answer) {
        member& one = *members[i];
        if (!one.is_running || one.life != life) {
            return;
        }
        command_list out;
        one.server->on_platform_reply(answer, now, out);
        carry_out(i, out);
    }

    void submit(const platform_request& request,
                const std::function<void(outcome<platform_answer>)>& on_reply) {
        ++platform_calls;
        const platform_fate fate = fate_of_call(request);
        at(now + fate.delay / 2, [this, request, fate, on_reply] {
            const bool is_watch = std::holds_alternative<watch_prefix>(request);
            if (is_watch && !fate.is_lost) {
                wait(std::get<watch_prefix>(request), fate, on_reply);
                return;
            }
            outcome<platform_answer> answer =
                failure{result_code::platform_unreachable, "lost"};
            if (fate.has_effect && !is_watch) {
                answer = platform.answer(request);
                wake_watches();
            }
            if (fate.is_lost) {
                answer = failure{result_code::platform_unreachable, "lost"};
            }
            at(now + fate.delay / 2, [on_reply, answer] { on_reply(answer); });
        });
    }

    void wait(const watch_prefix& watch, platform_fate fate,
              const std::function<void(outcome<platform_answer>)>& on_reply) {
        const std::uint64_t id = ++next_watch_;
        watches_[id] = {watch, [this, fate, on_reply](auto answer) {
                            at(now + fate.delay / 2,
                               [on_reply, answer] { on_reply(answer); });
                        }};
        at(now + watch_time, [this, id] {
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
        for (auto one = watches_.begin(); one != watches_.end();) {
            if (!platform.has_change_since(one->second.watch)) {
                ++one;
                continue;
            }
            const auto answer = one->second.reply;
            one = watches_.erase(one);
            answer(platform_answer{.revision = platform.revision()});
        }
    }

    void advance(const std::shared_ptr<publish_protocol>& protocol,
                 const publish_step& step,
                 const std::function<void(const publish_result&)>& on_result) {
        if (const auto* result = std::get_if<publish_result>(&step.next)) {
            has_news_ = true;
            on_result(*result);
            return;
        }
        const auto request = std::get<platform_request>(step.next);
        at(now + step.pause, [this, protocol, request, on_result] {
            submit(request, [this, protocol, on_result](auto answer) {
                advance(protocol, protocol->on_reply(answer, now), on_result);
            });
        });
    }

    static void check(member& one, const configuration_view& view) {
        for (const auto& [name, held] : view.services()) {
            store_revision& seen = one.seen[name];
            one.times_back += held.revision < seen ? 1 : 0;
            seen = std::max(seen, held.revision);
        }
        for (const auto& [name, seen] : one.seen) {
            one.times_back += view.find(name) == nullptr ? 1 : 0;
        }
    }

    std::uint64_t seed_;
    bool has_news_ = false;
    seeded_random_source operator_random_{99};
    std::map<instance_id, std::size_t> index_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::map<std::uint64_t, pending_watch> watches_;
    std::uint64_t next_watch_ = 0;
};

/// A valid document whose one interesting number is `mark`.
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

#pragma once

#include "core/state_chart.hpp"
#include "servers/control/order_server.hpp"
#include "tests/fakes/fake_platform_store.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace savorydock {

/// An upstream in the simulation.
struct simulated_upstream {
    upstream_rule rule;
    weight_version version = 1;
    weight_version loading = 0;
    fencing_number fencing = 0;
    /// The newest order that took effect: fencing number and ticket.
    std::pair<fencing_number, std::uint64_t> newest{};
    /// Orders that took effect after a newer one.
    std::uint32_t overtaken = 0;
    std::uint32_t swaps_to_fail = 0;
    std::vector<steady_time> ordered_at;
    std::vector<fencing_number> ordered_by;
};

enum class call_fault : std::uint8_t { none, lost_answer, lost_call, slow };
enum class order_fault : std::uint8_t { none, lost_answer, late, duplicated };

/// Order servers, the platform's store and upstreams in virtual time. The
/// functions `next_call_fault` and `next_order_fault` choose the fault of each
/// call and order.
class order_simulation : public holder_candidates {
public:
    static constexpr std::chrono::milliseconds step{200};
    static constexpr std::chrono::seconds call_deadline{5};
    static constexpr std::chrono::seconds swap_time{2};

    struct node {
        std::unique_ptr<order_server> server;
        steady_time paused_until{};
        bool is_stopped = false;
        command_list outbox;
        std::deque<std::function<void()>> inbox;
    };

    explicit order_simulation(std::size_t count)
        : chart(*state_chart::load(std::string(SAVORYDOCK_SOURCE_DIR) +
                                   "/charts/order_life.json")) {
        nodes.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            restart(i);
        }
    }

    /// Replaces the process of a node by a new one.
    void restart(std::size_t index) {
        nodes[index].server = std::make_unique<order_server>(
            instance_id("i" + std::to_string(index)), availability_zone("a"),
            chart, *this, options);
        nodes[index].outbox.clear();
        nodes[index].inbox.clear();
    }

    std::uint32_t rank(const std::string&, std::uint32_t) const override {
        // Called while `current_node` runs. All nodes have the same rank
        // unless `is_ranked` is set.
        return is_ranked ? current_node : holder_rank;
    }

    void add_upstream(const std::string& name, bool checks_fencing) {
        upstreams[upstream_id(name)].rule = {.name = upstream_id(name),
                                             .zone = availability_zone("a"),
                                             .checks_fencing = checks_fencing};
    }

    void set_target(weight_version version, weight_version rollback_from = 0) {
        auto document = std::make_shared<service_document>();
        document->service = service_name("s");
        document->kind = service_kind::model;
        document->weights = {.version = version,
                             .rollback_from = rollback_from,
                             .idle_weight = 0,
                             .capacity_floor = 0};
        for (const auto& [name, upstream] : upstreams) {
            document->upstreams.push_back(upstream.rule);
        }
        view_ = std::make_shared<configuration_view>(
            std::map<service_name, service_in_force>{
                {document->service, {++revision_, document}}},
            revision_);
        for (node& each : nodes) {
            receive(each, [this, &each, view = view_] {
                each.server->on_configuration(view, now, each.outbox);
            });
        }
    }

    void pause(std::size_t index, std::chrono::milliseconds time) {
        nodes[index].paused_until = now + time;
    }

    void run(std::chrono::milliseconds time) {
        for (const steady_time end = now + time; now < end;) {
            now += step;
            store.expire(now);
            while (!events_.empty() && events_.begin()->first <= now) {
                const auto event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                current_node = static_cast<std::uint32_t>(i);
                run_node(nodes[i]);
            }
        }
    }

    [[nodiscard]] bool are_all_at(weight_version version) const {
        return std::all_of(
            upstreams.begin(), upstreams.end(),
            [&](const auto& each) { return each.second.version == version; });
    }
    [[nodiscard]] std::uint32_t overtaken() const {
        std::uint32_t sum = 0;
        for (const auto& [name, upstream] : upstreams) {
            sum += upstream.overtaken;
        }
        return sum;
    }
    [[nodiscard]] std::size_t holders() const {
        std::size_t sum = 0;
        for (const node& each : nodes) {
            const auto rows = each.server->status();
            sum += !rows.empty() && rows[0].fencing != 0 ? 1 : 0;
        }
        return sum;
    }

    order_options options;
    state_chart chart;
    std::uint32_t holder_rank = 0;
    /// If true, the rank of a node is its index: the first node is the first
    /// candidate, the second its standby.
    bool is_ranked = false;
    std::uint32_t current_node = 0;
    bool is_platform_unreachable = false;
    std::function<call_fault(const platform_request&)> next_call_fault =
        [](const auto&) { return call_fault::none; };
    std::function<order_fault(const upstream_order&)> next_order_fault =
        [](const auto&) { return order_fault::none; };
    std::chrono::milliseconds late_delivery{25'000};
    steady_time now{std::chrono::hours(1)};
    fake_platform_store store;
    std::map<upstream_id, simulated_upstream> upstreams;
    std::vector<node> nodes;
    std::uint64_t platform_calls = 0;
    std::uint64_t orders = 0;

private:
    void receive(node& target, std::function<void()> event) {
        target.inbox.push_back(std::move(event));
    }
    void schedule(std::chrono::milliseconds delay,
                  std::function<void()> event) {
        events_.emplace(now + delay, std::move(event));
    }

    void run_node(node& each) {
        if (each.is_stopped || now < each.paused_until) {
            return;
        }
        // Commands from before a pause are carried out after it.
        command_list commands = std::exchange(each.outbox, {});
        for (control_command& command : commands) {
            if (auto* const call = std::get_if<platform_call>(&command)) {
                call_platform(each, *call);
            } else if (auto* const order =
                           std::get_if<upstream_order>(&command)) {
                send_to_upstream(each, *order);
            }
        }
        while (!each.inbox.empty()) {
            each.inbox.front()();
            each.inbox.pop_front();
        }
        each.server->on_tick(now, each.outbox);
    }

    void call_platform(node& caller, const platform_call& call) {
        ++platform_calls;
        const call_fault fault = is_platform_unreachable
                                     ? call_fault::lost_call
                                     : next_call_fault(call.request);
        const auto delay =
            fault == call_fault::slow ? std::chrono::milliseconds(4'000) : step;
        const auto fail = [this, &caller, ticket = call.ticket] {
            reply(caller,
                  {ticket, failure{result_code::platform_unreachable, "out"}});
        };
        if (fault == call_fault::lost_call) {
            schedule(call_deadline, fail);
            return;
        }
        const bool is_lost = fault == call_fault::lost_answer;
        if (is_lost) {
            schedule(call_deadline, fail);
        }
        schedule(delay, [this, &caller, call, is_lost, delay] {
            platform_reply answer{call.ticket, execute_request(call.request)};
            if (!is_lost) {
                schedule(delay,
                         [this, &caller, answer] { reply(caller, answer); });
            }
        });
    }

    void reply(node& caller, const platform_reply& answer) {
        receive(caller, [this, &caller, answer] {
            caller.server->on_platform_reply(answer, now, caller.outbox);
        });
    }

    outcome<platform_answer> execute_request(const platform_request& request) {
        platform_answer answer;
        if (const auto* const read = std::get_if<read_range>(&request)) {
            answer.values = store.read({read->key, read->key + '\x7f'}, 0);
        } else if (const auto* const swap =
                       std::get_if<compare_and_swap>(&request)) {
            const auto found = store.find(swap->key);
            if ((found ? found->modified : 0) == swap->expected) {
                store.begin();
                if (!store.put(swap->key, swap->value, swap->lease)) {
                    return failure{result_code::lease_not_held, "ended"};
                }
                store.commit();
                answer.has_swapped = true;
            }
        } else if (const auto* const grant =
                       std::get_if<grant_lease>(&request)) {
            answer.lease = store.grant(grant->time_to_live, now);
            answer.time_to_live = grant->time_to_live;
        } else if (const auto* const keep =
                       std::get_if<renew_lease>(&request)) {
            answer.lease = keep->lease;
            answer.time_to_live =
                store.keep(keep->lease, now).value_or(std::chrono::seconds(0));
        } else if (const auto* const revoke =
                       std::get_if<revoke_lease>(&request)) {
            store.revoke(revoke->lease);
        }
        answer.revision = store.revision();
        return answer;
    }

    /// Does the check that the runtime does right before the socket write, and
    /// delivers the call.
    void send_to_upstream(node& sender, const upstream_order& order) {
        const auto answer = [this, &sender,
                             ticket = order.ticket](outcome<std::string> text) {
            receive(sender, [this, &sender,
                             reply = order_reply{ticket, std::move(text)}] {
                sender.server->on_order_reply(reply, now, sender.outbox);
            });
        };
        if (now >= order.not_after) {
            answer(failure{result_code::lease_not_held, "too late"});
            return;
        }
        simulated_upstream& target = upstreams.at(order.upstream);
        if (order.method == order_method::read_state) {
            schedule(step, [&target, answer] { answer(state_json(target)); });
            return;
        }
        ++orders;
        target.ordered_at.push_back(now);
        target.ordered_by.push_back(order.fencing);
        const order_fault fault = next_order_fault(order);
        const bool is_lost =
            fault == order_fault::lost_answer || fault == order_fault::late;
        if (is_lost) {
            schedule(step * 2, [answer] {
                answer(failure{result_code::order_unknown, "lost"});
            });
        }
        const auto delay = fault == order_fault::late
                               ? late_delivery
                               : std::chrono::milliseconds(step);
        schedule(delay, [this, &target, order, answer, is_lost, fault] {
            deliver(target, order, [answer, is_lost, fault](auto text) {
                if (!is_lost) {
                    answer(text);
                }
                if (fault == order_fault::duplicated) {
                    answer(text);
                }
            });
        });
    }

    void deliver(simulated_upstream& target, const upstream_order& order,
                 std::function<void(outcome<std::string>)> answer) {
        if (target.rule.checks_fencing && order.fencing < target.fencing) {
            answer(failure{result_code::fencing_refused, "{}"});
            return;
        }
        target.fencing = std::max(target.fencing, order.fencing);
        const auto wanted = boost::json::parse(order.body)
                                .at("version")
                                .to_number<weight_version>();
        target.loading = wanted;
        const bool is_failing = target.swaps_to_fail > 0;
        target.swaps_to_fail -= is_failing ? 1 : 0;
        schedule(swap_time, [&target, order, answer, wanted, is_failing] {
            target.loading = 0;
            if (is_failing) {
                answer(failure{result_code::failed_by_upstream, "{}"});
                return;
            }
            const std::pair age{order.fencing, order.ticket};
            target.overtaken += age < target.newest ? 1 : 0;
            target.newest = std::max(target.newest, age);
            target.version = wanted;
            answer(state_json(target));
        });
    }

    static std::string state_json(const simulated_upstream& upstream) {
        return boost::json::serialize(boost::json::object{
            {"version", upstream.version},
            {"loading", upstream.loading},
            {"fencing", upstream.rule.checks_fencing ? upstream.fencing : 0},
            {"role", "generate"}});
    }

    std::multimap<steady_time, std::function<void()>> events_;
    std::shared_ptr<const configuration_view> view_;
    store_revision revision_ = 0;
};

} // namespace savorydock

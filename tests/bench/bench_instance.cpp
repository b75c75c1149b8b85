#include "tests/bench/bench_instance.hpp"

#include <utility>

namespace savorydock::bench {

namespace {

constexpr std::uint32_t max_attempts = 4;
constexpr std::chrono::milliseconds publish_period{500};
constexpr std::chrono::milliseconds pick_retry{200};

availability_zone zone_of(std::uint32_t number) {
    return availability_zone("z" + std::to_string(number % zone_count));
}

result_code code_of(upstream_evidence evidence) {
    switch (evidence) {
    case upstream_evidence::answered:
        return result_code::ok;
    case upstream_evidence::connection_lost:
        return result_code::unknown_upstream_lost;
    default:
        return result_code::not_run_refused_by_upstream;
    }
}

} // namespace

bench_instance::bench_instance(const setting& options)
    : setting_(options)
    , service_{1, options.document}
    , view_(std::make_shared<const configuration_view>(
          std::map<service_name, service_in_force>{
              {options.document->service, service_}},
          1))
    , router_(zone_of(options.number),
              options.seed * instance_count + options.number)
    , admission_({}, options.document->classes, options.document->callers) {
    for (const upstream_rule& rule : options.document->upstreams) {
        states_[{options.document->service, rule.name}].version = 1;
    }
    publish();
    setting_.loop.every(publish_period, [this] { publish(); });
}

void bench_instance::publish() {
    router_.publish(view_, std::make_shared<const upstream_state_map>(states_));
    admission_.set_capacity(
        share_of_capacity(router_.load(setting_.document->service)));
    apply_admission_change(admission_.on_tick(setting_.loop.now()));
}

void bench_instance::on_report(std::uint32_t engine,
                               const upstream_state& state) {
    const auto& rule = setting_.document->upstreams[engine];
    states_[{setting_.document->service, rule.name}] = state;
}

void bench_instance::on_prefix_cached(std::uint32_t engine,
                                      std::uint64_t prefix) {
    router_.learn_prefix(setting_.document->service,
                         setting_.document->upstreams[engine].name, prefix,
                         setting_.loop.now());
}

std::uint64_t bench_instance::submit(bench_call call) {
    const std::uint64_t ticket =
        ++next_ticket_ * instance_count + setting_.number;
    const admission_request request{.ticket = ticket,
                                    .class_of_service = call.class_of_service,
                                    .caller = call.caller,
                                    .deadline = call.deadline};
    calls_[ticket].call = std::move(call);
    const steady_time now = setting_.loop.now();
    if (!setting_.policy.has_admission) {
        setting_.loop.after(bench_seconds(0), [=, this] { start(ticket); });
        return ticket;
    }
    const auto verdict = admission_.submit(request, now);
    if (!verdict) {
        const result_code code = verdict.reason().code;
        setting_.loop.after(bench_seconds(0),
                            [=, this] { end(ticket, {code}); });
    } else if (*verdict == admission_verdict::granted) {
        setting_.loop.after(bench_seconds(0), [=, this] { start(ticket); });
    }
    return ticket;
}

void bench_instance::start(std::uint64_t ticket) {
    const auto found = calls_.find(ticket);
    if (found == calls_.end()) {
        return;
    }
    const bench_call& call = found->second.call;
    const steady_time now = setting_.loop.now();
    const auto choice = router_.pick({.service = service_,
                                      .class_of_service = call.class_of_service,
                                      .prefix_hash = call.prefix,
                                      .expected_tokens = call.expected_tokens,
                                      .minimum_version = call.minimum_version,
                                      .excluded = call.excluded},
                                     now);
    if (choice) {
        const auto& rules = setting_.document->upstreams;
        send(ticket,
             static_cast<std::uint32_t>(choice->upstream.get() - rules.data()),
             choice->is_cross_zone);
        return;
    }
    if (now + pick_retry >= call.deadline) {
        end(ticket, {choice.reason().code});
        return;
    }
    found->second.call.excluded.clear();
    setting_.loop.after(pick_retry, [=, this] { start(ticket); });
}

void bench_instance::send(std::uint64_t ticket, std::uint32_t engine,
                          bool crosses_zones) {
    pending_call& pending = calls_.at(ticket);
    const bench_call& call = pending.call;
    const service_name& service = setting_.document->service;
    pending.engine = engine;
    pending.sent = setting_.loop.now();
    ++pending.attempts;
    ++attempt_count_;
    router_.begin(service, setting_.document->upstreams[engine].name);
    const bench_seconds network_delay =
        crosses_zones ? setting_.size.zone_delay : bench_seconds(0);
    const class_rule* const rule =
        setting_.document->find_class(call.class_of_service);
    engine_run run{.id = ticket,
                   .prefix = call.prefix,
                   .tokens = call.tokens,
                   .first_tokens = call.first_tokens,
                   .first_version = call.first_version,
                   .is_interactive = rule->is_interactive,
                   .on_start = call.on_start};
    run.on_end = [=, this](const engine_result& result) {
        setting_.loop.after(network_delay,
                            [=, this] { handle_result(ticket, result); });
    };
    setting_.loop.after(network_delay, [=, this, run = std::move(run)] {
        // The call may have been cancelled during the network delay.
        if (calls_.contains(ticket)) {
            setting_.engines[engine]->submit(run);
        }
    });
}

void bench_instance::handle_result(std::uint64_t ticket,
                                   const engine_result& result) {
    const auto found = calls_.find(ticket);
    if (found == calls_.end() || !found->second.engine) {
        return;
    }
    pending_call& pending = found->second;
    const upstream_id& name =
        setting_.document->upstreams[*pending.engine].name;
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
        setting_.loop.now() - pending.sent);
    const std::uint32_t fresh =
        std::max(1U, pending.call.tokens - pending.call.first_tokens);
    router_.finish(setting_.document->service, name, result.evidence,
                   took / fresh);
    pending.engine.reset();
    const bool is_refused =
        code_of(result.evidence) == result_code::not_run_refused_by_upstream;
    const bool may_retry = pending.call.is_retried || is_refused;
    if (result.evidence != upstream_evidence::answered && may_retry &&
        pending.attempts < max_attempts) {
        pending.call.excluded.push_back(name);
        start(ticket);
        return;
    }
    end(ticket,
        {code_of(result.evidence), result.tokens, result.oldest_version});
}

void bench_instance::end(std::uint64_t ticket, const call_end& outcome) {
    const auto found = calls_.find(ticket);
    if (found == calls_.end()) {
        return;
    }
    const auto on_end = std::move(found->second.call.on_end);
    calls_.erase(found);
    if (setting_.policy.has_admission) {
        apply_admission_change(admission_.release(ticket, setting_.loop.now()));
    }
    on_end(outcome);
}

void bench_instance::apply_admission_change(const admission_change& change) {
    for (const std::uint64_t ticket : change.granted) {
        setting_.loop.after(bench_seconds(0), [=, this] { start(ticket); });
    }
    for (const std::uint64_t ticket : change.expired) {
        setting_.loop.after(bench_seconds(0), [=, this] {
            end(ticket, {result_code::not_run_deadline});
        });
    }
}

void bench_instance::cancel(std::uint64_t ticket) {
    const auto found = calls_.find(ticket);
    if (found == calls_.end()) {
        return;
    }
    if (const auto engine = found->second.engine) {
        setting_.engines[*engine]->cancel(ticket);
        router_.finish(setting_.document->service,
                       setting_.document->upstreams[*engine].name,
                       upstream_evidence::reported_overloaded, {});
    }
    calls_.erase(found);
    if (setting_.policy.has_admission && !admission_.cancel(ticket)) {
        apply_admission_change(admission_.release(ticket, setting_.loop.now()));
    }
}

std::optional<std::uint32_t> bench_instance::tokens_of(std::uint64_t ticket) {
    const auto found = calls_.find(ticket);
    if (found == calls_.end() || !found->second.engine) {
        return std::nullopt;
    }
    return setting_.engines[*found->second.engine]->tokens_of(ticket);
}

bool bench_instance::is_paused(std::uint64_t ticket) const {
    const auto found =
        states_.find({setting_.document->service, upstream_of(ticket)});
    return found != states_.end() &&
           found->second.condition == upstream_condition::swapping;
}

upstream_id bench_instance::upstream_of(std::uint64_t ticket) const {
    const auto found = calls_.find(ticket);
    if (found == calls_.end() || !found->second.engine) {
        return {};
    }
    return setting_.document->upstreams[*found->second.engine].name;
}

} // namespace savorydock::bench

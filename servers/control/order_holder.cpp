#include "servers/control/order_holder.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace savorydock {

namespace {

constexpr const char* key_prefix = "/savorydock/holders/";
/// Ranks from this one on don't try to become a holder.
constexpr std::uint32_t max_candidates = 2;
/// Surveys that must find no holder before the second candidate tries.
constexpr std::uint32_t standby_surveys = 2;

/// FNV-1a: the same on every instance, unlike std::hash.
std::uint32_t stable_hash(const std::string& text) {
    constexpr std::uint32_t offset = 2'166'136'261;
    constexpr std::uint32_t prime = 16'777'619;
    std::uint32_t hash = offset;
    for (const char each : text) {
        hash = (hash ^ static_cast<unsigned char>(each)) * prime;
    }
    return hash;
}

bool is_ordered(const service_document& document) {
    return document.kind == service_kind::model &&
           document.weights.version != 0 && !document.upstreams.empty();
}

} // namespace

order_holder::order_holder(instance_id self, availability_zone zone,
                           const state_chart& chart,
                           const holder_candidates& candidates,
                           order_options options)
    : self_(std::move(self))
    , zone_(std::move(zone))
    , chart_(&chart)
    , candidates_(&candidates)
    , options_(options)
    , keeper_(options) {}

void order_holder::on_configuration(
    std::shared_ptr<const configuration_view> view, steady_time now,
    command_list& out) {
    std::set<scope_name> named;
    for (const auto& [service, in_force] : view->services()) {
        const service_document& document = *in_force.document;
        if (!is_ordered(document)) {
            continue;
        }
        const bool is_sharded =
            document.upstreams.size() > options_.max_fleet_scope;
        const scope_name name{is_sharded ? zone_.text() : fleet_group, service};
        named.insert(name);
        scope& held =
            scopes_.try_emplace(name, *chart_, options_).first->second;
        held.shard = stable_hash(service.text()) % options_.shards;
        held.holder.configure(document,
                              is_sharded ? std::optional(zone_) : std::nullopt,
                              now, out);
        surveys_.try_emplace(name.group);
    }
    for (auto& [name, held] : scopes_) {
        if (!named.contains(name)) {
            drop(name, held, out);
        }
    }
    std::erase_if(
        scopes_, [&](const auto& each) { return !named.contains(each.first); });
}

bool order_holder::is_concerned(const std::string& group) const {
    return std::any_of(scopes_.begin(), scopes_.end(), [&](const auto& each) {
        return each.first.group == group &&
               (each.second.holder.is_held() ||
                candidates_->rank(group, each.second.shard) < max_candidates);
    });
}

bool order_holder::needs_lease() const {
    if (is_draining_) {
        return keeper_.lease() != 0;
    }
    // One that lapsed here may still be alive on the platform.
    if (keeper_.lease() != 0 && keeper_.lease() == used_lease_) {
        return true;
    }
    // A standby asks for a lease only once there is something to take.
    return std::any_of(scopes_.begin(), scopes_.end(), [&](const auto& each) {
        const scope& held = each.second;
        return held.holder.is_held() ||
               (held.unheld_surveys > 0 &&
                candidates_->rank(each.first.group, held.shard) <
                    max_candidates);
    });
}

void order_holder::on_tick(steady_time now, command_list& out) {
    if (!keeper_.is_valid(now)) {
        drop_all(out);
    }
    if (is_draining_) {
        finish_drain(out);
    }
    for (auto& [group, plan] : surveys_) {
        if (!is_draining_ && now >= plan.next && is_concerned(group)) {
            send_survey(group, plan, now, out);
        }
    }
    if (needs_lease()) {
        keeper_.on_tick(now, tickets_, out);
    }
    for (auto& [name, held] : scopes_) {
        held.holder.set_ordering(!is_draining_);
        held.holder.on_tick(now, keeper_.valid_until(), states_.get(), tickets_,
                            out);
    }
}

void order_holder::send_survey(const std::string& group, survey& plan,
                               steady_time now, command_list& out) {
    const bool is_waiting =
        plan.ticket != 0 && now - plan.sent_at < options_.call_timeout;
    if (is_waiting) {
        return;
    }
    plan = {.ticket = ++tickets_,
            .sent_at = now,
            .next = now + options_.survey_period};
    ++own_platform_calls_;
    out.emplace_back(
        platform_call{plan.ticket, read_range{.key = key_prefix + group + '/',
                                              .is_prefix = true}});
}

void order_holder::on_platform_reply(const platform_reply& reply,
                                     steady_time now, command_list& out) {
    const bool had_lease = keeper_.is_valid(now);
    if (keeper_.on_platform_reply(reply, now)) {
        if (!keeper_.is_valid(now)) {
            drop_all(out);
        } else if (!had_lease) {
            survey_soon();
        }
        return;
    }
    if (on_claim_reply(reply, out)) {
        return;
    }
    for (auto& [group, plan] : surveys_) {
        if (plan.ticket != 0 && plan.ticket == reply.ticket) {
            plan.ticket = 0;
            if (reply.answer) {
                on_survey(group, *reply.answer, now, out);
            }
            return;
        }
    }
}

void order_holder::survey_soon() {
    for (auto& [group, plan] : surveys_) {
        plan.next = {};
    }
}

bool order_holder::on_claim_reply(const platform_reply& reply,
                                  command_list& out) {
    for (auto& [name, held] : scopes_) {
        if (held.claim_ticket == 0 || held.claim_ticket != reply.ticket) {
            continue;
        }
        // Won, lost or unknown: the key itself says who holds the scope.
        held.claim_ticket = 0;
        survey_soon();
        if (!reply.answer &&
            reply.answer.reason().code == result_code::lease_not_held) {
            keeper_.forget();
            drop_all(out);
        }
        return true;
    }
    return false;
}

void order_holder::on_survey(const std::string& group,
                             const platform_answer& answer, steady_time now,
                             command_list& out) {
    std::map<std::string, const stored_value*> found;
    for (const stored_value& value : answer.values) {
        found.emplace(value.key, &value);
    }
    for (auto& [name, held] : scopes_) {
        if (name.group != group) {
            continue;
        }
        const auto key =
            found.find(key_prefix + group + '/' + name.service.text());
        judge_scope(name, held, key == found.end() ? nullptr : key->second, now,
                    out);
    }
}

void order_holder::judge_scope(const scope_name& name, scope& held,
                               const stored_value* found, steady_time now,
                               command_list& out) {
    const bool has_lease = keeper_.is_valid(now);
    const bool is_own = found != nullptr && has_lease &&
                        found->value == self_.text() &&
                        found->lease == keeper_.lease();
    if (!is_own) {
        drop(name, held, out);
    } else if (held.holder.fencing() != found->created) {
        drop(name, held, out);
        const bool is_new = fencing_numbers_.insert(found->created).second;
        held.holder.take_over(found->created, is_new, now);
        used_lease_ = keeper_.lease();
        out.emplace_back(log_command{
            log_event::lease_acquired,
            "group=" + name.group + " service=" + name.service.text() +
                " fencing=" + std::to_string(found->created)});
    }
    held.unheld_surveys = found == nullptr ? held.unheld_surveys + 1 : 0;
    if (found != nullptr || !has_lease || is_draining_) {
        return;
    }
    const std::uint32_t rank = candidates_->rank(name.group, held.shard);
    const bool is_standby =
        rank < max_candidates && held.unheld_surveys >= standby_surveys;
    if (rank == 0 || is_standby) {
        claim(name, held, now, out);
    }
}

void order_holder::claim(const scope_name& name, scope& held, steady_time now,
                         command_list& out) {
    const bool is_waiting =
        held.claim_ticket != 0 && now - held.claimed_at < options_.call_timeout;
    if (is_waiting) {
        return;
    }
    held.claim_ticket = ++tickets_;
    held.claimed_at = now;
    ++own_platform_calls_;
    out.emplace_back(platform_call{
        held.claim_ticket, compare_and_swap{.key = key_prefix + name.group +
                                                   '/' + name.service.text(),
                                            .expected = 0,
                                            .value = self_.text(),
                                            .lease = keeper_.lease()}});
}

void order_holder::drop(const scope_name& name, scope& held,
                        command_list& out) {
    if (!held.holder.is_held()) {
        return;
    }
    out.emplace_back(
        log_command{log_event::lease_lost,
                    "group=" + name.group + " service=" + name.service.text() +
                        " fencing=" + std::to_string(held.holder.fencing())});
    held.holder.drop();
}

void order_holder::drop_all(command_list& out) {
    for (auto& [name, held] : scopes_) {
        drop(name, held, out);
    }
}

void order_holder::on_order_reply(const order_reply& reply, steady_time now,
                                  command_list& out) {
    for (auto& [name, held] : scopes_) {
        if (held.holder.on_order_reply(reply, now, out)) {
            return;
        }
    }
}

void order_holder::on_observation(const upstream_observation& observation,
                                  steady_time now, command_list& out) {
    static_cast<void>(out);
    for (auto& [name, held] : scopes_) {
        if (name.service == observation.service) {
            held.holder.observe(observation, now);
        }
    }
}

void order_holder::begin_drain() {
    is_draining_ = true;
}

void order_holder::finish_drain(command_list& out) {
    const bool is_busy =
        std::any_of(scopes_.begin(), scopes_.end(), [](const auto& each) {
            return each.second.holder.is_held() &&
                   each.second.holder.has_order_in_flight();
        });
    if (is_busy || keeper_.lease() == 0) {
        return;
    }
    drop_all(out);
    keeper_.release(tickets_, out);
}

std::vector<scope_status> order_holder::status() const {
    std::vector<scope_status> rows;
    for (const auto& [name, held] : scopes_) {
        const rollout_planner& planner = held.holder.planner();
        scope_status row{.service = name.service,
                         .group = name.group,
                         .fencing = held.holder.fencing(),
                         .target = planner.goal().target,
                         .stop_reason = planner.stop_reason()};
        for (const auto& [upstream, track] : held.holder.tracks()) {
            ++row.upstreams;
            row.at_target += track.report().version == row.target ? 1 : 0;
            row.ordered += track.pending() != 0 ? 1 : 0;
            row.settling += track.state() == "settling" ? 1 : 0;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::uint64_t order_holder::platform_calls() const {
    return own_platform_calls_ + keeper_.calls();
}

std::uint64_t order_holder::upstream_calls() const {
    std::uint64_t calls = 0;
    for (const auto& [name, held] : scopes_) {
        calls += held.holder.calls();
    }
    return calls;
}

} // namespace savorydock

#include "servers/control/order_server.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace savorydock {

namespace {

constexpr const char* key_prefix = "/savorydock/holders/";
/// Instances with this rank or higher don't try to become a holder.
constexpr std::uint32_t max_candidates = 2;
/// Consecutive polls that must find no holder before the standby tries.
constexpr std::uint32_t standby_polls = 2;

/// FNV-1a. Unlike std::hash, it gives the same result on every instance.
std::uint32_t stable_hash(const std::string& text) {
    constexpr std::uint32_t offset = 2'166'136'261;
    constexpr std::uint32_t prime = 16'777'619;
    std::uint32_t hash = offset;
    for (const char each : text) {
        hash = (hash ^ static_cast<unsigned char>(each)) * prime;
    }
    return hash;
}

bool has_rollout(const service_document& document) {
    return document.kind == service_kind::model &&
           document.weights.version != 0 && !document.upstreams.empty();
}

} // namespace

order_server::order_server(instance_id self, availability_zone zone,
                           const state_chart& chart,
                           const holder_candidates& candidates,
                           order_options options)
    : self_(std::move(self))
    , zone_(std::move(zone))
    , chart_(&chart)
    , candidates_(&candidates)
    , options_(options)
    , lease_keeper_(options) {}

void order_server::on_configuration(
    std::shared_ptr<const configuration_view> view, steady_time now,
    command_list& out) {
    std::set<scope_name> listed;
    for (const auto& [service, in_force] : view->services()) {
        const service_document& document = *in_force.document;
        if (!has_rollout(document)) {
            continue;
        }
        const bool is_sharded =
            document.upstreams.size() > options_.max_unsharded_upstreams;
        const scope_name name{is_sharded ? zone_.text() : fleet_group, service};
        listed.insert(name);
        scope& entry =
            scopes_.try_emplace(name, *chart_, options_).first->second;
        entry.shard = stable_hash(service.text()) % options_.shards;
        entry.controller.configure(
            document, is_sharded ? std::optional(zone_) : std::nullopt, now,
            out);
        key_polls_.try_emplace(name.group);
    }
    for (auto& [name, entry] : scopes_) {
        if (!listed.contains(name)) {
            release_scope(name, entry, out);
        }
    }
    std::erase_if(scopes_, [&](const auto& each) {
        return !listed.contains(each.first);
    });
}

bool order_server::needs_key_poll(const std::string& group) const {
    return std::any_of(scopes_.begin(), scopes_.end(), [&](const auto& each) {
        return each.first.group == group &&
               (each.second.controller.is_held() ||
                candidates_->rank(group, each.second.shard) < max_candidates);
    });
}

bool order_server::needs_lease() const {
    if (is_draining_) {
        return lease_keeper_.lease() != 0;
    }
    // A lease that has expired by local time may still be alive on the
    // platform.
    if (lease_keeper_.lease() != 0 && lease_keeper_.lease() == scope_lease_) {
        return true;
    }
    // A candidate requests a lease only once a scope is without a holder.
    return std::any_of(scopes_.begin(), scopes_.end(), [&](const auto& each) {
        const scope& entry = each.second;
        return entry.controller.is_held() ||
               (entry.unheld_polls > 0 &&
                candidates_->rank(each.first.group, entry.shard) <
                    max_candidates);
    });
}

void order_server::on_tick(steady_time now, command_list& out) {
    if (!lease_keeper_.is_valid(now)) {
        release_all(out);
    }
    if (is_draining_) {
        finish_drain(out);
    }
    for (auto& [group, poll] : key_polls_) {
        if (!is_draining_ && now >= poll.next && needs_key_poll(group)) {
            send_key_poll(group, poll, now, out);
        }
    }
    if (needs_lease()) {
        lease_keeper_.on_tick(now, tickets_, out);
    }
    for (auto& [name, entry] : scopes_) {
        entry.controller.set_ordering(!is_draining_);
        entry.controller.on_tick(now, lease_keeper_.valid_until(),
                                 states_.get(), tickets_, out);
    }
}

void order_server::send_key_poll(const std::string& group, key_poll& poll,
                                 steady_time now, command_list& out) {
    const bool is_waiting =
        poll.ticket != 0 && now - poll.sent_at < options_.call_timeout;
    if (is_waiting) {
        return;
    }
    poll = {.ticket = ++tickets_,
            .sent_at = now,
            .next = now + options_.key_poll_period};
    ++poll_and_claim_calls_;
    out.emplace_back(
        platform_call{poll.ticket, read_range{.key = key_prefix + group + '/',
                                              .is_prefix = true}});
}

void order_server::on_platform_reply(const platform_reply& reply,
                                     steady_time now, command_list& out) {
    const bool had_lease = lease_keeper_.is_valid(now);
    if (lease_keeper_.on_platform_reply(reply, now)) {
        if (!lease_keeper_.is_valid(now)) {
            release_all(out);
        } else if (!had_lease) {
            poll_keys_soon();
        }
        return;
    }
    if (on_claim_reply(reply, out)) {
        return;
    }
    for (auto& [group, poll] : key_polls_) {
        if (poll.ticket != 0 && poll.ticket == reply.ticket) {
            poll.ticket = 0;
            if (reply.answer) {
                on_key_poll_reply(group, *reply.answer, now, out);
            }
            return;
        }
    }
}

void order_server::poll_keys_soon() {
    for (auto& [group, poll] : key_polls_) {
        poll.next = {};
    }
}

bool order_server::on_claim_reply(const platform_reply& reply,
                                  command_list& out) {
    for (auto& [name, entry] : scopes_) {
        if (entry.claim_ticket == 0 || entry.claim_ticket != reply.ticket) {
            continue;
        }
        // Whatever the result of the write, the next poll reads the key and
        // finds out which instance holds the scope.
        entry.claim_ticket = 0;
        poll_keys_soon();
        if (!reply.answer &&
            reply.answer.reason().code == result_code::lease_not_held) {
            lease_keeper_.forget();
            release_all(out);
        }
        return true;
    }
    return false;
}

void order_server::on_key_poll_reply(const std::string& group,
                                     const platform_answer& answer,
                                     steady_time now, command_list& out) {
    std::map<std::string, const stored_value*> found;
    for (const stored_value& value : answer.values) {
        found.emplace(value.key, &value);
    }
    for (auto& [name, entry] : scopes_) {
        if (name.group != group) {
            continue;
        }
        const auto key =
            found.find(key_prefix + group + '/' + name.service.text());
        update_ownership(name, entry,
                         key == found.end() ? nullptr : key->second, now, out);
    }
}

void order_server::update_ownership(const scope_name& name, scope& entry,
                                    const stored_value* found, steady_time now,
                                    command_list& out) {
    const bool has_lease = lease_keeper_.is_valid(now);
    const bool is_own = found != nullptr && has_lease &&
                        found->value == self_.text() &&
                        found->lease == lease_keeper_.lease();
    if (!is_own) {
        release_scope(name, entry, out);
    } else if (entry.controller.fencing() != found->created) {
        release_scope(name, entry, out);
        const bool is_new = past_fencing_numbers_.insert(found->created).second;
        entry.controller.take_over(found->created, is_new, now);
        scope_lease_ = lease_keeper_.lease();
        out.emplace_back(log_command{
            log_event::lease_acquired,
            "group=" + name.group + " service=" + name.service.text() +
                " fencing=" + std::to_string(found->created)});
    }
    entry.unheld_polls = found == nullptr ? entry.unheld_polls + 1 : 0;
    if (found != nullptr || !has_lease || is_draining_) {
        return;
    }
    const std::uint32_t rank = candidates_->rank(name.group, entry.shard);
    const bool is_standby =
        rank < max_candidates && entry.unheld_polls >= standby_polls;
    if (rank == 0 || is_standby) {
        claim(name, entry, now, out);
    }
}

void order_server::claim(const scope_name& name, scope& entry, steady_time now,
                         command_list& out) {
    const bool is_waiting = entry.claim_ticket != 0 &&
                            now - entry.claimed_at < options_.call_timeout;
    if (is_waiting) {
        return;
    }
    entry.claim_ticket = ++tickets_;
    entry.claimed_at = now;
    ++poll_and_claim_calls_;
    out.emplace_back(platform_call{
        entry.claim_ticket, compare_and_swap{.key = key_prefix + name.group +
                                                    '/' + name.service.text(),
                                             .expected = 0,
                                             .value = self_.text(),
                                             .lease = lease_keeper_.lease()}});
}

void order_server::release_scope(const scope_name& name, scope& entry,
                                 command_list& out) {
    if (!entry.controller.is_held()) {
        return;
    }
    out.emplace_back(log_command{
        log_event::lease_lost,
        "group=" + name.group + " service=" + name.service.text() +
            " fencing=" + std::to_string(entry.controller.fencing())});
    entry.controller.relinquish();
}

void order_server::release_all(command_list& out) {
    for (auto& [name, entry] : scopes_) {
        release_scope(name, entry, out);
    }
}

void order_server::on_order_reply(const order_reply& reply, steady_time now,
                                  command_list& out) {
    for (auto& [name, entry] : scopes_) {
        if (entry.controller.on_order_reply(reply, now, out)) {
            return;
        }
    }
}

void order_server::on_observation(const upstream_observation& observation,
                                  steady_time now, command_list& out) {
    static_cast<void>(out);
    for (auto& [name, entry] : scopes_) {
        if (name.service == observation.service) {
            entry.controller.observe(observation, now);
        }
    }
}

void order_server::begin_drain() {
    is_draining_ = true;
}

void order_server::finish_drain(command_list& out) {
    const bool is_busy =
        std::any_of(scopes_.begin(), scopes_.end(), [](const auto& each) {
            return each.second.controller.is_held() &&
                   each.second.controller.has_order_in_flight();
        });
    if (is_busy || lease_keeper_.lease() == 0) {
        return;
    }
    release_all(out);
    lease_keeper_.release(tickets_, out);
}

std::vector<scope_status> order_server::status() const {
    std::vector<scope_status> rows;
    for (const auto& [name, entry] : scopes_) {
        const rollout_planner& planner = entry.controller.planner();
        scope_status row{.service = name.service,
                         .group = name.group,
                         .fencing = entry.controller.fencing(),
                         .target = planner.goal().target,
                         .stop_reason = planner.stop_reason()};
        for (const auto& [upstream, tracker] : entry.controller.trackers()) {
            ++row.upstreams;
            row.at_target += tracker.report().version == row.target ? 1 : 0;
            row.ordered += tracker.pending() != 0 ? 1 : 0;
            row.settling += tracker.state() == "settling" ? 1 : 0;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::uint64_t order_server::platform_calls() const {
    return poll_and_claim_calls_ + lease_keeper_.calls();
}

std::uint64_t order_server::upstream_calls() const {
    std::uint64_t calls = 0;
    for (const auto& [name, entry] : scopes_) {
        calls += entry.controller.calls();
    }
    return calls;
}

} // namespace savorydock

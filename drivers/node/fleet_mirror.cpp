#include "drivers/node/fleet_mirror.hpp"

#include "platform/configuration_codec.hpp"

namespace savorydock {

namespace {

/// Upstreams whose entries expired during a store outage register again about
/// two seconds after the store is reachable again, as the store's protocol
/// states.
constexpr std::chrono::milliseconds reregistration_time{2'200};

} // namespace

fleet_mirror::fleet_mirror(boost::asio::io_context& context, fleet_state& fleet,
                           fleet_events events, logger& log)
    : fleet_(fleet)
    , events_(std::move(events))
    , log_(log)
    , operator_listener_(*this)
    , upstream_listener_(*this)
    , removal_timer_(context) {
    fleet_.on_leaving = [this] { publish_upstreams(); };
}

void fleet_mirror::operator_listener::on_changes(
    const std::vector<store_change>& changes, bool) {
    for (const store_change& change : changes) {
        owner_.apply_operator_change(change);
    }
}

void fleet_mirror::upstream_listener::on_changes(
    const std::vector<store_change>& changes, bool) {
    for (const store_change& change : changes) {
        owner_.apply_upstream_change(change);
    }
    if (!changes.empty()) {
        owner_.publish_upstreams();
    }
}

void fleet_mirror::apply_configuration(const stored_value& value) {
    auto configuration =
        platform::decode_configuration(value.value, value.modified);
    if (!configuration) {
        log_.write(log_event::configuration_refused,
                   "revision=" + std::to_string(value.modified) + " reason=\"" +
                       configuration.reason().detail + '"');
        return;
    }
    if (fleet_.routes &&
        fleet_.routes->configuration().revision >= value.modified) {
        log_.write(log_event::configuration_stale_ignored,
                   "revision=" + std::to_string(value.modified));
        return;
    }
    log_.write(log_event::configuration_in_force,
               "version=" + std::to_string(configuration->version) +
                   " revision=" + std::to_string(value.modified) +
                   " routes=" + std::to_string(configuration->routes.size()) +
                   " organisations=" +
                   std::to_string(configuration->organisations.size()) +
                   " bytes=" + std::to_string(value.value.size()) + ' ' +
                   to_text(fleet_.find_view_age()));
    fleet_.routes = std::make_shared<const route_table>(
        std::make_shared<const fleet_configuration>(std::move(*configuration)));
    events_.on_fleet_update();
}

void fleet_mirror::apply_operator_change(const store_change& change) {
    const std::string& key = change.value.key;
    if (key == platform::configuration_key && !change.is_removed) {
        apply_configuration(change.value);
        return;
    }
    if (const auto machine = platform::decode_retirement(key)) {
        if (change.is_removed) {
            retirements_.erase(*machine);
            return;
        }
        retirements_.insert(*machine);
        events_.on_retirement(*machine);
        return;
    }
    if (change.is_removed) {
        return;
    }
    const auto wanted =
        platform::decode_wanted_version(key, change.value.value);
    if (!wanted) {
        return;
    }
    weight_version& known = wanted_versions_[wanted->model];
    if (wanted->version > known) {
        known = wanted->version;
        log_.write(log_event::rollout_started,
                   "model=" + wanted->model +
                       " version=" + std::to_string(wanted->version) +
                       " revision=" + std::to_string(change.value.modified));
        events_.on_version(wanted->model, wanted->version);
    }
}

void fleet_mirror::apply_upstream_change(const store_change& change) {
    const std::string& key = change.value.key;
    if (!key.starts_with(platform::upstream_prefix)) {
        return;
    }
    const upstream_id id(key.substr(platform::upstream_prefix.size()));
    if (change.is_removed) {
        ignored_.erase(id);
        const steady_time outage_end = events_.outage_ended_at();
        const steady_time remove_at = outage_end + reregistration_time;
        const bool is_outage_recent =
            outage_end != steady_time{} &&
            remove_at > std::chrono::steady_clock::now();
        if (is_outage_recent && upstreams_.contains(id)) {
            pending_removals_.try_emplace(id, remove_at);
            remove_due_upstreams();
            return;
        }
        pending_removals_.erase(id);
        if (upstreams_.erase(id) > 0) {
            log_.write(log_event::upstream_gone,
                       "upstream=" + id.text() + " revision=" +
                           std::to_string(change.value.modified));
        }
        return;
    }
    auto entry = platform::decode_upstream(key, change.value.value);
    if (!entry) {
        pending_removals_.erase(id);
        upstreams_.erase(id);
        if (ignored_.insert(id).second) {
            log_.write(
                log_event::upstream_entry_ignored,
                "key=" + key + " reason=\"" + entry.reason().detail +
                    "\" revision=" + std::to_string(change.value.modified));
        }
        return;
    }
    ignored_.erase(id);
    pending_removals_.erase(id);
    const auto known = upstreams_.find(id);
    if (known == upstreams_.end() ||
        known->second.is_draining != entry->is_draining ||
        known->second.started_at != entry->started_at) {
        log_.write(entry->is_draining ? log_event::upstream_leaving
                                      : log_event::upstream_registered,
                   "upstream=" + id.text() +
                       " service=" + entry->service.text() +
                       " address=" + to_text(entry->address) +
                       " software=" + entry->software.text() +
                       " revision=" + std::to_string(change.value.modified));
    }
    upstreams_[id] = std::move(*entry);
}

void fleet_mirror::remove_due_upstreams() {
    const steady_time now = std::chrono::steady_clock::now();
    bool has_removed = false;
    std::optional<steady_time> next;
    for (auto at = pending_removals_.begin(); at != pending_removals_.end();) {
        if (at->second > now) {
            next = next ? std::min(*next, at->second) : at->second;
            ++at;
            continue;
        }
        log_.write(log_event::upstream_gone,
                   "upstream=" + at->first.text() +
                       " reason=\"not registered again after a store outage\"");
        upstreams_.erase(at->first);
        has_removed = true;
        at = pending_removals_.erase(at);
    }
    if (has_removed) {
        publish_upstreams();
    }
    if (next) {
        removal_timer_.expires_at(*next);
        removal_timer_.async_wait(
            [this](const boost::system::error_code& error) {
                if (!error) {
                    remove_due_upstreams();
                }
            });
    }
}

void fleet_mirror::publish_upstreams() {
    fleet_.upstreams.clear();
    for (const auto& [id, entry] : upstreams_) {
        fleet_.upstreams.push_back(entry);
    }
    fleet_.pool.set_upstreams(fleet_.upstreams);
    for (upstream_entry& entry : fleet_.upstreams) {
        // Its answers may be ahead of the list.
        entry.is_draining = entry.is_draining || fleet_.pool.is_leaving(entry);
    }
    events_.on_fleet_update();
}

} // namespace savorydock

#include "servers/versions/version_rollout.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace savorydock {

version_rollout::version_rollout(version_rollout_options options,
                                 const engine_workload& workload)
    : options_(std::move(options))
    , workload_(workload) {}

void version_rollout::on_term(std::optional<fencing_number> term,
                              order_delays delays) {
    term_ = term;
    delays_ = std::move(delays);
    for (auto& [id, progress] : upstreams_) {
        progress.current.reset();
        progress.is_accepted = false;
        progress.needs_load_report = true;
        progress.is_load_report_requested = false;
        progress.ordered.clear();
    }
}

void version_rollout::on_target_version(const std::string& model,
                                        weight_version version) {
    weight_version& target = targets_[model];
    target = std::max(target, version);
}

void version_rollout::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                   steady_time now) {
    std::set<upstream_id> listed;
    std::set<std::string> models;
    for (const upstream_entry& entry : upstreams) {
        listed.insert(entry.id);
        for (const auto& [model, version] : entry.versions) {
            models.insert(model);
        }
        upstream_progress& progress = upstreams_[entry.id];
        if (progress.entry.started_at != entry.started_at ||
            progress.entry.id != entry.id) {
            progress = {};
        }
        progress.entry = entry;
        if (progress.current && progress.is_accepted) {
            const auto version = entry.versions.find(progress.current->model);
            if (version != entry.versions.end() &&
                version->second >= progress.current->version) {
                progress.busy_until = now;
            }
        }
    }
    std::erase_if(upstreams_,
                  [&](const auto& row) { return !listed.contains(row.first); });
    model_count_ = std::max<std::size_t>(1, models.size());
    finish_loads(now);
}

void version_rollout::finish_loads(steady_time now) {
    for (auto& [id, progress] : upstreams_) {
        if (progress.current && progress.is_accepted &&
            progress.busy_until <= now) {
            progress.current.reset();
            progress.is_accepted = false;
        }
    }
}

void version_rollout::on_answer(const version_order& order, order_answer answer,
                                steady_time now) {
    const auto found = upstreams_.find(order.upstream);
    if (found == upstreams_.end() || !found->second.current ||
        found->second.current->fencing != order.fencing) {
        return;
    }
    upstream_progress& progress = found->second;
    switch (answer) {
    case order_answer::accepted:
        progress.is_accepted = true;
        progress.accepted_orders = order.expected_orders + 1;
        progress.busy_until = now + options_.load_time;
        break;
    case order_answer::already_holds:
        progress.current.reset();
        break;
    case order_answer::conflict:
    case order_answer::unknown:
        // The number of accepted orders may differ from the recorded one.
        progress.current.reset();
        progress.needs_load_report = true;
        progress.not_before = now + options_.retry_pause;
        return;
    case order_answer::fenced_off:
    case order_answer::invalid:
    case order_answer::wrong_upstream:
        progress.current.reset();
        progress.not_before = now + options_.confirm_time;
        return;
    }
    progress.ordered[order.model] = order.version;
    progress.ordered_at[order.model] = now;
}

void version_rollout::on_load_report(
    const upstream_id& upstream,
    const std::optional<upstream_load_report>& load, steady_time now) {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    upstream_progress& progress = found->second;
    progress.is_load_report_requested = false;
    if (!load) {
        progress.not_before = now + options_.retry_pause;
        return;
    }
    progress.needs_load_report = load->is_busy_with_order;
    progress.accepted_orders = load->accepted_orders;
    progress.not_before =
        load->is_busy_with_order ? now + options_.retry_pause : now;
}

bool version_rollout::is_load_pending(const upstream_progress& progress,
                                      const std::string& model,
                                      weight_version target,
                                      steady_time now) const {
    const auto ordered = progress.ordered.find(model);
    return (ordered != progress.ordered.end() && ordered->second >= target &&
            now < progress.ordered_at.at(model) + options_.confirm_time) ||
           (progress.current && progress.current->model == model &&
            progress.current->version >= target);
}

steady_time version_rollout::order_time(const upstream_id& upstream) const {
    const auto delay = delays_.upstreams.find(upstream);
    return delay == delays_.upstreams.end() ? delays_.all_until : delay->second;
}

version_rollout::model_views
version_rollout::view_models(steady_time now) const {
    model_views models;
    for (const auto& [model, target] : targets_) {
        model_view view{.target = target,
                        .oldest_allowed = workload_.min_allowed_version(model),
                        .has_waiting = workload_.has_waiting(model)};
        for (const auto& [id, progress] : upstreams_) {
            const auto held = progress.entry.versions.find(model);
            if (held == progress.entry.versions.end() ||
                progress.entry.is_draining) {
                continue;
            }
            const bool is_current =
                held->second >= target ||
                is_load_pending(progress, model, target, now);
            ++view.engines;
            view.current += is_current ? 1 : 0;
            view.usable +=
                is_current || held->second >= view.oldest_allowed ? 1 : 0;
        }
        models[model] = view;
    }
    return models;
}

std::size_t version_rollout::busy_load_quota(const model_view& view) const {
    const auto share = std::min(options_.busy_load_share,
                                1.0 / static_cast<double>(model_count_));
    return static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(view.engines)));
}

std::size_t version_rollout::idle_load_quota(const model_view& view) const {
    return (view.engines + model_count_ - 1) / model_count_;
}

bool version_rollout::may_load(const load_candidate& load,
                               const model_view& view) const {
    const bool is_idle = !view.has_waiting && load.runs == 0;
    const bool is_needed_by_waiting =
        view.has_waiting && load.held < view.oldest_allowed;
    // With a single model, an engine that its jobs can't use has no other
    // work; with several models it may serve the others.
    const bool is_unusable =
        model_count_ == 1 && load.held < view.oldest_allowed;
    return view.current < busy_load_quota(view) ||
           (is_idle && view.current < idle_load_quota(view)) ||
           is_needed_by_waiting || is_unusable;
}

std::vector<version_rollout::load_candidate>
version_rollout::find_candidates(const model_views& models, steady_time now) {
    std::vector<load_candidate> found;
    for (auto& [id, progress] : upstreams_) {
        if (progress.current || progress.not_before > now ||
            order_time(id) > now || progress.entry.is_draining ||
            progress.is_load_report_requested) {
            continue;
        }
        const std::size_t first = found.size();
        std::size_t usable = 0;
        for (const auto& [model, held] : progress.entry.versions) {
            const auto view = models.find(model);
            if (view == models.end()) {
                continue;
            }
            usable += held >= view->second.oldest_allowed ? 1 : 0;
            const bool is_pending =
                is_load_pending(progress, model, view->second.target, now);
            if (held < view->second.target && !is_pending) {
                found.push_back({.progress = &progress,
                                 .model = &view->first,
                                 .held = held,
                                 .runs = workload_.runs_on(id, model)});
            }
        }
        for (std::size_t at = first; at < found.size(); ++at) {
            const bool counts_own_model =
                found[at].held >= models.at(*found[at].model).oldest_allowed;
            found[at].other_models = usable - (counts_own_model ? 1 : 0);
        }
    }
    return found;
}

std::vector<version_rollout::load_candidate>::iterator
version_rollout::choose_candidate(std::vector<load_candidate>& candidates,
                                  const model_views& models) const {
    const auto rank = [&](const load_candidate& load) {
        const model_view& view = models.at(*load.model);
        return std::tuple(!view.has_waiting, view.usable,
                          load.held >= view.oldest_allowed, load.runs > 0,
                          load.other_models, load.held, load.runs);
    };
    auto best = candidates.end();
    for (auto at = candidates.begin(); at != candidates.end(); ++at) {
        if (may_load(*at, models.at(*at->model)) &&
            (best == candidates.end() || rank(*at) < rank(*best))) {
            best = at;
        }
    }
    return best;
}

version_order version_rollout::make_order(const load_candidate& load,
                                          steady_time now) {
    upstream_progress& progress = *load.progress;
    progress.current =
        version_order{.upstream = progress.entry.id,
                      .model = *load.model,
                      .version = targets_.at(*load.model),
                      .holder = options_.holder,
                      .fencing = *term_,
                      .expected_orders = progress.accepted_orders};
    progress.is_accepted = false;
    progress.busy_until = now + options_.load_time;
    return *progress.current;
}

std::size_t version_rollout::loading_limit() const {
    const double share =
        options_.loading_share * static_cast<double>(upstreams_.size());
    return std::max<std::size_t>(1,
                                 static_cast<std::size_t>(std::lround(share)));
}

version_rollout_commands version_rollout::advance(steady_time now) {
    version_rollout_commands commands;
    if (!term_) {
        return commands;
    }
    finish_loads(now);
    last_advance_ = now;
    std::size_t loading = 0;
    for (const auto& [id, progress] : upstreams_) {
        loading += progress.current ? 1 : 0;
    }
    const std::size_t limit = loading_limit();
    if (loading >= limit) {
        return commands;
    }
    model_views models = view_models(now);
    std::vector<load_candidate> candidates = find_candidates(models, now);
    while (loading < limit) {
        const auto next = choose_candidate(candidates, models);
        if (next == candidates.end()) {
            break;
        }
        const load_candidate load = *next;
        model_view& view = models.at(*load.model);
        view.usable += load.held < view.oldest_allowed ? 1 : 0;
        ++view.current;
        ++loading;
        if (load.progress->needs_load_report) {
            // Counts against the limit, so that no more load reports are
            // requested than engines may load.
            load.progress->is_load_report_requested = true;
            commands.load_report_requests.push_back(load.progress->entry.id);
        } else {
            commands.orders.push_back(make_order(load, now));
        }
        std::erase_if(candidates, [&](const load_candidate& other) {
            return other.progress == load.progress;
        });
    }
    return commands;
}

std::optional<steady_time> version_rollout::next_wakeup() const {
    std::optional<steady_time> next;
    const auto consider = [&](steady_time at) {
        next = next ? std::min(*next, at) : at;
    };
    if (!term_) {
        return next;
    }
    for (const auto& [id, progress] : upstreams_) {
        if (progress.current) {
            if (progress.is_accepted) {
                consider(progress.busy_until);
            }
            continue;
        }
        for (const auto& [model, held] : progress.entry.versions) {
            const auto target = targets_.find(model);
            if (target == targets_.end() || held >= target->second ||
                progress.entry.is_draining) {
                continue;
            }
            const auto ordered = progress.ordered.find(model);
            const bool is_pending = ordered != progress.ordered.end() &&
                                    ordered->second >= target->second;
            const steady_time first =
                std::max(progress.not_before, order_time(id));
            const steady_time due =
                is_pending ? std::max(first, progress.ordered_at.at(model) +
                                                 options_.confirm_time)
                           : first;
            // Work that is already due waits for other loads to end, which
            // causes an input or a separate wakeup.
            if (due > last_advance_) {
                consider(due);
            }
        }
    }
    return next;
}

bool version_rollout::is_loading(const upstream_id& upstream,
                                 const std::string& model,
                                 steady_time now) const {
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && found->second.current &&
           found->second.current->model == model &&
           (!found->second.is_accepted || found->second.busy_until > now);
}

} // namespace savorydock

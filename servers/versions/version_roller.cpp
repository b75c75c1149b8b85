#include "servers/versions/version_roller.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace savorydock {

version_roller::version_roller(version_roller_options options,
                               const engine_work& work)
    : options_(std::move(options))
    , work_(work) {}

void version_roller::on_term(std::optional<fencing_number> term) {
    term_ = term;
    for (auto& [id, progress] : upstreams_) {
        progress.current.reset();
        progress.is_accepted = false;
        progress.is_load_wanted = true;
        progress.is_load_asked = false;
        progress.ordered.clear();
    }
}

void version_roller::on_wanted(const std::string& model,
                               weight_version version) {
    weight_version& wanted = wanted_[model];
    wanted = std::max(wanted, version);
}

void version_roller::on_upstreams(const std::vector<upstream_entry>& upstreams,
                                  steady_time now) {
    std::set<upstream_id> listed;
    for (const upstream_entry& entry : upstreams) {
        listed.insert(entry.id);
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
    finish_loads(now);
}

void version_roller::finish_loads(steady_time now) {
    for (auto& [id, progress] : upstreams_) {
        if (progress.current && progress.is_accepted &&
            progress.busy_until <= now) {
            progress.current.reset();
            progress.is_accepted = false;
        }
    }
}

void version_roller::on_answer(const version_order& order, order_answer answer,
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
        // The count of accepted orders may differ from the one believed.
        progress.current.reset();
        progress.is_load_wanted = true;
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

void version_roller::on_load(const upstream_id& upstream,
                             const std::optional<upstream_load>& load,
                             steady_time now) {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    upstream_progress& progress = found->second;
    progress.is_load_asked = false;
    if (!load) {
        progress.not_before = now + options_.retry_pause;
        return;
    }
    progress.is_load_wanted = load->is_busy_with_order;
    progress.accepted_orders = load->accepted_orders;
    progress.not_before =
        load->is_busy_with_order ? now + options_.retry_pause : now;
}

std::map<std::string, version_roller::model_view>
version_roller::view_models() const {
    std::map<std::string, model_view> models;
    for (const auto& [model, wanted] : wanted_) {
        std::size_t holders = 0;
        std::size_t engines = 0;
        for (const auto& [id, progress] : upstreams_) {
            const auto held = progress.entry.versions.find(model);
            if (held == progress.entry.versions.end() ||
                progress.entry.is_draining) {
                continue;
            }
            const auto ordered = progress.ordered.find(model);
            const bool is_current =
                held->second >= wanted ||
                (ordered != progress.ordered.end() &&
                 ordered->second >= wanted) ||
                (progress.current && progress.current->model == model &&
                 progress.current->version >= wanted);
            ++engines;
            holders += is_current ? 1 : 0;
        }
        models[model] = {.wanted = wanted,
                         .least = work_.least_version(model),
                         .has_waiting = work_.has_waiting(model),
                         .is_spread = static_cast<double>(holders) >=
                                      options_.prompt_share *
                                          static_cast<double>(engines)};
    }
    return models;
}

std::optional<std::string>
version_roller::outdated_model(const upstream_progress& progress,
                               const std::map<std::string, model_view>& models,
                               steady_time now) const {
    for (const auto& [model, held] : progress.entry.versions) {
        const auto found = models.find(model);
        if (found == models.end() || held >= found->second.wanted) {
            continue;
        }
        const model_view& view = found->second;
        const auto ordered = progress.ordered.find(model);
        const bool is_pending =
            ordered != progress.ordered.end() &&
            ordered->second >= view.wanted &&
            now < progress.ordered_at.at(model) + options_.confirm_time;
        const bool may_load =
            held < view.least || !view.is_spread ||
            (!view.has_waiting && work_.runs_on(progress.entry.id, model) == 0);
        if (!is_pending && may_load) {
            return model;
        }
    }
    return std::nullopt;
}

std::size_t version_roller::loading_limit() const {
    const double share =
        options_.loading_share * static_cast<double>(upstreams_.size());
    return std::max<std::size_t>(1,
                                 static_cast<std::size_t>(std::lround(share)));
}

roller_commands version_roller::advance(steady_time now) {
    roller_commands commands;
    if (!term_) {
        return commands;
    }
    finish_loads(now);
    last_advance_ = now;
    struct candidate {
        /// Engines that open jobs can't use come first, then the oldest
        /// versions, then those with less work.
        std::tuple<bool, weight_version, std::size_t> rank;
        upstream_progress* progress = nullptr;
        std::string model;
    };
    auto models = view_models();
    std::size_t loading = 0;
    std::vector<candidate> ready;
    for (auto& [id, progress] : upstreams_) {
        loading += progress.current ? 1 : 0;
        if (progress.current || progress.not_before > now ||
            progress.entry.is_draining || progress.is_load_asked) {
            continue;
        }
        const auto model = outdated_model(progress, models, now);
        if (!model) {
            continue;
        }
        if (progress.is_load_wanted) {
            progress.is_load_asked = true;
            commands.load_requests.push_back(id);
            continue;
        }
        const weight_version held = progress.entry.versions.at(*model);
        ready.push_back({.rank = {held >= models.at(*model).least, held,
                                  work_.runs_on(id, *model)},
                         .progress = &progress,
                         .model = *model});
    }
    std::stable_sort(ready.begin(), ready.end(),
                     [](const candidate& left, const candidate& right) {
                         return left.rank < right.rank;
                     });
    for (const candidate& next : ready) {
        if (loading >= loading_limit()) {
            break;
        }
        upstream_progress& progress = *next.progress;
        // Orders of this round may have spread the version enough.
        models = view_models();
        if (!outdated_model(progress, models, now)) {
            continue;
        }
        progress.current =
            version_order{.upstream = progress.entry.id,
                          .model = next.model,
                          .version = wanted_.at(next.model),
                          .holder = options_.holder,
                          .fencing = *term_,
                          .expected_orders = progress.accepted_orders};
        progress.is_accepted = false;
        progress.busy_until = now + options_.load_time;
        commands.orders.push_back(*progress.current);
        ++loading;
    }
    return commands;
}

std::optional<steady_time> version_roller::next_wakeup() const {
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
            const auto wanted = wanted_.find(model);
            if (wanted == wanted_.end() || held >= wanted->second ||
                progress.entry.is_draining) {
                continue;
            }
            const auto ordered = progress.ordered.find(model);
            const bool is_pending = ordered != progress.ordered.end() &&
                                    ordered->second >= wanted->second;
            const steady_time due =
                is_pending ? std::max(progress.not_before,
                                      progress.ordered_at.at(model) +
                                          options_.confirm_time)
                           : progress.not_before;
            // What is due already waits for the end of other work, which is
            // an input of its own.
            if (due > last_advance_) {
                consider(due);
            }
        }
    }
    return next;
}

bool version_roller::is_loading(const upstream_id& upstream,
                                const std::string& model,
                                steady_time now) const {
    const auto found = upstreams_.find(upstream);
    return found != upstreams_.end() && found->second.current &&
           found->second.current->model == model &&
           (!found->second.is_accepted || found->second.busy_until > now);
}

} // namespace savorydock

#include "servers/batch/engine_roster.hpp"

#include <algorithm>
#include <limits>

namespace savorydock {

namespace {

/// Weight of a new sample in the smoothed time of an event.
constexpr double event_smoothing = 0.3;
/// What a whole batch adds to the cost of an engine, to break ties: more than
/// its real slow-down of some percent, so that few runs meet one failure.
constexpr double batch_cost = 0.25;
/// Cost of an engine that failed on the item: behind all others.
constexpr double avoided_cost = 1e6;
/// Pauses stop doubling after so many failures in a row.
constexpr std::uint32_t max_doublings = 6;

} // namespace

engine_roster::engine_roster(engine_roster_options options,
                             loading_test is_loading)
    : options_(options)
    , is_loading_(std::move(is_loading)) {}

void engine_roster::set_upstreams(const std::vector<upstream_entry>& upstreams,
                                  std::uint64_t cache_tokens, steady_time now) {
    cache_tokens_ = cache_tokens;
    std::set<upstream_id> listed;
    for (const upstream_entry& entry : upstreams) {
        listed.insert(entry.id);
        rostered_engine& engine = engines_[entry.id];
        const bool is_restarted = engine.entry.started_at != entry.started_at;
        engine.entry = entry;
        if (is_restarted) {
            engine.failures_in_row = 0;
            engine.not_before = now;
        }
    }
    for (auto& [id, engine] : engines_) {
        if (!listed.contains(id)) {
            engine.entry.is_draining = true;
        }
    }
    std::erase_if(engines_, [&](const auto& row) {
        return !listed.contains(row.first) && row.second.running == 0;
    });
}

bool engine_roster::has_room(const rostered_engine& engine,
                             std::uint64_t cache_tokens) const {
    if (engine.running >= engine.entry.slots) {
        return false;
    }
    return engine.running == 0 || cache_tokens_ == 0 ||
           static_cast<double>(engine.cache_tokens + cache_tokens) <=
               options_.cache_share * static_cast<double>(cache_tokens_);
}

double engine_roster::cost_of(const rostered_engine& engine) const {
    const double speed = engine.event_milliseconds > 0
                             ? engine.event_milliseconds
                             : typical_milliseconds_;
    const double share = static_cast<double>(engine.running) /
                         static_cast<double>(engine.entry.slots);
    return (speed > 0 ? speed : 1) * (1 + batch_cost * share);
}

const rostered_engine* engine_roster::choose(const engine_need& need,
                                             steady_time now) const {
    const rostered_engine* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto& [id, engine] : engines_) {
        if (engine.entry.is_draining || engine.not_before > now ||
            !has_room(engine, need.cache_tokens) ||
            is_loading_(id, need.model, now)) {
            continue;
        }
        const auto version = engine.entry.versions.find(need.model);
        if (version != engine.entry.versions.end() &&
            version->second < need.min_version) {
            continue;
        }
        const double cost =
            cost_of(engine) + (need.avoid.contains(id) ? avoided_cost : 0);
        if (cost < best_cost) {
            best = &engine;
            best_cost = cost;
        }
    }
    return best;
}

const rostered_engine* engine_roster::find(const upstream_id& id) const {
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : &found->second;
}

void engine_roster::occupy(const upstream_id& id, const std::string& model,
                           std::uint64_t cache_tokens) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    ++found->second.running;
    ++found->second.running_by_model[model];
    found->second.cache_tokens += cache_tokens;
}

void engine_roster::release(const upstream_id& id, const std::string& model,
                            std::uint64_t cache_tokens) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    rostered_engine& engine = found->second;
    std::size_t& of_model = engine.running_by_model[model];
    // A run that was taken over may have begun before its engine was listed.
    engine.running -= engine.running > 0 ? 1 : 0;
    of_model -= of_model > 0 ? 1 : 0;
    engine.cache_tokens -= std::min(engine.cache_tokens, cache_tokens);
}

void engine_roster::clear_runs() {
    for (auto& [id, engine] : engines_) {
        engine.running = 0;
        engine.cache_tokens = 0;
        engine.running_by_model.clear();
    }
}

void engine_roster::measure(const upstream_id& id, std::uint64_t events,
                            steady_time::duration span, steady_time now) {
    const auto found = engines_.find(id);
    if (found == engines_.end() || events == 0) {
        return;
    }
    rostered_engine& engine = found->second;
    const double sample =
        std::chrono::duration<double, std::milli>(span).count() /
        static_cast<double>(events);
    engine.measured_events += events;
    engine.measured_at = now;
    double& smoothed = engine.event_milliseconds;
    smoothed = smoothed == 0 ? sample
                             : smoothed + event_smoothing * (sample - smoothed);
}

void engine_roster::set_aside(const upstream_id& id, steady_time now) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    rostered_engine& engine = found->second;
    const auto factor = 1U << std::min(engine.failures_in_row, max_doublings);
    ++engine.failures_in_row;
    engine.not_before =
        now + std::min(options_.first_pause * factor, options_.longest_pause);
}

void engine_roster::on_success(const upstream_id& id) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
        found->second.failures_in_row = 0;
    }
}

void engine_roster::review(steady_time now) {
    std::vector<double> times;
    for (const auto& [id, engine] : engines_) {
        if (engine.event_milliseconds > 0) {
            times.push_back(engine.event_milliseconds);
        }
    }
    if (times.empty()) {
        return;
    }
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    typical_milliseconds_ = *middle;
    for (auto& [id, engine] : engines_) {
        const bool is_in_trouble =
            engine.event_milliseconds >
            options_.trouble_ratio * typical_milliseconds_;
        if (is_in_trouble && engine.running == 0 &&
            now >= engine.measured_at + options_.trouble_memory) {
            engine.event_milliseconds = 0;
            engine.measured_events = 0;
        }
    }
}

std::size_t engine_roster::runs_on(const upstream_id& id,
                                   const std::string& model) const {
    const rostered_engine* const engine = find(id);
    if (engine == nullptr) {
        return 0;
    }
    const auto runs = engine->running_by_model.find(model);
    return runs == engine->running_by_model.end() ? 0 : runs->second;
}

} // namespace savorydock

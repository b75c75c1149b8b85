#include "servers/batch/engine_roster.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace savorydock {

namespace {

/// Weight of a new sample in the smoothed time per event.
constexpr double event_smoothing = 0.3;
/// Relative cost that full slots add to an engine. It is larger than the real
/// slow-down of a few percent, so that runs spread over engines and the failure
/// of one engine affects few of them.
constexpr double batch_cost = 0.25;
/// Added cost of an engine that failed on the item; puts it after all others.
constexpr double avoided_cost = 1e6;
/// Requests per second to an engine that accepts none, to find out when it does
/// again.
constexpr double min_limit = 0.1;
/// Number of consecutive failures after which pauses stop doubling.
constexpr std::uint32_t max_doublings = 6;

} // namespace

engine_roster::engine_roster(engine_roster_options options,
                             loading_check is_loading)
    : options_(options)
    , is_loading_(std::move(is_loading))
    , limits_(
          [this](const upstream_id&, double requests_per_second, steady_time) {
              return part_of_limit(requests_per_second);
          }) {}

limit_part engine_roster::part_of_limit(double requests_per_second) const {
    const double part =
        std::max(limit_fraction_ * requests_per_second, min_limit);
    return {.requests_per_second = part, .burst = part + options_.limit_burst};
}

bool engine_roster::set_upstreams(const std::vector<upstream_entry>& upstreams,
                                  std::uint64_t cache_tokens, steady_time now) {
    cache_tokens_ = cache_tokens;
    bool has_started = false;
    std::set<upstream_id> listed;
    for (const upstream_entry& entry : upstreams) {
        listed.insert(entry.id);
        const auto [position, is_new] = engines_.try_emplace(entry.id);
        roster_entry& engine = position->second;
        const bool is_restarted =
            engine.listed_upstream.started_at != entry.started_at;
        engine.listed_upstream = entry;
        if (is_restarted) {
            engine.failures_in_row = 0;
            engine.refusals_in_row = 0;
            engine.not_before = now;
            engine.probe_refused_at = {};
        }
        has_started = has_started || is_new || is_restarted;
    }
    for (auto& [id, engine] : engines_) {
        if (!listed.contains(id)) {
            engine.listed_upstream.is_draining = true;
        }
    }
    std::erase_if(engines_, [&](const auto& row) {
        return !listed.contains(row.first) && row.second.running == 0;
    });
    limits_.retain(listed);
    return has_started;
}

bool engine_roster::is_paused(const roster_entry& engine, const item_key* item,
                              steady_time now) {
    return engine.not_before > now && (!engine.paused_job || item == nullptr ||
                                       item->first == *engine.paused_job);
}

std::optional<std::uint64_t> engine_roster::room_for(const roster_entry& engine,
                                                     const item_key* item,
                                                     steady_time now) const {
    const bool has_pause = is_paused(engine, item, now);
    const bool is_reserved =
        engine.reservation &&
        (item == nullptr || engine.reservation->item != *item);
    if (engine.running >= engine.listed_upstream.slots || is_reserved ||
        (has_pause && engine.paused_tokens == 0)) {
        return std::nullopt;
    }
    auto room = std::numeric_limits<std::uint64_t>::max();
    if (engine.running > 0 && cache_tokens_ > 0) {
        const auto usable = static_cast<std::uint64_t>(
            options_.cache_share * static_cast<double>(cache_tokens_));
        room = usable - std::min(usable, engine.cache_tokens);
    }
    return has_pause ? std::min(room, engine.paused_tokens - 1) : room;
}

double engine_roster::cost_of(const roster_entry& engine) const {
    const double speed = engine.event_milliseconds > 0
                             ? engine.event_milliseconds
                             : typical_milliseconds_;
    const double share = static_cast<double>(engine.running) /
                         static_cast<double>(engine.listed_upstream.slots);
    return (speed > 0 ? speed : 1) * (1 + batch_cost * share);
}

bool engine_roster::may_serve(const roster_entry& engine,
                              const engine_requirements& requirements,
                              steady_time now) const {
    const upstream_entry& upstream = engine.listed_upstream;
    if (upstream.is_draining ||
        is_loading_(upstream.id, requirements.model, now) ||
        limits_.next_send_time(upstream.id, now) != now) {
        return false;
    }
    if (requirements.software != nullptr &&
        (requirements.software->is_empty() ||
         upstream.software != *requirements.software)) {
        return false;
    }
    const auto version = upstream.versions.find(requirements.model);
    return version == upstream.versions.end() ||
           version->second >= requirements.min_version;
}

const roster_entry*
engine_roster::choose(const engine_requirements& requirements,
                      steady_time now) const {
    using rank = std::tuple<bool, steady_time, double>;
    const roster_entry* best = nullptr;
    rank best_rank;
    for (const auto& [id, engine] : engines_) {
        const auto room = room_for(engine, requirements.item, now);
        if (!room || requirements.cache_tokens > *room ||
            !may_serve(engine, requirements, now)) {
            continue;
        }
        const double cost =
            cost_of(engine) +
            (requirements.avoid.contains(id) ? avoided_cost : 0);
        const rank rank_of_engine =
            requirements.is_probe
                ? rank(engine.running > 0, engine.probe_refused_at, cost)
                : rank(false, steady_time(), cost);
        if (best == nullptr || rank_of_engine < best_rank) {
            best = &engine;
            best_rank = rank_of_engine;
        }
    }
    return best;
}

std::optional<std::uint64_t>
engine_roster::largest_room(const engine_requirements& requirements,
                            steady_time now) const {
    std::optional<std::uint64_t> largest;
    for (const auto& [id, engine] : engines_) {
        const auto room = room_for(engine, requirements.item, now);
        if (room > largest && may_serve(engine, requirements, now)) {
            largest = room;
        }
    }
    return largest;
}

std::vector<upstream_id>
engine_roster::reservable(const engine_requirements& requirements,
                          steady_time now) const {
    std::vector<upstream_id> found;
    for (const auto& [id, engine] : engines_) {
        if (!engine.reservation && !is_paused(engine, requirements.item, now) &&
            may_serve(engine, requirements, now)) {
            found.push_back(id);
        }
    }
    return found;
}

void engine_roster::reserve(const upstream_id& id,
                            engine_reservation reservation) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    reserved_[reservation.item] = id;
    found->second.reservation = std::move(reservation);
}

bool engine_roster::cancel_reservation(const item_key& item) {
    const auto reserved = reserved_.find(item);
    if (reserved == reserved_.end()) {
        return false;
    }
    if (const auto engine = engines_.find(reserved->second);
        engine != engines_.end()) {
        engine->second.reservation.reset();
    }
    reserved_.erase(reserved);
    return true;
}

void engine_roster::cancel_reservations(const job_id& job) {
    std::erase_if(reserved_, [&](const auto& row) {
        if (row.first.first != job) {
            return false;
        }
        if (const auto engine = engines_.find(row.second);
            engine != engines_.end()) {
            engine->second.reservation.reset();
        }
        return true;
    });
}

std::vector<item_key> engine_roster::drop_old_reservations(steady_time now) {
    std::vector<item_key> expired;
    std::vector<item_key> dropped;
    for (const auto& [item, id] : reserved_) {
        const roster_entry* const engine = find(id);
        const bool is_usable = engine != nullptr && engine->reservation &&
                               !engine->listed_upstream.is_draining;
        if (is_usable &&
            now >= engine->reservation->since + options_.longest_reservation) {
            expired.push_back(item);
        }
        if (!is_usable || (!expired.empty() && expired.back() == item)) {
            dropped.push_back(item);
        }
    }
    for (const item_key& item : dropped) {
        cancel_reservation(item);
    }
    return expired;
}

std::size_t engine_roster::usable_engines() const {
    return static_cast<std::size_t>(
        std::count_if(engines_.begin(), engines_.end(), [](const auto& row) {
            return !row.second.listed_upstream.is_draining;
        }));
}

bool engine_roster::has_software(const software_version& software) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto& row) {
        const upstream_entry& entry = row.second.listed_upstream;
        return !entry.is_draining && entry.software == software;
    });
}

service_speed engine_roster::speed(std::uint64_t tokens_per_event) const {
    constexpr double milliseconds_per_second = 1'000;
    service_speed total;
    for (const auto& [id, engine] : engines_) {
        const double event_milliseconds = engine.event_milliseconds > 0
                                              ? engine.event_milliseconds
                                              : typical_milliseconds_;
        if (engine.listed_upstream.is_draining || event_milliseconds <= 0) {
            continue;
        }
        const double slot_speed = milliseconds_per_second *
                                  static_cast<double>(tokens_per_event) /
                                  event_milliseconds;
        total.tokens_per_second +=
            slot_speed * static_cast<double>(engine.listed_upstream.slots);
        total.slot_tokens_per_second =
            std::max(total.slot_tokens_per_second, slot_speed);
    }
    return total;
}

const roster_entry* engine_roster::find(const upstream_id& id) const {
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
    roster_entry& engine = found->second;
    std::size_t& model_runs = engine.running_by_model[model];
    // The counters may be 0 if the run was adopted from another planner before
    // its engine was listed here.
    engine.running -= engine.running > 0 ? 1 : 0;
    model_runs -= model_runs > 0 ? 1 : 0;
    engine.cache_tokens -= std::min(engine.cache_tokens, cache_tokens);
}

void engine_roster::clear_runs() {
    for (auto& [id, engine] : engines_) {
        engine.running = 0;
        engine.cache_tokens = 0;
        engine.running_by_model.clear();
        engine.reservation.reset();
    }
    reserved_.clear();
}

void engine_roster::record_speed(const upstream_id& id, std::uint64_t events,
                                 steady_time::duration span, steady_time now) {
    const auto found = engines_.find(id);
    if (found == engines_.end() || events == 0) {
        return;
    }
    roster_entry& engine = found->second;
    const double sample =
        std::chrono::duration<double, std::milli>(span).count() /
        static_cast<double>(events);
    engine.measured_events += events;
    engine.measured_at = now;
    double& smoothed = engine.event_milliseconds;
    smoothed = smoothed == 0 ? sample
                             : smoothed + event_smoothing * (sample - smoothed);
}

std::chrono::milliseconds engine_roster::pause_engine(const upstream_id& id,
                                                      steady_time now) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return std::chrono::milliseconds(0);
    }
    roster_entry& engine = found->second;
    const auto factor = 1U << std::min(engine.failures_in_row, max_doublings);
    ++engine.failures_in_row;
    const std::chrono::milliseconds pause =
        std::min(options_.first_pause * factor, options_.longest_pause);
    engine.not_before = now + pause;
    engine.paused_tokens = 0;
    engine.paused_job.reset();
    return pause;
}

std::chrono::milliseconds
engine_roster::pause_refusing_engine(const upstream_id& id, const job_id& job,
                                     std::uint64_t cache_tokens,
                                     refusal_cause cause, steady_time now) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return std::chrono::milliseconds(0);
    }
    roster_entry& engine = found->second;
    const bool is_in_force = engine.not_before > now;
    const item_key item{job, 0};
    if (is_paused(engine, &item, now) && cache_tokens >= engine.paused_tokens) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            engine.not_before - now);
    }
    const bool has_refused_another_job =
        is_in_force && (!engine.paused_job || *engine.paused_job != job);
    const bool is_unclear = cause == refusal_cause::unclear;
    if (!is_in_force && !is_unclear) {
        ++engine.refusals_in_row;
    }
    const std::uint32_t doublings = is_unclear || engine.refusals_in_row == 0
                                        ? 0
                                        : engine.refusals_in_row - 1;
    const std::chrono::milliseconds pause = std::min(
        options_.first_pause * (1U << std::min(doublings, max_doublings)),
        options_.longest_pause);
    engine.not_before = std::max(engine.not_before, now + pause);
    engine.paused_tokens = static_cast<std::uint64_t>(
        options_.unpaused_share * static_cast<double>(cache_tokens));
    engine.paused_job =
        has_refused_another_job ? std::nullopt : std::optional(job);
    return pause;
}

void engine_roster::on_probe_refused(const upstream_id& id, steady_time now) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
        found->second.probe_refused_at = now;
    }
}

void engine_roster::on_accepted(const upstream_id& id) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
        found->second.refusals_in_row = 0;
    }
}

void engine_roster::on_success(const upstream_id& id) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
        found->second.failures_in_row = 0;
    }
}

void engine_roster::update_typical_speed(steady_time now) {
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
        const bool is_slow = engine.event_milliseconds >
                             options_.slow_ratio * typical_milliseconds_;
        if (is_slow && engine.running == 0 &&
            now >= engine.measured_at + options_.slow_reset_time) {
            engine.event_milliseconds = 0;
            engine.measured_events = 0;
        }
    }
}

std::size_t engine_roster::runs_on(const upstream_id& id,
                                   const std::string& model) const {
    const roster_entry* const engine = find(id);
    if (engine == nullptr) {
        return 0;
    }
    const auto runs = engine->running_by_model.find(model);
    return runs == engine->running_by_model.end() ? 0 : runs->second;
}

} // namespace savorydock

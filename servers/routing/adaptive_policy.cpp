#include "servers/routing/adaptive_policy.hpp"

#include "servers/routing/upstream_weights.hpp"

#include <cmath>
#include <limits>

namespace savorydock {

namespace {

/// Draws for each wanted candidate before the pool is searched in order.
constexpr std::uint32_t draws_per_choice = 4;

/// From this many failures in a row on an upstream gets a trickle at once.
constexpr std::uint32_t ejecting_streak = 3;

/// Points of the ring that are looked at, and upstreams preferred there.
constexpr std::size_t ring_steps = 24;
constexpr std::uint32_t preferred_count = 2;

constexpr std::uint32_t nobody = std::numeric_limits<std::uint32_t>::max();

double unit_fraction(std::uint64_t bits) {
    return static_cast<double>(bits >> 11U) * 0x1.0p-53;
}

} // namespace

struct adaptive_policy::search {
    const routed_service& service;
    const route_query& query;
    steady_time now;
    std::uint64_t random = 0;
    std::uint32_t best = nobody;
    double best_cost = 0;
    double best_load = 0;
    std::uint32_t candidates = 0;

    std::uint64_t next_random() {
        random = mix_bits(random);
        return random;
    }
};

double adaptive_policy::load_of(const search& state,
                                std::uint32_t position) const {
    const routed_upstream& upstream = state.service.upstreams[position];
    const double slots = upstream.slots;
    double trust = 0;
    if (upstream.reported_at != steady_time{}) {
        const std::chrono::duration<double> age =
            state.now - upstream.reported_at;
        const std::chrono::duration<double> half = options_.report_half_life;
        trust = std::exp2(-std::max(0.0, age / half));
    }
    const double by_others =
        trust * upstream.load_by_others +
        (1 - trust) * state.service.mean_load_by_others * slots;
    const double own = state.service.layout->counters[position]->in_flight();
    return (own + by_others) / slots;
}

bool adaptive_policy::admits(const search& state,
                             std::uint32_t position) const {
    return may_serve(state.service, position, state.query);
}

void adaptive_policy::consider(search& state, std::uint32_t position,
                               double bonus) const {
    const double load = load_of(state, position);
    const bool is_home = state.service.upstreams[position].is_home_zone;
    const double cost = load + (is_home ? 0 : options_.cross_zone_cost) - bonus;
    ++state.candidates;
    if (state.best == nobody || cost < state.best_cost) {
        state.best = position;
        state.best_cost = cost;
        state.best_load = load;
    }
}

void adaptive_policy::draw(search& state,
                           std::span<const std::uint32_t> pool) const {
    if (pool.empty()) {
        return;
    }
    std::uint32_t found = 0;
    for (std::uint32_t drawn = 0; drawn < options_.choices * draws_per_choice &&
                                  found < options_.choices;
         ++drawn) {
        const std::uint32_t position = pool[state.next_random() % pool.size()];
        double weight = state.service.upstreams[position].weight;
        if (state.service.layout->counters[position]->failure_streak() >=
            ejecting_streak) {
            weight = trickle_weight;
        }
        if (weight < 1 && unit_fraction(state.next_random()) >= weight) {
            continue;
        }
        if (admits(state, position)) {
            consider(state, position, 0);
            ++found;
        }
    }
    if (found > 0) {
        return;
    }
    // Few of the pool may serve; a search in order finds them for sure.
    const std::size_t start = state.next_random() % pool.size();
    for (std::size_t step = 0; step < pool.size(); ++step) {
        const std::uint32_t position = pool[(start + step) % pool.size()];
        if (admits(state, position)) {
            consider(state, position, 0);
            if (++found == options_.choices) {
                return;
            }
        }
    }
}

bool adaptive_policy::is_away_allowed(const search& state) const {
    return state.service.layout->document->cross_zone ==
           cross_zone_use::overflow;
}

void adaptive_policy::consider_preferred(search& state) const {
    const routed_service& service = state.service;
    const std::uint64_t prefix = state.query.prefix_hash;
    const auto is_fit = [&](std::uint32_t position) {
        const routed_upstream& upstream = service.upstreams[position];
        return upstream.condition == upstream_condition::serving &&
               upstream.weight >= 1 &&
               (upstream.is_home_zone || is_away_allowed(state)) &&
               service.layout->counters[position]->failure_streak() <
                   ejecting_streak &&
               admits(state, position);
    };
    const auto hint = service.layout->directory->find(prefix, state.now);
    if (hint && *hint < service.upstreams.size() && is_fit(*hint)) {
        consider(state, *hint, options_.affinity_gain);
    }
    std::uint32_t seen = 0;
    std::uint32_t last = nobody;
    service.layout->ring.walk(prefix, ring_steps, [&](std::uint32_t at) {
        if (at != last && is_fit(at)) {
            // The first preference is worth more than the second.
            consider(state, at, options_.affinity_gain / (1 + seen));
            last = at;
            ++seen;
        }
        return seen == preferred_count;
    });
}

outcome<route_choice> adaptive_policy::choose(const routed_service& service,
                                              const route_query& query,
                                              steady_time now) {
    search state{.service = service, .query = query, .now = now};
    state.random =
        mix_bits(seed_ + sequence_.fetch_add(1, std::memory_order_relaxed));
    draw(state, service.home);
    const bool is_home_enough =
        state.best != nobody && state.best_load < options_.overflow_load;
    if (!is_home_enough && is_away_allowed(state)) {
        draw(state, service.away);
    }
    if (query.prefix_hash != 0) {
        consider_preferred(state);
    }
    if (state.best == nobody) {
        draw(state, service.suspected);
    }
    if (state.best == nobody) {
        return no_upstream_reason();
    }
    const class_rule* const rule =
        service.layout->document->find_class(query.class_of_service);
    const bool is_interactive = rule != nullptr && rule->is_interactive;
    if (state.best_load >= (is_interactive ? options_.interactive_load_limit
                                           : options_.batch_load_limit)) {
        return failure{result_code::not_run_overloaded, "all are full"};
    }
    return make_choice(service, state.best, state.candidates, now);
}

} // namespace savorydock

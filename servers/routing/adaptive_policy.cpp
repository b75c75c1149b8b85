#include "servers/routing/adaptive_policy.hpp"

#include "servers/routing/upstream_weights.hpp"

#include <cmath>
#include <limits>

namespace savorydock {

namespace {

/// Random samples per wanted candidate before the pool is scanned in order.
constexpr std::uint32_t samples_per_candidate = 4;

/// An upstream with at least this many failures in a row is cut to
/// `min_upstream_weight` at once, without waiting for the next publication.
constexpr std::uint32_t outlier_failure_streak = 3;

/// Points of the affinity ring that are visited for one decision.
constexpr std::size_t max_ring_steps = 24;

/// Upstreams from the affinity ring that get an affinity bonus.
constexpr std::uint32_t max_ring_candidates = 2;

/// Position value that means no upstream.
constexpr std::uint32_t no_position = std::numeric_limits<std::uint32_t>::max();

/// Maps random bits to a uniform value in [0, 1).
double unit_fraction(std::uint64_t bits) {
    return static_cast<double>(bits >> 11U) * 0x1.0p-53;
}

} // namespace

struct adaptive_policy::search {
    const routed_service& service;
    const route_query& query;
    steady_time now;
    std::uint64_t random = 0;
    std::uint32_t best = no_position;
    double best_cost = 0;
    double best_load = 0;
    std::uint32_t candidates = 0;

    std::uint64_t next_random() {
        random = mix_bits(random);
        return random;
    }
};

double adaptive_policy::estimated_load(const search& state,
                                       std::uint32_t position) const {
    const routed_upstream& upstream = state.service.upstreams[position];
    const double slots = upstream.slots;
    double report_weight = 0;
    if (upstream.reported_at != steady_time{}) {
        const std::chrono::duration<double> age =
            state.now - upstream.reported_at;
        const std::chrono::duration<double> half = options_.report_half_life;
        report_weight = std::exp2(-std::max(0.0, age / half));
    }
    const double others_load =
        report_weight * upstream.load_by_others +
        (1 - report_weight) * state.service.mean_load_by_others * slots;
    const double own = state.service.layout->counters[position]->in_flight();
    return (own + others_load) / slots;
}

bool adaptive_policy::is_eligible(const search& state,
                                  std::uint32_t position) const {
    return may_serve(state.service, position, state.query);
}

void adaptive_policy::consider_candidate(search& state, std::uint32_t position,
                                         double bonus) const {
    const double load = estimated_load(state, position);
    const bool is_home = state.service.upstreams[position].is_home_zone;
    const double cost = load + (is_home ? 0 : options_.cross_zone_cost) - bonus;
    ++state.candidates;
    if (state.best == no_position || cost < state.best_cost) {
        state.best = position;
        state.best_cost = cost;
        state.best_load = load;
    }
}

void adaptive_policy::sample_pool(search& state,
                                  std::span<const std::uint32_t> pool) const {
    if (pool.empty()) {
        return;
    }
    std::uint32_t found = 0;
    for (std::uint32_t attempt = 0;
         attempt < options_.choices * samples_per_candidate &&
         found < options_.choices;
         ++attempt) {
        const std::uint32_t position = pool[state.next_random() % pool.size()];
        double weight = state.service.upstreams[position].weight;
        if (state.service.layout->counters[position]->failure_streak() >=
            outlier_failure_streak) {
            weight = min_upstream_weight;
        }
        if (weight < 1 && unit_fraction(state.next_random()) >= weight) {
            continue;
        }
        if (is_eligible(state, position)) {
            consider_candidate(state, position, 0);
            ++found;
        }
    }
    if (found > 0) {
        return;
    }
    // Random sampling found no eligible upstream. A scan of the entire pool
    // from a random start finds one if there is any.
    const std::size_t start = state.next_random() % pool.size();
    for (std::size_t step = 0; step < pool.size(); ++step) {
        const std::uint32_t position = pool[(start + step) % pool.size()];
        if (is_eligible(state, position)) {
            consider_candidate(state, position, 0);
            if (++found == options_.choices) {
                return;
            }
        }
    }
}

bool adaptive_policy::is_overflow_allowed(const search& state) const {
    return state.service.layout->document->cross_zone ==
           cross_zone_use::overflow;
}

void adaptive_policy::consider_preferred(search& state) const {
    const routed_service& service = state.service;
    const std::uint64_t prefix = state.query.prefix_hash;
    const auto is_preferable = [&](std::uint32_t position) {
        const routed_upstream& upstream = service.upstreams[position];
        return upstream.condition == upstream_condition::serving &&
               upstream.weight >= 1 &&
               (upstream.is_home_zone || is_overflow_allowed(state)) &&
               service.layout->counters[position]->failure_streak() <
                   outlier_failure_streak &&
               is_eligible(state, position);
    };
    const auto hint = service.layout->directory->find(prefix, state.now);
    if (hint && *hint < service.upstreams.size() && is_preferable(*hint)) {
        consider_candidate(state, *hint, options_.affinity_gain);
    }
    std::uint32_t seen = 0;
    std::uint32_t last = no_position;
    service.layout->ring.walk(prefix, max_ring_steps, [&](std::uint32_t at) {
        if (at != last && is_preferable(at)) {
            // The first upstream on the ring gets a larger bonus than the
            // second.
            consider_candidate(state, at, options_.affinity_gain / (1 + seen));
            last = at;
            ++seen;
        }
        return seen == max_ring_candidates;
    });
}

outcome<route_choice> adaptive_policy::choose(const routed_service& service,
                                              const route_query& query,
                                              steady_time now) {
    search state{.service = service, .query = query, .now = now};
    state.random =
        mix_bits(seed_ + sequence_.fetch_add(1, std::memory_order_relaxed));
    sample_pool(state, service.home_zone);
    const bool is_home_sufficient =
        state.best != no_position && state.best_load < options_.overflow_load;
    if (!is_home_sufficient && is_overflow_allowed(state)) {
        sample_pool(state, service.other_zones);
    }
    if (query.prefix_hash != 0) {
        consider_preferred(state);
    }
    if (state.best == no_position) {
        sample_pool(state, service.suspected);
    }
    if (state.best == no_position) {
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

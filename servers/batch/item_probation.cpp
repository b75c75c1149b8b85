#include "servers/batch/item_probation.hpp"

#include <algorithm>

namespace savorydock {

bool item_probation::set_engines(std::size_t count, std::uint64_t capacity) {
    const bool is_changed = count != engines_ || capacity != capacity_;
    engines_ = count;
    if (capacity != capacity_) {
        capacity_ = capacity;
        accepted_ = {};
        refusals_.clear();
        refusing_engines_.clear();
        next_probe_ = {};
        pause_ = options_.first_pause;
    }
    return is_changed;
}

void item_probation::on_engine_started(steady_time now) {
    next_probe_ = std::min(next_probe_, now);
    pause_ = options_.first_pause;
    is_engine_new_ = true;
}

std::uint32_t item_probation::refusals_of(const item_key& item) const {
    const auto found = refusals_.find(item);
    return found == refusals_.end() ? 0 : found->second;
}

bool item_probation::is_job_on_probation(const job_id& job) const {
    const auto found = refusing_engines_.find(job);
    return found != refusing_engines_.end() &&
           found->second.size() >= std::min(options_.job_refusing_engines,
                                            std::max<std::size_t>(1, engines_));
}

bool item_probation::is_on_probation(const item_key& item,
                                     const item_size& size) const {
    const bool exceeds_capacity = capacity_ > 0 && size.expected > capacity_ &&
                                  size.expected > accepted_.expected;
    return exceeds_capacity || refusals_of(item) >= options_.item_refusals ||
           is_job_on_probation(item.first);
}

refusal_cause item_probation::on_refused(const item_key& item,
                                         const item_size& size,
                                         const upstream_id& engine) {
    const bool was_on_probation = is_on_probation(item, size);
    const bool is_claim_too_large = capacity_ > 0 && size.claimed > capacity_ &&
                                    size.claimed > accepted_.claimed;
    std::uint32_t& refusals = refusals_[item];
    ++refusals;
    if (is_claim_too_large) {
        refusals = std::max(refusals, options_.item_refusals);
    }
    if (was_on_probation || is_claim_too_large) {
        return refusal_cause::item;
    }
    std::set<upstream_id>& engines = refusing_engines_[item.first];
    engines.insert(engine);
    return engines.size() > 1 ? refusal_cause::unclear : refusal_cause::engine;
}

bool item_probation::on_accepted(const item_key& item, const item_size& size) {
    const bool was_on_probation = refusals_of(item) >= options_.item_refusals;
    const bool was_job_refused = refusing_engines_.erase(item.first) > 0;
    const bool is_larger =
        size.expected > capacity_ && size.expected > accepted_.expected;
    refusals_.erase(item);
    accepted_.expected = std::max(accepted_.expected, size.expected);
    accepted_.claimed = std::max(accepted_.claimed, size.claimed);
    if (was_on_probation) {
        allow_another_try(item.first);
    }
    return was_on_probation || was_job_refused || is_larger;
}

void item_probation::allow_another_try(const job_id& job) {
    for (auto at = refusals_.lower_bound({job, 0});
         at != refusals_.end() && at->first.first == job; ++at) {
        if (at->second == options_.item_refusals) {
            --at->second;
        }
    }
}

void item_probation::forget(const job_id& job) {
    const auto first = refusals_.lower_bound({job, 0});
    auto last = first;
    while (last != refusals_.end() && last->first.first == job) {
        ++last;
    }
    refusals_.erase(first, last);
    refusing_engines_.erase(job);
    if (probed_ && probed_->first == job) {
        probed_.reset();
    }
}

void item_probation::clear() {
    refusals_.clear();
    refusing_engines_.clear();
    probed_.reset();
    next_probe_ = {};
    pause_ = options_.first_pause;
}

void item_probation::on_probe_started(const item_key& item) {
    probed_ = item;
    is_engine_new_ = false;
}

void item_probation::on_probe_ended(const item_key& item, bool is_accepted,
                                    steady_time now) {
    if (probed_ != item) {
        return;
    }
    probed_.reset();
    if (is_accepted) {
        next_probe_ = now;
        pause_ = options_.first_pause;
        return;
    }
    // Each item may be tried once without longer pauses: another one of its job
    // may well fit.
    if (refusals_of(item) < options_.item_refusals) {
        pause_ = options_.first_pause;
    }
    next_probe_ = now + pause_;
    pause_ = std::min(2 * pause_, options_.longest_pause);
}

} // namespace savorydock

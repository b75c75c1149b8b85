#include "tests/bench/batch_engine.hpp"

#include <algorithm>

namespace savorydock::bench {

namespace {

/// A run with less work than this left counts as finished; the rest is
/// rounding error.
constexpr double negligible_tokens = 1e-3;

} // namespace

double batch_engine::tokens_per_second() const {
    if (is_swapping_ || active_.empty()) {
        return 0;
    }
    const double others = static_cast<double>(active_.size()) - 1;
    return options_.tokens_per_second * speed_ /
           (1 + options_.batch_slowdown * others);
}

void batch_engine::advance() {
    const std::chrono::duration<double> passed = loop_.now() - advanced_;
    advanced_ = loop_.now();
    const double done = tokens_per_second() * passed.count();
    for (auto& [id, active] : active_) {
        active.left -= done;
    }
}

bool batch_engine::use_prefix(std::uint64_t prefix) {
    const auto found = std::find(cache_.begin(), cache_.end(), prefix);
    if (found != cache_.end()) {
        cache_.splice(cache_.begin(), cache_, found);
        return true;
    }
    cache_.push_front(prefix);
    if (cache_.size() > options_.cached_prefixes) {
        cache_.pop_back();
    }
    if (on_cached) {
        on_cached(prefix);
    }
    return false;
}

void batch_engine::start_queued_runs() {
    while (!is_swapping_ && active_.size() < options_.slots) {
        std::deque<engine_run>& queue =
            interactive_queue_.empty() ? batch_queue_ : interactive_queue_;
        if (queue.empty()) {
            return;
        }
        engine_run run = std::move(queue.front());
        queue.pop_front();
        const bool is_cached = use_prefix(run.prefix);
        const double left = static_cast<double>(run.tokens - run.first_tokens) +
                            (is_cached ? 0 : options_.prefill_tokens);
        const weight_version oldest =
            run.first_version == 0 ? version_
                                   : std::min(run.first_version, version_);
        if (run.on_start) {
            run.on_start(oldest);
        }
        const std::uint64_t id = run.id;
        active_[id] = {std::move(run), left, oldest};
    }
}

void batch_engine::schedule_next_finish() {
    const std::uint64_t schedule_id = ++schedule_id_;
    const double rate = tokens_per_second();
    if (rate <= 0) {
        return;
    }
    const auto next = std::min_element(active_.begin(), active_.end(),
                                       [](const auto& a, const auto& b) {
                                           return a.second.left < b.second.left;
                                       });
    const double left = std::max(0.0, next->second.left) + negligible_tokens;
    loop_.after(std::chrono::duration<double>(left / rate),
                [this, schedule_id] {
                    if (schedule_id == schedule_id_) {
                        advance();
                        finish_ready();
                    }
                });
}

void batch_engine::finish_ready() {
    std::vector<active_run> ready;
    for (auto current = active_.begin(); current != active_.end();) {
        if (current->second.left > negligible_tokens) {
            ++current;
            continue;
        }
        ready.push_back(std::move(current->second));
        current = active_.erase(current);
    }
    start_queued_runs();
    schedule_next_finish();
    for (const active_run& done : ready) {
        done.run.on_end(
            {upstream_evidence::answered, done.run.tokens, done.oldest});
    }
}

void batch_engine::submit(engine_run run) {
    if (is_down_ || is_swapping_) {
        run.on_end({is_down_ ? upstream_evidence::refused_connection
                             : upstream_evidence::reported_overloaded});
        return;
    }
    advance();
    (run.is_interactive ? interactive_queue_ : batch_queue_)
        .push_back(std::move(run));
    start_queued_runs();
    schedule_next_finish();
}

void batch_engine::cancel(std::uint64_t id) {
    advance();
    const auto has_id = [&](const engine_run& run) { return run.id == id; };
    std::erase_if(interactive_queue_, has_id);
    std::erase_if(batch_queue_, has_id);
    active_.erase(id);
    start_queued_runs();
    schedule_next_finish();
}

std::optional<std::uint32_t> batch_engine::tokens_of(std::uint64_t id) {
    advance();
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return std::nullopt;
    }
    const double answer_tokens = found->second.run.tokens;
    const double first = found->second.run.first_tokens;
    return static_cast<std::uint32_t>(
        std::clamp(answer_tokens - found->second.left, first, answer_tokens));
}

void batch_engine::set_speed(double speed) {
    advance();
    speed_ = speed;
    schedule_next_finish();
}

void batch_engine::crash() {
    advance();
    is_down_ = true;
    is_swapping_ = false;
    ++schedule_id_;
    std::vector<std::function<void(const engine_result&)>> ends;
    for (auto& [id, active] : active_) {
        ends.push_back(std::move(active.run.on_end));
    }
    for (auto* const queue : {&interactive_queue_, &batch_queue_}) {
        for (engine_run& run : *queue) {
            ends.push_back(std::move(run.on_end));
        }
        queue->clear();
    }
    active_.clear();
    cache_.clear();
    for (const auto& end : ends) {
        end({upstream_evidence::connection_lost});
    }
}

void batch_engine::begin_swap() {
    advance();
    is_swapping_ = true;
    schedule_next_finish();
}

void batch_engine::end_swap(weight_version version) {
    advance();
    is_swapping_ = false;
    version_ = version;
    // Cached prefixes depend on the weights that computed them.
    cache_.clear();
    start_queued_runs();
    schedule_next_finish();
}

} // namespace savorydock::bench

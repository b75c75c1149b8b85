#include "tests/bench/batch_engine.hpp"

#include <algorithm>

namespace savorydock::bench {

namespace {

/// Work below this is done, whatever rounding left of it.
constexpr double negligible_tokens = 1e-3;

} // namespace

double batch_engine::pace() const {
    if (is_swapping_ || active_.empty()) {
        return 0;
    }
    const double others = static_cast<double>(active_.size()) - 1;
    return options_.pace * speed_ / (1 + options_.batch_slowdown * others);
}

void batch_engine::advance() {
    const std::chrono::duration<double> passed = loop_.now() - advanced_;
    advanced_ = loop_.now();
    const double done = pace() * passed.count();
    for (auto& [id, active] : active_) {
        active.left -= done;
    }
}

bool batch_engine::touch_prefix(std::uint64_t prefix) {
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

void batch_engine::fill() {
    while (!is_swapping_ && active_.size() < options_.slots) {
        std::deque<engine_run>& line = prompt_.empty() ? batch_ : prompt_;
        if (line.empty()) {
            return;
        }
        engine_run run = std::move(line.front());
        line.pop_front();
        const bool is_cached = touch_prefix(run.prefix);
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

void batch_engine::plan() {
    const std::uint64_t plan = ++plan_;
    const double rate = pace();
    if (rate <= 0) {
        return;
    }
    const auto next = std::min_element(active_.begin(), active_.end(),
                                       [](const auto& a, const auto& b) {
                                           return a.second.left < b.second.left;
                                       });
    const double left = std::max(0.0, next->second.left) + negligible_tokens;
    loop_.after(std::chrono::duration<double>(left / rate), [this, plan] {
        if (plan == plan_) {
            advance();
            finish_ready();
        }
    });
}

void batch_engine::finish_ready() {
    std::vector<active_run> ready;
    for (auto at = active_.begin(); at != active_.end();) {
        if (at->second.left > negligible_tokens) {
            ++at;
            continue;
        }
        ready.push_back(std::move(at->second));
        at = active_.erase(at);
    }
    fill();
    plan();
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
    (run.is_interactive ? prompt_ : batch_).push_back(std::move(run));
    fill();
    plan();
}

void batch_engine::cancel(std::uint64_t id) {
    advance();
    const auto is_it = [&](const engine_run& run) { return run.id == id; };
    std::erase_if(prompt_, is_it);
    std::erase_if(batch_, is_it);
    active_.erase(id);
    fill();
    plan();
}

std::optional<std::uint32_t> batch_engine::tokens_of(std::uint64_t id) {
    advance();
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return std::nullopt;
    }
    const double whole = found->second.run.tokens;
    const double first = found->second.run.first_tokens;
    return static_cast<std::uint32_t>(
        std::clamp(whole - found->second.left, first, whole));
}

void batch_engine::set_speed(double speed) {
    advance();
    speed_ = speed;
    plan();
}

void batch_engine::crash() {
    advance();
    is_down_ = true;
    is_swapping_ = false;
    ++plan_;
    std::vector<std::function<void(const engine_result&)>> ends;
    for (auto& [id, active] : active_) {
        ends.push_back(std::move(active.run.on_end));
    }
    for (auto* const line : {&prompt_, &batch_}) {
        for (engine_run& run : *line) {
            ends.push_back(std::move(run.on_end));
        }
        line->clear();
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
    plan();
}

void batch_engine::end_swap(weight_version version) {
    advance();
    is_swapping_ = false;
    version_ = version;
    // A cache made by the old weights is worth nothing.
    cache_.clear();
    fill();
    plan();
}

} // namespace savorydock::bench

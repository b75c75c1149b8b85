#include "servers/delivery/step_session.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::uint64_t max_slots = 1'048'576;
constexpr unsigned epoch_shift = 32;

/// Whether the request itself was refused, so that every run would fail the
/// same way.
bool is_permanent_refusal(result_code code) {
    return code == result_code::not_run_bad_request ||
           code == result_code::not_run_unauthorized ||
           code == result_code::not_run_too_large;
}

} // namespace

attempt_number make_attempt(session_epoch epoch, std::uint32_t run) {
    return (static_cast<attempt_number>(epoch) << epoch_shift) | run;
}

step_session::step_session(std::shared_ptr<const step_charts> charts,
                           const step_session_options& options)
    : charts_(std::move(charts))
    , options_(options)
    , step_(charts_->step) {}

outcome<step_session>
step_session::open(std::shared_ptr<const step_charts> charts,
                   const step_session_options& options,
                   const std::vector<bool>& held) {
    const std::uint64_t count =
        std::uint64_t{options.group_count} * options.group_size;
    if (count == 0 || count > max_slots || options.epoch == 0) {
        return failure{result_code::not_run_bad_request,
                       "a step needs an epoch and 1 to 1048576 slots"};
    }
    if (held.size() != count) {
        return failure{result_code::not_run_bad_request,
                       "the bitmap does not have one bit a slot"};
    }
    step_session session(std::move(charts), options);
    session.slots_.resize(count);
    for (std::size_t position = 0; position < count; ++position) {
        session.slots_[position].state = session.charts_->slot.initial();
        if (held[position]) {
            session.fire(position, "present");
            ++session.counts_.held;
        } else {
            session.waiting_.push_back(position);
        }
    }
    session.end_if_settled();
    return session;
}

std::optional<slot_run> step_session::next_run() {
    // Slots started with `run` may still have their old entry in the queue.
    while (!waiting_.empty() && !is_in(waiting_.front(), "waiting")) {
        waiting_.pop_front();
    }
    return waiting_.empty() ? std::nullopt : run(slot_at(waiting_.front()));
}

bool step_session::is_waiting(const slot_id& slot) const {
    const auto position = position_of(slot);
    return position && is_in(*position, "waiting");
}

bool step_session::is_settled(const slot_id& slot) const {
    const auto position = position_of(slot);
    return position && charts_->slot.is_final(slots_[*position].state);
}

std::optional<slot_run> step_session::run(const slot_id& slot) {
    const auto position = position_of(slot);
    if (!position || !is_in(*position, "waiting") || !has_capacity()) {
        return std::nullopt;
    }
    fire(*position, "run");
    ++counts_.running;
    return start(*position);
}

std::optional<slot_run> step_session::hedge(const slot_id& slot) {
    const auto position = position_of(slot);
    if (!is_open() || !position || !is_in(*position, "running")) {
        return std::nullopt;
    }
    return start(*position);
}

std::optional<slot_run> step_session::resume(const slot_run& run) {
    const auto position = find_in_flight(run);
    if (!position) {
        return std::nullopt;
    }
    remove_in_flight(*position, run.attempt);
    return start(*position);
}

result_code step_session::end_run(const slot_run& run,
                                  const answer_assembler& answer) {
    const auto position = find_in_flight(run);
    if (!position) {
        return result_code::cancelled_by_caller;
    }
    const bool is_matched =
        answer.stream() == run.stream && answer.attempt() == run.attempt;
    auto versions = answer.versions();
    if (!is_matched || !versions) {
        const result_code code =
            is_matched ? versions.reason().code : result_code::failed_truncated;
        fail_run(run, code);
        return code;
    }
    remove_in_flight(*position, run.attempt);
    cancel_others(*position);
    fire(*position, "finish");
    --counts_.running;
    ++counts_.ready;
    slots_[*position].sample =
        finished_sample{.slot = run.slot,
                        .attempt = run.attempt,
                        .text = answer.text(),
                        .versions = std::move(*versions)};
    ready_.push_back(*position);
    return result_code::ok;
}

void step_session::fail_run(const slot_run& run, result_code code) {
    const auto position = find_in_flight(run);
    if (!position) {
        return;
    }
    remove_in_flight(*position, run.attempt);
    if (code == result_code::sample_version_unknown) {
        ++counts_.discarded_unlabelled;
    } else {
        ++counts_.discarded_broken;
    }
    if (is_permanent_refusal(code)) {
        cancel_others(*position);
        fire(*position, "refuse");
        --counts_.running;
        ++counts_.refused;
        return end_if_settled();
    }
    if (slots_[*position].in_flight.empty()) {
        --counts_.running;
        requeue(*position);
    }
}

std::optional<finished_sample>
step_session::next_hand_over(weight_version newest) {
    while (is_open() && !ready_.empty()) {
        const std::size_t position = ready_.front();
        ready_.pop_front();
        --counts_.ready;
        auto sample = std::exchange(slots_[position].sample, std::nullopt);
        if (!is_fresh(sample->versions, newest, options_.staleness_bound)) {
            ++counts_.discarded_too_old;
            requeue(position);
            continue;
        }
        fire(position, "hand_over");
        ++counts_.handed_over;
        end_if_settled();
        return sample;
    }
    return std::nullopt;
}

void step_session::observe_epoch(session_epoch epoch) {
    if (epoch > options_.epoch) {
        end("hear_newer_epoch");
    }
}

void step_session::lose_trainer() {
    end("lose_trainer");
}

void step_session::pass_deadline() {
    end("pass_deadline");
}

std::optional<result_code> step_session::result() const {
    if (is_open()) {
        return std::nullopt;
    }
    if (step_.is_in("complete")) {
        return result_code::ok;
    }
    if (step_.is_in("superseded")) {
        return result_code::step_superseded;
    }
    return step_.is_in("abandoned") ? result_code::cancelled_by_caller
                                    : result_code::step_incomplete;
}

std::vector<slot_run> step_session::take_cancelled() {
    return std::exchange(cancelled_, {});
}

slot_id step_session::slot_at(std::size_t position) const {
    return {.trainer = options_.key.trainer,
            .step = options_.key.step,
            .group = static_cast<std::uint32_t>(position / options_.group_size),
            .index =
                static_cast<std::uint32_t>(position % options_.group_size)};
}

std::optional<std::size_t>
step_session::position_of(const slot_id& slot) const {
    if (slot.trainer != options_.key.trainer ||
        slot.step != options_.key.step || slot.group >= options_.group_count ||
        slot.index >= options_.group_size) {
        return std::nullopt;
    }
    return std::size_t{slot.group} * options_.group_size + slot.index;
}

bool step_session::is_in(std::size_t position, const char* state) const {
    return charts_->slot.state_name(slots_[position].state) == state;
}

bool step_session::fire(std::size_t position, const char* event) {
    slot_entry& slot = slots_[position];
    const auto next =
        charts_->slot.next(slot.state, charts_->slot.event(event));
    if (!next) {
        return false;
    }
    slot.state = *next;
    return true;
}

slot_run step_session::start(std::size_t position) {
    slot_entry& slot = slots_[position];
    slot_run run{.slot = slot_at(position)};
    run.stream = to_text(run.slot);
    run.attempt = make_attempt(options_.epoch, ++slot.runs);
    slot.in_flight.push_back(run.attempt);
    return run;
}

std::optional<std::size_t>
step_session::find_in_flight(const slot_run& run) const {
    const auto position = position_of(run.slot);
    if (!is_open() || !position) {
        return std::nullopt;
    }
    const auto& in_flight = slots_[*position].in_flight;
    if (std::find(in_flight.begin(), in_flight.end(), run.attempt) ==
        in_flight.end()) {
        return std::nullopt;
    }
    return position;
}

void step_session::remove_in_flight(std::size_t position,
                                    attempt_number attempt) {
    std::erase(slots_[position].in_flight, attempt);
}

void step_session::cancel_others(std::size_t position) {
    const slot_id slot = slot_at(position);
    for (const attempt_number attempt : slots_[position].in_flight) {
        cancelled_.push_back(
            {.slot = slot, .stream = to_text(slot), .attempt = attempt});
    }
    slots_[position].in_flight.clear();
}

void step_session::requeue(std::size_t position) {
    fire(position, "discard");
    // The step takes as long as its slowest slot, so rerun this slot first.
    waiting_.push_front(position);
}

void step_session::end(const char* event) {
    if (!step_.fire(event)) {
        return;
    }
    for (std::size_t position = 0; position < slots_.size(); ++position) {
        cancel_others(position);
        slots_[position].sample.reset();
    }
    waiting_.clear();
    ready_.clear();
    counts_.running = 0;
    counts_.ready = 0;
}

void step_session::end_if_settled() {
    const std::uint64_t complete = counts_.held + counts_.handed_over;
    if (complete == slots_.size()) {
        end("end_complete");
    } else if (complete + counts_.refused == slots_.size()) {
        end("end_incomplete");
    }
}

} // namespace savorydock

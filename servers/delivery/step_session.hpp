#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "servers/delivery/answer_assembler.hpp"
#include "servers/delivery/step_charts.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace savorydock {

/// A trainer's step, over all of its sessions.
struct step_key {
    std::string trainer;
    std::uint64_t step = 0;

    bool operator==(const step_key&) const = default;
    auto operator<=>(const step_key& other) const {
        return std::tie(trainer, step) <=> std::tie(other.trainer, other.step);
    }
};

/// Which connection of the trainer a session serves. The trainer raises it
/// with every connect and takes samples from its newest connection only.
using session_epoch = std::uint32_t;

struct step_session_options {
    /// Must be unique over services and callers.
    step_key key;
    session_epoch epoch = 1;
    std::uint32_t group_count = 0;
    std::uint32_t group_size = 0;
    /// Versions that a sample may lag behind the newest at hand-over.
    std::uint32_t staleness_bound = 1;
    /// No further run starts while so many samples wait for the trainer.
    std::uint32_t max_ready = 256;
};

/// An order to run one slot, under names made from the slot alone: a later
/// session of the step can find, resume or cancel what still runs.
struct slot_run {
    slot_id slot;
    std::string stream;
    attempt_number attempt = 0;
};

/// A whole, labelled sample, judged fresh at the moment of hand-over.
struct finished_sample {
    slot_id slot;
    attempt_number attempt = 0;
    std::string text;
    std::vector<version_range> versions;
};

struct step_counts {
    std::uint32_t held = 0;
    std::uint32_t handed_over = 0;
    std::uint32_t refused = 0;
    std::uint32_t running = 0;
    std::uint32_t ready = 0;
    std::uint32_t discarded_too_old = 0;
    std::uint32_t discarded_unlabelled = 0;
    std::uint32_t discarded_broken = 0;
};

/// The numbers of one slot's runs grow within a session and from session to
/// session, so that a late answer is always told by its number. Thread safe.
[[nodiscard]] attempt_number make_attempt(session_epoch epoch,
                                          std::uint32_t run);

/// One session of a trainer's step on this instance.
///
/// The trainer holds the truth: it presents what it has, the session runs the
/// rest, hands no slot over twice and ends complete only when the trainer has
/// every slot. Not thread safe: one traffic thread owns it. It may outlive the
/// charts given to `open`.
class step_session {
public:
    /// Opens a session; `held` has one bit a slot, group by group.
    /// Errors: `not_run_bad_request` if the shape or the bitmap does not fit.
    [[nodiscard]] static outcome<step_session>
    open(std::shared_ptr<const step_charts> charts,
         const step_session_options& options, const std::vector<bool>& held);

    /// The next slot to run, or nothing for now.
    [[nodiscard]] std::optional<slot_run> next_run();

    /// Runs this slot next, or nothing if it does not wait or too many samples
    /// wait for the trainer.
    [[nodiscard]] std::optional<slot_run> run(const slot_id& slot);

    /// A second run beside the one in flight; the first whole answer counts.
    [[nodiscard]] std::optional<slot_run> hedge(const slot_id& slot);

    /// A later number for a run that is resumed on another upstream, or
    /// nothing if the run no longer counts.
    [[nodiscard]] std::optional<slot_run> resume(const slot_run& run);

    /// Takes the end of a run. Whole and labelled, it is ready; otherwise it
    /// is discarded and will run again. Returns what became of it; an answer
    /// of a run that no longer counts is `cancelled_by_caller`.
    result_code end_run(const slot_run& run, const answer_assembler& answer);

    /// Takes a run that brought no answer. A code that another run can't mend
    /// refuses the slot for good, the others have it run again.
    void fail_run(const slot_run& run, result_code code);

    /// Takes the next sample to write to the trainer's connection. A sample
    /// over the staleness bound against `newest` is discarded here.
    [[nodiscard]] std::optional<finished_sample>
    next_hand_over(weight_version newest);

    /// A session of the step with this epoch exists somewhere.
    void hear_epoch(session_epoch epoch);
    void lose_trainer();
    void pass_deadline();

    /// Whether the slot waits for a run.
    [[nodiscard]] bool is_waiting(const slot_id& slot) const;
    /// Whether the slot needs no further run: held, handed over or refused.
    [[nodiscard]] bool is_settled(const slot_id& slot) const;
    /// Whether further runs may start before the trainer takes a sample.
    [[nodiscard]] bool has_room() const {
        return is_open() && ready_.size() < options_.max_ready;
    }

    /// How the session ended, or nothing while it is open.
    [[nodiscard]] std::optional<result_code> result() const;

    /// Runs that no longer count; cancel them on their upstreams. Each is
    /// returned once.
    [[nodiscard]] std::vector<slot_run> take_cancelled();

    [[nodiscard]] const step_counts& counts() const { return counts_; }
    [[nodiscard]] const step_session_options& options() const {
        return options_;
    }
    [[nodiscard]] const std::string& state() const { return step_.state(); }

private:
    struct slot_entry {
        state_chart::state_index state = 0;
        std::uint32_t runs = 0;
        std::vector<attempt_number> in_flight;
        std::optional<finished_sample> sample;
    };

    step_session(std::shared_ptr<const step_charts> charts,
                 const step_session_options& options);

    [[nodiscard]] bool is_open() const { return !step_.is_final(); }
    [[nodiscard]] slot_id slot_at(std::size_t position) const;
    [[nodiscard]] std::optional<std::size_t>
    position_of(const slot_id& slot) const;
    [[nodiscard]] bool is_in(std::size_t position, const char* state) const;
    bool fire(std::size_t position, const char* event);
    [[nodiscard]] slot_run start(std::size_t position);
    /// The position of a run that still counts.
    [[nodiscard]] std::optional<std::size_t> find(const slot_run& run) const;
    void forget(std::size_t position, attempt_number attempt);
    void cancel_others(std::size_t position);
    void run_again(std::size_t position);
    void end(const char* event);
    void end_if_settled();

    std::shared_ptr<const step_charts> charts_;
    step_session_options options_;
    chart_position step_;
    std::vector<slot_entry> slots_;
    std::deque<std::size_t> waiting_;
    std::deque<std::size_t> ready_;
    std::vector<slot_run> cancelled_;
    step_counts counts_;
};

} // namespace savorydock

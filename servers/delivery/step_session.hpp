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

/// Identifies a trainer's step; shared by all sessions of the step.
struct step_key {
    std::string trainer;
    std::uint64_t step = 0;

    bool operator==(const step_key&) const = default;
    auto operator<=>(const step_key& other) const {
        return std::tie(trainer, step) <=> std::tie(other.trainer, other.step);
    }
};

/// Number of the trainer's connection that a session serves. The trainer
/// increments it with each connection and accepts samples only from the newest.
using session_epoch = std::uint32_t;

struct step_session_options {
    /// Must be unique over services and callers.
    step_key key;
    session_epoch epoch = 1;
    std::uint32_t group_count = 0;
    std::uint32_t group_size = 0;
    /// Maximum number of versions that a sample may be behind the newest one at
    /// hand-over.
    std::uint32_t staleness_bound = 1;
    /// No new run starts while this many samples wait for the trainer.
    std::uint32_t max_ready = 256;
};

/// A run of one slot. The stream id derives from the slot alone, so a later
/// session of the step can find, resume or cancel runs that are still active.
struct slot_run {
    slot_id slot;
    std::string stream;
    attempt_number attempt = 0;
};

/// A complete sample with known weight versions. Its staleness is checked at
/// hand-over.
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

/// Combines epoch and run so that the numbers of a slot's runs increase within
/// a session and from session to session; late answers are recognised by their
/// lower number. Thread safe.
[[nodiscard]] attempt_number make_attempt(session_epoch epoch,
                                          std::uint32_t run);

/// One session of a trainer's step on this instance.
///
/// The trainer's set of samples is authoritative: it reports the slots that it
/// already has, and the session runs the others. It hands no slot over twice
/// and completes only when every slot was held by or handed over to the
/// trainer. Not thread safe: one traffic thread owns it. Shares ownership of
/// the charts given to `open`.
class step_session {
public:
    /// Opens a session. `held` has one bit per slot, ordered by group.
    /// Errors: `not_run_bad_request` if the number of slots, the epoch or the
    /// size of the bitmap is invalid.
    [[nodiscard]] static outcome<step_session>
    open(std::shared_ptr<const step_charts> charts,
         const step_session_options& options, const std::vector<bool>& held);

    /// Starts a run of the next waiting slot; empty if none can start now.
    [[nodiscard]] std::optional<slot_run> next_run();

    /// Starts a run of this slot; empty if the slot is not waiting or too many
    /// samples wait for the trainer.
    [[nodiscard]] std::optional<slot_run> run(const slot_id& slot);

    /// Starts a run in parallel to the one in flight. The first complete answer
    /// is used.
    [[nodiscard]] std::optional<slot_run> hedge(const slot_id& slot);

    /// Assigns a later attempt number to a run that is resumed on another
    /// upstream; empty if the run is no longer in flight.
    [[nodiscard]] std::optional<slot_run> resume(const slot_run& run);

    /// Ends a run with its answer. A complete answer with known versions
    /// becomes ready for hand-over; any other is discarded and the slot runs
    /// again. Returns `ok` or the reason for discarding; `cancelled_by_caller`
    /// if the run was no longer in flight.
    result_code end_run(const slot_run& run, const answer_assembler& answer);

    /// Ends a run without an answer. If `code` shows that every run would be
    /// refused, the slot is refused permanently; otherwise it runs again.
    void fail_run(const slot_run& run, result_code code);

    /// Returns the next sample to write to the trainer's connection. Discards
    /// samples that exceed the staleness bound relative to `newest`.
    [[nodiscard]] std::optional<finished_sample>
    next_hand_over(weight_version newest);

    /// Call when a session of the step with this epoch is known to exist, on
    /// any instance. A newer epoch ends this session.
    void observe_epoch(session_epoch epoch);
    void lose_trainer();
    void pass_deadline();

    /// Whether the slot is waiting for a run.
    [[nodiscard]] bool is_waiting(const slot_id& slot) const;
    /// Whether the slot needs no further run: held, handed over or refused.
    [[nodiscard]] bool is_settled(const slot_id& slot) const;
    /// Whether new runs may start before the trainer takes a sample.
    [[nodiscard]] bool has_capacity() const {
        return is_open() && ready_.size() < options_.max_ready;
    }

    /// How the session ended; empty while it is open.
    [[nodiscard]] std::optional<result_code> result() const;

    /// Returns runs whose answers are no longer needed, to cancel on their
    /// upstreams. Each is returned once.
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
    /// The position of the slot of a run that is in flight.
    [[nodiscard]] std::optional<std::size_t>
    find_in_flight(const slot_run& run) const;
    void remove_in_flight(std::size_t position, attempt_number attempt);
    void cancel_others(std::size_t position);
    void requeue(std::size_t position);
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

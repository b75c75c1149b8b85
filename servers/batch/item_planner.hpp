#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/engine_roster.hpp"
#include "servers/batch/item_planner_options.hpp"
#include "servers/batch/planner_command.hpp"
#include "servers/duties/worker_demand.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

/// Settings of a job that come from its route.
struct job_settings {
    std::chrono::milliseconds target{7'500};
    std::chrono::milliseconds time_to_live{40'000};
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 5;
    bool is_single_version = false;
    /// The configuration has organisations, so jobs compete as `job_order`
    /// describes.
    bool has_organisations = false;
};

/// Settings of an engine service, apart from its upstreams.
struct engine_settings {
    /// Capacity of one engine's cache; 0 if not known.
    std::uint64_t cache_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint64_t tokens_per_event = 1;
    /// Maximum number of concurrent scoring calls. The scorer's other slots are
    /// reserved for callers.
    std::size_t scoring_slots = 1;
    /// Fraction of the request limits of engines that items may use.
    double limit_fraction = 1;
};

/// Decides which batch items of one service run next, and on which engine.
///
/// Load pattern: every few seconds a job of a hundred or more items arrives,
/// more than there are slots. Item lengths have a long tail, and engines differ
/// in speed, fail, slow down and load new weights. A trainer needs complete
/// groups, and only a share of the groups. Therefore:
/// - Groups with the longest items start last. Among the others, the longest
///   items start first, on the fastest engine with room.
/// - Items wait here and are never queued at an engine.
/// - Long items move off slow engines once other slots are free, and off
///   engines that start to load weights, which would delay them by a second.
/// - A text is continued only by an engine of the software that began it. If
///   such engines exist but none has room, the item waits for one no longer
///   than its text would take to be generated again; then it starts anew.
///
/// A result is listed once it is in the job's list in the store, where the
/// trainer can read it.
///
/// Not thread safe; deterministic. The current time is passed in; commands are
/// appended to `out`. After one or more inputs `advance` must be called.
class item_planner {
public:
    using loading_check = engine_roster::loading_check;

    /// Tickets are numbered from `first_ticket`. The ranges of different
    /// planners must not overlap.
    item_planner(item_planner_options options, run_ticket first_ticket,
                 loading_check is_loading);

    /// Starts (true) or ends (false) this instance's term as the planner of the
    /// service. Without a term, no runs start and no results are listed, but
    /// runs in progress continue.
    void on_term(bool is_held);

    /// Call if another planner held the term before. No run starts until all
    /// instances have reported the runs that they hold (`end_adoption`) or
    /// `adoption_timeout` is over.
    void begin_adoption(steady_time now);
    void end_adoption();
    /// An instance reported a held run. The planner continues the run or takes
    /// its result, or stops the run if the item no longer needs it. A run of
    /// its own, from before it regained its term, goes on.
    void on_held_run(held_run held, steady_time now, planner_commands& out);

    /// Starts no more runs. Runs in progress may finish, and their results are
    /// listed.
    void stop_starting() { is_starting_ = false; }

    /// Whether the data about upstreams is up to date. No run starts on stale
    /// data, because an upstream may have announced that it is leaving.
    void set_fleet_data_current(bool is_current) {
        is_fleet_data_current_ = is_current;
    }

    /// Removes all jobs and stops all runs, because another instance is the
    /// planner now.
    void drop_all(planner_commands& out);

    /// Adds a job, or updates a known one from the store after a new term or a
    /// superseded commit. `listed` are the items with a listed result, ordered
    /// by position. `saved` has the texts of unfinished items by item index.
    void on_job(const job_record& record, std::shared_ptr<const batch_job> job,
                const job_settings& settings,
                const std::vector<item_id>& listed,
                const std::map<std::size_t, item_progress>& saved,
                steady_time accepted_at, steady_time now,
                planner_commands& out);

    /// Earlier planners saw this many runs fail, by index of the item. Call it
    /// right after `on_job`.
    void
    on_saved_failures(const job_id& job,
                      const std::map<std::size_t, std::uint32_t>& failures);

    /// The job ended: stops its runs and lists no more results. An end is
    /// final, so the job is ignored if it is added afterwards.
    void on_job_ended(const job_id& job, planner_commands& out);
    /// Another service plans the job now: stops its runs and lists no more
    /// results. The job may be added again.
    void remove_job(const job_id& job, planner_commands& out);

    void on_upstreams(const std::vector<upstream_entry>& upstreams,
                      const engine_settings& settings, steady_time now);

    /// An answer of the upstream named the request rate that it accepts, or
    /// none.
    void on_request_limit(const upstream_id& upstream,
                          std::optional<double> requests_per_second,
                          steady_time answered_at) {
        roster_.on_request_limit(upstream, requests_per_second, answered_at);
    }

    /// An upstream was ordered to load weights of a model. Stops its runs of
    /// that model so that they resume on another engine, if one has room.
    void on_loading(const upstream_id& upstream, const std::string& model,
                    steady_time now, planner_commands& out);

    void on_run_delta(run_delta delta, steady_time now, planner_commands& out);
    void on_run_ended(run_report report, steady_time now);
    /// The instance that ran or scored the ticket's item no longer does so, or
    /// has been silent for too long. The item starts again elsewhere after the
    /// text known so far.
    void on_run_lost(run_ticket ticket, steady_time now);
    /// An instance that was taken for lost reports progress of the run; the
    /// caller passes on the report afterwards. The run is taken up again if its
    /// text is complete, or not behind that of the run that replaced it. Either
    /// this run or the replacement is stopped. A run that is not remembered, or
    /// whose job has ended, is stopped.
    void on_run_found(const run_delta& delta, bool is_complete, steady_time now,
                      planner_commands& out);
    /// An instance reports all runs and scorings that it has in progress for
    /// this planner. Those that the planner doesn't know are stopped: they were
    /// given up when the instance was taken for lost, or their stop was lost.
    /// Precondition: the instance has reported the runs of earlier terms.
    void on_active_runs(const instance_id& runner,
                        const std::vector<run_ticket>& active,
                        planner_commands& out) const;
    void on_scored(score_report report);
    /// `number` is the one in the `commit_results`. Reports about earlier
    /// attempts are ignored.
    void on_committed(const job_id& job, std::uint64_t number, commit_end end,
                      steady_time now, planner_commands& out);

    /// Gives up expired items; starts, stops and moves runs; starts scorings;
    /// commits results and saves texts, as far as each is due.
    void advance(steady_time now, planner_commands& out);
    [[nodiscard]] std::optional<steady_time> next_wakeup() const;

    [[nodiscard]] bool has_job(const job_id& job) const;
    [[nodiscard]] std::vector<job_id> jobs() const;
    /// Number of runs of the model on an upstream.
    [[nodiscard]] std::size_t runs_on(const upstream_id& upstream,
                                      const std::string& model) const {
        return roster_.runs_on(upstream, model);
    }
    /// The oldest version that all open jobs of the model allow; 0 if they
    /// allow any.
    [[nodiscard]] weight_version
    min_allowed_version(const std::string& model) const;
    /// Whether items of the model wait, those on probation left out.
    [[nodiscard]] bool has_waiting(const std::string& model) const;
    [[nodiscard]] std::size_t waiting_items() const;
    /// The open work by due time, without the service and the term.
    [[nodiscard]] worker_demand demand(steady_time now) const;
    [[nodiscard]] std::size_t running_items() const { return runs_.size(); }

private:
    enum class item_phase : std::uint8_t {
        waiting,
        running,
        /// The text is complete; waits for a scoring slot.
        to_score,
        scoring,
        /// The result is final but not yet listed.
        ready,
        listed,
    };

    struct item_state {
        item_phase phase = item_phase::waiting;
        std::uint32_t failures = 0;
        std::uint32_t moves = 0;
        /// Estimated number of tokens of the complete text.
        std::uint64_t expected_tokens = 0;
        std::uint64_t prompt_tokens = 0;
        item_progress progress;
        /// While no engine that can continue the text has room: when the text
        /// is discarded.
        std::optional<steady_time> discard_text_at;
        std::string score;
        bool is_given_up = false;
        /// The text has its last event.
        bool is_text_complete = false;
        /// Items with a smaller rank start first within the job.
        std::size_t rank = 0;
        /// Engines that failed on the item.
        std::set<upstream_id> avoid;
        /// Tickets of the run and of the scoring whose instances buffer the
        /// text and the score until the result is listed.
        std::vector<run_ticket> unreleased_tickets;
    };

    struct job_state {
        job_record record;
        std::shared_ptr<const batch_job> submission;
        job_settings settings;
        steady_time accepted_at;
        std::vector<item_state> items;
        /// Waiting items as pairs of rank and item index; those on probation
        /// apart.
        std::set<std::pair<std::size_t, std::size_t>> waiting;
        std::set<std::pair<std::size_t, std::size_t>> on_probation;
        /// The last `probation_change` had items on probation.
        bool is_probation_reported = false;
        /// Indexes of items whose result may be committed.
        std::vector<std::size_t> ready;
        /// Per group, the number of items neither ready nor listed.
        std::map<std::string, std::size_t> open_items;
        /// A group became complete since the last commit, or a refused commit
        /// must be retried.
        bool has_complete_group = false;
        /// Position of the next result in the job's list.
        std::size_t next_position = 0;
        bool is_committing = false;
        std::uint64_t commit_number = 0;
        /// Items of the commit in progress.
        std::vector<std::size_t> in_commit;
        steady_time last_commit{};
        /// Earliest time of the next commit, after the store refused one.
        steady_time commit_not_before{};
        /// The listed results were read from the store in the current term and
        /// not superseded since.
        bool is_confirmed = false;
    };

    using waiting_items_position =
        std::set<std::pair<std::size_t, std::size_t>>::iterator;

    struct run_state {
        job_id job;
        std::size_t item = 0;
        upstream_id upstream;
        std::string model;
        std::uint64_t cache_tokens = 0;
        item_progress progress;
        /// Events that the text had at the start of the run.
        std::uint64_t initial_events = 0;
        steady_time last_event_at;
        /// A stop was requested.
        bool is_stopping = false;
        /// The text exceeds what the item allows.
        bool is_oversized = false;
        /// The engine has begun to process the item.
        bool is_accepted = false;
        /// The engine was reserved for the item.
        bool had_reservation = false;
        /// Size of the saved part of the text in events and bytes.
        std::uint64_t saved_events = 0;
        std::size_t saved_bytes = 0;
    };

    /// A run whose runner was taken for lost, with what it had reported.
    struct lost_run {
        run_state run;
        steady_time lost_at;
    };

    /// The text of an item of an ended job, for a later job with that item.
    struct retained_text {
        item_progress progress;
        bool is_text_complete = false;
    };

    struct scoring_state {
        job_id job;
        std::size_t item = 0;
    };

    void add_items(job_state& job);
    /// Adds an item to the waiting ones, or removes it from them.
    void insert_waiting(job_state& job, std::size_t item);
    void erase_waiting(job_state& job, std::size_t item);
    /// Reports jobs that have items on probation now and had none, or the
    /// reverse.
    void report_probation(planner_commands& out);
    /// Decides anew which waiting items of the job are on probation.
    void update_probation(job_state& job);
    [[nodiscard]] item_size size_of(const job_state& job,
                                    std::size_t item) const;
    void place_items(steady_time now, planner_commands& out);
    /// Where a round of placements is in the waiting items of a job.
    struct round_position {
        waiting_items_position next;
        /// Items that need more cache tokens find no room in this round.
        std::uint64_t largest_room = std::numeric_limits<std::uint64_t>::max();
        /// An item found no room, though engines have free slots: one that any
        /// engine may start, or one whose text only some can continue.
        bool has_without_room = false;
        bool has_tied_without_room = false;
    };

    /// Places the first item at or after the position that an engine has room
    /// for. Returns its estimated tokens, or nothing if the job can't place one
    /// now.
    std::optional<std::uint64_t> place_next(job_state& job,
                                            round_position& position,
                                            steady_time now,
                                            planner_commands& out);
    /// Places items for which engines are reserved, as far as they have room.
    void place_reserved(const std::vector<job_state*>& jobs, job_round& round,
                        steady_time now, planner_commands& out);
    /// Reserves engines for items that have found no room for some time.
    void reserve_engines(steady_time now, planner_commands& out);
    /// Estimated tokens that the runs of each engine still need; the longest
    /// run counts.
    [[nodiscard]] std::map<upstream_id, std::uint64_t>
    tokens_left_by_engine() const;
    /// What the item requires of an engine that starts or continues the text.
    /// `key` and `text` must outlive the requirements.
    [[nodiscard]] engine_requirements
    requirements_of(const job_state& job, const item_key& key,
                    const item_progress& text) const;
    /// Places the item if an engine has room.
    bool place_item(job_state& job, std::size_t item, bool is_probe,
                    steady_time now, planner_commands& out);
    /// Probes an engine with an item on probation, if a probe is due and an
    /// engine has room. One entry in `open_jobs` per job.
    void place_probe(const std::vector<job_state*>& jobs,
                     const std::vector<open_job>& open_jobs, steady_time now,
                     planner_commands& out);
    /// The item of the job to probe next: one of those refused least often.
    [[nodiscard]] std::optional<std::size_t>
    next_to_probe(const job_state& job) const;
    /// The engine of the run has begun to process its item.
    void record_acceptance(run_state& run, steady_time now);
    /// Whether the engine had begun to process the item of a run that ended.
    [[nodiscard]] static bool has_begun(const run_state& run, run_end end);
    /// Whether the item should start anew instead of waiting for an engine that
    /// can continue its text. Precondition: no such engine has room now.
    [[nodiscard]] bool is_text_hopeless(job_state& job, std::size_t item,
                                        steady_time now) const;
    /// Returns the best engine to continue the text, or null.
    [[nodiscard]] const roster_entry* choose_engine(const job_state& job,
                                                    std::size_t item,
                                                    const item_progress& text,
                                                    bool is_probe,
                                                    steady_time now) const;
    /// Cache tokens that the item is expected to fill. A text that is longer
    /// than expected fills more.
    [[nodiscard]] std::uint64_t
    expected_cache_tokens(const item_state& item,
                          const item_progress& text) const;
    void start(job_state& job, std::size_t item, const roster_entry& engine,
               steady_time now, planner_commands& out);
    void move_stragglers(steady_time now, planner_commands& out);
    void give_up_expired(steady_time now);
    void score_items(planner_commands& out);
    void commit_ready(steady_time now, planner_commands& out);
    [[nodiscard]] steady_time commit_due(const job_state& job) const;
    /// Updates the group of an item that becomes ready or listed. Call before
    /// the phase changes.
    void count_finished_item(job_state& job, std::size_t item);
    /// Scores the text of the item again.
    void requeue_scoring(const scoring_state& scoring);
    void requeue(job_state& job, std::size_t item);
    /// The text is complete: scores the item next, or makes it ready.
    void finish_text(job_state& job, std::size_t item, item_progress progress);
    void make_ready(job_state& job, std::size_t item);
    /// Updates the speed of the run's engine with the events received.
    void record_speed(const run_state& run, std::uint64_t events,
                      steady_time now);
    /// Whether the item would finish enough earlier on the other engine.
    [[nodiscard]] bool is_move_worthwhile(const run_state& run,
                                          const item_state& item,
                                          const roster_entry& current,
                                          const roster_entry& target) const;
    /// Whether the text exceeds what the item allows.
    [[nodiscard]] bool is_oversized(const batch_item& item,
                                    const item_progress& progress) const;
    /// Appends the events. Returns false if earlier events are missing.
    [[nodiscard]] static bool append_delta(item_progress& progress,
                                           const run_delta& delta);
    /// Whether the job allows the weight versions of the text.
    [[nodiscard]] static bool
    has_allowed_versions(const item_progress& progress, const job_state& job);
    /// Whether a run of the job may continue the text.
    [[nodiscard]] static bool is_reusable(const item_progress& progress,
                                          const job_state& job);
    /// Adopts all held runs reported for the job.
    void adopt_held_runs(const job_id& id, job_state& job, steady_time now,
                         planner_commands& out);
    /// Applies the report if the run or scoring is one of this planner's own.
    /// Returns whether it is.
    bool update_own_run(const held_run& held, steady_time now);
    void adopt_run(job_state& job, std::size_t item, held_run held,
                   steady_time now, planner_commands& out);
    /// Whether runs may start now.
    [[nodiscard]] bool may_place_items(steady_time now) const;
    /// Uses texts of ended jobs for the same items of a new job.
    void reuse_retained_texts(job_state& job);
    /// Keeps the texts of incomplete groups of a job that ends.
    void retain_texts(const job_state& job);
    void stop_stalled(steady_time now, planner_commands& out);
    [[nodiscard]] bool is_stalled(const run_state& run, steady_time now) const;
    void drop_old_lost_runs(steady_time now);
    /// Whether the planner needs the run or scoring, or may need it again.
    [[nodiscard]] bool is_known(run_ticket ticket) const;
    /// The ticket of the item's active run, if it has one.
    [[nodiscard]] std::optional<run_ticket>
    active_run_of(const job_id& job, std::size_t item) const;
    void save_texts(steady_time now, planner_commands& out);
    /// Saves counts of failures at once: the next planner must not begin to
    /// count anew.
    void save_failures(planner_commands& out);
    void give_up(job_state& job, std::size_t item);
    /// An engine refused the run of an item as if full.
    void record_refusal(job_state& job, const run_state& run, steady_time now);
    /// Updates the order of the jobs if that is due. One entry in `open_jobs`
    /// per job.
    void refresh_job_order(const std::vector<job_state*>& jobs,
                           const std::vector<open_job>& open_jobs,
                           steady_time now, planner_commands& out);
    /// Estimated tokens that each item still needs from an engine.
    [[nodiscard]] std::vector<std::uint64_t>
    tokens_left_of(const job_state& job) const;
    /// Number of tokens of the text.
    [[nodiscard]] std::uint64_t
    generated_tokens(const item_progress& progress) const;
    /// Changes the order in which the job's waiting items start.
    void rank_again(job_state& job, job_standing standing);

    item_planner_options options_;
    engine_roster roster_;
    item_probation probation_;
    room_queue rooms_;
    job_order job_order_;
    bool has_term_ = false;
    bool is_starting_ = true;
    bool is_fleet_data_current_ = true;
    std::map<job_id, job_state> jobs_;
    std::map<run_ticket, run_state> runs_;
    std::map<run_ticket, lost_run> lost_runs_;
    std::map<run_ticket, scoring_state> scorings_;
    /// Items that wait for a scoring slot, in order.
    std::vector<std::pair<job_id, std::size_t>> to_score_;
    engine_settings engine_settings_;
    std::map<item_id, retained_text> retained_texts_;
    /// Jobs that have ended lately, with the order of their ends.
    std::set<job_id> ended_jobs_;
    std::deque<job_id> ended_jobs_order_;
    /// Held runs of jobs that aren't loaded or confirmed yet.
    std::map<job_id, std::vector<held_run>> held_runs_;
    /// Number of the last commit of any job. A job that was dropped and added
    /// again must not take the outcome of an earlier commit for that of its
    /// own.
    std::uint64_t last_commit_number_ = 0;
    steady_time adoption_deadline_{};
    run_ticket next_ticket_;
    steady_time next_check_{};
    /// Whether the next probe takes the last item of a job, not the first.
    bool probes_last_ = false;
    /// When an engine for a probe is looked for again, after none had room.
    steady_time next_probe_search_{};
    steady_time next_save_{};
    /// Refusals since the last `advance`.
    std::vector<item_refusal> refusals_;
    /// Items with failures that aren't saved yet.
    std::set<std::pair<job_id, std::size_t>> unsaved_failures_;
};

} // namespace savorydock

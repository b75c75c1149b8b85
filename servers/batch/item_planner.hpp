#pragma once

#include "core/clock.hpp"
#include "servers/batch/batch_job.hpp"
#include "servers/batch/engine_roster.hpp"
#include "servers/fleet/upstream_entry.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace savorydock {

/// What there is of an item's text, with the versions that made it.
struct item_progress {
    std::string text;
    /// Events in the text; a run that goes on asks for the next one.
    std::uint64_t events = 0;
    std::vector<weight_version> versions;
};

/// Names one run of an item; never used again.
using run_ticket = std::uint64_t;

/// How the run of an item ended.
enum class run_end : std::uint8_t {
    /// The whole text is there.
    complete,
    /// The stream broke; what came of it may be gone on from.
    interrupted,
    /// The engine states that it didn't begin.
    not_run,
    /// The engine failed on the item.
    failed,
    /// The item can never be done.
    impossible,
    /// The engine holds a version that the job doesn't allow.
    wrong_version,
    /// The planner asked for the end.
    stopped,
};

/// Events that a run made since its last report.
struct run_delta {
    run_ticket ticket = 0;
    /// Events of the item before these, and with them.
    std::uint64_t base_events = 0;
    std::uint64_t events = 0;
    /// The data of the new events, with a line feed between two.
    std::string text;
    /// Versions that made them, in their order.
    std::vector<weight_version> versions;
};
BOOST_DESCRIBE_STRUCT(run_delta, (),
                      (ticket, base_events, events, text, versions))

/// A run that an instance has for a planner of an earlier term, or that ended
/// whole and is not listed as far as that instance knows.
struct held_run {
    run_ticket ticket = 0;
    job_id job;
    /// Id of the item, or of its scoring call.
    std::string id;
    bool is_scoring = false;
    bool has_ended = false;
    upstream_id upstream;
    /// The whole text from the first event on, or what there is of it.
    std::uint64_t events = 0;
    std::string text;
    std::vector<weight_version> versions;
    /// The score of a scoring that ended.
    std::string score;
};
BOOST_DESCRIBE_STRUCT(held_run, (),
                      (ticket, job, id, is_scoring, has_ended, upstream, events,
                       text, versions, score))

struct run_report {
    run_ticket ticket = 0;
    run_end end = run_end::interrupted;
    run_delta rest;
};
BOOST_DESCRIBE_STRUCT(run_report, (), (ticket, end, rest))

/// How the scoring of a sample ended.
struct score_report {
    run_ticket ticket = 0;
    /// Absent: the scorer failed as often as the route allows.
    std::optional<std::string> score;
};

/// Result of a commit.
enum class commit_end : std::uint8_t {
    listed,
    /// The store did not take it; it may be tried again.
    not_listed,
    /// Another instance has listed results there.
    superseded,
    /// The service's term isn't held any more.
    term_lost,
};

struct start_run {
    run_ticket ticket = 0;
    std::shared_ptr<const batch_job> job;
    std::size_t item = 0;
    upstream_id upstream;
    endpoint address;
    weight_version min_version = 0;
    bool is_single_version = false;
    /// What there is already; the run goes on behind it.
    item_progress progress;
};

struct stop_run {
    run_ticket ticket = 0;
};

/// A result is listed: its instance needs to keep it no longer.
struct release_run {
    run_ticket ticket = 0;
};

struct start_scoring {
    run_ticket ticket = 0;
    std::shared_ptr<const batch_job> job;
    std::size_t item = 0;
    /// The run that made the text, if this planner saw it.
    run_ticket made_by = 0;
};

struct commit_results {
    job_id job;
    /// Tells this try from others of the same job.
    std::uint64_t number = 0;
    std::size_t first_position = 0;
    std::vector<item_result> results;
    /// All results of the job are listed with these.
    bool is_last = false;
};

/// A part of an item's text, to be kept for a planner that takes over.
struct saved_progress {
    std::size_t item = 0;
    std::uint64_t base_events = 0;
    std::uint64_t events = 0;
    std::string text;
    std::vector<weight_version> versions;
};
BOOST_DESCRIBE_STRUCT(saved_progress, (),
                      (item, base_events, events, text, versions))

struct save_progress {
    job_id job;
    std::vector<saved_progress> parts;
};

using planner_command =
    std::variant<start_run, stop_run, release_run, start_scoring,
                 commit_results, save_progress>;
using planner_commands = std::vector<planner_command>;

/// What the planner needs to know of a job's route.
struct job_terms {
    std::chrono::milliseconds target{7'500};
    std::chrono::milliseconds time_to_live{40'000};
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 5;
    bool is_single_version = false;
};

/// What the planner needs to know of the service beside its upstreams.
struct engine_terms {
    /// Tokens that the cache of one engine holds.
    std::uint64_t cache_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint64_t tokens_per_event = 1;
    /// Scoring calls that may be in progress at a time; the rest of the
    /// scorer's slots is left to callers.
    std::size_t scoring_slots = 1;
};

struct item_planner_options {
    engine_roster_options engines;
    /// Results wait that long for others, so that one write lists them all.
    /// They are of no use to a trainer before their group is whole.
    std::chrono::milliseconds commit_gap{1'000};
    /// The same once a group is whole: some that end together share a write.
    std::chrono::milliseconds whole_group_gap{40};
    /// Pause before a refused commit is tried again.
    std::chrono::milliseconds commit_retry{220};
    /// An item moves off an engine that is so many times slower than another
    /// with a free slot. A move costs some ten milliseconds: the other engine
    /// reads prompt and text anew.
    double move_ratio = 1.15;
    /// Time saved below which an item stays where it is.
    std::chrono::milliseconds move_least{300};
    std::uint32_t max_moves = 4;
    std::size_t moves_per_round = 8;
    /// Events of a run before it may move: what it made is worth a prompt.
    std::uint64_t move_events = 4;
    /// A run without events for that long is taken off an engine that is not
    /// loading weights; reports come every 400 ms.
    std::chrono::milliseconds stall_time{1'000};
    /// Texts of runs in progress are saved that often, if so many events came.
    std::chrono::milliseconds save_period{1'500};
    std::uint64_t save_events = 12;
    /// Texts of unfinished items that may come again in a later job.
    std::size_t max_carried = 2'048;
    /// How often running items are compared for moves.
    std::chrono::milliseconds check_period{250};
    /// How long a new planner waits for what instances hold of its
    /// predecessor's runs: some round trips, and their texts on a slow link.
    std::chrono::milliseconds adoption_time{350};
};

/// Decides which items of the batch jobs of one service run next, and where.
///
/// Load pattern: every few seconds a job of a hundred or more items with long
/// tails arrives at once, more than there are slots, on engines of unequal
/// speed that break, slow down and load new weights. A trainer waits for whole
/// groups and only for a share of them. So groups with the most work left go
/// last, among the others the longest items first and onto the fastest engine
/// with room; nothing queues at an engine that can wait here; and long items
/// move off slow engines once slots are free, and off engines that begin to
/// load weights, which would hold them up for a second.
///
/// Not thread safe; deterministic. Inputs carry the time; commands are
/// appended to `out`. After one or more inputs `advance` must be called, which
/// starts, moves, gives up and lists what is due.
class item_planner {
public:
    using loading_test = engine_roster::loading_test;

    /// Tickets count from `first_ticket`, which must differ between planners.
    item_planner(item_planner_options options, run_ticket first_ticket,
                 loading_test is_loading);

    /// Begins (true) or ends a term as the service's planner. Without a term
    /// nothing starts and nothing is listed, but runs in progress go on.
    void on_term(bool is_held);

    /// A term follows another planner's: until all instances have told what
    /// they hold (`end_adoption`), or the time for it is over, nothing starts.
    void begin_adoption(steady_time now);
    void end_adoption();
    /// An instance holds a run. It goes on, or its text is taken, unless its
    /// item needs neither.
    void on_held(held_run held, steady_time now, planner_commands& out);

    /// Starts nothing from now on; what runs may finish and is listed.
    void stop_starting() { is_starting_ = false; }

    /// Whether what is known of the upstreams is fresh. Without fresh news
    /// nothing starts: an upstream may have announced that it leaves.
    void set_informed(bool is_informed) { is_informed_ = is_informed; }

    /// Another instance plans now: drops all jobs and stops all runs.
    void drop_all(planner_commands& out);

    /// Takes up a job, or confirms one after a new term. `listed` are the
    /// items with a result, in the order of positions.
    /// `saved` has the texts of unfinished items by their index.
    void on_job(const job_record& record, std::shared_ptr<const batch_job> job,
                const job_terms& terms, const std::vector<item_id>& listed,
                const std::map<std::size_t, item_progress>& saved,
                steady_time accepted_at, steady_time now,
                planner_commands& out);

    /// The job was ended: its runs stop and nothing more is listed.
    void on_job_ended(const job_id& job, planner_commands& out);

    void on_upstreams(const std::vector<upstream_entry>& upstreams,
                      const engine_terms& terms, steady_time now);

    /// An upstream was ordered to load weights of a model: its runs of that
    /// model go on elsewhere if there is room.
    void on_loading(const upstream_id& upstream, const std::string& model,
                    steady_time now, planner_commands& out);

    void on_run_delta(run_delta delta, steady_time now, planner_commands& out);
    void on_run_ended(run_report report, steady_time now);
    /// The instance that ran or scored the ticket's item is lost.
    void on_run_lost(run_ticket ticket, steady_time now);
    void on_scored(score_report report);
    /// `number` is that of the commit. A report on an older try is ignored.
    void on_committed(const job_id& job, std::uint64_t number, commit_end end,
                      steady_time now, planner_commands& out);

    /// Does what is due: starts, moves, gives up, commits.
    void advance(steady_time now, planner_commands& out);
    [[nodiscard]] std::optional<steady_time> next_wakeup() const;

    [[nodiscard]] bool has_job(const job_id& job) const;
    [[nodiscard]] std::vector<job_id> jobs() const;
    /// Runs of the model on an upstream.
    [[nodiscard]] std::size_t runs_on(const upstream_id& upstream,
                                      const std::string& model) const {
        return roster_.runs_on(upstream, model);
    }
    /// The oldest version that all open jobs of the model allow; 0: any.
    [[nodiscard]] weight_version least_version(const std::string& model) const;
    [[nodiscard]] bool has_waiting(const std::string& model) const;
    [[nodiscard]] std::size_t waiting_items() const;
    [[nodiscard]] std::size_t running_items() const { return runs_.size(); }

private:
    enum class item_phase : std::uint8_t {
        waiting,
        running,
        /// Its text is whole; it waits for a place at the scorer.
        to_score,
        scoring,
        ready,
        listed,
    };

    struct item_state {
        item_phase phase = item_phase::waiting;
        std::uint32_t failures = 0;
        std::uint32_t moves = 0;
        /// Tokens that are probably still to be made.
        std::uint64_t expected_tokens = 0;
        std::uint64_t prompt_tokens = 0;
        item_progress progress;
        std::string score;
        bool is_lost = false;
        /// Its text has its last event.
        bool is_whole = false;
        /// Smaller goes first within the job.
        std::size_t rank = 0;
        std::set<upstream_id> avoid;
        /// The run that made its text and the one that scored it, for as long
        /// as their instances keep what they brought.
        std::vector<run_ticket> kept_by;
    };

    struct job_state {
        job_record record;
        std::shared_ptr<const batch_job> source;
        job_terms terms;
        steady_time accepted_at;
        std::vector<item_state> items;
        /// Waiting items by rank.
        std::set<std::pair<std::size_t, std::size_t>> waiting;
        std::vector<std::size_t> ready;
        /// Items of a group that are neither ready nor listed.
        std::map<std::string, std::size_t> open_items;
        /// A group became whole since the last commit.
        bool has_whole_group = false;
        std::size_t next_position = 0;
        bool is_committing = false;
        std::uint64_t commit_number = 0;
        std::vector<std::size_t> in_commit;
        steady_time last_commit{};
        /// The store refused the last try; the next one waits until then.
        steady_time commit_not_before{};
        /// Its results were read since the term began.
        bool is_confirmed = false;
    };

    struct run_state {
        job_id job;
        std::size_t item = 0;
        upstream_id upstream;
        std::string model;
        std::uint64_t cache_tokens = 0;
        item_progress progress;
        std::uint64_t first_events = 0;
        steady_time last_event_at;
        bool is_stopping = false;
        /// What was saved of the text: events and bytes.
        std::uint64_t saved_events = 0;
        std::size_t saved_bytes = 0;
    };

    /// The text of an item of an ended job.
    struct carried_text {
        item_progress progress;
        bool is_whole = false;
    };

    struct scoring_state {
        job_id job;
        std::size_t item = 0;
    };

    void take_items(job_state& job);
    void place_items(steady_time now, planner_commands& out);
    [[nodiscard]] const rostered_engine* choose_engine(const job_state& job,
                                                       const item_state& item,
                                                       steady_time now) const;
    [[nodiscard]] std::uint64_t cache_need(const item_state& item) const;
    void start(job_state& job, std::size_t item, const rostered_engine& engine,
               steady_time now, planner_commands& out);
    void move_stragglers(steady_time now, planner_commands& out);
    void give_up_expired(steady_time now);
    void score_items(planner_commands& out);
    void commit_ready(steady_time now, planner_commands& out);
    [[nodiscard]] steady_time commit_due(const job_state& job) const;
    void close_item(job_state& job, std::size_t item);
    void put_back(job_state& job, std::size_t item);
    void finish_text(job_state& job, std::size_t item, item_progress progress);
    void make_ready(job_state& job, std::size_t item);
    void measure(const run_state& run, std::uint64_t events, steady_time now);
    /// What an item would gain on another engine is worth a move.
    [[nodiscard]] bool is_move_worth(const run_state& run,
                                     const item_state& item,
                                     const rostered_engine& here,
                                     const rostered_engine& target) const;
    /// Appends the events; false if some before them are missing.
    [[nodiscard]] static bool append(item_progress& progress,
                                     const run_delta& delta);
    [[nodiscard]] static bool fits(const item_progress& progress,
                                   const job_state& job);
    void adopt_held(const job_id& id, job_state& job, steady_time now,
                    planner_commands& out);
    void adopt_run(job_state& job, std::size_t item, held_run held,
                   steady_time now, planner_commands& out);
    [[nodiscard]] bool is_placing(steady_time now) const;
    void resume_carried(job_state& job);
    void carry(const job_state& job);
    void stop_stalled(steady_time now, planner_commands& out);
    void save_texts(steady_time now, planner_commands& out);
    /// By the rank of their routes, then by the time at which they are due.
    [[nodiscard]] std::vector<job_state*> jobs_by_urgency();

    item_planner_options options_;
    engine_roster roster_;
    bool has_term_ = false;
    bool is_starting_ = true;
    bool is_informed_ = true;
    std::map<job_id, job_state> jobs_;
    std::map<run_ticket, run_state> runs_;
    std::map<run_ticket, scoring_state> scorings_;
    std::vector<std::pair<job_id, std::size_t>> to_score_;
    engine_terms engine_terms_;
    std::map<item_id, carried_text> carried_;
    /// What instances hold of jobs that are not loaded yet.
    std::map<job_id, std::vector<held_run>> held_;
    steady_time adoption_until_{};
    run_ticket next_ticket_;
    steady_time next_check_{};
    steady_time next_save_{};
};

} // namespace savorydock

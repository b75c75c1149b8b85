#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/batch/batch_job.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace savorydock {

struct item_probation_options {
    /// Consecutive refusals that put an item on probation. Two engines seldom
    /// refuse the same item unless it is the cause.
    std::uint32_t item_refusals = 2;
    /// Engines that refuse items of a job, with none accepted meanwhile, that
    /// put the whole job on probation. All engines, if there are fewer.
    std::size_t job_refusing_engines = 3;
    /// Pause before the next probe of the service after a refused one. Doubles
    /// with each consecutive refusal, up to `longest_pause`.
    std::chrono::milliseconds first_pause{250};
    std::chrono::milliseconds longest_pause{4'000};
    /// A probe that has been due for this long comes before other items. Items
    /// on probation would wait forever otherwise while engines are saturated.
    std::chrono::milliseconds patience{2'000};
};

/// Sizes of an item in tokens of an engine's cache.
struct item_size {
    /// What the item is expected to fill.
    std::uint64_t expected = 0;
    /// The most that its caller says it fills.
    std::uint64_t claimed = 0;
};

/// What a refusal says.
enum class refusal_cause : std::uint8_t {
    /// The engine has less room than assumed.
    engine,
    /// Other engines refused items of the job, too.
    unclear,
    /// The item probably fits no engine.
    item,
};

/// Decides which items probably fit no engine of a service, what a refusal
/// says, and when to probe an engine with such an item.
///
/// Load pattern: a job has items that are larger than any engine, or than their
/// caller says. Engines refuse them as if full, for as long as the job is open.
/// They must neither keep engines from other items nor cost many calls, however
/// many items, jobs and engines there are. They must run soon after an engine
/// that can hold them appears.
/// - An item is on probation if it is expected to exceed an engine's capacity,
///   if engines refused it repeatedly, or if several engines refused items of
///   its job.
/// - Items on probation are placed after all others, one at a time in the whole
///   service, with pauses that double. A refusal of one says nothing about the
///   engine.
/// - An accepted item ends the probation of its job and of smaller items.
///
/// Not thread safe; deterministic.
class item_probation {
public:
    explicit item_probation(item_probation_options options = {})
        : options_(options)
        , pause_(options.first_pause) {}

    /// Sets the number of engines and the capacity of one in tokens, 0 if not
    /// known. Another capacity ends all probations, except of items that exceed
    /// it. Returns whether any item's probation may have changed.
    bool set_engines(std::size_t count, std::uint64_t capacity);
    /// An engine appeared or restarted: a probe is due, before other items.
    void on_engine_started(steady_time now);

    [[nodiscard]] bool is_on_probation(const item_key& item,
                                       const item_size& size) const;
    /// Number of consecutive refusals of the item.
    [[nodiscard]] std::uint32_t refusals_of(const item_key& item) const;
    /// Whether the job is on probation as a whole.
    [[nodiscard]] bool is_job_on_probation(const job_id& job) const;

    /// An engine refused the item as if full. The item, and its whole job, may
    /// be on probation afterwards.
    refusal_cause on_refused(const item_key& item, const item_size& size,
                             const upstream_id& engine);
    /// An engine began to process the item. Returns whether other items may
    /// have ceased to be on probation.
    bool on_accepted(const item_key& item, const item_size& size);
    /// The job isn't planned any more.
    void forget(const job_id& job);
    /// Forgets all items and jobs, but not what engines accepted.
    void clear();

    /// Whether a probe may start now. At most one is in progress.
    [[nodiscard]] bool may_probe(steady_time now) const {
        return !probed_ && now >= next_probe_;
    }
    /// Whether the next probe comes before other items.
    [[nodiscard]] bool is_probe_urgent(steady_time now) const {
        return may_probe(now) &&
               (is_engine_new_ || now >= next_probe_ + options_.patience);
    }
    /// An item on probation was sent to an engine. Precondition: `may_probe`.
    void on_probe_started(const item_key& item);
    /// The probe of the item ended or was accepted. Ignores other items.
    void on_probe_ended(const item_key& item, bool is_accepted,
                        steady_time now);

private:
    /// Ends the probation of the job's items that were refused no more often
    /// than is needed for it.
    void allow_another_try(const job_id& job);

    item_probation_options options_;
    std::size_t engines_ = 0;
    std::uint64_t capacity_ = 0;
    /// The largest sizes that an engine of this capacity accepted.
    item_size accepted_;
    /// Consecutive refusals of each item.
    std::map<item_key, std::uint32_t> refusals_;
    /// Engines that refused items of a job since one was accepted.
    std::map<job_id, std::set<upstream_id>> refusing_engines_;
    std::optional<item_key> probed_;
    steady_time next_probe_{};
    std::chrono::milliseconds pause_;
    bool is_engine_new_ = false;
};

} // namespace savorydock

#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "core/random_source.hpp"
#include "servers/configuration/service_envelope.hpp"
#include "servers/platform/platform_message.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace savorydock {

/// What an operator wants published.
struct publish_plan {
    service_name service;
    /// Unique for this publish; nobody else may ever use it.
    std::string publish_id;
    std::string operator_name;
    bool is_deleted = false;
    /// The document, already checked; empty for a deletion.
    std::string text;
    /// The revision the operator's edit began from, if he knows it; else the
    /// one that the publish finds.
    std::optional<store_revision> base;
};

/// What became of a publish. `code` is one of
/// - `ok`: it took effect, or `is_unchanged` and nothing had to be written;
/// - `publish_conflict`: it did not and will not take effect;
/// - `publish_unknown`: it may have taken effect or may yet;
/// - `platform_unreachable`: nothing was written;
/// - `not_found`: the service to delete does not exist.
struct publish_result {
    result_code code = result_code::ok;
    /// The revision it took effect at, or that was there unchanged.
    store_revision revision = 0;
    /// The revision it replaced; 0 if the service is new.
    store_revision replaced = 0;
    bool is_unchanged = false;
    /// It took effect and a later publish has replaced it since.
    bool is_overtaken = false;
    /// Of a conflict: who won, at which revision, and what this publish
    /// would change in the document that is there now.
    std::string other_operator;
    store_revision other_revision = 0;
    std::string difference;
    std::string detail;
};

/// The next thing to do: wait, then send the request or tell the result.
struct publish_step {
    std::chrono::milliseconds pause{0};
    std::variant<platform_request, publish_result> next;
};

/// Where a publish stands. docs/models/publish_race.pml uses the same names.
enum class publish_phase : std::uint8_t {
    reading,
    swapping,
    checking,
    finished,
};

/// Returns the name of a phase. Thread safe.
[[nodiscard]] std::string_view name_of(publish_phase phase);

/// One publish of one service, from the read to a certain result: a
/// compare-and-swap on the revision read, and, when an answer was lost, a read
/// back that finds the publish id or shows that it can't have taken effect.
///
/// Deterministic but for the jitter of pauses. Not thread safe. The random
/// source must outlive it.
class publish_protocol {
public:
    publish_protocol(publish_plan plan, steady_time deadline,
                     random_source& random);

    /// The first step. Call it once.
    [[nodiscard]] publish_step begin();

    /// The step after the answer to the last request.
    /// Precondition: the phase is not `finished`.
    [[nodiscard]] publish_step on_reply(const outcome<platform_answer>& reply,
                                        steady_time now);

    [[nodiscard]] publish_phase phase() const { return phase_; }

private:
    publish_step on_read(const platform_answer& answer);
    publish_step on_swap(const platform_answer& answer, steady_time now);
    publish_step on_check(const platform_answer& answer, steady_time now);
    publish_step on_lost(const failure& reason, steady_time now);
    publish_step judge(const stored_value& current);

    publish_step send(publish_phase phase);
    publish_step send_after_pause(publish_phase phase);
    publish_step finish(publish_result result);
    publish_step finish_conflict(const service_envelope& current,
                                 const publish_record& winner);
    publish_step finish_unknown(std::string detail);

    [[nodiscard]] std::string stored_text() const;
    [[nodiscard]] std::optional<publish_record>
    successor_of_expected(const service_envelope& current,
                          store_revision modified) const;

    publish_plan plan_;
    steady_time deadline_;
    random_source& random_;
    publish_phase phase_ = publish_phase::reading;
    store_revision expected_ = 0;
    std::vector<publish_record> history_;
    /// A swap was sent whose answer is not known.
    bool has_lost_swap_ = false;
    std::chrono::milliseconds backoff_;
};

} // namespace savorydock

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

/// A change to one service that an operator publishes.
struct publish_plan {
    service_name service;
    /// Unique for this publish; must never be used again.
    std::string publish_id;
    std::string operator_name;
    bool is_deleted = false;
    /// The document, already validated; empty for a deletion.
    std::string text;
    /// The revision that the operator's edit is based on, if known; otherwise
    /// the revision that the publish reads from the store is used.
    std::optional<store_revision> base;
};

/// The result of a publish. `code` is one of
/// - `ok`: it took effect, or nothing had to be written (`is_unchanged`);
/// - `publish_conflict`: it did not and will not take effect;
/// - `publish_unknown`: it may have taken effect, or may still do so;
/// - `platform_unreachable`: nothing was written;
/// - `not_found`: the service to delete does not exist.
struct publish_result {
    result_code code = result_code::ok;
    /// The revision at which it took effect, or the unchanged current one.
    store_revision revision = 0;
    /// The revision that it replaced; 0 if the service is new.
    store_revision replaced = 0;
    bool is_unchanged = false;
    /// It took effect, but a later publish has already replaced it.
    bool is_overtaken = false;
    /// In a conflict: the operator and the revision of the publish that took
    /// effect instead, and the line changes from the current document to the
    /// one of this publish.
    std::string other_operator;
    store_revision other_revision = 0;
    std::string difference;
    std::string detail;
};

/// The next step: wait for `pause`, then send the request or report the
/// result.
struct publish_step {
    std::chrono::milliseconds pause{0};
    std::variant<platform_request, publish_result> next;
};

/// The phase of a publish. docs/models/publish_race.pml uses the same names.
enum class publish_phase : std::uint8_t {
    reading,
    swapping,
    checking,
    finished,
};

/// Thread safe.
[[nodiscard]] std::string_view name_of(publish_phase phase);

/// Publishes one service: reads the current revision, then replaces it by
/// compare-and-swap. If the answer to the swap is lost, reads the key again and
/// looks for the publish id in the envelope and its history, which shows
/// whether the swap took effect.
///
/// Deterministic except for the jitter of pauses. Not thread safe. The random
/// source must outlive it.
class publish_protocol {
public:
    publish_protocol(publish_plan plan, steady_time deadline,
                     random_source& random);

    /// Returns the first step. Call it once.
    [[nodiscard]] publish_step begin();

    /// Returns the step that follows the reply to the last request.
    /// Precondition: the phase is not `finished`.
    [[nodiscard]] publish_step on_reply(const outcome<platform_answer>& reply,
                                        steady_time now);

    [[nodiscard]] publish_phase phase() const { return phase_; }

private:
    publish_step on_read(const platform_answer& answer);
    publish_step on_swap(const platform_answer& answer, steady_time now);
    publish_step on_check(const platform_answer& answer, steady_time now);
    publish_step on_call_failed(const failure& reason, steady_time now);
    publish_step resolve_from_history(const stored_value& current);

    publish_step send(publish_phase phase);
    publish_step send_after_pause(publish_phase phase);
    publish_step finish(publish_result result);
    publish_step finish_conflict(const service_envelope& current,
                                 const publish_record& winner);
    publish_step finish_unknown(std::string detail);

    [[nodiscard]] std::string envelope_text() const;
    [[nodiscard]] std::optional<publish_record>
    successor_of_expected_revision(const service_envelope& current,
                                   store_revision modified) const;

    publish_plan plan_;
    steady_time deadline_;
    random_source& random_;
    publish_phase phase_ = publish_phase::reading;
    store_revision expected_revision_ = 0;
    std::vector<publish_record> history_;
    /// A swap was sent and its answer was lost.
    bool has_unanswered_swap_ = false;
    std::chrono::milliseconds backoff_;
};

} // namespace savorydock

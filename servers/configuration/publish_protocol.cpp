#include "servers/configuration/publish_protocol.hpp"

#include "servers/configuration/line_diff.hpp"

#include <algorithm>

namespace savorydock {

namespace {

constexpr std::chrono::milliseconds first_backoff{100};
constexpr std::chrono::milliseconds max_backoff{2'000};
constexpr const char* unreadable = "unreadable";

// A value that is not a valid envelope still has a revision that a publish can
// replace.
service_envelope envelope_of(const stored_value& value) {
    auto envelope = parse_service_envelope(value.value);
    if (!envelope) {
        return {.publish_id = unreadable,
                .operator_name = unreadable,
                .text = value.value};
    }
    return *envelope;
}

std::vector<publish_record>
history_with_current(const service_envelope& envelope,
                     store_revision modified) {
    std::vector<publish_record> history = envelope.history;
    history.push_back({.publish_id = envelope.publish_id,
                       .operator_name = envelope.operator_name,
                       .revision = modified});
    return history;
}

void trim_history(std::vector<publish_record>& history) {
    if (history.size() > service_envelope::max_history) {
        history.erase(history.begin(),
                      history.end() - service_envelope::max_history);
    }
}

} // namespace

std::string_view name_of(publish_phase phase) {
    switch (phase) {
    case publish_phase::reading:
        return "reading";
    case publish_phase::swapping:
        return "swapping";
    case publish_phase::checking:
        return "checking";
    default:
        return "finished";
    }
}

publish_protocol::publish_protocol(publish_plan plan, steady_time deadline,
                                   random_source& random)
    : plan_(std::move(plan))
    , deadline_(deadline)
    , random_(random)
    , backoff_(first_backoff) {}

publish_step publish_protocol::begin() {
    return send(publish_phase::reading);
}

publish_step publish_protocol::on_reply(const outcome<platform_answer>& reply,
                                        steady_time now) {
    if (!reply) {
        return on_call_failed(reply.reason(), now);
    }
    backoff_ = first_backoff;
    switch (phase_) {
    case publish_phase::reading:
        return on_read(*reply);
    case publish_phase::swapping:
        return on_swap(*reply, now);
    default:
        return on_check(*reply, now);
    }
}

publish_step publish_protocol::on_read(const platform_answer& answer) {
    if (answer.values.empty()) {
        if (plan_.is_deleted) {
            return finish({.code = result_code::not_found,
                           .detail = "the service does not exist"});
        }
        if (plan_.base.value_or(0) != 0) {
            return finish({.code = result_code::publish_conflict,
                           .detail = "the service is not in the store"});
        }
        return send(publish_phase::swapping);
    }
    const stored_value& current = answer.values.front();
    const service_envelope envelope = envelope_of(current);
    expected_revision_ = current.modified;
    history_ = history_with_current(envelope, current.modified);
    if (plan_.base && *plan_.base != expected_revision_) {
        return finish_conflict(envelope, history_.back());
    }
    if (plan_.is_deleted && envelope.is_deleted) {
        return finish({.code = result_code::not_found,
                       .detail = "the service is already deleted"});
    }
    if (!plan_.is_deleted && !envelope.is_deleted &&
        envelope.text == plan_.text && envelope.publish_id != unreadable) {
        return finish({.revision = expected_revision_, .is_unchanged = true});
    }
    trim_history(history_);
    return send(publish_phase::swapping);
}

publish_step publish_protocol::on_swap(const platform_answer& answer,
                                       steady_time now) {
    if (answer.has_swapped) {
        return finish(
            {.revision = answer.revision, .replaced = expected_revision_});
    }
    return on_check(answer, now);
}

publish_step publish_protocol::on_check(const platform_answer& answer,
                                        steady_time now) {
    const bool is_unchanged =
        answer.values.empty()
            ? expected_revision_ == 0
            : answer.values.front().modified == expected_revision_;
    if (is_unchanged) {
        // Sending the swap again is safe: both copies expect the same revision,
        // so at most one can succeed.
        return now < deadline_
                   ? send(publish_phase::swapping)
                   : finish_unknown("the swap may still take effect");
    }
    if (!answer.values.empty()) {
        return resolve_from_history(answer.values.front());
    }
    if (has_unanswered_swap_) {
        return finish_unknown("the key was removed from the store");
    }
    return finish({.code = result_code::publish_conflict,
                   .detail = "the key was removed from the store"});
}

publish_step
publish_protocol::resolve_from_history(const stored_value& current) {
    const service_envelope envelope = envelope_of(current);
    if (envelope.publish_id == plan_.publish_id) {
        return finish(
            {.revision = current.modified, .replaced = expected_revision_});
    }
    for (const publish_record& record : envelope.history) {
        if (record.publish_id == plan_.publish_id) {
            return finish({.revision = record.revision,
                           .replaced = expected_revision_,
                           .is_overtaken = true});
        }
    }
    const auto winner =
        successor_of_expected_revision(envelope, current.modified);
    if (winner) {
        return finish_conflict(envelope, *winner);
    }
    if (has_unanswered_swap_) {
        return finish_unknown(
            "the history in the store does not reach back to this publish");
    }
    return finish_conflict(
        envelope, history_with_current(envelope, current.modified).back());
}

// The publish that replaced the revision which this publish expected, if the
// history reaches back that far. If it is another publish, this one has not
// taken effect and never will, because its swap can no longer match.
std::optional<publish_record> publish_protocol::successor_of_expected_revision(
    const service_envelope& current, store_revision modified) const {
    const std::vector<publish_record> history =
        history_with_current(current, modified);
    if (expected_revision_ == 0) {
        // A history that starts with an unreadable value does not include the
        // first publish of the service.
        const bool has_first_publish =
            current.history.size() < service_envelope::max_history &&
            history.front().publish_id != unreadable;
        return has_first_publish ? std::optional(history.front())
                                 : std::nullopt;
    }
    const auto found = std::find_if(
        history.begin(), history.end(), [this](const publish_record& record) {
            return record.revision == expected_revision_;
        });
    if (found == history.end() || found + 1 == history.end()) {
        return {};
    }
    return *(found + 1);
}

publish_step publish_protocol::on_call_failed(const failure& reason,
                                              steady_time now) {
    const bool is_swap = phase_ == publish_phase::swapping;
    has_unanswered_swap_ = has_unanswered_swap_ || is_swap;
    if (now < deadline_) {
        return send_after_pause(is_swap ? publish_phase::checking : phase_);
    }
    if (!has_unanswered_swap_) {
        return finish({.code = result_code::platform_unreachable,
                       .detail = "nothing was written; " + reason.detail});
    }
    return finish_unknown(reason.detail);
}

publish_step publish_protocol::send(publish_phase phase) {
    phase_ = phase;
    const std::string key = key_of(plan_.service);
    if (phase == publish_phase::swapping) {
        return {.next = platform_request(
                    compare_and_swap{.key = key,
                                     .expected = expected_revision_,
                                     .value = envelope_text()})};
    }
    return {.next = platform_request(read_range{.key = key})};
}

publish_step publish_protocol::send_after_pause(publish_phase phase) {
    publish_step step = send(phase);
    const auto half = static_cast<std::uint64_t>(backoff_.count() / 2);
    step.pause = std::chrono::milliseconds(half + random_.below(half + 1));
    backoff_ = std::min(backoff_ * 2, max_backoff);
    return step;
}

publish_step publish_protocol::finish(publish_result result) {
    phase_ = publish_phase::finished;
    return {.next = std::move(result)};
}

publish_step publish_protocol::finish_conflict(const service_envelope& current,
                                               const publish_record& winner) {
    return finish({
        .code = result_code::publish_conflict,
        .replaced = expected_revision_,
        .other_operator = winner.operator_name,
        .other_revision = winner.revision,
        .difference = line_diff(current.text, plan_.text),
        .detail = "published by " + winner.operator_name + " at revision " +
                  std::to_string(winner.revision),
    });
}

publish_step publish_protocol::finish_unknown(std::string detail) {
    return finish({.code = result_code::publish_unknown,
                   .replaced = expected_revision_,
                   .detail = std::move(detail)});
}

std::string publish_protocol::envelope_text() const {
    return to_stored_text({
        .publish_id = plan_.publish_id,
        .operator_name = plan_.operator_name,
        .is_deleted = plan_.is_deleted,
        .text = plan_.text,
        .history = history_,
    });
}

} // namespace savorydock

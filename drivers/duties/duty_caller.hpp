#pragma once

#include "core/boot_clock.hpp"
#include "core/clock.hpp"
#include "core/logger.hpp"
#include "core/node_settings.hpp"
#include "drivers/http/http_client.hpp"
#include "drivers/store/scope_term.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace savorydock {

struct duty_caller_options {
    duty_settings settings;
    instance_id self;
    /// How long the first call of a term waits after the term was gained.
    std::chrono::milliseconds safety_margin{300};
    std::chrono::milliseconds answer_timeout{1'500};
    /// The part of the platform's call rate that this caller uses.
    double used_share = 0.6;
    /// After so long without an answer, others may reach the platform: the
    /// term is released if there are other instances. Doubled each time until
    /// an answer arrives, because a change of the holder costs calls.
    std::chrono::milliseconds hand_over_after{8'000};
    std::function<bool()> has_other_instances = [] { return false; };
};

struct duty_call_counters {
    std::uint64_t calls = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t fenced_off = 0;
};

/// Makes calls to the platform's interface for duties, as the holder of the
/// term only.
///
/// A call is written only while the term is held, and its connection is reset
/// before the term ends, so that its bytes can't arrive after a successor's.
/// The first call of a term waits for the term's safety margin, and until the
/// term's `holder_separation` allows it. Not thread safe: all calls must come
/// from one traffic thread.
class duty_caller {
public:
    /// All references must outlive `context`.
    duty_caller(boost::asio::io_context& context, scope_term& term,
                duty_caller_options options, logger& log);

    /// The term whose calls may be sent now; nothing if there is none.
    [[nodiscard]] std::optional<held_term> usable_term();

    /// Makes a call in the term. Errors: `not_run_bad_request` and others of
    /// `http_client::call`; unless they are of the class "not run", the
    /// platform may have taken the call or may do so later.
    boost::asio::awaitable<outcome<http_response>> call(held_term term,
                                                        http_request request);

    /// A later holder is known to the platform: no further call is made in this
    /// term, and the term is released.
    boost::asio::awaitable<void> on_fenced_off(held_term term);

    [[nodiscard]] const duty_call_counters& counters() const {
        return counters_;
    }

private:
    [[nodiscard]] bool is_usable(const held_term& term) const;
    boost::asio::awaitable<void> wait_for_turn();
    void record_result(const outcome<http_response>& result);
    boost::asio::awaitable<void> hand_over_if_unanswered();

    boost::asio::io_context& context_;
    scope_term& term_;
    duty_caller_options options_;
    logger& log_;
    http_client client_;
    duty_call_counters counters_;
    /// The term that was seen last, and from when it may be used.
    store_revision seen_term_ = 0;
    boot_clock::time_point usable_from_{};
    store_revision fenced_term_ = 0;
    steady_time next_call_{};
    /// Since when calls have had no answer.
    std::optional<steady_time> unanswered_since_;
    std::chrono::milliseconds hand_over_after_;
};

} // namespace savorydock

#include "drivers/duties/duty_caller.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds longest_hand_over_time{60'000};
/// All calls are made to one subject, the platform.
const std::string subject = "platform";

} // namespace

duty_caller::duty_caller(asio::io_context& context, scope_term& term,
                         duty_caller_options options, logger& log)
    : context_(context)
    , term_(term)
    , options_(std::move(options))
    , log_(log)
    , client_(context)
    , hand_over_after_(options_.hand_over_after) {}

std::optional<held_term> duty_caller::usable_term() {
    if (!term_.is_held_now()) {
        return std::nullopt;
    }
    const held_term& term = *term_.term();
    if (term.revision != seen_term_) {
        seen_term_ = term.revision;
        usable_from_ = boot_clock::now() + options_.safety_margin;
    }
    return is_usable(term) ? std::optional(term) : std::nullopt;
}

bool duty_caller::is_usable(const held_term& term) const {
    return term_.is_held_now() && term_.term()->revision == term.revision &&
           term.revision != fenced_term_ &&
           boot_clock::now() >=
               std::max(usable_from_,
                        term_.separation().earliest_call(subject));
}

asio::awaitable<void> duty_caller::wait_for_turn() {
    const steady_time now = std::chrono::steady_clock::now();
    const steady_time turn = std::max(now, next_call_);
    const double rate =
        options_.settings.calls_per_second * options_.used_share;
    if (rate > 0) {
        next_call_ = turn + std::chrono::duration_cast<steady_time::duration>(
                                std::chrono::duration<double>(1 / rate));
    }
    if (turn > now) {
        asio::steady_timer timer(context_, turn);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<outcome<http_response>>
duty_caller::call(held_term term, http_request request) {
    co_await wait_for_turn();
    if (!is_usable(term)) {
        co_return failure{result_code::lease_not_held, "the term ended"};
    }
    const auto left = std::min<std::chrono::nanoseconds>(
        term_.held_until() - boot_clock::now(), options_.answer_timeout);
    const steady_time deadline =
        std::chrono::steady_clock::now() +
        std::chrono::duration_cast<steady_time::duration>(left);
    bool is_written = false;
    const auto record_call = [this, &term] {
        term_.separation().on_call(subject, term.revision, boot_clock::now());
    };
    call_options options{.may_write = [this, &term, &record_call, &is_written] {
        is_written = is_usable(term);
        if (is_written) {
            record_call();
        }
        return is_written;
    }};
    ++counters_.calls;
    auto answer =
        co_await client_.call(options_.settings.address, std::move(request),
                              deadline, std::move(options));
    if (is_written) {
        // The call may have arrived until now.
        record_call();
    }
    record_result(answer);
    if (!answer) {
        co_await hand_over_if_unanswered();
    }
    co_return answer;
}

void duty_caller::record_result(const outcome<http_response>& result) {
    if (result) {
        if (unanswered_since_) {
            log_.write(log_event::duty_platform_reachable, "");
        }
        unanswered_since_.reset();
        hand_over_after_ = options_.hand_over_after;
        return;
    }
    ++counters_.unanswered;
    if (!unanswered_since_) {
        unanswered_since_ = std::chrono::steady_clock::now();
        log_.write(log_event::duty_platform_unreachable,
                   "reason=\"" + result.reason().detail + '"');
    }
}

asio::awaitable<void> duty_caller::hand_over_if_unanswered() {
    const steady_time now = std::chrono::steady_clock::now();
    if (!unanswered_since_ || !term_.is_held_now() ||
        now < *unanswered_since_ + hand_over_after_ ||
        !options_.has_other_instances()) {
        co_return;
    }
    log_.write(log_event::term_handed_over,
               "scope=duties term=" + std::to_string(term_.term()->revision) +
                   " reason=\"the platform's interface doesn't answer\"");
    unanswered_since_ = now;
    hand_over_after_ = std::min(hand_over_after_ * 2, longest_hand_over_time);
    co_await term_.release();
}

asio::awaitable<void> duty_caller::on_fenced_off(held_term term) {
    ++counters_.fenced_off;
    fenced_term_ = term.revision;
    log_.write(log_event::duty_fenced_off,
               "term=" + std::to_string(term.revision));
    if (term_.term() && term_.term()->revision == term.revision) {
        co_await term_.release();
    }
}

} // namespace savorydock

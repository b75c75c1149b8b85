#include "drivers/store/scope_term.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Pause after a claim that failed because of the store.
constexpr std::chrono::milliseconds failed_claim_pause{200};
/// Interval at which an instance that must not claim yet checks again.
constexpr std::chrono::milliseconds claim_check_interval{100};

} // namespace

scope_term::scope_term(asio::io_context& context, store_client& client,
                       scope_term_options options, gained_handler on_gained,
                       lost_handler on_lost, logger& log)
    : client_(client)
    , options_(std::move(options))
    , on_gained_(std::move(on_gained))
    , on_lost_(std::move(on_lost))
    , log_(log)
    , random_(options_.seed)
    , timer_(context)
    , separation_({.lease_time = options_.lease_time,
                   .safety_margin = options_.safety_margin,
                   .process_start = options_.process_start}) {}

asio::awaitable<void> scope_term::wait(std::chrono::milliseconds time) {
    timer_.expires_after(time);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> scope_term::run() {
    while (!is_retired_) {
        if (term_) {
            co_await keep_renewed();
        } else if (suspended_) {
            co_await resume();
        } else if (has_observed_ &&
                   (!observed_value_ || is_left_by_own_restart())) {
            co_await claim();
        } else {
            co_await wait(std::chrono::hours(1));
        }
    }
}

void scope_term::on_key(const stored_value* value, store_revision revision) {
    const store_revision own_revision = term_        ? term_->revision
                                        : suspended_ ? suspended_->revision
                                                     : 0;
    if (revision < own_revision) {
        return;
    }
    has_observed_ = true;
    observed_value_ = value == nullptr ? std::nullopt : std::optional(*value);
    if (value != nullptr) {
        last_holder_ = holder_of(value->value);
    }
    const bool is_own = value != nullptr && value->value == claim_value_;
    if (suspended_ && (value == nullptr || !is_own)) {
        suspended_.reset();
    }
    if (term_ && !(is_own && value->modified == term_->revision)) {
        if (value == nullptr || value->modified > term_->revision) {
            end_term(value == nullptr ? term_end::suspended
                                      : term_end::superseded);
        }
    } else if (!term_ && value != nullptr && !is_own) {
        on_lost_(term_end::superseded);
    } else if (!term_ && is_own && lease_ != 0 &&
               lease_until_ > boot_clock::now()) {
        // The claim took effect although its response was lost.
        begin_term({.key = options_.key, .revision = value->modified});
    }
    timer_.cancel();
}

void scope_term::begin_term(held_term term) {
    term_ = std::move(term);
    suspended_.reset();
    separation_.on_term(term_->revision, follows_settled_term_,
                        boot_clock::now());
    log_.write(log_event::lease_acquired,
               "scope=" + options_.key +
                   " term=" + std::to_string(term_->revision) + " previous=" +
                   (last_holder_.is_empty() ? "none" : last_holder_.text()));
    on_gained_(*term_);
    record_if_settled();
}

void scope_term::on_condition_failed() {
    if (term_) {
        end_term(term_end::suspended);
        // The mirror reports the new holder, if it hasn't yet.
        timer_.cancel();
    }
}

void scope_term::end_term(term_end reason) {
    log_.write(
        log_event::lease_lost,
        "scope=" + options_.key + " term=" + std::to_string(term_->revision) +
            " reason=" +
            (reason == term_end::suspended ? "not_renewed" : "superseded"));
    term_.reset();
    lease_ = 0;
    on_lost_(reason);
}

bool scope_term::is_left_by_own_restart() const {
    return observed_value_ && observed_value_->value != claim_value_ &&
           holder_of(observed_value_->value) == options_.self;
}

asio::awaitable<void> scope_term::claim() {
    const double share = std::max(options_.processor_share, 0.05);
    const auto max_delay_ms = static_cast<std::uint64_t>(
        static_cast<double>(options_.claim_spread.count()) * 0.25 / share);
    if (!is_left_by_own_restart()) {
        const auto delay = options_.claim_delay(last_holder_);
        if (!delay) {
            co_await wait(claim_check_interval);
            co_return;
        }
        co_await wait(*delay + std::chrono::milliseconds(
                                   random_.below(max_delay_ms + 1)));
    }
    if (is_retired_ || term_ ||
        (observed_value_ && !is_left_by_own_restart())) {
        co_return;
    }
    const store_revision replaced =
        observed_value_ ? observed_value_->modified : 0;
    bool follows_settled_term = false;
    if (observed_value_) {
        follows_settled_term = co_await is_settled_term(observed_value_->value);
    }
    const boot_clock::time_point sent = boot_clock::now();
    const auto lease = co_await client_.grant(options_.lease_time);
    if (!lease) {
        co_await wait(failed_claim_pause);
        co_return;
    }
    lease_ = lease->id;
    lease_until_ = sent + lease->time_to_live - options_.safety_margin;
    claim_value_ = encode_term_value(options_.self, lease_);
    store_transaction transaction = make_write(
        {.key = options_.key, .revision = replaced},
        {.key = options_.key, .value = claim_value_, .lease = lease_});
    follows_settled_term_ = follows_settled_term;
    is_settled_recorded_ = false;
    const auto result = co_await client_.commit(std::move(transaction));
    if (!result) {
        // The claim may have taken effect; if so, the mirror reports it.
        co_await wait(failed_claim_pause);
        co_return;
    }
    const auto* const taken = std::get_if<transaction_done>(&*result);
    if (taken == nullptr && term_) {
        // The mirror reported this claim before its response arrived.
        co_return;
    }
    if (taken == nullptr) {
        const std::uint64_t unused = lease_;
        lease_ = 0;
        co_await client_.end_lease(unused);
        if (!observed_value_ || is_left_by_own_restart()) {
            co_await wait(failed_claim_pause);
        }
        co_return;
    }
    if (term_) {
        co_return;
    }
    begin_term({.key = options_.key, .revision = taken->revision});
}

asio::awaitable<void> scope_term::keep_renewed() {
    co_await wait(options_.lease_time / options_.renewals_per_lease);
    if (!term_ || is_retired_) {
        co_return;
    }
    const boot_clock::time_point sent = boot_clock::now();
    if (sent >= lease_until_) {
        const std::uint64_t lease = lease_;
        const held_term term = *term_;
        end_term(term_end::suspended);
        lease_ = lease;
        suspended_ = term;
        co_return;
    }
    const store_revision revision = term_->revision;
    const auto renewed = co_await client_.renew(lease_);
    if (!term_ || term_->revision != revision) {
        co_return;
    }
    if (renewed) {
        lease_until_ = sent + options_.lease_time - options_.safety_margin;
        record_if_settled();
        co_return;
    }
    if (renewed.reason().code == result_code::lease_not_held) {
        observed_value_.reset();
        end_term(term_end::suspended);
    }
}

asio::awaitable<bool> scope_term::is_settled_term(std::string value) {
    if (options_.settled_key.empty()) {
        co_return false;
    }
    const auto settled = co_await client_.read_key(options_.settled_key);
    if (!settled || !settled->has_value()) {
        co_return false;
    }
    co_return settled->value().value == value;
}

void scope_term::record_if_settled() {
    if (term_ && !options_.settled_key.empty() && !is_settled_recorded_ &&
        boot_clock::now() >= separation_.settled_from()) {
        is_settled_recorded_ = true;
        // Doesn't delay renewals.
        asio::co_spawn(timer_.get_executor(),
                       record_settled_term(*term_, claim_value_),
                       asio::detached);
    }
}

asio::awaitable<void> scope_term::record_settled_term(held_term term,
                                                      std::string value) {
    // Not a part of the claim: the store may count each change of a
    // transaction, and a term's number must be the revision of its own key.
    store_transaction transaction =
        make_write({.key = term.key, .revision = term.revision},
                   {.key = options_.settled_key, .value = std::move(value)});
    const auto written = co_await client_.commit(std::move(transaction));
    if (!written && term_ && term_->revision == term.revision) {
        is_settled_recorded_ = false;
    }
}

asio::awaitable<void> scope_term::resume() {
    const boot_clock::time_point sent = boot_clock::now();
    const auto renewed = co_await client_.renew(lease_);
    if (!suspended_) {
        co_return;
    }
    if (renewed) {
        // The key exists as long as the lease, so nobody else held the scope.
        lease_until_ = sent + options_.lease_time - options_.safety_margin;
        begin_term(*suspended_);
        co_return;
    }
    if (renewed.reason().code == result_code::lease_not_held) {
        suspended_.reset();
        observed_value_.reset();
        co_return;
    }
    co_await wait(failed_claim_pause);
}

asio::awaitable<void> scope_term::retire() {
    is_retired_ = true;
    timer_.cancel();
    co_await release();
}

asio::awaitable<void> scope_term::release() {
    if (!term_) {
        co_return;
    }
    const std::uint64_t lease = lease_;
    end_term(term_end::suspended);
    co_await client_.end_lease(lease);
}

} // namespace savorydock

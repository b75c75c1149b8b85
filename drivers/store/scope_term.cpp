#include "drivers/store/scope_term.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Pause after a claim that failed for the store's sake.
constexpr std::chrono::milliseconds failed_claim_pause{200};
/// Stands between the holder's name and its lease in a term's key.
constexpr char holder_mark = '/';

} // namespace

instance_id holder_of(const std::string& value) {
    return instance_id(value.substr(0, value.rfind(holder_mark)));
}

scope_term::scope_term(asio::io_context& context, store_client& client,
                       scope_term_options options, gained on_gained,
                       lost on_lost, logger& log)
    : client_(client)
    , options_(std::move(options))
    , on_gained_(std::move(on_gained))
    , on_lost_(std::move(on_lost))
    , log_(log)
    , random_(options_.seed)
    , timer_(context) {}

asio::awaitable<void> scope_term::wait(std::chrono::milliseconds time) {
    timer_.expires_after(time);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> scope_term::run() {
    while (!is_retired_) {
        if (term_) {
            co_await hold();
        } else if (suspended_) {
            co_await regain();
        } else if (has_seen_ && !seen_) {
            co_await claim();
        } else {
            co_await wait(std::chrono::hours(1));
        }
    }
}

void scope_term::on_key(const stored_value* value) {
    has_seen_ = true;
    seen_ = value == nullptr ? std::nullopt : std::optional(*value);
    const bool is_own = value != nullptr && value->value == nonce_;
    if (suspended_ && (value == nullptr || !is_own)) {
        suspended_.reset();
    }
    if (term_ && !(is_own && value->modified == term_->revision)) {
        // A key older than the term is an echo of the time before it.
        if (value == nullptr || value->modified > term_->revision) {
            end_term(value == nullptr ? term_end::suspended
                                      : term_end::superseded);
        }
    } else if (!term_ && value != nullptr && !is_own) {
        on_lost_(term_end::superseded);
    } else if (!term_ && is_own && lease_ != 0 &&
               lease_until_ > boot_clock::now()) {
        // The answer to the claim was lost; the claim took effect.
        begin_term({.key = options_.key, .revision = value->modified});
    }
    timer_.cancel();
}

void scope_term::begin_term(held_term term) {
    term_ = std::move(term);
    suspended_.reset();
    log_.write(log_event::lease_acquired, "scope=" + options_.key + " term=" +
                                              std::to_string(term_->revision));
    on_gained_(*term_);
}

void scope_term::on_condition_failed() {
    if (term_) {
        end_term(term_end::suspended);
        // The mirror will tell who holds it now, if it hasn't yet.
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

asio::awaitable<void> scope_term::claim() {
    const double size = std::max(options_.processor_share, 0.05);
    const auto spread = static_cast<std::uint64_t>(
        static_cast<double>(options_.claim_spread.count()) * 0.25 / size);
    const auto yield = options_.should_yield() ? options_.yield_time
                                               : std::chrono::milliseconds(0);
    co_await wait(yield + std::chrono::milliseconds(random_.below(spread + 1)));
    if (is_retired_ || seen_ || term_) {
        co_return;
    }
    const boot_clock::time_point sent = boot_clock::now();
    const auto lease = co_await client_.grant(options_.lease_time);
    if (!lease) {
        co_await wait(failed_claim_pause);
        co_return;
    }
    lease_ = lease->id;
    lease_until_ = sent + lease->time_to_live - options_.safety;
    nonce_ = options_.self.text() + holder_mark + std::to_string(lease_);
    store_transaction transaction =
        make_write({.key = options_.key},
                   {.key = options_.key, .value = nonce_, .lease = lease_});
    const auto result = co_await client_.commit(std::move(transaction));
    if (!result) {
        // An unanswered claim may have taken effect: the mirror tells.
        co_await wait(failed_claim_pause);
        co_return;
    }
    const auto* const taken = std::get_if<transaction_done>(&*result);
    if (taken == nullptr && term_) {
        // The mirror has told of this very claim before its answer came.
        co_return;
    }
    if (taken == nullptr) {
        const std::uint64_t unused = lease_;
        lease_ = 0;
        co_await client_.end_lease(unused);
        if (!seen_) {
            co_await wait(failed_claim_pause);
        }
        co_return;
    }
    if (term_) {
        co_return;
    }
    begin_term({.key = options_.key, .revision = taken->revision});
}

asio::awaitable<void> scope_term::hold() {
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
        lease_until_ = sent + options_.lease_time - options_.safety;
        co_return;
    }
    if (renewed.reason().code == result_code::lease_not_held) {
        seen_.reset();
        end_term(term_end::suspended);
    }
}

asio::awaitable<void> scope_term::regain() {
    const boot_clock::time_point sent = boot_clock::now();
    const auto renewed = co_await client_.renew(lease_);
    if (!suspended_) {
        co_return;
    }
    if (renewed) {
        // The key lives as long as the lease, so the term never ended.
        lease_until_ = sent + options_.lease_time - options_.safety;
        begin_term(*suspended_);
        co_return;
    }
    if (renewed.reason().code == result_code::lease_not_held) {
        suspended_.reset();
        seen_.reset();
        co_return;
    }
    co_await wait(failed_claim_pause);
}

asio::awaitable<void> scope_term::retire() {
    is_retired_ = true;
    timer_.cancel();
    if (!term_) {
        co_return;
    }
    const std::uint64_t lease = lease_;
    end_term(term_end::suspended);
    co_await client_.end_lease(lease);
}

} // namespace savorydock

#pragma once

#include "core/boot_clock.hpp"
#include "core/logger.hpp"
#include "core/random_source.hpp"
#include "drivers/store/store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace savorydock {

/// A term as the one holder of a scope. The revision of the scope's key is
/// the condition of all writes of the term and its fencing number.
struct held_term {
    std::string key;
    store_revision revision = 0;
};

/// How a term ended.
enum class term_end : std::uint8_t {
    /// The lease could not be renewed; nobody else is known to hold it.
    suspended,
    /// Another instance holds the scope.
    superseded,
};

struct scope_term_options {
    std::string key;
    instance_id self;
    /// How long the scope stays with a holder that has gone.
    std::chrono::milliseconds lease_time{3'000};
    /// Renewals in one time to live, so that some may be lost.
    int renewals_per_lease = 3;
    /// The end of the own lease is assumed that much sooner.
    std::chrono::milliseconds safety{300};
    /// Longest pause before a free scope is claimed; larger machines wait
    /// shorter, so that they mostly win.
    std::chrono::milliseconds claim_spread{120};
    double processor_share = 1.0;
    /// Whether another instance fits the duty better. This one then claims
    /// later, after `yield_time`.
    std::function<bool()> should_yield = [] { return false; };
    /// Well over the time that another's claim takes.
    std::chrono::milliseconds yield_time{250};
    std::uint64_t seed = 1;
};

/// The instance that a term's key names as its holder. Thread safe.
[[nodiscard]] instance_id holder_of(const std::string& value);

/// Competes for one scope by a leased key in the platform's store.
///
/// The term ends on the own clock before the lease can have run out, counted
/// from the sending of the last renewal that was answered. Belongs to one
/// traffic thread.
class scope_term {
public:
    using gained = std::function<void(const held_term&)>;
    using lost = std::function<void(term_end)>;

    /// `client` and `log` must outlive `run`.
    scope_term(boost::asio::io_context& context, store_client& client,
               scope_term_options options, gained on_gained, lost on_lost,
               logger& log);

    /// Competes until `retire`. Precondition: called once.
    boost::asio::awaitable<void> run();

    /// The scope's key as the mirror sees it; nothing: it doesn't exist.
    void on_key(const stored_value* value);

    /// The store answered a write of the term that its condition fails.
    void on_condition_failed();

    /// Gives the scope up and competes no more.
    boost::asio::awaitable<void> retire();

    [[nodiscard]] const std::optional<held_term>& term() const { return term_; }

    /// Whether the term holds at this moment, also after a suspension of the
    /// machine. To be asked right before each order.
    [[nodiscard]] bool is_held_now() const {
        return term_ && boot_clock::now() < lease_until_;
    }

private:
    boost::asio::awaitable<void> claim();
    boost::asio::awaitable<void> hold();
    boost::asio::awaitable<void> regain();
    void begin_term(held_term term);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);
    void end_term(term_end reason);

    store_client& client_;
    scope_term_options options_;
    gained on_gained_;
    lost on_lost_;
    logger& log_;
    seeded_random_source random_;
    boost::asio::steady_timer timer_;
    std::optional<held_term> term_;
    /// The key as last seen: who has it, or nobody.
    std::optional<stored_value> seen_;
    bool has_seen_ = false;
    std::uint64_t lease_ = 0;
    boot_clock::time_point lease_until_{};
    /// The term that ran out on the own clock while nobody else took it.
    std::optional<held_term> suspended_;
    std::string nonce_;
    bool is_retired_ = false;
};

} // namespace savorydock

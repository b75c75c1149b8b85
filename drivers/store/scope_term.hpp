#pragma once

#include "core/boot_clock.hpp"
#include "core/logger.hpp"
#include "core/random_source.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/control/holder_separation.hpp"
#include "servers/feed/term_value.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace savorydock {

/// A term: the time during which one instance is the only holder of a scope.
/// The revision of the scope's key is the term's fencing token, and each write
/// of the term is conditional on it.
struct held_term {
    std::string key;
    store_revision revision = 0;
};

/// How a term ended.
enum class term_end : std::uint8_t {
    /// The lease could not be renewed; no other holder is known.
    suspended,
    /// Another instance holds the scope.
    superseded,
};

struct scope_term_options {
    std::string key;
    instance_id self;
    /// How long the scope stays with a holder that has failed.
    std::chrono::milliseconds lease_time{3'000};
    /// Renewals per `lease_time`, so that some may be lost.
    int renewals_per_lease = 3;
    /// This instance assumes that its lease ends this much sooner.
    std::chrono::milliseconds safety_margin{300};
    /// Longest random delay before a free scope is claimed, besides
    /// `claim_delay`, for a `processor_share` of 0.25. It is inversely
    /// proportional to the share, so that larger machines usually win.
    std::chrono::milliseconds claim_spread{120};
    double processor_share = 1.0;
    /// Returns how long to wait before a free scope is claimed, given its last
    /// holder; nothing if it must not be claimed yet.
    std::function<std::optional<std::chrono::milliseconds>(const instance_id&)>
        claim_delay =
            [](const instance_id&) { return std::chrono::milliseconds(0); };
    /// Key that names the last settled term (see `holder_separation`), so that
    /// a holder that restarts needs no distance to its own calls. Empty if the
    /// holder makes no calls to which `separation` applies.
    std::string settled_key;
    /// When this process started; see `holder_separation_options`.
    std::optional<boot_clock::time_point> process_start;
    std::uint64_t seed = 1;
};

/// Competes for one scope with a leased key in the platform's store.
///
/// The term ends by the local clock before the lease can have expired, counted
/// from when the last successful renewal was sent. Belongs to one traffic
/// thread.
class scope_term {
public:
    using gained_handler = std::function<void(const held_term&)>;
    using lost_handler = std::function<void(term_end)>;

    /// `client` and `log` must outlive `run`.
    scope_term(boost::asio::io_context& context, store_client& client,
               scope_term_options options, gained_handler on_gained,
               lost_handler on_lost, logger& log);

    /// Competes until `retire`. Precondition: called once.
    boost::asio::awaitable<void> run();

    /// Reports the scope's key as the mirror has it; null if there is none.
    /// `revision` is the revision of the mirror's copy. Copies that are older
    /// than this instance's own term are ignored: they may still lack its key.
    void on_key(const stored_value* value, store_revision revision);

    /// Releases the scope, but continues to compete for it.
    boost::asio::awaitable<void> release();

    /// Reports that the store rejected a write of the term because its
    /// condition failed.
    void on_condition_failed();

    /// Releases the scope and stops competing.
    boost::asio::awaitable<void> retire();

    [[nodiscard]] const std::optional<held_term>& term() const { return term_; }

    /// Whether the term is in force now; accounts for time during which the
    /// machine was suspended. Check it right before each order.
    [[nodiscard]] bool is_held_now() const {
        return term_ && boot_clock::now() < lease_until_;
    }

    /// When the term ends unless its lease is renewed. Precondition: there is a
    /// term.
    [[nodiscard]] boot_clock::time_point held_until() const {
        return lease_until_;
    }

    /// The distance that this holder's calls keep to those of other holders.
    /// Its owner reports the calls to it.
    [[nodiscard]] holder_separation& separation() { return separation_; }
    [[nodiscard]] const holder_separation& separation() const {
        return separation_;
    }

private:
    boost::asio::awaitable<void> claim();
    boost::asio::awaitable<void> keep_renewed();
    boost::asio::awaitable<void> resume();
    /// Whether the key was written by this instance before it restarted. It
    /// may then be replaced at once: the process that held it is gone, and its
    /// writes fail by the key's new revision.
    [[nodiscard]] bool is_left_by_own_restart() const;
    /// Whether the store names the term with this value as settled.
    boost::asio::awaitable<bool> is_settled_term(std::string value);
    /// Records in the store that the current term is settled, once it is.
    void record_if_settled();
    boost::asio::awaitable<void> record_settled_term(held_term term,
                                                     std::string value);
    void begin_term(held_term term);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);
    void end_term(term_end reason);

    store_client& client_;
    scope_term_options options_;
    gained_handler on_gained_;
    lost_handler on_lost_;
    logger& log_;
    seeded_random_source random_;
    boost::asio::steady_timer timer_;
    std::optional<held_term> term_;
    /// The key as last observed; empty if it did not exist.
    std::optional<stored_value> observed_value_;
    /// The holder that was last observed.
    instance_id last_holder_;
    bool has_observed_ = false;
    std::uint64_t lease_ = 0;
    boot_clock::time_point lease_until_{};
    /// The term that ended by the local clock; it resumes if its lease can
    /// still be renewed.
    std::optional<held_term> suspended_;
    std::string claim_value_;
    /// Whether the last claim replaced a settled term of this instance.
    bool follows_settled_term_ = false;
    bool is_settled_recorded_ = false;
    holder_separation separation_;
    bool is_retired_ = false;
};

} // namespace savorydock

#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/feed/feed_message.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

struct feed_follower_options {
    /// Key prefixes, in the order of `feed_heartbeat::numbers`.
    std::vector<std::string> prefixes;
    /// A feeder whose last contact with the store is older than this is not
    /// followed. Current deployments require that a change of configuration is
    /// in force within 2 s, and this instance's own read of the store must fit
    /// into that time as well.
    std::chrono::milliseconds max_age{1'400};
    /// A feeder that sent no heartbeat for this long is not followed.
    std::chrono::milliseconds max_silence{1'400};
    /// A request that wasn't replied to within this time is repeated.
    std::chrono::milliseconds request_timeout{700};
};

/// What the caller must do with a push.
enum class push_action : std::uint8_t {
    apply,
    ignore,
    /// An earlier push is missing: request the changes of the prefix.
    request_changes,
};

/// Decides whether an instance follows the feeder of its zone or reads the
/// store itself.
///
/// Load pattern: if each of dozens of instances watched the store, every change
/// of an engine's entry would cost a store call per instance. Therefore one
/// instance per zone, the feeder, watches the store and forwards the changes.
/// The others rely on it only while what they have is recent: the feeder's
/// contact with the store, and the pushes that it had sent by then. So a feeder
/// that is partitioned, hung or dead, or whose pushes don't arrive while its
/// heartbeats do, delays them by little more than a second.
///
/// Not thread safe; deterministic.
class feed_follower {
public:
    explicit feed_follower(feed_follower_options options);

    /// Processes a heartbeat. `confirmed_at` is the time, by the own boot
    /// clock, up to which the feeder's copy of the first prefix included the
    /// store's state; absent if unknown. Returns the prefixes whose changes the
    /// caller must request.
    [[nodiscard]] std::vector<std::string>
    on_heartbeat(const instance_id& feeder, const feed_heartbeat& heartbeat,
                 steady_time now,
                 std::optional<std::chrono::milliseconds> confirmed_at = {});

    [[nodiscard]] push_action on_push(const instance_id& feeder,
                                      const feed_push& push, steady_time now);

    /// Returns the prefixes that lack announced changes and for which no
    /// request is unanswered; the caller must request their changes now.
    [[nodiscard]] std::vector<std::string> take_requests(steady_time now);

    /// Whether the data from the feeder is recent, and complete for all
    /// prefixes.
    [[nodiscard]] bool is_following(steady_time now) const;

    /// When `is_following` becomes false if no further heartbeat arrives.
    [[nodiscard]] steady_time fresh_until() const {
        return std::min(last_contact_ + options_.max_age,
                        last_heard_ + options_.max_silence);
    }

    /// The time up to which the data is known to be complete: a contact of the
    /// feeder with the store after which all pushes announced by then have
    /// been applied.
    [[nodiscard]] steady_time last_contact() const { return last_contact_; }

    /// The time, by the own boot clock, up to which the own copy of the first
    /// prefix includes the store's state; absent if unknown. Doesn't depend on
    /// which feeder is followed: copies never go back.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    confirmed_at() const {
        return confirmed_at_;
    }

    [[nodiscard]] const instance_id& feeder() const { return feeder_; }

    /// Changes that the feeder announced and this instance doesn't have.
    struct gap {
        std::uint64_t announced = 0;
        std::uint64_t held = 0;
        std::chrono::milliseconds missing_for{0};
    };
    /// The gap of the prefix that has lacked a change for longest.
    [[nodiscard]] gap find_gap(steady_time now) const;

private:
    struct prefix_state {
        /// Number of the last push applied; empty until the first snapshot.
        std::optional<std::uint64_t> number;
        /// When the request that is not replied to yet was made.
        std::optional<steady_time> requested_at;
        /// Number of the last push that the feeder announced.
        std::uint64_t announced = 0;
        /// Since when an announced push has been missing; empty if none is.
        std::optional<steady_time> missing_since;

        [[nodiscard]] bool is_behind() const {
            return !number || *number < announced;
        }
        void announce(std::uint64_t newest, steady_time now);
    };

    /// Whether a request may be made for the prefix; if so, it counts as made.
    [[nodiscard]] bool take_request(prefix_state& state, steady_time now) const;

    /// A heartbeat whose pushes have not all been applied yet.
    struct announcement {
        std::vector<std::uint64_t> numbers;
        /// When the feeder had last reached the store.
        steady_time contact{};
        std::optional<std::chrono::milliseconds> confirmed_at;
    };

    void follow_newer_term(const instance_id& feeder, store_revision term);
    /// Advances `last_contact_` by the announcements that are complete now.
    void confirm_announcements();
    [[nodiscard]] std::optional<std::size_t>
    index_of(const std::string& prefix) const;

    feed_follower_options options_;
    instance_id feeder_;
    store_revision term_ = 0;
    steady_time last_contact_{};
    steady_time last_heard_{};
    std::optional<std::chrono::milliseconds> confirmed_at_;
    std::vector<prefix_state> prefixes_;
    /// In the order of arrival.
    std::deque<announcement> announcements_;
};

} // namespace savorydock

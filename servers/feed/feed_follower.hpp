#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/feed/feed_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

struct feed_follower_options {
    /// Prefixes in the order of a beat's numbers.
    std::vector<std::string> prefixes;
    /// A feeder whose news may be older than this isn't followed: the bound of
    /// configuration is 2 s on today's sites, and a reading of one's own must
    /// fit in it as well.
    std::chrono::milliseconds max_age{1'400};
    /// A missing push is asked for again after this time.
    std::chrono::milliseconds request_gap{200};
};

/// What to do with a push.
enum class push_verdict : std::uint8_t {
    take,
    ignore,
    /// A push before it is missing.
    request,
};

/// Decides whether an instance follows the feeder of its zone or reads the
/// store itself.
///
/// Load pattern: dozens of instances that each would watch the store, where
/// every change of an engine's entry costs each of them a call. One instance a
/// zone watches and passes changes on; the others trust it only as long as its
/// last contact with the store is fresh, so that a feeder that is cut off,
/// frozen or gone costs them little over a second.
///
/// Not thread safe; deterministic.
class feed_follower {
public:
    explicit feed_follower(feed_follower_options options);

    /// A beat came. Returns the prefixes that must be requested.
    [[nodiscard]] std::vector<std::string>
    on_beat(const instance_id& feeder, const feed_beat& beat, steady_time now);

    [[nodiscard]] push_verdict on_push(const instance_id& feeder,
                                       const feed_push& push, steady_time now);

    /// Whether news of the followed feeder are fresh and complete.
    [[nodiscard]] bool is_following(steady_time now) const;

    /// When `is_following` turns false if nothing more comes.
    [[nodiscard]] steady_time fresh_until() const {
        return fresh_at_ + options_.max_age;
    }

    [[nodiscard]] const instance_id& feeder() const { return feeder_; }

private:
    struct prefix_state {
        /// Number of the last push taken; nothing before a snapshot.
        std::optional<std::uint64_t> number;
        steady_time requested_at{};
    };

    void adopt(const instance_id& feeder, store_revision term);
    [[nodiscard]] std::optional<std::size_t>
    index_of(const std::string& prefix) const;

    feed_follower_options options_;
    instance_id feeder_;
    store_revision term_ = 0;
    steady_time fresh_at_{};
    std::vector<prefix_state> prefixes_;
};

} // namespace savorydock

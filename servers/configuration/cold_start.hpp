#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace savorydock {

/// Decides when an instance that has just started may serve the configuration
/// that it has collected. It may after one complete read of the platform's
/// store. While the store is unreachable it may once it has caught up with the
/// most advanced peer that answered, and has reached every revision that those
/// peers recorded for it before the restart (its claims).
///
/// A claim that the instance sent right before its restart may still be on its
/// way when a peer answers. Answers therefore count only after `settling_time`,
/// by which such claims have arrived or are lost.
///
/// Limitation: if none of the peers that answer recorded the last claim of the
/// instance, it may serve an older revision than before its restart.
/// Not thread safe.
class cold_start {
public:
    /// How long a message between instances may be on its way.
    static constexpr std::chrono::milliseconds settling_time{1'000};
    /// How long to wait for peers that have not answered yet.
    static constexpr std::chrono::milliseconds answer_timeout{2'000};
    /// How long to wait, from the first hello, until the instance has caught up
    /// with the most advanced peer.
    static constexpr std::chrono::milliseconds catch_up_timeout{4'000};

    [[nodiscard]] bool is_over() const { return is_over_; }

    void record_hello_sent(const instance_id& peer, steady_time now);
    /// Records a peer's answer to a hello: the revision that the peer is
    /// complete through, and the highest claim of this instance that the peer
    /// has recorded.
    void record_digest(const instance_id& peer, bool is_starting,
                       store_revision complete_through, store_revision claimed,
                       steady_time now);

    /// Records a complete read of the store; no instance can have had a newer
    /// revision in force at that time.
    void record_store_read() { has_store_read_ = true; }

    /// Ends the cold start if the instance may serve now; returns whether this
    /// call ended it.
    bool try_end(store_revision complete_through, steady_time now);

    /// The highest claim of this instance that a peer has reported: it must not
    /// serve an older revision.
    [[nodiscard]] store_revision floor() const { return floor_; }
    /// Whether serving peers answered but the instance is still below `floor`
    /// after `answer_timeout`.
    [[nodiscard]] bool is_held_back(store_revision complete_through,
                                    steady_time now) const;

private:
    [[nodiscard]] bool may_serve(store_revision complete_through,
                                 steady_time now) const;

    bool is_over_ = false;
    bool has_store_read_ = false;
    std::optional<steady_time> first_hello_at_;
    std::set<instance_id> asked_peers_;
    std::set<instance_id> answered_peers_;
    bool has_serving_peer_ = false;
    store_revision highest_complete_through_ = 0;
    store_revision floor_ = 0;
};

} // namespace savorydock

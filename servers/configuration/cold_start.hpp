#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace savorydock {

/// Decides when an instance that has just started may serve what it has
/// gathered: after a whole read of the platform's store; or, while that is
/// out, once it has what the best of the answering peers has and is not below
/// anything that those peers know this instance to have served before.
///
/// What stays open: an instance whose last claim reached none of the peers
/// that answer may serve an older revision than it did before it restarted.
/// Not thread safe.
class cold_start {
public:
    /// How long to wait for peers that don't answer.
    static constexpr std::chrono::milliseconds patience{2'000};
    /// How long to wait for the best peer's documents once it answered.
    static constexpr std::chrono::milliseconds pull_patience{4'000};

    [[nodiscard]] bool is_over() const { return is_over_; }

    void note_asked(const instance_id& peer, steady_time now);
    /// A peer's answer: what it is complete through, and the highest revision
    /// that it knows this instance to have claimed.
    void note_answer(const instance_id& peer, bool is_starting,
                     store_revision complete_through, store_revision claimed);

    /// The store was read whole; nothing newer can be in force anywhere.
    void note_store_read() { has_store_read_ = true; }

    /// Ends the start if the instance may serve; returns whether it did.
    bool try_end(store_revision complete_through, steady_time now);

    /// The lowest revision that the instance may serve, as far as known.
    [[nodiscard]] store_revision floor() const { return floor_; }
    /// Peers answered but the floor is not reached.
    [[nodiscard]] bool is_held_back(store_revision complete_through,
                                    steady_time now) const;

private:
    [[nodiscard]] bool may_serve(store_revision complete_through,
                                 steady_time now) const;

    bool is_over_ = false;
    bool has_store_read_ = false;
    std::optional<steady_time> first_asked_;
    std::set<instance_id> asked_;
    std::set<instance_id> answered_;
    bool has_authority_ = false;
    store_revision best_ = 0;
    store_revision floor_ = 0;
};

} // namespace savorydock

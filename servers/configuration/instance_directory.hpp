#pragma once

#include "core/ids.hpp"
#include "core/random_source.hpp"

#include <vector>

namespace savorydock {

/// An instance as membership reports it.
struct known_instance {
    instance_id instance;
    availability_zone zone;
    bool is_alive = true;
};

/// The peers that this instance exchanges configuration with, and whether it is
/// a watcher: one of the instances of its zone that read the platform's store.
/// Not thread safe.
class instance_directory {
public:
    static constexpr std::size_t watchers_per_zone = 2;
    /// Number of peers that record the claims of an instance. With at most
    /// `small_fleet_size` peers all of them do.
    static constexpr std::size_t claim_recorder_count = 3;
    static constexpr std::size_t small_fleet_size = 12;

    instance_directory(instance_id self, availability_zone zone);

    /// Replaces the known instances; the list may include this instance.
    void update(const std::vector<known_instance>& instances);

    /// All other instances that are alive; all other known ones if none is
    /// reported alive.
    [[nodiscard]] const std::vector<instance_id>& peers() const {
        return peers_;
    }
    /// The peers that get the claims of this instance first. They are the same
    /// after a restart if the same instances are alive.
    [[nodiscard]] const std::vector<instance_id>& claim_recorders() const {
        return claim_recorders_;
    }
    /// Returns up to `count` distinct random peers.
    [[nodiscard]] std::vector<instance_id>
    pick_random(std::size_t count, random_source& random) const;

    [[nodiscard]] bool is_watcher() const { return is_watcher_; }
    [[nodiscard]] bool knows(const instance_id& instance) const;

private:
    void choose_watchers(const std::vector<known_instance>& instances);

    instance_id self_;
    availability_zone zone_;
    std::vector<instance_id> peers_;
    std::vector<instance_id> claim_recorders_;
    bool is_watcher_ = true;
};

} // namespace savorydock

#pragma once

#include "core/ids.hpp"
#include "core/random_source.hpp"

#include <vector>

namespace savorydock {

/// An instance as membership knows it.
struct known_instance {
    instance_id instance;
    availability_zone zone;
    bool is_alive = true;
};

/// Whom this instance exchanges configuration with, and whether it is one of
/// those of its zone that follow the platform's store. Not thread safe.
class instance_directory {
public:
    /// Watchers of the store in each zone.
    static constexpr std::size_t watchers_per_zone = 2;
    /// Instances that remember the last claim of one; all in a small fleet.
    static constexpr std::size_t keeper_count = 3;
    static constexpr std::size_t small_fleet = 12;

    instance_directory(instance_id self, availability_zone zone);

    /// Takes the instances known now; the own one may be among them.
    void update(const std::vector<known_instance>& instances);

    /// All other living instances; all known ones if none seems to live.
    [[nodiscard]] const std::vector<instance_id>& peers() const {
        return peers_;
    }
    /// The peers that this instance tells its claims first, the same ones
    /// after a restart as before if the living are the same.
    [[nodiscard]] const std::vector<instance_id>& keepers() const {
        return keepers_;
    }
    /// Up to `count` distinct peers at random.
    [[nodiscard]] std::vector<instance_id> pick(std::size_t count,
                                                random_source& random) const;

    [[nodiscard]] bool is_watcher() const { return is_watcher_; }
    [[nodiscard]] bool knows(const instance_id& instance) const;

private:
    void choose_watchers(const std::vector<known_instance>& instances);

    instance_id self_;
    availability_zone zone_;
    std::vector<instance_id> peers_;
    std::vector<instance_id> keepers_;
    bool is_watcher_ = true;
};

} // namespace savorydock

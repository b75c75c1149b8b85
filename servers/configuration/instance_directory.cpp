#include "servers/configuration/instance_directory.hpp"

#include "servers/configuration/rendezvous.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace savorydock {

instance_directory::instance_directory(instance_id self, availability_zone zone)
    : self_(std::move(self))
    , zone_(std::move(zone)) {}

void instance_directory::update(const std::vector<known_instance>& instances) {
    std::vector<instance_id> alive;
    std::vector<instance_id> all;
    for (const known_instance& known : instances) {
        if (known.instance == self_) {
            continue;
        }
        all.push_back(known.instance);
        if (known.is_alive) {
            alive.push_back(known.instance);
        }
    }
    peers_ = alive.empty() ? std::move(all) : std::move(alive);
    std::sort(peers_.begin(), peers_.end());
    std::vector<std::string> names;
    names.reserve(peers_.size());
    for (const instance_id& peer : peers_) {
        names.push_back(peer.text());
    }
    const std::size_t claim_recorders =
        names.size() <= small_fleet_size ? names.size() : claim_recorder_count;
    claim_recorders_.clear();
    for (std::string& name : choose_by_rendezvous(
             self_.text(), std::move(names), claim_recorders)) {
        claim_recorders_.emplace_back(std::move(name));
    }
    choose_watchers(instances);
}

void instance_directory::choose_watchers(
    const std::vector<known_instance>& instances) {
    std::vector<std::string> candidates{self_.text()};
    for (const known_instance& known : instances) {
        if (known.is_alive && known.zone == zone_ && known.instance != self_) {
            candidates.push_back(known.instance.text());
        }
    }
    const auto chosen = choose_by_rendezvous(
        zone_.text(), std::move(candidates), watchers_per_zone);
    is_watcher_ =
        std::find(chosen.begin(), chosen.end(), self_.text()) != chosen.end();
}

std::vector<instance_id>
instance_directory::pick_random(std::size_t count,
                                random_source& random) const {
    if (count >= peers_.size()) {
        return peers_;
    }
    std::vector<instance_id> picked;
    while (picked.size() < count) {
        const instance_id& peer = peers_[random.below(peers_.size())];
        if (std::find(picked.begin(), picked.end(), peer) == picked.end()) {
            picked.push_back(peer);
        }
    }
    return picked;
}

bool instance_directory::knows(const instance_id& instance) const {
    return std::binary_search(peers_.begin(), peers_.end(), instance);
}

} // namespace savorydock

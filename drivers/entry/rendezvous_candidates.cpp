#include "drivers/entry/rendezvous_candidates.hpp"

#include "servers/configuration/rendezvous.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Number of instances per shard that try to acquire its lease: the preferred
/// one and a standby.
constexpr std::size_t candidate_count = 2;

} // namespace

void rendezvous_candidates::update(
    const instance_id& self, const availability_zone& zone,
    const std::vector<known_instance>& instances) {
    self_ = self.text();
    zone_ = zone.text();
    zone_instances_.clear();
    fleet_instances_.clear();
    for (const known_instance& known : instances) {
        if (!known.is_alive) {
            continue;
        }
        fleet_instances_.push_back(known.instance.text());
        if (known.zone == zone) {
            zone_instances_.push_back(known.instance.text());
        }
    }
}

std::uint32_t rendezvous_candidates::rank(const std::string& group,
                                          std::uint32_t shard) const {
    const std::string key = group + '/' + std::to_string(shard);
    const auto chosen = choose_by_rendezvous(
        key, group == fleet_group ? fleet_instances_ : zone_instances_,
        candidate_count);
    return static_cast<std::uint32_t>(
        std::find(chosen.begin(), chosen.end(), self_) - chosen.begin());
}

} // namespace savorydock

#include "servers/feed/root_feeder.hpp"

#include "servers/batch/job_keys.hpp"
#include "servers/feed/term_value.hpp"

namespace savorydock {

std::vector<zone_feeder>
other_feeders(const std::map<std::string, stored_value>& keys,
              const instance_id& self) {
    std::vector<zone_feeder> found;
    for (auto key = keys.lower_bound(std::string(feed_term_prefix));
         key != keys.end() && key->first.starts_with(feed_term_prefix); ++key) {
        zone_feeder feeder{.instance = holder_of(key->second.value),
                           .zone = availability_zone(
                               key->first.substr(feed_term_prefix.size())),
                           .term = key->second.modified};
        if (feeder.instance != self) {
            found.push_back(std::move(feeder));
        }
    }
    return found;
}

std::optional<zone_feeder>
find_root_feeder(const std::map<std::string, stored_value>& keys,
                 const instance_id& self,
                 std::optional<store_revision> own_term) {
    std::optional<zone_feeder> root;
    if (own_term) {
        root = zone_feeder{.instance = self, .zone = {}, .term = *own_term};
    }
    for (const zone_feeder& feeder : other_feeders(keys, self)) {
        if (!root || feeder.term < root->term) {
            root = feeder;
        }
    }
    return root;
}

} // namespace savorydock

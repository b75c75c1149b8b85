#pragma once

#include "servers/configuration/instance_directory.hpp"
#include "servers/control/holder_candidates.hpp"

#include <string>
#include <vector>

namespace savorydock {

/// Ranks the alive instances of a group by rendezvous hashing. Used on the
/// control thread only.
class rendezvous_candidates final : public holder_candidates {
public:
    /// Sets the instances known to membership, including this one.
    void update(const instance_id& self, const availability_zone& zone,
                const std::vector<known_instance>& instances);

    [[nodiscard]] std::uint32_t rank(const std::string& group,
                                     std::uint32_t shard) const override;

private:
    std::string self_;
    std::string zone_;
    std::vector<std::string> zone_instances_;
    std::vector<std::string> fleet_instances_;
};

} // namespace savorydock

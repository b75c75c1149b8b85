#include "servers/feed/claim_order.hpp"

#include "servers/membership/stable_hash.hpp"

#include <algorithm>
#include <tuple>

namespace savorydock {

std::optional<std::chrono::milliseconds>
claim_delay(const node_directory& directory, std::string_view scope,
            const instance_id& last_holder,
            const claim_order_options& options) {
    const auto own = directory.find(options.self);
    if (own == directory.end()) {
        return std::nullopt;
    }
    const auto position_of = [&](const node_entry& entry) {
        const bool is_late = entry.is_leaving || options.is_last(entry) ||
                             entry.instance == last_holder;
        return std::tuple(
            is_late, stable_hash(entry.instance.text(), stable_hash(scope)));
    };
    const auto own_position = position_of(own->second);
    const auto rank =
        std::count_if(directory.begin(), directory.end(), [&](const auto& row) {
            const node_entry& entry = row.second;
            return (!options.zone || entry.zone == *options.zone) &&
                   position_of(entry) < own_position;
        });
    return options.step *
           static_cast<long>(
               std::min(static_cast<std::size_t>(rank), options.max_rank));
}

} // namespace savorydock

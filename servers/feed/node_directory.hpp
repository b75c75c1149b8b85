#pragma once

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// The entry with which an instance is registered in the store.
struct node_entry {
    instance_id instance;
    availability_zone zone;
    /// Address for messages from other instances.
    endpoint address;
    /// Share of a processor core that is available to the instance.
    double processor_share = 1.0;
    /// It finishes its current runs and accepts no new ones.
    bool is_leaving = false;
};

/// The prefix of the keys of instances. Each key is removed when its lease
/// expires.
inline constexpr std::string_view node_prefix = "c/node/";

/// All functions are thread safe.
[[nodiscard]] std::string node_key(const instance_id& instance);
[[nodiscard]] std::string encode_node_entry(const node_entry& entry);
/// Errors: `invalid_document`.
[[nodiscard]] outcome<node_entry> decode_node_entry(std::string_view key,
                                                    std::string_view text);

/// The instances that are currently registered.
using node_directory = std::map<instance_id, node_entry>;

} // namespace savorydock

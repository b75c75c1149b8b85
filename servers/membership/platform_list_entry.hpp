#pragma once

#include "servers/membership/membership_message.hpp"
#include "servers/platform/platform_message.hpp"
#include "servers/routing/upstream_state.hpp"

#include <optional>
#include <string_view>

namespace savorydock {

/// Keys of the platform's list: the instance's name follows.
inline constexpr std::string_view instance_list_prefix =
    "/savorydock/instances/";
/// Keys of the platform's list: "service/upstream" follows.
inline constexpr std::string_view upstream_list_prefix =
    "/savorydock/upstreams/";

/// An upstream as the platform's list has it.
struct listed_upstream {
    upstream_key key;
    bool is_leaving = false;
};

/// Reads an instance's entry; nothing if it is no such entry. A list may lag
/// or be wrong, so a bad entry is passed over. Thread safe.
[[nodiscard]] std::optional<member_record>
read_listed_instance(const stored_value& value);

/// Reads an upstream's entry; nothing if it is no such entry. Thread safe.
[[nodiscard]] std::optional<listed_upstream>
read_listed_upstream(const stored_value& value);

} // namespace savorydock

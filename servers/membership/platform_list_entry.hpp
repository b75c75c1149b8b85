#pragma once

#include "servers/membership/membership_message.hpp"
#include "servers/platform/platform_message.hpp"
#include "servers/routing/upstream_state.hpp"

#include <optional>
#include <string_view>

namespace savorydock {

/// Key prefix of instances in the platform's list; the instance's name follows.
inline constexpr std::string_view instance_list_prefix =
    "/savorydock/instances/";
/// Key prefix of upstreams in the platform's list; "service/upstream" follows.
inline constexpr std::string_view upstream_list_prefix =
    "/savorydock/upstreams/";

/// An upstream's entry in the platform's list.
struct listed_upstream {
    upstream_key key;
    bool is_leaving = false;
};

/// Parses an instance's entry; returns nothing if it is malformed. The list may
/// be outdated or wrong, so callers skip malformed entries. Thread safe.
[[nodiscard]] std::optional<member_record>
read_listed_instance(const stored_value& value);

/// Parses an upstream's entry; returns nothing if it is malformed. Thread safe.
[[nodiscard]] std::optional<listed_upstream>
read_listed_upstream(const stored_value& value);

} // namespace savorydock

#pragma once

#include "core/ids.hpp"

#include <boost/describe/class.hpp>

#include <compare>
#include <cstddef>
#include <functional>

namespace savorydock {

/// A caller's idempotency key, scoped to the service and the caller: equal keys
/// of different callers are distinct.
struct call_key {
    service_name service;
    caller_id caller;
    idempotency_key key;

    auto operator<=>(const call_key&) const = default;
};
BOOST_DESCRIBE_STRUCT(call_key, (), (service, caller, key))

} // namespace savorydock

template <>
struct std::hash<savorydock::call_key> {
    std::size_t operator()(const savorydock::call_key& key) const noexcept {
        constexpr std::size_t factor = 1'099'511'628'211U;
        std::size_t sum = std::hash<savorydock::service_name>{}(key.service);
        sum = sum * factor ^ std::hash<savorydock::caller_id>{}(key.caller);
        return sum * factor ^ std::hash<savorydock::idempotency_key>{}(key.key);
    }
};

#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace savorydock {

/// An order that moves one upstream to a version of a model's weights; runs
/// in progress go on under the new version.
struct version_order {
    upstream_id upstream;
    std::string model;
    weight_version version = 0;
    /// The instance that gives the order, and its fencing number.
    std::string holder;
    fencing_number fencing = 0;
    /// Orders that the upstream must have accepted before; an order that is
    /// carried out late fails by it.
    std::uint64_t expected_orders = 0;
};

/// What an upstream answered to an order.
enum class order_answer : std::uint8_t {
    accepted,
    already_holds,
    /// Another order runs, or the count of accepted orders differs.
    conflict,
    /// It has seen a higher fencing number.
    fenced_off,
    /// The version or the model isn't known to it.
    invalid,
    /// Another upstream has the address.
    wrong_upstream,
    /// The answer doesn't tell.
    unknown,
};

/// The load that an upstream reports; some hundred milliseconds old.
struct upstream_load {
    bool is_busy_with_order = false;
    std::uint64_t accepted_orders = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
};

} // namespace savorydock

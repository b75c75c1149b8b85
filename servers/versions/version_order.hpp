#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace savorydock {

/// An order that moves one upstream to a version of a model's weights. Runs in
/// progress continue with the new version.
struct version_order {
    upstream_id upstream;
    std::string model;
    weight_version version = 0;
    /// The instance that sends the order, and its fencing number.
    std::string holder;
    fencing_number fencing = 0;
    /// The number of orders that the upstream must have accepted before. If it
    /// differs, the order fails; this rejects orders that arrive late.
    std::uint64_t expected_orders = 0;
};

/// The answer of an upstream to an order.
enum class order_answer : std::uint8_t {
    accepted,
    already_holds,
    /// Another order is in progress, or the number of accepted orders
    /// differs.
    conflict,
    /// It has seen a higher fencing number.
    fenced_off,
    /// The upstream does not know the version or the model.
    invalid,
    /// The address belongs to another upstream.
    wrong_upstream,
    /// There was no answer, or it does not say whether the order was accepted.
    unknown,
};

/// The load that an upstream reports; a few hundred milliseconds old.
struct upstream_load_report {
    bool is_busy_with_order = false;
    std::uint64_t accepted_orders = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
};

} // namespace savorydock

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace savorydock {

/// A string identifier. The tag makes each kind of identifier a separate type,
/// so that the compiler rejects mixing them. A value type; as thread safe as
/// std::string.
template <class Tag>
class text_id {
public:
    text_id() = default;
    explicit text_id(std::string text)
        : text_(std::move(text)) {}

    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] bool is_empty() const { return text_.empty(); }

    bool operator==(const text_id&) const = default;
    auto operator<=>(const text_id& other) const {
        return text_ <=> other.text_;
    }

private:
    std::string text_;
};

using instance_id = text_id<struct instance_tag>;
using availability_zone = text_id<struct availability_zone_tag>;
using caller_id = text_id<struct caller_tag>;
/// A customer whose callers share keys. Empty where there are none.
using organisation_id = text_id<struct organisation_tag>;
using upstream_id = text_id<struct upstream_tag>;
using service_name = text_id<struct service_tag>;
using request_id = text_id<struct request_tag>;
using idempotency_key = text_id<struct idempotency_tag>;
using class_name = text_id<struct class_tag>;
/// The version of an upstream's software, not of its weights. Versions have no
/// order. An empty version is unknown and compatible with none.
using software_version = text_id<struct software_version_tag>;

/// A version of model weights; the versions of one service only increase.
using weight_version = std::uint64_t;

/// A revision of the platform's store; every write increases it.
using store_revision = std::uint64_t;

/// A fencing token: each new holder of a lease sends its orders with a
/// higher number, so that upstreams can refuse orders of earlier holders.
using fencing_number = std::uint64_t;

/// Identifies one sample of a trainer's step; assigned before any work on the
/// sample starts.
struct slot_id {
    std::string trainer;
    std::uint64_t step = 0;
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const slot_id&) const = default;
};

/// Returns "trainer/step/group/index". Thread safe.
[[nodiscard]] inline std::string to_text(const slot_id& slot) {
    return slot.trainer + '/' + std::to_string(slot.step) + '/' +
           std::to_string(slot.group) + '/' + std::to_string(slot.index);
}

/// The weight version that generated the tokens [first, last) of an answer.
struct version_range {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    weight_version version = 0;

    auto operator<=>(const version_range&) const = default;
};

} // namespace savorydock

template <class Tag>
struct std::hash<savorydock::text_id<Tag>> {
    std::size_t operator()(const savorydock::text_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.text());
    }
};

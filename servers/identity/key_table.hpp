#pragma once

#include "servers/fleet/fleet_configuration.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace savorydock {

/// The keys of one configuration's organisations. Holds digests of the keys, so
/// that no key can be read from it. Immutable after construction and therefore
/// thread safe.
class key_table {
public:
    /// The organisation to which a key belongs.
    struct owner {
        organisation_id organisation;
        /// The organisation's priority, which takes precedence over that of
        /// routes; 0 is the highest.
        std::optional<std::uint32_t> rank;
    };

    /// The table of a configuration without organisations.
    key_table() = default;

    /// A key that is listed for several organisations belongs to none of them.
    /// Empty keys are ignored.
    explicit key_table(const std::vector<organisation_rule>& organisations);

    /// Whether callers must identify themselves.
    [[nodiscard]] bool has_organisations() const { return !ranks_.empty(); }

    /// Returns the owner of the key, or null if it has none. The pointer is
    /// valid as long as the table. Full digests are compared in constant time;
    /// the preceding search depends on the digest only, which reveals nothing
    /// about the key.
    [[nodiscard]] const owner* find(std::string_view key) const;

    /// Returns the priority of the organisation, if it is configured and has
    /// one.
    [[nodiscard]] std::optional<std::uint32_t>
    rank_of(const organisation_id& organisation) const;

private:
    /// SHA-256.
    static constexpr std::size_t digest_size = 32;
    using digest = std::array<unsigned char, digest_size>;

    struct entry {
        digest key{};
        owner whose;
    };

    [[nodiscard]] static digest digest_of(std::string_view key);

    /// Sorted by digest, which is unique.
    std::vector<entry> entries_;
    std::map<organisation_id, std::optional<std::uint32_t>> ranks_;
};

} // namespace savorydock

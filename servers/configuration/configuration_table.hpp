#pragma once

#include "core/clock.hpp"
#include "core/service_document.hpp"
#include "servers/configuration/configuration_message.hpp"
#include "servers/configuration/configuration_view.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorydock {

/// What became of an entry that was offered to the table.
enum class apply_result : std::uint8_t {
    in_force,
    /// The table holds this or a newer revision; nothing changed.
    stale,
    /// The document has faults; the last good one stays in force.
    refused,
};

/// A revision that the table holds.
struct held_revision {
    store_revision revision = 0;
    bool is_deleted = false;
    std::string publish_id;
    std::string operator_name;
    std::string text;
};

/// One service on this instance.
struct held_service {
    /// The last good revision; its revision is 0 if there was none yet.
    held_revision good;
    std::shared_ptr<const service_document> document;
    steady_time in_force_since{};
    /// A later revision that has faults, and what they are.
    std::optional<held_revision> refused;
    std::string faults;
    /// The good revision before the last, for patches to peers behind.
    std::optional<held_revision> previous;

    [[nodiscard]] store_revision newest() const {
        return refused ? refused->revision : good.revision;
    }
};

/// A batch of entries for an instance behind.
struct configuration_delta {
    store_revision to = 0;
    std::vector<configuration_entry> entries;
};

/// All services that an instance holds, each at the highest revision that it
/// has ever seen: `apply` takes nothing that is not newer. The table is
/// complete through one revision: for every service it holds the newest
/// revision up to that one. Not thread safe.
class configuration_table {
public:
    /// Offers a revision with its whole text. `faults_of` tells the faults
    /// after a refusal.
    apply_result apply(const configuration_entry& entry, steady_time now);

    /// Every revision up to this one has been applied.
    /// Precondition: that is so.
    void complete_through(store_revision revision);
    [[nodiscard]] store_revision complete_through() const {
        return complete_through_;
    }

    /// Returns the entry with its patch, if any, replaced by the text; nothing
    /// if the table does not hold what the patch builds on.
    [[nodiscard]] std::optional<configuration_entry>
    whole(configuration_entry entry) const;

    /// Entries after `from` in the order of their revisions, at least one if
    /// there is one, cut when `max_bytes` are reached. Patches are used for
    /// services whose revision before the last is the one at `from`.
    [[nodiscard]] configuration_delta
    delta(store_revision from, bool whole_texts, std::size_t max_bytes) const;

    /// A service has a faulty revision and none that is good.
    [[nodiscard]] bool lacks_good_revision() const;

    [[nodiscard]] const std::map<service_name, held_service>& services() const {
        return services_;
    }
    [[nodiscard]] const std::string& faults_of(const service_name& name) const;

    /// The services in force. Cheap to call again while nothing changes.
    [[nodiscard]] std::shared_ptr<const configuration_view> view() const;

private:
    void put_in_force(held_service& held, const configuration_entry& entry,
                      std::shared_ptr<const service_document> document,
                      steady_time now);

    std::map<service_name, held_service> services_;
    store_revision complete_through_ = 0;
    mutable std::shared_ptr<const configuration_view> view_;
};

} // namespace savorydock

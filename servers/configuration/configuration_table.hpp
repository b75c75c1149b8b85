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

/// The result of `configuration_table::apply`.
enum class apply_result : std::uint8_t {
    in_force,
    /// The table holds this revision or a newer one already; nothing changed.
    stale,
    /// The document has faults; the last valid one stays in force.
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
    /// The last valid revision; its number is 0 if there has been none.
    held_revision valid;
    std::shared_ptr<const service_document> document;
    steady_time in_force_since{};
    /// A later revision that failed validation, and its faults.
    std::optional<held_revision> refused;
    std::string faults;
    /// The valid revision before the last one: the base of patches for peers
    /// that hold it.
    std::optional<held_revision> previous_valid;

    [[nodiscard]] store_revision newest() const {
        return refused ? refused->revision : valid.revision;
    }
};

/// A batch of entries for an instance that holds older revisions: all up to
/// revision `to`.
struct configuration_delta {
    store_revision to = 0;
    std::vector<configuration_entry> entries;
};

/// All services that an instance holds, each at the highest revision that the
/// instance has received: `apply` ignores revisions that are not newer. That
/// the table is complete through revision R means that it holds, for every
/// service, the newest revision up to R. Not thread safe.
class configuration_table {
public:
    /// Puts a revision in force if it is newer than the one held and valid.
    /// The entry must hold the full text. `faults_of` returns the faults after
    /// `refused`.
    apply_result apply(const configuration_entry& entry, steady_time now);

    /// Records that the table is complete through a revision.
    /// Precondition: every revision up to this one has been applied.
    void mark_complete_through(store_revision revision);
    [[nodiscard]] store_revision complete_through() const {
        return complete_through_;
    }

    /// Returns the entry with its patch, if any, replaced by the full text;
    /// nothing if the table does not hold the base of the patch.
    [[nodiscard]] std::optional<configuration_entry>
    expand_patch(configuration_entry entry) const;

    /// Returns the entries with a revision above `from`, in the order of their
    /// revisions: at least one if there is any, and no more than fit into
    /// `max_bytes`. Unless `full_texts` is set, a service is sent as a patch if
    /// a peer at `from` holds its valid revision before the last one.
    [[nodiscard]] configuration_delta
    delta(store_revision from, bool full_texts, std::size_t max_bytes) const;

    /// Whether some service has a faulty revision and no valid one.
    [[nodiscard]] bool lacks_valid_revision() const;

    [[nodiscard]] const std::map<service_name, held_service>& services() const {
        return services_;
    }
    [[nodiscard]] const std::string& faults_of(const service_name& name) const;

    /// The services in force. The view is cached until the next change.
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

#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// The prefix of all service keys in the platform's store.
inline constexpr std::string_view service_prefix = "/savorydock/services/";

/// Returns the key of a service. Thread safe.
[[nodiscard]] std::string key_of(const service_name& service);

/// Returns the service of a key. Precondition: the key begins with
/// `service_prefix`. Thread safe.
[[nodiscard]] service_name service_of(std::string_view key);

/// A publish that an envelope remembers.
struct publish_record {
    std::string publish_id;
    std::string operator_name;
    /// The revision it took effect at.
    store_revision revision = 0;
};

/// What the store keeps under a service's key: the document as published,
/// and who published the last revisions, so that a writer whose answer was
/// lost can tell what became of its write. The store's revision of the key is
/// the revision of the service. A deletion is an envelope too, so that its
/// place among the revisions is never lost.
struct service_envelope {
    /// Unique for each publish.
    std::string publish_id;
    std::string operator_name;
    bool is_deleted = false;
    std::string text;
    /// Earlier publishes, oldest first, at most `max_history`.
    std::vector<publish_record> history;

    static constexpr std::size_t max_history = 16;
};

/// Returns the stored form. Thread safe.
[[nodiscard]] std::string to_stored_text(const service_envelope& envelope);

/// Reads the stored form; members it does not know are passed over.
/// Errors: `invalid_document`. Thread safe.
[[nodiscard]] outcome<service_envelope>
parse_service_envelope(std::string_view text);

} // namespace savorydock

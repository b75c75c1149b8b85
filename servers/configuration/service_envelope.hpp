#pragma once

#include "core/ids.hpp"
#include "core/outcome.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// The prefix of the keys of services in the platform's store.
inline constexpr std::string_view service_prefix = "/savorydock/services/";

/// Returns the store key of a service. Thread safe.
[[nodiscard]] std::string key_of(const service_name& service);

/// Returns the service of a store key. Precondition: the key starts with
/// `service_prefix`. Thread safe.
[[nodiscard]] service_name service_of(std::string_view key);

/// One publish in the history of an envelope.
struct publish_record {
    std::string publish_id;
    std::string operator_name;
    /// The revision at which it took effect.
    store_revision revision = 0;
};

/// The value under a service's key in the store: the document as published and
/// the history of the last publishes, so that an operator whose answer was lost
/// can find out whether the write took effect. The store's revision of the key
/// is the revision of the service. A deletion is stored as an envelope as well,
/// so that it has a revision like any other change.
struct service_envelope {
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

/// Parses the stored form; unknown members are ignored.
/// Errors: `invalid_document`. Thread safe.
[[nodiscard]] outcome<service_envelope>
parse_service_envelope(std::string_view text);

} // namespace savorydock

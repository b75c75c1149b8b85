#pragma once

#include "core/ids.hpp"
#include "servers/configuration/text_patch.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// One revision of a service as instances pass it on. The receiver checks the
/// document itself: an instance of another version may judge differently.
struct configuration_entry {
    service_name service;
    store_revision revision = 0;
    bool is_deleted = false;
    std::string publish_id;
    std::string operator_name;
    /// The document, unless there is a patch.
    std::string text;
    /// The change from the revision `patch_base` of the same service.
    store_revision patch_base = 0;
    std::optional<text_patch> patch;
};
BOOST_DESCRIBE_STRUCT(configuration_entry, (),
                      (service, revision, is_deleted, publish_id, operator_name,
                       text, patch_base, patch))

enum class configuration_message_kind : std::uint8_t {
    /// Tells the revision that the sender is complete through.
    digest = 1,
    /// Asks for the entries after that revision.
    pull = 2,
    /// Entries: all with a revision in (from, to].
    delta = 3,
    /// Asks for a digest; sent by an instance that starts.
    hello = 4,
};

/// The body of a message of topic configuration.
struct configuration_message {
    configuration_message_kind kind = configuration_message_kind::digest;
    /// The sender holds every revision up to this one.
    store_revision complete_through = 0;
    /// The sender has just started and serves nothing yet.
    bool is_starting = false;
    /// Of a digest: the highest revision that the receiver is on record with.
    store_revision claimed_by_receiver = 0;
    /// Of a pull: send texts, the sender lacks what a patch would build on.
    bool wants_whole_texts = false;
    store_revision from = 0;
    store_revision to = 0;
    std::vector<configuration_entry> entries;
};
BOOST_DESCRIBE_STRUCT(configuration_message, (),
                      (kind, complete_through, is_starting, claimed_by_receiver,
                       wants_whole_texts, from, to, entries))

} // namespace savorydock

#pragma once

#include "core/ids.hpp"
#include "servers/configuration/text_patch.hpp"

#include <boost/describe/class.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// One revision of a service as instances send it to each other. The receiver
/// validates the document itself, because instances of different program
/// versions may accept different documents.
struct configuration_entry {
    service_name service;
    store_revision revision = 0;
    bool is_deleted = false;
    std::string publish_id;
    std::string operator_name;
    /// The full document; empty if `patch` is set.
    std::string text;
    /// The revision of the same service that `patch` applies to.
    store_revision patch_base = 0;
    std::optional<text_patch> patch;
};
BOOST_DESCRIBE_STRUCT(configuration_entry, (),
                      (service, revision, is_deleted, publish_id, operator_name,
                       text, patch_base, patch))

enum class configuration_message_kind : std::uint8_t {
    /// Reports the revision that the sender is complete through.
    digest = 1,
    /// Requests the entries after revision `from`.
    pull = 2,
    /// Carries all entries with a revision in (from, to].
    delta = 3,
    /// Requests a digest; sent by an instance that is starting.
    hello = 4,
};

/// The body of a peer message with the topic `configuration`.
struct configuration_message {
    configuration_message_kind kind = configuration_message_kind::digest;
    /// The sender has applied every revision up to this one.
    store_revision complete_through = 0;
    /// The sender is starting and does not serve yet.
    bool is_starting = false;
    /// In a digest: the receiver's claim, which is the highest revision that
    /// the receiver has reported to the sender.
    store_revision claimed_by_receiver = 0;
    /// In a pull: the answer must hold full texts, because the sender lacks the
    /// revision that a patch would apply to.
    bool wants_full_texts = false;
    store_revision from = 0;
    store_revision to = 0;
    std::vector<configuration_entry> entries;
};
BOOST_DESCRIBE_STRUCT(configuration_message, (),
                      (kind, complete_through, is_starting, claimed_by_receiver,
                       wants_full_texts, from, to, entries))

} // namespace savorydock

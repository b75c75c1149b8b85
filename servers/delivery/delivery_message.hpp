#pragma once

#include "core/ids.hpp"
#include "servers/delivery/call_key.hpp"
#include "servers/delivery/key_ledger.hpp"

#include <boost/describe/class.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// Queries a peer's record of a key and requests the right to run the call.
struct key_query {
    /// Unique over all instances and their restarts.
    std::string query_id;
    call_key key;
    call_attempt attempt = 0;
    /// The peer's claim as read from the platform's store, or empty.
    std::string claim;
};
BOOST_DESCRIBE_STRUCT(key_query, (), (query_id, key, attempt, claim))

struct key_reply {
    std::string query_id;
    key_state state = key_state::forgotten;
    result_code code = result_code::ok;
    /// The right to run was transferred to the query with this id.
    bool is_handed_over = false;
    std::optional<recorded_answer> answer;
};
BOOST_DESCRIBE_STRUCT(key_reply, (),
                      (query_id, state, code, is_handed_over, answer))

/// Records that a request was running on an upstream when it was lost.
struct crash_mark {
    /// Unique over all instances and their restarts.
    std::string incident;
    std::string fingerprint;
    service_name service;
    upstream_id upstream;
    /// No other suspected request ran on the upstream.
    bool is_sole_suspect = false;
    /// Time until the mark expires.
    std::chrono::milliseconds remaining{0};
    /// Start time of the upstream's process in Unix milliseconds; 0 if not
    /// known.
    std::uint64_t upstream_started_at = 0;
};
BOOST_DESCRIBE_STRUCT(crash_mark, (),
                      (incident, fingerprint, service, upstream,
                       is_sole_suspect, remaining, upstream_started_at))

/// Marks to add and incidents to clear. Updates are merged as sets, so
/// duplicated or reordered messages have no effect.
struct suspicion_update {
    std::vector<crash_mark> marks;
    std::vector<std::string> cleared;
};
BOOST_DESCRIBE_STRUCT(suspicion_update, (), (marks, cleared))

/// Requests a permit from the arbiter to run a suspected request on one
/// upstream.
struct permit_request {
    std::string permit;
    service_name service;
    std::string fingerprint;
    upstream_id upstream;
    std::chrono::milliseconds duration{0};
};
BOOST_DESCRIBE_STRUCT(permit_request, (),
                      (permit, service, fingerprint, upstream, duration))

struct permit_reply {
    std::string permit;
    bool is_granted = false;
};
BOOST_DESCRIBE_STRUCT(permit_reply, (), (permit, is_granted))

struct permit_release {
    std::string permit;
};
BOOST_DESCRIBE_STRUCT(permit_release, (), (permit))

/// Announces that an instance has opened a session of a trainer's step.
struct step_notice {
    std::string trainer;
    std::uint64_t step = 0;
    std::uint32_t epoch = 0;
};
BOOST_DESCRIBE_STRUCT(step_notice, (), (trainer, step, epoch))

/// The body of a peer message of topic `delivery`; exactly one member is set.
struct delivery_message {
    std::optional<key_query> key_queried;
    std::optional<key_reply> key_replied;
    std::optional<suspicion_update> suspicion;
    std::optional<permit_request> permit_requested;
    std::optional<permit_reply> permit_replied;
    std::optional<permit_release> permit_released;
    std::optional<step_notice> step_opened;
};
BOOST_DESCRIBE_STRUCT(delivery_message, (),
                      (key_queried, key_replied, suspicion, permit_requested,
                       permit_replied, permit_released, step_opened))

} // namespace savorydock

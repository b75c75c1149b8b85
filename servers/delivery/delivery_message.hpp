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

/// Asks what a peer remembers of a key and for the right to run it.
struct key_ask {
    /// Unique over all instances and their restarts.
    std::string ask;
    call_key key;
    call_attempt attempt = 0;
    /// The peer's claim as read in the platform's store, or empty.
    std::string claim;
};
BOOST_DESCRIBE_STRUCT(key_ask, (), (ask, key, attempt, claim))

struct key_reply {
    std::string ask;
    key_state state = key_state::forgotten;
    result_code code = result_code::ok;
    /// The right to run moved to this ask.
    bool is_handed_over = false;
    std::optional<recorded_answer> answer;
};
BOOST_DESCRIBE_STRUCT(key_reply, (), (ask, state, code, is_handed_over, answer))

/// One coincidence of a request's run with the loss of its upstream.
struct crash_mark {
    /// Unique over all instances and their restarts.
    std::string incident;
    std::string fingerprint;
    service_name service;
    upstream_id upstream;
    /// No other suspect ran on the upstream.
    bool is_alone = false;
    /// The mark lapses after this time.
    std::chrono::milliseconds remaining{0};
};
BOOST_DESCRIBE_STRUCT(crash_mark, (),
                      (incident, fingerprint, service, upstream, is_alone,
                       remaining))

/// Marks to add and incidents to clear; merged as sets, so that a doubled or
/// reordered message changes nothing.
struct suspicion_update {
    std::vector<crash_mark> marks;
    std::vector<std::string> cleared;
};
BOOST_DESCRIBE_STRUCT(suspicion_update, (), (marks, cleared))

/// Asks to run a suspect request on one upstream.
struct permit_ask {
    std::string permit;
    service_name service;
    std::string fingerprint;
    upstream_id upstream;
    std::chrono::milliseconds duration{0};
};
BOOST_DESCRIBE_STRUCT(permit_ask, (),
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

/// A session of a trainer's step was opened somewhere.
struct step_notice {
    std::string trainer;
    std::uint64_t step = 0;
    std::uint32_t epoch = 0;
};
BOOST_DESCRIBE_STRUCT(step_notice, (), (trainer, step, epoch))

/// The body of every peer message of topic `delivery`; one member is set.
struct delivery_message {
    std::optional<key_ask> asked;
    std::optional<key_reply> replied;
    std::optional<suspicion_update> suspicion;
    std::optional<permit_ask> permit_asked;
    std::optional<permit_reply> permit_replied;
    std::optional<permit_release> permit_released;
    std::optional<step_notice> step_opened;
};
BOOST_DESCRIBE_STRUCT(delivery_message, (),
                      (asked, replied, suspicion, permit_asked, permit_replied,
                       permit_released, step_opened))

} // namespace savorydock

#pragma once

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace savorydock {

/// A call to the platform's store that another instance makes on behalf of the
/// sender.
struct relayed_call {
    /// Identifies the call among those of the sender, to match the answer.
    std::uint64_t number = 0;
    std::string method;
    std::string target;
    std::string content_type;
    std::string body;
};
BOOST_DESCRIBE_STRUCT(relayed_call, (),
                      (number, method, target, content_type, body))

/// The answer to a `relayed_call`.
struct relayed_answer {
    std::uint64_t number = 0;
    /// False if the store did not answer the relaying instance either.
    bool is_answered = false;
    /// If there was no answer: the call may still take effect.
    bool may_take_effect = false;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};
BOOST_DESCRIBE_STRUCT(relayed_answer, (),
                      (number, is_answered, may_take_effect, status,
                       content_type, body))

} // namespace savorydock

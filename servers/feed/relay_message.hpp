#pragma once

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace savorydock {

/// A call to the platform's store that another instance shall make.
struct relayed_call {
    /// Tells the answer's call from others of the same instance.
    std::uint64_t number = 0;
    std::string method;
    std::string target;
    std::string content_type;
    std::string body;
};
BOOST_DESCRIBE_STRUCT(relayed_call, (),
                      (number, method, target, content_type, body))

/// What became of it.
struct relayed_answer {
    std::uint64_t number = 0;
    /// False: the store didn't answer this instance either.
    bool is_answered = false;
    /// Without an answer: the call may take effect all the same.
    bool may_take_effect = false;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};
BOOST_DESCRIBE_STRUCT(relayed_answer, (),
                      (number, is_answered, may_take_effect, status,
                       content_type, body))

} // namespace savorydock

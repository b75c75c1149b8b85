#pragma once

#include <cstdint>

namespace savorydock {

/// What an answer with a certain status code is.
enum class answer_kind : std::uint8_t {
    /// Another answer to the same request follows.
    interim,
    final,
    /// No answer that a client may use.
    invalid,
};

/// Tells the kind of an answer by its status code (RFC 9110, section 15): codes
/// outside of 100 to 599 belong to no class. 101 is invalid too, because no
/// request here asks for another protocol. Thread safe.
[[nodiscard]] constexpr answer_kind kind_of_status(unsigned status) {
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned end_of_classes = 600;
    if (status < first_interim || status >= end_of_classes ||
        status == switching_protocols) {
        return answer_kind::invalid;
    }
    return status < first_final ? answer_kind::interim : answer_kind::final;
}

} // namespace savorydock

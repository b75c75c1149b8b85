#pragma once

#include <cstdint>
#include <string_view>

namespace savorydock {

/// What is known about the effect of a call to the store.
enum class call_effect : std::uint8_t {
    /// The store has refused the call, or it was never sent.
    none,
    /// No answer arrived, so the call may have taken effect or may do so later.
    possible,
    /// The store has carried out the call and answered it.
    answered,
};

/// Returns the effect's name in the log. Thread safe.
[[nodiscard]] constexpr std::string_view to_word(call_effect effect) {
    switch (effect) {
    case call_effect::none:
        return "none";
    case call_effect::possible:
        return "possible";
    case call_effect::answered:
        return "answered";
    }
    return "unlisted";
}

/// Returns what is known about a call of several tries, directly or through
/// other instances, after the next try of it.
///
/// A call counts as refused only if all of its tries were: a refusal of the
/// last try says nothing about an earlier one without an answer. Thread safe.
[[nodiscard]] constexpr call_effect combine(call_effect earlier,
                                            call_effect next) {
    return earlier < next ? next : earlier;
}

} // namespace savorydock

#pragma once

#include "core/result_code.hpp"

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace savorydock {

/// The reason for a failure: a numbered code and a human-readable detail.
struct failure {
    result_code code = result_code::ok;
    std::string detail;
};

/// A value, or the reason why there is none.
///
/// Precondition of `*` and `->`: the outcome holds a value. Not thread safe,
/// but different objects may be used in different threads.
template <class T>
class outcome {
public:
    outcome(T value)
        : value_(std::move(value)) {}
    outcome(failure reason)
        : reason_(std::move(reason)) {
        assert(reason_.code != result_code::ok);
    }

    [[nodiscard]] bool has_value() const { return value_.has_value(); }
    explicit operator bool() const { return has_value(); }
    [[nodiscard]] T& operator*() { return *value_; }
    [[nodiscard]] const T& operator*() const { return *value_; }
    [[nodiscard]] T* operator->() { return &*value_; }
    [[nodiscard]] const T* operator->() const { return &*value_; }

    /// The reason for the failure; its code is `ok` if there is a value.
    [[nodiscard]] const failure& reason() const { return reason_; }

private:
    std::optional<T> value_;
    failure reason_;
};

/// The value type for outcomes of actions that return nothing on success.
struct done {};

} // namespace savorydock

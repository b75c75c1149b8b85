#pragma once

#include "core/result_code.hpp"

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace savorydock {

/// Why something did not succeed: a numbered code and a readable detail.
struct failure {
    result_code code = result_code::ok;
    std::string detail;
};

/// A value, or the last reason why there is none.
///
/// Precondition of `*` and `->`: the outcome holds a value. Not thread safe;
/// distinct objects may be used from distinct threads.
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

    /// The last reason; its code is `ok` if there is a value.
    [[nodiscard]] const failure& reason() const { return reason_; }

private:
    std::optional<T> value_;
    failure reason_;
};

/// The outcome of an action that yields nothing but success.
struct done {};

} // namespace savorydock

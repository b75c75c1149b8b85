#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace savorydock {

/// Splits the bytes of a text/event-stream into complete events. Not thread
/// safe.
class event_splitter {
public:
    /// A stream with a longer event is treated as broken.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// Appends received bytes. Ends the validity of the events returned so far.
    void feed(std::string_view bytes);

    /// Returns the next complete event with the blank line that ends it, or
    /// nothing.
    [[nodiscard]] std::optional<std::string_view> next();

    /// Whether all bytes so far belong to events that `next` has returned.
    [[nodiscard]] bool is_at_boundary() const {
        return begin_ == buffer_.size();
    }

    /// Whether the event in progress exceeds the limit.
    [[nodiscard]] bool is_event_too_long() const {
        return buffer_.size() - begin_ > max_event_bytes;
    }

private:
    std::string buffer_;
    /// Position after the events that were returned.
    std::size_t begin_ = 0;
};

} // namespace savorydock

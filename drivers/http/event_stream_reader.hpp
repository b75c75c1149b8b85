#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace savorydock {

/// Parses a text/event-stream into events. Not thread safe.
class event_stream_reader {
public:
    /// Longer events are rejected.
    static constexpr std::size_t max_event_bytes = 4'194'304;

    /// Appends received bytes; returns false if an event exceeds the limit.
    [[nodiscard]] bool feed(std::string_view bytes);

    /// Returns the data of the next complete event, if there is one.
    [[nodiscard]] std::optional<std::string> next();

private:
    std::string buffer_;
};

} // namespace savorydock

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace savorydock {

/// Splits a text/event-stream into events. Not thread safe.
class event_stream_reader {
public:
    /// Longer events are not taken.
    static constexpr std::size_t max_event_bytes = 4'194'304;

    /// Takes bytes; returns false if an event grows over the limit.
    [[nodiscard]] bool feed(std::string_view bytes);

    /// The data of the next whole event, or nothing yet.
    [[nodiscard]] std::optional<std::string> next();

private:
    std::string buffer_;
};

} // namespace savorydock

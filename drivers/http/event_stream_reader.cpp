#include "drivers/http/event_stream_reader.hpp"

namespace savorydock {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_field = "data:";

/// Joins the `data` lines of one event; skips other fields and comments.
std::string data_of(std::string_view event) {
    std::string data;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
        if (!line.starts_with(data_field)) {
            continue;
        }
        line.remove_prefix(data_field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        data += data.empty() ? "" : "\n";
        data += line;
    }
    return data;
}

} // namespace

bool event_stream_reader::feed(std::string_view bytes) {
    for (const char byte : bytes) {
        if (byte != '\r') {
            buffer_ += byte;
        }
    }
    return buffer_.size() <= max_event_bytes ||
           buffer_.find(event_end) <= max_event_bytes;
}

std::optional<std::string> event_stream_reader::next() {
    while (true) {
        const std::size_t end = buffer_.find(event_end);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string data = data_of(std::string_view(buffer_).substr(0, end));
        buffer_.erase(0, end + event_end.size());
        if (!data.empty()) {
            return data;
        }
    }
}

} // namespace savorydock

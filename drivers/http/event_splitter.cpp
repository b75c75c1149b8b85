#include "drivers/http/event_splitter.hpp"

namespace savorydock {

namespace {

constexpr std::string_view separator = "\n\n";

} // namespace

void event_splitter::feed(std::string_view bytes) {
    buffer_.erase(0, begin_);
    begin_ = 0;
    buffer_ += bytes;
}

std::optional<std::string_view> event_splitter::next() {
    const std::size_t end = buffer_.find(separator, begin_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t begin = begin_;
    begin_ = end + separator.size();
    return std::string_view(buffer_).substr(begin, begin_ - begin);
}

} // namespace savorydock

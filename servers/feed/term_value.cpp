#include "servers/feed/term_value.hpp"

namespace savorydock {

namespace {

constexpr char holder_separator = '/';

} // namespace

std::string encode_term_value(const instance_id& holder, std::uint64_t lease) {
    return holder.text() + holder_separator + std::to_string(lease);
}

instance_id holder_of(const std::string& value) {
    return instance_id(value.substr(0, value.rfind(holder_separator)));
}

} // namespace savorydock

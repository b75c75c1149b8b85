#include "core/http_message.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace savorydock {

namespace {

bool is_control(char c) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char last_control = 0x7f;
    const auto code = static_cast<unsigned char>(c);
    return code < first_printable || code == last_control;
}

} // namespace

std::string_view find_header(const http_headers& headers,
                             std::string_view name) {
    for (const http_header& header : headers) {
        if (boost::beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

bool is_valid_target(std::string_view text) {
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
        return c == ' ' || is_control(c);
    });
}

bool is_valid_header_name(std::string_view text) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || marks.find(c) != marks.npos;
    });
}

bool is_valid_header_value(std::string_view text) {
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c != '\t' && is_control(c); });
}

bool is_representable(const http_request& request) {
    return is_valid_header_name(request.method) &&
           is_valid_target(request.target) &&
           std::all_of(request.headers.begin(), request.headers.end(),
                       [](const http_header& header) {
                           return is_valid_header_name(header.name) &&
                                  is_valid_header_value(header.value);
                       });
}

} // namespace savorydock
